//! Steps that an adviser lets only some workers run.

use std::sync::Arc;

use stairstall_core::WorkerId;
use stairstall_core::batch::{AcceptedJob, OrderKind, RefusalReason, StartOutcome};

use crate::harness::{Fleet, catalog, job, step, task};

const TICKET_MS: u64 = 3_000;

fn advised_job() -> AcceptedJob {
    let mut job = job("j", 2, vec![step(1, 8)]);
    "advised".clone_into(&mut job.queue.name);
    job.queue.ticket_valid_ms = Some(TICKET_MS);
    job
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.planner.set_catalog(Arc::new(catalog(0)));
    fleet.hold_all();
    fleet
}

#[test]
fn nothing_starts_without_a_ticket_and_then_only_where_it_may() {
    let mut fleet = fleet();
    fleet.submit(advised_job());
    fleet.pass(200);
    assert!(fleet.given.is_empty());
    let requests = fleet.planner.take_advice_requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].workers.len(), 2);
    let good = vec![("w2".parse().expect("an id"), "ticket-2".to_owned())];
    let now = fleet.now();
    fleet.planner.handle_advice(&requests[0], good, now);
    fleet.pass(200);
    assert_eq!(
        fleet.place_of(&task("j", 0, 0)),
        Some("w2".parse().expect("an id"))
    );
    let OrderKind::Start { ticket, .. } = &fleet.given[0].kind else {
        panic!("a start");
    };
    assert_eq!(ticket.as_deref(), Some("ticket-2"));
}

/// A ticket holds for one life: with the old one, each start at the next is rejected.
#[test]
fn a_ticket_of_a_life_is_not_brought_to_the_next() {
    let mut fleet = fleet();
    fleet.keeps_ids = true;
    fleet.writes = false;
    fleet.submit(advised_job());
    let requests = fleet.planner.take_advice_requests();
    let place: WorkerId = "w1".parse().expect("an id");
    let good = vec![(place.clone(), "old".to_owned())];
    let now = fleet.now();
    fleet.planner.handle_advice(&requests[0], good, now);
    fleet.crash_for(&place, 200);
    fleet.pass(500);
    fleet.writes = true;
    fleet.pass(200);
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
    let again = fleet.planner.take_advice_requests();
    assert!(again.iter().any(|asked| asked.workers.contains(&place)));
}

#[test]
fn a_ticket_that_is_over_is_asked_for_again() {
    let mut fleet = fleet();
    fleet.writes = false;
    fleet.submit(advised_job());
    let requests = fleet.planner.take_advice_requests();
    let good = vec![("w1".parse().expect("an id"), "old".to_owned())];
    let now = fleet.now();
    fleet.planner.handle_advice(&requests[0], good, now);
    fleet.pass(TICKET_MS + 1_000);
    assert!(fleet.given.is_empty(), "its place could not be written");
    let again = fleet.planner.take_advice_requests();
    assert!(!again.is_empty());
    assert_eq!(again[0].workers, ["w1".parse().expect("an id")]);
}

#[test]
fn a_refused_ticket_is_not_used_again_and_starts_do_not_spin() {
    let mut fleet = fleet();
    fleet.submit(advised_job());
    let requests = fleet.planner.take_advice_requests();
    let good = vec![("w1".parse().expect("an id"), "bad".to_owned())];
    let now = fleet.now();
    fleet.planner.handle_advice(&requests[0], good, now);
    let mut refused = 0;
    for _ in 0..20 {
        let now = fleet.now();
        for order in fleet.planner.tick(now) {
            refused += 1;
            let outcome = StartOutcome::Refused(RefusalReason::NoTicket);
            fleet.planner.handle_start_outcome(&order, outcome, now);
        }
        fleet.write_all();
        fleet.at_ms += 20;
    }
    assert_eq!(refused, 1);
}
