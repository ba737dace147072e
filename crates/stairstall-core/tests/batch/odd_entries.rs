//! Directory entries with odd values, which other writers leave.

use stairstall_core::WorkerId;
use stairstall_core::batch::{
    CallerState, Incarnation, ListedWorker, Outcome, Resources, RunEndKind,
};

use crate::harness::{Fleet, SPAN_MS, id, job, step, task, worker};

const COMPLETED: Option<CallerState> = Some(CallerState::Ended(Outcome::Completed));

fn names() -> [(&'static str, &'static str); 2] {
    [("w1", "r1"), ("w2", "r1")]
}

/// Starts a task that fills a worker; returns the fleet, the worker and its entry.
fn busy() -> (Fleet, WorkerId, ListedWorker) {
    let mut fleet = Fleet::new(&names());
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    let place = fleet.place_of(&task("j", 0, 0)).expect("it runs");
    let listed = fleet.listed[&place].clone();
    (fleet, place, listed)
}

fn list(fleet: &mut Fleet, entry: ListedWorker) {
    let now = fleet.now();
    fleet.planner.handle_listed_worker(entry, now);
    fleet.settle();
}

/// Ends the task of `busy` and checks that it ran once, where it began.
fn check_finishes(fleet: &mut Fleet, place: &WorkerId) {
    let key = task("j", 0, 0);
    assert_eq!(fleet.place_of(&key).as_ref(), Some(place));
    fleet.worker(place.as_str()).end(&key, RunEndKind::Done);
    fleet.pass(500);
    assert_eq!(fleet.starts_of(&key), 1, "{:?}", fleet.given);
    assert_eq!(fleet.planner.caller_state(&id("j")), COMPLETED);
}

/// Guards against a sum of times that overflows where a worker is said to leave in a very long time.
#[test]
fn a_worker_that_leaves_in_a_very_long_time_keeps_its_run() {
    let (mut fleet, place, mut leaving) = busy();
    fleet.pass(SPAN_MS * 9 / 10);
    leaving.draining = true;
    leaving.remaining_ms = Some(u64::MAX);
    list(&mut fleet, leaving);
    fleet.pass(600);
    check_finishes(&mut fleet, &place);
}

/// Guards against a sum of accelerators that overflows where one worker is said to have all there
/// can be.
#[test]
fn planning_goes_on_beside_a_worker_with_the_largest_capacity() {
    let mut fleet = Fleet::new(&names());
    fleet.hold_all();
    for name in ["w1", "w2"] {
        let mut largest = fleet.listed[&name.parse::<WorkerId>().expect("an id")].clone();
        largest.capacity = Resources::new(u32::MAX, u32::MAX, u32::MAX);
        list(&mut fleet, largest);
    }
    fleet.submit(job("j", 2, vec![step(2, 1)]));
    fleet.end_all();
    fleet.pass(500);
    assert_eq!(fleet.planner.caller_state(&id("j")), COMPLETED);
}

/// Guards against runs that begin a second time because their worker is listed at an address where
/// it does not listen, and against work that is sent there.
#[test]
fn a_run_goes_on_though_its_worker_is_listed_at_another_address() {
    let (mut fleet, place, good) = busy();
    let mut odd = good.clone();
    odd.address = worker("w9", "r1", Resources::default()).address;
    list(&mut fleet, odd);
    fleet.pass(SPAN_MS / 2);
    let links = fleet.planner.select_links();
    let (_, address) = links.iter().find(|(id, _)| *id == place).expect("a link");
    assert_eq!(*address, good.address);
    check_finishes(&mut fleet, &place);
    list(&mut fleet, good);
    fleet.submit(job("next", 2, vec![step(2, 8)]));
    // It gets work once it has answered again.
    fleet.pass(500);
    assert_eq!(fleet.worker(place.as_str()).running.len(), 1);
}

/// Guards against a start of life far ahead of the planner's clock, after which no report of the
/// worker counts any more and its runs begin elsewhere.
#[test]
fn a_run_goes_on_though_its_worker_is_said_to_have_begun_in_the_future() {
    let (mut fleet, place, good) = busy();
    let mut odd = good.clone();
    odd.incarnation = Some(Incarnation::from_unix_ms(u64::MAX));
    list(&mut fleet, odd);
    fleet.pass(SPAN_MS / 2);
    check_finishes(&mut fleet, &place);
    list(&mut fleet, good);
    fleet.submit(job("next", 2, vec![step(2, 8)]));
    // It gets work once it has answered again.
    fleet.pass(500);
    assert_eq!(fleet.worker(place.as_str()).running.len(), 1);
}
