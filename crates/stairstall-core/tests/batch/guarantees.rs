//! Customers that claim their guaranteed accelerators while other work holds them.
//!
//! Long-running work was never preempted and could take the whole fleet: a claim of 8 guaranteed
//! accelerators had not begun after 20 s (`review/2`, docs/incidents/lasting-work.md).

use std::collections::BTreeSet;
use std::sync::Arc;

use stairstall_core::batch::{AcceptedJob, OrderKind, RunEndKind, StepSpec, TaskKey, WaitReason};
use stairstall_core::{CustomerId, JobId};

use crate::harness::{Fleet, STOP_MAX, catalog, gang, id, job, step, task};

const WORKERS: [(&str, &str); 6] = [
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r2"),
    ("w4", "r2"),
    ("w5", "r3"),
    ("w6", "r3"),
];
/// Accelerators of one worker, and those that the customer is guaranteed.
const GUARANTEED: u32 = 8;
/// Longest time from the acceptance of a guaranteed job until it has begun, in milliseconds.
const START_LIMIT_MS: u64 = 3_400;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&WORKERS);
    fleet.planner.set_catalog(Arc::new(catalog(GUARANTEED)));
    fleet.hold_all();
    fleet
}

fn lasting(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count, 1)
    }
}

/// Work of a customer without a guarantee.
pub(crate) fn of_other(name: &str, priority: u8, steps: Vec<StepSpec>) -> AcceptedJob {
    AcceptedJob {
        customer: Some("other".parse::<CustomerId>().expect("an id")),
        ..job(name, priority, steps)
    }
}

fn tasks_of(name: &str, count: u32) -> Vec<TaskKey> {
    (0..count).map(|index| task(name, 0, index)).collect()
}

fn running(fleet: &Fleet, tasks: &[TaskKey]) -> BTreeSet<TaskKey> {
    let at_work = tasks.iter().filter(|task| fleet.place_of(task).is_some());
    at_work.cloned().collect()
}

/// Hands in a claim and returns which tasks of other work were preempted until it had begun.
fn claim(fleet: &mut Fleet, claim: AcceptedJob, others: &[TaskKey]) -> BTreeSet<TaskKey> {
    let before = running(fleet, others);
    let name = claim.id.clone();
    let accepted = AcceptedJob {
        accepted_unix_ms: fleet.now().unix_ms,
        ..claim
    };
    fleet.submit(accepted.clone());
    let until_ms = fleet.at_ms + START_LIMIT_MS;
    while !has_begun(fleet, &accepted) && fleet.at_ms < until_ms {
        fleet.pass(100);
    }
    assert!(has_begun(fleet, &accepted), "{name} has not begun");
    &before - &running(fleet, others)
}

fn has_begun(fleet: &Fleet, job: &AcceptedJob) -> bool {
    let count = job.spec.steps[0].count;
    let tasks = tasks_of(job.id.as_str(), count);
    running(fleet, &tasks).len() == tasks.len()
}

fn end_job(fleet: &mut Fleet, id: &JobId, count: u32) {
    for key in tasks_of(id.as_str(), count) {
        fleet.end_everywhere(&key, RunEndKind::Done);
    }
    fleet.pass(1_000);
}

/// Guards against long-running work that keeps a customer from its guarantee.
#[test]
fn a_claim_preempts_lasting_work() {
    let claims = [
        vec![step(1, 8)],
        vec![step(8, 1)],
        vec![gang(2, 4)],
        vec![gang(8, 1)],
        vec![lasting(8)],
    ];
    for steps in claims {
        let mut fleet = fleet();
        fleet.submit(of_other("lasting", 2, vec![lasting(48)]));
        fleet.pass(10_000);
        let tasks = tasks_of("lasting", 48);
        assert_eq!(running(&fleet, &tasks).len(), 48);
        let preempted = claim(&mut fleet, job("claim", 0, steps.clone()), &tasks);
        assert_eq!(preempted.len(), 8, "{steps:?}");
    }
}

