//! What a planner tells the next one of leases: no wait begins anew with each change of the planner,
//! and nothing runs twice.

use std::collections::BTreeMap;

use stairstall_core::WorkerId;
use stairstall_core::batch::{AcceptedJob, LeaseEnds, OrderKind, RunEndKind, TaskKey};

use crate::harness::{Fleet, HOLD_MAX, gang, id, job, step, task};
use crate::idle_jobs::{MAX_IDLE_MS, PATIENCE_MS};

const SIX: [(&str, &str); 6] = [
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r1"),
    ("w5", "r1"),
    ("w6", "r1"),
];
/// Time between two changes of the planner.
const TENURE_MS: u64 = 2_000;

fn lease_ms() -> u64 {
    u64::try_from(HOLD_MAX.as_millis()).expect("small")
}

/// Returns a fleet in which a job runs, and the job.
fn running(steps: Vec<stairstall_core::batch::StepSpec>) -> (Fleet, AcceptedJob) {
    let mut fleet = Fleet::new(&SIX);
    fleet.hold_all();
    let accepted = job("j", 2, steps);
    fleet.submit(accepted.clone());
    fleet.pass(500);
    (fleet, accepted)
}

/// Replaces the planner by one that is told what the one before knew, and returns that.
fn succeed_told(fleet: &mut Fleet, jobs: &[AcceptedJob]) -> LeaseEnds {
    let now = fleet.now();
    let left = fleet.planner.retire(now);
    let (token, left) = (left.token, left.left(now.at));
    fleet.succeed(jobs);
    let told = LeaseEnds::from_left(token, left, fleet.now().at);
    assert!(fleet.planner.restore_lease_ends(&told));
    told
}

/// Makes the directory drop a worker.
fn unlist(fleet: &mut Fleet, id: &WorkerId) {
    fleet.listed.remove(id);
    let now = fleet.now();
    fleet.planner.handle_unlisted_worker(id, now);
}

/// Changes the planner at an interval until a task is started again. Returns how long that takes.
fn wait_beside_changes(fleet: &mut Fleet, jobs: &[AcceptedJob], key: &TaskKey) -> u64 {
    let (since, starts) = (fleet.at_ms, fleet.starts_of(key));
    while fleet.starts_of(key) == starts && fleet.at_ms - since < 3 * PATIENCE_MS {
        succeed_told(fleet, jobs);
        let until = fleet.at_ms + TENURE_MS;
        while fleet.at_ms < until && fleet.starts_of(key) == starts {
            fleet.pass(100);
        }
    }
    fleet.at_ms - since
}

/// Each new planner would wait for the whole lease of the member that no planner reaches.
#[test]
fn changes_of_the_planner_lengthen_no_wait_for_a_lease() {
    for is_listed in [true, false] {
        let (mut fleet, accepted) = running(vec![gang(3, 8)]);
        let key = task("j", 0, 0);
        let lost = fleet.place_of(&key).expect("it runs");
        fleet.cut_off(&lost);
        if !is_listed {
            unlist(&mut fleet, &lost);
        }
        fleet.pass(500);
        let waited = wait_beside_changes(&mut fleet, &[accepted], &key);
        let limit = lease_ms() + MAX_IDLE_MS;
        assert!(waited < limit, "listed {is_listed}: it waited {waited} ms");
        // It was cut off 500 ms before, and a request just before that may have renewed its lease.
        let least = lease_ms() - 600;
        assert!(waited >= least, "listed {is_listed}: it waited {waited} ms");
    }
}

/// Planners that change faster than they notice which workers are silent.
#[test]
fn no_wait_for_a_lease_begins_anew_with_planners_that_have_asked_nobody() {
    let (mut fleet, accepted) = running(vec![gang(3, 8)]);
    let key = task("j", 0, 0);
    let lost = fleet.place_of(&key).expect("it runs");
    fleet.cut_off(&lost);
    unlist(&mut fleet, &lost);
    fleet.pass(500);
    for _ in 0..70 {
        succeed_told(&mut fleet, std::slice::from_ref(&accepted));
        fleet.at_ms += 100;
    }
    fleet.pass(MAX_IDLE_MS);
    assert_eq!(fleet.starts_of(&key), 2);
}

/// The store was down when the planner heard that a member's worker was gone for good.
#[test]
fn a_worker_that_is_gone_for_good_is_waited_for_by_no_later_planner() {
    for changes in 1..4 {
        let (mut fleet, accepted) = running(vec![gang(3, 8)]);
        let key = task("j", 0, 0);
        let lost = fleet.place_of(&key).expect("it runs");
        fleet.writes = false;
        fleet.workers.remove(&lost);
        fleet.replaced.insert(lost.clone());
        let now = fleet.now();
        fleet
            .planner
            .end_incarnation(&lost, "another life answered", now);
        unlist(&mut fleet, &lost);
        fleet.pass(500);
        for _ in 0..changes {
            succeed_told(&mut fleet, std::slice::from_ref(&accepted));
            fleet.pass(100);
        }
        fleet.writes = true;
        fleet.pass(MAX_IDLE_MS - 1_000);
        assert_eq!(fleet.starts_of(&key), 2, "after {changes} changes");
    }
}

