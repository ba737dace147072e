//! What a run and its members can be.

use crate::{Timestamp, Verdict, WorkerId};

/// Where a member stands, as last reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MemberPhase {
    /// Nothing was heard yet.
    Unknown,
    /// The worker knows nothing of it.
    Absent,
    /// Resources are set aside.
    Reserved,
    /// The worker had no room.
    Refused,
    /// It runs under a short lease.
    Started,
    /// It runs, and the worker knows that all members do.
    Confirmed,
    /// Its progress is saved.
    Checkpointed,
    /// It was stopped; whether it ever started is known.
    Stopped {
        /// Whether it ever started.
        started: bool,
    },
    /// It ended by itself.
    Finished {
        /// Whether it did what it should.
        success: bool,
    },
    /// Its worker is lost, and its lease surely ended.
    Lost,
}

impl MemberPhase {
    /// Tells whether the member holds nothing any more and never will.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(
            self,
            Self::Stopped { .. } | Self::Finished { .. } | Self::Lost | Self::Refused
        )
    }

    /// Tells whether the member's worker said that it runs.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        matches!(self, Self::Started | Self::Confirmed | Self::Checkpointed)
    }

    /// Tells whether the member surely never started.
    pub(super) const fn never_started(&self) -> bool {
        matches!(
            self,
            Self::Absent | Self::Reserved | Self::Refused | Self::Stopped { started: false }
        )
    }
}

/// One member of a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Member {
    /// Its worker.
    pub worker: WorkerId,
    /// The worker's incarnation that was given the member.
    pub incarnation: u64,
    /// Accelerators, one bit each.
    pub mask: u64,
    /// Where it stands.
    pub phase: MemberPhase,
}

impl Member {
    /// Creates a member that nothing was heard of.
    #[must_use]
    pub const fn new(worker: WorkerId, incarnation: u64, mask: u64) -> Self {
        Self {
            worker,
            incarnation,
            mask,
            phase: MemberPhase::Unknown,
        }
    }
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StopReason {
    /// Not all members could be reserved or started.
    NotStarted,
    /// A member was lost or stopped by itself.
    MemberLost,
    /// A member failed.
    MemberFailed,
    /// It gives way to other work.
    GaveWay,
    /// Its caller wants it ended.
    Cancelled,
}

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunPhase {
    /// The placement is being recorded, and earlier work cleared away.
    Preparing,
    /// A new holder waits to hear of every member.
    Recovering,
    /// Members are being reserved.
    Reserving {
        /// When it is given up.
        until: Timestamp,
    },
    /// Members are being started.
    Starting {
        /// When it is given up.
        until: Timestamp,
    },
    /// All members run.
    Running,
    /// Progress is being saved before the stop.
    Checkpointing {
        /// When the stop follows in any case.
        until: Timestamp,
    },
    /// Members are being stopped.
    Stopping {
        /// Why.
        reason: StopReason,
    },
    /// It is over.
    Over {
        /// How.
        ending: RunOutcome,
    },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// All members ended by themselves.
    Finished {
        /// Whether all did what they should.
        success: bool,
    },
    /// It was stopped.
    Stopped {
        /// Why.
        reason: StopReason,
        /// Whether any member may have run.
        verdict: Verdict,
    },
}

/// What a member's worker should be told next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberOrder {
    /// Reserve it.
    Reserve,
    /// Start it under a short lease.
    Start,
    /// Confirm it.
    Confirm,
    /// Save its progress.
    Checkpoint,
    /// Stop it.
    Stop,
}