/// Guards against preempted long-running work that does not come back.
#[test]
fn lasting_work_comes_back_once_the_claim_is_over() {
    let mut fleet = fleet();
    fleet.submit(of_other("lasting", 2, vec![lasting(48)]));
    fleet.pass(2_000);
    let tasks = tasks_of("lasting", 48);
    claim(&mut fleet, job("claim", 0, vec![step(1, 8)]), &tasks);
    end_job(&mut fleet, &"claim".parse().expect("an id"), 1);
    // Some accelerators are kept for the next urgent work until the claim is forgotten.
    fleet.pass(12_000);
    assert_eq!(running(&fleet, &tasks).len(), 48);
}

/// Guards against a gang that lasts and holds guaranteed accelerators.
#[test]
fn a_claim_preempts_a_lasting_gang_as_a_whole() {
    let mut fleet = fleet();
    let spec = StepSpec {
        long_running: true,
        ..gang(6, 8)
    };
    fleet.submit(of_other("gang", 2, vec![spec]));
    fleet.pass(2_000);
    let members = tasks_of("gang", 6);
    assert_eq!(running(&fleet, &members).len(), 6);
    let preempted = claim(&mut fleet, job("claim", 0, vec![step(1, 8)]), &members);
    assert_eq!(preempted.len(), 6);
}

/// Guards against two customers' claims that wait for each other's victims.
#[test]
fn two_claims_at_once_both_begin() {
    let mut fleet = fleet();
    let mut both = catalog(GUARANTEED);
    let mut second = both.customers[0].clone();
    second.name = "second".parse().expect("an id");
    both.customers.push(second);
    fleet.planner.set_catalog(Arc::new(both));
    fleet.submit(of_other("lasting", 2, vec![lasting(48)]));
    fleet.pass(2_000);
    let first = job("first", 0, vec![step(1, 8)]);
    let second = AcceptedJob {
        customer: Some("second".parse().expect("an id")),
        ..job("claim", 0, vec![step(2, 4)])
    };
    fleet.submit(first.clone());
    let tasks = tasks_of("lasting", 48);
    claim(&mut fleet, second, &tasks);
    assert!(has_begun(&fleet, &first));
    assert_eq!(running(&fleet, &tasks).len(), 32);
}

/// Guards against a claim that waits for work that the planner before has started.
#[test]
fn a_claim_just_after_a_takeover_preempts_lasting_work() {
    let mut fleet = fleet();
    let other = of_other("lasting", 2, vec![lasting(48)]);
    fleet.submit(other.clone());
    fleet.pass(2_000);
    fleet.succeed(&[other]);
    fleet.planner.set_catalog(Arc::new(catalog(GUARANTEED)));
    let preempted = claim(
        &mut fleet,
        job("claim", 0, vec![step(1, 8)]),
        &tasks_of("lasting", 48),
    );
    assert_eq!(preempted.len(), 8);
}

/// Guards against claims that stop work with no end where other work costs little.
#[test]
fn a_claim_preempts_lasting_work_last() {
    let mut fleet = fleet();
    fleet.submit(of_other("lasting", 2, vec![lasting(40)]));
    fleet.pass(2_000);
    fleet.submit(of_other("batch", 2, vec![step(8, 1)]));
    fleet.pass(300);
    let lasting = tasks_of("lasting", 40);
    let preempted = claim(&mut fleet, job("claim", 0, vec![step(1, 8)]), &lasting);
    assert_eq!(preempted, BTreeSet::new());
}

