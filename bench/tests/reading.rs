//! What is read from reports, logs and the command line.

use std::collections::BTreeMap;
use std::path::PathBuf;

use stairstall_bench::{
    Causes, Comparison, Play, Report, Variant, count_causes, read_jobs, with_flags,
};

const LOG: &str = "\
   1.0000 edge-a-1 2026-03-07T03:20:00.000Z INFO accept job=aa queue=q tasks=3 NotKept
   2.0000 edge-a-1 2026-03-07T03:20:01.000Z INFO accept job=aa queue=q tasks=3 Accepted
   9.0000 edge-a-2 2026-03-07T03:20:08.000Z INFO job token=2 job=aa queue=q priority=0 customer=c zone=a outcome=Completed whole_ms=7000 known_ms=4 room_ms=2000 stops_ms=300 record_ms=9 start_ms=2 run_ms=1000 rerun_ms=3000 write_ms=8 work_ms=3000 aim_ms=4750 starts=6 setbacks=gave-way:2,failed:1 taken_over=false its end is written down
   3.0000 edge-a-1 2026-03-07T03:20:02.000Z INFO accept job=bb queue=q tasks=1 MayBeKept
   4.0000 edge-a-1 2026-03-07T03:20:03.000Z INFO accept job=cc queue=q tasks=1 Accepted
   5.0000 edge-a-2 2026-03-07T03:20:04.000Z INFO job token=2 job=cc queue=q priority=1 customer=c zone=a outcome=Completed whole_ms=1000 known_ms=4 room_ms=20 stops_ms=0 record_ms=9 start_ms=2 run_ms=900 rerun_ms=0 write_ms=8 work_ms=900 aim_ms=2000 starts=1 setbacks=none taken_over=false its end is written down
not a line of the log
";

#[test]
fn a_late_job_and_one_that_was_not_taken_are_counted_with_their_causes() {
    let jobs = read_jobs(LOG);
    assert_eq!(jobs.len(), 3);
    let late = jobs["aa"].ended.as_ref().expect("it ended");
    assert!(late.is_late(None), "8 s after it was handed in first");
    assert_eq!(late.cause(), "gave-way");
    assert!((late.spans_ms["rerun"] - 3_000.0).abs() < f64::EPSILON);
    let mut causes = Causes::new();
    let mut windows = BTreeMap::new();
    count_causes(&jobs, &mut causes, &mut windows);
    assert_eq!(causes.get(&("gave-way".to_owned(), 0)), Some(&1));
    assert_eq!(causes.get(&("not taken".to_owned(), u8::MAX)), Some(&1));
    assert_eq!(causes.values().sum::<u32>(), 2);
    assert_eq!(windows, BTreeMap::from([(0, 1), (2, 1)]));
}

#[test]
fn without_a_setback_the_longest_wait_is_the_cause() {
    let log = LOG
        .replace("gave-way:2,failed:1", "none")
        .replace("rerun_ms=3000", "rerun_ms=0");
    let jobs = read_jobs(&log);
    let late = jobs["aa"].ended.as_ref().expect("it ended");
    assert_eq!(late.cause(), "accepted late");
    let log = log.replace("1.0000 edge", "2.0000 edge");
    let late = read_jobs(&log)["aa"].ended.clone().expect("it ended");
    assert_eq!(late.cause(), "waited: room");
}

/// A job that ran for 6 s, and seven like it that took as long as their callers said: 2 s.
fn with_a_long_run(write_ms: u32, estimate_ms: u32) -> String {
    let ended = |job: &str, whole: u32, run: u32, write_ms: u32, estimate_ms: u32| {
        format!(
            "   {}.0000 edge-a-2 2026-03-07T03:20:08.000Z INFO job token=2 job={job} queue=q priority=0 \
             customer=c zone=a outcome=Completed whole_ms={whole}000 room_ms=0 run_ms={run}000 \
             write_ms={write_ms} work_ms={run}000 aim_ms={}250 estimate_ms={estimate_ms} starts=1 \
             setbacks=none taken_over=false its end is written down\n",
            1 + whole,
            run * 3 / 2
        )
    };
    let accepted = |job: &str| {
        format!(
            "   1.0000 edge-a-1 2026-03-07T03:20:00.000Z INFO accept job={job} queue=q tasks=1 Accepted\n"
        )
    };
    let mut log = accepted("long") + &ended("long", 6, 6, write_ms, estimate_ms);
    for job in ["a", "b", "c", "d", "e", "f", "g"] {
        log = log + &accepted(job) + &ended(job, 2, 2, 9, 2_000);
    }
    log
}

