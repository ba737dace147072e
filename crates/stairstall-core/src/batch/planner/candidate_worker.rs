//! A worker considered for a step, and the runs there that may be preempted for it.

use std::collections::BTreeMap;

use super::pool::Worker;
use crate::Timestamp;
use crate::batch::{GroupKey, Resources, TaskKey, VictimPolicy, WorkerPace};
use crate::time::millis;
use crate::{RackId, WorkerId};

/// Which workers a placement search considers.
#[derive(Debug, Clone, Copy)]
pub(super) struct SearchScope {
    /// Whether to use only workers on the rack of the step's data, and a single rack for a gang that
    /// requests one.
    pub(super) near: bool,
    /// Whether runs of less urgent ranks may be preempted.
    pub(super) preempts: bool,
}

/// A worker considered for the tasks of one step.
#[derive(Debug, Clone)]
pub(super) struct CandidateWorker {
    pub(super) worker: WorkerId,
    pub(super) rack: RackId,
    pub(super) room: Resources,
    /// Resources that must become free in addition, because the worker's capacity has shrunk.
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
    room: Resources,
    cost: u64,
    gang: bool,
}

/// The runs of one worker that may be preempted, cheapest first.
#[derive(Debug, Clone, Default)]
pub(super) struct Victims(Vec<Victim>);

impl Victims {
    /// Returns the runs of a worker that work of `rank` may preempt. Long-running steps are never
    /// preempted.
    pub(super) fn of(
        worker: &Worker,
        rank: u8,
        gang_losses: &BTreeMap<GroupKey, u64>,
        at: Timestamp,
        policy: &VictimPolicy,
    ) -> Self {
        let mut victims: Vec<Victim> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_preemptible_by(rank))
            .map(|(task, run)| {
                let lost = if run.gang {
                    gang_losses.get(&task.group).copied().unwrap_or(0)
                } else {
                    run.lost_work(at, policy.restore_cost)
                };
                let stop = run.room.weight() * millis(policy.stop_cost) / 1000;
                Victim {
                    task: task.clone(),
                    room: run.room,
                    cost: lost + stop,
                    gang: run.gang,
                }
            })
            .collect();
        victims.sort_by(|a, b| (a.cost, &a.task).cmp(&(b.cost, &b.task)));
        Self(victims)
    }

    /// Returns the sum of the resources of all victims.
    pub(super) fn room(&self) -> Resources {
        let rooms = self.0.iter().map(|victim| &victim.room);
        rooms.fold(Resources::default(), |sum, room| sum.saturating_add(room))
    }

    /// Selects the victims that must be preempted so that `needs` fits, and returns their cost and
    /// tasks. Returns `None` if `needs` can't fit.
    pub(super) fn select(
        &self,
        needs: &Resources,
        room: &Resources,
    ) -> Option<(u64, Vec<TaskKey>)> {
        let mut free = *room;
        let mut chosen: Vec<&Victim> = Vec::new();
        for victim in &self.0 {
            if needs.fits_in(&free) {
                break;
            }
            free = free.saturating_add(&victim.room);
            chosen.push(victim);
        }
        if !needs.fits_in(&free) {
            return None;
        }
        remove_unneeded(&mut chosen, needs, &mut free);
        Some((
            cost_of(&chosen),
            chosen.iter().map(|v| v.task.clone()).collect(),
        ))
    }
}

/// Returns the cost of preempting runs of one worker, with each gang counted once.
fn cost_of(chosen: &[&Victim]) -> u64 {
    let mut gangs: Vec<&GroupKey> = Vec::new();
    let mut cost = 0;
    for victim in chosen {
        let gang = Some(&victim.task.group).filter(|_| victim.gang);
        if gang.is_some_and(|gang| gangs.contains(&gang)) {
            continue;
        }
        gangs.extend(gang);
        cost += victim.cost;
    }
    cost
}

/// Removes the victims whose resources are not needed after all, most expensive first.
fn remove_unneeded(chosen: &mut Vec<&Victim>, needs: &Resources, free: &mut Resources) {
    for index in (0..chosen.len()).rev() {
        let without = free.saturating_sub(&chosen[index].room);
        if needs.fits_in(&without) {
            *free = without;
            chosen.remove(index);
        }
    }
}

/// Preempts a victim, together with all members of its gang if it has one, and frees their
/// resources. Returns the indices of the workers that have more free capacity as a result.
pub(super) fn preempt(sites: &mut [CandidateWorker], index: usize, task: &TaskKey) -> Vec<usize> {
    let is_gang = sites[index]
        .victims
        .0
        .iter()
        .any(|v| v.task == *task && v.gang);
    if !is_gang {
        sites[index].remove_victims(|victim| victim.task == *task);
        return vec![index];
    }
    let taken_out = sites.iter_mut().enumerate().filter_map(|(at, site)| {
        let goes = |victim: &Victim| victim.gang && victim.task.group == task.group;
        site.remove_victims(goes).then_some(at)
    });
    taken_out.collect()
}

impl CandidateWorker {
    /// Removes victims and frees their resources. Returns whether there were any.
    fn remove_victims(&mut self, goes: impl Fn(&Victim) -> bool) -> bool {
        let before = self.victims.0.len();
        let room = &mut self.room;
        self.victims.0.retain(|victim| {
            let goes = goes(victim);
            if goes {
                *room = room.saturating_add(&victim.room);
            }
            !goes
        });
        self.victims.0.len() < before
    }
}
