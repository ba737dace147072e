//! One run of a task on a worker.

use std::time::Duration;

use super::super::victims::Preemptor;
use crate::Timestamp;
use crate::batch::{Incarnation, Resources, StepSpec};
use crate::time::millis;

/// The state of a run on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::batch::planner) enum RunState {
    /// It is placed, but no start was sent: its resources may still have to become free.
    Planned,
    /// A start order was sent.
    Starting,
    /// It runs on the worker, or is assumed to because an earlier planner stored its placement.
    Running,
    /// A stop order was sent.
    Stopping,
}

/// How strongly a task is suspected of crashing its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::batch::planner) enum CrashSuspicion {
    /// No worker was lost while it ran.
    None,
    /// It may have crashed workers that were lost while it ran.
    Some,
    /// The next crash makes it fail, or it is long-running and has reached that number of crashes.
    LastAttempt,
}

/// One run of a task on a worker.
#[derive(Debug, Clone)]
pub(in crate::batch::planner) struct Run {
    /// Run number, which increases with each placement of tasks of the step.
    pub(in crate::batch::planner) number: u32,
    /// Resources that it occupies on its worker.
    pub(in crate::batch::planner) resources: Resources,
    pub(in crate::batch::planner) state: RunState,
    /// 0 for a guaranteed job, otherwise the queue's priority plus one. Lower numbers go first.
    pub(in crate::batch::planner) rank: u8,
    /// Whether it belongs to a gang.
    pub(in crate::batch::planner) gang: bool,
    /// Whether it writes checkpoints.
    pub(in crate::batch::planner) checkpoints: bool,
    /// Whether the step is long-running: it runs until its job is cancelled.
    pub(in crate::batch::planner) long_running: bool,
    /// Whether the step limits how many of its tasks may be away from their work.
    pub(in crate::batch::planner) limits_unavailable: bool,
    /// Whether the step serves users and has a latency target.
    pub(in crate::batch::planner) has_latency_target: bool,
    /// Whether the step uses only the CPU that other runs leave unused.
    pub(in crate::batch::planner) uses_spare_cpu: bool,
    /// Expected duration on this worker, in milliseconds.
    pub(in crate::batch::planner) expected_ms: u64,
    /// When it entered its current state. For a planned run, when its placement was stored.
    pub(in crate::batch::planner) since: Timestamp,
    /// When the last order for it was sent.
    pub(in crate::batch::planner) ordered_at: Timestamp,
    /// When the worker answered an order for it, or its start was given up without an answer. A
    /// report requested later must list the run.
    pub(in crate::batch::planner) answered_at: Option<Timestamp>,
    /// Number of stop orders that were not answered.
    pub(in crate::batch::planner) unanswered_stops: u8,
    /// Number of start orders that were sent.
    pub(in crate::batch::planner) start_attempts: u8,
    /// Until when its start may still be carried out, by this incarnation of its worker or the
    /// next. `None` once that is ruled out, or if the worker gets a new ID on every restart.
    pub(in crate::batch::planner) late_start_until: Option<Timestamp>,
    /// Its progress according to the worker's last report, in percent.
    pub(in crate::batch::planner) percent: u8,
    /// When `percent` last increased.
    pub(in crate::batch::planner) progressed_at: Timestamp,
    /// When the worker last listed it in a report.
    pub(in crate::batch::planner) reported_at: Timestamp,
    /// Since when it is redundant, because another run has finished its task.
    pub(in crate::batch::planner) redundant_since: Option<Timestamp>,
    /// When it began, and the percentage that it began at.
    pub(in crate::batch::planner) began: Option<(Timestamp, u8)>,
    /// Time and percentage up to which its worker's pace was learned from it.
    pub(in crate::batch::planner) pace_sampled: Option<(Timestamp, u8)>,
    /// Whether it continues from a checkpoint or was restored by a new planner, so that only its
    /// first report tells where it began.
    pub(in crate::batch::planner) resumes: bool,
    /// Whether it is known only from a placement stored by an earlier planner.
    pub(in crate::batch::planner) restored: bool,
    /// How strongly its task is suspected of crashing its workers.
    pub(in crate::batch::planner) suspicion: CrashSuspicion,
    /// Whether its worker has confirmed the start. A placement alone doesn't prove that a start was
    /// sent.
    pub(in crate::batch::planner) start_confirmed: bool,
    /// The incarnation of its worker that was last ordered to start it, or that lists it.
    pub(in crate::batch::planner) incarnation: Option<Incarnation>,
    /// Fencing token of its last start order; 0 for an adopted run, to which this planner sent
    /// none.
    pub(in crate::batch::planner) fencing_token: u64,
    /// Whether a report of that incarnation has listed it.
    pub(in crate::batch::planner) is_listed: bool,
    /// The change of its job that contains its placement. No start is sent before that is stored.
    pub(in crate::batch::planner) placement_change: u64,
}

impl Run {
    /// Sets the state and when the run entered it.
    pub(in crate::batch::planner) fn set_state(&mut self, state: RunState, at: Timestamp) {
        self.state = state;
        self.since = at;
    }

    /// Returns whether its start may still be carried out although no report lists the run.
    pub(in crate::batch::planner) fn may_start_late(&self, at: Timestamp) -> bool {
        self.late_start_until.is_some_and(|until| at <= until)
    }

    /// Returns whether a step may preempt it.
    ///
    /// A long-running run is only preempted by a guaranteed job. Where its step limits how many of
    /// its tasks may be away, the limit is applied to the victims of each search, and a gang is
    /// never preempted.
    pub(in crate::batch::planner) const fn is_preemptible_by(&self, preemptor: Preemptor) -> bool {
        let has_limit = self.limits_unavailable;
        let gives_way = !self.long_running || preemptor.is_guaranteed && !(has_limit && self.gang);
        let is_protected = self.rank <= preemptor.protected_rank;
        gives_way && !is_protected && !matches!(self.state, RunState::Stopping)
    }

    /// Returns whether it and a step would disturb each other on one worker: work that uses spare
    /// CPU, and work with a latency target.
    pub(in crate::batch::planner) const fn disturbs(&self, step: &StepSpec) -> bool {
        step.uses_spare_cpu && self.has_latency_target
            || step.has_latency_target() && self.uses_spare_cpu
    }

    /// Returns whether it has to be checked as time passes.
    pub(in crate::batch::planner) const fn is_unsettled(&self) -> bool {
        matches!(self.state, RunState::Planned | RunState::Stopping)
            || self.redundant_since.is_some()
    }

    /// Returns the work that a stop would discard, in core-milliseconds. A long-running run only
    /// has to start again.
    pub(in crate::batch::planner) fn lost_work(
        &self,
        now: Timestamp,
        restore_cost: Duration,
    ) -> u64 {
        let ran = self.began.map_or(0, |(at, _)| millis(now - at)).min(
            if self.checkpoints || self.long_running {
                millis(restore_cost)
            } else {
                u64::MAX
            },
        );
        ran.saturating_mul(self.resources.weight()) / 1000
    }
}
