//! What a daemon knows of its peers, and whether it is cut off.

use std::time::Duration;

use stairstall_core::batch::{PeerAddress, PeerPolicy, PeerTable, Policy};
use stairstall_core::{Timestamp, VmId, ZoneId};

fn zone(name: &str) -> ZoneId {
    name.parse::<ZoneId>().expect("an id")
}

fn peer(name: &str, at: &str) -> PeerAddress {
    PeerAddress {
        vm: name.parse::<VmId>().expect("an id"),
        zone: zone(at),
        rpc: format!("{name}:7000"),
        capacity_shortfall_percent: 0,
    }
}

fn ms(at: u64) -> Timestamp {
    Timestamp::from_millis(at)
}

fn policy() -> PeerPolicy {
    Policy::default().peers
}

fn known() -> PeerTable {
    let mut reach = PeerTable::new(zone("a"), policy());
    for (name, at) in [("a2", "a"), ("b1", "b"), ("c1", "c")] {
        reach.record_introduction(peer(name, at), ms(0));
    }
    reach
}

#[test]
fn a_daemon_is_cut_off_when_only_its_own_zone_answers_and_the_store_serves_nobody_there() {
    let mut reach = known();
    reach.record_answer("a2:7000", false, ms(100));
    assert!(!reach.is_cut_off(ms(150)), "nobody elsewhere was asked yet");
    reach.record_failure("b1:7000");
    assert!(reach.is_cut_off(ms(150)));
    reach.record_answer("a2:7000", true, ms(160));
    assert!(!reach.is_cut_off(ms(170)), "its neighbour passes work on");
}

#[test]
fn while_the_store_serves_nobody_anywhere_nobody_is_cut_off() {
    let mut reach = known();
    reach.record_failure("c1:7000");
    reach.record_answer("b1:7000", false, ms(100));
    assert!(!reach.is_cut_off(ms(150)));
    let later = ms(100) + policy().fresh_for + Duration::from_millis(1);
    assert!(reach.is_cut_off(later), "that answer is too old");
}

#[test]
fn who_knows_nobody_elsewhere_is_not_taken_for_cut_off() {
    let mut reach = PeerTable::new(zone("a"), policy());
    assert!(!reach.is_cut_off(ms(0)));
    reach.record_introduction(peer("a2", "a"), ms(0));
    assert!(!reach.is_cut_off(ms(0)));
}

#[test]
fn work_is_passed_on_to_peers_that_the_store_served_a_moment_ago() {
    let mut reach = known();
    reach.record_answer("b1:7000", true, ms(100));
    reach.record_answer("c1:7000", true, ms(120));
    reach.record_answer("a2:7000", false, ms(130));
    assert_eq!(reach.relays(ms(200)), ["c1:7000", "b1:7000"]);
    reach.record_failure("c1:7000");
    assert_eq!(reach.relays(ms(200)), ["b1:7000"]);
    assert!(!reach.may_answer("c1:7000"));
    let late = ms(100) + policy().fresh_for + Duration::from_millis(1);
    assert!(reach.relays(late).is_empty());
}

#[test]
fn those_that_helped_are_asked_first_then_other_zones() {
    let mut reach = known();
    assert_eq!(reach.peers_to_probe().last().expect("an id"), "a2:7000");
    reach.record_answer("a2:7000", true, ms(10));
    assert_eq!(reach.peers_to_probe()[0], "a2:7000");
}

#[test]
fn daemons_of_each_zone_are_introduced_but_not_the_asker_nor_those_long_silent() {
    let mut reach = PeerTable::new(zone("a"), policy());
    for number in 0..20 {
        reach.record_introduction(peer(&format!("b{number}"), "b"), ms(60_000));
    }
    reach.record_introduction(peer("c1", "c"), ms(60_000));
    reach.record_introduction(peer("c2", "c"), ms(0));
    reach.record_introduction(peer("a2", "a"), ms(60_000));
    let asker = peer("a2", "a");
    let found = reach.peers_to_introduce(&asker, 7, ms(60_000));
    assert!(found.iter().any(|p| p.zone == zone("b")));
    assert!(found.iter().any(|p| p.rpc == "c1:7000"));
    assert!(
        found
            .iter()
            .all(|p| p.rpc != asker.rpc && p.rpc != "c2:7000")
    );
    assert!(found.len() <= 4);
    let mut rpcs: Vec<&String> = found.iter().map(|p| &p.rpc).collect();
    rpcs.sort();
    rpcs.dedup();
    assert_eq!(rpcs.len(), found.len(), "nobody twice");
}

#[test]
fn the_role_is_offered_to_strong_daemons_first_then_to_those_of_other_zones() {
    let mut reach = PeerTable::new(zone("a"), policy());
    let mut weak = peer("b1", "b");
    weak.capacity_shortfall_percent = 50;
    reach.record_introduction(weak, ms(10_000));
    reach.record_introduction(peer("a2", "a"), ms(10_000));
    reach.record_introduction(peer("c1", "c"), ms(9_000));
    reach.record_introduction(peer("c2", "c"), ms(0));
    let successors = reach.successor_candidates(ms(10_000), |_| true);
    let names: Vec<&str> = successors.iter().map(|p| p.vm.as_str()).collect();
    assert_eq!(names, ["c1", "a2"], "a daemon long silent is not asked");
}

#[test]
fn a_peer_that_was_not_asked_yet_may_answer() {
    let mut reach = known();
    assert!(reach.may_answer("b1:7000"), "it was only introduced");
    reach.record_failure("b1:7000");
    assert!(!reach.may_answer("b1:7000"));
    reach.record_introduction(peer("b1", "b"), ms(10));
    assert!(!reach.may_answer("b1:7000"), "others know it too");
    reach.record_call(peer("b1", "b"), ms(20));
    assert!(reach.may_answer("b1:7000"), "it called itself");
}

#[test]
fn with_many_daemons_each_calls_the_planner_less_often() {
    let mut reach = PeerTable::new(zone("a"), policy());
    for number in 0..8 {
        reach.record_introduction(peer(&format!("b{number}"), "b"), ms(0));
    }
    assert_eq!(
        reach.introduction_interval(),
        policy().min_introduction_interval
    );
    for number in 8..300 {
        reach.record_introduction(peer(&format!("b{number}"), "b"), ms(0));
    }
    let calls_per_s = 300.0 / reach.introduction_interval().as_secs_f64();
    assert!((7.0..=8.0).contains(&calls_per_s), "{calls_per_s} a second");
    let asker = peer("a2", "a");
    assert!(
        !reach.peers_to_introduce(&asker, 0, ms(60_000)).is_empty(),
        "nobody is forgotten sooner"
    );
    reach.record_call(asker.clone(), ms(1_000_000));
    assert!(
        reach
            .peers_to_introduce(&asker, 0, ms(1_000_000))
            .is_empty()
    );
    assert_eq!(
        reach.introduction_interval(),
        policy().min_introduction_interval,
        "those that are gone don't count"
    );
}
