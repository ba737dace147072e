//! Run times that are learnt from what runs and ends, under loads whose estimates are off.

use stairstall_core::batch::{
    AcceptedJob, LearnedEstimates, Policy, RunEndKind, RunTimePolicy, StepSpec, TaskKey,
};

use crate::harness::{Fleet, START_UNIX_MS, bounds, catalog, gang, job, step, task};

/// Estimate of the work here, in milliseconds.
const ESTIMATE_MS: u64 = 2_000;
const RACK: [(&str, &str); 4] = [("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w4", "r1")];

/// A fleet whose planner learns, or does not.
fn fleet(workers: &[(&str, &str)], learns: bool) -> Fleet {
    let mut fleet = Fleet::new(workers);
    let run_times = RunTimePolicy {
        enabled: learns,
        ..RunTimePolicy::default()
    };
    let policy = Policy {
        run_times,
        ..Policy::default()
    };
    fleet.planner = fleet.planner.with_policy(policy);
    fleet.hold_all();
    fleet
}

/// Hands in a step as a job of its own, accepted now.
fn submit(fleet: &mut Fleet, name: &str, priority: u8, step: StepSpec) {
    let mut job = job(name, priority, vec![step]);
    job.accepted_unix_ms = START_UNIX_MS + fleet.at_ms;
    fleet.submit(job);
}

/// Runs jobs of one task each one after the other, each for so many milliseconds.
fn run_singles(fleet: &mut Fleet, spans_ms: &[u64]) {
    for span_ms in spans_ms {
        let name = format!("past-{}", fleet.at_ms);
        submit(fleet, &name, 2, step(1, 1));
        finish_after(fleet, &task(&name, 0, 0), *span_ms);
    }
}

/// Lets a task, or its gang, end done after a while.
fn finish_after(fleet: &mut Fleet, task: &TaskKey, ms: u64) {
    fleet.pass(ms);
    fleet.end_everywhere(task, RunEndKind::Done);
    fleet.pass(100);
}

/// Returns what the planner has learnt of the queue of a priority: the middle of the weights of all
/// that ended, as a ratio.
fn learnt_middle(learnt: &LearnedEstimates, priority: u8) -> Option<f64> {
    let name = format!("q{priority}");
    let mut all = learnt.run_times.iter();
    let kept = all.find(|kept| kept.queue == name && kept.customer.is_none())?;
    let whole: f64 = kept.complete.iter().map(|weight| f64::from(*weight)).sum();
    let mut sum = 0.0;
    for (bin, weight) in (0_u16..).zip(&kept.complete) {
        sum += f64::from(*weight);
        if sum >= whole / 2.0 {
            return Some(((f64::from(bin) - 16.0) / 4.0).exp2());
        }
    }
    None
}

fn learnt(fleet: &Fleet) -> LearnedEstimates {
    fleet.planner.learned_estimates(fleet.now())
}

/// Returns how many runs the planner has learnt from in a queue.
fn learnt_runs(fleet: &Fleet, priority: u8) -> u32 {
    let name = format!("q{priority}");
    let learnt = learnt(fleet);
    let mut all = learnt.run_times.iter();
    let kept = all.find(|kept| kept.queue == name && kept.customer.is_none());
    kept.map_or(0, |kept| {
        let tenths: u32 = kept.complete.iter().map(|weight| u32::from(*weight)).sum();
        tenths / 10
    })
}

#[test]
fn estimates_that_are_half_of_the_work_are_seen_through() {
    let mut fleet = fleet(&RACK, true);
    // Off by half and more, and a few take seven times as long.
    run_singles(
        &mut fleet,
        &[
            4_000, 2_500, 4_000, 14_000, 6_000, 4_000, 3_000, 4_500, 4_000, 3_700,
        ],
    );
    let middle = learnt_middle(&learnt(&fleet), 2).expect("enough was seen");
    assert!((1.6..2.4).contains(&middle), "{middle}");
}

/// Whether work of a queue that takes longer than its estimate is left to end on a worker that leaves in time
/// for the estimate alone.
fn stays_on_a_leaving_worker(learns: bool) -> bool {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")], learns);
    run_singles(&mut fleet, &[6_000; 10]);
    submit(&mut fleet, "j", 2, step(1, 8));
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.announce_leaving(&place, 3_000);
    fleet.settle();
    fleet.pass(300);
    fleet.place_of(&key) == Some(place)
}

#[test]
fn what_takes_three_times_its_estimate_is_moved_at_once_from_a_worker_that_leaves_before() {
    assert!(!stays_on_a_leaving_worker(true));
    assert!(
        stays_on_a_leaving_worker(false),
        "its end there is hoped for"
    );
}

#[test]
fn a_gang_counts_once_however_many_members_it_has() {
    let mut fleet = fleet(&RACK, true);
    for number in 0..9 {
        let name = format!("gang-{number}");
        submit(&mut fleet, &name, 1, gang(16, 2));
        finish_after(&mut fleet, &task(&name, 0, 0), 2 * ESTIMATE_MS);
    }
    assert_eq!(learnt_runs(&fleet, 1), 9);
    let middle = learnt_middle(&learnt(&fleet), 1).expect("enough was seen");
    assert!((1.6..2.4).contains(&middle), "{middle}");
}

