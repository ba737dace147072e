//! Who gets room, and who gives way.

use std::sync::Arc;

use stairstall_core::batch::{OrderKind, Resources, WaitReason};

use crate::harness::{Fleet, catalog, gang, id, job, step, task, worker};

fn stops(fleet: &Fleet) -> usize {
    let orders = fleet.given.iter();
    orders.filter(|order| order.kind == OrderKind::Stop).count()
}

#[test]
fn batch_work_takes_everything_while_nothing_urgent_comes() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.submit(job("batch", 2, vec![step(16, 1)]));
    assert_eq!(fleet.planner.runs(), 16);
}

#[test]
fn batch_work_leaves_room_while_urgent_work_keeps_coming() {
    let mut fleet = fleet_under_urgent_work();
    let mut batch = job("batch", 2, vec![step(16, 1)]);
    batch.accepted_unix_ms = fleet.now().unix_ms;
    fleet.submit(batch);
    let taken = fleet.planner.runs();
    assert!((8..16).contains(&taken), "{taken} of 16 places are taken");
}

#[test]
fn a_wide_gang_starts_before_its_time_runs_out_although_urgent_work_keeps_coming() {
    let mut fleet = fleet_under_urgent_work();
    let mut wide = job("wide", 1, vec![gang(2, 8)]);
    wide.accepted_unix_ms = fleet.now().unix_ms;
    fleet.submit(wide);
    assert_eq!(fleet.planner.runs(), 0, "room is kept for urgent work");
    // It should be done 2 x 2,000 + 500 ms after its acceptance, and takes 2,000 ms.
    fleet.pass(2_400);
    assert_eq!(fleet.planner.runs(), 2);
}

#[test]
fn the_oldest_step_that_waits_although_it_fits_is_named() {
    let mut fleet = fleet_under_urgent_work();
    let mut wide = job("wide", 1, vec![gang(2, 8)]);
    wide.accepted_unix_ms = fleet.now().unix_ms;
    fleet.submit(wide);
    fleet.pass(700);
    let now = fleet.now();
    let oldest = fleet.planner.oldest_fitting_wait(now).expect("it fits");
    assert_eq!(oldest.group.job, id("wide"));
    assert!(oldest.waited.as_millis() >= 700, "{oldest:?}");
    assert_eq!(oldest.reason, WaitReason::Headroom);
    let explained = fleet.planner.explain(&id("wide"), now);
    assert!(explained.expect("it is known").steps[0].fits);
}

/// Two workers, after urgent work has come and gone for two seconds.
fn fleet_under_urgent_work() -> Fleet {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    for number in 0..5 {
        fleet.submit(job(&format!("urgent-{number}"), 0, vec![step(1, 4)]));
        fleet.pass(200);
        let key = task(&format!("urgent-{number}"), 0, 0);
        let place = fleet.place_of(&key).expect("it runs");
        fleet
            .worker(place.as_str())
            .end(&key, stairstall_core::batch::RunEndKind::Done);
        fleet.pass(200);
    }
    fleet
}

#[test]
fn a_claim_within_the_guarantee_makes_others_give_way_at_once() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.planner.set_catalog(Arc::new(catalog(8)));
    fleet.hold_all();
    fleet.submit(job("batch", 2, vec![step(8, 1)]));
    assert_eq!(fleet.planner.runs(), 8);
    fleet.submit(job("claim", 0, vec![step(1, 8)]));
    fleet.pass(300);
    assert_eq!(stops(&fleet), 8);
    assert!(fleet.place_of(&task("claim", 0, 0)).is_some());
}

#[test]
fn only_as_much_gives_way_as_is_needed() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.planner.set_catalog(Arc::new(catalog(8)));
    fleet.hold_all();
    fleet.submit(job("batch", 2, vec![step(8, 1)]));
    fleet.submit(job("claim", 0, vec![step(1, 3)]));
    fleet.pass(300);
    assert_eq!(stops(&fleet), 3);
}

#[test]
fn a_claim_takes_the_place_of_urgent_work_beyond_a_guarantee_but_not_of_a_claim() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.planner.set_catalog(Arc::new(catalog(4)));
    fleet.hold_all();
    let mut beyond = job("beyond", 0, vec![step(1, 4)]);
    beyond.customer = Some("other".parse().expect("an id"));
    fleet.submit(beyond);
    fleet.submit(job("claim-1", 0, vec![step(1, 4)]));
    fleet.pass(300);
    assert_eq!(stops(&fleet), 0, "both fit");
    // The guarantee grows: the second claim is within it, and only the other customer is beyond.
    let mut wider = catalog(8);
    wider.version = 2;
    fleet.planner.set_catalog(Arc::new(wider));
    fleet.submit(job("claim-2", 0, vec![step(1, 4)]));
    fleet.pass(1_000);
    assert_eq!(
        stops(&fleet),
        0,
        "other urgent work goes on while there is time"
    );
    fleet.pass(2_300);
    assert_eq!(stops(&fleet), 1);
    assert_eq!(fleet.starts_of(&task("claim-2", 0, 0)), 1, "begun in time");
    assert!(fleet.place_of(&task("claim-1", 0, 0)).is_some());
    assert!(fleet.place_of(&task("claim-2", 0, 0)).is_some());
    assert!(fleet.place_of(&task("beyond", 0, 0)).is_none());
}

#[test]
fn a_claim_that_was_accepted_long_ago_does_not_wait_again_under_a_new_planner() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.planner.set_catalog(Arc::new(catalog(4)));
    fleet.hold_all();
    let mut beyond = job("beyond", 0, vec![step(1, 8)]);
    beyond.customer = Some("other".parse().expect("an id"));
    fleet.submit(beyond);
    fleet.pass(300);
    let mut claim = job("claim", 0, vec![step(1, 4)]);
    claim.accepted_unix_ms = fleet.now().unix_ms - 3_000;
    fleet.submit(claim);
    fleet.pass(100);
    assert_eq!(stops(&fleet), 1);
}

#[test]
fn a_claim_makes_other_work_than_urgent_give_way_at_once() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.planner.set_catalog(Arc::new(catalog(4)));
    fleet.hold_all();
    fleet.submit(job("batch", 2, vec![step(1, 8)]));
    let mut beyond = job("beyond", 0, vec![step(1, 8)]);
    beyond.customer = Some("other".parse().expect("an id"));
    fleet.submit(beyond);
    fleet.pass(300);
    fleet.submit(job("claim", 0, vec![step(1, 4)]));
    fleet.pass(100);
    assert_eq!(stops(&fleet), 1);
    assert!(fleet.place_of(&task("beyond", 0, 0)).is_some());
}

#[test]
fn work_goes_to_its_callers_zone_where_that_costs_nothing() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r2")]);
    let now = fleet.now();
    let mut elsewhere = worker("w3", "r2", Resources::new(32_000, 64_000, 8));
    elsewhere.zone = "b".parse().expect("an id");
    fleet.planner.handle_listed_worker(elsewhere, now);
    fleet.hold_all();
    let mut here = job("here", 0, vec![step(1, 4)]);
    here.zone = Some("b".parse().expect("an id"));
    fleet.submit(here);
    let place = fleet.place_of(&task("here", 0, 0)).expect("it runs");
    assert_eq!(place.as_str(), "w3");
    let mut wide = job("wide", 0, vec![gang(2, 8)]);
    wide.zone = Some("b".parse().expect("an id"));
    fleet.submit(wide);
    assert_eq!(fleet.planner.runs(), 3, "elsewhere rather than not at all");
}
