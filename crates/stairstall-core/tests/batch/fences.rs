//! Tokens that tell the lives of a worker apart, and what a life's beginning undoes.

use stairstall_core::WorkerId;
use stairstall_core::batch::{OrderKind, RefusalReason, StartOutcome, StepSpec};

use crate::harness::{Fleet, job, step, task};

const FENCED: StartOutcome = StartOutcome::Refused(RefusalReason::Fenced);

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.keeps_ids = true;
    fleet.hold_all();
    fleet
}

/// Starts a worker again under its id and lets the new life answer, before anything is looked through.
fn restart_and_meet(fleet: &mut Fleet, id: &WorkerId) {
    fleet.cut_off(id);
    fleet.at_ms += 1_000;
    fleet.restart_cut_off(id);
    fleet.hold(id).expect("a life that was not met is asked");
}

#[test]
fn a_start_that_the_next_life_refuses_goes_elsewhere_at_once_and_ends_no_tenure() {
    let mut fleet = fleet();
    let start = fleet.first_start();
    fleet.cut_off(&start.worker);
    fleet.begin_unheard_life(&start.worker, 1);
    let now = fleet.now();
    fleet.planner.handle_start_outcome(&start, FENCED, now);
    assert!(
        !fleet.planner.is_superseded(),
        "its own later token was seen"
    );
    fleet.pass(100);
    let again = fleet.place_of(&task("j", 0, 0));
    assert!(again.is_some_and(|again| again != start.worker));
}

/// A task ran on two workers at once. The third try of a run had left before its worker's next life was heard of, and was
/// refused by that life after the next run of the task had been sent there. Told by the task alone, the refusal was taken
/// for one of the new run: "run=5 stopped; its worker's life was over before" stood 0.12 s before run 5 was found at work there.
#[test]
fn a_refusal_of_an_earlier_run_undoes_no_later_one() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let first = fleet.first_start();
    restart_and_meet(&mut fleet, &first.worker);
    let now = fleet.now();
    fleet.planner.tick(now);
    fleet.write_all();
    let second = fleet.planner.tick(now).remove(0);
    assert!(second.run > first.run && second.token > first.token);
    fleet.planner.handle_start_outcome(&first, FENCED, now);
    assert_eq!(fleet.planner.runs(), 1, "the second run may have begun");
}

#[test]
fn a_call_that_brings_the_present_token_and_is_refused_ends_the_tenure() {
    let mut fleet = fleet();
    let start = fleet.first_start();
    let now = fleet.now();
    fleet.planner.handle_start_outcome(&start, FENCED, now);
    assert!(fleet.planner.is_superseded());
}

#[test]
fn a_request_that_was_meant_for_an_earlier_life_and_is_refused_ends_no_tenure() {
    let mut fleet = fleet();
    let start = fleet.first_start();
    let id = start.worker.clone();
    fleet.cut_off(&id);
    fleet.begin_unheard_life(&id, 1);
    fleet.planner.handle_fenced(&id, start.token);
    assert!(!fleet.planner.is_superseded());
    let now = fleet.now();
    let asked = fleet.planner.report_request(&id, now).expect("it is asked");
    fleet.planner.handle_fenced(&id, asked.token);
    assert!(fleet.planner.is_superseded());
}

/// By the clock of the life before, its deadline would be far ahead, and the worker would hold the run for the longest.
#[test]
fn an_answer_of_a_life_that_is_over_sets_no_clock() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.pass(20_000);
    let first = fleet.first_start();
    restart_and_meet(&mut fleet, &first.worker);
    let now = fleet.now();
    let late = StartOutcome::Started { clock_ms: 20_000 };
    fleet.planner.handle_start_outcome(&first, late, now);
    fleet.pass(100);
    let starts = fleet.given.iter().filter_map(|order| match order.kind {
        OrderKind::Start { deadline_ms, .. } => Some(deadline_ms),
        OrderKind::Stop => None,
    });
    let deadlines: Vec<u64> = starts.collect();
    assert!(
        deadlines.iter().all(|deadline| *deadline < 5_000),
        "{deadlines:?}"
    );
    assert_eq!(deadlines.len(), 1);
}

/// The next life may be of another kind, and answer before anything is looked through.
#[test]
fn a_place_that_was_kept_at_a_life_is_not_used_at_the_next() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    fleet.writes = false;
    let labelled = StepSpec {
        required_label: Some("a".to_owned()),
        ..step(1, 8)
    };
    fleet.submit(job("j", 2, vec![labelled]));
    let id = "w1".parse().expect("an id");
    fleet.cut_off(&id);
    fleet.at_ms += 50;
    let listed = fleet.listed.get_mut(&id).expect("it is listed");
    listed.labels.clear();
    fleet.restart_cut_off(&id);
    fleet.hold(&id).expect("a life that was not met is asked");
    fleet.writes = true;
    fleet.settle();
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
}

#[test]
fn each_life_has_a_higher_token_than_all_before_and_the_next_planner_higher_ones() {
    let mut fleet = fleet();
    let first = fleet.first_start();
    let mut highest = first.token;
    for after_ms in 1..=3 {
        fleet.begin_unheard_life(&first.worker, after_ms);
        let now = fleet.now();
        let asked = fleet.planner.report_request(&first.worker, now);
        let token = asked.expect("a life that was not met is asked").token;
        assert!(token > highest);
        highest = token;
    }
    fleet.succeed(&[]);
    let now = fleet.now();
    let asked = fleet.planner.report_request(&first.worker, now);
    assert!(asked.expect("it is asked").token > highest);
}
