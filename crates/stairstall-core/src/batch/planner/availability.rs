//! Steps that limit how many of their tasks may be away from their work.
//!
//! A guaranteed job may preempt tasks of such a step as long as fewer than that many are away,
//! whatever took the others away.

use std::collections::BTreeMap;

use super::candidate_worker::CandidateWorker;
use super::pool::{RunState, Worker};
use super::{Now, Planner};
use crate::batch::{GroupKey, Resources, StepSpec, TaskKey};

impl Planner {
    /// Restricts the victims of a search to as many tasks of each step as may be preempted without
    /// more of them being away than the step allows. Removes the workers that the step can't use
    /// without the others.
    pub(super) fn limit_victims(
        &self,
        step: &StepSpec,
        mut workers: Vec<CandidateWorker>,
        now: Now,
    ) -> Vec<CandidateWorker> {
        if !workers.iter().any(CandidateWorker::has_limited_victims) {
            return workers;
        }
        let needs = step.reserved_resources();
        let mut allowed = BTreeMap::new();
        let mut take_allowed = |tasks: &[TaskKey]| {
            let mut left: BTreeMap<GroupKey, u32> = BTreeMap::new();
            for task in tasks {
                let group = &task.group;
                let left = left.entry(group.clone()).or_insert_with(|| {
                    *allowed
                        .entry(group.clone())
                        .or_insert_with(|| self.preemptible_tasks(group, now))
                });
                let Some(after) = left.checked_sub(1) else {
                    return false;
                };
                *left = after;
            }
            allowed.extend(left);
            true
        };
        // The runs that began first come first, so that repeated preemptions are spread.
        workers.sort_by_cached_key(|worker| worker.newest_victim_began(&needs));
        workers.retain_mut(|worker| worker.limit_victims(&needs, step.count, &mut take_allowed));
        workers.sort_by(|a, b| a.worker.cmp(&b.worker));
        workers
    }

    /// Returns how many tasks of a step that limits how many may be away can be preempted.
    fn preemptible_tasks(&self, key: &GroupKey, now: Now) -> u32 {
        let limit = self.step(key).and_then(|step| step.max_unavailable);
        if self.may_stop_for_earlier_planner(now) {
            return 0;
        }
        let tasks = self.group_of(key).map_or(0, |group| group.tasks.len());
        let indices = 0..u32::try_from(tasks).unwrap_or(u32::MAX);
        let away = indices.filter(|index| !self.is_at_work(&key.task(*index)));
        let away = u32::try_from(away.count()).unwrap_or(u32::MAX);
        limit.unwrap_or(0).saturating_sub(away)
    }

    /// Returns whether runs that are listed may be in the middle of a stop that an earlier planner
    /// has ordered.
    fn may_stop_for_earlier_planner(&self, now: Now) -> bool {
        let late_start = self.policy.orders.late_start;
        let stop_max = self.bounds.stop_max;
        self.earlier_calls_until
            .is_some_and(|until| now.at + late_start < until + stop_max)
    }

    /// Returns whether a task surely is at work and stays so unless the planner ends it.
    fn is_at_work(&self, task: &TaskKey) -> bool {
        let id = self.task(task).and_then(|task| task.worker.as_ref());
        let worker = id.and_then(|id| self.workers.get(id));
        let worker = worker.filter(|worker| worker.keeps_runs());
        let run = worker.and_then(|worker| worker.runs.get(task));
        run.is_some_and(|run| run.state == RunState::Running && run.is_listed && !run.restored)
    }
}

impl Worker {
    /// Returns whether the worker answers and is about to lose none of its runs.
    const fn keeps_runs(&self) -> bool {
        let is_staying = !self.is_leaving() && !self.in_evacuated_zone;
        self.is_listed && self.is_in_contact() && is_staying
    }
}

impl CandidateWorker {
    /// Keeps the victims whose steps limit how many of their tasks may be away only as far as
    /// `take_allowed` accepts them, for up to `count` tasks with these `needs`. Returns whether the
    /// worker can still be used.
    fn limit_victims(
        &mut self,
        needs: &Resources,
        count: u32,
        take_allowed: &mut impl FnMut(&[TaskKey]) -> bool,
    ) -> bool {
        if !self.has_limited_victims() {
            return true;
        }
        let mut kept = Vec::new();
        let mut rest = self.clone();
        for _ in 0..count.min(self.spread_left) {
            let Some(limited) = rest.preempt_for(needs) else {
                break;
            };
            if !take_allowed(&limited) {
                break;
            }
            kept.extend(limited);
        }
        self.keep_limited_victims(&kept)
    }
}
