//! Whose turn it is: what a start would still be worth, and what customers have used.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use stairstall_core::batch::{
    CompletionObjective, CustomerUsage, FleetCapacity, Policy, Resources, SchedulingPolicy,
    Timeliness,
};
use stairstall_core::{CustomerId, Timestamp};

/// Seeds of each property; the verdict is the same every time.
const SEEDS: u64 = 10;
/// Inputs of each seed.
const INPUTS: u64 = 20;

fn customer(number: usize) -> CustomerId {
    format!("customer-{number}").parse().expect("an id")
}

fn fleet() -> FleetCapacity {
    let worker = Resources::new(32_000, 64_000, 8);
    (0..100).fold(FleetCapacity::default(), |sum, _| sum.plus(&worker))
}

/// An account of a fleet of 100 workers.
fn usage(policy: SchedulingPolicy) -> CustomerUsage {
    let mut usage = CustomerUsage::new(policy);
    usage.begin_charge_interval(fleet, Timestamp::default());
    usage
}

#[test]
fn work_is_in_time_then_late_then_overdue() {
    let policy = SchedulingPolicy::default();
    let wanted = CompletionObjective {
        eligible_unix_ms: 10_000,
        span_ms: 4_000,
    };
    let turn_at = |at_unix_ms| wanted.scheduling_key(1_000, at_unix_ms, &policy);
    assert_eq!(turn_at(13_000).timeliness, Timeliness::InTime);
    assert_eq!(turn_at(13_000).latest_start_unix_ms, 13_000);
    assert_eq!(turn_at(13_001).timeliness, Timeliness::Late);
    assert_eq!(turn_at(13_001).latest_start_unix_ms, 21_000);
    assert_eq!(turn_at(21_000).timeliness, Timeliness::Late);
    assert_eq!(turn_at(21_001).timeliness, Timeliness::Overdue);
    assert_eq!(wanted.aged_unix_ms(&policy), Some(34_000));
}

#[test]
fn what_can_be_in_time_comes_before_what_is_late_and_that_before_what_nobody_waits_for() {
    let policy = SchedulingPolicy::default();
    let at_unix_ms = 100_000;
    let turn_of = |due_unix_ms| {
        let wanted = CompletionObjective {
            eligible_unix_ms: due_unix_ms,
            span_ms: 10_000,
        };
        wanted.scheduling_key(5_000, at_unix_ms, &policy)
    };
    let (overdue, late, in_time) = (turn_of(60_000), turn_of(80_000), turn_of(99_000));
    assert!(in_time < late);
    assert!(late < overdue);
    let unsorted = SchedulingPolicy {
        by_timeliness: false,
        ..policy
    };
    let oldest = CompletionObjective {
        eligible_unix_ms: 60_000,
        span_ms: 10_000,
    };
    assert!(oldest.scheduling_key(5_000, at_unix_ms, &unsorted) < in_time);
}

#[test]
fn a_share_is_the_largest_of_processors_memory_and_accelerators() {
    let fleet = fleet();
    let halves = Resources::new(16_000, 64, 1);
    assert_eq!(fleet.dominant_share_ppm(&halves, 100), 500_000);
    let whole = Resources::new(0, 0, 8);
    assert_eq!(fleet.dominant_share_ppm(&whole, 100), 1_000_000);
}

#[test]
fn use_counts_half_after_its_half_life_and_is_forgotten_in_the_end() {
    let mut usage = usage(SchedulingPolicy::default());
    let acme = customer(1);
    let second = Duration::from_secs(1);
    usage.charge(Some(&acme), 500_000, second, Timestamp::default());
    let used_at = |at| usage.used_ms(Some(&acme), Timestamp::from_millis(at));
    assert_eq!(used_at(0), 500);
    assert_eq!(used_at(30_000), 250);
    assert!(used_at(600_000) < 1);
    usage.begin_charge_interval(fleet, Timestamp::from_millis(600_000));
    assert!(usage.is_empty());
}

#[test]
fn work_that_has_just_started_counts_at_once() {
    let mut usage = usage(SchedulingPolicy::default());
    let acme = customer(1);
    usage.add_commitment(Some(&acme), 100_000, Duration::from_secs(10));
    assert_eq!(usage.used_ms(Some(&acme), Timestamp::default()), 1_000);
    let next = Timestamp::from_millis(1_000);
    usage.begin_charge_interval(fleet, next);
    assert_eq!(usage.used_ms(Some(&acme), next), 0, "it is counted anew");
}

