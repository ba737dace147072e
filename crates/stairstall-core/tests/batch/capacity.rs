//! Workers whose room shrinks and grows while they run.

use stairstall_core::WorkerId;
use stairstall_core::batch::{OrderKind, Resources, StepSpec};

use crate::harness::{Fleet, job, step, task};

/// Lists a worker with other room than before.
fn resize(fleet: &mut Fleet, id: &WorkerId, capacity: Resources) {
    let now = fleet.now();
    let listed = fleet.listed.get_mut(id).expect("it is listed");
    listed.capacity = capacity;
    fleet.planner.handle_listed_worker(listed.clone(), now);
    fleet.settle();
}

fn one_worker() -> (Fleet, WorkerId) {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    (fleet, "w1".parse().expect("an id"))
}

fn stops(fleet: &Fleet) -> usize {
    let orders = fleet.given.iter();
    orders.filter(|order| order.kind == OrderKind::Stop).count()
}

#[test]
fn nothing_starts_beyond_room_that_has_shrunk_and_what_waits_starts_once_it_grows() {
    let (mut fleet, id) = one_worker();
    fleet.submit(job("first", 2, vec![step(4, 1)]));
    resize(&mut fleet, &id, Resources::new(32_000, 64_000, 5));
    fleet.submit(job("second", 2, vec![step(4, 1)]));
    fleet.pass(1_000);
    assert_eq!(fleet.planner.runs(), 5);
    resize(&mut fleet, &id, Resources::new(32_000, 64_000, 3));
    fleet.pass(1_000);
    assert_eq!(fleet.planner.runs(), 5, "what runs runs on");
    resize(&mut fleet, &id, Resources::new(32_000, 64_000, 8));
    fleet.pass(1_000);
    assert_eq!(fleet.planner.runs(), 8);
}

#[test]
fn a_place_that_was_kept_before_the_room_shrank_is_not_started() {
    let (mut fleet, id) = one_worker();
    fleet.writes = false;
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    resize(&mut fleet, &id, Resources::new(32_000, 64_000, 4));
    fleet.writes = true;
    fleet.pass(2_000);
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
}

#[test]
fn what_is_being_stopped_still_takes_room() {
    let (mut fleet, id) = one_worker();
    fleet.submit(job("batch", 2, vec![step(8, 1)]));
    let worker = fleet.workers.remove(&id).expect("a worker");
    fleet.submit(job("urgent", 0, vec![step(1, 4)]));
    // The stops are on their way; the worker has not answered.
    assert_eq!(fleet.starts_of(&task("urgent", 0, 0)), 0);
    fleet.workers.insert(id, worker);
}

#[test]
fn a_worker_that_has_too_little_of_one_thing_starts_nothing() {
    let (mut fleet, id) = one_worker();
    fleet.submit(job("first", 2, vec![step(8, 1)]));
    resize(&mut fleet, &id, Resources::new(32_000, 64_000, 6));
    let needs_no_accelerator = StepSpec {
        needs: Resources::new(1_000, 1_000, 0),
        ..step(1, 0)
    };
    fleet.submit(job("second", 2, vec![needs_no_accelerator]));
    fleet.pass(1_000);
    assert_eq!(fleet.planner.runs(), 8);
}

#[test]
fn as_much_gives_way_at_once_as_the_shrunk_room_lacks() {
    let (mut fleet, id) = one_worker();
    fleet.submit(job("batch", 2, vec![step(8, 1)]));
    resize(&mut fleet, &id, Resources::new(32_000, 64_000, 6));
    fleet.submit(job("urgent", 0, vec![step(1, 2)]));
    fleet.pass(300);
    assert!(fleet.place_of(&task("urgent", 0, 0)).is_some(), "it runs");
    assert_eq!(
        stops(&fleet),
        4,
        "two that are too many, and two for its room"
    );
}
