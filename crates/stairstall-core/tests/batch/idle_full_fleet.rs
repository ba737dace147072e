//! Jobs that stand still beside room in a fleet that is nearly full, behind reservations and starts of
//! many others.

use std::collections::BTreeSet;

use stairstall_core::batch::{Order, StepSpec, VmLimits};

use crate::harness::{Fleet, bounds, gang, job, step, task};
use crate::idle_jobs::{
    MAX_IDLE_MS, PATIENCE_MS, TICK_MS, end_urgent, end_what_is_done, fill, fleet, hand_in,
    has_started, lasting, near, usual_fleet,
};

/// Members of a gang that needs almost the whole fleet of 160 accelerators.
const ALMOST_ALL: u32 = 158;

/// Returns how long a small job waits that is handed in so long after a gang that needs almost the whole
/// fleet. Urgent work goes on starting on the workers that the gang has reserved.
fn wait_beside_date_that_passes(after_ms: u64) -> u64 {
    const URGENT_TICKS: u64 = 5;
    let mut fleet = usual_fleet(2);
    for worker in fleet.workers.values_mut() {
        worker.span_ms = Some(3_000);
    }
    let mut ticks = 0;
    let mut pass = |fleet: &mut Fleet| {
        if ticks % URGENT_TICKS == 0 {
            let urgent = lasting(3_000, step(12, 1));
            hand_in(fleet, job(&format!("u{ticks}"), 0, vec![urgent]));
        }
        ticks += 1;
        fleet.pass(TICK_MS);
        end_what_is_done(fleet);
    };
    for _ in 0..35 {
        pass(&mut fleet);
    }
    let wide = lasting(60_000, gang(ALMOST_ALL, 1));
    hand_in(&mut fleet, job("wide", 1, vec![wide]));
    for _ in 0..after_ms / TICK_MS {
        pass(&mut fleet);
    }
    let small = lasting(90_000, step(4, 1));
    hand_in(&mut fleet, job("small", 2, vec![small]));
    let handed_in = fleet.at_ms;
    while !has_started(&fleet, "small") && fleet.at_ms - handed_in < PATIENCE_MS {
        pass(&mut fleet);
    }
    fleet.at_ms - handed_in
}

/// The date of a reservation only moves forward, while its gang may not start for long.
#[test]
fn a_reservation_whose_date_has_passed_holds_no_job_back_for_long() {
    for after_ms in [1_000, 2_500, 3_500, 5_000, 8_000] {
        let waited = wait_beside_date_that_passes(after_ms);
        assert!(
            waited < MAX_IDLE_MS,
            "after {after_ms} ms: it waited {waited} ms"
        );
    }
}

/// Returns for how long a small job waits beside a gang that has reserved all free workers, as far as it
/// fits twice over meanwhile. Urgent work leaves no room for that for `lasts` of each `every` steps of
/// the clock.
fn wait_beside_moments_without_room(every: u32, lasts: u32) -> u64 {
    let mut fleet = usual_fleet(2);
    let some = lasting(60_000, step(100, 1));
    hand_in(&mut fleet, job("some", 1, vec![some]));
    fleet.pass(TICK_MS);
    let wide = lasting(60_000, gang(ALMOST_ALL, 1));
    hand_in(&mut fleet, job("wide", 1, vec![wide]));
    fleet.pass(1_600);
    let small = lasting(90_000, step(4, 1));
    hand_in(&mut fleet, job("small", 2, vec![small]));
    let handed_in = fleet.at_ms;
    let mut ticks = 0;
    let mut beside_room_ms = 0;
    while !has_started(&fleet, "small") && fleet.at_ms - handed_in < PATIENCE_MS {
        if ticks % every == 0 {
            let urgent = lasting(TICK_MS, step(60, 1));
            hand_in(&mut fleet, job(&format!("u{ticks}"), 0, vec![urgent]));
        }
        if ticks % every == lasts {
            end_urgent(&mut fleet);
        }
        ticks += 1;
        let before = fleet.at_ms;
        fleet.pass(TICK_MS);
        if free_accelerators(&fleet) >= 2 {
            beside_room_ms += fleet.at_ms - before;
        }
    }
    beside_room_ms
}

