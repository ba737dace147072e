//! One run of a task at a worker.

use std::time::Duration;

use crate::Timestamp;
use crate::batch::{Incarnation, Resources};
use crate::time::millis;

/// Where a run stands at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::batch::planner) enum RunState {
    /// Its place is kept; room may still have to become free.
    Planned,
    /// A start was sent.
    Starting,
    /// It is there.
    Running,
    /// A stop was sent.
    Stopping,
}

/// What the workers that were lost under a task say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::batch::planner) enum CrashSuspicion {
    /// None was lost.
    None,
    /// It may have crashed them.
    Some,
    /// The next crash fails it.
    LastAttempt,
}

/// One run of a task at a worker.
#[derive(Debug, Clone)]
pub(in crate::batch::planner) struct Run {
    pub(in crate::batch::planner) number: u32,
    pub(in crate::batch::planner) room: Resources,
    pub(in crate::batch::planner) state: RunState,
    /// 0 for a customer's own share, else one more than the queue's priority.
    pub(in crate::batch::planner) rank: u8,
    pub(in crate::batch::planner) gang: bool,
    pub(in crate::batch::planner) checkpoints: bool,
    /// Whether it runs until its job is cancelled.
    pub(in crate::batch::planner) lasts: bool,
    /// Whether it serves users of its own.
    pub(in crate::batch::planner) serves: bool,
    /// Whether it takes what others leave unused.
    pub(in crate::batch::planner) fills: bool,
    /// How long it should take here, in milliseconds.
    pub(in crate::batch::planner) expected_ms: u64,
    /// When the present state began.
    pub(in crate::batch::planner) since: Timestamp,
    /// When the last order about it was sent.
    pub(in crate::batch::planner) ordered_at: Timestamp,
    /// When the worker last answered an order about it, or its start was given up without an answer: a
    /// later report must name it.
    pub(in crate::batch::planner) answered_at: Option<Timestamp>,
    /// Stops that got no answer.
    pub(in crate::batch::planner) stops: u8,
    /// Starts that were sent.
    pub(in crate::batch::planner) tries: u8,
    /// Until when its start may still be carried out, by this incarnation of its worker or the next;
    /// none once that is ruled out, or if the worker gets a new ID on every restart.
    pub(in crate::batch::planner) late_start_until: Option<Timestamp>,
    pub(in crate::batch::planner) percent: u8,
    /// When the percentage last rose.
    pub(in crate::batch::planner) progressed_at: Timestamp,
    /// When the worker last reported it.
    pub(in crate::batch::planner) reported_at: Timestamp,
    /// Since when its task is done by another run.
    pub(in crate::batch::planner) redundant_since: Option<Timestamp>,
    /// When it began, and the percentage it began at.
    pub(in crate::batch::planner) began: Option<(Timestamp, u8)>,
    /// Until when, and until which percentage, its worker's pace was learnt from it.
    pub(in crate::batch::planner) pace_sampled: Option<(Timestamp, u8)>,
    /// Whether it goes on from a checkpoint or under a new planner, so that only its first report
    /// tells where it began.
    pub(in crate::batch::planner) resumes: bool,
    /// Whether it is known only from what an earlier planner wrote down.
    pub(in crate::batch::planner) restored: bool,
    /// What the workers that were lost under its task before say of it.
    pub(in crate::batch::planner) suspicion: CrashSuspicion,
    /// Whether its worker has said that it took it: a place alone is no proof that a start was sent.
    pub(in crate::batch::planner) start_confirmed: bool,
    /// Which life of its worker was told to start it last, or lists it.
    pub(in crate::batch::planner) incarnation: Option<Incarnation>,
    /// The token that the last start of it brought; none was sent to a run that was found.
    pub(in crate::batch::planner) fence: u64,
    /// Whether a report of that life has listed it.
    pub(in crate::batch::planner) is_listed: bool,
    /// The change of its job that writes its place down; no start is sent before that lasts.
    pub(in crate::batch::planner) placement_change: u64,
}

impl Run {
    pub(in crate::batch::planner) fn set_state(&mut self, state: RunState, at: Timestamp) {
        self.state = state;
        self.since = at;
    }

    /// Returns whether its start may still be carried out although no report lists the run.
    pub(in crate::batch::planner) fn may_start_late(&self, at: Timestamp) -> bool {
        self.late_start_until.is_some_and(|until| at <= until)
    }

    /// Tells whether it may be stopped for work of `rank`; what lasts gives way to nothing.
    pub(in crate::batch::planner) const fn may_give_way_to(&self, rank: u8) -> bool {
        self.rank > rank && !self.lasts && !matches!(self.state, RunState::Stopping)
    }

    /// Tells whether it has to be looked at as time passes.
    pub(in crate::batch::planner) const fn is_unsettled(&self) -> bool {
        matches!(self.state, RunState::Planned | RunState::Stopping)
            || self.redundant_since.is_some()
    }

    /// Returns the work that a stop would throw away, in core-milliseconds.
    pub(in crate::batch::planner) fn lost_work(
        &self,
        now: Timestamp,
        restore_cost: Duration,
    ) -> u64 {
        let ran = self
            .began
            .map_or(0, |(at, _)| millis(now - at))
            .min(if self.checkpoints {
                millis(restore_cost)
            } else {
                u64::MAX
            });
        ran.saturating_mul(self.room.weight()) / 1000
    }
}
