//! Which runs give way, and what that costs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::contact::millis;
use super::fit::Site;
use super::pool::{Run, RunState, Worker};
use super::queue::{CLAIM, URGENT};
use super::{Now, Planner};
use crate::batch::{GroupKey, Resources, Setback, TaskKey, VictimPolicy};
use crate::{JobId, Timestamp, WorkerId};

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
    pub(super) fn of(worker: &Worker, rank: u8, losses: &Losses, at: Timestamp) -> Self {
        let runs = worker.runs.iter();
        let mut victims: Vec<Victim> = runs
            .filter(|(_, run)| run.rank > rank && run.state != RunState::Stopping)
            .filter(|(_, run)| !run.lasts)
            .map(|(task, run)| Victim {
                task: task.clone(),
                room: run.room,
                cost: losses.of(task, run, at),
                gang: run.gang,
            })
            .collect();
        victims.sort_by(|a, b| (a.cost, &a.task).cmp(&(b.cost, &b.task)));
        Self(victims)
    }

    /// Returns the cost and the runs that must go so that `needs` fits; none where it can't.
    pub(super) fn to_fit(
        &self,
        needs: &Resources,
        room: &Resources,
    ) -> Option<(u64, Vec<TaskKey>)> {
        let mut free = *room;
        let mut chosen: Vec<&Victim> = Vec::new();
        for victim in &self.0 {
            if needs.fits(&free) {
                break;
            }
            free = free.plus(&victim.room);
            chosen.push(victim);
        }
        if !needs.fits(&free) {
            return None;
        }
        spare_needless(&mut chosen, needs, &mut free);
        let cost = chosen.iter().map(|v| v.cost).sum();
        Some((cost, chosen.iter().map(|v| v.task.clone()).collect()))
    }
}

/// Drops those, dearest first, whose room is not needed after all.
fn spare_needless(chosen: &mut Vec<&Victim>, needs: &Resources, free: &mut Resources) {
    for index in (0..chosen.len()).rev() {
        let without = free.minus(&chosen[index].room);
        if needs.fits(&without) {
            *free = without;
            chosen.remove(index);
        }
    }
}

/// Takes a victim out, and with a member of a gang all its members, giving their room back.
pub(super) fn give_way(sites: &mut [Site], worker: &WorkerId, task: &TaskKey) {
    let is_gang = sites
        .iter()
        .filter(|site| site.worker == *worker)
        .flat_map(|site| &site.victims.0)
        .any(|v| v.task == *task && v.gang);
    for site in sites.iter_mut() {
        let here = site.worker == *worker;
        let room = &mut site.room;
        site.victims.0.retain(|victim| {
            let goes = if is_gang {
                victim.task.group == task.group
            } else {
                here && victim.task == *task
            };
            if goes {
                *room = room.plus(&victim.room);
            }
            !goes
        });
    }
}

impl Planner {
    /// Returns how long a claim lets other urgent work go on: as long as it can still begin in
    /// time after a stop.
    pub(super) fn claim_patience(&self) -> Duration {
        if !self.policy.victims.claims_wait {
            return Duration::ZERO;
        }
        let needed = self.bounds.stop_max + self.policy.victims.claim_margin;
        self.bounds.reclaim.saturating_sub(needed)
    }

    /// Returns how long ago a job was accepted, by the time of day.
    pub(super) fn since_accepted(&self, key: &GroupKey, now: Now) -> Duration {
        let job = self.jobs.get(&key.job);
        let accepted_unix_ms = job.map_or(now.unix_ms, |job| job.accepted.accepted_unix_ms);
        Duration::from_millis(now.unix_ms.saturating_sub(accepted_unix_ms))
    }

    /// Returns the rank up to which nothing gives way to work of `rank` that has waited so long.
    ///
    /// Urgent work that gives way to urgent work is late itself, so that one late job becomes two.
    pub(super) fn spared_rank(&self, rank: u8, waited: Duration) -> u8 {
        if rank == CLAIM && waited < self.claim_patience() {
            URGENT
        } else {
            rank
        }
    }

    /// Returns what stopping runs would cost.
    pub(super) fn losses(&self, now: Now) -> Losses {
        let mut losses = Losses {
            policy: self.policy.victims,
            gangs: BTreeMap::new(),
            jobs: BTreeMap::new(),
        };
        for worker in self.workers.values() {
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.rank > CLAIM) {
                let job = &task.group.job;
                if !losses.jobs.contains_key(job) {
                    losses.jobs.insert(job.clone(), self.stake(task, run, now));
                }
                if run.gang {
                    let stake = &losses.jobs[job];
                    let loss = stake.loss(run, now.at, &losses.policy);
                    *losses.gangs.entry(task.group.clone()).or_insert(0) += loss;
                }
            }
        }
        losses
    }

    /// Returns what a job has at stake if a run of it is stopped now.
    fn stake(&self, task: &TaskKey, run: &Run, now: Now) -> Stake {
        let Some(job) = self.jobs.get(&task.group.job) else {
            return Stake::default();
        };
        let objective = job.objective_unix_ms(task.group.occurrence);
        let again_ms = millis(self.bounds.stop_max) + run.expected_ms;
        Stake {
            gave_way: job.story.setbacks().count(Setback::GaveWay),
            becomes_late: now.unix_ms <= objective && now.unix_ms + again_ms > objective,
        }
    }
}

/// What one job has at stake.
#[derive(Debug, Clone, Copy, Default)]
struct Stake {
    /// How often it gave way before.
    gave_way: u32,
    /// Whether it can't be done in time any more if it begins again.
    becomes_late: bool,
}

impl Stake {
    /// Returns what stopping a run costs, in core-milliseconds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "core-milliseconds of one run are far below 2^52"
    )]
    fn loss(self, run: &Run, at: Timestamp, policy: &VictimPolicy) -> u64 {
        let stop = run.room.weight() * millis(policy.stop_cost) / 1000;
        let lost = run.loss(at, policy.restore_cost) + stop;
        let dearer = 1.0 + policy.again_weight * f64::from(self.gave_way);
        let work = run.room.weight() * run.expected_ms / 1000;
        let late = if self.becomes_late {
            policy.late_weight * work as f64
        } else {
            0.0
        };
        (lost as f64 * dearer + late) as u64
    }
}

/// What stopping runs costs: the work that is thrown away, more for a job that gave way before
/// or that would be late.
#[derive(Debug, Clone)]
pub(super) struct Losses {
    policy: VictimPolicy,
    /// Of each gang that runs, over all its members.
    gangs: BTreeMap<GroupKey, u64>,
    jobs: BTreeMap<JobId, Stake>,
}

impl Losses {
    fn of(&self, task: &TaskKey, run: &Run, at: Timestamp) -> u64 {
        if run.gang
            && let Some(loss) = self.gangs.get(&task.group)
        {
            return *loss;
        }
        let stake = self.jobs.get(&task.group.job).copied().unwrap_or_default();
        stake.loss(run, at, &self.policy)
    }
}
