use std::fmt;

use crate::placement::{HomeBlock, JobKey, JobState};

/// Id of a write to a job record, unique within a tenure. It matches results to writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

/// Result of a write to a job record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// The record was written.
    Done,
    /// The store can't be reached at present; the write is retried.
    Unreachable,
    /// A holder with a higher fencing token wrote the record. This holder must not act on the job
    /// any more.
    Superseded,
}

/// Kind of a placement decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DecisionKind {
    /// A job was assigned a block.
    Placed,
    /// A job waits.
    Waiting,
    /// A job is preempted by another.
    Preempted,
    /// The run of a job was stopped, and the job waits to be retried.
    Stopped,
    /// A job has ended.
    Ended,
    /// The run of a job was taken over from an earlier tenure.
    TakenOver,
}

impl DecisionKind {
    /// Returns the name of the kind, as used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Waiting => "waits",
            Self::Preempted => "gives-way",
            Self::Stopped => "stopped",
            Self::Ended => "over",
            Self::TakenOver => "taken-over",
        }
    }
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A placement decision, for the log and for `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The job that the decision is about.
    pub job: JobKey,
    /// Kind of the decision.
    pub kind: DecisionKind,
    /// What was chosen and why, and which alternatives were rejected.
    pub text: String,
}

/// An action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write the new state of a job to the store and pass the result to
    /// [`Scheduler::handle_write_result`](super::Scheduler::handle_write_result). The write
    /// replaces earlier ones of the same job.
    Write {
        /// Id of the write.
        id: WriteId,
        /// The job.
        job: JobKey,
        /// New state of the job.
        state: JobState,
        /// Work saved by the last checkpoint, in milliseconds.
        saved_ms: u64,
        /// Whether an attempt before this state may have run.
        started: bool,
        /// Number of worker crashes counted against the job.
        crashes: u32,
    },
    /// Store the home blocks, so that they stay in place when another holder takes over.
    StoreHomes(Vec<HomeBlock>),
    /// Log and count a decision.
    LogDecision(Decision),
    /// Alert the operators.
    Alarm(String),
}
