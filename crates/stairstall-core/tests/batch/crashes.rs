//! Tasks under which workers crash.

use stairstall_core::batch::DecisionKind;

use crate::harness::{Fleet, job, step, task};

#[test]
fn each_run_that_is_lost_with_its_worker_is_told_with_what_its_task_has_used_up() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
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