/// Guards against claims that stop the same tasks again and again.
#[test]
fn claims_preempt_other_tasks_each_time() {
    let mut fleet = fleet();
    fleet.submit(of_other("lasting", 2, vec![lasting(48)]));
    fleet.pass(2_000);
    let tasks = tasks_of("lasting", 48);
    let mut preempted = BTreeSet::new();
    for name in ["a", "b", "c"] {
        let id = name.parse().expect("an id");
        let now = claim(&mut fleet, job(name, 0, vec![step(1, 8)]), &tasks);
        assert!(preempted.is_disjoint(&now), "{now:?} twice");
        preempted.extend(now);
        end_job(&mut fleet, &id, 1);
        fleet.pass(12_000);
        assert_eq!(running(&fleet, &tasks).len(), 48);
    }
}

fn available(count: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        max_unavailable: Some(max_unavailable),
        ..lasting(count)
    }
}

/// Guards against work that may not be stopped and takes guaranteed accelerators.
#[test]
fn work_with_an_availability_bound_leaves_guaranteed_accelerators_alone() {
    let mut fleet = fleet();
    fleet.submit(of_other("serving", 2, vec![available(48, 1)]));
    fleet.pass(4_000);
    let tasks = tasks_of("serving", 48);
    assert_eq!(running(&fleet, &tasks).len(), 40, "one worker is left");
    let preempted = claim(&mut fleet, job("claim", 0, vec![step(1, 8)]), &tasks);
    assert_eq!(preempted, BTreeSet::new());
}

/// Guards against guaranteed accelerators that are left free one on each worker, where no claim fits.
#[test]
fn work_with_an_availability_bound_leaves_whole_workers() {
    let mut fleet = fleet();
    for name in ["a", "b", "c", "d"] {
        fleet.submit(of_other(name, 2, vec![available(8, 1)]));
        fleet.pass(500);
    }
    let tasks: Vec<TaskKey> = ["a", "b", "c", "d"]
        .into_iter()
        .flat_map(|name| tasks_of(name, 8))
        .collect();
    assert_eq!(running(&fleet, &tasks).len(), 32);
    let preempted = claim(&mut fleet, job("claim", 0, vec![step(1, 8)]), &tasks);
    assert_eq!(preempted, BTreeSet::new());
}

/// Submits work with an availability bound that takes the whole fleet, before the catalog guarantees
/// anything.
fn with_bounded_work(count: u32, accelerators: u32, max_unavailable: u32) -> (Fleet, Vec<TaskKey>) {
    let mut fleet = Fleet::new(&WORKERS);
    fleet.hold_all();
    let spec = StepSpec {
        needs: step(1, accelerators).needs,
        ..available(count, max_unavailable)
    };
    fleet.submit(of_other("serving", 2, vec![spec]));
    fleet.pass(4_000);
    let tasks = tasks_of("serving", count);
    assert_eq!(running(&fleet, &tasks).len(), tasks.len());
    fleet.planner.set_catalog(Arc::new(catalog(GUARANTEED)));
    (fleet, tasks)
}

/// Submits a claim that can't begin, and asserts that nothing is stopped for it.
fn assert_stops_nothing(fleet: &mut Fleet, steps: Vec<StepSpec>, tasks: &[TaskKey]) {
    let before = running(fleet, tasks);
    let claim = AcceptedJob {
        accepted_unix_ms: fleet.now().unix_ms,
        ..job("claim", 0, steps)
    };
    fleet.submit(claim);
    fleet.pass(2 * START_LIMIT_MS);
    assert_eq!(running(fleet, tasks), before);
    assert_eq!(stops_of(fleet, tasks), 0);
}

fn stops_of(fleet: &Fleet, tasks: &[TaskKey]) -> usize {
    let stops = fleet
        .given
        .iter()
        .filter(|order| order.kind == OrderKind::Stop);
    stops.filter(|order| tasks.contains(&order.task)).count()
}

