//! Acknowledgements of run ends that are carried out late, by a later incarnation of their worker.
//!
//! Such an incarnation may never list its own first ends. Their tasks were found missing in its
//! reports and started again although they were done ("j53.0.1.1 run 15 begins at w37 after it was
//! done", seed 184 of `lossy::work_runs_once_and_ends_whatever_calls_the_next_life_carries_out`).

use stairstall_core::WorkerId;
use stairstall_core::batch::{
    AcceptedJob, CallerState, DecisionKind, Order, OrderKind, Outcome, ReportRequest, RunEndKind,
    StepSpec, TaskKey, WaitReason, WorkerReport,
};

use crate::harness::{Fleet, gang, id, job, step, task};
use crate::idle_jobs::{MAX_IDLE_MS, accepted_now, lasting};

const COMPLETED: Option<CallerState> = Some(CallerState::Ended(Outcome::Completed));
/// How long a call without an answer may still be carried out, in milliseconds.
const LATE_MS: u64 = 13_000;
/// Longest lease that a start may carry whose run must not finish, in milliseconds.
const SHORT_LEASE_MS: u64 = 100;
/// How long a ticket of the adviser stays valid, in milliseconds.
const TICKET_MS: u64 = 3_000;
const TICKET: &str = "ticket";

fn fleet(workers: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::new(workers);
    fleet.keeps_ids = true;
    fleet.hold_all();
    fleet
}

fn w1() -> WorkerId {
    "w1".parse().expect("an id")
}

/// Returns a request that acknowledges the end of a job's task, and has not been answered.
fn acknowledgement(fleet: &mut Fleet) -> ReportRequest {
    fleet.submit(job("first", 2, vec![step(1, 1)]));
    fleet
        .worker("w1")
        .end(&task("first", 0, 0), RunEndKind::Done);
    fleet.hold(&w1());
    fleet.settle();
    let now = fleet.now();
    let request = fleet.planner.report_request(&w1(), now);
    let request = request.expect("an end to acknowledge");
    assert_eq!(request.acknowledged_end, 1);
    request
}

/// Lets the acknowledgement of an end get no answer.
fn leave_acknowledgement_unanswered(fleet: &mut Fleet) {
    acknowledgement(fleet);
    let now = fleet.now();
    fleet.planner.handle_report_failure(&w1(), now);
}

/// Lets the acknowledgement of an end get no answer, and the worker restart.
fn restarted_after_a_late_acknowledgement() -> Fleet {
    let mut fleet = fleet(&[("w1", "r1")]);
    leave_acknowledgement_unanswered(&mut fleet);
    fleet.cut_off(&w1());
    fleet.at_ms += 500;
    fleet.restart_cut_off(&w1());
    fleet
}

fn leases_of_starts(fleet: &Fleet, born_ms: u64) -> Vec<u64> {
    let deadline_ms = |order: &Order| match order.kind {
        OrderKind::Start { deadline_ms, .. } => Some(deadline_ms),
        OrderKind::Stop => None,
    };
    let deadlines = fleet.given.iter().filter_map(deadline_ms);
    deadlines
        .map(|deadline_ms| deadline_ms.saturating_sub(fleet.at_ms - born_ms))
        .collect()
}

fn assert_last_lease_is_short(fleet: &mut Fleet) {
    let born_ms = fleet.worker("w1").born_ms;
    let leases = leases_of_starts(fleet, born_ms);
    assert!(leases.last() <= Some(&SHORT_LEASE_MS), "{leases:?}");
}

#[test]
fn nothing_starts_while_an_acknowledgement_is_on_its_way() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let request = acknowledgement(&mut fleet);
    assert!(request.max_wait.is_zero(), "nothing may start until then");
    fleet.submit(job("second", 2, vec![step(1, 1)]));
    fleet.settle();
    assert_eq!(fleet.starts_of(&task("second", 0, 0)), 0);
    let now = fleet.now();
    let report = WorkerReport {
        incarnation: fleet.listed[&w1()].incarnation,
        clock_ms: fleet.at_ms,
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
        bytes: 0,
    };
    fleet
        .planner
        .handle_worker_report(&w1(), &request, now.at, report, now);
    assert!(fleet.planner.needs_tick(), "the start waits for nothing");
    fleet.settle();
    assert_eq!(fleet.starts_of(&task("second", 0, 0)), 1);
}

