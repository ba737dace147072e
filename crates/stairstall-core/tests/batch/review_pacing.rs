//! What slow planners, stalls and earlier tenures must not bring about.

use std::collections::BTreeSet;
use std::time::Duration;

use stairstall_core::batch::{Order, OrderKind, StartOutcome, VmLimits};

use crate::harness::{Fleet, bounds, job, step, task};
use crate::idle_jobs::{MAX_IDLE_MS, PATIENCE_MS, TICK_MS, fleet, hand_in, lasting};
use crate::pacing::{SATURATED, SPARE, WEAK, starts};

fn answer(fleet: &mut Fleet, orders: &[Order]) {
    for order in orders {
        let clock_ms = fleet.at_ms;
        let now = fleet.now();
        let outcome = StartOutcome::Started { clock_ms };
        fleet.planner.handle_start_outcome(order, outcome, now);
    }
}

/// The first tenure of a process gave up a place that it could not store. The run number was used
/// again by the next planner, on another machine; then the process gets the role again.
#[test]
fn a_release_of_an_older_tenure_ends_no_run_of_the_tenure_after_it() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"].map(|name| (name, "r1"));
    let mut fleet = Fleet::new(&names);
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.submit(accepted.clone());
    fleet.pass(500);
    let key = task("j", 0, 0);
    let left = fleet.place_of(&key).expect("it runs");
    fleet.writes = false;
    fleet.announce_leaving(&left, 0);
    fleet.pass(500);
    let others: Vec<_> = fleet
        .listed
        .keys()
        .filter(|id| **id != left)
        .cloned()
        .collect();
    for id in &others {
        fleet.announce_leaving(id, 0);
    }
    fleet.pass(300);
    let of_first = fleet.planner.unstored_tasks();
    println!("the first tenure leaves {of_first:?}");
    for id in &others {
        let listed = fleet.listed.get_mut(id).expect("it is listed");
        listed.draining = false;
        listed.remaining_ms = None;
    }
    fleet.succeed(std::slice::from_ref(&accepted));
    fleet.writes = true;
    fleet.pass(3_000);
    assert_eq!(
        fleet.starts_of(&key),
        2,
        "the second tenure starts it again"
    );
    let place = fleet.place_of(&key).expect("it runs");
    // It lives on, and does not answer for a moment.
    fleet.workers.remove(&place);
    fleet.succeed(&[accepted]);
    let now = fleet.now();
    fleet.planner.restore_done_tasks(&of_first, now);
    fleet.pass(3_000);
    assert_eq!(
        fleet.starts_of(&key),
        2,
        "its second run may still be alive"
    );
}

/// A worker is polled again only after the pause, and it then lists the run that gave way.
#[test]
fn the_pause_before_a_poll_lets_no_urgent_place_lapse() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    for _ in 0..30 {
        fleet.at_ms += 100;
        let now = fleet.now();
        fleet.planner.record_busy(SATURATED, now);
    }
    fleet.submit(job("low", 2, vec![lasting(60_000, step(2, 8))]));
    fleet.pass(500);
    let now = fleet.now();
    let pause = fleet.planner.contact_lag(now).poll_pause;
    let pause = u64::try_from(pause.as_millis()).expect("small");
    let polled_at = fleet.at_ms;
    fleet.submit(job("urgent", 0, vec![step(1, 8)]));
    while fleet.at_ms < polled_at + pause {
        fleet.at_ms += 10;
        fleet.settle();
        for worker in ["w1", "w2"].map(|id| id.parse().expect("an id")) {
            if fleet.planner.poll_pause(&worker).is_zero() {
                fleet.hold(&worker);
            }
        }
    }
    fleet.hold_all();
    fleet.settle();
    let key = task("urgent", 0, 0);
    let start = fleet
        .given
        .iter()
        .find(|order| order.task == key && matches!(order.kind, OrderKind::Start { .. }));
    let stopped: BTreeSet<_> = fleet
        .given
        .iter()
        .filter(|order| order.kind == OrderKind::Stop)
        .map(|order| order.task.clone())
        .collect();
    let stops = fleet
        .given
        .iter()
        .filter(|order| order.kind == OrderKind::Stop)
        .count();
    println!("{stops} stops of {stopped:?}, pause {pause} ms");
    assert_eq!(
        start.map(|order| order.run),
        Some(1),
        "its first place was given up"
    );
    assert_eq!(stops, 1, "{stopped:?}");
}

