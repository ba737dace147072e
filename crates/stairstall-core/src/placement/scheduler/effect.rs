use std::fmt;

use crate::placement::{HomeBlock, JobKey, JobState};

/// Names a write of one tenure, so that answers are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

/// What became of a write to a job's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResult {
    /// It stands in the store.
    Done,
    /// The store can't be reached now; the write is tried again.
    Unreachable,
    /// A holder with a higher token wrote the record: this one must leave the job alone.
    Superseded,
}

/// What kind of decision was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DecisionKind {
    /// A job was given a block.
    Placed,
    /// A job waits.
    Waiting,
    /// A job gives way to another.
    Preempted,
    /// A job is stopped, and tried again where it may be.
    Stopped,
    /// A job is over.
    Ended,
    /// A job of an earlier tenure was taken over.
    TakenOver,
}

impl DecisionKind {
    /// Returns the word used in logs.
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
    /// About which job.
    pub job: JobKey,
    /// What kind.
    pub kind: DecisionKind,
    /// What was chosen, why, and what was passed over.
    pub text: String,
}

/// Something for the daemon to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Write a job's new state to the store, in place of earlier writes, and answer.
    Write {
        /// Names the write.
        id: WriteId,
        /// The job.
        job: JobKey,
        /// Its new state.
        state: JobState,
        /// Work that its last checkpoint holds, in milliseconds.
        saved_ms: u64,
        /// Whether an attempt before this state may have run.
        started: bool,
        /// Workers that crashed under it.
        crashes: u32,
    },
    /// Keep the home blocks for the next holder, so that they stay where they are.
    StoreHomes(Vec<HomeBlock>),
    /// Log a decision.
    LogDecision(Decision),
    /// Tell operators.
    Alarm(String),
}