#[test]
fn nothing_is_acknowledged_while_a_start_may_be_carried_out_late() {
    let mut fleet = fleet(&[("w1", "r1")]);
    for name in ["first", "second"] {
        fleet
            .planner
            .submit(job(name, 2, vec![step(1, 1)]), fleet.now());
    }
    let now = fleet.now();
    fleet.planner.tick(now);
    fleet.write_all();
    let starts = fleet.planner.tick(now);
    assert_eq!(starts.len(), 2);
    fleet.carry_out(&starts[0]);
    fleet.leave_unanswered(&starts[1]);
    fleet.worker("w1").end(&starts[0].task, RunEndKind::Done);
    fleet.pass(LATE_MS - 1_000);
    assert_eq!(fleet.worker("w1").ended.len(), 1, "it is still listed");
    fleet.pass(2_000);
    assert_eq!(fleet.worker("w1").ended.len(), 0);
}

#[test]
fn nothing_starts_where_an_acknowledgement_may_come_late_to_an_unknown_incarnation() {
    let mut fleet = fleet(&[("w1", "r1")]);
    leave_acknowledgement_unanswered(&mut fleet);
    fleet.submit(job("second", 2, vec![step(1, 1)]));
    fleet.pass(LATE_MS - 1_000);
    assert_eq!(fleet.starts_of(&task("second", 0, 0)), 0);
    fleet.pass(2_000);
    assert_eq!(fleet.starts_of(&task("second", 0, 0)), 1);
    let leases = leases_of_starts(&fleet, 0);
    assert!(leases.last() > Some(&SHORT_LEASE_MS), "{leases:?}");
}

#[test]
fn an_incarnation_that_may_hide_ends_first_gets_a_run_that_cannot_finish() {
    let mut fleet = restarted_after_a_late_acknowledgement();
    fleet.pass(LATE_MS + 500);
    fleet.submit(job("second", 2, vec![step(1, 1)]));
    let key = task("second", 0, 0);
    assert_eq!(fleet.starts_of(&key), 1);
    assert_last_lease_is_short(&mut fleet);
    let request = fleet.hold(&w1()).expect("the end of the run is waited for");
    assert_eq!(request.deadline_ms, None, "its lease must not be extended");
    fleet.worker("w1").end(&key, RunEndKind::LeaseExpired);
    fleet.pass(300);
    assert_eq!(fleet.starts_of(&key), 2, "it has listed an end");
    fleet.worker("w1").end(&key, RunEndKind::Done);
    fleet.pass(300);
    assert_eq!(fleet.planner.caller_state(&id("second")), COMPLETED);
}

/// Which of its ends it hides is not known, only that it lists them from some number on.
#[test]
fn an_incarnation_that_hides_ends_gets_such_runs_until_it_lists_one() {
    let mut fleet = restarted_after_a_late_acknowledgement();
    fleet.pass(LATE_MS + 500);
    fleet.submit(job("second", 2, vec![step(1, 1)]));
    let key = task("second", 0, 0);
    for starts in 1..=3 {
        assert_eq!(fleet.starts_of(&key), starts);
        fleet.worker("w1").running.remove(&key);
        fleet.pass(1_500);
    }
    assert_eq!(fleet.starts_of(&key), 4);
    let born_ms = fleet.worker("w1").born_ms;
    let leases = leases_of_starts(&fleet, born_ms);
    assert!(leases[1..].iter().all(|lease| *lease <= SHORT_LEASE_MS));
    fleet.worker("w1").end(&key, RunEndKind::LeaseExpired);
    fleet.pass(300);
    assert_eq!(fleet.starts_of(&key), 5);
}

fn short_step() -> StepSpec {
    StepSpec {
        estimate_ms: 300,
        ..step(1, 8)
    }
}

fn short_job() -> AcceptedJob {
    job("short", 2, vec![short_step()])
}

/// Returns a fleet of two workers: a verified one that is full with work that does not end, and one
/// that restarted after a late acknowledgement.
fn beside_a_busy_worker() -> (Fleet, WorkerId) {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    fleet.submit(job("long", 2, vec![step(1, 8)]));
    let busy = fleet.place_of(&task("long", 0, 0)).expect("it runs");
    let idle = if busy == w1() { "w2" } else { "w1" };
    let idle: WorkerId = idle.parse().expect("an id");
    fleet.submit(job("first", 2, vec![step(1, 8)]));
    fleet
        .worker(idle.as_str())
        .end(&task("first", 0, 0), RunEndKind::Done);
    fleet.hold(&idle);
    fleet.settle();
    let now = fleet.now();
    fleet.planner.report_request(&idle, now).expect("an end");
    fleet.planner.handle_report_failure(&idle, now);
    fleet.cut_off(&idle);
    fleet.at_ms += 500;
    fleet.restart_cut_off(&idle);
    fleet.pass(LATE_MS + 500);
    (fleet, idle)
}

