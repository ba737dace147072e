use std::fmt;

use serde::{Deserialize, Serialize};

use crate::VmId;
use crate::placement::{Attempt, Capacity, JobKey, PlacedMember, Shape};

/// Names one member of one attempt at a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobKey,
    /// The attempt.
    pub attempt: Attempt,
    /// The member, counted from zero.
    pub member: u16,
}

impl TaskId {
    /// Creates the name of a member.
    #[must_use]
    pub const fn new(job: JobKey, attempt: Attempt, member: u16) -> Self {
        Self {
            job,
            attempt,
            member,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.job, self.attempt, self.member)
    }
}

/// What a worker needs to know of a task, and a successor to rebuild its job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Shape of the whole gang.
    pub shape: Shape,
    /// Where all members were placed, in order of member.
    pub members: Vec<PlacedMember>,
    /// Accelerators of the worker, one bit each.
    pub accelerators: u64,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// How long a checkpoint takes, in milliseconds, where the job can make one.
    pub checkpoint_ms: Option<u64>,
    /// Work to be done in all, in milliseconds.
    pub work_ms: u64,
    /// Work that an earlier attempt's checkpoint holds, in milliseconds.
    pub resume_ms: u64,
    /// What to run; the worker's business.
    pub payload: String,
}

/// What is asked of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Sets resources aside; nothing runs yet.
    Reserve {
        /// The task.
        spec: Box<TaskSpec>,
        /// Milliseconds until the reservation lapses.
        lease_ms: u64,
    },
    /// Starts a reserved task under a short lease.
    Start {
        /// Milliseconds until the task is stopped unless confirmed.
        lease_ms: u64,
    },
    /// Says that all members run: from now on each sync renews the lease.
    Confirm,
    /// Saves the task's progress.
    Checkpoint,
    /// Limits the task's processor time.
    Throttle {
        /// Percent of what it asked for.
        percent: u8,
    },
    /// Stops the task, or gives its reservation up.
    Stop,
    /// Drops the record of a task that is over.
    Forget,
}

/// An order for one task; sending it twice does no more than sending it once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The task.
    pub task: TaskId,
    /// What to do.
    #[serde(flatten)]
    pub order: Order,
}

/// What the placement holder sends to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The daemon that sends it.
    pub holder: VmId,
    /// Fencing token; the worker refuses one that is lower than any before.
    pub token: u64,
    /// Counts the requests of one tenure to this worker; it refuses one that is
    /// not newer than the last it served, so that a delayed request does nothing.
    pub sequence: u64,
    /// Version of the last reply; the answer tells only what changed since.
    pub since: u64,
    /// New lease of every confirmed task, in milliseconds; zero renews nothing.
    pub lease_ms: u64,
    /// Orders.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub commands: Vec<Command>,
}

/// Where a task stands at its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "kebab-case")]
pub enum TaskPhase {
    /// Resources are set aside.
    Reserved,
    /// The worker had no room; nothing ran.
    Refused,
    /// It runs under a short lease.
    Started,
    /// It runs and all members are known to run.
    Confirmed,
    /// Its progress is saved; it still runs.
    Checkpointed,
    /// It was stopped or its lease lapsed.
    Stopped {
        /// Whether it ever started.
        started: bool,
    },
    /// It ended by itself.
    Finished {
        /// Whether it did what it should.
        success: bool,
        /// What it answered.
        output: String,
    },
}

/// One task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// Where it stands.
    #[serde(flatten)]
    pub phase: TaskPhase,
    /// Work that a checkpoint holds, in milliseconds.
    pub saved_ms: u64,
    /// What the task is.
    pub spec: Box<TaskSpec>,
}

/// A worker's usage as it was some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// How old the figures are, in milliseconds.
    pub age_ms: u64,
    /// Accelerators in use.
    pub accelerators: u16,
    /// Processors in use.
    pub processors: u16,
    /// Memory in use, in megabytes.
    pub memory_mb: u32,
}

/// A worker's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Drawn at each start of the worker; another one has forgotten every task.
    pub incarnation: u64,
    /// Version of this reply, for the next request.
    pub version: u64,
    /// What the worker has.
    pub capacity: Capacity,
    /// Usage, with a lag.
    pub usage: Usage,
    /// Tasks that changed since the version asked for, and those that the commands name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskReport>,
}

/// A worker's refusal of a token or sequence that is too low; nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleRequest {
    /// The highest token it has seen.
    pub highest: u64,
}
