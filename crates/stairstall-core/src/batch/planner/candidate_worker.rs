//! A worker considered for a step, and the runs there that may be preempted for it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool::{Run, Worker};
use super::victims::Preemptor;
use crate::Timestamp;
use crate::batch::{GroupKey, Resources, StepSpec, TaskKey, VictimPolicy, WorkerPace};
use crate::time::millis;
use crate::{RackId, WorkerId};

/// Which workers a placement search considers.
#[derive(Debug, Clone, Copy)]
pub(super) struct SearchScope {
    /// Whether to use only workers on the rack of the step's data, and only a single rack for a
    /// gang that requests one.
    pub(super) near: bool,
    /// Whether runs of less urgent ranks may be preempted.
    pub(super) preempts: bool,
    /// Whether the step leaves headroom alone, and avoids workers that may be unhealthy or, on its
    /// last attempt, have freshly started runs.
    pub(super) yields: bool,
    /// Whether the step leaves the reservations of gangs that come before it alone.
    pub(super) keeps_reservations: bool,
}

impl SearchScope {
    /// Free capacity near the step's data, or on a single rack.
    pub(super) const NEAR: Self = Self {
        near: true,
        preempts: false,
        yields: true,
        keeps_reservations: true,
    };

    /// Free capacity anywhere.
    pub(super) const ANYWHERE: Self = Self {
        near: false,
        ..Self::NEAR
    };

    /// Free capacity anywhere that no gang has reserved: for a job that has had nothing running for
    /// too long.
    pub(super) const UNRESERVED: Self = Self {
        yields: false,
        ..Self::ANYWHERE
    };

    /// Free capacity anywhere, whatever it is kept for: for such a job where nothing else is free.
    pub(super) const WHATEVER_IS_FREE: Self = Self {
        keeps_reservations: false,
        ..Self::UNRESERVED
    };

    /// Returns this scope with the capacity that preemption frees.
    pub(super) const fn preempting(self) -> Self {
        Self {
            preempts: true,
            ..self
        }
    }
}

/// A worker considered for the tasks of one step.
#[derive(Debug, Clone)]
pub(super) struct CandidateWorker {
    pub(super) worker: WorkerId,
    pub(super) rack: RackId,
    /// Free capacity. If the search may preempt runs, this includes what stopping runs will free.
    pub(super) free: Resources,
    /// Resources that must become free in addition to what the task needs, because the worker's
    /// capacity has shrunk.
    pub(super) shortage: Resources,
    /// How many more tasks of the step may be placed there.
    pub(super) spread_left: u32,
    /// Cost of placing a task there, in core-milliseconds.
    pub(super) penalty: u64,
    /// Pace of the worker.
    pub(super) pace: WorkerPace,
    /// Whether it has running work from which its pace will be learned.
    pub(super) pace_pending: bool,
    /// Whether it is in another zone than the job's caller.
    pub(super) in_other_zone: bool,
    pub(super) victims: Victims,
}

/// A run that may be preempted.
#[derive(Debug, Clone)]
struct Victim {
    task: TaskKey,
    resources: Resources,
    /// Cost of preempting it, in core-milliseconds: the lost work, for a gang that of all members,
    /// and the time that the stop takes.
    cost: u64,
    /// When it began. Of equally expensive runs the oldest goes first, so that repeated preemptions
    /// are spread.
    began: Option<Timestamp>,
    gang: bool,
    /// Whether its step limits how many of its tasks may be away from their work.
    is_limited: bool,
    /// Whether it has to end even if its resources are not needed, because it would disturb the
    /// step.
    disturbs: bool,
}

/// A step that will hold resources for longer is counted as if it did so for this time. Callers'
/// estimates have no upper bound.
const MAX_COUNTED_HOLD_TIME: Duration = Duration::from_secs(24 * 3_600);

/// For which step victims are looked for, and when.
#[derive(Debug, Clone, Copy)]
pub(super) struct VictimSearch {
    pub(super) preemptor: Preemptor,
    /// Expected time for which the step's tasks will hold the resources.
    pub(super) hold_time: Duration,
    pub(super) at: Timestamp,
}