#[test]
fn the_long_ones_that_still_run_count_beside_the_short_ones_that_have_ended() {
    let mut fleet = fleet(&RACK, true);
    for number in 0..20 {
        submit(&mut fleet, &format!("j-{number:02}"), 2, step(1, 1));
    }
    for worker in fleet.workers.values_mut() {
        worker.span_ms = Some(16_000);
    }
    fleet.pass(1_000);
    for number in 0..10 {
        fleet.end_everywhere(&task(&format!("j-{number:02}"), 0, 0), RunEndKind::Done);
    }
    fleet.pass(3_000);
    submit(&mut fleet, "next", 2, step(1, 8));
    let key = task("next", 0, 0);
    // What runs shows that it takes 16 s: the middle of all takes longer than its estimate.
    let place = fleet.place_of(&key).expect("there is room");
    fleet.announce_leaving(&place, 3_500);
    fleet.pass(300);
    assert_ne!(fleet.place_of(&key), Some(place), "it would not end there");
}

#[test]
fn runs_that_something_disturbed_teach_nothing() {
    // Far from its data.
    let mut far = fleet(&RACK, true);
    for number in 0..10 {
        let name = format!("far-{number}");
        let step = StepSpec {
            near_rack: Some("r9".to_owned()),
            ..step(1, 1)
        };
        submit(&mut far, &name, 2, step);
        far.pass(4_000);
        finish_after(&mut far, &task(&name, 0, 0), 2_000);
    }
    assert_eq!(learnt_runs(&far, 2), 0, "far from its data");
    // At workers that fall silent meanwhile.
    let mut silent = fleet(&RACK, true);
    for number in 0..10 {
        let name = format!("silent-{number}");
        submit(&mut silent, &name, 2, step(1, 1));
        let key = task(&name, 0, 0);
        silent.pass(1_000);
        let place = silent.place_of(&key).expect("it runs");
        let now = silent.now();
        silent.planner.handle_report_failure(&place, now);
        finish_after(&mut silent, &key, 1_000);
    }
    assert_eq!(learnt_runs(&silent, 2), 0, "their workers were silent");
    // Undisturbed, as a measure of the above.
    let mut sound = fleet(&RACK, true);
    run_singles(&mut sound, &[2_000; 10]);
    assert_eq!(learnt_runs(&sound, 2), 10);
}

#[test]
fn what_a_later_planner_found_running_teaches_nothing_of_its_whole_time() {
    let mut fleet = fleet(&RACK, true);
    let jobs: Vec<AcceptedJob> = (0..10)
        .map(|number| job(&format!("j-{number}"), 2, vec![step(1, 1)]))
        .collect();
    for job in &jobs {
        fleet.submit(job.clone());
    }
    fleet.pass(8_000);
    fleet.take_over(&jobs, &RACK);
    fleet.pass(300);
    for number in 0..10 {
        fleet.end_everywhere(&task(&format!("j-{number}"), 0, 0), RunEndKind::Done);
    }
    fleet.pass(300);
    assert_eq!(fleet.planner.open_jobs(), 0);
    assert_eq!(learnt_runs(&fleet, 2), 0);
}

/// When a gang whose worker does nothing is moved, after its queue was seen to take so many
/// milliseconds.
fn stall_noticed_after(past_ms: u64, learns: bool) -> u64 {
    let mut fleet = fleet(&RACK, learns);
    run_singles(&mut fleet, &[past_ms; 10]);
    let mut long = job("j", 2, vec![step(1, 8)]);
    long.spec.steps[0].estimate_ms = 30_000;
    fleet.submit(long);
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.worker(place.as_str()).span_ms = None;
    let began = fleet.at_ms;
    while fleet.place_of(&key) == Some(place.clone()) {
        fleet.pass(100);
        assert!(fleet.at_ms < began + 60_000, "it is never moved");
    }
    fleet.at_ms - began
}

#[test]
fn a_dead_worker_is_noticed_no_later_where_work_is_known_to_take_long() {
    let before = stall_noticed_after(14_000, false);
    assert_eq!(stall_noticed_after(14_000, true), before);
    assert_eq!(stall_noticed_after(700, true), before, "nor too soon");
}

/// Whether a new planner, with the record of the one before or without, leaves work that takes three times its
/// estimate on a worker that leaves before.
fn stays_under_a_new_planner(with_record: bool) -> bool {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")], true);
    run_singles(&mut fleet, &[6_000; 10]);
    let record = serde_json::to_string(&learnt(&fleet)).expect("it can be written");
    let mut next = stairstall_core::batch::Planner::new(2, bounds());
    next.set_catalog(std::sync::Arc::new(catalog(0)));
    let now = fleet.now();
    if with_record {
        let read: LearnedEstimates = serde_json::from_str(&record).expect("it can be read");
        next.restore_learned_estimates(read, now);
    }
    for listed in fleet.listed.values() {
        next.handle_listed_worker(listed.clone(), now);
    }
    fleet.planner = next;
    fleet.settle();
    fleet.hold_all();
    fleet.pass(500);
    submit(&mut fleet, "j", 2, step(1, 8));
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.announce_leaving(&place, 3_000);
    fleet.pass(300);
    fleet.place_of(&key) == Some(place)
}

#[test]
fn a_new_planner_knows_at_once_what_the_one_before_had_learnt() {
    assert!(!stays_under_a_new_planner(true));
    assert!(stays_under_a_new_planner(false), "it has seen nothing end");
}

#[test]
fn a_record_is_news_only_where_it_tells_something_else() {
    let mut fleet = fleet(&RACK, true);
    run_singles(&mut fleet, &[4_000; 40]);
    let first = learnt(&fleet);
    assert!(first.differs_significantly_from(&LearnedEstimates::default()));
    run_singles(&mut fleet, &[4_100; 5]);
    assert!(
        !learnt(&fleet).differs_significantly_from(&first),
        "about the same"
    );
    run_singles(&mut fleet, &[9_000; 40]);
    assert!(learnt(&fleet).differs_significantly_from(&first));
}
