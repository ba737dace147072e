//! Runs that stand still or are far slower than their like.

use stairstall_core::WorkerId;
use stairstall_core::batch::{OrderKind, RunEndKind};

use crate::harness::{Fleet, SPAN_MS, gang, job, step, task};

fn workers() -> [(&'static str, &'static str); 4] {
    [("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w4", "r1")]
}

fn stops(fleet: &Fleet) -> usize {
    let orders = fleet.given.iter();
    orders.filter(|order| order.kind == OrderKind::Stop).count()
}

#[test]
fn a_gang_leaves_a_worker_that_does_nothing_within_a_second() {
    let mut fleet = Fleet::new(&workers());
    fleet.hold_all();
    fleet.submit(job("j", 0, vec![gang(2, 8)]));
    let stalled = fleet.place_of(&task("j", 0, 1)).expect("it runs");
    fleet.worker(stalled.as_str()).span_ms = None;
    fleet.pass(1_200);
    let places: Vec<Option<WorkerId>> = (0..2)
        .map(|index| fleet.place_of(&task("j", 0, index)))
        .collect();
    assert!(places.iter().all(Option::is_some), "{places:?}");
    assert!(!places.contains(&Some(stalled)), "{places:?}");
}

#[test]
fn what_stood_still_is_not_put_where_something_stands_still() {
    let mut fleet = Fleet::new(&workers()[..2]);
    fleet.hold_all();
    fleet.submit(job("batch", 2, vec![step(1, 8)]));
    let other = fleet.place_of(&task("batch", 0, 0)).expect("it runs");
    fleet.submit(job("j", 0, vec![step(1, 8)]));
    let key = task("j", 0, 0);
    let stalled = fleet.place_of(&key).expect("it runs");
    fleet.worker(stalled.as_str()).span_ms = None;
    fleet.pass(1_500);
    assert_eq!(fleet.place_of(&key), Some(other), "others give way to it");
}

#[test]
fn a_gang_with_a_member_that_has_not_come_is_not_judged_soon() {
    let mut fleet = Fleet::new(&workers());
    fleet.hold_all();
    fleet.submit(job("j", 0, vec![gang(3, 8)]));
    for name in ["w1", "w2", "w3", "w4"] {
        fleet.worker(name).span_ms = None;
    }
    fleet.pass(1_500);
    assert_eq!(stops(&fleet), 0, "perhaps none of them has begun");
}

#[test]
fn a_task_far_slower_than_its_like_goes_elsewhere() {
    let mut fleet = Fleet::new(&workers());
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(3, 8)]));
    let slow = fleet.place_of(&task("j", 0, 0)).expect("it runs");
    fleet.worker(slow.as_str()).span_ms = Some(8 * SPAN_MS);
    fleet.pass(4_000);
    let place = fleet.place_of(&task("j", 0, 0));
    assert!(place.is_some_and(|place| place != slow));
    assert_eq!(stops(&fleet), 1, "the others stay");
}

#[test]
fn a_slow_task_stays_where_a_move_would_not_pay() {
    let mut fleet = Fleet::new(&workers());
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(3, 8)]));
    let slow = fleet.place_of(&task("j", 0, 0)).expect("it runs");
    fleet.worker(slow.as_str()).span_ms = Some(2 * SPAN_MS);
    fleet.pass(6_000);
    assert_eq!(fleet.place_of(&task("j", 0, 0)), Some(slow));
    assert_eq!(stops(&fleet), 0);
}

#[test]
fn a_new_planner_judges_what_it_finds_by_what_it_sees() {
    let mut fleet = Fleet::new(&workers());
    fleet.hold_all();
    let batch = job("j", 2, vec![step(3, 8)]);
    fleet.submit(batch.clone());
    let odd = fleet.place_of(&task("j", 0, 0)).expect("it runs");
    fleet.pass(4_000);
    // The others are ahead of it, but not faster.
    for worker in fleet.workers.values_mut() {
        worker.work(9_000);
    }
    let behind = fleet.worker(odd.as_str()).running.values_mut().next();
    behind.expect("it runs").1 = 1_000;
    fleet.take_over(&[batch], &workers());
    fleet.pass(2_000);
    assert_eq!(stops(&fleet), 0);
    assert_eq!(fleet.place_of(&task("j", 0, 0)), Some(odd));
}

/// Accepted work was left unplaced because the last task of the step before it was stopped again and
/// again: it seemed far slower than tasks whose ends were heard just after a new planner had begun.
#[test]
fn ends_that_a_new_planner_hears_first_do_not_make_the_others_slow() {
    let mut fleet = Fleet::new(&workers());
    fleet.hold_all();
    let batch = job("j", 2, vec![step(3, 8)]);
    fleet.submit(batch.clone());
    let last = fleet.place_of(&task("j", 0, 0)).expect("it runs");
    fleet.pass(4_000);
    for index in 1..3 {
        let place = fleet.place_of(&task("j", 0, index)).expect("it runs");
        let worker = fleet.worker(place.as_str());
        worker.end(&task("j", 0, index), RunEndKind::Done);
    }
    fleet.take_over(&[batch], &workers());
    fleet.pass(4_000);
    assert_eq!(stops(&fleet), 0);
    assert_eq!(fleet.place_of(&task("j", 0, 0)), Some(last));
}