impl VictimSearch {
    /// Returns the cost of preempting a run, in core-milliseconds.
    ///
    /// Other work can catch up later. A long-running run loses the whole time for which it is away,
    /// so it is preempted last.
    fn cost_of(
        &self,
        task: &TaskKey,
        run: &Run,
        gang_costs: &BTreeMap<GroupKey, u64>,
        policy: &VictimPolicy,
    ) -> u64 {
        let lost_work = if run.gang {
            gang_costs.get(&task.group).copied().unwrap_or(0)
        } else {
            run.lost_work(self.at, policy.restore_cost)
        };
        let away = if run.long_running {
            policy.stop_cost + self.hold_time.min(MAX_COUNTED_HOLD_TIME)
        } else {
            policy.stop_cost
        };
        lost_work.saturating_add(run.resources.weight().saturating_mul(millis(away)) / 1000)
    }
}

/// Victims on one worker that would be preempted together.
#[derive(Debug, Clone, Default)]
pub(super) struct Selection {
    /// Cost of preempting them, in core-milliseconds.
    pub(super) cost: u64,
    /// When the newest of them began.
    pub(super) newest: Option<Timestamp>,
    pub(super) tasks: Vec<TaskKey>,
}

/// The runs of one worker that may be preempted: those that have to be first, then the cheapest, and
/// last those whose step limits how many of its tasks may be away.
#[derive(Debug, Clone, Default)]
pub(super) struct Victims(Vec<Victim>);

impl Victims {
    /// Returns the runs of a worker that a step may preempt.
    pub(super) fn of(
        worker: &Worker,
        step: &StepSpec,
        search: &VictimSearch,
        gang_costs: &BTreeMap<GroupKey, u64>,
        policy: &VictimPolicy,
    ) -> Self {
        let runs = worker.runs.iter();
        let mut victims: Vec<Victim> = runs
            .filter(|(_, run)| run.is_preemptible_by(search.preemptor))
            .map(|(task, run)| Victim {
                task: task.clone(),
                resources: run.resources,
                cost: search.cost_of(task, run, gang_costs, policy),
                began: run.began.map(|(at, _)| at),
                gang: run.gang,
                is_limited: run.limits_unavailable,
                disturbs: run.disturbs(step),
            })
            .collect();
        let sort_key = |victim: &Victim| {
            let Victim {
                disturbs,
                is_limited,
                cost,
                began,
                ..
            } = *victim;
            (!disturbs, is_limited, cost, began)
        };
        victims.sort_by(|a, b| {
            sort_key(a)
                .cmp(&sort_key(b))
                .then_with(|| a.task.cmp(&b.task))
        });
        Self(victims)
    }

    /// Returns the sum of the resources of all victims.
    pub(super) fn total_resources(&self) -> Resources {
        let resources = self.0.iter().map(|victim| &victim.resources);
        resources.fold(Resources::default(), |sum, resources| {
            sum.saturating_add(resources)
        })
    }

    /// Selects the victims to preempt so that `needs` fits beside the `free` capacity. Returns
    /// `None` if `needs` can't fit.
    pub(super) fn select(&self, needs: &Resources, free: &Resources) -> Option<Selection> {
        let mut free = *free;
        let mut chosen: Vec<&Victim> = Vec::new();
        for victim in &self.0 {
            if needs.fits_in(&free) && !victim.disturbs {
                break;
            }
            free = free.saturating_add(&victim.resources);
            chosen.push(victim);
        }
        if !needs.fits_in(&free) {
            return None;
        }
        remove_unneeded(&mut chosen, needs, &mut free);
        Some(Selection {
            cost: cost_of(&chosen),
            newest: chosen.iter().filter_map(|victim| victim.began).max(),
            tasks: chosen.iter().map(|victim| victim.task.clone()).collect(),
        })
    }
}