/// A claim waited for as long as such work had the whole fleet: when workers are lost or a guarantee
/// is raised, nothing of it was moved (`review/7`).
#[test]
fn a_claim_preempts_as_many_tasks_with_an_availability_bound_as_may_be_away() {
    for (count, accelerators, max_unavailable, steps, expected) in [
        (6, 8, 1, vec![step(1, 8)], 1),
        (6, 8, 2, vec![step(1, 8)], 1),
        (12, 4, 2, vec![step(1, 8)], 2),
        (48, 1, 8, vec![step(1, 8)], 8),
        (48, 1, 8, vec![step(8, 1)], 8),
        (12, 4, 2, vec![step(2, 4)], 2),
        (12, 4, 2, vec![gang(2, 4)], 2),
    ] {
        let (mut fleet, tasks) = with_bounded_work(count, accelerators, max_unavailable);
        let preempted = claim(&mut fleet, job("claim", 0, steps.clone()), &tasks);
        assert_eq!(preempted.len(), expected, "{steps:?}");
        assert_eq!(stops_of(&fleet, &tasks), expected, "{steps:?}");
    }
}

#[test]
fn a_claim_preempts_no_more_tasks_with_an_availability_bound_than_may_be_away() {
    for (count, accelerators, max_unavailable, steps) in [
        (6, 8, 0, vec![step(1, 8)]),
        (12, 4, 1, vec![step(1, 8)]),
        (48, 1, 7, vec![step(1, 8)]),
        (48, 1, 7, vec![gang(8, 1)]),
        (12, 4, 1, vec![gang(2, 4)]),
    ] {
        let (mut fleet, tasks) = with_bounded_work(count, accelerators, max_unavailable);
        assert_stops_nothing(&mut fleet, steps, &tasks);
    }
}

/// Guards against a stop beside a task that is away for another cause.
#[test]
fn a_claim_preempts_nothing_while_a_lost_task_uses_up_the_availability_bound() {
    let (mut fleet, tasks) = with_bounded_work(6, 8, 1);
    let lost = fleet.place_of(&tasks[0]).expect("it runs");
    fleet.crash_for(&lost, 60_000);
    fleet.lose_crashed();
    fleet.pass(1_000);
    assert_stops_nothing(&mut fleet, vec![step(1, 8)], &tasks);
}

/// Guards against a second claim that preempts another task while the first one's victim is away.
#[test]
fn two_claims_share_an_availability_bound() {
    let (mut fleet, tasks) = with_bounded_work(6, 8, 1);
    fleet.planner.set_catalog(Arc::new(catalog(2 * GUARANTEED)));
    claim(&mut fleet, job("first", 0, vec![step(1, 8)]), &tasks);
    let second = AcceptedJob {
        accepted_unix_ms: fleet.now().unix_ms,
        ..job("second", 0, vec![step(1, 8)])
    };
    fleet.submit(second);
    fleet.pass(2 * START_LIMIT_MS);
    assert_eq!(stops_of(&fleet, &tasks), 1);
    // The first claim's worker is free once it has ended.
    end_job(&mut fleet, &"first".parse().expect("an id"), 1);
    assert!(fleet.place_of(&task("second", 0, 0)).is_some());
    assert_eq!(stops_of(&fleet, &tasks), 1);
}

/// An earlier planner's stop may be under way at a worker that still lists the run.
#[test]
fn a_claim_just_after_a_takeover_counts_stops_that_may_be_under_way() {
    let (mut fleet, tasks) = with_bounded_work(6, 8, 1);
    let spec = StepSpec {
        needs: step(1, 8).needs,
        ..available(6, 1)
    };
    let other = of_other("serving", 2, vec![spec]);
    fleet.succeed(&[other]);
    let took_over_ms = fleet.at_ms;
    fleet.planner.set_catalog(Arc::new(catalog(GUARANTEED)));
    fleet.hold_all();
    let accepted = AcceptedJob {
        accepted_unix_ms: fleet.now().unix_ms,
        ..job("claim", 0, vec![step(1, 8)])
    };
    fleet.submit(accepted.clone());
    while stops_of(&fleet, &tasks) == 0 && fleet.at_ms < took_over_ms + START_LIMIT_MS {
        fleet.pass(10);
    }
    let stop_max_ms = u64::try_from(STOP_MAX.as_millis()).expect("small");
    assert!(fleet.at_ms >= took_over_ms + stop_max_ms);
    fleet.pass(500);
    assert!(has_begun(&fleet, &accepted));
    assert_eq!(stops_of(&fleet, &tasks), 1);
}

