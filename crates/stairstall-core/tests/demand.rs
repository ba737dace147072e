//! Room kept for urgent work as it is seen to rise and fall by zone and queue.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::batch::{DemandHorizon, HeadroomPolicy, UrgentDemand, UrgentWork};
use stairstall_core::{Timestamp, ZoneId};

/// What is kept for is what comes within this time.
const SPAN: Duration = Duration::from_secs(5);
const STOP: Duration = Duration::from_millis(900);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
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

/// Arrivals of a zone: jobs of 4 accelerators, so many a second on the average, at random.
fn arrive(
    demand: &mut UrgentDemand,
    zone: &str,
    per_second: f64,
    from_to_ms: (u64, u64),
    random: &mut Pcg64Mcg,
) {
    let zone: ZoneId = zone.parse().unwrap();
    let work = UrgentWork {
        zone: Some(&zone),
        queue: "checks",
        accelerators: 4,
        hold_time: None,
    };
    let window = following().window;
    for ms in from_to_ms.0..from_to_ms.1 {
        if random.random_bool(per_second / 1_000.0) {
            demand.record(&work, window, at(ms));
        }
    }
}

fn room(demand: &UrgentDemand, policy: &HeadroomPolicy, ms: u64) -> f64 {
    let outlook = DemandHorizon {
        span: SPAN,
        stop_time: STOP,
        observed: Duration::from_millis(ms),
    };
    demand.headroom(&outlook, policy, at(ms))
}

#[test]
fn steady_demand_keeps_as_much_as_a_fixed_headroom() {
    let (mut kept, mut fixed, mut other) = (0.0, 0.0, 0);
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut demand = UrgentDemand::default();
        for zone in ["a", "b", "c"] {
            arrive(&mut demand, zone, 3.0, (0, 20_000), &mut random);
        }
        let now = room(&demand, &following(), 20_000);
        let then = room(&demand, &fixed_headroom(), 20_000);
        kept += now;
        fixed += then;
        other += u32::from((now - then).abs() > 0.25 * then);
    }
    assert!((kept - fixed).abs() < 0.05 * fixed, "{kept} {fixed}");
    assert!(
        other <= 2,
        "chance was taken for a change {other} times of 40"
    );
}

/// Whether more room is kept so long after a burst in zone b has begun.
fn sees_burst_after(ms: u64, seed: u64) -> bool {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut demand = UrgentDemand::default();
    let until = 10_000 + ms;
    arrive(&mut demand, "a", 2.0, (0, until), &mut random);
    arrive(&mut demand, "b", 2.0, (0, 10_000), &mut random);
    arrive(&mut demand, "b", 16.0, (10_000, until), &mut random);
    let kept = room(&demand, &following(), until);
    kept > 1.4 * room(&demand, &fixed_headroom(), until)
}

#[test]
fn a_burst_in_one_zone_is_kept_room_for_within_a_second_mostly_and_within_two_always() {
    let soon = (0..40).filter(|seed| sees_burst_after(1_000, *seed));
    let soon = soon.count();
    assert!(soon >= 36, "{soon} of 40");
    let late = (0..40).filter(|seed| !sees_burst_after(2_000, *seed));
    assert_eq!(late.count(), 0);
}

#[test]
fn whoever_has_just_begun_to_watch_takes_steady_demand_for_no_wave() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let mut demand = UrgentDemand::default();
    arrive(&mut demand, "a", 6.0, (0, 3_500), &mut random);
    let kept = room(&demand, &following(), 3_500);
    let fixed = room(&demand, &fixed_headroom(), 3_500);
    assert!((kept - fixed).abs() < f64::EPSILON, "{kept} {fixed}");
}

#[test]
fn a_burst_in_one_zone_does_not_hide_behind_a_lull_in_another() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut demand = UrgentDemand::default();
    arrive(&mut demand, "a", 14.0, (0, 9_000), &mut random);
    arrive(&mut demand, "b", 1.0, (0, 9_000), &mut random);
    arrive(&mut demand, "b", 14.0, (9_000, 11_000), &mut random);
    let kept = room(&demand, &following(), 11_000);
    // What zone b asks now, within what a stop may add to it.
    let of_b = 14.0 * 4.0 * SPAN.as_secs_f64();
    assert!((0.7 * of_b..2.0 * of_b).contains(&kept), "{kept} of {of_b}");
}

#[test]
fn room_is_given_back_soon_after_a_wave() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut demand = UrgentDemand::default();
        arrive(&mut demand, "a", 10.0, (0, 8_000), &mut random);
        let fixed = room(&demand, &fixed_headroom(), 10_100);
        assert!(fixed > 100.0, "{fixed}");
        let kept = room(&demand, &following(), 10_100);
        assert!(kept < 1.0, "seed {seed}: {kept} of {fixed}");
    }
}

#[test]
fn short_work_is_kept_room_for_only_as_long_as_it_holds_it() {
    let mut demand = UrgentDemand::default();
    let work = UrgentWork {
        zone: None,
        queue: "checks",
        accelerators: 10,
        hold_time: Some(Duration::from_millis(1_100)),
    };
    for second in 0..10 {
        demand.record(&work, Duration::from_secs(10), at(second * 1_000));
    }
    let policy = HeadroomPolicy {
        follows_change: false,
        ..following()
    };
    let kept = room(&demand, &policy, 9_500);
    assert!((kept - 10.0 * 2.0).abs() < 0.1, "{kept}");
    let fixed = room(&demand, &fixed_headroom(), 9_500);
    assert!((fixed - 10.0 * 5.0).abs() < 0.1, "{fixed}");
}

#[test]
fn many_zones_and_queues_are_counted_in_bounded_memory() {
    let mut demand = UrgentDemand::default();
    for number in 0..2_000_u64 {
        let zone: ZoneId = format!("zone-{number}").parse().unwrap();
        let work = UrgentWork {
            zone: Some(&zone),
            queue: "checks",
            accelerators: 1,
            hold_time: None,
        };
        demand.record(&work, Duration::from_secs(10), at(number));
    }
    let kept = room(&demand, &fixed_headroom(), 2_000);
    assert!((kept - 1_000.0).abs() < 1.0, "none is left out: {kept}");
    let size = format!("{demand:?}").len();
    assert!(size < 100_000, "{size} characters");
}