/// Returns how many accelerators no task uses where each uses one.
fn free_accelerators(fleet: &Fleet) -> usize {
    let workers = fleet.workers.values();
    workers.map(|worker| 8 - worker.running.len()).sum()
}

/// What is free is counted with places that are only planned and ends that are not heard yet: a moment
/// without room must not start the wait behind a reservation anew.
#[test]
fn moments_without_room_hold_no_job_back_behind_a_reservation() {
    for every in [10, 15, 20, 23] {
        for lasts in [2, 4] {
            let waited = wait_beside_moments_without_room(every, lasts);
            assert!(
                waited < MAX_IDLE_MS,
                "{lasts} of {every} steps without room: it waited {waited} ms beside room"
            );
        }
    }
}

/// Returns how long a gang whose rack is full waits beside loose work of the same class that takes every
/// start, on a VM with a small start window that hears the answers to its starts late.
fn wait_beside_loose_work(width: u32, estimate_ms: u64) -> u64 {
    const STEP_MS: u64 = 20;
    const STEPS_PER_TICK: u32 = 5;
    let limits = VmLimits {
        cpu_percent: 12,
        ..VmLimits::default()
    };
    let mut fleet = fleet(20, limits, bounds());
    let mut open: Vec<(u64, Order)> = Vec::new();
    let full = near("r0", lasting(60_000, step(80, 1)));
    hand_in(&mut fleet, job("full", 1, vec![full]));
    for _ in 0..10 {
        fleet.pass(TICK_MS);
    }
    let wide = near("r0", lasting(estimate_ms, gang(width, 1)));
    hand_in(&mut fleet, job("wide", 1, vec![wide]));
    let handed_in = fleet.at_ms;
    let mut steps = 0;
    while !has_started(&fleet, "wide") && fleet.at_ms - handed_in < PATIENCE_MS {
        if steps % (10 * STEPS_PER_TICK) == 0 {
            let loose = lasting(500, step(2_000, 1));
            hand_in(&mut fleet, job(&format!("u{steps}"), 1, vec![loose]));
        }
        steps += 1;
        fleet.at_ms += STEP_MS;
        fleet.hold_all();
        let now = fleet.now();
        fleet
            .planner
            .set_evacuated_zones(BTreeSet::new(), now.at, now);
        for _ in 0..2 {
            let orders = fleet.planner.tick(fleet.now());
            fleet.write_all();
            for order in orders {
                let delay_ms = 100 + open.len() as u64 * 7 % 60;
                open.push((fleet.at_ms + delay_ms, order));
            }
        }
        let at_ms = fleet.at_ms;
        let all = std::mem::take(&mut open);
        let (due, later) = all.into_iter().partition(|(at, _)| *at <= at_ms);
        open = later;
        for (_, order) in due {
            fleet.carry_out(&order);
        }
        if steps % (5 * STEPS_PER_TICK) == 0 {
            end_urgent(&mut fleet);
        }
    }
    fleet.at_ms - handed_in
}

/// A search for an idle job counts only if something could have started then.
#[test]
fn a_closed_start_window_is_no_reason_to_search_later() {
    for estimate_ms in [15_000, 4_000] {
        for width in [2, 5, 10, 20, 40, 79] {
            let waited = wait_beside_loose_work(width, estimate_ms);
            assert!(
                waited < MAX_IDLE_MS,
                "a gang of {width} that lasts {estimate_ms} ms waited {waited} ms"
            );
        }
    }
}

/// Each task that lasts has to run, not only one of its job.
#[test]
fn tasks_that_last_are_not_started_one_after_the_other() {
    const TASKS: u32 = 40;
    let mut fleet = usual_fleet(4);
    fill(&mut fleet, "r0");
    let serving = StepSpec {
        long_running: true,
        ..near("r0", lasting(60_000, step(TASKS, 1)))
    };
    hand_in(&mut fleet, job("serves", 1, vec![serving]));
    let handed_in = fleet.at_ms;
    let are_placed =
        |fleet: &Fleet| (0..TASKS).all(|index| fleet.place_of(&task("serves", 0, index)).is_some());
    while !are_placed(&fleet) && fleet.at_ms - handed_in < PATIENCE_MS {
        fleet.pass(TICK_MS);
    }
    let waited = fleet.at_ms - handed_in;
    assert!(waited < MAX_IDLE_MS, "the last of them waited {waited} ms");
}
