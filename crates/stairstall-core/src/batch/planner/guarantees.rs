//! Which work may hold accelerators that guaranteed jobs can claim at any time.
//!
//! Everything that a guaranteed job may preempt can use them meanwhile. Work that limits how many of
//! its tasks may be away is preempted within that limit alone. It is kept to a part of the workers,
//! so that whole workers with as many accelerators as all customers are guaranteed can be claimed:
//! spread over all workers it would leave no place for a claim of a whole one.
//!
//! Such work is refused a worker only for what a claim would lose by its start. Where fewer
//! accelerators can be claimed than are guaranteed, because workers were lost or a guarantee was
//! raised, whatever takes nothing from them may start. No time and no emptiness of the fleet ends a
//! refusal that a claim needs: a task that waits can start later, a claim is due within seconds.

use std::collections::BTreeMap;

use super::Planner;
use super::candidate::{Candidate, GUARANTEED_RANK};
use super::candidate_worker::CandidateWorker;
use super::pool::Worker;
use crate::batch::{GroupKey, StepSpec};
use crate::{ServiceId, WorkerId};

impl Planner {
    /// Removes the workers that a step must not use because guaranteed jobs could claim less than
    /// before, and less than they are guaranteed. The cheapest of the others stay.
    pub(super) fn keep_guarantees_claimable(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        mut workers: Vec<CandidateWorker>,
    ) -> Vec<CandidateWorker> {
        let Some(mut budget) = self.claim_budget(candidate, step) else {
            return workers;
        };
        workers.sort_by(|a, b| {
            let cost = |worker: &CandidateWorker| (worker.penalty, worker.in_other_zone);
            cost(a).cmp(&cost(b)).then_with(|| a.worker.cmp(&b.worker))
        });
        workers.retain_mut(|worker| match budget.take(&worker.worker) {
            Taking::Free => true,
            Taking::OneTask => {
                worker.spread_left = worker.spread_left.min(1);
                true
            }
            Taking::Refused => false,
        });
        workers
    }

    /// Returns whether a task of a step fits on workers, and each of them is kept for guaranteed jobs.
    pub(super) fn is_kept_for_guarantees(&self, candidate: &Candidate) -> bool {
        let Some(step) = self.step(&candidate.key) else {
            return false;
        };
        let Some(mut budget) = self.claim_budget(candidate, step) else {
            return false;
        };
        let service = self.service_of(&candidate.key);
        let needs = step.reserved_resources();
        let mut fitting = self.workers.iter().filter(|(_, worker)| {
            worker.takes_tasks()
                && worker.has_required_label(step)
                && service.as_ref() == Some(&worker.listed.service)
                && needs.fits_in(&worker.free())
        });
        // What is refused takes nothing from the budget.
        fitting.all(|(id, _)| budget.take(id) == Taking::Refused)
    }

    /// Returns what a step may take of the accelerators that guaranteed jobs could claim, or `None` if
    /// its work gives way to them or nothing is guaranteed.
    fn claim_budget(&self, candidate: &Candidate, step: &StepSpec) -> Option<ClaimBudget> {
        let guaranteed = self.catalog.total_guaranteed();
        let gives_way = candidate.rank == GUARANTEED_RANK || !step.limits_unavailable();
        if gives_way || guaranteed == 0 {
            return None;
        }
        let service = self.service_of(&candidate.key)?;
        let before = self.claimable(&service, None);
        let after = self.claimable(&service, Some(&candidate.key));
        let kept = guaranteed.min(before.accelerators());
        Some(ClaimBudget {
            tasks: after.left_of(&candidate.key),
            accelerators: after.accelerators().saturating_sub(kept),
            workers: after.workers,
        })
    }

