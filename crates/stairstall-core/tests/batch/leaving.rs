//! Workers that announce that they leave.

use crate::harness::{Fleet, SPAN_MS, gang, id, job, step, task, worker};
use stairstall_core::WorkerId;
use stairstall_core::batch::{
    CallerState, Outcome, Resources, RunEnd, RunEndKind, StepSpec, WorkerReport,
};

/// Announces that a worker leaves in so many milliseconds.
fn announce(fleet: &mut Fleet, name: &str, remaining_ms: u64) {
    let mut leaving = worker(name, "r1", Resources::new(32_000, 64_000, 8));
    leaving.draining = true;
    leaving.remaining_ms = Some(remaining_ms);
    let now = fleet.now();
    fleet.planner.handle_listed_worker(leaving, now);
    fleet.settle();
}

fn names() -> [(&'static str, &'static str); 4] {
    [("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w4", "r1")]
}

#[test]
fn what_is_slower_than_its_estimate_leaves_in_time() {
    let mut fleet = Fleet::new(&names());
    fleet.hold_all();
    // The estimate is 2 s, the work takes ten times as long.
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.pass(10_000);
    announce(&mut fleet, place.as_str(), 2_000);
    fleet.pass(600);
    assert!(fleet.place_of(&key).is_some_and(|now| now != place));
}

#[test]
fn what_is_faster_than_its_estimate_ends_there() {
    let mut fleet = Fleet::new(&names());
    fleet.hold_all();
    let long = StepSpec {
        estimate_ms: 10 * SPAN_MS,
        ..step(1, 8)
    };
    fleet.submit(job("j", 2, vec![long]));
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.pass(14_000);
    announce(&mut fleet, place.as_str(), 8_000);
    fleet.pass(600);
    assert_eq!(fleet.place_of(&key), Some(place));
}

#[test]
fn a_gang_leaves_where_its_slowest_member_would_end_too_late() {
    let mut fleet = Fleet::new(&names());
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![gang(2, 8)]));
    let slow = fleet.place_of(&task("j", 0, 0)).expect("it runs");
    let fast = fleet.place_of(&task("j", 0, 1)).expect("it runs");
    fleet.worker(slow.as_str()).span_ms = Some(2 * SPAN_MS);
    fleet.pass(17_000);
    announce(&mut fleet, fast.as_str(), 4_000);
    fleet.pass(600);
    let place = fleet.place_of(&task("j", 0, 1));
    assert!(place.is_some_and(|place| place != fast));
}

#[test]
fn an_earlier_life_is_over_once_only_another_one_is_listed_at_its_address() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    assert_eq!(fleet.planner.runs(), 1);
    let mut next = worker("w1b", "r1", Resources::new(32_000, 64_000, 8));
    next.address = worker("w1", "r1", Resources::default()).address;
    let now = fleet.now();
    fleet.planner.handle_listed_worker(next.clone(), now);
    assert!(fleet.planner.knows_worker(&"w1".parse().expect("an id")));
    fleet
        .planner
        .handle_unlisted_worker(&"w1".parse().expect("an id"), now);
    // The next heartbeat changes nothing, and need not.
    fleet.planner.handle_listed_worker(next, now);
    assert!(!fleet.planner.knows_worker(&"w1".parse().expect("an id")));
    assert_eq!(fleet.planner.runs(), 0);
}

/// A worker came back at its address with a new ID and went without a word while the entry of its former incarnation
/// still stood: that one was taken for its successor, its task started elsewhere at once and was done twice
/// (`review/4`, docs/incidents/former-entry.md).
#[test]
fn a_worker_is_not_replaced_by_the_entry_of_its_former_incarnation() {
    let mut fleet = Fleet::new(&[("former", "r1"), ("other", "r1")]);
    fleet.hold_all();
    let address = fleet.listed[&"former".parse::<WorkerId>().expect("an id")]
        .address
        .clone();
    // It crashes while it is idle, and its entry stands.
    fleet.cut_off(&"former".parse().expect("an id"));
    fleet.pass(500);
    let mut fresh = worker("fresh", "r1", Resources::new(32_000, 64_000, 8));
    fresh.address = address;
    fresh.labels.insert("b".to_owned());
    fleet.begin(fresh);
    fleet.pass(500);
    let spec = StepSpec {
        required_label: Some("b".to_owned()),
        ..step(1, 8)
    };
    fleet.submit(job("j", 2, vec![spec]));
    let key = task("j", 0, 0);
    assert_eq!(fleet.place_of(&key), Some("fresh".parse().expect("an id")));
    fleet.pass(1_000);
    let now = fleet.now();
    fleet
        .planner
        .handle_unlisted_worker(&"fresh".parse().expect("an id"), now);
    fleet.pass(2_000);
    assert_eq!(fleet.planner.runs(), 1, "it runs on, and is asked");
    fleet.worker("fresh").end(&key, RunEndKind::Done);
    fleet.pass(500);
    assert_eq!(fleet.starts_of(&key), 1);
    assert_eq!(
        fleet.planner.caller_state(&id("j")),
        Some(CallerState::Ended(Outcome::Completed))
    );
}

/// Nothing delays the end of a worker whose address another one has taken since.
#[test]
fn a_worker_that_has_not_answered_since_is_replaced_by_the_next_at_its_address() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.pass(1_000);
    let mut next = fleet.listed[&place].clone();
    next.id = "next".parse().expect("an id");
    fleet.cut_off(&place);
    let now = fleet.now();
    fleet.planner.handle_unlisted_worker(&place, now);
    assert!(fleet.planner.knows_worker(&place), "its lease goes on");
    fleet.begin(next);
    fleet.settle();
    assert!(!fleet.planner.knows_worker(&place));
    assert_eq!(fleet.starts_of(&key), 2);
}

