use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Resources, TaskKey};
use crate::{RackId, ServiceId, WorkerId, ZoneId};

/// Tells the lives of one worker apart: when a life began, in milliseconds since the Unix epoch by
/// the worker's own time of day.
///
/// A worker that crashes may start again under the id that it had. It then knows nothing of before,
/// and its clock and the numbers of its ends begin anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates it from the time at which the life began, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_unix_ms(unix_ms: u64) -> Self {
        Self(unix_ms)
    }
}

/// A worker as the platform's directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedWorker {
    /// Its name, which all its lives may share.
    pub id: WorkerId,
    /// Which of its lives this is; none where it does not say.
    pub incarnation: Option<Incarnation>,
    /// Where it listens, as `IP:PORT`.
    pub address: String,
    /// Whose tasks it runs.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// All its labels.
    pub labels: BTreeSet<String>,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it stays at least, in milliseconds, where it is leaving and says so.
    pub remaining_ms: Option<u64>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunEndKind {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited in vain for the other members of its gang.
    GangIncomplete,
}

impl RunEndKind {
    /// Returns the word used in logs.
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

/// One run at a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// Which of its runs.
    pub run: u32,
    /// Its last checkpoint, if any.
    pub checkpoint: Option<String>,
    /// How much of its work is done, in percent.
    pub percent: u8,
}

/// One end at a worker, which lists it until it may forget it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// Number in the life of the worker, rising from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Which of its runs.
    pub run: u32,
    /// How it ended.
    pub kind: RunEndKind,
    /// Its last checkpoint, if any.
    pub checkpoint: Option<String>,
}

/// What a worker says it runs and what has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Which of the worker's lives answers; none where it does not say.
    pub incarnation: Option<Incarnation>,
    /// The worker's own clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended since what it may forget; `truncated` where not all were listed.
    pub ended: Vec<RunEnd>,
    /// Whether ends were left out for length.
    pub truncated: bool,
    /// Length of the answer as it came, in bytes.
    pub bytes: u32,
}

/// What to ask of a worker: renew, forget ends, report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportRequest {
    /// Fencing token.
    pub token: u64,
    /// Until when everything may run, on the worker's clock, where it is renewed.
    pub deadline_ms: Option<u64>,
    /// Highest end that it may forget.
    pub acknowledged_end: u64,
    /// How long it may wait for an end before it answers.
    pub max_wait: Duration,
}

/// Why a worker refused a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// It has seen a higher fencing token.
    Fenced,
    /// The run is not above one that was stopped or ended there.
    OldRun,
    /// The deadline is over on its clock.
    Late,
    /// There is no room.
    NoRoom,
    /// It brings no ticket that holds.
    NoTicket,
    /// Anything else.
    Other,
}

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Started {
        /// The worker's own clock, in milliseconds.
        clock_ms: u64,
    },
    /// It was refused and nothing was done.
    Refused(RefusalReason),
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another life of the worker answered: this one is over.
    OtherLife,
    /// It never left.
    NotSent,
    /// It may have been done, or may be done later.
    Unknown,
}

/// What became of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopOutcome {
    /// The worker took it.
    Taken,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life of the worker answered: this one is over.
    OtherLife,
    /// It may have been done, or may be done later.
    Unknown,
}
