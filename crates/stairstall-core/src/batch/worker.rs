//! Workers, their reports and their answers to orders.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Resources, TaskKey};
use crate::{RackId, ServiceId, WorkerId, ZoneId};

/// Identifies one process lifetime of a worker by its start, in milliseconds since the Unix epoch
/// by the worker's own clock.
///
/// A worker that crashes may restart under the same id. It then has no state from before, and both
/// its clock and the numbers of its run ends start again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its start, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_unix_ms(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// Returns when it started, in milliseconds since the Unix epoch, by the worker's own clock.
    #[must_use]
    pub const fn unix_ms(self) -> u64 {
        self.0
    }
}

/// A worker as the platform's directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Id of the worker, which several incarnations may share.
    pub id: WorkerId,
    /// Incarnation of the worker; none where the directory does not say.
    pub incarnation: Option<Incarnation>,
    /// Where the worker listens, as `IP:PORT`.
    pub address: String,
    /// Service whose tasks the worker runs.
    pub service: ServiceId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Rack of the worker.
    pub rack: RackId,
    /// All labels of the worker.
    pub labels: BTreeSet<String>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is leaving.
    pub draining: bool,
    /// How much longer a leaving worker stays at most, in milliseconds, where that is known.
    pub remaining_ms: Option<u64>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunEndKind {
    /// The work is done.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease of the run expired.
    LeaseExpired,
    /// Another member of the run's gang ended.
    GangBroken,
    /// The other members of the run's gang did not join in time.
    GangIncomplete,
}

impl RunEndKind {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangBroken => "broken",
            Self::GangIncomplete => "alone",
        }
    }
}

/// A run that a worker reports as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Last checkpoint, if any.
    pub checkpoint: Option<String>,
    /// Progress in percent of the work.
    pub percent: u8,
}

/// A run that has ended, which its worker reports until the end is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end, counting from 1 in each incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: RunEndKind,
    /// Last checkpoint, if any.
    pub checkpoint: Option<String>,
}

/// A worker's report of its current runs and run ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Incarnation that reports; none where the worker does not say.
    pub incarnation: Option<Incarnation>,
    /// The worker's own clock, in milliseconds.
    pub clock_ms: u64,
    /// Current runs.
    pub running: Vec<RunningTask>,
    /// Run ends that are not yet acknowledged; some may be missing if `truncated` is set.
    pub ended: Vec<RunEnd>,
    /// Whether run ends were omitted to limit the length.
    pub truncated: bool,
    /// Length of the response, in bytes.
    pub bytes: u32,
}

/// A request to a worker to report, which also renews leases and acknowledges run ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportRequest {
    /// Fencing token.
    pub token: u64,
    /// New end of the leases of all runs, on the worker's clock; none does not renew them.
    pub deadline_ms: Option<u64>,
    /// Highest number of a run end that the worker may forget.
    pub acknowledged_end: u64,
    /// How long the worker may wait for a run to end before it reports.
    pub max_wait: Duration,
}

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run's number is not above one that was stopped or has ended there.
    OldRun,
    /// The deadline has passed on the worker's clock.
    Late,
    /// There is not enough free capacity.
    NoRoom,
    /// The order carries no valid ticket.
    NoTicket,
    /// Any other reason.
    Other,
}

/// Result of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker has confirmed the start.
    Started {
        /// The worker's own clock, in milliseconds.
        clock_ms: u64,
    },
    /// The worker refused the start and did nothing.
    Refused(RefusalReason),
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation of the worker answered: the intended one has ended.
    OtherLife,
    /// The order was not sent because the worker could not be reached.
    NotSent,
    /// The planner did not send the order because its own lease was not valid. This says nothing
    /// about the worker.
    Withheld,
    /// The order may have been carried out, or may be later.
    Unknown,
}

impl StartOutcome {
    /// Returns whether the worker has answered.
    #[must_use]
    pub const fn is_answer(self) -> bool {
        match self {
            Self::Started { .. } | Self::Refused(_) | Self::Unhealthy | Self::OtherLife => true,
            Self::Withheld | Self::NotSent | Self::Unknown => false,
        }
    }
}

/// Result of a stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The worker accepted the order.
    Taken,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the worker answered: the intended one has ended.
    OtherLife,
    /// The order may have been carried out, or may be later.
    Unknown,
}
