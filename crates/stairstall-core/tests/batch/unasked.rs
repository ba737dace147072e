//! Tasks that a worker begins late, after their job was cancelled or their planner was replaced.

use stairstall_core::batch::{Order, OrderKind, StartOutcome, StopOutcome, TaskKey};

use crate::harness::{Fleet, id, job, step, task};

/// Hands a job in and returns its start, which the worker has not carried out.
fn start_of(fleet: &mut Fleet, name: &str) -> Order {
    fleet.place(job(name, 2, vec![step(1, 8)]));
    let starts = fleet.planner.tick(fleet.now());
    starts.into_iter().next().expect("a start")
}

fn assert_stopped(fleet: &mut Fleet, task: &TaskKey) {
    fleet.pass(1_500);
    assert_eq!(fleet.place_of(task), None);
    let stops = fleet.given.iter().filter(|order| order.task == *task);
    assert!(stops.clone().any(|order| order.kind == OrderKind::Stop));
}

#[test]
fn a_task_that_begins_after_its_job_was_cancelled_is_stopped() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let start = start_of(&mut fleet, "j");
    let now = fleet.now();
    fleet
        .planner
        .handle_start_outcome(&start, StartOutcome::Unknown, now);
    fleet.planner.cancel(&id("j"), now);
    // No order gets an answer for a while; meanwhile the start is carried out.
    for _ in 0..3 {
        let now = fleet.now();
        for order in fleet.planner.tick(now) {
            if order.kind == OrderKind::Stop {
                fleet
                    .planner
                    .handle_stop_outcome(&order, StopOutcome::Unknown, now);
            }
        }
        fleet.at_ms += 400;
    }
    fleet.begin_without_answer(&start);
    assert_stopped(&mut fleet, &task("j", 0, 0));
}

#[test]
fn a_task_that_begins_although_its_run_was_given_up_is_stopped() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    let start = start_of(&mut fleet, "j");
    let now = fleet.now();
    fleet.planner.cancel(&id("j"), now);
    let stops = fleet.planner.tick(now);
    assert_eq!(stops.len(), 1);
    fleet
        .planner
        .handle_stop_outcome(&stops[0], StopOutcome::Taken, now);
    fleet.at_ms += 10;
    fleet.hold_all();
    assert_eq!(fleet.planner.runs(), 0, "the worker does not know it");
    // The worker begins it all the same; something else there makes it report.
    fleet.begin_without_answer(&start);
    fleet.submit(job("other", 2, vec![step(2, 4)]));
    assert_stopped(&mut fleet, &task("j", 0, 0));
}

#[test]
fn a_task_of_a_cancelled_job_that_a_removed_planner_started_is_stopped() {
    let workers = [("w1", "r1")];
    let mut fleet = Fleet::new(&workers);
    fleet.hold_all();
    let start = start_of(&mut fleet, "j");
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.take_over(&[accepted], &workers);
    let now = fleet.now();
    fleet.planner.cancel(&id("j"), now);
    // The start arrives before the new planner's token does.
    fleet.begin_without_answer(&start);
    assert_stopped(&mut fleet, &task("j", 0, 0));
}

#[test]
fn a_task_that_only_a_removed_planner_knew_of_is_stopped() {
    let workers = [("w1", "r1")];
    let mut fleet = Fleet::new(&workers);
    fleet.hold_all();
    let start = start_of(&mut fleet, "j");
    fleet.kept.clear();
    fleet.take_over(&[], &workers);
    fleet.begin_without_answer(&start);
    assert_stopped(&mut fleet, &task("j", 0, 0));
}
