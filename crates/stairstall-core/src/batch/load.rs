//! How full the fleet is, and when work handed in now would start.
//!
//! The planner makes a [`LoadSummary`] of its work and workers; any daemon makes a
//! [`StartForecast`] from it for the [`ResourceRequest`] that a caller hands in.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{AcceptedJob, Resources, StepSpec};
use crate::{CustomerId, ServiceId};

mod fleet;
mod forecast;
mod work;

pub use fleet::FleetHistory;
pub use work::{CustomerBacklog, ResourceTime, ResourceTotal, RunningWork, WaitingWork};

/// Most entries of each list of a summary; what is left out makes a forecast more hopeful.
pub(super) const MAX_SUMMARY_ENTRIES: usize = 16;
/// Most labels that a summary names.
pub(super) const MAX_LABELS: usize = 64;

/// When work would start, from the moment of the forecast on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartForecast {
    /// No sooner than this, whatever goes well, unless work that comes first is cancelled or gives way
    /// to urgent work.
    pub earliest: Duration,
    /// When it should start.
    pub likely: Duration,
}

/// Work that a caller would hand in.
#[derive(Debug, Clone, Copy)]
pub struct ResourceRequest<'a> {
    /// Whose workers would run it.
    pub service: &'a ServiceId,
    /// The queue's priority.
    pub priority: u8,
    /// Whose it would be.
    pub customer: Option<&'a CustomerId>,
    /// What each task takes.
    pub needs: Resources,
    /// How many tasks have to start together.
    pub gang_size: u32,
}

impl<'a> ResourceRequest<'a> {
    /// Returns the shape of a step of a job.
    #[must_use]
    pub const fn for_step(step: &StepSpec, job: &'a AcceptedJob) -> Self {
        Self {
            service: &job.queue.service,
            priority: job.queue.priority,
            customer: job.customer.as_ref(),
            needs: step.reserved_resources(),
            gang_size: if step.gang { step.count } else { 1 },
        }
    }

    /// Returns the room that has to be free for its start.
    #[must_use]
    pub fn total(&self) -> ResourceTotal {
        ResourceTotal::of(&self.needs, self.gang_size)
    }
}

/// The largest that one kind of worker can hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerKind {
    /// Whose tasks they run.
    pub service: ServiceId,
    /// What each of them has.
    pub capacity: Resources,
    /// How many there are, those that are away for a while among them.
    pub count: u32,
    /// How many of them are away, or get nothing new.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub away: u32,
    /// For how long there have not been more and more of them, in milliseconds.
    #[serde(default)]
    pub steady_ms: u64,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// What the planner tells all daemons of its load; small and of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadSummary {
    /// The tenure that made it.
    pub token: u64,
    /// Rises within a tenure.
    pub revision: u64,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// How long the planner had known the whole load, in milliseconds.
    pub observed_ms: u64,
    /// The workers by kind.
    pub workers: Vec<WorkerKind>,
    /// All labels that workers have or had lately; none where there are too many to name.
    pub labels: Option<Vec<String>>,
    /// What runs, by rank and by when it should end.
    #[serde(rename = "busy", skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningWork>,
    /// What waits for room.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<WaitingWork>,
    /// Who waits, by priority; those with most work where there are many.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerBacklog>,
    /// How long the work of queues takes beside what callers estimate, where that was learnt.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<QueueRunTime>,
    /// Accelerators that urgent jobs asked for lately; as many may be kept free for them at most.
    pub urgent_accelerators: u32,
}

/// How long the work of a queue takes beside what its callers estimate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRunTime {
    /// The queue's name.
    pub queue: String,
    /// The typical time of a task in thousandths of its estimate.
    pub typical_permille: u32,
}

impl LoadSummary {
    /// Tells whether this replaces another one: a later tenure's does, then a later one.
    #[must_use]
    pub fn is_later_than(&self, other: &Self) -> bool {
        (self.token, self.revision) > (other.token, other.revision)
    }

    /// Returns how long work of a queue typically takes that its caller estimates.
    #[must_use]
    pub fn typical_run_time(&self, queue: &str, estimate: Duration) -> Duration {
        let known = self.queues.iter().find(|pace| pace.queue == queue);
        known.map_or(estimate, |pace| {
            estimate.saturating_mul(pace.typical_permille) / 1000
        })
    }
}
