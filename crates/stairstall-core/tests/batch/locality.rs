//! How long tasks wait for a worker near their data.
//!
//! A job that was no gang waited for as long as its estimate for a rack that had no worker left, while others
//! were idle (`review/3`, docs/incidents/lost-rack.md).

use stairstall_core::WorkerId;
use stairstall_core::batch::{Resources, RunEndKind, StepSpec};

use crate::harness::{Fleet, gang, job, step, task};

const WORKERS: [(&str, &str); 4] = [("w1", "r1"), ("w2", "r1"), ("w3", "r2"), ("w4", "r2")];
/// Longest time that a job may have nothing running while capacity for it is free, in milliseconds.
const IDLE_LIMIT_MS: u64 = 3_000;
const HOUR_MS: u64 = 3_600_000;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&WORKERS);
    fleet.hold_all();
    fleet
}

fn near(rack: &str, estimate_ms: u64) -> StepSpec {
    StepSpec {
        near_rack: Some(rack.to_owned()),
        estimate_ms,
        ..step(1, 8)
    }
}

fn place(fleet: &Fleet, name: &str) -> Option<String> {
    let place = fleet.place_of(&task(name, 0, 0));
    place.map(|id| id.as_str().to_owned())
}

fn ids(names: [&str; 2]) -> [WorkerId; 2] {
    names.map(|name| name.parse().expect("an id"))
}

/// Fills both workers of rack `r1`.
fn fill_rack(fleet: &mut Fleet, spec: &StepSpec) {
    let both = StepSpec {
        count: 2,
        near_rack: Some("r1".to_owned()),
        ..spec.clone()
    };
    fleet.submit(job("full", 2, vec![both]));
    fleet.pass(300);
    assert_eq!(place(fleet, "full").as_deref(), Some("w1"));
}

/// Guards against a job that waits for a rack which is lost for good.
#[test]
fn a_job_does_not_wait_for_a_rack_without_workers() {
    for priority in 0..3 {
        let mut fleet = fleet();
        for id in ids(["w1", "w2"]) {
            fleet.crash(&id);
        }
        fleet.lose_crashed();
        fleet.pass(10_000);
        fleet.submit(job("j", priority, vec![near("r1", HOUR_MS)]));
        fleet.pass(IDLE_LIMIT_MS);
        assert!(place(&fleet, "j").is_some(), "priority {priority}");
    }
}

/// Guards against the same for workers that are told to leave.
#[test]
fn a_job_does_not_wait_for_a_rack_whose_workers_leave() {
    let mut fleet = fleet();
    for id in ids(["w1", "w2"]) {
        fleet.announce_leaving(&id, 60_000);
    }
    fleet.submit(job("j", 2, vec![near("r1", HOUR_MS)]));
    fleet.pass(200);
    assert!(place(&fleet, "j").is_some());
}

/// Guards against the same for workers that are too small.
#[test]
fn a_job_does_not_wait_for_workers_that_are_too_small() {
    let mut fleet = fleet();
    for id in ids(["w1", "w2"]) {
        let now = fleet.now();
        let listed = fleet.listed.get_mut(&id).expect("it is listed");
        listed.capacity = Resources::new(32_000, 64_000, 4);
        fleet.planner.handle_listed_worker(listed.clone(), now);
    }
    fleet.submit(job("j", 2, vec![near("r1", HOUR_MS)]));
    fleet.pass(200);
    assert!(place(&fleet, "j").is_some());
}

/// Guards against the same for a rack that is full for longer than running elsewhere takes.
#[test]
fn a_job_does_not_wait_for_a_rack_that_is_full_for_too_long() {
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 8)
    };
    let long = StepSpec {
        estimate_ms: HOUR_MS,
        ..step(1, 8)
    };
    for spec in [lasting, long] {
        let mut fleet = fleet();
        for worker in fleet.workers.values_mut() {
            worker.span_ms = None;
        }
        fill_rack(&mut fleet, &spec);
        fleet.submit(job("j", 2, vec![near("r1", 60_000)]));
        fleet.pass(500);
        assert!(place(&fleet, "j").is_some(), "{spec:?}");
    }
}

/// Returns a fleet with a job whose rack is full of short work.
fn with_job_whose_rack_is_soon_free() -> Fleet {
    let mut fleet = fleet();
    let short = StepSpec {
        estimate_ms: 20_000,
        ..step(1, 8)
    };
    fill_rack(&mut fleet, &short);
    fleet.submit(job("j", 2, vec![near("r1", 30_000)]));
    fleet
}

/// A job may have nothing running for a while, and waits for its rack that long.
#[test]
fn a_job_waits_for_its_rack_where_that_is_soon_free() {
    let mut fleet = with_job_whose_rack_is_soon_free();
    fleet.pass(2_000);
    assert_eq!(place(&fleet, "j"), None);
    fleet
        .worker("w1")
        .end(&task("full", 0, 0), RunEndKind::Done);
    fleet.pass(300);
    assert_eq!(place(&fleet, "j").as_deref(), Some("w1"));
}

/// Guards against a job that stands still for its rack, although it fits twice over elsewhere.
#[test]
fn a_job_does_not_wait_for_its_rack_for_longer_than_it_may_stand_still() {
    let mut fleet = with_job_whose_rack_is_soon_free();
    fleet.pass(IDLE_LIMIT_MS);
    let elsewhere = place(&fleet, "j").expect("it runs");
    assert!(["w3", "w4"].contains(&elsewhere.as_str()), "{elsewhere}");
}

#[test]
fn a_job_waits_for_a_worker_that_comes_back_to_its_rack() {
    let mut fleet = fleet();
    for id in ids(["w1", "w2"]) {
        fleet.crash_for(&id, 1_000);
    }
    fleet.pass(100);
    fleet.submit(job("j", 2, vec![near("r1", HOUR_MS)]));
    fleet.pass(3_000);
    let place = place(&fleet, "j").expect("it runs");
    assert!(
        place != "w3" && place != "w4",
        "it runs at {place}, far from its data"
    );
}

/// A gang may be too large for what is left of its rack.
#[test]
fn a_gang_does_not_wait_for_a_rack_that_has_shrunk() {
    let mut fleet = fleet();
    fleet.crash(&ids(["w1", "w2"])[0]);
    fleet.lose_crashed();
    fleet.pass(10_000);
    let spec = StepSpec {
        near_rack: Some("r1".to_owned()),
        estimate_ms: HOUR_MS,
        ..gang(2, 8)
    };
    fleet.submit(job("j", 2, vec![spec]));
    fleet.pass(500);
    assert!(place(&fleet, "j").is_some());
}