/// A catalog that guarantees a customer, who has no job, so many accelerators.
fn with_guarantee(accelerators: u32) -> Fleet {
    let mut fleet = fleet();
    fleet.planner.set_catalog(Arc::new(catalog(accelerators)));
    fleet
}

fn whole(count: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        needs: step(1, 8).needs,
        ..available(count, max_unavailable)
    }
}

/// Loses the worker of a task for good, and lets the planner notice.
fn lose_worker_of(fleet: &mut Fleet, task: &TaskKey) {
    let place = fleet.place_of(task).expect("it runs");
    fleet.crash_for(&place, 60_000);
    fleet.lose_crashed();
}

/// A task was never started again once its worker was lost, since the idle workers alone had fewer
/// accelerators than were guaranteed (`review/8`).
#[test]
fn a_lost_task_with_an_availability_bound_starts_again_where_claims_can_preempt_another() {
    for (guaranteed, count, max_unavailable) in [(32, 2, 1), (24, 3, 1), (16, 4, 1), (16, 4, 2)] {
        let mut fleet = with_guarantee(guaranteed);
        fleet.submit(of_other("serving", 2, vec![whole(count, max_unavailable)]));
        fleet.pass(4_000);
        let tasks = tasks_of("serving", count);
        assert_eq!(running(&fleet, &tasks).len(), tasks.len());
        lose_worker_of(&mut fleet, &tasks[0]);
        fleet.pass(17_000);
        assert_eq!(running(&fleet, &tasks).len(), tasks.len());
        let claimed = job("claim", 0, vec![step(guaranteed / 8, 8)]);
        let preempted = claim(&mut fleet, claimed, &tasks);
        assert!(preempted.len() <= max_unavailable as usize);
    }
}

/// Once workers were lost, less than the guarantee could be claimed, and every start was refused from then on, also
/// one that takes nothing from a claim: above half in use a lost task never started again (a variant of
/// `review/8`, docs/incidents/claimable-accelerators.md).
#[test]
fn a_lost_task_starts_again_where_its_start_takes_nothing_from_a_claim_however_full_the_service_is()
{
    for (guaranteed, count, max_unavailable, others) in
        [(32, 3, 1, 2), (40, 2, 1, 2), (32, 3, 2, 1), (48, 1, 1, 3)]
    {
        let mut fleet = with_guarantee(guaranteed);
        fleet.submit(of_other("serving", 2, vec![whole(count, max_unavailable)]));
        fleet.pass(4_000);
        let tasks = tasks_of("serving", count);
        assert_eq!(running(&fleet, &tasks).len(), tasks.len());
        fleet.submit(of_other("batch", 2, vec![step(others, 8)]));
        fleet.pass(500);
        lose_worker_of(&mut fleet, &tasks[0]);
        let claimable = 40 - 8 * (count - 1);
        fleet.pass(17_000);
        assert_eq!(running(&fleet, &tasks).len(), tasks.len(), "{guaranteed}");
        let claimed = guaranteed.min(claimable) / 8;
        let preempted = claim(&mut fleet, job("claim", 0, vec![step(claimed, 8)]), &tasks);
        assert!(preempted.len() <= max_unavailable as usize);
    }
}