#[test]
fn a_short_task_does_not_run_where_its_end_may_stay_hidden() {
    let (mut fleet, _) = beside_a_busy_worker();
    fleet.submit(accepted_now(&fleet, short_job()));
    fleet.pass(2_000);
    assert_eq!(
        fleet.starts_of(&task("short", 0, 0)),
        0,
        "a sound worker will be free"
    );
}

/// Such a job was in no line of the log: the capacity of unverified workers did not count.
#[test]
fn a_job_that_waits_for_unverified_workers_says_so() {
    let (mut fleet, _) = beside_a_busy_worker();
    let spec = lasting(300, step(1, 4));
    fleet.submit(accepted_now(&fleet, job("short", 2, vec![spec])));
    fleet.pass(1_500);
    let status = fleet.planner.wait_status(&id("short"), fleet.now());
    let reason = status.map(|status| status.reason);
    assert_eq!(reason, Some(WaitReason::UnverifiedWorkers));
    let decisions = fleet.planner.take_decisions();
    let mut idle = decisions.iter().filter(|d| d.kind == DecisionKind::Idle);
    assert!(idle.any(|decision| {
        decision
            .why
            .contains(WaitReason::UnverifiedWorkers.as_str())
    }));
    assert_eq!(fleet.planner.contact_lag(fleet.now()).unverified, 1);
}

/// A job of short tasks never started beside idle workers that had restarted: a verified worker could
/// have run them, but was full with work that lasts (a variant of `review/6`, docs/incidents/unverified-workers.md).
#[test]
fn short_tasks_are_not_kept_from_unverified_workers_by_a_verified_one_that_stays_full() {
    for (estimate_ms, is_advised) in [(900, false), (300, false), (200, true), (100, false)] {
        let (mut fleet, idle) = beside_a_busy_worker();
        let spec = lasting(estimate_ms, step(1, 4));
        let accepted = accepted_now(&fleet, job("short", 2, vec![spec]));
        let accepted = if is_advised {
            advised(accepted)
        } else {
            accepted
        };
        fleet.submit(accepted);
        let key = task("short", 0, 0);
        let until_ms = fleet.at_ms + MAX_IDLE_MS;
        while fleet.starts_of(&key) == 0 && fleet.at_ms < until_ms {
            fleet.pass(100);
            advise(&mut fleet, |id| *id == idle);
        }
        assert_eq!(fleet.starts_of(&key), 1, "{estimate_ms} ms of work");
        fleet
            .worker(idle.as_str())
            .end(&key, RunEndKind::LeaseExpired);
        pass_with_advice(&mut fleet, 1_000, |id| *id == idle);
        assert_eq!(fleet.starts_of(&key), 2, "{estimate_ms} ms of work");
        fleet.worker(idle.as_str()).end(&key, RunEndKind::Done);
        fleet.pass(500);
        assert_eq!(fleet.planner.caller_state(&id("short")), COMPLETED);
    }
}

fn checkpoints_of_starts(fleet: &Fleet, key: &TaskKey) -> Vec<Option<String>> {
    let starts = fleet.given.iter().filter(|order| order.task == *key);
    let checkpoint = |order: &Order| match &order.kind {
        OrderKind::Start { checkpoint, .. } => Some(checkpoint.clone()),
        OrderKind::Stop => None,
    };
    starts.filter_map(checkpoint).collect()
}

