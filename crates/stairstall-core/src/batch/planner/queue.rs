//! The order in which waiting steps are considered, and which jobs are guaranteed.

use std::collections::{BTreeMap, BTreeSet};

use super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::candidate_worker::SearchScope;
use super::job::Job;
use super::pass::{CapacityKind, Pass};
use super::{Now, Planner};
use crate::batch::{AgedStep, GroupKey, SchedulingKey, Timeliness};
use crate::{CustomerId, JobId};

impl Planner {
    /// Runs a scheduling pass: places waiting tasks in the order of rank and scheduling key.
    /// Returns whether any still wait.
    pub(super) fn plan(&mut self, now: Now) -> bool {
        let guaranteed = self.guaranteed_jobs();
        if self.ranked_guaranteed_jobs.as_ref() != Some(&guaranteed) {
            self.update_ranks(&guaranteed);
            self.ranked_guaranteed_jobs = Some(guaranteed.clone());
        }
        let mut candidates = self.candidates(&guaranteed, now);
        let mut pass = Pass::default();
        let aged = self.promote_oldest_aged(&mut candidates, &mut pass, now);
        pass.reserved = self.renew_reservations(&candidates, now);
        let lacks_starts = self.pacing.begin_pass();
        let is_first = |one: &Candidate| one.rank <= URGENT_RANK || one.scheduling_key.is_aged();
        let (first, others) = candidates.split_at(candidates.partition_point(is_first));
        for candidate in first {
            self.place_step(candidate, &mut pass, now);
        }
        if lacks_starts {
            self.place_idle_jobs(others, &mut pass, now);
        }
        for candidate in others {
            self.place_step(candidate, &mut pass, now);
        }
        self.report_idle_jobs(&candidates, now);
        self.report_overdue_jobs(&candidates, &pass.reserved, now);
        if aged.is_some_and(|key| !self.has_waiting_tasks(&key)) {
            self.last_aged_at = Some(now.at);
        }
        candidates
            .iter()
            .any(|candidate| self.has_waiting_tasks(&candidate.key))
    }

    /// Moves the oldest aged step ahead of all work that is not urgent, and returns it. Does
    /// nothing until the minimum interval since the last promoted step was placed has passed.
    fn promote_oldest_aged(
        &self,
        candidates: &mut [Candidate],
        pass: &mut Pass,
        now: Now,
    ) -> Option<GroupKey> {
        let policy = &self.policy.scheduling;
        let interval = policy.aged_interval;
        if self.last_aged_at.is_some_and(|at| now.at - at < interval) {
            return None;
        }
        let aged = candidates
            .iter()
            .enumerate()
            .filter_map(|(index, candidate)| {
                let is_overdue = !policy.by_timeliness
                    || candidate.scheduling_key.timeliness == Timeliness::Overdue;
                let job = self.jobs.get(&candidate.key.job);
                let job = job.filter(|_| is_overdue && candidate.rank > URGENT_RANK)?;
                let (objective, _) = self.job_objective(&candidate.key, job, now);
                let since_unix_ms = objective.aged_unix_ms(policy)?;
                let key = candidate.key.clone();
                let aged = AgedStep { since_unix_ms, key };
                (since_unix_ms <= now.unix_ms).then_some((aged, index))
            });
        // A step that fits on no current worker would block this for all others.
        let aged = aged.filter(|(aged, _)| self.fits_on_empty_fleet(&aged.key, pass, now));
        let (aged, index) = aged.min()?;
        let first = candidates.partition_point(|candidate| candidate.rank <= URGENT_RANK);
        candidates[index].scheduling_key = SchedulingKey::aged();
        candidates[first..=index].rotate_right(1);
        Some(aged.key)
    }

