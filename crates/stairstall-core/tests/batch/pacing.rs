//! The planner begins as much as its VM is seen to complete, whatever the VM announces.

use std::collections::BTreeSet;
use std::time::Duration;

use stairstall_core::batch::{Order, OrderKind, StartOutcome, VmLimits};

use crate::harness::{Fleet, bounds, gang, job, step};
use crate::idle_jobs::{MAX_IDLE_MS, PATIENCE_MS, TICK_MS, fleet, hand_in, lasting};

/// A VM that announces an eighth of a core: 45 starts at a time.
pub(crate) const WEAK: VmLimits = VmLimits {
    cpu_percent: 12,
    link_bytes_per_s: 125_000_000,
    memory_bytes: u64::MAX,
    open_files: u64::MAX,
};
const ANNOUNCED_WINDOW: usize = 45;
/// Share of the time in which a process with time to spare is busy, and a saturated one, in percent.
pub(crate) const SPARE: u32 = 30;
pub(crate) const SATURATED: u32 = 100;

fn weak_fleet() -> Fleet {
    fleet(20, WEAK, bounds())
}

/// Returns the pause before a poll of a worker on which nothing waits for its report.
fn poll_pause(fleet: &Fleet) -> Duration {
    fleet.planner.contact_lag(fleet.now()).poll_pause
}

/// Plans, lets the places be written down, and returns the starts that then go out.
pub(crate) fn starts(fleet: &mut Fleet) -> Vec<Order> {
    let now = fleet.now();
    fleet
        .planner
        .set_evacuated_zones(BTreeSet::new(), now.at, now);
    fleet.hold_all();
    fleet.planner.tick(now);
    fleet.write_all();
    let orders = fleet.planner.tick(now);
    let is_start = |order: &Order| matches!(order.kind, OrderKind::Start { .. });
    orders.into_iter().filter(is_start).collect()
}

/// Answers each start `answer_ms` after it was sent, for some rounds in which the process is busy for
/// a share of the time. Returns how many starts went out together in the last round.
fn last_starts(fleet: &mut Fleet, rounds: u32, answer_ms: u64, busy_percent: u32) -> usize {
    let mut last = 0;
    for _ in 0..rounds {
        let orders = starts(fleet);
        last = orders.len();
        fleet.at_ms += answer_ms;
        let now = fleet.now();
        for order in &orders {
            let clock_ms = fleet.at_ms;
            let outcome = StartOutcome::Started { clock_ms };
            fleet.planner.handle_start_outcome(order, outcome, now);
        }
        fleet.at_ms += TICK_MS.saturating_sub(answer_ms);
        let now = fleet.now();
        fleet.planner.record_busy(busy_percent, now);
    }
    last
}

/// Guards against jobs that wait beside free workers for a limit that the VM has long outgrown.
#[test]
fn a_vm_that_completes_more_than_it_announces_starts_more() {
    let mut fleet = weak_fleet();
    hand_in(&mut fleet, job("many", 2, vec![step(1_500, 1)]));
    assert_eq!(last_starts(&mut fleet, 1, 20, SPARE), ANNOUNCED_WINDOW);
    let widest = last_starts(&mut fleet, 9, 20, SPARE);
    assert!(widest >= 2 * ANNOUNCED_WINDOW, "{widest} at a time");
}

/// Guards against answers that are read after their time limits.
#[test]
fn a_vm_whose_answers_come_late_starts_less() {
    let mut fleet = weak_fleet();
    hand_in(&mut fleet, job("many", 2, vec![step(1_500, 1)]));
    let widest = last_starts(&mut fleet, 10, 300, SATURATED);
    assert!(widest <= ANNOUNCED_WINDOW / 2, "{widest} at a time");
    assert!(widest >= 8, "{widest} at a time");
}

/// Guards against a planner that spends its time on reports while jobs wait to be started.
#[test]
fn a_saturated_process_leaves_workers_alone_for_longer_but_within_their_leases() {
    let mut fleet = weak_fleet();
    assert_eq!(poll_pause(&fleet), Duration::ZERO);
    last_starts(&mut fleet, 30, 0, SATURATED);
    let pause = poll_pause(&fleet);
    assert!(pause > Duration::from_millis(500), "{pause:?}");
    assert!(pause <= Duration::from_millis(750), "{pause:?}");
    last_starts(&mut fleet, 30, 0, SPARE);
    assert_eq!(poll_pause(&fleet), Duration::ZERO);
}

/// Guards against passes that follow each other without a pause on a slow VM.
#[test]
fn passes_take_a_share_of_the_time_however_long_they_are() {
    let mut fleet = weak_fleet();
    let mut passes_at = Vec::new();
    for index in 0..100 {
        hand_in(&mut fleet, job(&format!("j{index}"), 2, vec![step(1, 1)]));
        let placed = starts(&mut fleet);
        if !placed.is_empty() {
            passes_at.push(fleet.at_ms);
            fleet
                .planner
                .record_tick_duration(Duration::from_millis(40));
        }
        for order in &placed {
            let clock_ms = fleet.at_ms;
            let now = fleet.now();
            let outcome = StartOutcome::Started { clock_ms };
            fleet.planner.handle_start_outcome(order, outcome, now);
        }
        fleet.at_ms += 10;
    }
    let last = passes_at.len() - 1;
    let gap_ms = passes_at[last] - passes_at[last - 1];
    assert!((120..=250).contains(&gap_ms), "{gap_ms} ms between passes");
}

/// Where starts are short, jobs of a higher class take all of them.
#[test]
fn jobs_of_a_low_class_start_in_time_although_starts_are_short() {
    const LOW_JOBS: usize = 8;
    let limits = VmLimits {
        cpu_percent: 1,
        ..WEAK
    };
    let mut fleet = fleet(20, limits, bounds());
    let low: BTreeSet<String> = (0..LOW_JOBS).map(|index| format!("low{index}")).collect();
    let mut waiting = low.clone();
    let mut rounds = 0;
    while !waiting.is_empty() && rounds * TICK_MS < PATIENCE_MS {
        let more = job(
            &format!("more{rounds}"),
            1,
            vec![lasting(60_000, step(20, 1))],
        );
        hand_in(&mut fleet, more);
        if rounds == 0 {
            for name in &low {
                hand_in(&mut fleet, job(name, 2, vec![lasting(60_000, step(1, 1))]));
            }
        }
        let orders = starts(&mut fleet);
        fleet.at_ms += TICK_MS;
        for order in &orders {
            waiting.remove(order.task.group.job.as_str());
            let clock_ms = fleet.at_ms;
            let now = fleet.now();
            let outcome = StartOutcome::Started { clock_ms };
            fleet.planner.handle_start_outcome(order, outcome, now);
        }
        rounds += 1;
    }
    let waited_ms = rounds * TICK_MS;
    assert!(waited_ms < MAX_IDLE_MS, "the last waited {waited_ms} ms");
}

/// A wide gang waits until half of the window is free, and nothing passes it meanwhile.
#[test]
fn a_gang_wider_than_the_window_starts_beside_some_starts_in_flight() {
    let mut fleet = weak_fleet();
    hand_in(&mut fleet, job("first", 2, vec![step(20, 1)]));
    assert_eq!(starts(&mut fleet).len(), 20);
    hand_in(&mut fleet, job("wide", 1, vec![gang(60, 2)]));
    fleet.at_ms += TICK_MS;
    assert_eq!(starts(&mut fleet).len(), 60);
}
