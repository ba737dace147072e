//! The customers' recent usage, and the scheduling order that follows from it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::job::Job;
use super::{Now, Planner};
use crate::CustomerId;
use crate::batch::{
    CompletionObjective, CustomerUsageTotal, FleetCapacity, GroupKey, SchedulingKey, StepSpec,
    Timeliness,
};
use crate::time::millis;

/// Weight of every customer: beyond the guaranteed shares, all customers are equal.
const WEIGHT: u32 = 1;

/// The part of the fleet that a running step uses.
struct RunningShare {
    customer: Option<CustomerId>,
    /// Dominant share: the largest of the step's shares of the fleet's processors, memory and
    /// accelerators, in parts per million.
    share_ppm: u64,
    /// Expected remaining time.
    remaining: Duration,
}

impl Planner {
    /// Returns the customers with the highest recent usage, at most `max` of them, and the usage
    /// that each would have if all had used equally much, in milliseconds of the whole fleet.
    #[must_use]
    pub fn customer_usage(&self, max: usize, now: Now) -> (Vec<CustomerUsageTotal>, u64) {
        (
            self.usage.top_customers(max, now.at),
            self.usage.mean_used_ms(now.at),
        )
    }

    /// Adds what the running steps use to their customers' usage.
    pub(super) fn charge_customers(&mut self, now: Now) {
        let workers = &self.workers;
        let fleet = || {
            let listed = workers.values().filter(|worker| worker.is_listed);
            listed.fold(FleetCapacity::default(), |sum, worker| {
                sum.plus(&worker.listed.capacity)
            })
        };
        let Some(interval) = self.usage.begin_charge_interval(fleet, now.at) else {
            return;
        };
        for share in self.running_shares() {
            let customer = share.customer.as_ref();
            self.usage
                .charge(customer, share.share_ppm, interval, now.at);
            self.usage
                .add_commitment(customer, share.share_ppm, share.remaining);
        }
    }

    /// Returns the part of the fleet that each running step uses, except for guaranteed jobs.
    fn running_shares(&self) -> Vec<RunningShare> {
        let groups = self.run_index.groups();
        let counted = groups.filter(|(key, _)| !self.is_guaranteed(key));
        let shares = counted.filter_map(|(key, runs)| {
            let job = self.jobs.get(&key.job)?;
            let resources = job.step(key)?.reserved_resources();
            let first = runs.first();
            let run = first.and_then(|(index, id)| self.run_at(id, &key.task(*index)));
            let remaining_ms = run.map_or(0, |run| {
                run.remaining_ms(self.policy.placement.min_progress_percent)
            });
            Some(RunningShare {
                customer: job.accepted.customer.clone(),
                share_ppm: self
                    .usage
                    .fleet()
                    .dominant_share_ppm(&resources, runs.len() as u64),
                remaining: Duration::from_millis(remaining_ms),
            })
        });
        shares.collect()
    }

    /// Returns whether a step's job was guaranteed when the ranks of runs were last set.
    pub(super) fn is_guaranteed(&self, key: &GroupKey) -> bool {
        let guaranteed = self.ranked_guaranteed_jobs.as_ref();
        guaranteed.is_some_and(|guaranteed| guaranteed.contains(&key.job))
    }

    /// Adds tasks that were just placed to their customer's committed usage.
    pub(super) fn commit_usage(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        tasks: usize,
        now: Now,
    ) {
        if candidate.rank == GUARANTEED_RANK {
            return;
        }
        let key = &candidate.key;
        let run_time = self.run_time(key, step, now).typical;
        let share_ppm = self
            .usage
            .fleet()
            .dominant_share_ppm(&step.reserved_resources(), tasks as u64);
        let customer = self.jobs.get(&key.job).map(|job| &job.accepted.customer);
        if let Some(customer) = customer {
            self.usage
                .add_commitment(customer.as_ref(), share_ppm, run_time);
        }
    }

