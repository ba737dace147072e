//! Which runs may be preempted, and the cost of preempting them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::job::Job;
use super::pass::Pass;
use super::placement::PlacementChoice;
use super::{Now, Planner};
use crate::batch::{GroupKey, StepSpec};
use crate::time::millis;

/// Longest time until a waiting guaranteed job is considered again.
const RECHECK_INTERVAL: Duration = Planner::MAX_TICK_INTERVAL;

/// Maximum number of times that the back-off of a repeatedly preempted gang doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// A step that looks for runs to preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Preemptor {
    /// Number of the rank up to which runs are exempt.
    pub(super) protected_rank: u8,
    /// Whether its job is guaranteed.
    pub(super) is_guaranteed: bool,
}

impl Planner {
    /// Returns how long a guaranteed job waits before it preempts other urgent work: as long as it
    /// can still begin in time after a stop.
    pub(super) fn guaranteed_wait_limit(&self) -> Duration {
        if !self.policy.victims.claims_wait {
            return Duration::ZERO;
        }
        let needed = self.bounds.stop_max + self.policy.victims.claim_margin;
        self.bounds.guaranteed_start_limit.saturating_sub(needed)
    }

    /// Returns the time since a job was accepted, by the wall clock.
    pub(super) fn since_accepted(&self, key: &GroupKey, now: Now) -> Duration {
        let job = self.jobs.get(&key.job);
        let accepted_unix_ms = job.map_or(now.unix_ms, |job| job.accepted.accepted_unix_ms);
        Duration::from_millis(now.unix_ms.saturating_sub(accepted_unix_ms))
    }

    /// Returns which runs a step may preempt now, after it has waited for `waited`.
    ///
    /// Urgent work that is preempted by urgent work becomes late itself, so that one late job
    /// becomes two.
    pub(super) fn preemptor(&self, rank: u8, waited: Duration) -> Preemptor {
        let is_guaranteed = rank == GUARANTEED_RANK;
        let lets_urgent_finish = is_guaranteed && waited < self.guaranteed_wait_limit();
        Preemptor {
            protected_rank: if lets_urgent_finish {
                URGENT_RANK
            } else {
                rank
            },
            is_guaranteed,
        }
    }

