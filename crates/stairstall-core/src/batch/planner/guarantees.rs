//! Which work may hold accelerators that guaranteed jobs can claim at any time.
//!
//! Everything that a guaranteed job may preempt can use them meanwhile. Work that limits how many of
//! its tasks may be away is preempted within that limit alone. It is kept to a part of the workers,
//! so that whole workers with as many accelerators as all customers are guaranteed can be claimed:
//! spread over all workers it would leave no place for a claim of a whole one.

use std::collections::BTreeMap;

use super::Planner;
use super::candidate::{Candidate, GUARANTEED_RANK};
use super::candidate_worker::{CandidateWorker, SearchScope};
use super::pass::Pass;
use super::pool::Worker;
use crate::WorkerId;
use crate::batch::{GroupKey, StepSpec};

impl Planner {
    /// Removes the workers that a step must not use because guaranteed jobs could not claim enough
    /// accelerators any more. The cheapest of the others stay.
    ///
    /// A step that has been idle for too long may use every worker while most of its service is
    /// free: a guarantee that is not used does not keep it waiting for ever.
    pub(super) fn keep_guarantees_claimable(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: SearchScope,
        mut workers: Vec<CandidateWorker>,
        pass: &mut Pass,
    ) -> Vec<CandidateWorker> {
        let guaranteed = self.catalog.total_guaranteed();
        let gives_way = candidate.rank == GUARANTEED_RANK || !step.limits_unavailable();
        if gives_way || guaranteed == 0 {
            return workers;
        }
        if !scope.yields && self.is_mostly_free(&candidate.key, pass) {
            return workers;
        }
        let claimable_workers = self.claimable_workers(candidate);
        let accelerators = claimable_workers.values();
        let mut claimable = accelerators.copied().fold(0, u32::saturating_add);
        workers.sort_by(|a, b| {
            let cost = |worker: &CandidateWorker| (worker.penalty, worker.in_other_zone);
            cost(a).cmp(&cost(b)).then_with(|| a.worker.cmp(&b.worker))
        });
        workers.retain(|candidate_worker| {
            let Some(accelerators) = claimable_workers.get(&candidate_worker.worker) else {
                return true;
            };
            let left = claimable.saturating_sub(*accelerators);
            let is_enough = left >= guaranteed;
            if is_enough {
                claimable = left;
            }
            is_enough
        });
        workers
    }

    /// Returns whether a task of a step fits on workers, and each of them is kept for guaranteed jobs.
    pub(super) fn is_kept_for_guarantees(&self, candidate: &Candidate) -> bool {
        let Some(step) = self.step(&candidate.key) else {
            return false;
        };
        if candidate.rank == GUARANTEED_RANK || !step.limits_unavailable() {
            return false;
        }
        let guaranteed = self.catalog.total_guaranteed();
        let claimable_workers = self.claimable_workers(candidate);
        let claimable = claimable_workers.values().copied();
        let claimable = claimable.fold(0, u32::saturating_add);
        let service = self.service_of(&candidate.key);
        let needs = step.reserved_resources();
        let mut fitting = self.workers.iter().filter(|(_, worker)| {
            worker.takes_tasks()
                && worker.has_required_label(step)
                && service.as_ref() == Some(&worker.listed.service)
                && needs.fits_in(&worker.free())
        });
        fitting.all(|(id, _)| {
            let accelerators = claimable_workers.get(id);
            accelerators.is_some_and(|accelerators| claimable - accelerators < guaranteed)
        })
    }

    /// Returns the workers of a step's service that guaranteed jobs could claim as a whole, each with
    /// its accelerators, once a waiting task of the step has been placed.
    ///
    /// As many tasks of each step as may be away count as preempted. Those with the fewest such tasks
    /// come first.
    fn claimable_workers(&self, candidate: &Candidate) -> BTreeMap<WorkerId, u32> {
        let service = self.service_of(&candidate.key);
        let workers = self.workers.iter().filter(|(_, worker)| {
            worker.takes_tasks() && service.as_ref() == Some(&worker.listed.service)
        });
        let mut workers: Vec<_> = workers
            .filter_map(|(id, worker)| Some((worker.limited_runs()?, id, worker)))
            .collect();
        workers.sort_by_key(|(limited, ..)| limited.values().sum::<u32>());
        let mut allowed: BTreeMap<&GroupKey, u32> = BTreeMap::new();
        let mut claimable = BTreeMap::new();
        for (limited, id, worker) in workers {
            let mut is_allowed = true;
            for (group, count) in &limited {
                let left = *allowed
                    .entry(*group)
                    .or_insert_with(|| self.tasks_that_may_be_away(group, candidate));
                is_allowed &= *count <= left;
            }
            if !is_allowed {
                continue;
            }
            for (group, count) in limited {
                let left = allowed.entry(group).or_default();
                *left = left.saturating_sub(count);
            }
            claimable.insert(id.clone(), worker.listed.capacity.accelerators);
        }
        claimable
    }

    /// Returns how many tasks of a step may be away beyond those that wait, once a waiting task of
    /// the candidate step has been placed.
    fn tasks_that_may_be_away(&self, key: &GroupKey, candidate: &Candidate) -> u32 {
        let limit = self.step(key).and_then(|step| step.max_unavailable);
        let waiting = self.group_of(key).map_or(0, |group| group.waiting().len());
        let still_waiting = waiting.saturating_sub(usize::from(*key == candidate.key));
        let still_waiting = u32::try_from(still_waiting).unwrap_or(u32::MAX);
        limit.unwrap_or(0).saturating_sub(still_waiting)
    }
}

impl Worker {
    /// Returns how many runs of each step it has that limits how many of its tasks may be away, or
    /// `None` if one of them can't be preempted at all because it belongs to a gang.
    fn limited_runs(&self) -> Option<BTreeMap<&GroupKey, u32>> {
        let mut counts = BTreeMap::new();
        for (task, run) in self.runs.iter().filter(|(_, run)| run.limits_unavailable) {
            if run.gang {
                return None;
            }
            *counts.entry(&task.group).or_insert(0) += 1;
        }
        Some(counts)
    }
}
