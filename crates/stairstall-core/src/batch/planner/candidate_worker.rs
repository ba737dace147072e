//! A worker as a place for tasks, and the runs there that may give way.

use std::collections::BTreeMap;

use super::pool::Worker;
use crate::Timestamp;
use crate::batch::{GroupKey, Resources, TaskKey, VictimPolicy, WorkerPace};
use crate::time::millis;
use crate::{RackId, WorkerId};

/// Which workers are looked at.
#[derive(Debug, Clone, Copy)]
pub(super) struct SearchScope {
    /// Only those near the data, and a gang that wants it on one rack.
    pub(super) near: bool,
    /// Whether lower ranks may be made to give way.
    pub(super) preempts: bool,
}

/// A worker as a place for tasks of one step.
#[derive(Debug, Clone)]
pub(super) struct CandidateWorker {
    pub(super) worker: WorkerId,
    pub(super) rack: RackId,
    pub(super) room: Resources,
    /// What has to become free besides, because the worker's room has shrunk.
    pub(super) shortage: Resources,
    /// Tasks of the step that may still be put there.
    pub(super) spread_left: u32,
    /// What being there costs a task, in core-milliseconds.
    pub(super) penalty: u64,
    /// How fast work is there.
    pub(super) pace: WorkerPace,
    /// Whether it has work that will tell its pace.
    pub(super) pace_pending: bool,
    /// Whether it is in another zone than the job's caller.
    pub(super) in_other_zone: bool,
    pub(super) victims: Victims,
}

/// One run that may give way.
#[derive(Debug, Clone)]
struct Victim {
    task: TaskKey,
    room: Resources,
    cost: u64,
    gang: bool,
}

/// The runs of one worker that may give way, cheapest first.
#[derive(Debug, Clone, Default)]
pub(super) struct Victims(Vec<Victim>);

impl Victims {
    /// Returns the runs of a worker that come after `rank`; what lasts gives way to nothing.
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
            .filter(|(_, run)| run.may_give_way_to(rank))
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

    /// Returns the room of all of them.
    pub(super) fn room(&self) -> Resources {
        let rooms = self.0.iter().map(|victim| &victim.room);
        rooms.fold(Resources::default(), |sum, room| sum.saturating_add(room))
    }

    /// Returns the cost and the runs that must go so that `needs` fits; none where it can't.
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
        spare_needless(&mut chosen, needs, &mut free);
        Some((
            cost_of(&chosen),
            chosen.iter().map(|v| v.task.clone()).collect(),
        ))
    }
}

/// Returns what stopping runs of one worker costs, each gang counted once.
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

/// Drops those, dearest first, whose room is not needed after all.
fn spare_needless(chosen: &mut Vec<&Victim>, needs: &Resources, free: &mut Resources) {
    for index in (0..chosen.len()).rev() {
        let without = free.saturating_sub(&chosen[index].room);
        if needs.fits_in(&without) {
            *free = without;
            chosen.remove(index);
        }
    }
}

/// Takes a victim out, and with a member of a gang all its members, giving their room back;
/// returns the sites that have more room for it.
pub(super) fn preempt(sites: &mut [CandidateWorker], index: usize, task: &TaskKey) -> Vec<usize> {
    let is_gang = sites[index]
        .victims
        .0
        .iter()
        .any(|v| v.task == *task && v.gang);
    if !is_gang {
        sites[index].take_out(|victim| victim.task == *task);
        return vec![index];
    }
    let taken_out = sites.iter_mut().enumerate().filter_map(|(at, site)| {
        let goes = |victim: &Victim| victim.gang && victim.task.group == task.group;
        site.take_out(goes).then_some(at)
    });
    taken_out.collect()
}

impl CandidateWorker {
    /// Takes victims out and gives their room back; true where there were any.
    fn take_out(&mut self, goes: impl Fn(&Victim) -> bool) -> bool {
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
