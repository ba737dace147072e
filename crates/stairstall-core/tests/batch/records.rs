//! What is written down of places and jobs, and when.

use std::collections::BTreeSet;

use stairstall_core::batch::{CallerState, OrderKind, Outcome, RunEndKind};

use crate::harness::{Fleet, id, job, step, task};

#[test]
fn a_place_is_kept_for_as_long_as_its_record_takes() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.writes = false;
    fleet.submit(job("urgent", 0, vec![step(1, 8)]));
    fleet.pass(3_000);
    assert!(fleet.given.is_empty(), "no start before the record");
    fleet.writes = true;
    fleet.pass(100);
    let key = task("urgent", 0, 0);
    assert!(fleet.place_of(&key).is_some());
    let runs: Vec<u32> = fleet.given.iter().map(|order| order.run).collect();
    assert_eq!(runs, [1], "its first place was kept");
    assert!(matches!(fleet.given[0].kind, OrderKind::Start { .. }));
}

/// Lets a job run to its end.
fn complete(fleet: &mut Fleet, name: &str) {
    let key = task(name, 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.worker(place.as_str()).end(&key, RunEndKind::Done);
    fleet.pass(200);
}

#[test]
fn what_an_ended_job_ran_is_kept_no_longer() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let mut long = job("long", 2, vec![step(1, 1)]);
    long.spec.payload = "x".repeat(4_000);
    fleet.submit(long.clone());
    fleet.submit(job("open", 2, vec![step(1, 1)]));
    assert!(
        fleet.planner.take_jobs_to_trim(10).is_empty(),
        "nothing has ended"
    );
    complete(&mut fleet, "long");
    let trims = fleet.planner.take_jobs_to_trim(10);
    let names: Vec<&str> = trims.iter().map(|trim| trim.id.as_str()).collect();
    assert_eq!(names, ["long"]);
    let bytes = serde_json::to_vec(&trims[0]).expect("a record").len();
    assert!(bytes < 500, "{bytes} bytes are kept of it");
    assert_eq!(trims[0].mark, long.mark, "who wrote it is still told");
    assert!(
        fleet.planner.take_jobs_to_trim(10).is_empty(),
        "it is under way"
    );
    fleet.planner.job_trim_failed(&id("long"));
    assert_eq!(
        fleet.planner.take_jobs_to_trim(10),
        trims,
        "it is offered again"
    );
    fleet.planner.job_trimmed(&id("long"));
    fleet.take_over(&trims, &[("w1", "r1")]);
    fleet.hold_all();
    fleet.settle();
    let state = fleet.planner.caller_state(&id("long"));
    assert_eq!(state, Some(CallerState::Ended(Outcome::Completed)));
    assert!(
        fleet.planner.take_jobs_to_trim(10).is_empty(),
        "it is short already"
    );
}

#[test]
fn places_of_urgent_work_are_written_down_first() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.writes = false;
    for (name, priority) in [("a", 2), ("b", 2), ("z", 0)] {
        fleet.submit(job(name, priority, vec![step(2, 1)]));
    }
    let now = fleet.now();
    let writes = fleet.planner.take_writes(2, &BTreeSet::new(), now);
    let names: Vec<&str> = writes.iter().map(|write| write.job.as_str()).collect();
    assert_eq!(names, ["z", "a"]);
}

/// Guards against an ended job that is shown as running again: its runs end after its end was stored, and
/// each end of a run was a change of the job that had to be stored first.
#[test]
fn an_ended_job_stays_ended_while_its_runs_end() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(2, 1)]));
    fleet.pass(300);
    let now = fleet.now();
    assert!(fleet.planner.cancel(&id("j"), now));
    fleet.write_all();
    let cancelled = Some(CallerState::Ended(Outcome::Cancelled));
    assert_eq!(fleet.planner.caller_state(&id("j")), cancelled);
    fleet.writes = false;
    fleet.pass(1_000);
    assert_eq!(
        fleet.place_of(&task("j", 0, 0)),
        None,
        "its runs have ended"
    );
    assert_eq!(fleet.planner.caller_state(&id("j")), cancelled);
}