/// A lasting task that had waited for 2 s took any worker while under half was in use, also one that a claim
/// needed: the claim of the guarantee had not begun after 8 s (a variant of `review/8`).
#[test]
fn a_task_with_an_availability_bound_that_has_waited_takes_nothing_that_a_claim_needs() {
    for (guaranteed, count, max_unavailable, started) in
        [(48, 2, 0, 0), (40, 2, 0, 1), (48, 2, 1, 0), (40, 3, 1, 1)]
    {
        let mut fleet = with_guarantee(guaranteed);
        fleet.submit(of_other("serving", 2, vec![whole(count, max_unavailable)]));
        fleet.pass(10_000);
        let tasks = tasks_of("serving", count);
        assert_eq!(running(&fleet, &tasks).len(), started, "{guaranteed}");
        let status = fleet.planner.wait_status(&id("serving"), fleet.now());
        let reason = status.map(|status| status.reason);
        assert_eq!(reason, Some(WaitReason::KeptForGuarantees));
        let claimed = job("claim", 0, vec![step(guaranteed / 8, 8)]);
        claim(&mut fleet, claimed, &tasks);
    }
}

/// Guards against a step that counts on tasks that may be away while others of it wait: a claim could
/// preempt none of them.
#[test]
fn waiting_tasks_use_up_an_availability_bound() {
    let mut fleet = fleet();
    fleet.submit(of_other("serving", 2, vec![whole(7, 1)]));
    fleet.pass(10_000);
    let tasks = tasks_of("serving", 7);
    assert_eq!(running(&fleet, &tasks).len(), 5, "one worker is left");
    let preempted = claim(&mut fleet, job("claim", 0, vec![step(1, 8)]), &tasks);
    assert_eq!(preempted, BTreeSet::new());
}

/// Operators were told that it waits for capacity, behind others.
#[test]
fn a_task_that_waits_for_a_guarantee_says_so() {
    let mut fleet = fleet();
    fleet.submit(of_other("serving", 2, vec![available(48, 1)]));
    fleet.pass(10_000);
    let status = fleet.planner.wait_status(&id("serving"), fleet.now());
    let reason = status.map(|status| status.reason);
    assert_eq!(reason, Some(WaitReason::KeptForGuarantees));
}

/// Without guarantees such work may take the whole fleet.
#[test]
fn work_with_an_availability_bound_takes_all_that_is_not_guaranteed() {
    let mut fleet = Fleet::new(&WORKERS);
    fleet.hold_all();
    fleet.submit(of_other("serving", 2, vec![available(48, 1)]));
    fleet.pass(4_000);
    assert_eq!(running(&fleet, &tasks_of("serving", 48)).len(), 48);
}

/// Guards against a claim that serves users and waits for workers without work that fills, or the reverse.
#[test]
fn a_claim_preempts_what_would_disturb_it() {
    let serving = StepSpec {
        latency_target_ms: 200,
        ..lasting(1)
    };
    let filling = StepSpec {
        uses_spare_cpu: true,
        ..lasting(6)
    };
    let filling = StepSpec {
        max_per_worker: Some(1),
        ..filling
    };
    let mut fleet = fleet();
    fleet.submit(of_other("filling", 2, vec![filling]));
    fleet.pass(2_000);
    let tasks = tasks_of("filling", 6);
    assert_eq!(running(&fleet, &tasks).len(), 6);
    let preempted = claim(&mut fleet, job("claim", 0, vec![serving]), &tasks);
    assert_eq!(preempted.len(), 1);
}

/// Guards against a guaranteed job of steps in a row that is taken for one that needs them all at once: it
/// then waits behind other customers' urgent work.
#[test]
fn a_claim_of_steps_in_a_row_is_guaranteed() {
    let mut fleet = fleet();
    fleet.submit(of_other("urgent", 0, vec![step(6, 8)]));
    fleet.pass(2_000);
    let second = StepSpec {
        depends_on: vec![0],
        ..step(1, 8)
    };
    let tasks = tasks_of("urgent", 6);
    let preempted = claim(
        &mut fleet,
        job("claim", 0, vec![step(1, 8), second]),
        &tasks,
    );
    assert_eq!(preempted.len(), 1);
}
