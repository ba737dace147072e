//! Which accepted jobs have nothing running although there is room for them twice over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use stairstall_platform_standin::{FreeCapacity, RunRecord};

use crate::jobs::{Job, Step};

/// How long a job may have nothing running although there is room for it.
pub const MAX_IDLE: Duration = Duration::from_secs(3);

/// What is known of one accepted job.
#[derive(Debug)]
struct Watched {
    job: Job,
    idle_since: Option<Instant>,
    is_reported: bool,
}

/// A job that stood still.
#[derive(Debug, Clone)]
pub struct Idle {
    pub id: String,
    pub since: Duration,
    pub what: String,
    /// Whether under half of the accelerators were in use all the while.
    pub fleet_half_empty: bool,
}

/// Watches accepted jobs by what workers run.
#[derive(Debug, Default)]
pub struct IdleJobs {
    open: BTreeMap<String, Watched>,
    pub found: Vec<Idle>,
    pub ended: usize,
    half_empty_since: Option<Instant>,
}

fn job_of(record: &RunRecord) -> &str {
    record.task.split('.').next().unwrap_or_default()
}

fn step_of(record: &RunRecord) -> Option<usize> {
    record.task.split('.').nth(2)?.parse().ok()
}

/// Returns for how many tasks of a step there is room, on all workers and on the best rack.
fn room(free: &[FreeCapacity], step: &Step) -> (u64, u64) {
    let mut by_rack = BTreeMap::<&str, u64>::new();
    for worker in free {
        let copies = worker.free.copies_of(step.needs);
        *by_rack.entry(&worker.rack).or_default() += copies.min(step.spread.unwrap_or(u64::MAX));
    }
    let near = step
        .near
        .as_ref()
        .map(|rack| by_rack.get(rack.as_str()).copied().unwrap_or(0));
    let best = by_rack.values().copied().max().unwrap_or(0);
    (by_rack.values().sum(), near.unwrap_or(best))
}

impl IdleJobs {
    pub fn add(&mut self, job: Job) {
        let watched = Watched {
            job,
            idle_since: None,
            is_reported: false,
        };
        self.open.insert(watched.job.id.clone(), watched);
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns the jobs whose tasks are all done at the workers, and stops watching them.
    pub fn take_done(&mut self, records: &[RunRecord]) -> Vec<Job> {
        let done = done_tasks(records);
        let is_done = |watched: &Watched| {
            done.get(watched.job.id.as_str())
                .is_some_and(|done| due_step(&watched.job, done).is_none())
        };
        let ids: Vec<String> = self
            .open
            .values()
            .filter(|watched| is_done(watched))
            .map(|watched| watched.job.id.clone())
            .collect();
        self.ended += ids.len();
        ids.iter()
            .filter_map(|id| Some(self.open.remove(id)?.job))
            .collect()
    }

    /// Notes which jobs stand still now.
    pub fn check(&mut self, records: &[RunRecord], free: &[FreeCapacity], used_share: f64) {
        let now = Instant::now();
        let running: BTreeSet<&str> = records
            .iter()
            .filter(|record| record.how.is_none())
            .map(job_of)
            .collect();
        let done = done_tasks(records);
        self.half_empty_since =
            (used_share < 0.5).then(|| *self.half_empty_since.get_or_insert(now));
        let none = BTreeSet::new();
        for watched in self.open.values_mut() {
            let id = watched.job.id.as_str();
            let step = due_step(&watched.job, done.get(id).unwrap_or(&none)).cloned();
            let step = step.filter(|step| !running.contains(id) && fits_twice(free, step));
            let Some(step) = step else {
                watched.idle_since = None;
                watched.is_reported = false;
                continue;
            };
            let since = *watched.idle_since.get_or_insert(now);
            if now - since <= MAX_IDLE || watched.is_reported {
                continue;
            }
            watched.is_reported = true;
            let runs = records.iter().filter(|record| job_of(record) == id).count();
            let (total, best) = room(free, &step);
            let Job { kind, customer, .. } = &watched.job;
            self.found.push(Idle {
                id: id.to_owned(),
                since: now - since,
                what: format!(
                    "{kind} of customer {customer}, {runs} runs so far; room for {total}, {best} on its rack; \
                     {used_share:.2} in use; {step:?}"
                ),
                fleet_half_empty: self.half_empty_since.is_some_and(|half| half <= since),
            });
        }
    }
}

/// Returns whether one task of a step, or its whole gang, fits on the free capacity twice over.
pub fn fits_twice(free: &[FreeCapacity], step: &Step) -> bool {
    let count = if step.gang { step.count } else { 1 };
    room(free, step).0 >= 2 * count
}

/// Returns by job which of its tasks were done, by step and index.
pub fn done_tasks(records: &[RunRecord]) -> BTreeMap<&str, BTreeSet<(usize, &str)>> {
    let mut done: BTreeMap<&str, BTreeSet<(usize, &str)>> = BTreeMap::new();
    for record in records.iter().filter(|record| record.how == Some("done")) {
        let Some(step) = step_of(record) else {
            continue;
        };
        done.entry(job_of(record))
            .or_default()
            .insert((step, &record.task));
    }
    done
}

/// Returns the first step of which tasks are left. One end of a gang as done stands for all.
pub fn due_step<'a>(job: &'a Job, done: &BTreeSet<(usize, &str)>) -> Option<&'a Step> {
    let left = |(index, step): &(usize, &Step)| {
        let done = done.iter().filter(|(of, _)| of == index).count() as u64;
        done < if step.gang { 1 } else { step.count }
    };
    job.steps
        .iter()
        .enumerate()
        .find(left)
        .map(|(_, step)| step)
}
