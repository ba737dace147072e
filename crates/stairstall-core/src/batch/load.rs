//! Load of the fleet, and forecasts of when newly submitted work would start.
//!
//! The planner summarizes its work and workers in a [`LoadSummary`]. From that, any daemon derives
//! the [`StartForecast`] of a [`ResourceRequest`] that a caller submits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{AcceptedJob, Resources, StepSpec};
use crate::{CustomerId, ServiceId};

mod fleet;
mod forecast;
mod work;

pub use fleet::FleetHistory;
pub use work::{CustomerBacklog, ResourceTime, ResourceTotal, RunningWork, WaitingWork};

/// Maximum number of entries in each list of a summary. Omitted entries make forecasts more
/// optimistic.
pub(super) const MAX_SUMMARY_ENTRIES: usize = 16;
/// Maximum number of labels in a summary.
pub(super) const MAX_LABELS: usize = 64;

/// Forecast of the time until work starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartForecast {
    /// Lower bound of the time until the start. It holds unless work that is scheduled first is
    /// cancelled or preempted by urgent work.
    pub earliest: Duration,
    /// Expected time until the start.
    pub likely: Duration,
}

/// Resources that submitted work requests for its start.
#[derive(Debug, Clone, Copy)]
pub struct ResourceRequest<'a> {
    /// Service whose workers run the work.
    pub service: &'a ServiceId,
    /// Priority of the queue.
    pub priority: u8,
    /// Customer that the work belongs to, if any.
    pub customer: Option<&'a CustomerId>,
    /// Resources of each task.
    pub needs: Resources,
    /// Number of tasks that have to start together.
    pub gang_size: u32,
}

impl<'a> ResourceRequest<'a> {
    /// Creates the request of a step of a job.
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

    /// Returns the total resources that have to be free for the start.
    #[must_use]
    pub fn total(&self) -> ResourceTotal {
        ResourceTotal::of(&self.needs, self.gang_size)
    }
}

/// Workers of one service and capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerKind {
    /// Service whose tasks the workers run.
    pub service: ServiceId,
    /// Capacity of each worker; the largest one if kinds are merged.
    pub capacity: Resources,
    /// Number of workers, including those that are temporarily away.
    pub count: u32,
    /// Number of workers that are away or get no new tasks.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub away: u32,
    /// Time since the number of workers last grew, in milliseconds.
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

/// Small snapshot of the load that the planner sends to all daemons.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadSummary {
    /// Fencing token of the tenure that made the summary.
    pub token: u64,
    /// Revision, which increases within a tenure.
    pub revision: u64,
    /// When the summary was made, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// For how long the planner had known the whole load, in milliseconds.
    pub observed_ms: u64,
    /// Workers by kind.
    pub workers: Vec<WorkerKind>,
    /// All labels that workers have or recently had; `None` if there are too many.
    pub labels: Option<Vec<String>>,
    /// Resources held by running work, by rank and expected end.
    #[serde(rename = "busy", skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<RunningWork>,
    /// Work that waits for capacity.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub waiting: Vec<WaitingWork>,
    /// Backlog of each customer by priority; the largest ones if there are many.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<CustomerBacklog>,
    /// Learned run times of queues relative to the callers' estimates.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<QueueRunTime>,
    /// Accelerators that urgent jobs requested recently; at most as many are kept free as headroom.
    pub urgent_accelerators: u32,
}

/// Learned run time of a queue relative to its callers' estimates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRunTime {
    /// Name of the queue.
    pub queue: String,
    /// Typical run time of a task in thousandths of its estimate.
    pub typical_permille: u32,
}

impl LoadSummary {
    /// Returns whether this summary replaces another one: one of a later tenure, or a later one of
    /// the same tenure.
    #[must_use]
    pub fn is_later_than(&self, other: &Self) -> bool {
        (self.token, self.revision) > (other.token, other.revision)
    }

    /// Returns the typical run time of work of a queue, or the caller's estimate if none was
    /// learned.
    #[must_use]
    pub fn typical_run_time(&self, queue: &str, estimate: Duration) -> Duration {
        let known = self.queues.iter().find(|entry| entry.queue == queue);
        known.map_or(estimate, |known| {
            estimate.saturating_mul(known.typical_permille) / 1000
        })
    }
}