    /// Returns whether a step would fit on the current workers if nothing else ran, and at least
    /// one of its waiting tasks may start.
    fn fits_on_empty_fleet(&self, key: &GroupKey, pass: &mut Pass, now: Now) -> bool {
        let Some((step, group)) = self.step(key).zip(self.jobs[&key.job].group(key)) else {
            return false;
        };
        let mut waiting = group.tasks.iter().filter(|task| task.is_waiting());
        let may_start = waiting.any(|task| !self.is_blocked_by_losses(step, task, now));
        let count = if step.gang { step.count } else { 1 };
        let scope = SearchScope::ANYWHERE;
        let ceiling = self.ceiling(key, step, scope.near, CapacityKind::Whole, pass);
        may_start && ceiling.allows(step, count, scope)
    }

    fn has_waiting_tasks(&self, key: &GroupKey) -> bool {
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        group.is_some_and(|group| group.tasks.iter().any(super::job::Task::is_waiting))
    }

    /// Returns the urgent jobs that fit within their customers' guaranteed shares, where older jobs
    /// go first.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<JobId> {
        let mut urgent: Vec<&Job> = self
            .jobs
            .values()
            .filter(|job| job.outcome.is_none() && job.accepted.queue.priority == 0)
            .filter(|job| job.accepted.customer.is_some())
            .collect();
        urgent.sort_by_key(|job| (job.accepted.accepted_unix_ms, &job.accepted.id));
        let mut used: BTreeMap<&CustomerId, u32> = BTreeMap::new();
        let mut guaranteed = BTreeSet::new();
        for job in urgent {
            let Some(customer) = &job.accepted.customer else {
                continue;
            };
            let sum = used.entry(customer).or_default();
            let total = sum.saturating_add(job.max_accelerators);
            if total <= self.catalog.guaranteed(customer) {
                *sum = total;
                guaranteed.insert(job.accepted.id.clone());
            }
        }
        guaranteed
    }

    /// Updates the ranks of the runs of urgent jobs, which may have become guaranteed or ceased to
    /// be.
    fn update_ranks(&mut self, guaranteed: &BTreeSet<JobId>) {
        for worker in self.workers.values_mut() {
            for (task, run) in &mut worker.runs {
                if run.rank <= URGENT_RANK {
                    run.rank = if guaranteed.contains(&task.group.job) {
                        GUARANTEED_RANK
                    } else {
                        URGENT_RANK
                    };
                }
            }
        }
    }

    /// Returns the steps that wait for placements, in scheduling order, and records since when
    /// they have been ready.
    fn candidates(&mut self, guaranteed: &BTreeSet<JobId>, now: Now) -> Vec<Candidate> {
        let found = self.list_candidates(guaranteed, now);
        for candidate in &found {
            self.record_ready(&candidate.key, now);
        }
        self.track_idle_jobs(&found, now);
        found
    }

    /// Returns the steps that wait for placements, in scheduling order.
    pub(super) fn list_candidates(&self, guaranteed: &BTreeSet<JobId>, now: Now) -> Vec<Candidate> {
        let mut found = Vec::new();
        for (id, job) in &self.jobs {
            if job.outcome.is_some() {
                continue;
            }
            let rank = if guaranteed.contains(id) {
                GUARANTEED_RANK
            } else {
                job.accepted.queue.priority.saturating_add(1)
            };
            for key in ready_groups(id, job) {
                let scheduling_key = self.scheduling_key_of(rank, &key, job, now);
                found.push(Candidate {
                    rank,
                    scheduling_key,
                    key,
                });
            }
        }
        self.sort_candidates(&mut found, now);
        found
    }

    /// Records since when a step has been ready to start.
    fn record_ready(&mut self, key: &GroupKey, now: Now) {
        let job = self.jobs.get_mut(&key.job);
        if let Some(group) = job.and_then(|job| job.group_mut(key)) {
            group.ready_since.get_or_insert(now.at);
        }
    }
}

/// Returns the steps of a job that have waiting tasks and whose dependencies are done.
fn ready_groups(id: &JobId, job: &Job) -> Vec<GroupKey> {
    let has_waiting = |key: &GroupKey| {
        let group = job.group(key);
        group.is_some_and(|group| group.tasks.iter().any(super::job::Task::is_waiting))
    };
    job.ready_keys(id).filter(has_waiting).collect()
}