fn causes_in(log: &str) -> Causes {
    let mut causes = Causes::new();
    count_causes(&read_jobs(log), &mut causes, &mut BTreeMap::new());
    causes
}

#[test]
fn a_run_that_was_held_up_does_not_hide_that_its_job_was_late() {
    let causes = causes_in(&with_a_long_run(9, 2_000));
    assert_eq!(causes, Causes::from([(("ran slowly".to_owned(), 0), 1)]));
    let causes = causes_in(&with_a_long_run(9, 6_000));
    assert!(causes.is_empty(), "its caller said that it takes long");
}

#[test]
fn an_end_that_could_not_be_written_does_not_count_as_work() {
    let causes = causes_in(&with_a_long_run(2_500, 3_000));
    assert_eq!(causes, Causes::from([(("waited: write".to_owned(), 0), 1)]));
}

fn report(worth: f64, broken: u64) -> Report {
    let text = format!(
        r#"{{"G": {worth}, "served": 0.9, "parts": [["worst windows", 0.12, 0.5]],
            "prices": [["core-seconds of work thrown away", 10.0, 0.04]],
            "breaks": {{"DRAIN": {broken}}}, "fault": null, "more": 1}}"#
    );
    Report::parse(&text).expect("a report")
}

fn play(day: &str) -> Play {
    Play {
        site: PathBuf::from("/x/site.toml"),
        day: day.to_owned(),
        seed: Some(1),
    }
}

#[test]
fn variants_are_paired_day_by_day() {
    let mut comparison = Comparison::default();
    let days = [("d1", 0.5), ("d2", 0.7), ("d3", 0.6)];
    let base = days.map(|(day, worth)| (play(day), report(worth, 0)));
    comparison.add("base", base.to_vec());
    // The third day could not be played.
    let tried = [("d1", 0.6), ("d2", 0.6)].map(|(day, worth)| (play(day), report(worth, 2)));
    comparison.add("tried", tried.to_vec());
    let rows = comparison.rows();
    assert_eq!(rows.len(), 2);
    let tried = &rows[1];
    assert_eq!((tried.days, tried.broken), (2, 4));
    assert!((tried.difference - 0.0).abs() < 1e-9);
    assert!((tried.error - 0.1).abs() < 1e-9, "{}", tried.error);
    assert!((tried.worst - 0.6).abs() < 1e-9);
    assert!(
        tried
            .to_string()
            .starts_with("| site | tried | 2 | 0.600 | +0.000 ± 0.100")
    );
}

#[test]
fn a_variant_is_a_name_and_changes() {
    let variant: Variant = "less:a.b=1+c.d=true".parse().expect("a variant");
    assert_eq!(variant.flags(), "--policy=a.b=1 --policy=c.d=true");
    assert_eq!("as-is".parse::<Variant>().expect("a variant").flags(), "");
    for wrong in ["", ":a.b=1", "x:a=1", "x:a.b"] {
        assert!(wrong.parse::<Variant>().is_err(), "{wrong:?}");
    }
}

#[test]
fn flags_go_to_the_line_that_starts_the_daemon() {
    let deploy = "build = \"make\"\nrun = \"d batch --vm {{node}}\"\nserves = [\"edge\"]\n";
    let changed = with_flags(deploy, "--policy=a.b=1").expect("a line");
    assert!(changed.contains("run = \"d batch --vm {{node}} --policy=a.b=1\"\n"));
    assert_eq!(with_flags(deploy, "").as_deref(), Some(deploy));
    assert_eq!(with_flags("build = \"make\"\n", "--x"), None);
}