    /// Returns the cost of preempting each running gang: the discarded work, more if the gang was
    /// preempted before, and its whole work once more if only the preemption would make it late.
    pub(super) fn gang_preemption_costs(&self, now: Now) -> BTreeMap<GroupKey, u64> {
        let mut costs = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in worker.runs.iter().filter(|(_, run)| run.gang) {
                *costs.entry(task.group.clone()).or_insert(0) +=
                    run.lost_work(now.at, self.policy.victims.restore_cost);
            }
        }
        for (key, cost) in &mut costs {
            *cost = cost.saturating_add(self.extra_preemption_cost(key, now));
        }
        costs
    }

    /// Returns the cost of preempting a gang in addition to the discarded work, in
    /// core-milliseconds.
    fn extra_preemption_cost(&self, key: &GroupKey, now: Now) -> u64 {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let Some((step, group)) = job.step(key).zip(job.group(key)) else {
            return 0;
        };
        let policy = &self.policy.victims;
        let weight = step
            .reserved_resources()
            .weight()
            .saturating_mul(u64::from(step.count));
        let repeat_ms = millis(policy.repeat_preemption_cost) * u64::from(group.preemptions);
        let late_ms = if policy.counts_caused_lateness && self.would_become_late(key, job, now) {
            millis(self.run_time(key, step, now).typical)
        } else {
            0
        };
        weight.saturating_mul(repeat_ms.saturating_add(late_ms)) / 1000
    }

    /// Returns whether a running gang would be in time, but late if it were restarted.
    fn would_become_late(&self, key: &GroupKey, job: &Job, now: Now) -> bool {
        let (objective, restart_ms) = self.job_objective(key, job, now);
        let objective_unix_ms = objective.objective_unix_ms();
        let runs = self.run_index.of_group(key);
        let run = runs.first().and_then(|(id, task)| self.run_at(id, task));
        let remaining_ms = run.map_or(restart_ms, |run| {
            run.remaining_ms(self.policy.placement.min_progress_percent)
        });
        now.unix_ms.saturating_add(remaining_ms) <= objective_unix_ms
            && now.unix_ms.saturating_add(restart_ms) > objective_unix_ms
    }

    /// Returns whether the preemptions of a choice are worthwhile: what they discard is at most
    /// `max_lost_factor` times the work to be placed. Each gang counts once and as a whole.
    ///
    /// For a guaranteed job that can't wait any longer, preemption is always worthwhile.
    pub(super) fn is_preemption_worthwhile(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        choice: &PlacementChoice,
        pass: &Pass,
        now: Now,
    ) -> bool {
        let max_lost_factor = self.policy.victims.max_lost_factor;
        let Some(costs) = pass
            .gang_preemption_costs
            .as_ref()
            .filter(|_| max_lost_factor > 0)
        else {
            return true;
        };
        let run_time = self.run_time(&candidate.key, step, now).typical;
        if candidate.rank == GUARANTEED_RANK && self.must_start_now(candidate, run_time, now) {
            return true;
        }
        let mut lost = 0_u64;
        let mut gangs = BTreeSet::new();
        for (id, task) in &choice.victims {
            let Some(run) = self.run_at(id, task) else {
                continue;
            };
            if !run.gang {
                let work = run.lost_work(now.at, self.policy.victims.restore_cost);
                lost = lost.saturating_add(work);
            } else if gangs.insert(&task.group) {
                let work = costs.get(&task.group).copied().unwrap_or(0);
                lost = lost.saturating_add(work);
            }
        }
        let tasks = choice.workers.len() as u64;
        let work = step
            .reserved_resources()
            .weight()
            .saturating_mul(tasks)
            .saturating_mul(millis(run_time))
            / 1000;
        lost <= work.saturating_mul(max_lost_factor.into())
    }

    /// Returns whether a guaranteed job can't wait any longer for cheaper victims: its wait limit
    /// has expired, or the next check would be too late to meet its objective.
    fn must_start_now(&self, candidate: &Candidate, run_time: Duration, now: Now) -> bool {
        let waited = self.since_accepted(&candidate.key, now);
        let ends_ms = now
            .unix_ms
            .saturating_add(millis(self.bounds.stop_max.saturating_add(run_time)));
        let recheck_ms = ends_ms.saturating_add(millis(RECHECK_INTERVAL));
        let objective_unix_ms = candidate.scheduling_key.objective_unix_ms;
        let is_last_chance_in_time = ends_ms <= objective_unix_ms && recheck_ms > objective_unix_ms;
        is_last_chance_in_time || waited >= self.guaranteed_wait_limit()
    }

    /// Records a preemption of a step's runs. Runs that are preempted together count once.
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

    /// Returns whether a preempted gang should wait before it starts again, because its next
    /// run on the capacity that is free now may be preempted as well. The back-off doubles with
    /// each preemption, up to a limit.
    pub(super) fn in_preemption_backoff(&self, key: &GroupKey, now: Now) -> bool {
        let job = self.jobs.get(&key.job);
        let group = job.and_then(|job| job.group(key));
        let preempted = group.and_then(|group| Some((group.preemptions, group.preempted_at?)));
        preempted.is_some_and(|(times, at)| {
            let doublings = u32::from(times.saturating_sub(1)).min(MAX_BACKOFF_DOUBLINGS);
            now.at - at < self.policy.victims.restart_backoff * (1 << doublings)
        })
    }

    /// Returns whether a gang was preempted before.
    pub(super) fn was_preempted(&self, key: &GroupKey) -> bool {
        let job = self.jobs.get(&key.job);
        let group = job.and_then(|job| job.group(key));
        group.is_some_and(|group| group.preemptions > 0)
    }
}
