//! Orders without answers, and workers and zones that do not answer.

use stairstall_core::WorkerId;
use stairstall_core::batch::{Order, OrderKind, StartOutcome, StopOutcome};

use crate::harness::{Fleet, gang, id, job, step, task};

#[test]
fn a_stop_without_an_answer_is_sent_again_at_once() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    let now = fleet.now();
    fleet.planner.cancel(&id("j"), now);
    let orders = fleet.planner.tick(now);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].kind, OrderKind::Stop);
    fleet
        .planner
        .handle_stop_outcome(&orders[0], StopOutcome::Unknown, now);
    assert_eq!(fleet.planner.tick(now), orders);
}

#[test]
fn a_start_without_an_answer_is_sent_again_as_the_same_run_and_then_barred() {
    let mut fleet = Fleet::with_unique_ids(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.place(job("j", 2, vec![step(1, 8)]));
    let now = fleet.now();
    let mut orders = fleet.planner.tick(now);
    for _ in 0..3 {
        assert!(matches!(orders[0].kind, OrderKind::Start { .. }));
        assert_eq!(orders[0].run, 1);
        fleet
            .planner
            .handle_start_outcome(&orders[0], StartOutcome::Unknown, now);
        orders = fleet.planner.tick(now);
    }
    fleet
        .planner
        .handle_start_outcome(&orders[0], StartOutcome::Unknown, now);
    let last = fleet.planner.tick(now);
    assert_eq!(last[0].kind, OrderKind::Stop);
    assert_eq!(last[0].run, 1);
}

/// Guards against a task running twice because a resent start reaches two incarnations with one ID.
#[test]
fn a_start_without_an_answer_is_not_sent_again_while_the_next_incarnation_may_carry_it_out() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    let first = fleet.first_start();
    fleet.leave_unanswered(&first);
    fleet.settle();
    fleet.pass(12_000);
    assert_eq!(fleet.given, [], "the start may still be carried out");
    fleet.pass(3_000);
    assert_eq!(fleet.starts_of(&first.task), 1);
}

/// Guards against delaying the next run after the worker has listed the run of an unanswered start.
#[test]
fn a_start_without_an_answer_delays_no_further_run_once_its_run_was_listed() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    let first = fleet.first_start();
    fleet.begin_without_answer(&first);
    fleet.leave_unanswered(&first);
    fleet.pass(300);
    fleet.cut_off(&first.worker);
    fleet.restart_cut_off(&first.worker);
    fleet.pass(300);
    let again = fleet.given.iter().filter(|order| order.run == 2);
    assert_eq!(again.count(), 1, "{:?}", fleet.given);
}

#[test]
fn several_silent_workers_cast_doubt_on_their_zone() {
    let names = ["w1", "w2", "w3", "w4", "w5"];
    let workers: Vec<(&str, &str)> = names.iter().map(|name| (*name, "r1")).collect();
    let mut fleet = Fleet::new(&workers);
    fleet.hold_all();
    fleet.at_ms += 1_000;
    for name in &names[..3] {
        let id = name.parse().expect("an id");
        let now = fleet.now();
        fleet.planner.handle_report_failure(&id, now);
    }
    // The two others have not been heard of since: they are asked before they get anything.
    fleet.submit(job("j", 0, vec![step(1, 8)]));
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
    fleet.hold(&"w5".parse().expect("an id"));
    fleet.settle();
    assert_eq!(
        fleet.place_of(&task("j", 0, 0)),
        Some("w5".parse().expect("an id"))
    );
}

/// Guards against a gang waiting for an unanswered start, whether or not its worker responds.
#[test]
fn a_gang_does_not_wait_for_a_member_whose_start_may_be_delayed() {
    for is_silent in [false, true] {
        let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1"), ("w3", "r1")]);
        fleet.hold_all();
        fleet.place(job("j", 0, vec![gang(3, 8)]));
        let unanswered: WorkerId = "w2".parse().expect("an id");
        for order in fleet.planner.tick(fleet.now()) {
            if order.worker == unanswered {
                fleet.leave_unanswered(&order);
            } else {
                fleet.carry_out(&order);
            }
        }
        fleet.at_ms += 1;
        if is_silent {
            fleet.cut_off(&unanswered);
        }
        fleet.hold_all();
        let orders = fleet.planner.tick(fleet.now());
        let mut stopped: Vec<&str> = orders.iter().map(|o| o.worker.as_str()).collect();
        stopped.sort_unstable();
        assert!(orders.iter().all(|order| order.kind == OrderKind::Stop));
        assert_eq!(stopped, ["w1", "w2", "w3"]);
    }
}