#[test]
fn a_small_difference_of_use_changes_no_order() {
    let usage = usage(SchedulingPolicy::default());
    assert_eq!(
        usage.usage_level(1_010, 0, 1),
        usage.usage_level(1_090, 0, 1)
    );
    assert!(usage.usage_level(1_010, 0, 1) < usage.usage_level(1_110, 0, 1));
    assert_eq!(
        usage.usage_level(2_000, 0, 2),
        usage.usage_level(1_000, 0, 1)
    );
}

#[test]
fn the_number_of_accounts_is_bounded_and_the_least_used_goes_first() {
    let mut usage = usage(SchedulingPolicy {
        max_customers: 10,
        ..SchedulingPolicy::default()
    });
    let at = Timestamp::default();
    for number in 0..100 {
        let share_ppm = 1_000 * (100 - number as u64);
        let held = Duration::from_secs(1);
        usage.charge(Some(&customer(number)), share_ppm, held, at);
    }
    assert_eq!(usage.len(), 10);
    assert!(usage.used_ms(Some(&customer(0)), at) > 0);
    assert_eq!(usage.used_ms(Some(&customer(50)), at), 0);
}

#[test]
fn policies_of_turns_are_checked() {
    let check = |turns| {
        let policy = Policy {
            scheduling: turns,
            ..Policy::default()
        };
        policy.check().is_ok()
    };
    let policy = SchedulingPolicy::default();
    assert!(check(policy));
    let never_aged = SchedulingPolicy {
        aged_after: 0,
        ..policy
    };
    assert!(check(never_aged));
    let aged_too_soon = SchedulingPolicy {
        aged_after: 1,
        ..policy
    };
    assert!(!check(aged_too_soon));
    let no_step = SchedulingPolicy {
        usage_step: Duration::ZERO,
        ..policy
    };
    assert!(!check(no_step));
    let nobody = SchedulingPolicy {
        max_customers: 0,
        ..policy
    };
    assert!(!check(nobody));
}

/// Customers that always have work, of their own sizes, share a fleet: each time something fits, whoever
/// has used least in steps has it. None has less than half of what any other has.
fn shares_converge(sizes: Vec<(u8, u8)>) -> bool {
    let sizes: Vec<(u64, u64)> = sizes
        .into_iter()
        .take(10)
        .map(|(share, takes)| {
            let share_ppm = 5_000 + 1_000 * u64::from(share % 50);
            (share_ppm, 500 + 100 * u64::from(takes % 50))
        })
        .collect();
    if sizes.len() < 2 {
        return true;
    }
    let mut usage = usage(SchedulingPolicy::default());
    let mut running: Vec<(usize, u64)> = Vec::new();
    let mut had: BTreeMap<usize, u64> = BTreeMap::new();
    for tick in 1..=1_200_u64 {
        let at_ms = tick * 250;
        let at = Timestamp::from_millis(at_ms);
        let held = usage.begin_charge_interval(fleet, at).expect("it is due");
        for (who, ends_ms) in &running {
            let (share_ppm, _) = sizes[*who];
            let name = customer(*who);
            usage.charge(Some(&name), share_ppm, held, at);
            usage.add_commitment(
                Some(&name),
                share_ppm,
                Duration::from_millis(ends_ms.saturating_sub(at_ms)),
            );
        }
        running.retain(|(_, ends_ms)| *ends_ms > at_ms);
        loop {
            let taken: u64 = running.iter().map(|(who, _)| sizes[*who].0).sum();
            let steps = (0..sizes.len()).map(|who| {
                let used_ms = usage.used_ms(Some(&customer(who)), at);
                (usage.usage_level(used_ms, 0, 1), who)
            });
            let (_, who) = steps.min().expect("there are customers");
            let (share_ppm, takes_ms) = sizes[who];
            if taken + share_ppm > 1_000_000 {
                break;
            }
            running.push((who, at_ms + takes_ms));
            let takes = Duration::from_millis(takes_ms);
            usage.add_commitment(Some(&customer(who)), share_ppm, takes);
            *had.entry(who).or_default() += share_ppm * takes_ms / 1_000;
        }
    }
    let least = (0..sizes.len()).map(|who| had.get(&who).copied().unwrap_or(0));
    let least = least.min().unwrap_or(0);
    let most = had.values().copied().max().unwrap_or(0);
    2 * least >= most
}

#[test]
fn shares_of_customers_that_always_have_work_converge() {
    for seed in 1..=SEEDS {
        println!("seed {seed}");
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(20, seed))
            .tests(INPUTS)
            .quickcheck(shares_converge as fn(Vec<(u8, u8)>) -> bool);
    }
}