/// Returns the cost of preempting runs of one worker, with each gang counted once.
fn cost_of(chosen: &[&Victim]) -> u64 {
    let mut gangs: Vec<&GroupKey> = Vec::new();
    let mut cost = 0_u64;
    for victim in chosen {
        let gang = Some(&victim.task.group).filter(|_| victim.gang);
        if gang.is_some_and(|gang| gangs.contains(&gang)) {
            continue;
        }
        gangs.extend(gang);
        cost = cost.saturating_add(victim.cost);
    }
    cost
}

/// Removes the victims whose resources are not needed after all, most expensive first.
fn remove_unneeded(chosen: &mut Vec<&Victim>, needs: &Resources, free: &mut Resources) {
    for index in (0..chosen.len()).rev() {
        if chosen[index].disturbs {
            continue;
        }
        let without = free.saturating_sub(&chosen[index].resources);
        if needs.fits_in(&without) {
            *free = without;
            chosen.remove(index);
        }
    }
}

/// Preempts a victim, together with all members of its gang if it has one, in the placement
/// search: their resources count as free. Returns the indices of the workers that have more free
/// capacity as a result.
pub(super) fn preempt(workers: &mut [CandidateWorker], index: usize, task: &TaskKey) -> Vec<usize> {
    let is_gang = workers[index]
        .victims
        .0
        .iter()
        .any(|v| v.task == *task && v.gang);
    if !is_gang {
        workers[index].remove_victims(|victim| victim.task == *task);
        return vec![index];
    }
    let freed = workers
        .iter_mut()
        .enumerate()
        .filter_map(|(at, candidate)| {
            let is_preempted = |victim: &Victim| victim.gang && victim.task.group == task.group;
            candidate.remove_victims(is_preempted).then_some(at)
        });
    freed.collect()
}

impl CandidateWorker {
    /// Removes victims and counts their resources as free. Returns whether there were any.
    fn remove_victims(&mut self, is_preempted: impl Fn(&Victim) -> bool) -> bool {
        let before = self.victims.0.len();
        let free = &mut self.free;
        self.victims.0.retain(|victim| {
            let is_preempted = is_preempted(victim);
            if is_preempted {
                *free = free.saturating_add(&victim.resources);
            }
            !is_preempted
        });
        self.victims.0.len() < before
    }

    /// Returns whether it has victims whose step limits how many of its tasks may be away.
    pub(super) fn has_limited_victims(&self) -> bool {
        self.victims.0.iter().any(|victim| victim.is_limited)
    }

    /// Returns when the newest run began that has to be preempted for a task with these `needs`.
    pub(super) fn newest_victim_began(&self, needs: &Resources) -> Option<Timestamp> {
        let required = needs.saturating_add(&self.shortage);
        let selection = self.victims.select(&required, &self.free);
        selection.and_then(|selection| selection.newest)
    }

    /// Counts the victims that have to be preempted for a task with these `needs` as gone, and the
    /// task as placed. Returns those whose step limits how many of its tasks may be away, or `None`
    /// if the task does not fit.
    pub(super) fn preempt_for(&mut self, needs: &Resources) -> Option<Vec<TaskKey>> {
        let required = needs.saturating_add(&self.shortage);
        let selected = self.victims.select(&required, &self.free)?.tasks;
        let limited = self.victims.0.iter();
        let limited = limited.filter(|victim| victim.is_limited && selected.contains(&victim.task));
        let limited = limited.map(|victim| victim.task.clone()).collect();
        self.remove_victims(|victim| selected.contains(&victim.task));
        self.free = self.free.saturating_sub(needs);
        Some(limited)
    }

    /// Keeps, of the victims whose step limits how many of its tasks may be away, only these tasks.
    /// Returns whether the worker can be used without the others.
    pub(super) fn keep_limited_victims(&mut self, kept: &[TaskKey]) -> bool {
        let is_exempt = |victim: &Victim| victim.is_limited && !kept.contains(&victim.task);
        let victims = &mut self.victims.0;
        let can_be_used = !victims.iter().any(|v| is_exempt(v) && v.disturbs);
        victims.retain(|victim| !is_exempt(victim));
        can_be_used
    }
}
