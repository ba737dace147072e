//! Availability zones that operators evacuate: nothing starts there until they are restored.

use std::collections::BTreeSet;

use crate::harness::{Fleet, gang, job, step, task, worker};
use stairstall_core::batch::{Order, OrderKind, Resources, StartOutcome};
use stairstall_core::{WorkerId, ZoneId};

fn zone(name: &str) -> ZoneId {
    name.parse().expect("an id")
}

fn zones(names: &[&str]) -> BTreeSet<ZoneId> {
    names.iter().copied().map(zone).collect()
}

/// Two workers in each of zone `a` and zone `b`.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[("a1", "r1"), ("a2", "r1")]);
    for name in ["b1", "b2"] {
        add(&mut fleet, name, "b");
    }
    fleet.hold_all();
    fleet.settle();
    fleet
}

fn add(fleet: &mut Fleet, name: &str, zone_name: &str) {
    let mut listed = worker(name, "r2", Resources::new(32_000, 64_000, 8));
    listed.zone = zone(zone_name);
    let now = fleet.now();
    fleet.workers.entry(listed.id.clone()).or_default();
    fleet.planner.handle_listed_worker(listed, now);
}

fn evacuate(fleet: &mut Fleet, names: &[&str]) {
    fleet.evacuated = zones(names);
    fleet.settle();
}

/// Tells whether any start was given for a worker of zone `b`.
fn started_in_b(orders: &[Order]) -> bool {
    orders.iter().any(|order| {
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        is_start && order.worker.as_str().starts_with('b')
    })
}

#[test]
fn nothing_starts_in_an_evacuated_zone_until_it_is_restored() {
    let mut fleet = fleet();
    evacuate(&mut fleet, &["b"]);
    fleet.submit(job("j", 2, vec![step(4, 8)]));
    fleet.pass(1_000);
    assert_eq!(fleet.given.len(), 2);
    assert!(!started_in_b(&fleet.given));
    evacuate(&mut fleet, &[]);
    fleet.pass(300);
    assert!(started_in_b(&fleet.given));
    assert_eq!(fleet.given.len(), 4);
}

#[test]
fn all_zones_at_once_take_nothing() {
    let mut fleet = fleet();
    evacuate(&mut fleet, &["a", "b"]);
    fleet.submit(job("j", 0, vec![gang(2, 8)]));
    fleet.pass(2_000);
    assert!(fleet.given.is_empty());
}

#[test]
fn a_zone_that_is_evacuated_again_takes_nothing_again() {
    let mut fleet = fleet();
    for names in [&["b"][..], &[], &["b"]] {
        evacuate(&mut fleet, names);
    }
    fleet.submit(job("j", 0, vec![gang(4, 8)]));
    fleet.pass(2_000);
    assert!(fleet.given.is_empty(), "a member would be in the zone");
}

#[test]
fn what_runs_there_runs_on_and_can_be_cancelled() {
    let mut fleet = fleet();
    fleet.submit(job("j", 2, vec![step(4, 8)]));
    let there: Vec<_> = (0..4)
        .map(|index| task("j", 0, index))
        .filter(|key| {
            let place = fleet.place_of(key);
            place.is_some_and(|place| place.as_str().starts_with('b'))
        })
        .collect();
    evacuate(&mut fleet, &["b"]);
    fleet.pass(8_000);
    let deadline_ms = fleet.worker("b1").deadline_ms;
    assert!(deadline_ms > fleet.at_ms, "it is renewed");
    assert!(there.iter().all(|key| fleet.place_of(key).is_some()));
    let now = fleet.now();
    fleet.planner.cancel(&there[0].group.job, now);
    fleet.pass(300);
    assert!(there.iter().all(|key| fleet.place_of(key).is_none()));
}

#[test]
fn places_that_wait_for_their_record_are_given_up_with_their_gangs() {
    let mut fleet = fleet();
    fleet.writes = false;
    fleet.submit(job("j", 0, vec![gang(4, 8)]));
    assert_eq!(fleet.planner.runs(), 4, "the places are kept");
    evacuate(&mut fleet, &["b"]);
    assert_eq!(fleet.planner.runs(), 0);
    fleet.writes = true;
    fleet.pass(1_000);
    assert!(fleet.given.is_empty());
}

