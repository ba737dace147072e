//! A job with nothing running starts within 3 s if a step of it fits twice over, however full the service is.
//!
//! Generated loads of urgent work, wide and narrow gangs and loose steps keep most of the accelerators in use.
//! What stays free is kept for something: for urgent work, near some data, for a gang. None of that may hold
//! a job back for longer than the platform allows.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::JobId;
use stairstall_core::batch::{AcceptedJob, CallerState, RunEndKind, StepSpec, TaskKey};

use crate::harness::{Fleet, gang, job, step};
use crate::idle_jobs::{MAX_IDLE_MS, TICK_MS, accepted_now, lasting, usual_fleet};

const RACKS: usize = 4;
/// Accelerators of a worker.
const ACCELERATORS: u32 = 8;
/// How long jobs are handed in, in milliseconds.
const BUSY_MS: u64 = 60_000;
/// Number of open jobs that are not urgent, at most.
const OPEN_JOBS: usize = 24;
/// Time between two urgent jobs, at most, in milliseconds.
const URGENT_PAUSE_MS: u64 = 900;
/// How long a planner has the role where planners change, in milliseconds.
const TENURE_MS: u64 = 7_000;
/// How long the work of a worker's tasks takes by their reports, in milliseconds.
const REPORTED_WORK_MS: u64 = 6_000;
const SEEDS: u64 = 10;

/// An open job, as its caller and the platform see it.
struct OpenJob {
    job: AcceptedJob,
    /// Tasks that are done.
    done: BTreeSet<TaskKey>,
    /// Since when nothing of it has run although its step fitted twice over.
    idle_since_ms: u64,
}

struct World {
    fleet: Fleet,
    random: Pcg64Mcg,
    open: BTreeMap<JobId, OpenJob>,
    /// When each task ends.
    ends_ms: BTreeMap<TaskKey, u64>,
    next_urgent_ms: u64,
    jobs: usize,
    /// Jobs that were idle for too long, with what they were.
    idle: Vec<String>,
    /// Accelerators in use, summed over all looks, and the number of looks.
    in_use: (u64, u64),
}

impl World {
    fn new(seed: u64) -> Self {
        let mut fleet = usual_fleet(RACKS);
        for worker in fleet.workers.values_mut() {
            worker.span_ms = Some(REPORTED_WORK_MS);
        }
        Self {
            fleet,
            random: Pcg64Mcg::seed_from_u64(seed),
            open: BTreeMap::new(),
            ends_ms: BTreeMap::new(),
            next_urgent_ms: 0,
            jobs: 0,
            idle: Vec::new(),
            in_use: (0, 0),
        }
    }

    fn submit(&mut self, priority: u8, steps: Vec<StepSpec>) {
        self.jobs += 1;
        let job = job(&format!("j{}", self.jobs), priority, steps);
        let job = accepted_now(&self.fleet, job);
        self.fleet.submit(job.clone());
        let open = OpenJob {
            job: job.clone(),
            done: BTreeSet::new(),
            idle_since_ms: self.fleet.at_ms,
        };
        self.open.insert(job.id, open);
    }

    fn random_step(&mut self) -> StepSpec {
        let random = &mut self.random;
        let accelerators = [1, 1, 1, 2, 8][random.random_range(0..5)];
        let widest = 80 / accelerators;
        let spec = match random.random_range(0..4) {
            0 => gang(random.random_range(2..=widest), accelerators),
            // Waits for most of the accelerators.
            1 => gang(random.random_range(120..250), 1),
            _ => step(random.random_range(1..=widest), accelerators),
        };
        let estimate_ms = random.random_range(1_000..6_000);
        let rack = random.random_range(0..4 * RACKS);
        StepSpec {
            near_rack: (rack < RACKS).then(|| format!("r{rack}")),
            max_per_worker: (random.random_range(0..6) == 0).then_some(2),
            ..lasting(estimate_ms, spec)
        }
    }

    fn hand_in(&mut self) {
        if self.fleet.at_ms >= self.next_urgent_ms {
            let pause_ms = self.random.random_range(100..URGENT_PAUSE_MS);
            self.next_urgent_ms = self.fleet.at_ms + pause_ms;
            let count = self.random.random_range(4..=24);
            self.submit(0, vec![lasting(3_000, step(count, 1))]);
        }
        let others = self.open.values();
        let others = others.filter(|open| open.job.queue.priority > 0).count();
        if others < OPEN_JOBS {
            let first = self.random_step();
            let mut steps = vec![first];
            if self.random.random_range(0..3) == 0 {
                let second = self.random_step();
                steps.push(StepSpec {
                    depends_on: vec![0],
                    ..second
                });
            }
            let priority = self.random.random_range(1..3);
            self.submit(priority, steps);
        }
    }

    fn step_of(&self, task: &TaskKey) -> &StepSpec {
        &self.open[&task.group.job].job.spec.steps[task.group.step as usize]
    }

    fn running(&self) -> BTreeSet<TaskKey> {
        let workers = self.fleet.workers.values();
        let running = workers.flat_map(|worker| worker.running.keys().cloned());
        running.collect()
    }

