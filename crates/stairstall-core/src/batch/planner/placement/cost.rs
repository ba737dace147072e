//! Costs of placing a task on a worker.

use std::time::Duration;

use super::super::candidate::{Candidate, URGENT_RANK};
use super::super::candidate_worker::CandidateWorker;
use super::super::pool::{CrashSuspicion, Worker};
use super::super::{Now, Planner};
use crate::batch::{GroupKey, PlacementPolicy, StepSpec, WorkerPacePolicy};
use crate::time::millis;
use crate::{JobId, Timestamp, WorkerId};

/// Costs that make a worker less suitable for the tasks of one step, apart from its pace.
pub(super) struct PlacementCosts<'a> {
    /// Work of a task, in core-milliseconds.
    work: u64,
    /// Whether a run of the step has failed.
    has_failed: bool,
    /// Workers on which runs of the step have failed.
    failed_on: Vec<&'a WorkerId>,
    /// The job, if workers were lost under a task of the step.
    suspect_job: Option<&'a JobId>,
    far_factor: u32,
    policy: &'a PlacementPolicy,
}

impl PlacementCosts<'_> {
    /// Returns the cost of placing a task on a worker, in core-milliseconds.
    pub(super) fn cost_on(&self, worker: &Worker, step: &StepSpec, at: Timestamp) -> u64 {
        let mut cost = 0_u64;
        let mut add = |factor: u64| cost = cost.saturating_add(self.work.saturating_mul(factor));
        if !worker.is_near(step) {
            add(u64::from(self.far_factor.saturating_sub(1)));
        }
        if worker.is_suspect(at) {
            add(u64::from(self.policy.suspect_penalty));
        }
        if self.has_failed && worker.incarnation_state.succeeded_at.is_none() {
            add(u64::from(self.policy.unproven_penalty));
        }
        if self.failed_on.contains(&&worker.listed.id) {
            add(u64::from(self.policy.failed_here_penalty));
        }
        // If two jobs under which workers were lost ran on one worker, a crash could not be
        // attributed to either of them.
        if self
            .suspect_job
            .is_some_and(|job| worker.runs_other_suspect_job(job))
        {
            add(u64::from(self.policy.suspect_neighbour_penalty));
        }
        cost
    }
}

/// Costs of worker pace for the tasks of one step.
#[derive(Debug, Clone, Copy)]
pub(super) struct PaceCosts {
    /// Work of a task, in core-milliseconds.
    work: u64,
    /// Run time of a task on a worker of typical pace, in milliseconds: the median for urgent work,
    /// otherwise the 90th percentile.
    run_time_ms: u64,
    /// Time left for a task to meet its objective, in milliseconds.
    available_ms: u64,
    /// Whether the step is urgent, so that its own run time decides, not what other work could gain
    /// from the worker.
    is_urgent: bool,
    /// Whether the job is past its late bound: its result is assumed to be of no use any more, so
    /// more lateness does not matter.
    is_overdue: bool,
    is_gang: bool,
    policy: WorkerPacePolicy,
}

impl PaceCosts {
    /// Returns whether a task would miss its objective at this pace but not at the typical one.
    pub(super) fn is_late_by_pace(&self, factor: f64) -> bool {
        self.ends_late(factor) && !self.ends_late(1.0)
    }

    /// Returns whether a task would meet its objective at this pace if it started after `delay`,
    /// which is the time to stop other runs first.
    pub(super) fn ends_in_time(&self, factor: f64, delay: Duration) -> bool {
        self.needed_ms(factor) + as_f64(millis(delay)) <= as_f64(self.available_ms)
    }

    fn ends_late(&self, factor: f64) -> bool {
        !self.ends_in_time(factor, Duration::ZERO)
    }

    fn needed_ms(&self, factor: f64) -> f64 {
        as_f64(self.run_time_ms) * factor * fraction(self.policy.slack_percent)
    }