#[test]
fn places_that_wait_for_others_to_give_way_are_given_up() {
    let mut fleet = fleet();
    fleet.submit(job("low", 2, vec![step(4, 8)]));
    let now = fleet.now();
    fleet.planner.submit(job("high", 0, vec![gang(4, 8)]), now);
    // The stops are ordered; none has ended when the word comes.
    let stops = fleet.planner.tick(now);
    assert!(stops.iter().any(|order| order.kind == OrderKind::Stop));
    evacuate(&mut fleet, &["b"]);
    for order in &stops {
        fleet.carry_out(order);
    }
    let before = fleet.given.len();
    fleet.pass(1_000);
    assert!(!started_in_b(&fleet.given[before..]));
}

#[test]
fn a_start_without_an_answer_is_not_sent_again_there() {
    let mut fleet = fleet();
    fleet.submit(job("fill", 2, vec![step(2, 8)]));
    let now = fleet.now();
    fleet.planner.submit(job("j", 2, vec![gang(2, 8)]), now);
    fleet.planner.tick(now);
    fleet.write_all();
    let starts = fleet.planner.tick(fleet.now());
    let starts: Vec<_> = starts
        .into_iter()
        .filter(|o| o.task.group.job.as_str() == "j")
        .collect();
    assert_eq!(starts.len(), 2);
    let name = starts[0].worker.as_str()[..1].to_owned();
    evacuate(&mut fleet, &[&name]);
    for start in &starts {
        let now = fleet.now();
        fleet
            .planner
            .handle_start_outcome(start, StartOutcome::Unknown, now);
    }
    let again = fleet.planner.tick(fleet.now());
    let is_start = |order: &&Order| matches!(order.kind, OrderKind::Start { .. });
    assert_eq!(again.iter().filter(is_start).count(), 0);
    assert!(again.iter().any(|order| order.kind == OrderKind::Stop));
}

#[test]
fn a_new_planner_starts_nothing_before_it_knows() {
    let workers = [("a1", "r1")];
    let mut fleet = Fleet::new(&workers);
    fleet.tells_evacuations = false;
    fleet.take_over(&[], &workers);
    fleet.hold_all();
    fleet.submit(job("j", 0, vec![step(1, 8)]));
    fleet.pass(1_000);
    assert!(fleet.given.is_empty());
    fleet.tells_evacuations = true;
    fleet.pass(100);
    assert_eq!(fleet.given.len(), 1);
}

#[test]
fn nothing_starts_while_the_last_word_is_too_old() {
    let mut fleet = fleet();
    fleet.tells_evacuations = false;
    fleet.pass(3_100);
    fleet.submit(job("j", 0, vec![step(1, 8)]));
    fleet.pass(500);
    assert!(fleet.given.is_empty());
    fleet.tells_evacuations = true;
    fleet.pass(100);
    assert_eq!(fleet.given.len(), 1);
}

#[test]
fn an_older_word_does_not_replace_a_newer_one() {
    let mut fleet = fleet();
    let asked = fleet.now();
    fleet.pass(200);
    evacuate(&mut fleet, &["b"]);
    fleet.tells_evacuations = false;
    let now = fleet.now();
    fleet
        .planner
        .set_evacuated_zones(BTreeSet::new(), asked.at, now);
    assert_eq!(fleet.planner.evacuated_zone_count(), 1);
}

#[test]
fn workers_that_join_an_evacuated_zone_take_nothing() {
    let mut fleet = Fleet::new(&[("a1", "r1")]);
    fleet.hold_all();
    evacuate(&mut fleet, &["b"]);
    add(&mut fleet, "b1", "b");
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(2, 8)]));
    fleet.pass(1_000);
    let at: Vec<&WorkerId> = fleet.given.iter().map(|order| &order.worker).collect();
    assert_eq!(at, [&"a1".parse::<WorkerId>().expect("an id")]);
}

#[test]
fn a_claim_makes_others_give_way_elsewhere() {
    let mut fleet = fleet();
    fleet.submit(job("low", 2, vec![step(4, 8)]));
    evacuate(&mut fleet, &["b"]);
    fleet.submit(job("high", 0, vec![gang(2, 8)]));
    fleet.pass(500);
    let places = [0, 1].map(|index| fleet.place_of(&task("high", 0, index)));
    let in_a = |place: &Option<WorkerId>| {
        place
            .as_ref()
            .is_some_and(|place| place.as_str().starts_with('a'))
    };
    assert!(places.iter().all(in_a), "{places:?}");
}