/// The same for a task that has saved a checkpoint: it could be near its end, but it can begin anew.
#[test]
fn a_task_with_a_checkpoint_is_not_kept_from_an_unverified_worker() {
    let (mut fleet, idle) = beside_a_busy_worker();
    let spec = StepSpec {
        checkpoints: true,
        ..lasting(4_000, step(1, 4))
    };
    fleet.submit(accepted_now(&fleet, job("saving", 2, vec![spec])));
    let key = task("saving", 0, 0);
    assert_eq!(fleet.starts_of(&key), 1);
    let saved = Some("saved".to_owned());
    let worker = fleet.worker(idle.as_str());
    worker.running.get_mut(&key).expect("it runs").2 = saved.clone();
    fleet.hold(&idle);
    // Its end stays hidden.
    fleet.worker(idle.as_str()).running.remove(&key);
    fleet.pass(MAX_IDLE_MS);
    assert_eq!(fleet.starts_of(&key), 2);
    fleet
        .worker(idle.as_str())
        .end(&key, RunEndKind::LeaseExpired);
    fleet.pass(500);
    assert_eq!(checkpoints_of_starts(&fleet, &key), [None, None, saved]);
}

/// The end of a short task could stay hidden if its lease were as long as its work.
#[test]
fn the_lease_of_a_verification_run_is_shorter_than_its_work() {
    for estimate_ms in [100, 200, 300, 1_000, 5_000] {
        let mut fleet = restarted_after_a_late_acknowledgement();
        fleet.pass(LATE_MS + 500);
        let spec = lasting(estimate_ms, step(1, 1));
        fleet.submit(job("second", 2, vec![spec]));
        assert_eq!(fleet.starts_of(&task("second", 0, 0)), 1);
        let born_ms = fleet.worker("w1").born_ms;
        let leases = leases_of_starts(&fleet, born_ms);
        let longest = SHORT_LEASE_MS.min(estimate_ms / 2);
        assert!(leases.last() <= Some(&longest), "{estimate_ms}: {leases:?}");
    }
}

/// A soak's job waited for ever: all six workers had restarted soon after a takeover, and nothing
/// waited but its one short task (seed 9110, "not ended: running").
#[test]
fn a_short_task_shows_that_ends_are_listed_where_no_other_worker_could_run_it() {
    let mut fleet = restarted_after_a_late_acknowledgement();
    fleet.pass(LATE_MS + 500);
    fleet.submit(short_job());
    let key = task("short", 0, 0);
    assert_eq!(fleet.starts_of(&key), 1);
    assert_last_lease_is_short(&mut fleet);
    fleet.worker("w1").end(&key, RunEndKind::LeaseExpired);
    fleet.pass(300);
    assert_eq!(fleet.starts_of(&key), 2);
}

/// A member of a gang can't begin without the others, however short its work is.
#[test]
fn a_member_of_a_gang_shows_alone_that_ends_are_listed() {
    let mut fleet = restarted_after_a_late_acknowledgement();
    fleet.pass(LATE_MS + 500);
    let spec = StepSpec {
        estimate_ms: 300,
        ..gang(2, 1)
    };
    fleet.submit(job("second", 2, vec![spec]));
    let members = [task("second", 0, 0), task("second", 0, 1)];
    assert_eq!(fleet.starts_of(&members[0]), 1);
    assert_eq!(fleet.starts_of(&members[1]), 0);
    fleet
        .worker("w1")
        .end(&members[0], RunEndKind::LeaseExpired);
    fleet.pass(300);
    for member in &members {
        let runs = fleet.given.iter().filter(|order| order.task == *member);
        assert_eq!(runs.map(|order| order.run).max(), Some(2));
    }
}

/// Returns a job on a queue whose steps need tickets.
fn advised(mut accepted: AcceptedJob) -> AcceptedJob {
    "advised".clone_into(&mut accepted.queue.name);
    accepted.queue.ticket_valid_ms = Some(TICKET_MS);
    accepted
}

/// Answers all requests to the adviser: grants the workers for which `is_granted` holds.
fn advise(fleet: &mut Fleet, is_granted: impl Fn(&WorkerId) -> bool) {
    let now = fleet.now();
    for request in fleet.planner.take_advice_requests() {
        let granted = request.workers.iter().filter(|id| is_granted(id));
        let granted = granted.map(|id| (id.clone(), TICKET.to_owned())).collect();
        fleet.planner.handle_advice(&request, granted, now);
    }
    fleet.settle();
}

/// Lets time pass while the adviser answers.
fn pass_with_advice(fleet: &mut Fleet, ms: u64, is_granted: impl Fn(&WorkerId) -> bool) {
    for _ in 0..ms / 100 {
        fleet.pass(100);
        advise(fleet, &is_granted);
    }
}