#[test]
fn a_gang_does_not_wait_for_a_member_whose_starts_were_given_up() {
    let names = [("w1", "r1"), ("w2", "r1"), ("w3", "r1")];
    let mut fleet = Fleet::with_unique_ids(&names);
    fleet.hold_all();
    fleet.place(job("j", 0, vec![gang(3, 8)]));
    let silent: WorkerId = "w2".parse().expect("an id");
    let mut stopped = Vec::new();
    for _ in 0..8 {
        let now = fleet.now();
        for order in fleet.planner.tick(now) {
            let is_start = matches!(order.kind, OrderKind::Start { .. });
            if order.worker != silent {
                fleet.carry_out(&order);
            } else if is_start {
                fleet
                    .planner
                    .handle_start_outcome(&order, StartOutcome::Unknown, now);
            }
            if !is_start {
                stopped.push(order.worker.to_string());
            }
        }
        fleet.at_ms += 1;
    }
    stopped.sort();
    assert_eq!(
        stopped,
        ["w1", "w2", "w3"],
        "all of them, within milliseconds"
    );
}

/// Submits a task, asks its worker again where `reports`, and leaves its start without an answer.
fn lose_a_start(fleet: &mut Fleet, reports: bool) -> WorkerId {
    let now = fleet.now();
    fleet.planner.submit(job("late", 2, vec![step(1, 8)]), now);
    fleet.planner.tick(now);
    fleet.write_all();
    let starts = fleet.planner.tick(now);
    let start = starts.first().expect("a start").clone();
    fleet.at_ms += 100;
    if reports {
        fleet.hold(&start.worker).expect("it is asked");
    }
    fleet.at_ms += 250;
    let now = fleet.now();
    fleet
        .planner
        .handle_start_outcome(&start, StartOutcome::Unknown, now);
    start.worker
}

#[test]
fn a_worker_that_reports_is_not_in_doubt_though_an_order_got_no_answer() {
    for (reports, silent) in [(true, 0), (false, 1)] {
        let mut fleet = Fleet::new(&[("w1", "r1")]);
        fleet.hold_all();
        lose_a_start(&mut fleet, reports);
        let now = fleet.now();
        assert_eq!(fleet.planner.contact_lag(now).unresponsive, silent);
    }
}

#[test]
fn late_answers_of_some_workers_take_no_places_from_a_zone_that_reports() {
    let workers: Vec<(String, &str)> = (0..8).map(|n| (format!("w{n}"), "r1")).collect();
    let workers: Vec<(&str, &str)> = workers.iter().map(|(n, r)| (n.as_str(), *r)).collect();
    let mut fleet = Fleet::new(&workers);
    fleet.hold_all();
    for index in 0..4 {
        let now = fleet.now();
        let job = job(&format!("j{index}"), 2, vec![step(1, 8)]);
        fleet.planner.submit(job, now);
    }
    let now = fleet.now();
    fleet.planner.tick(now);
    fleet.write_all();
    let starts = fleet.planner.tick(now);
    assert_eq!(starts.len(), 4);
    // Everybody reports; four starts go without an answer.
    fleet.at_ms += 100;
    fleet.hold_all();
    fleet.at_ms += 250;
    for start in &starts {
        let now = fleet.now();
        fleet
            .planner
            .handle_start_outcome(start, StartOutcome::Unknown, now);
    }
    let now = fleet.now();
    assert_eq!(fleet.planner.contact_lag(now).unresponsive, 0);
}

/// A worker that takes a stop and never lists the end: nothing else in the log tells why its room,
/// which waiting work counts on, does not become free.
#[test]
fn a_stop_without_an_end_is_told_each_time_it_is_sent_again() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    fleet.pass(300);
    let now = fleet.now();
    fleet.planner.cancel(&id("j"), now);
    fleet.planner.tick(now);
    fleet.planner.take_decisions();
    fleet.pass(700);
    let decisions = fleet.planner.take_decisions();
    let told = decisions.iter().find(|d| d.why.starts_with("no end "));
    assert!(told.is_some(), "{decisions:?}");
}

/// Guards against a planner whose own lease has lapsed taking the workers that it did not call for
/// silent ones, and their zone with them.
#[test]
fn a_start_that_the_planner_withheld_says_nothing_of_its_worker() {
    let names: Vec<String> = (0..10).map(|n| format!("w{n}")).collect();
    let workers: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "r1")).collect();
    let mut fleet = Fleet::new(&workers);
    fleet.hold_all();
    fleet.place(job("j", 2, vec![step(4, 8)]));
    let starts = fleet.planner.tick(fleet.now());
    assert_eq!(starts.len(), 4);
    fleet.at_ms += 1_000;
    let now = fleet.now();
    for start in &starts {
        fleet
            .planner
            .handle_start_outcome(start, StartOutcome::Withheld, now);
    }
    fleet.planner.tick(now);
    assert_eq!(fleet.planner.contact_lag(now).unresponsive, 0);
    fleet.settle();
    for index in 0..4 {
        assert!(fleet.place_of(&task("j", 0, index)).is_some());
    }
}

