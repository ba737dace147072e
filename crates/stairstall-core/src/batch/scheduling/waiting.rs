//! Why a job waits, as reported to operators and callers.

use std::fmt;
use std::time::Duration;

use super::Timeliness;
use crate::WorkerId;
use crate::time::millis;

/// What a job waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// The time of its next scheduled occurrence.
    ScheduledTime,
    /// An earlier step of the same job.
    EarlierStep,
    /// Capacity; other work is scheduled first.
    Capacity,
    /// Capacity reserved for it, which should be free after this time.
    ReservedCapacity(Duration),
    /// Capacity that is free but kept as headroom for urgent work.
    Headroom,
    /// Capacity near its data, or on a single rack; it fits elsewhere.
    Locality,
    /// Answers to other starts, of which only so many may be under way.
    StartWindow,
    /// Capacity that is free but reserved for gangs that come before it.
    ReservedForOthers,
    /// Capacity on workers that may not list their run ends.
    UnverifiedWorkers,
    /// Capacity that guaranteed jobs could not claim any more.
    KeptForGuarantees,
    /// Capacity held by runs that its rank can't preempt.
    NotPreemptible,
    /// Its start: it has placements, but runs are still being stopped there or the record is still
    /// being stored.
    PendingStart,
    /// The end of the lease of a run that an earlier planner started, at a worker that does not answer.
    EarlierLease {
        /// Number of the run.
        run: u32,
        /// The worker.
        worker: WorkerId,
        /// How long the lease may still last.
        left: Duration,
    },
}

impl WaitReason {
    /// Returns the text shown to operators, without details.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::ScheduledTime => "its time",
            Self::EarlierStep => "an earlier step",
            Self::Capacity => "room, behind others",
            Self::ReservedCapacity(_) => "room that is kept for it",
            Self::Headroom => "room that is kept for urgent work",
            Self::Locality => "room near its data or on one rack",
            Self::StartWindow => "answers to the starts before it",
            Self::ReservedForOthers => "room that is reserved for a gang before it",
            Self::UnverifiedWorkers => "workers that may not list their run ends",
            Self::KeptForGuarantees => "room that guaranteed jobs may claim",
            Self::NotPreemptible => "room that is held by work it can't preempt",
            Self::PendingStart => "its start",
            Self::EarlierLease { .. } => "the end of a lease at a worker that does not answer",
        }
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EarlierLease { run, worker, left } => {
                let left_ms = millis(*left);
                write!(
                    f,
                    "run {run} on {worker}: its lease may run for {left_ms} ms more"
                )
            }
            _ => f.write_str(self.as_str()),
        }
    }
}

/// Scheduling state of a waiting job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitStatus {
    /// Rank: 0 for a guaranteed job, 1 for other urgent work, then by priority.
    pub rank: u8,
    /// Whether the job can still end in time if it starts now.
    pub timeliness: Timeliness,
    /// Recent and committed usage of its customer, as time of the whole fleet.
    pub customer_usage: Duration,
    /// Mean usage of all customers, as time of the whole fleet.
    pub mean_usage: Duration,
    /// For how long the job has been eligible to start.
    pub eligible_for: Duration,
    /// What the job waits for.
    pub reason: WaitReason,
}
