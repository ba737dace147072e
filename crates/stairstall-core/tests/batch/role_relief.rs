//! When a planner on a weak or late VM offers its role, to whom, and who accepts it.

use std::time::Duration;

use stairstall_core::batch::{
    PeerAddress, PeerTable, Policy, RecentLateness, RolePolicy, RoleRelief, Strength,
    accepts_relief,
};
use stairstall_core::{Timestamp, VmId, ZoneId};

/// Longest time until a planner whose time has come considers to offer its role.
const ROUND: Duration = Duration::from_secs(1);
const WEAK: Strength = Strength {
    capacity_shortfall_percent: 80,
    is_late: false,
};
const STRONG: Strength = Strength {
    capacity_shortfall_percent: 0,
    is_late: false,
};

/// Returns a span that is shorter by the smallest unit of the clock.
fn almost(span: Duration) -> Duration {
    span.saturating_sub(Duration::from_millis(1))
}

fn policy() -> RolePolicy {
    Policy::default().role
}

fn start() -> Timestamp {
    Timestamp::from_millis(100_000)
}

fn zone(name: &str) -> ZoneId {
    name.parse::<ZoneId>().expect("an id")
}

fn peer(name: &str, shortfall: u32) -> PeerAddress {
    PeerAddress {
        vm: name.parse::<VmId>().expect("an id"),
        zone: zone("b"),
        rpc: format!("{name}:7000"),
        capacity_shortfall_percent: shortfall,
    }
}

/// A table of peers that called at a time.
fn peers(known: &[(&str, u32)], at: Timestamp) -> PeerTable {
    let mut table = PeerTable::new(zone("a"), Policy::default().peers);
    for (name, shortfall) in known {
        table.record_call(peer(name, *shortfall), at);
    }
    table
}

/// Returns the names of the daemons to ask at a time, if an offer is made.
fn asked(
    relief: &mut RoleRelief,
    own: Strength,
    table: &PeerTable,
    at: Timestamp,
) -> Option<Vec<String>> {
    let offer = relief.next_offer(own, table, at)?;
    let names = offer.candidates.iter().map(|peer| peer.vm.to_string());
    Some(names.collect())
}

fn late(strength: Strength) -> Strength {
    Strength {
        is_late: true,
        ..strength
    }
}

#[test]
fn a_weak_planner_offers_its_role_to_the_strongest_once_its_tenure_has_lasted() {
    let mut relief = RoleRelief::new(policy(), start());
    let ripe = start() + policy().min_tenure;
    let table = peers(&[("small", 80), ("middle", 40), ("strong", 0)], ripe);
    let early = start() + almost(policy().min_tenure);
    assert_eq!(asked(&mut relief, WEAK, &table, early), None);
    let found = asked(&mut relief, WEAK, &table, ripe).expect("an offer");
    assert_eq!(found, ["strong", "middle"]);
}

#[test]
fn a_planner_keeps_its_role_while_nobody_is_stronger() {
    let ripe = start() + policy().late_min_tenure * 2;
    let table = peers(&[("small", 80), ("tiny", 90)], ripe);
    let mut relief = RoleRelief::new(policy(), start());
    assert_eq!(asked(&mut relief, WEAK, &table, ripe), None);
    let table = peers(&[("strong", 0)], ripe);
    assert_eq!(asked(&mut relief, STRONG, &table, ripe), None);
}

#[test]
fn a_refusal_is_followed_by_a_pause_and_then_by_others() {
    let mut relief = RoleRelief::new(policy(), start());
    let mut at = start() + policy().min_tenure;
    let known = [("s1", 0), ("s2", 0), ("s3", 0), ("s4", 0)];
    let table = peers(&known, at);
    let mut seen = Vec::new();
    for _ in 0..2 {
        let found = asked(&mut relief, WEAK, &table, at).expect("an offer");
        for name in &found {
            relief.record_refusal(&format!("{name}:7000"));
        }
        seen.extend(found);
        let sooner = at + almost(policy().offer_interval);
        assert_eq!(asked(&mut relief, WEAK, &table, sooner), None);
        at = at + policy().offer_interval;
    }
    seen.sort();
    assert_eq!(seen, ["s1", "s2", "s3", "s4"], "each was asked once");
    let again = asked(&mut relief, WEAK, &table, at);
    assert!(again.is_some(), "then the first ones are asked again");
}

