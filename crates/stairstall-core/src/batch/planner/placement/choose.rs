//! Choice of workers for tasks among the suitable candidates.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use super::super::candidate_worker::{self, CandidateWorker, SearchScope, Selection};
use super::cost::PaceCosts;
use crate::batch::{Resources, StepSpec, TaskKey};
use crate::{RackId, Timestamp, WorkerId};

/// The workers chosen for tasks, and the runs that have to be preempted for them.
#[derive(Debug, Clone, Default)]
pub(in crate::batch::planner) struct PlacementChoice {
    /// Sum of the placement costs and the costs of the preemptions, in core-milliseconds.
    pub(in crate::batch::planner) cost: u64,
    /// How many of the chosen workers are in another zone than the job's caller.
    pub(in crate::batch::planner) in_other_zones: usize,
    pub(in crate::batch::planner) workers: Vec<WorkerId>,
    pub(in crate::batch::planner) victims: Vec<(WorkerId, TaskKey)>,
    /// Pace factor of the slowest chosen worker.
    pub(in crate::batch::planner) slowest_factor: f64,
}

/// Ratio of pace factors from which two workers are in different pace groups.
const PACE_GROUP_RATIO: f64 = 1.25;
/// Maximum number of worker sets, grouped by pace, that are tried for a gang.
const MAX_PACE_SETS: usize = 4;

/// Chooses workers for up to `count` tasks, or for exactly `count` if the step is a gang. `paces`
/// is the cost of worker pace; `None` if all workers are equally fast.
pub(super) fn search(
    step: &StepSpec,
    count: usize,
    scope: SearchScope,
    workers: Vec<CandidateWorker>,
    paces: Option<&PaceCosts>,
) -> Option<PlacementChoice> {
    if count == 0 {
        return None;
    }
    let needs = step.reserved_resources();
    if step.gang && step.same_rack && scope.near {
        return group_by_rack(workers)
            .into_values()
            .filter(|workers| may_fit_all(workers, &needs, count))
            .filter_map(|workers| choose_by_pace(workers, &needs, count, true, paces))
            .min_by_key(|choice| (choice.cost, choice.in_other_zones));
    }
    choose_by_pace(workers, &needs, count, step.gang, paces)
}

/// Chooses workers with the cost of their pace added to all other costs.
fn choose_by_pace(
    workers: Vec<CandidateWorker>,
    needs: &Resources,
    count: usize,
    all_or_none: bool,
    paces: Option<&PaceCosts>,
) -> Option<PlacementChoice> {
    let Some(paces) = paces else {
        return choose(workers, needs, count, all_or_none, None);
    };
    if all_or_none {
        return choose_for_gang(&workers, needs, count, paces);
    }
    let mut workers = workers;
    for worker in &mut workers {
        let cost = paces.cost_on(worker, worker.pace.factor);
        worker.penalty = worker.penalty.saturating_add(cost);
    }
    choose(workers, needs, count, false, Some(paces))
}

/// Chooses workers for a gang, which runs at the pace of its slowest member. Tries the fastest
/// workers first, then adds slower ones, and returns the cheapest choice.
fn choose_for_gang(
    workers: &[CandidateWorker],
    needs: &Resources,
    count: usize,
    paces: &PaceCosts,
) -> Option<PlacementChoice> {
    let choices = slowest_factors(workers).into_iter().filter_map(|slowest| {
        let mut set: Vec<CandidateWorker> = workers
            .iter()
            .filter(|worker| worker.pace.factor <= slowest)
            .cloned()
            .collect();
        if !may_fit_all(&set, needs, count) {
            return None;
        }
        for worker in &mut set {
            let cost = paces.cost_on(worker, slowest);
            worker.penalty = worker.penalty.saturating_add(cost);
        }
        choose(set, needs, count, true, None)
    });
    choices.min_by_key(|choice| (choice.cost, choice.in_other_zones))
}

/// Returns the slowest pace factor of each worker set to try, fastest set first. The last set
/// contains all workers.
fn slowest_factors(workers: &[CandidateWorker]) -> Vec<f64> {
    let mut factors: Vec<f64> = workers.iter().map(|worker| worker.pace.factor).collect();
    factors.sort_by(f64::total_cmp);
    factors.dedup();
    let mut slowest: Vec<f64> = Vec::new();
    let mut first = 0.0;
    for factor in factors {
        match slowest.last_mut() {
            Some(last) if factor < first * PACE_GROUP_RATIO => *last = factor,
            _ => {
                first = factor;
                slowest.push(factor);
            }
        }
    }
    if slowest.len() > MAX_PACE_SETS {
        slowest.drain(MAX_PACE_SETS - 1..slowest.len() - 1);
    }
    slowest
}

fn group_by_rack(workers: Vec<CandidateWorker>) -> BTreeMap<RackId, Vec<CandidateWorker>> {
    let mut racks = BTreeMap::<RackId, Vec<CandidateWorker>>::new();
    for worker in workers {
        racks.entry(worker.rack.clone()).or_default().push(worker);
    }
    racks
}

/// Returns whether `count` tasks would fit if every possible victim were preempted.
fn may_fit_all(workers: &[CandidateWorker], needs: &Resources, count: usize) -> bool {
    let limit = u32::try_from(count).unwrap_or(u32::MAX);
    let fitting = workers.iter().map(|worker| {
        let capacity = worker
            .free
            .saturating_add(&worker.victims.total_resources());
        needs.copies_in(&capacity, limit.min(worker.spread_left))
    });
    fitting.fold(0_u32, u32::saturating_add) >= limit
}

