//! Which runs give way, and what that costs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::job::Job;
use super::pass::Pass;
use super::placement::PlacementChoice;
use super::{Now, Planner};
use crate::batch::{GroupKey, StepSpec};
use crate::time::millis;

/// Until when a claim is surely looked at again.
const LOOKS_AGAIN: Duration = Planner::IDLE_TICK;

/// How often the time doubles after which a gang returns that gave way again and again.
const MOST_DOUBLINGS: u32 = 3;

impl Planner {
    /// Returns how long a claim lets other urgent work go on: as long as it can still begin in
    /// time after a stop.
    pub(super) fn guaranteed_wait_limit(&self) -> Duration {
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
    pub(super) fn protected_rank(&self, rank: u8, waited: Duration) -> u8 {
        if rank == GUARANTEED_RANK && waited < self.guaranteed_wait_limit() {
            URGENT_RANK
        } else {
            rank
        }
    }

    /// Returns what stopping each gang that runs would cost: the work that is thrown away, more for one
    /// that was stopped before, and its whole work once more where only that would make it late.
    pub(super) fn gang_preemption_costs(&self, now: Now) -> BTreeMap<GroupKey, u64> {
        let mut losses = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.gang) {
                *losses.entry(task.group.clone()).or_insert(0) +=
                    run.lost_work(now.at, self.policy.victims.restore_cost);
            }
        }
        for (key, loss) in &mut losses {
            *loss += self.cost_of_stopping(key, now);
        }
        losses
    }

    /// Returns what stopping a gang costs beside the work that is thrown away, in core-milliseconds.
    fn cost_of_stopping(&self, key: &GroupKey, now: Now) -> u64 {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let Some((step, group)) = job.step(key).zip(job.group(key)) else {
            return 0;
        };
        let policy = &self.policy.victims;
        let weight = step.reserved_resources().weight() * u64::from(step.count);
        let again_ms = millis(policy.repeat_preemption_cost) * u64::from(group.preemptions);
        let late_ms = if policy.counts_caused_lateness && self.would_become_late(key, job, now) {
            millis(self.run_time(key, step, now).typical)
        } else {
            0
        };
        weight.saturating_mul(again_ms + late_ms) / 1000
    }

    /// Tells whether a gang that runs would be in time, and late if it started anew.
    fn would_become_late(&self, key: &GroupKey, job: &Job, now: Now) -> bool {
        let (wanted, anew_ms) = self.job_objective(key, job, now);
        let objective_unix_ms = wanted.objective_unix_ms();
        let runs = self.run_index.of_group(key);
        let run = runs.first().and_then(|(id, task)| self.run_at(id, task));
        let left_ms = run.map_or(anew_ms, |run| {
            run.remaining_ms(self.policy.places.min_progress_percent)
        });
        now.unix_ms + left_ms <= objective_unix_ms && now.unix_ms + anew_ms > objective_unix_ms
    }

    /// Tells whether what gives way is worth less than what it makes room for, each gang counted whole
    /// and once. A claim on a customer's own share does not wait for longer than it may.
    pub(super) fn is_preemption_worthwhile(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        choice: &PlacementChoice,
        pass: &Pass,
        now: Now,
    ) -> bool {
        let most = self.policy.victims.max_lost_factor;
        let Some(losses) = pass.gang_preemption_costs.as_ref().filter(|_| most > 0) else {
            return true;
        };
        let takes = self.run_time(&candidate.key, step, now).typical;
        if candidate.rank == GUARANTEED_RANK && self.must_begin(candidate, takes, now) {
            return true;
        }
        let mut lost = 0_u64;
        let mut gangs = BTreeSet::new();
        for (id, task) in &choice.victims {
            let Some(run) = self.run_at(id, task) else {
                continue;
            };
            if !run.gang {
                lost += run.lost_work(now.at, self.policy.victims.restore_cost);
            } else if gangs.insert(&task.group) {
                lost += losses.get(&task.group).copied().unwrap_or(0);
            }
        }
        let tasks = choice.places.len() as u64;
        let work = step.reserved_resources().weight() * tasks * millis(takes) / 1000;
        lost <= work.saturating_mul(most.into())
    }

    /// Tells whether a claim can't wait any longer for others to give way that lose less: it has to begin
    /// within its bound, and to be in time.
    fn must_begin(&self, candidate: &Candidate, takes: Duration, now: Now) -> bool {
        let waited = self.since_accepted(&candidate.key, now);
        let ends_ms = now.unix_ms + millis(self.bounds.stop_max + takes);
        let looks_again_ms = ends_ms + millis(LOOKS_AGAIN);
        let objective_unix_ms = candidate.turn.objective_unix_ms;
        let is_last = ends_ms <= objective_unix_ms && looks_again_ms > objective_unix_ms;
        is_last || waited >= self.guaranteed_wait_limit()
    }

    /// Notes that runs of a step give way, once for all that do so together.
    pub(super) fn record_preemption(&mut self, key: &GroupKey, now: Now) {
        let job = self.jobs.get_mut(&key.job);
        let Some(group) = job.and_then(|job| job.group_mut(key)) else {
            return;
        };
        if group.preempted_at != Some(now.at) {
            group.preemptions = group.preemptions.saturating_add(1);
            group.preempted_at = Some(now.at);
        }
    }

    /// Tells whether a gang that gave way should wait, because the room that is free now may be taken
    /// back from it as well: for longer each time.
    pub(super) fn in_preemption_backoff(&self, key: &GroupKey, now: Now) -> bool {
        let job = self.jobs.get(&key.job);
        let group = job.and_then(|job| job.group(key));
        let stopped = group.and_then(|group| Some((group.preemptions, group.preempted_at?)));
        stopped.is_some_and(|(times, at)| {
            let doublings = u32::from(times.saturating_sub(1)).min(MOST_DOUBLINGS);
            now.at - at < self.policy.victims.restart_backoff * (1 << doublings)
        })
    }

    /// Tells whether a gang gave way before.
    pub(super) fn was_preempted(&self, key: &GroupKey) -> bool {
        let job = self.jobs.get(&key.job);
        let group = job.and_then(|job| job.group(key));
        group.is_some_and(|group| group.preemptions > 0)
    }
}