/// Hands in jobs of a higher class in each round; returns how long jobs of a low class wait.
fn low_jobs_wait(round_ms: u64, pass: Duration) -> u64 {
    let limits = VmLimits {
        cpu_percent: 1,
        ..WEAK
    };
    let mut fleet = fleet(20, limits, bounds());
    let mut waiting: BTreeSet<String> = (0..8).map(|index| format!("low{index}")).collect();
    for name in &waiting {
        hand_in(&mut fleet, job(name, 2, vec![lasting(60_000, step(1, 1))]));
    }
    let mut rounds = 0;
    while !waiting.is_empty() && rounds * round_ms < PATIENCE_MS {
        let name = format!("more{rounds}");
        hand_in(
            &mut fleet,
            job(&name, 1, vec![lasting(60_000, step(20, 1))]),
        );
        let orders = starts(&mut fleet);
        fleet.planner.record_tick_duration(pass);
        for order in &orders {
            waiting.remove(order.task.group.job.as_str());
        }
        fleet.at_ms += 20;
        answer(&mut fleet, &orders);
        fleet.at_ms += TICK_MS - 20;
        let now = fleet.now();
        fleet.planner.record_busy(SATURATED, now);
        for _ in 1..round_ms / TICK_MS {
            fleet.at_ms += TICK_MS;
            let now = fleet.now();
            fleet.planner.record_busy(SATURATED, now);
        }
        rounds += 1;
    }
    rounds * round_ms
}

#[test]
fn low_jobs_start_in_time_where_a_pass_takes_20_ms() {
    let waited = low_jobs_wait(100, Duration::from_millis(20));
    assert!(waited < MAX_IDLE_MS + 1_000, "the last waited {waited} ms");
}

#[test]
fn low_jobs_start_in_time_where_a_pass_takes_60_ms() {
    let waited = low_jobs_wait(300, Duration::from_millis(60));
    assert!(waited < MAX_IDLE_MS + 1_000, "the last waited {waited} ms");
}

/// Two passes fell into stalls of the process that its lease outlived; then the VM is well again.
#[test]
fn stalls_put_no_later_pass_off_for_seconds() {
    let mut fleet = fleet(2, WEAK, bounds());
    for stall_ms in [2_400, 2_400, 5] {
        let name = format!("j{}", fleet.at_ms);
        hand_in(&mut fleet, job(&name, 2, vec![step(1, 1)]));
        let mut orders = Vec::new();
        while orders.is_empty() {
            fleet.at_ms += 10;
            orders = starts(&mut fleet);
        }
        fleet
            .planner
            .record_tick_duration(Duration::from_millis(stall_ms));
        fleet.at_ms += stall_ms;
        answer(&mut fleet, &orders);
    }
    let since = fleet.at_ms;
    hand_in(&mut fleet, job("last", 2, vec![step(1, 1)]));
    while starts(&mut fleet).is_empty() {
        fleet.at_ms += 10;
    }
    let waited = fleet.at_ms - since;
    assert!(waited < 1_000, "it waited {waited} ms in an empty fleet");
}

/// Starts without an answer say nothing good of the network or the VM.
#[test]
fn a_vm_whose_starts_get_no_answer_starts_no_more_at_a_time() {
    let mut fleet = fleet(20, WEAK, bounds());
    hand_in(&mut fleet, job("many", 2, vec![step(1_500, 1)]));
    let mut sent = 0;
    for _ in 0..12 {
        sent += starts(&mut fleet).len();
        for _ in 0..3 {
            fleet.at_ms += TICK_MS;
            let now = fleet.now();
            fleet.planner.record_busy(SPARE, now);
        }
    }
    assert!(sent <= 60, "{sent} starts are unanswered");
}

/// On a site with a short lease, the next request must leave well before the last deadline.
#[test]
fn requests_renew_a_short_lease_with_time_to_spare() {
    const SPARE_TIME: Duration = Duration::from_millis(500);
    let short = stairstall_core::batch::Bounds {
        lease_duration: Duration::from_secs(3),
        ..bounds()
    };
    let mut fleet = fleet(110, WEAK, short);
    for _ in 0..30 {
        fleet.at_ms += 100;
        let now = fleet.now();
        fleet.planner.record_busy(SATURATED, now);
    }
    let now = fleet.now();
    let wait = fleet.planner.contact_lag(now).report_wait;
    let now = fleet.now();
    let pause = fleet.planner.contact_lag(now).poll_pause;
    let next = wait + pause;
    assert!(
        next + SPARE_TIME <= short.lease_duration,
        "a wait of {wait:?} and a pause of {pause:?}"
    );
}

/// A link that is slow keeps the window small; the processor has been idle for long.
#[test]
fn the_pause_ends_once_the_process_has_time_again() {
    let limits = VmLimits {
        link_bytes_per_s: 200_000,
        ..WEAK
    };
    let mut fleet = fleet(20, limits, bounds());
    hand_in(&mut fleet, job("many", 2, vec![step(1_500, 1)]));
    for round in 0..90 {
        let orders = starts(&mut fleet);
        fleet.at_ms += 20;
        answer(&mut fleet, &orders);
        fleet.at_ms += TICK_MS - 20;
        let now = fleet.now();
        let busy = if round < 30 { SATURATED } else { SPARE };
        fleet.planner.record_busy(busy, now);
    }
    let now = fleet.now();
    let pause = fleet.planner.contact_lag(now).poll_pause;
    assert!(
        pause < Duration::from_millis(200),
        "{pause:?} after 6 s at {SPARE}%"
    );
}