#[test]
fn a_shortened_record_is_no_new_job() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]).trimmed());
    fleet.pass(300);
    assert!(fleet.given.is_empty());
    assert_eq!(fleet.planner.caller_state(&id("j")), None);
}

/// Takes the writes of a commit; returns the jobs in it. All have changed again once it is stored.
fn store_and_change(fleet: &mut Fleet, max: usize) -> Vec<String> {
    let now = fleet.now();
    let writes = fleet.planner.take_writes(max, &BTreeSet::new(), now);
    for write in &writes {
        fleet.planner.progress_written(&write.job, write.change);
        fleet.planner.progress_write_failed(&write.job);
    }
    writes.iter().map(|write| write.job.to_string()).collect()
}

/// Submits jobs that have their places and wait to be written.
fn submit_unwritten(fleet: &mut Fleet, count: u32, priority: u8) -> BTreeSet<String> {
    let names = (0..count).map(|n| format!("p{priority}-{n:02}"));
    let names: BTreeSet<String> = names.collect();
    for name in &names {
        fleet.submit(job(name, priority, vec![step(1, 1)]));
    }
    names
}

/// Returns how many commits it takes until each of the jobs was in one.
fn commits_until_all(fleet: &mut Fleet, jobs: &BTreeSet<String>, max: usize) -> usize {
    let mut missing = jobs.clone();
    for commit in 1..=200 {
        for name in store_and_change(fleet, max) {
            missing.remove(&name);
        }
        if missing.is_empty() {
            return commit;
        }
    }
    panic!(
        "{} of {} were never written: {missing:?}",
        missing.len(),
        jobs.len()
    );
}

/// Guards against jobs whose changes are never written, because jobs with lower IDs change again
/// with each commit.
#[test]
fn a_change_is_written_however_often_other_jobs_change() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"].map(|name| (name, "r1"));
    let mut fleet = Fleet::new(&names);
    fleet.hold_all();
    fleet.writes = false;
    let jobs = submit_unwritten(&mut fleet, 40, 2);
    let commits = commits_until_all(&mut fleet, &jobs, 15);
    assert_eq!(commits, 3);
}

/// Guards against the same among jobs of which some are more urgent.
#[test]
fn a_change_is_written_however_often_more_urgent_jobs_change() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"].map(|name| (name, "r1"));
    for max in [1, 2, 15] {
        let mut fleet = Fleet::new(&names);
        fleet.hold_all();
        fleet.writes = false;
        let waiting = submit_unwritten(&mut fleet, 10, 2);
        let urgent = submit_unwritten(&mut fleet, 20, 0);
        let commits = commits_until_all(&mut fleet, &waiting, max);
        let share = (max / 4).max(1);
        let bound = 3 + (waiting.len() + urgent.len()).div_ceil(share);
        assert!(
            commits <= bound,
            "{commits} commits of {max}, {bound} allowed"
        );
        let next = store_and_change(&mut fleet, max);
        let urgent_share = next.iter().filter(|name| urgent.contains(*name)).count();
        assert!(urgent_share >= max - share, "{next:?}");
    }
}

/// Guards against a change that loses its age when its write fails.
#[test]
fn a_failed_write_keeps_its_turn() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.writes = false;
    submit_unwritten(&mut fleet, 3, 2);
    let now = fleet.now();
    let first = fleet.planner.take_writes(1, &BTreeSet::new(), now);
    submit_unwritten(&mut fleet, 1, 1);
    fleet.submit(job("a-later", 2, vec![step(1, 1)]));
    fleet.planner.progress_write_failed(&first[0].job);
    let now = fleet.now();
    let next = fleet.planner.take_writes(5, &BTreeSet::new(), now);
    let names: Vec<&str> = next.iter().map(|write| write.job.as_str()).collect();
    assert_eq!(names, ["p1-00", "p2-00", "p2-01", "p2-02", "a-later"]);
}