/// Returns how many of `count` tasks fit into an accelerator allowance; for a gang all or none.
pub(super) fn allowed_count(step: &StepSpec, count: usize, allowance: u32) -> usize {
    let limit = allowance.checked_div(step.needs.accelerators);
    let limit = limit.map_or(count, |limit| limit as usize);
    if step.gang && limit < count {
        return 0;
    }
    count.min(limit)
}

/// Returns the fewest tasks of a step that have to start for it not to be idle: a whole gang, each
/// overdue task of a step that lasts, one task of any other step. Also one where the step limits how
/// many of its tasks may be away: each may keep accelerators from guaranteed jobs.
pub(super) fn min_count(step: &StepSpec, waiting: usize, overdue: usize) -> usize {
    if step.gang {
        waiting
    } else if step.long_running && !step.limits_unavailable() {
        overdue
    } else {
        1
    }
}

/// Sort key of a placement, cheapest first: cost, when the newest victim began, whether the zone
/// differs from the caller's, then the accelerators and CPU that stay free.
type SortKey = (u64, Option<Timestamp>, bool, u32, u32);

/// A way to place one more task on a worker.
struct PlacementOption {
    sort_key: SortKey,
    /// Cost of preempting the victims, in core-milliseconds.
    cost: u64,
    victims: Vec<TaskKey>,
}

impl CandidateWorker {
    /// Marks that a task placed on the worker will reveal its pace, and updates the penalty.
    fn mark_pace_pending(&mut self, paces: &PaceCosts) {
        let factor = self.pace.factor;
        let before = paces.cost_on(self, factor);
        self.pace_pending = true;
        self.penalty = self.penalty.saturating_sub(before) + paces.cost_on(self, factor);
    }

    /// Returns how a task can be placed on the worker, or `None` if it does not fit.
    fn placement_option(&self, needs: &Resources) -> Option<PlacementOption> {
        if self.spread_left == 0 {
            return None;
        }
        let required = needs.saturating_add(&self.shortage);
        let Selection {
            cost,
            newest,
            tasks: victims,
        } = self.victims.select(&required, &self.free)?;
        let left = self.free.saturating_sub(needs);
        Some(PlacementOption {
            sort_key: (
                cost.saturating_add(self.penalty),
                newest,
                self.in_other_zone,
                left.accelerators,
                left.cpu_millis,
            ),
            cost,
            victims,
        })
    }
}

/// The options of all workers.
struct PlacementOptions {
    by_worker: Vec<Option<PlacementOption>>,
    /// The keys of these options with the index of the worker, cheapest first. It also holds keys of
    /// options that have changed since; these are passed over.
    cheapest: BinaryHeap<Reverse<(SortKey, usize)>>,
}

impl PlacementOptions {
    fn new(workers: &[CandidateWorker], needs: &Resources) -> Self {
        let options = workers.iter().map(|worker| worker.placement_option(needs));
        let by_worker: Vec<Option<PlacementOption>> = options.collect();
        let keys = by_worker.iter().enumerate();
        let keys = keys.filter_map(|(index, option)| Some((option.as_ref()?.sort_key, index)));
        Self {
            cheapest: keys.map(Reverse).collect(),
            by_worker,
        }
    }

    /// Removes and returns the cheapest option and the index of its worker.
    fn take_cheapest(&mut self) -> Option<(usize, PlacementOption)> {
        while let Some(Reverse((key, index))) = self.cheapest.pop() {
            let is_current = |option: &mut PlacementOption| option.sort_key == key;
            if let Some(option) = self.by_worker[index].take_if(is_current) {
                return Some((index, option));
            }
        }
        None
    }

    /// Replaces the option of a worker.
    fn set(&mut self, index: usize, option: Option<PlacementOption>) {
        let key = option.as_ref().map(|option| option.sort_key);
        self.cheapest.extend(key.map(|key| Reverse((key, index))));
        self.by_worker[index] = option;
    }
}

/// Chooses a worker for each of `count` tasks, cheapest first.
///
/// After each choice, only the options of the workers that it changed are computed again.
///
/// With `paces`, a worker of unknown pace is preferred only for its first task, which already
/// reveals the pace.
fn choose(
    mut workers: Vec<CandidateWorker>,
    needs: &Resources,
    count: usize,
    all_or_none: bool,
    paces: Option<&PaceCosts>,
) -> Option<PlacementChoice> {
    let mut options = PlacementOptions::new(&workers, needs);
    let mut choice = PlacementChoice::default();
    for _ in 0..count {
        let Some((index, option)) = options.take_cheapest() else {
            break;
        };
        let cost = option.cost.saturating_add(workers[index].penalty);
        choice.cost = choice.cost.saturating_add(cost);
        choice.in_other_zones += usize::from(workers[index].in_other_zone);
        for victim in option.victims {
            for changed in candidate_worker::preempt(&mut workers, index, &victim) {
                options.set(changed, workers[changed].placement_option(needs));
            }
            choice.victims.push((workers[index].worker.clone(), victim));
        }
        let worker = &mut workers[index];
        worker.free = worker.free.saturating_sub(needs);
        worker.spread_left -= 1;
        choice.slowest_factor = choice.slowest_factor.max(worker.pace.factor);
        choice.workers.push(worker.worker.clone());
        if let Some(paces) = paces {
            worker.mark_pace_pending(paces);
        }
        options.set(index, worker.placement_option(needs));
    }
    let enough = if all_or_none {
        choice.workers.len() == count
    } else {
        !choice.workers.is_empty()
    };
    enough.then_some(choice)
}
