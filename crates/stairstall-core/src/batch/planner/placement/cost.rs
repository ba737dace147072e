//! What being at a worker costs a task.

use std::time::Duration;

use super::super::candidate::{Candidate, URGENT_RANK};
use super::super::candidate_worker::CandidateWorker;
use super::super::pool::{CrashSuspicion, Worker};
use super::super::{Now, Planner};
use crate::batch::{GroupKey, PlacePolicy, StepSpec, WorkerPacePolicy};
use crate::time::millis;
use crate::{JobId, Timestamp, WorkerId};

/// What makes workers worse places for the tasks of one step.
pub(super) struct PlaceCosts<'a> {
    /// Work of a task, in core-milliseconds.
    work: u64,
    /// Whether a run of it has failed.
    has_failed: bool,
    /// Where runs of it failed.
    failed_at: Vec<&'a WorkerId>,
    /// The job, where workers were lost under a task of the step.
    suspect: Option<&'a JobId>,
    far_factor: u32,
    policy: &'a PlacePolicy,
}

impl PlaceCosts<'_> {
    /// Returns what being at a worker costs a task, in core-milliseconds.
    pub(super) fn of(&self, worker: &Worker, step: &StepSpec, at: Timestamp) -> u64 {
        let mut cost = 0;
        if !worker.is_near(step) {
            cost += self.work * u64::from(self.far_factor.saturating_sub(1));
        }
        if worker.is_suspect(at) {
            cost += self.work * u64::from(self.policy.suspect_penalty);
        }
        if self.has_failed && worker.incarnation_state.succeeded_at.is_none() {
            cost += self.work * u64::from(self.policy.unproven_penalty);
        }
        if self.failed_at.contains(&&worker.listed.id) {
            cost += self.work * u64::from(self.policy.failed_here_penalty);
        }
        // Side by side nothing would tell which of two such jobs a worker crashes under.
        if self
            .suspect
            .is_some_and(|job| worker.has_suspect_beside(job))
        {
            cost += self.work * u64::from(self.policy.suspect_neighbour_penalty);
        }
        cost
    }
}

/// What the pace of a worker costs the tasks of one step.
#[derive(Debug, Clone, Copy)]
pub(super) struct PaceCosts {
    /// Work of a task, in core-milliseconds.
    work: u64,
    /// How long a task should take at a worker of usual pace, in milliseconds.
    usual_ms: u64,
    /// How long it may take, in milliseconds.
    left_ms: u64,
    /// Whether the time that is left counts more than what the place could do for others.
    is_pressed: bool,
    /// Whether nobody waits for it any more.
    is_overdue: bool,
    is_gang: bool,
    policy: WorkerPacePolicy,
}

impl PaceCosts {
    /// Tells whether a task would miss its objective at a pace, and not at the usual one.
    pub(super) fn is_late_by_pace(&self, factor: f64) -> bool {
        self.ends_late(factor) && !self.ends_late(1.0)
    }

    /// Tells whether a task would meet its objective at a pace if it began so much later: others have to
    /// be stopped first.
    pub(super) fn ends_in_time(&self, factor: f64, later: Duration) -> bool {
        self.needed_ms(factor) + as_f64(millis(later)) <= as_f64(self.left_ms)
    }

    fn ends_late(&self, factor: f64) -> bool {
        !self.ends_in_time(factor, Duration::ZERO)
    }

    fn needed_ms(&self, factor: f64) -> f64 {
        as_f64(self.usual_ms) * factor * fraction(self.policy.slack_percent)
    }

    /// Returns what a place costs a task that goes at such a pace there, in core-milliseconds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "core-milliseconds of work are far below 2^52"
    )]
    pub(super) fn of(&self, site: &CandidateWorker, factor: f64) -> u64 {
        let times = if self.is_pressed || self.ends_late(factor) && !self.is_overdue {
            self.when_pressed(site, factor)
        } else {
            self.when_there_is_time(site, factor)
        };
        (as_f64(self.work) * times) as u64
    }

    /// It pays the time that it needs there, and for what isn't known.
    fn when_pressed(&self, site: &CandidateWorker, factor: f64) -> f64 {
        let mut times = factor;
        if self.is_late_by_pace(factor) {
            times += fraction(self.policy.late_cost_percent);
        }
        if !site.pace.is_known {
            times += fraction(self.policy.unknown_pace_cost_percent);
        }
        times
    }

    /// It pays the place that others could have used better; a worker that isn't known costs a
    /// task nothing that will tell its pace.
    fn when_there_is_time(&self, site: &CandidateWorker, factor: f64) -> f64 {
        if self.explores(site) {
            return 0.0;
        }
        let here = site.pace.factor;
        fraction(self.policy.usual_pace_cost_percent) * factor / (here * here)
    }

    fn explores(&self, site: &CandidateWorker) -> bool {
        !self.is_gang && !site.pace.is_known && !site.pace_pending
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
    /// Returns what the pace of workers costs a step; none where workers are alike.
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
        let due_ms = job.due_unix_ms(key.occurrence);
        let objective_ms = job.objective_unix_ms(key.occurrence);
        let late_bound = u64::from(self.policy.turns.late_bound);
        let late_bound_ms = due_ms + late_bound * objective_ms.saturating_sub(due_ms);
        let run_time = self.run_time(key, step, now);
        let is_pressed = candidate.rank <= URGENT_RANK;
        let time = if is_pressed {
            run_time.typical
        } else {
            run_time.p90
        };
        let left_ms = objective_ms.saturating_sub(now.unix_ms);
        Some(PaceCosts {
            work: step
                .reserved_resources()
                .weight()
                .saturating_mul(self.estimate_ms(step))
                / 1000,
            usual_ms: millis(time),
            left_ms: left_ms.saturating_sub(job.accepted.spec.downstream_path_ms(key.step)),
            is_pressed,
            is_overdue: now.unix_ms > late_bound_ms,
            is_gang: step.gang,
            policy: *self.paces.policy(),
        })
    }

    /// Returns what makes workers worse places for a step.
    pub(super) fn place_costs<'a>(&'a self, step: &StepSpec, key: &'a GroupKey) -> PlaceCosts<'a> {
        let group = self.group_of(key);
        let tasks = group.map_or(&[][..], |group| &group.tasks);
        PlaceCosts {
            work: step
                .reserved_resources()
                .weight()
                .saturating_mul(self.estimate_ms(step))
                / 1000,
            has_failed: group.is_some_and(|group| group.max_failures() > 0),
            failed_at: tasks.iter().filter_map(|t| t.failed_at.as_ref()).collect(),
            suspect: tasks
                .iter()
                .any(|t| t.is_waiting() && !t.losses.is_empty())
                .then_some(&key.job),
            far_factor: self.bounds.far_factor,
            policy: &self.policy.places,
        }
    }
}

impl Worker {
    /// Tells whether it has a run of another job under which workers were lost before.
    fn has_suspect_beside(&self, job: &JobId) -> bool {
        let mut others = self.runs.iter().filter(|(task, _)| task.group.job != *job);
        others.any(|(_, run)| run.suspicion != CrashSuspicion::None)
    }
}