    /// Returns the cost of placing a task on a worker where it runs at pace `factor`, in
    /// core-milliseconds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "core-milliseconds of work are far below 2^52"
    )]
    pub(super) fn cost_on(&self, worker: &CandidateWorker, factor: f64) -> u64 {
        let cost_factor = if self.is_urgent || self.ends_late(factor) && !self.is_overdue {
            self.urgent_cost_factor(worker, factor)
        } else {
            self.relaxed_cost_factor(worker, factor)
        };
        (as_f64(self.work) * cost_factor) as u64
    }

    /// Cost factor of urgent work: the time that it needs on the worker, plus lateness and unknown
    /// pace.
    fn urgent_cost_factor(&self, worker: &CandidateWorker, factor: f64) -> f64 {
        let mut cost_factor = factor;
        if self.is_late_by_pace(factor) {
            cost_factor += fraction(self.policy.late_cost_percent);
        }
        if !worker.pace.is_known {
            cost_factor += fraction(self.policy.unknown_pace_cost_percent);
        }
        cost_factor
    }

    /// Cost factor of work with time to spare: what other work loses while the worker is occupied.
    /// A worker of unknown pace costs nothing for a task that will reveal it.
    fn relaxed_cost_factor(&self, worker: &CandidateWorker, factor: f64) -> f64 {
        if self.samples_pace(worker) {
            return 0.0;
        }
        let own_factor = worker.pace.factor;
        fraction(self.policy.typical_pace_cost_percent) * factor / (own_factor * own_factor)
    }

    /// Returns whether a task on the worker would reveal its pace, and no other run does so yet.
    fn samples_pace(&self, worker: &CandidateWorker) -> bool {
        !self.is_gang && !worker.pace.is_known && !worker.pace_pending
    }
}

fn fraction(percent: u16) -> f64 {
    f64::from(percent) / 100.0
}

#[allow(
    clippy::cast_precision_loss,
    reason = "milliseconds of work are far below 2^52"
)]
const fn as_f64(value: u64) -> f64 {
    value as f64
}

impl Planner {
    /// Returns the costs of worker pace for a step, or `None` if all workers are equally fast or
    /// the step is long-running.
    pub(super) fn pace_costs(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        now: Now,
    ) -> Option<PaceCosts> {
        let key = &candidate.key;
        if !self.paces.is_heterogeneous() || step.long_running {
            return None;
        }
        let job = self.jobs.get(&key.job)?;
        let eligible_ms = job.eligible_unix_ms(key.occurrence);
        let objective_ms = job.objective_unix_ms(key.occurrence);
        let late_bound = u64::from(self.policy.scheduling.late_bound);
        let late_bound_ms = eligible_ms
            .saturating_add(late_bound.saturating_mul(objective_ms.saturating_sub(eligible_ms)));
        let run_time = self.run_time(key, step, now);
        let is_urgent = candidate.rank <= URGENT_RANK;
        let time = if is_urgent {
            run_time.typical
        } else {
            run_time.p90
        };
        let available_ms = objective_ms.saturating_sub(now.unix_ms);
        Some(PaceCosts {
            work: step
                .reserved_resources()
                .weight()
                .saturating_mul(self.estimate_ms(step))
                / 1000,
            run_time_ms: millis(time),
            available_ms: available_ms
                .saturating_sub(job.accepted.spec.downstream_path_ms(key.step)),
            is_urgent,
            is_overdue: now.unix_ms > late_bound_ms,
            is_gang: step.gang,
            policy: *self.paces.policy(),
        })
    }

    /// Returns the placement costs for a step, apart from worker pace.
    pub(super) fn placement_costs<'a>(
        &'a self,
        step: &StepSpec,
        key: &'a GroupKey,
    ) -> PlacementCosts<'a> {
        let group = self.group_of(key);
        let tasks = group.map_or(&[][..], |group| &group.tasks);
        PlacementCosts {
            work: step
                .reserved_resources()
                .weight()
                .saturating_mul(self.estimate_ms(step))
                / 1000,
            has_failed: group.is_some_and(|group| group.max_failures() > 0),
            failed_on: tasks.iter().filter_map(|t| t.failed_on.as_ref()).collect(),
            suspect_job: tasks
                .iter()
                .any(|t| t.is_waiting() && !t.losses.is_empty())
                .then_some(&key.job),
            far_factor: self.bounds.far_factor,
            policy: &self.policy.placement,
        }
    }
}

impl Worker {
    /// Returns whether the worker has a run of another job under which workers were lost before.
    fn runs_other_suspect_job(&self, job: &JobId) -> bool {
        let mut others = self.runs.iter().filter(|(task, _)| task.group.job != *job);
        others.any(|(_, run)| run.suspicion != CrashSuspicion::None)
    }
}