#[test]
fn daemons_that_did_not_answer_are_asked_last() {
    let ripe = start() + policy().min_tenure;
    let mut table = peers(&[("dead1", 0), ("dead2", 0), ("middle", 40)], ripe);
    table.record_failure("dead1:7000");
    table.record_failure("dead2:7000");
    let mut relief = RoleRelief::new(policy(), start());
    let found = asked(&mut relief, WEAK, &table, ripe).expect("an offer");
    assert_eq!(found[0], "middle");
}

#[test]
fn a_strong_planner_that_is_mostly_late_offers_its_role_to_an_equal_one_but_seldom() {
    let late_planner = late(STRONG);
    let mut relief = RoleRelief::new(policy(), start());
    let ripe = start() + policy().late_min_tenure;
    let table = peers(&[("strong", 0), ("small", 80)], ripe);
    let early = start() + almost(policy().late_min_tenure);
    assert_eq!(asked(&mut relief, late_planner, &table, early), None);
    let found = asked(&mut relief, late_planner, &table, ripe).expect("an offer");
    assert_eq!(found, ["strong"], "a weaker one is not asked");
}

/// A handover between equals costs what it can't gain, if it is their load that makes them late.
#[test]
fn a_weak_planner_that_is_late_keeps_its_role_while_nobody_is_stronger() {
    let mut relief = RoleRelief::new(policy(), start());
    let ripe = start() + policy().late_min_tenure * 2;
    let table = peers(&[("small", 80)], ripe);
    assert_eq!(asked(&mut relief, late(WEAK), &table, ripe), None);
    let table = peers(&[("small", 80), ("strong", 0)], ripe);
    let found = asked(&mut relief, late(WEAK), &table, ripe).expect("an offer");
    assert_eq!(found, ["strong"]);
}

/// Returns a record in which each of some measurements was late or not.
fn measured(measurements: impl IntoIterator<Item = bool>) -> RecentLateness {
    let mut recent = RecentLateness::new(policy().late_from);
    for is_late in measurements {
        let late = policy().late_from;
        recent.record(if is_late { late } else { late / 2 });
    }
    recent
}

#[test]
fn one_late_moment_is_not_a_late_process() {
    let mut recent = measured([false; 100]);
    recent.record(Duration::from_secs(60));
    assert!(!recent.is_mostly_late());
    assert!(
        !measured([true; 5]).is_mostly_late(),
        "measured too briefly"
    );
    assert!(!measured((0..100).map(|n| n % 3 == 0)).is_mostly_late());
    assert!(measured((0..100).map(|n| n % 3 != 0)).is_mostly_late());
    let recovered = [true; 100].into_iter().chain([false; 50]);
    assert!(!measured(recovered).is_mostly_late());
}

#[test]
fn who_is_weak_late_or_has_just_started_refuses_to_relieve_another() {
    let up = Timestamp::from_millis(0) + policy().min_uptime;
    assert!(accepts_relief(&policy(), STRONG, 0, up));
    assert!(accepts_relief(&policy(), WEAK, 80, up));
    assert!(!accepts_relief(&policy(), WEAK, 79, up));
    assert!(!accepts_relief(&policy(), late(STRONG), 100, up));
    let just_started = Timestamp::from_millis(0) + policy().min_uptime / 2;
    assert!(!accepts_relief(&policy(), STRONG, 100, just_started));
}

/// Each strong VM fails soon after it has got the role, and a weak one that stays up acquires it.
#[test]
fn strong_vms_that_come_and_go_relieve_a_weak_one_at_most_once_per_interval() {
    const OBSERVED: Duration = Duration::from_secs(120);
    for held_ms in (0..8_000).step_by(500) {
        let held = Duration::from_millis(held_ms);
        let mut reliefs = Vec::new();
        let mut began_at = start();
        let mut relief = RoleRelief::new(policy(), began_at);
        let mut at = start();
        while at - start() < OBSERVED {
            let table = peers(&[("strong", 0)], at);
            if at >= began_at && relief.next_offer(WEAK, &table, at).is_some() {
                reliefs.push(at);
                began_at = at + held;
                relief = RoleRelief::new(policy(), began_at);
            }
            at = at + ROUND / 4;
        }
        let is_apart = |pair: &[Timestamp]| pair[1] - pair[0] >= policy().min_tenure + held;
        assert!(
            reliefs.windows(2).all(is_apart),
            "held for {held_ms} ms: {reliefs:?}"
        );
        let expected = OBSERVED.as_millis() / (policy().min_tenure + held + ROUND).as_millis();
        assert!(
            reliefs.len() as u128 >= expected,
            "held for {held_ms} ms: {reliefs:?}"
        );
    }
}