fn tickets_of_starts(fleet: &Fleet, name: &str) -> Vec<Option<String>> {
    let starts = fleet
        .given
        .iter()
        .filter(|order| order.task.group.job == id(name));
    let ticket = |order: &Order| match &order.kind {
        OrderKind::Start { ticket, .. } => Some(ticket.clone()),
        OrderKind::Stop => None,
    };
    starts.filter_map(ticket).collect()
}

/// A step that needs tickets never got a verification run. Where all queues of a service need them,
/// a worker that had restarted soon after a takeover got no work any more.
#[test]
fn a_task_that_needs_a_ticket_shows_that_ends_are_listed() {
    for spec in [step(1, 1), short_step(), gang(2, 1)] {
        let mut fleet = restarted_after_a_late_acknowledgement();
        fleet.pass(LATE_MS + 500);
        fleet.submit(advised(job("second", 2, vec![spec])));
        let key = task("second", 0, 0);
        assert_eq!(fleet.starts_of(&key), 0, "the adviser has not answered");
        advise(&mut fleet, |_| true);
        assert_eq!(fleet.starts_of(&key), 1);
        assert_last_lease_is_short(&mut fleet);
        let request = fleet.hold(&w1()).expect("the end of the run is waited for");
        assert_eq!(request.deadline_ms, None, "its lease must not be extended");
        fleet.worker("w1").end(&key, RunEndKind::LeaseExpired);
        pass_with_advice(&mut fleet, 500, |_| true);
        assert_eq!(fleet.starts_of(&key), 2, "it has listed an end");
        let tickets = tickets_of_starts(&fleet, "second");
        let has_ticket = |ticket: &Option<String>| ticket.as_deref() == Some(TICKET);
        assert!(tickets.iter().all(has_ticket), "{tickets:?}");
    }
}

#[test]
fn a_denied_worker_gets_no_verification_run() {
    let mut fleet = restarted_after_a_late_acknowledgement();
    fleet.pass(LATE_MS + 500);
    fleet.submit(advised(job("second", 2, vec![step(1, 1)])));
    for _ in 0..30 {
        advise(&mut fleet, |_| false);
        fleet.pass(100);
    }
    assert_eq!(fleet.starts_of(&task("second", 0, 0)), 0);
}

/// A worker that the adviser denies counts as one that could run the step no more than a worker
/// that is too small for it.
#[test]
fn a_short_task_shows_that_ends_are_listed_where_all_other_workers_are_denied() {
    let (mut fleet, idle) = beside_a_busy_worker();
    fleet.submit(advised(short_job()));
    for _ in 0..10 {
        advise(&mut fleet, |id| *id == idle);
        fleet.pass(100);
    }
    assert_eq!(fleet.place_of(&task("short", 0, 0)), Some(idle));
}

/// The worker was unlisted meanwhile, so that the planner knew it no longer.
#[test]
fn a_late_acknowledgement_is_remembered_while_its_id_is_away() {
    let mut fleet = fleet(&[("w1", "r1")]);
    leave_acknowledgement_unanswered(&mut fleet);
    fleet.crash_for(&w1(), 6_000);
    fleet.pass(5_000);
    assert!(!fleet.planner.knows_worker(&w1()));
    fleet.pass(LATE_MS);
    fleet.submit(job("second", 2, vec![step(1, 1)]));
    fleet.pass(100);
    assert_last_lease_is_short(&mut fleet);
}

#[test]
fn workers_with_a_new_id_in_each_incarnation_wait_for_nothing() {
    let mut fleet = Fleet::with_unique_ids(&[("w1", "r1")]);
    fleet.hold_all();
    acknowledgement(&mut fleet);
    fleet.submit(job("second", 2, vec![step(1, 1)]));
    assert_eq!(fleet.starts_of(&task("second", 0, 0)), 1);
}

/// "w45 of 31430 is told 2, unheard", by the planner before: the end of its first run was never listed.
#[test]
fn an_acknowledgement_of_the_planner_before_may_reach_a_worker_that_restarts_soon_after() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let accepted = job("first", 2, vec![step(1, 1)]);
    fleet.submit(accepted.clone());
    fleet.succeed(&[accepted]);
    fleet.pass(500);
    fleet
        .worker("w1")
        .end(&task("first", 0, 0), RunEndKind::Done);
    fleet.pass(500);
    fleet.crash_for(&w1(), 700);
    fleet.pass(LATE_MS);
    fleet.submit(job("second", 2, vec![step(1, 1)]));
    fleet.pass(100);
    assert_last_lease_is_short(&mut fleet);
}