#[test]
fn what_ended_counts_though_its_worker_is_known_no_longer() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    fleet.pass(1_000);
    let asked = fleet.now();
    let gone: WorkerId = "w1".parse().expect("an id");
    let request = fleet
        .planner
        .report_request(&gone, asked)
        .expect("it is busy");
    let mut next = worker("w1b", "r1", Resources::new(32_000, 64_000, 8));
    next.address = worker("w1", "r1", Resources::default()).address;
    fleet.planner.handle_listed_worker(next, asked);
    fleet.planner.handle_unlisted_worker(&gone, asked);
    assert!(!fleet.planner.knows_worker(&gone));
    let last = WorkerReport {
        incarnation: Some(fleet.worker("w1").incarnation()),
        clock_ms: fleet.at_ms,
        running: Vec::new(),
        ended: vec![RunEnd {
            number: 1,
            task: task("j", 0, 0),
            run: 1,
            kind: RunEndKind::Done,
            checkpoint: None,
        }],
        truncated: false,
        bytes: 0,
    };
    fleet.at_ms += 100;
    let now = fleet.now();
    fleet
        .planner
        .handle_worker_report(&gone, &request, asked.at, last, now);
    fleet.write_all();
    assert_eq!(
        fleet.planner.caller_state(&id("j")),
        Some(CallerState::Ended(Outcome::Completed))
    );
}

/// Returns how much longer the first task of job `j` takes by its pace since `began_ms`.
fn left_ms(fleet: &mut Fleet, worker: &WorkerId, began_ms: u64) -> u64 {
    let ran_ms = fleet.at_ms - began_ms;
    let percent = fleet.worker(worker.as_str()).running[&task("j", 0, 0)].1 * 100 / SPAN_MS;
    ran_ms * (100 - percent) / percent
}

#[test]
fn what_ends_just_before_its_worker_goes_stays_though_a_stop_could_take_longer() {
    let mut fleet = Fleet::new(&names());
    fleet.hold_all();
    fleet.submit(job("j", 0, vec![gang(2, 8)]));
    let places = [0, 1].map(|index| fleet.place_of(&task("j", 0, index)));
    let leaving = places[0].clone().expect("it runs");
    let began_ms = fleet.at_ms;
    fleet.pass(10_000);
    // By its pace it ends 0.15 s before the worker goes; a stop takes up to 0.2 s.
    let left_ms = left_ms(&mut fleet, &leaving, began_ms);
    announce(&mut fleet, leaving.as_str(), left_ms + 150);
    fleet.pass(600);
    assert_eq!(
        [0, 1].map(|index| fleet.place_of(&task("j", 0, index))),
        places
    );
}

/// Lets a job's only task run until its worker, which said that it leaves, should be gone.
fn outstays(fleet: &mut Fleet) -> WorkerId {
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    let leaving = fleet.place_of(&task("j", 0, 0)).expect("it runs");
    let began_ms = fleet.at_ms;
    fleet.pass(18_000);
    let left_ms = left_ms(fleet, &leaving, began_ms) + 150;
    announce(fleet, leaving.as_str(), left_ms);
    // All is done, but its end does not come.
    fleet.pass(left_ms + 200);
    assert_eq!(fleet.place_of(&task("j", 0, 0)), Some(leaving.clone()));
    leaving
}

#[test]
fn what_a_worker_had_when_it_left_starts_elsewhere_at_once() {
    let mut fleet = Fleet::new(&names());
    let leaving = outstays(&mut fleet);
    let now = fleet.now();
    fleet.planner.handle_unlisted_worker(&leaving, now);
    assert!(
        fleet.planner.knows_worker(&leaving),
        "it answered a moment ago"
    );
    fleet.workers.remove(&leaving);
    fleet.planner.handle_report_failure(&leaving, now);
    // Its lease would last six seconds more.
    fleet.pass(500);
    assert!(fleet.place_of(&task("j", 0, 0)).is_some());
}

#[test]
fn what_a_listed_worker_has_is_waited_for_though_it_should_have_left() {
    let mut fleet = Fleet::new(&names());
    let leaving = outstays(&mut fleet);
    let now = fleet.now();
    fleet.workers.remove(&leaving);
    fleet.planner.handle_report_failure(&leaving, now);
    fleet.pass(500);
    assert_eq!(fleet.place_of(&task("j", 0, 0)), None, "it may run on");
}

/// The platform's page: `remainingMs` "is at least the time that is left: when it leaves, everything that runs
/// on it dies". So a worker that nobody can reach is gone once that time is over, and not before.
#[test]
fn a_worker_that_nobody_reaches_is_gone_once_its_announced_time_is_over() {
    const REMAINING_MS: u64 = 4_000;
    let mut fleet = Fleet::new(&names());
    fleet.hold_all();
    let long = StepSpec {
        estimate_ms: 1_000,
        ..step(1, 8)
    };
    fleet.submit(job("j", 2, vec![long]));
    let key = task("j", 0, 0);
    let leaving = fleet.place_of(&key).expect("it runs");
    fleet.worker(leaving.as_str()).span_ms = Some(SPAN_MS / 100);
    // Its lease lasts longer than it stays.
    fleet.pass(300);
    announce(&mut fleet, leaving.as_str(), REMAINING_MS);
    let announced_ms = fleet.at_ms;
    let now = fleet.now();
    fleet.planner.handle_unlisted_worker(&leaving, now);
    fleet.cut_off(&leaving);
    fleet.planner.handle_report_failure(&leaving, now);
    while fleet.at_ms < announced_ms + REMAINING_MS - 200 {
        fleet.pass(100);
        assert_eq!(fleet.place_of(&key), None, "it may run on where it is");
    }
    fleet.pass(600);
    assert!(fleet.place_of(&key).is_some());
}
