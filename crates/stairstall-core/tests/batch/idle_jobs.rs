//! A job with nothing running starts within a bound if under half of the fleet is in use and a step of
//! it fits twice over, whatever better place the planner would rather wait for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use stairstall_core::batch::{
    AcceptedJob, Bounds, CallerState, DecisionKind, Now, OrderKind, Planner, RunEndKind, StepSpec,
    TaskKey, VmLimits, WaitReason,
};
use stairstall_core::{JobId, Timestamp};

use crate::harness::{Fleet, SPAN_MS, START_UNIX_MS, bounds, catalog, gang, id, job, step};

/// How long the platform lets a job have nothing running although there is capacity for it twice
/// over.
pub(crate) const MAX_IDLE_MS: u64 = 3_000;
pub(crate) const TICK_MS: u64 = 100;
/// How long a job is given until it must have started in these tests.
pub(crate) const PATIENCE_MS: u64 = 20_000;
/// How long each planner has the role: just under its own bound on idle time.
const TENURE_MS: u64 = 1_900;

/// Racks of ten workers with 8 accelerators each.
fn racks(count: usize) -> Vec<(String, String)> {
    (0..count * 10)
        .map(|index| (format!("w{index:03}"), format!("r{}", index / 10)))
        .collect()
}

pub(crate) fn fleet(count: usize, limits: VmLimits, bounds: Bounds) -> Fleet {
    let racks = racks(count);
    let listed: Vec<(&str, &str)> = racks
        .iter()
        .map(|(worker, rack)| (worker.as_str(), rack.as_str()))
        .collect();
    let mut fleet = Fleet::new(&listed);
    let planner = Planner::new(1, bounds);
    fleet.planner = planner.with_limits(limits);
    fleet.planner.set_catalog(Arc::new(catalog(0)));
    for listed in fleet.listed.values() {
        let now = Now::new(Timestamp::from_millis(0), START_UNIX_MS);
        fleet.planner.handle_listed_worker(listed.clone(), now);
    }
    fleet.hold_all();
    fleet
}

pub(crate) fn usual_fleet(racks: usize) -> Fleet {
    fleet(racks, VmLimits::default(), bounds())
}

pub(crate) fn near(rack: &str, step: StepSpec) -> StepSpec {
    StepSpec {
        near_rack: Some(rack.to_owned()),
        ..step
    }
}

pub(crate) fn lasting(ms: u64, step: StepSpec) -> StepSpec {
    StepSpec {
        estimate_ms: ms,
        ..step
    }
}

/// Returns a job as it is stored when it is handed in now.
pub(crate) fn accepted_now(fleet: &Fleet, job: AcceptedJob) -> AcceptedJob {
    AcceptedJob {
        accepted_unix_ms: fleet.now().unix_ms,
        ..job
    }
}

pub(crate) fn hand_in(fleet: &mut Fleet, job: AcceptedJob) {
    let job = accepted_now(fleet, job);
    let now = fleet.now();
    fleet.planner.submit(job, now);
}

pub(crate) fn has_started(fleet: &Fleet, name: &str) -> bool {
    let is_start = |kind: &OrderKind| matches!(kind, OrderKind::Start { .. });
    let orders = fleet.given.iter();
    let mut starts = orders.filter(|order| is_start(&order.kind));
    starts.any(|order| order.task.group.job == id(name))
}

/// Returns how long a job waits for its first start, calling `each` before each step of the clock.
fn wait_of_with(fleet: &mut Fleet, name: &str, mut each: impl FnMut(&mut Fleet)) -> u64 {
    let handed_in = fleet.at_ms;
    while !has_started(fleet, name) && fleet.at_ms - handed_in < PATIENCE_MS {
        each(fleet);
        fleet.pass(TICK_MS);
    }
    fleet.at_ms - handed_in
}

pub(crate) fn wait_of(fleet: &mut Fleet, name: &str) -> u64 {
    wait_of_with(fleet, name, |_| {})
}

/// Fills a rack with work that does not end.
pub(crate) fn fill(fleet: &mut Fleet, rack: &str) {
    let name = format!("full-{rack}");
    hand_in(fleet, job(&name, 1, vec![near(rack, step(80, 1))]));
    fleet.pass(TICK_MS);
}