    /// Ends what has worked for long enough: for up to half more or less than its estimate.
    fn end_what_is_done(&mut self) {
        let running = self.running();
        self.ends_ms.retain(|task, _| running.contains(task));
        for task in running {
            if !self.ends_ms.contains_key(&task) {
                let estimate_ms = self.step_of(&task).estimate_ms;
                let work_ms = self
                    .random
                    .random_range(estimate_ms / 2..estimate_ms * 3 / 2);
                self.ends_ms.insert(task, self.fleet.at_ms + work_ms);
            } else if self.ends_ms[&task] <= self.fleet.at_ms {
                let is_gang = self.step_of(&task).gang;
                let open = self.open.get_mut(&task.group.job).expect("it is open");
                let members = 0..open.job.spec.steps[task.group.step as usize].count;
                let members = members.filter(|index| is_gang || *index == task.index);
                let group = &task.group;
                open.done.extend(members.map(|index| group.task(index)));
                self.fleet.end_everywhere(&task, RunEndKind::Done);
            }
        }
    }

    /// Returns for how many tasks of a step workers have capacity that nothing uses.
    fn room_for(&self, step: &StepSpec) -> u32 {
        let most = step.max_per_worker.unwrap_or(u32::MAX);
        let free = self.fleet.workers.values().map(|worker| {
            let used = worker.running.keys();
            let used: u32 = used.map(|task| self.step_of(task).needs.accelerators).sum();
            (ACCELERATORS.saturating_sub(used) / step.needs.accelerators).min(most)
        });
        free.sum()
    }

    /// Returns the first step of a job that is not done.
    fn due_step(open: &OpenJob) -> Option<&StepSpec> {
        let steps = (0..).zip(&open.job.spec.steps);
        let mut due = steps.filter(|(index, step)| {
            let done = open.done.iter().filter(|task| task.group.step == *index);
            done.count() < step.count as usize
        });
        due.next().map(|(_, step)| step)
    }

    fn check_idle_jobs(&mut self) {
        let now = self.fleet.now();
        let running = self.running();
        let in_use: u32 = running
            .iter()
            .map(|task| self.step_of(task).needs.accelerators)
            .sum();
        self.in_use.0 += u64::from(in_use);
        self.in_use.1 += 1;
        let active: BTreeSet<&JobId> = running.iter().map(|task| &task.group.job).collect();
        let at_ms = self.fleet.at_ms;
        let mut fitting = BTreeSet::new();
        for (id, open) in &self.open {
            let fits = Self::due_step(open).is_some_and(|step| {
                let tasks = if step.gang { step.count } else { 1 };
                self.room_for(step) >= 2 * tasks
            });
            if fits && !active.contains(id) {
                fitting.insert(id.clone());
            }
        }
        for (id, open) in &mut self.open {
            if !fitting.contains(id) {
                open.idle_since_ms = at_ms;
            } else if at_ms - open.idle_since_ms > MAX_IDLE_MS {
                let reason = self.fleet.planner.wait_status(id, now);
                let reason = reason.map(|status| status.reason.as_str());
                let step = Self::due_step(open);
                self.idle.push(format!(
                    "{at_ms}: {id}, {in_use} in use, waits for {reason:?}: {step:?}"
                ));
                open.idle_since_ms = at_ms;
            }
        }
    }

    fn forget_ended(&mut self) {
        let planner = &self.fleet.planner;
        let running = self.running();
        let is_open = |id: &JobId| !matches!(planner.caller_state(id), Some(CallerState::Ended(_)));
        self.open
            .retain(|id, _| is_open(id) || running.iter().any(|task| task.group.job == *id));
    }

    fn change_planner(&mut self) {
        let open: Vec<AcceptedJob> = self.open.values().map(|open| open.job.clone()).collect();
        self.fleet.succeed(&open);
    }

    fn play(&mut self, changes_planner: bool) {
        let mut tenure_until_ms = TENURE_MS;
        while self.fleet.at_ms < BUSY_MS {
            self.hand_in();
            self.fleet.pass(TICK_MS);
            self.end_what_is_done();
            self.check_idle_jobs();
            self.forget_ended();
            if changes_planner && self.fleet.at_ms >= tenure_until_ms {
                self.change_planner();
                tenure_until_ms = self.fleet.at_ms + TENURE_MS;
            }
        }
    }

    fn percent_in_use(&self) -> u64 {
        let (sum, looks) = self.in_use;
        let capacity = u64::from(ACCELERATORS) * self.fleet.workers.len() as u64;
        sum * 100 / (capacity * looks)
    }
}

fn check(changes_planner: bool) {
    let mut found = Vec::new();
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        world.play(changes_planner);
        println!(
            "seed {seed}: {} jobs, {} percent in use, {} idle",
            world.jobs,
            world.percent_in_use(),
            world.idle.len()
        );
        let idle = world.idle.into_iter();
        found.extend(idle.map(|what| format!("seed {seed}: {what}")));
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn no_job_is_idle_beside_room_however_full_the_service_is() {
    check(false);
}

#[test]
fn no_job_is_idle_as_planners_change_however_full_the_service_is() {
    check(true);
}
