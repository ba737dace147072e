//! The planner begins as much as its VM is seen to complete, whatever the VM announces.

use std::collections::BTreeSet;
use std::time::Duration;

use stairstall_core::batch::{Order, OrderKind, StartOutcome, VmLimits};

use crate::harness::{Fleet, bounds, job, step};
use crate::idle_jobs::{fleet, hand_in};

/// A VM that announces an eighth of a core: 45 starts at a time.
const WEAK: VmLimits = VmLimits {
    cpu_percent: 12,
    link_bytes_per_s: 125_000_000,
    memory_bytes: u64::MAX,
    open_files: u64::MAX,
};

fn weak_fleet() -> Fleet {
    fleet(20, WEAK, bounds())
}

/// Plans, lets the places be written down, and returns the starts that then go out.
fn starts(fleet: &mut Fleet) -> Vec<Order> {
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