/// Number of workers in a large zone.
const ZONE_WORKERS: usize = 220;
/// Interval between the reports of two of its workers: each is heard about every 1.5 s.
const REPORT_INTERVAL_MS: u64 = 6;
/// Longer than the time between two passes over that many workers.
const PASS_INTERVAL_MS: u64 = 100;
/// How long a start is waited for.
const ORDER_TIMEOUT_MS: u64 = 350;

/// Returns a zone whose workers report in turn, the next worker to report, and starts that were sent
/// to some of its workers.
fn large_zone(starts: u32) -> (Fleet, usize, Vec<Order>) {
    let names: Vec<String> = (0..ZONE_WORKERS).map(|n| format!("w{n:03}")).collect();
    let workers: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "r1")).collect();
    let mut fleet = Fleet::new(&workers);
    fleet.hold_all();
    let busy = u32::try_from(ZONE_WORKERS).expect("a count");
    fleet.submit(job("long", 2, vec![step(busy, 7)]));
    let next = report_in_turn(&mut fleet, 0, 3_000, &[]);
    fleet.at_ms += PASS_INTERVAL_MS;
    fleet.settle();
    fleet.place(job("j", 0, vec![step(starts, 1)]));
    let orders = fleet.planner.tick(fleet.now());
    assert_eq!(orders.len(), starts as usize);
    (fleet, next, orders)
}

/// Lets workers report one after the other for a while, but for some of them.
fn report_in_turn(fleet: &mut Fleet, mut next: usize, ms: u64, silent: &[Order]) -> usize {
    let until = fleet.at_ms + ms;
    while fleet.at_ms < until {
        fleet.at_ms += REPORT_INTERVAL_MS;
        for worker in fleet.workers.values_mut() {
            worker.work(REPORT_INTERVAL_MS);
        }
        let id: WorkerId = format!("w{next:03}").parse().expect("an id");
        if !silent.iter().any(|order| order.worker == id) {
            fleet.hold(&id);
        }
        next = (next + 1) % ZONE_WORKERS;
    }
    next
}

/// Leaves starts without an answer; returns how many workers are unresponsive then.
fn leave_all_unanswered(fleet: &mut Fleet, orders: &[Order]) -> usize {
    for order in orders {
        fleet.leave_unanswered(order);
    }
    let now = fleet.now();
    fleet.planner.tick(now);
    fleet.planner.contact_lag(now).unresponsive
}

/// Guards against a few late answers that take all places of a large zone, whose workers report less
/// often than every 200 ms.
#[test]
fn a_few_starts_without_an_answer_cast_no_doubt_on_a_large_zone_that_reports() {
    let (mut fleet, next, orders) = large_zone(3);
    report_in_turn(&mut fleet, next, ORDER_TIMEOUT_MS, &orders);
    assert_eq!(leave_all_unanswered(&mut fleet, &orders), 3);
}

/// Guards against the same while the planner is late and has handled no answer for a while.
#[test]
fn a_planner_that_is_late_does_not_doubt_a_large_zone() {
    let (mut fleet, next, orders) = large_zone(3);
    report_in_turn(&mut fleet, next, ORDER_TIMEOUT_MS, &orders);
    fleet.at_ms += 400;
    fleet
        .planner
        .record_lateness(std::time::Duration::from_millis(400));
    assert_eq!(leave_all_unanswered(&mut fleet, &orders), 3);
}

/// A zone that is lost: nobody there has answered since the starts were sent.
#[test]
fn a_few_starts_without_an_answer_cast_doubt_on_a_large_zone_that_is_silent() {
    let (mut fleet, _, orders) = large_zone(3);
    fleet.at_ms += ORDER_TIMEOUT_MS;
    assert_eq!(leave_all_unanswered(&mut fleet, &orders), ZONE_WORKERS);
}

/// A zone that is lost just after the starts were sent: some have answered since, so that the first
/// starts without an answer don't tell yet.
#[test]
fn a_large_zone_that_falls_silent_is_in_doubt_without_another_start() {
    let (mut fleet, next, orders) = large_zone(3);
    report_in_turn(&mut fleet, next, ORDER_TIMEOUT_MS - 100, &orders);
    fleet.at_ms += 100;
    leave_all_unanswered(&mut fleet, &orders);
    fleet.at_ms += 200;
    let now = fleet.now();
    fleet.planner.tick(now);
    let unresponsive = fleet.planner.contact_lag(now).unresponsive;
    assert_eq!(unresponsive, ZONE_WORKERS);
}