    /// Returns the scheduling key of a step among others of its rank, without its customer's usage.
    pub(super) fn scheduling_key_of(
        &self,
        rank: u8,
        key: &GroupKey,
        job: &Job,
        now: Now,
    ) -> SchedulingKey {
        // A job that was rejected before goes ahead of later work of its rank and customer.
        let requested_before_ms = job.accepted.requested_before_ms();
        if rank <= URGENT_RANK {
            let objective_unix_ms = job
                .objective_unix_ms(key.occurrence)
                .saturating_sub(requested_before_ms);
            return SchedulingKey {
                objective_unix_ms,
                latest_start_unix_ms: objective_unix_ms,
                ..SchedulingKey::default()
            };
        }
        let (objective, remaining_ms) = self.job_objective(key, job, now);
        let mut scheduling_key =
            objective.scheduling_key(remaining_ms, now.unix_ms, self.usage.policy());
        if job.step(key).is_some_and(|step| step.long_running) {
            scheduling_key.timeliness = Timeliness::InTime;
        }
        scheduling_key.latest_start_unix_ms = scheduling_key
            .latest_start_unix_ms
            .saturating_sub(requested_before_ms);
        scheduling_key
    }

    /// Returns the objective of an occurrence of a job, and the time in milliseconds that the
    /// occurrence takes from a step on.
    pub(super) fn job_objective(
        &self,
        key: &GroupKey,
        job: &Job,
        now: Now,
    ) -> (CompletionObjective, u64) {
        let critical_paths = job.accepted.spec.critical_paths_ms(|step| {
            if step.long_running {
                return 0;
            }
            millis(self.run_time(key, step, now).typical)
        });
        let total_ms = critical_paths.iter().max().copied().unwrap_or(0);
        let from_here_ms = critical_paths.get(key.step as usize).copied().unwrap_or(0);
        let objective = CompletionObjective {
            eligible_unix_ms: job.eligible_unix_ms(key.occurrence),
            span_ms: job.objective_span_ms(total_ms),
        };
        let saved_ms = self.saved_ms(key, job, now);
        (objective, from_here_ms.saturating_sub(saved_ms))
    }

    /// Returns how much of a step's work, in milliseconds, need not be repeated because all its
    /// open tasks have checkpoints.
    fn saved_ms(&self, key: &GroupKey, job: &Job, now: Now) -> u64 {
        let started = job.group(key).filter(|group| group.percent > 0);
        let Some((group, step)) = started.zip(job.step(key)) else {
            return 0;
        };
        let mut tasks = group.tasks.iter();
        if !tasks.all(|task| task.done || task.checkpoint.is_some()) {
            return 0;
        }
        let step_ms = millis(self.run_time(key, step, now).typical);
        step_ms.saturating_mul(u64::from(group.percent.min(100))) / 100
    }

    /// Sorts candidates into scheduling order. For each step, the work ahead of it in its
    /// customer's own queue counts as usage.
    pub(super) fn sort_candidates(&self, candidates: &mut [Candidate], now: Now) {
        candidates.sort_unstable();
        if !self.usage.policy().fair_share {
            return;
        }
        let mut queues: BTreeMap<Option<&CustomerId>, (u64, u64)> = BTreeMap::new();
        let mut queue_class = (0, Timeliness::InTime);
        for candidate in candidates.iter_mut().filter(|one| one.rank > URGENT_RANK) {
            let key = &candidate.key;
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let class = (candidate.rank, candidate.scheduling_key.timeliness);
            if class != queue_class {
                queues.clear();
                queue_class = class;
            }
            let customer = job.accepted.customer.as_ref();
            let (used_ms, ahead_ms) = queues
                .entry(customer)
                .or_insert_with(|| (self.usage.used_ms(customer, now.at), 0));
            candidate.scheduling_key.usage_level =
                self.usage.usage_level(*used_ms, *ahead_ms, WEIGHT);
            *ahead_ms = ahead_ms.saturating_add(self.cost_ms(key, job, now));
        }
        candidates.sort_unstable();
    }

    /// Returns the usage that the waiting tasks of a step would add, in milliseconds of the whole
    /// fleet.
    fn cost_ms(&self, key: &GroupKey, job: &Job, now: Now) -> u64 {
        let Some((step, group)) = job.step(key).zip(job.group(key)) else {
            return 0;
        };
        let waiting = group.tasks.iter().filter(|task| task.is_waiting()).count();
        let run_time = self.run_time(key, step, now).typical;
        self.usage
            .cost_ms(&step.reserved_resources(), waiting as u64, run_time)
    }
}