/// The tenure in between has started a run there, and nobody has told of it.
#[test]
fn what_an_older_tenure_tells_ends_no_run_of_the_one_after_it() {
    let (mut fleet, accepted) = running(vec![step(1, 8)]);
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    let now = fleet.now();
    let mut of_first = fleet.planner.retire(now);
    of_first.until = BTreeMap::from([(place.clone(), now.at)]);
    fleet.succeed(std::slice::from_ref(&accepted));
    fleet.pass(1_000);
    let alive = fleet.cut_off(&place);
    assert!(alive.running.contains_key(&key), "it runs on");
    unlist(&mut fleet, &place);
    fleet.succeed(&[accepted]);
    assert!(!fleet.planner.restore_lease_ends(&of_first));
    fleet.pass(lease_ms() - 100);
    assert_eq!(fleet.starts_of(&key), 1, "its lease may last");
    fleet.pass(1_000);
    assert_eq!(fleet.starts_of(&key), 2);
}

/// The message arrives when the planner has started work there itself.
#[test]
fn what_is_told_late_ends_no_run_of_the_planner_itself() {
    let mut fleet = Fleet::of_tenure(2, &[("w1", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    fleet.pass(500);
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    let now = fleet.now();
    let told = LeaseEnds {
        token: 1,
        until: BTreeMap::from([(place.clone(), now.at)]),
    };
    assert!(fleet.planner.restore_lease_ends(&told));
    fleet.cut_off(&place);
    fleet.pass(lease_ms() - 1_000);
    assert_eq!(fleet.planner.runs(), 1, "its lease may last");
}

/// What it has told would not be true any more.
#[test]
fn a_planner_that_has_told_the_next_one_gives_no_orders_and_renews_nothing() {
    let (mut fleet, _) = running(vec![step(2, 8)]);
    let now = fleet.now();
    fleet.planner.submit(job("k", 2, vec![step(1, 8)]), now);
    fleet.planner.retire(now);
    assert!(!fleet.planner.needs_tick());
    fleet.at_ms += 1_000;
    let now = fleet.now();
    assert!(fleet.planner.tick(now).is_empty());
    for (name, _) in SIX {
        let worker = name.parse().expect("an id");
        assert_eq!(fleet.planner.report_request(&worker, now), None);
    }
    let starts = fleet.given.iter();
    let starts = starts.filter(|order| matches!(order.kind, OrderKind::Start { .. }));
    assert_eq!(starts.count(), 2);
}

/// The next planner counts the failure when it hears of it, and must not start the task before.
#[test]
fn a_worker_that_may_list_a_failure_is_not_told_of() {
    let (mut fleet, _) = running(vec![step(1, 8)]);
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.writes = false;
    fleet.end_everywhere(&key, RunEndKind::Failed);
    fleet.hold_all();
    fleet.cut_off(&place);
    unlist(&mut fleet, &place);
    fleet.hold_all();
    let now = fleet.now();
    assert_eq!(fleet.planner.retire(now).until.get(&place), None);
}

/// A start without an answer may be carried out after the lease that it was sent with.
#[test]
fn a_worker_with_a_start_that_got_no_answer_is_not_told_of() {
    for is_stopped in [false, true] {
        let mut fleet = Fleet::new(&[("w1", "r1")]);
        fleet.keeps_ids = true;
        fleet.hold_all();
        fleet.place(job("j", 2, vec![step(1, 8)]));
        let now = fleet.now();
        let start = fleet.planner.tick(now).remove(0);
        fleet.leave_unanswered(&start);
        let now = fleet.now();
        if is_stopped {
            fleet.planner.cancel(&id("j"), now);
        }
        assert!(fleet.planner.retire(now).until.is_empty());
    }
}

/// Nothing of the whole fleet's contact is lost: workers that answer list their runs themselves.
#[test]
fn workers_that_answer_are_not_told_of() {
    let (mut fleet, accepted) = running(vec![step(4, 8)]);
    let told = succeed_told(&mut fleet, &[accepted]);
    assert!(told.until.is_empty(), "{told:?}");
    fleet.pass(1_000);
    let explained = fleet.planner.explain(&id("j"), fleet.now());
    assert_eq!(explained.expect("it is known").steps[0].waiting, 0);
}

/// Nothing is before it, and it has room: what it waits for has to be said.
#[test]
fn a_job_that_waits_for_a_lease_says_at_which_worker() {
    let gang = (gang(3, 8), RunEndKind::Stopped);
    let singles = (step(3, 8), RunEndKind::Done);
    for (step, end) in [gang, singles] {
        let (mut fleet, accepted) = running(vec![step]);
        let lost = fleet.place_of(&task("j", 0, 1)).expect("it runs");
        fleet.cut_off(&lost);
        unlist(&mut fleet, &lost);
        for index in [0, 2] {
            let key = task("j", 0, index);
            let place = fleet.place_of(&key).expect("it runs");
            fleet.worker(place.as_str()).end(&key, end);
        }
        fleet.succeed(&[accepted]);
        fleet.pass(1_000);
        let status = fleet.planner.wait_status(&id("j"), fleet.now());
        let reason = status.expect("it waits").reason.to_string();
        let left_ms = reason.strip_prefix(&format!("run 1 on {lost}: its lease may run for "));
        let left_ms = left_ms.and_then(|left| left.strip_suffix(" ms more"));
        let left_ms: u64 = left_ms.and_then(|left| left.parse().ok()).expect(&reason);
        assert!((5_000..6_000).contains(&left_ms), "{reason}");
    }
}
