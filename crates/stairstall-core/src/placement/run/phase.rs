//! Phases of a run and its members, and how a run ends.
//!
//! `explain` prints a [`RunPhase`] with `{:?}`, so the names of its variants and fields, and of
//! those inside it, are part of the output.

use crate::{Timestamp, Verdict, WorkerId};

/// Phase of a member, as last reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MemberPhase {
    /// No report yet.
    Unknown,
    /// The worker does not have the member.
    Absent,
    /// The resources of the member are reserved.
    Reserved,
    /// The worker had too little free capacity.
    Refused,
    /// The member runs under a short lease.
    Started,
    /// The member runs, and its worker was told that all members do.
    Confirmed,
    /// The member runs, and its progress is saved.
    Checkpointed,
    /// The member was stopped, or its lease expired.
    Stopped {
        /// Whether the member ever started.
        started: bool,
    },
    /// The member ended by itself.
    Finished {
        /// Whether the member succeeded.
        success: bool,
    },
    /// The worker was lost or restarted, so the member has ended: its lease has certainly
    /// expired, or its process is gone.
    Lost,
}

impl MemberPhase {
    /// Tells whether the member has released its resources for good.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        matches!(
            self,
            Self::Stopped { .. } | Self::Finished { .. } | Self::Lost | Self::Refused
        )
    }

    /// Tells whether the member runs, by the last report.
    #[must_use]
    pub const fn is_running(&self) -> bool {
        matches!(self, Self::Started | Self::Confirmed | Self::Checkpointed)
    }

    /// Tells whether the member has certainly never started.
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
    /// Worker of the member.
    pub worker: WorkerId,
    /// Incarnation of the worker that the member was assigned to.
    pub incarnation: u64,
    /// Accelerators, one bit each.
    pub mask: u64,
    /// Last reported phase.
    pub phase: MemberPhase,
}

impl Member {
    /// Creates a member without a report.
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
    /// A member was lost, or it was stopped without an order.
    MemberLost,
    /// A member failed.
    MemberFailed,
    /// The run is preempted.
    GaveWay,
    /// The caller cancelled the job.
    Cancelled,
}

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunPhase {
    /// The placement is being stored, and work on its capacity is being stopped.
    Preparing,
    /// A new holder waits for a report about every member.
    Recovering,
    /// Members are being reserved.
    Reserving {
        /// When the attempt is abandoned.
        until: Timestamp,
    },
    /// Members are being started.
    Starting {
        /// When the attempt is abandoned.
        until: Timestamp,
    },
    /// All members run.
    Running,
    /// Progress is being saved before the stop.
    Checkpointing {
        /// When the run is stopped, whether its progress is saved or not.
        until: Timestamp,
    },
    /// Members are being stopped.
    Stopping {
        /// Why.
        reason: StopReason,
    },
    /// The run has ended.
    Over {
        /// How it ended.
        ending: RunOutcome,
    },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// All members ended by themselves.
    Finished {
        /// Whether all members succeeded.
        success: bool,
    },
    /// The run was stopped.
    Stopped {
        /// Why.
        reason: StopReason,
        /// Whether any member may have run.
        verdict: Verdict,
    },
}

/// Next order for a member's worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MemberOrder {
    /// Reserve the resources of the member.
    Reserve,
    /// Start the member under a short lease.
    Start,
    /// Confirm that all members run.
    Confirm,
    /// Save the progress of the member.
    Checkpoint,
    /// Stop the member, or release its reservation.
    Stop,
}
