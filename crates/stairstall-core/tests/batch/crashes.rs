//! Work that crashes the workers that start it.
//!
//! Symptom: one urgent task was started 25 times in 80 s; each start crashed another worker, with
//! all that ran there. Sequence: the start is answered, 10 ms later the worker is gone, 3.2 s later
//! another life listens at its address and answers for the old one, and in the same pass the task is
//! placed on the next worker. Cause: only ends that a worker lists as failed used up a task's
//! attempts, and a worker that crashes lists nothing. What settled it: `start` lines of one task with
//! rising run numbers, all "try 1", under one token, and the `loss` lines "0 of 2 failures so far".

use stairstall_core::batch::{CallerState, DecisionKind, Outcome};

use crate::harness::{CRASH_MS, Fleet, id, job, step, task};

/// Workers that may crash under a task before it is given up.
const MAX_CRASHES: usize = 3;
/// Time for a crash, the return of the worker and the next start.
const ROUND_MS: u64 = CRASH_MS + 500;

const FLEET: [(&str, &str); 6] = [
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r2"),
    ("w5", "r2"),
    ("w6", "r2"),
];

const FAILED: Option<CallerState> = Some(CallerState::Ended(Outcome::Failed));

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&FLEET);
    fleet.hold_all();
    fleet
}

#[test]
fn each_run_that_is_lost_with_its_worker_is_told_with_what_its_task_has_used_up() {
    let mut fleet = fleet();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.planner.life_over(&place, "another life answered");
    let decisions = fleet.planner.take_decisions();
    let loss = decisions.iter().find(|d| d.kind == DecisionKind::Loss);
    let loss = loss.expect("it is told");
    assert_eq!(loss.task.as_ref(), Some(&key));
    assert_eq!(loss.worker.as_ref(), Some(&place));
    assert!(loss.why.contains("0 of 2 failures"), "{}", loss.why);
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut fleet = fleet();
    let key = task("crashes", 0, 0);
    fleet.crashing.insert(key.clone());
    fleet.submit(job("crashes", 0, vec![step(1, 1)]));
    fleet.pass(8 * ROUND_MS);
    assert_eq!(fleet.starts_of(&key), MAX_CRASHES);
    assert_eq!(fleet.planner.caller_state(&id("crashes")), FAILED);
}

#[test]
fn a_new_planner_knows_how_many_workers_have_crashed_under_a_task() {
    let mut fleet = fleet();
    let key = task("crashes", 0, 0);
    let accepted = job("crashes", 0, vec![step(1, 1)]);
    fleet.crashing.insert(key.clone());
    fleet.submit(accepted.clone());
    for _ in 0..8 {
        fleet.pass(ROUND_MS);
        fleet.succeed(std::slice::from_ref(&accepted));
    }
    assert_eq!(fleet.starts_of(&key), MAX_CRASHES);
    assert_eq!(fleet.planner.caller_state(&id("crashes")), FAILED);
}
