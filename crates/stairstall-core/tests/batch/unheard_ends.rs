//! Runs that ended unheard before their worker crashed.
//!
//! A job was shown as failed after "3 of 3 crashes so far" although fewer workers had crashed under
//! it: its tasks of some 200 ms had ended, unheard, behind a cut, seconds before the next incarnation
//! began ("run=4 … start 22.913, loss 24.786").

use stairstall_core::WorkerId;
use stairstall_core::batch::{CallerState, Outcome, RunEndKind, StepSpec};

use crate::harness::{Fleet, id, job, step, task};

/// Crashes under a task after which its job fails.
const MAX_CRASHES: usize = 3;
/// Crashes after which it fails if it may have ended before some of them.
const MAX_LOSSES: usize = 5;
/// How long a task of the job works, in milliseconds.
const WORK_MS: u64 = 200;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r1")]);
    fleet.keeps_ids = true;
    fleet.hold_all();
    let spec = StepSpec {
        estimate_ms: WORK_MS,
        ..step(1, 1)
    };
    fleet.submit(job("j", 2, vec![spec]));
    fleet
}

fn place(fleet: &Fleet) -> WorkerId {
    fleet.place_of(&task("j", 0, 0)).expect("it runs")
}

/// Lets the worker of the task be cut off, crash and restart; its next incarnation begins after so long.
fn lose_worker(fleet: &mut Fleet, after_ms: u64) {
    let worker = place(fleet);
    fleet.hold(&worker);
    fleet.cut_off(&worker);
    fleet.at_ms += after_ms;
    fleet.restart_cut_off(&worker);
    fleet.pass(500);
}

const FAILED: Option<CallerState> = Some(CallerState::Ended(Outcome::Failed));
const COMPLETED: Option<CallerState> = Some(CallerState::Ended(Outcome::Completed));

#[test]
fn a_job_does_not_fail_for_crashes_long_after_the_likely_ends_of_its_runs() {
    let mut fleet = fleet();
    for _ in 0..MAX_CRASHES {
        lose_worker(&mut fleet, WORK_MS + 1_600);
    }
    assert_ne!(fleet.planner.caller_state(&id("j")), FAILED);
    let worker = place(&fleet);
    fleet
        .worker(worker.as_str())
        .end(&task("j", 0, 0), RunEndKind::Done);
    fleet.pass(500);
    assert_eq!(fleet.planner.caller_state(&id("j")), COMPLETED);
}

#[test]
fn a_job_fails_for_crashes_under_its_runs() {
    let mut fleet = fleet();
    for _ in 0..MAX_CRASHES {
        lose_worker(&mut fleet, WORK_MS / 2);
    }
    assert_eq!(fleet.planner.caller_state(&id("j")), FAILED);
}

/// Work that crashes its workers just before it ends must not go on for ever.
#[test]
fn a_job_fails_in_the_end_where_each_of_its_workers_crashes() {
    let mut fleet = fleet();
    for _ in 0..MAX_LOSSES {
        assert_ne!(fleet.planner.caller_state(&id("j")), FAILED);
        lose_worker(&mut fleet, WORK_MS + 1_600);
    }
    assert_eq!(fleet.planner.caller_state(&id("j")), FAILED);
}
