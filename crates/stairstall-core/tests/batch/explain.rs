//! Where a job stands, as an operator is told.

use stairstall_core::batch::{CallerState, JobPhase};

use crate::harness::{Fleet, gang, id, job, step};

#[test]
fn a_job_that_waits_says_for_what_how_long_and_behind_whom() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("runs", 1, vec![step(8, 1)]));
    fleet.submit(job("first", 2, vec![step(4, 1)]));
    fleet.submit(job("second", 2, vec![step(3, 1)]));
    fleet.pass(700);
    let now = fleet.now();
    let waits = fleet.planner.explain(&id("second"), now);
    let waits = waits.expect("it is known");
    assert_eq!(waits.state, CallerState::Queued);
    assert_eq!(waits.priority, 2);
    let [step] = &waits.steps[..] else {
        panic!("one step is open: {:?}", waits.steps);
    };
    assert_eq!((step.waiting, step.tasks, step.done), (3, 3, 0));
    assert_eq!(step.phase, JobPhase::WaitingForCapacity);
    assert_eq!(step.steps_ahead, 1, "the step of the other waiting job");
    assert!(step.waited_ms >= 700, "{} ms", step.waited_ms);
    assert!(waits.spent_ms[&JobPhase::WaitingForCapacity] >= 700);
    let wait = waits.wait.expect("something of it waits");
    assert_eq!((wait.rank, wait.room_in_ms), (3, None));
    assert_eq!(wait.reason, "room, behind others");
}

#[test]
fn a_job_that_runs_waits_for_nothing() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.submit(job("gang", 1, vec![gang(2, 8)]));
    let now = fleet.now();
    let runs = fleet.planner.explain(&id("gang"), now);
    let runs = runs.expect("it is known");
    assert_eq!(runs.steps.len(), 1);
    assert_eq!((runs.steps[0].waiting, runs.steps[0].steps_ahead), (0, 0));
    assert!(runs.setbacks.is_empty());
    assert_eq!(runs.wait, None);
}

#[test]
fn a_step_that_waits_because_nothing_is_free_does_not_fit() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("runs", 1, vec![step(8, 1)]));
    fleet.submit(job("full", 2, vec![step(4, 1)]));
    fleet.pass(700);
    assert_eq!(fleet.planner.oldest_fitting_wait(fleet.now()), None);
    let explained = fleet.planner.explain(&id("full"), fleet.now());
    assert!(!explained.expect("it is known").steps[0].fits);
}

#[test]
fn a_job_that_nobody_handed_in_is_not_explained() {
    let fleet = Fleet::new(&[("w1", "r1")]);
    assert_eq!(fleet.planner.explain(&id("nobody"), fleet.now()), None);
}
