//! Batch work beside urgent work that comes in waves.

use stairstall_core::batch::{HeadroomPolicy, Policy, RunEndKind};

use crate::harness::{Fleet, START_UNIX_MS, job, step, task};

const WORKERS: [(&str, &str); 2] = [("w1", "r1"), ("w2", "r1")];

fn fleet(headroom: HeadroomPolicy) -> Fleet {
    let mut fleet = Fleet::new(&WORKERS);
    fleet.planner = fleet.planner.with_policy(Policy {
        headroom,
        ..Policy::default()
    });
    fleet.hold_all();
    fleet
}

fn following() -> HeadroomPolicy {
    HeadroomPolicy {
        follows_change: true,
        bounded_by_run_time: true,
        ..HeadroomPolicy::default()
    }
}

fn fixed_headroom() -> HeadroomPolicy {
    HeadroomPolicy {
        follows_change: false,
        bounded_by_run_time: false,
        ..HeadroomPolicy::default()
    }
}

/// Urgent jobs of one zone, one every 100 ms, each done after so long.
fn wave(fleet: &mut Fleet, jobs: u32, lasts_ms: u64) {
    let mut running = Vec::new();
    for _ in 0..jobs {
        let name = format!("urgent-{}", fleet.at_ms);
        let mut urgent = job(&name, 0, vec![step(1, 2)]);
        urgent.zone = Some("b".parse().expect("an id"));
        urgent.accepted_unix_ms = START_UNIX_MS + fleet.at_ms;
        fleet.submit(urgent);
        running.push((task(&name, 0, 0), fleet.at_ms + lasts_ms));
        fleet.pass(100);
        let at_ms = fleet.at_ms;
        for (key, _) in running.extract_if(.., |(_, ends)| *ends <= at_ms) {
            fleet.end_everywhere(&key, RunEndKind::Done);
        }
    }
    for (key, _) in running {
        fleet.end_everywhere(&key, RunEndKind::Done);
    }
    fleet.pass(100);
}

/// Returns how many of the 16 accelerators batch work gets that comes now.
fn taken_by_batch(fleet: &mut Fleet) -> usize {
    let mut batch = job("batch", 2, vec![step(16, 1)]);
    batch.accepted_unix_ms = START_UNIX_MS + fleet.at_ms;
    fleet.submit(batch);
    fleet.planner.runs()
}

#[test]
fn room_is_kept_as_soon_as_a_wave_is_seen() {
    let taken = |headroom: HeadroomPolicy| {
        let mut fleet = fleet(headroom);
        fleet.pass(10_000);
        wave(&mut fleet, 12, 300);
        taken_by_batch(&mut fleet)
    };
    let follows = HeadroomPolicy {
        bounded_by_run_time: false,
        ..following()
    };
    assert!(taken(fixed_headroom()) >= 12, "{}", taken(fixed_headroom()));
    assert!(taken(follows) <= 4, "{}", taken(follows));
}

#[test]
fn batch_work_gets_the_room_back_soon_after_a_wave() {
    let taken = |headroom: HeadroomPolicy| {
        let mut fleet = fleet(headroom);
        wave(&mut fleet, 50, 300);
        fleet.pass(2_200);
        taken_by_batch(&mut fleet)
    };
    assert!(taken(fixed_headroom()) <= 10, "{}", taken(fixed_headroom()));
    assert_eq!(taken(following()), 16);
}

#[test]
fn no_more_is_kept_for_short_urgent_work_than_it_holds_at_a_time() {
    let taken = |bounded_by_run_time: bool| {
        let mut fleet = fleet(HeadroomPolicy {
            follows_change: false,
            bounded_by_run_time,
            ..HeadroomPolicy::default()
        });
        // It takes a tenth of its estimate, which the planner learns from the first of it.
        wave(&mut fleet, 60, 200);
        taken_by_batch(&mut fleet)
    };
    assert!(
        taken(true) > taken(false),
        "{} {}",
        taken(true),
        taken(false)
    );
}