#[test]
fn a_gang_whose_rack_is_full_goes_elsewhere_in_time() {
    let mut fleet = usual_fleet(4);
    fill(&mut fleet, "r0");
    hand_in(
        &mut fleet,
        job("wide", 1, vec![near("r0", lasting(15_000, gang(20, 1)))]),
    );
    let waited = wait_of(&mut fleet, "wide");
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

#[test]
fn a_gang_that_wants_one_rack_goes_on_several_in_time() {
    let mut fleet = usual_fleet(4);
    for rack in 0..4 {
        hand_in(
            &mut fleet,
            job(
                &format!("some-{rack}"),
                1,
                vec![near(&format!("r{rack}"), step(35, 1))],
            ),
        );
    }
    fleet.pass(TICK_MS);
    let mut wide = gang(60, 1);
    wide.same_rack = true;
    hand_in(&mut fleet, job("wide", 1, vec![lasting(15_000, wide)]));
    let waited = wait_of(&mut fleet, "wide");
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

#[test]
fn a_loose_step_whose_rack_is_full_goes_elsewhere_in_time() {
    let mut fleet = usual_fleet(4);
    fill(&mut fleet, "r0");
    hand_in(
        &mut fleet,
        job("loose", 2, vec![near("r0", lasting(15_000, step(10, 1)))]),
    );
    let waited = wait_of(&mut fleet, "loose");
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Planners change before any of them has seen the job idle for too long.
#[test]
fn changes_of_planner_hold_no_job_back_for_long() {
    let mut fleet = usual_fleet(4);
    let full = job("full", 1, vec![near("r0", step(80, 1))]);
    let wide = job("wide", 1, vec![near("r0", lasting(15_000, gang(20, 1)))]);
    hand_in(&mut fleet, full.clone());
    fleet.pass(TICK_MS);
    let wide = accepted_now(&fleet, wide);
    hand_in(&mut fleet, wide.clone());
    let handed_in = fleet.at_ms;
    let mut planner_began = fleet.at_ms;
    while !has_started(&fleet, "wide") && fleet.at_ms - handed_in < PATIENCE_MS {
        fleet.pass(TICK_MS);
        if fleet.at_ms - planner_began >= TENURE_MS {
            fleet.succeed(&[full.clone(), wide.clone()]);
            planner_began = fleet.at_ms;
        }
    }
    let waited = fleet.at_ms - handed_in;
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Returns how long a job of low rank waits beside waves of urgent work, which end soon and keep
/// almost all free workers for more of them. `lasting_tasks` of other work run all the while.
fn wait_beside_waves(lasting_tasks: u32) -> u64 {
    let bounds = Bounds {
        stop_max: Duration::from_secs(2),
        ..bounds()
    };
    let mut fleet = fleet(10, VmLimits::default(), bounds);
    if lasting_tasks > 0 {
        let most = lasting(60_000, step(lasting_tasks, 1));
        hand_in(&mut fleet, job("most", 1, vec![most]));
    }
    let mut ticks = 0;
    let mut keep_coming = |fleet: &mut Fleet| {
        match ticks % 5 {
            0 => hand_in(fleet, job(&format!("u{ticks}"), 0, vec![step(5, 8)])),
            2 => end_urgent(fleet),
            _ => {}
        }
        ticks += 1;
    };
    for _ in 0..100 {
        keep_coming(&mut fleet);
        fleet.pass(TICK_MS);
    }
    hand_in(&mut fleet, job("low", 2, vec![lasting(1_000, step(1, 1))]));
    wait_of_with(&mut fleet, "low", keep_coming)
}

#[test]
fn headroom_holds_no_job_back_for_long() {
    let waited = wait_beside_waves(0);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// The same with more than half of the fleet in use.
#[test]
fn headroom_holds_no_job_back_for_long_in_a_busy_fleet() {
    let waited = wait_beside_waves(500);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Ends the runs of all jobs whose names say that they are urgent.
pub(crate) fn end_urgent(fleet: &mut Fleet) {
    let workers = fleet.workers.values();
    let running = workers.flat_map(|worker| worker.running.keys());
    let urgent = running.filter(|task| task.group.job.as_str().starts_with('u'));
    let urgent: Vec<TaskKey> = urgent.cloned().collect();
    for task in urgent {
        fleet.end_everywhere(&task, RunEndKind::Done);
    }
}

/// Each rack has some room, but none has enough.
#[test]
fn a_gang_that_wants_one_rack_goes_on_several_in_time_in_a_busy_fleet() {
    let mut fleet = usual_fleet(4);
    for rack in 0..4 {
        let name = format!("some-{rack}");
        let near = near(&format!("r{rack}"), lasting(60_000, step(50, 1)));
        hand_in(&mut fleet, job(&name, 1, vec![near]));
    }
    fleet.pass(TICK_MS);
    let mut wide = gang(40, 1);
    wide.same_rack = true;
    hand_in(&mut fleet, job("wide", 1, vec![lasting(15_000, wide)]));
    let waited = wait_of(&mut fleet, "wide");
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Returns how long a small job waits beside a gang that can't start and reserves workers on which it
/// would fit, while so many accelerators of 160 are in use.
pub(crate) fn wait_beside_reservation(in_use: u32) -> u64 {
    let mut fleet = usual_fleet(2);
    hand_in(
        &mut fleet,
        job("some", 1, vec![lasting(60_000, step(in_use, 1))]),
    );
    fleet.pass(TICK_MS);
    hand_in(
        &mut fleet,
        job("wide", 1, vec![lasting(60_000, gang(120, 1))]),
    );
    fleet.pass(1_600);
    hand_in(
        &mut fleet,
        job("small", 2, vec![lasting(90_000, step(4, 1))]),
    );
    wait_of(&mut fleet, "small")
}

#[test]
fn a_reservation_holds_no_job_back_for_long() {
    let waited = wait_beside_reservation(70);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// A gang that has no capacity anywhere, wider than what is left of the start window.
#[test]
fn a_gang_without_capacity_leaves_the_start_window_open() {
    let limits = VmLimits {
        cpu_percent: 12,
        ..VmLimits::default()
    };
    let mut fleet = fleet(10, limits, bounds());
    let on_r0 = |step: StepSpec| StepSpec {
        required_label: Some("r0".to_owned()),
        ..step
    };
    let elsewhere = |step: StepSpec| StepSpec {
        required_label: Some("r5".to_owned()),
        ..step
    };
    hand_in(&mut fleet, job("full", 1, vec![on_r0(step(80, 1))]));
    for _ in 0..8 {
        fleet.pass(TICK_MS);
    }
    // One start that nobody answers keeps the window from being empty.
    hand_in(&mut fleet, job("open", 2, vec![elsewhere(step(1, 1))]));
    let now = fleet.now();
    fleet.planner.tick(now);
    fleet.write_all();
    fleet.planner.tick(now);
    hand_in(&mut fleet, job("wide", 1, vec![on_r0(gang(60, 1))]));
    hand_in(&mut fleet, job("other", 2, vec![elsewhere(step(10, 1))]));
    fleet.planner.tick(now);
    fleet.write_all();
    let orders = fleet.planner.tick(now);
    let others = orders
        .iter()
        .filter(|order| order.task.group.job == id("other"));
    assert_eq!(others.count(), 10);
}

#[test]
fn a_job_that_has_nothing_running_is_named_with_its_reason() {
    let mut fleet = usual_fleet(4);
    fill(&mut fleet, "r0");
    hand_in(
        &mut fleet,
        job("wide", 1, vec![near("r0", lasting(15_000, gang(20, 1)))]),
    );
    fleet.planner.take_decisions();
    for _ in 0..13 {
        fleet.pass(TICK_MS);
    }
    let decisions = fleet.planner.take_decisions();
    let idle: Vec<&str> = decisions
        .iter()
        .filter(|decision| decision.kind == DecisionKind::Idle)
        .map(|decision| decision.why.as_str())
        .collect();
    assert_eq!(idle.len(), 1, "{idle:?}");
    assert!(idle[0].contains(WaitReason::Locality.as_str()), "{idle:?}");
    assert_eq!(fleet.planner.idle_jobs(), 1);
    wait_of(&mut fleet, "wide");
    assert_eq!(fleet.planner.idle_jobs(), 0);
    let decisions = fleet.planner.take_decisions();
    let mut idle = decisions
        .iter()
        .filter(|decision| decision.kind == DecisionKind::Idle);
    assert!(idle.any(|decision| decision.why.contains("it starts after")));
}

/// How long each task works in generated loads, whatever its estimate says.
const WORK_MS: u64 = 2_000;
/// How long a generated load lasts.
const TICKS: u32 = 300;
/// Time between two of its jobs.
const TICKS_PER_JOB: u32 = 3;
const TESTS: u64 = 15;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

/// What a generated job is made of.
type Shape = (u8, u8, u8, u8, u16);

fn generated_job(number: usize, shape: Shape) -> AcceptedJob {
    let (kind, width, accelerators, rack, estimate) = shape;
    let width = u32::from(width) % 60 + 1;
    let accelerators = 1 << (accelerators % 4);
    let is_gang = kind % 2 == 0;
    let mut step = if is_gang {
        gang(width, accelerators)
    } else {
        step(width, accelerators)
    };
    step.same_rack = is_gang && kind / 2 % 2 == 0;
    step.near_rack = (kind / 4 % 3 == 0).then(|| format!("r{}", rack % 4));
    step.max_per_worker = (kind / 16 % 4 == 0).then_some(2);
    step.estimate_ms = u64::from(estimate) % 20_000 + 100;
    job(&format!("job-{number}"), kind / 64 % 3, vec![step])
}

/// Accelerators of a job's tasks.
type Needs = BTreeMap<JobId, u32>;

/// Ends what has done its work; a gang ends as a whole.
pub(crate) fn end_what_is_done(fleet: &mut Fleet) {
    let workers = fleet.workers.values();
    let running = workers.flat_map(|worker| &worker.running);
    let done: Vec<TaskKey> = running
        .filter(|(_, (_, worked_ms, _))| *worked_ms >= SPAN_MS)
        .map(|(task, _)| task.clone())
        .collect();
    for task in done {
        fleet.end_everywhere(&task, RunEndKind::Done);
    }
}

/// Returns for how many tasks of a step workers have capacity.
fn room_for(fleet: &Fleet, needs: &Needs, step: &StepSpec) -> u32 {
    let free = fleet.workers.values().map(|worker| {
        let used: u32 = worker
            .running
            .keys()
            .map(|task| needs[&task.group.job])
            .sum();
        ((8 - used) / step.needs.accelerators).min(step.max_per_worker.unwrap_or(u32::MAX))
    });
    free.sum()
}

fn used_accelerators(fleet: &Fleet, needs: &Needs) -> u32 {
    let workers = fleet.workers.values();
    let running = workers.flat_map(|worker| worker.running.keys());
    running.map(|task| needs[&task.group.job]).sum()
}

/// Returns the jobs that had nothing running for too long in a generated load.
fn idle_jobs_in(shapes: &[Shape]) -> Vec<String> {
    let mut fleet = usual_fleet(4);
    for worker in fleet.workers.values_mut() {
        worker.span_ms = Some(WORK_MS);
    }
    let mut jobs: Vec<(AcceptedJob, u64)> = Vec::new();
    let mut found = Vec::new();
    let mut needs = Needs::new();
    let mut shapes = shapes.iter().enumerate();
    for tick in 0..TICKS {
        if tick % TICKS_PER_JOB == 0
            && let Some((number, shape)) = shapes.next()
        {
            let job = generated_job(number, *shape);
            let accepted_unix_ms = fleet.now().unix_ms;
            let job = AcceptedJob {
                accepted_unix_ms,
                ..job
            };
            let accelerators = job.spec.steps[0].needs.accelerators;
            needs.insert(job.id.clone(), accelerators);
            fleet.submit(job.clone());
            jobs.push((job, fleet.at_ms));
        }
        fleet.pass(TICK_MS);
        end_what_is_done(&mut fleet);
        let is_mostly_free = used_accelerators(&fleet, &needs) < 160;
        let now = fleet.now();
        jobs.retain(|(job, _)| {
            !matches!(
                fleet.planner.caller_state(&job.id),
                Some(CallerState::Ended(_))
            )
        });
        for (job, active_at) in &mut jobs {
            let step = &job.spec.steps[0];
            let tasks = if step.gang { step.count } else { 1 };
            let is_due = fleet.planner.wait_status(&job.id, now).is_some();
            let fits = is_due && is_mostly_free && room_for(&fleet, &needs, step) >= 2 * tasks;
            if !fits || runs(&fleet, job.id.as_str()) {
                *active_at = fleet.at_ms;
            } else if fleet.at_ms - *active_at > MAX_IDLE_MS {
                found.push(format!("{}: {step:?}", job.id));
                *active_at = fleet.at_ms;
            }
        }
    }
    found
}

fn runs(fleet: &Fleet, name: &str) -> bool {
    let workers = fleet.workers.values();
    let mut running = workers.flat_map(|worker| worker.running.keys());
    running.any(|task| task.group.job == id(name))
}

#[allow(clippy::needless_pass_by_value, reason = "a property owns its input")]
fn no_job_is_idle(shapes: Vec<Shape>) -> bool {
    idle_jobs_in(&shapes).is_empty()
}

/// The invariant, in generated loads of gangs and loose steps with data, spread limits and estimates
/// that say nothing.
#[test]
fn no_job_is_idle_beside_room_in_generated_loads() {
    for seed in SEEDS {
        println!("seed {seed}");
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, seed))
            .tests(TESTS)
            .quickcheck(no_job_is_idle as fn(Vec<Shape>) -> bool);
    }
}

/// Urgent work on one rack, then a loose step of a lower rank.
#[test]
fn no_job_is_idle_behind_urgent_gangs() {
    let found = idle_jobs_in(&[
        (255, 36, 54, 5, 0),
        (81, 34, 5, 0, 3_677),
        (197, 245, 110, 0, 0),
        (0, 78, 59, 7, 394),
        (78, 42, 0, 0, 0),
        (255, 98, 63, 0, 0),
    ]);
    assert!(found.is_empty(), "{found:#?}");
}