    /// Returns what guaranteed jobs could claim of a service, now or once a waiting task of the step
    /// `placed` has been placed.
    ///
    /// As many tasks of each step as may be away count as preempted. Workers with the fewest such
    /// tasks come first.
    fn claimable(&self, service: &ServiceId, placed: Option<&GroupKey>) -> Claimable {
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, w)| w.takes_tasks() && w.listed.service == *service);
        let mut workers: Vec<_> = workers
            .filter_map(|(id, worker)| Some((worker.limited_runs()?, id, worker)))
            .collect();
        workers.sort_by_key(|(limited, ..)| limited.values().sum::<u32>());
        let mut claimable = Claimable::default();
        if let Some(key) = placed {
            let left = self.tasks_that_may_be_away(key, placed);
            claimable.left.insert(key.clone(), left);
        }
        for (limited, id, worker) in workers {
            for group in limited.keys() {
                if !claimable.left.contains_key(*group) {
                    let left = self.tasks_that_may_be_away(group, placed);
                    claimable.left.insert((*group).clone(), left);
                }
            }
            if claimable.preempt(&limited) {
                let accelerators = worker.listed.capacity.accelerators;
                claimable.workers.insert(id.clone(), accelerators);
            }
        }
        claimable
    }

    /// Returns how many tasks of a step may be away beyond those that wait, once a waiting task of
    /// the step `placed` has been placed.
    fn tasks_that_may_be_away(&self, key: &GroupKey, placed: Option<&GroupKey>) -> u32 {
        let limit = self.step(key).and_then(|step| step.max_unavailable);
        let waiting = self.group_of(key).map_or(0, |group| group.waiting().len());
        let still_waiting = waiting.saturating_sub(usize::from(placed == Some(key)));
        let still_waiting = u32::try_from(still_waiting).unwrap_or(u32::MAX);
        limit.unwrap_or(0).saturating_sub(still_waiting)
    }
}

/// The workers that guaranteed jobs could claim as a whole.
#[derive(Debug, Default)]
struct Claimable {
    /// By worker, its accelerators.
    workers: BTreeMap<WorkerId, u32>,
    /// By step, how many more of its tasks may be preempted than these workers have.
    left: BTreeMap<GroupKey, u32>,
}

impl Claimable {
    fn accelerators(&self) -> u32 {
        let accelerators = self.workers.values().copied();
        accelerators.fold(0, u32::saturating_add)
    }

    fn left_of(&self, key: &GroupKey) -> u32 {
        self.left.get(key).copied().unwrap_or(0)
    }

    /// Counts as many tasks of each step as preempted, if so many may be away.
    fn preempt(&mut self, counts: &BTreeMap<&GroupKey, u32>) -> bool {
        let mut counts_left = counts
            .iter()
            .map(|(key, count)| (self.left_of(key), *count));
        if counts_left.any(|(left, count)| count > left) {
            return false;
        }
        for (key, count) in counts {
            if let Some(left) = self.left.get_mut(*key) {
                *left -= count;
            }
        }
        true
    }
}

/// What a step may take of the accelerators that guaranteed jobs could claim.
#[derive(Debug)]
struct ClaimBudget {
    /// By worker that could be claimed as a whole, its accelerators.
    workers: BTreeMap<WorkerId, u32>,
    /// How many more tasks of the step may be preempted wherever they run.
    tasks: u32,
    /// How many accelerators of such workers the step may make unclaimable.
    accelerators: u32,
}

/// Whether a step may use a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Taking {
    /// For any number of its tasks.
    Free,
    /// For one of its tasks.
    OneTask,
    Refused,
}

impl ClaimBudget {
    /// Takes a worker for the step, if what remains of the budget allows it.
    fn take(&mut self, id: &WorkerId) -> Taking {
        let Some(accelerators) = self.workers.get(id) else {
            return Taking::Free;
        };
        if let Some(left) = self.accelerators.checked_sub(*accelerators) {
            self.accelerators = left;
            Taking::Free
        } else if let Some(left) = self.tasks.checked_sub(1) {
            self.tasks = left;
            Taking::OneTask
        } else {
            Taking::Refused
        }
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
