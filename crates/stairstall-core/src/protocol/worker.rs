use std::fmt;

use serde::{Deserialize, Serialize};

use crate::VmId;
use crate::placement::{Attempt, Capacity, JobKey, PlacedMember, Shape};

/// Identifies a task: one member of one attempt at a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Attempt at the job.
    pub attempt: Attempt,
    /// Index of the member in the gang, from zero.
    pub member: u16,
}

impl TaskId {
    /// Creates the id of a member of an attempt.
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

/// Description of a task, for the worker that runs it and for a later placement holder that
/// rebuilds the job from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Shape of the entire gang.
    pub shape: Shape,
    /// Placement of all members, in the order of their index.
    pub members: Vec<PlacedMember>,
    /// Bit mask of the worker's accelerators that the task uses.
    pub accelerators: u64,
    /// Whether the job may run more than once.
    pub repeatable: bool,
    /// Duration of a checkpoint, in milliseconds, if the job supports checkpoints.
    pub checkpoint_ms: Option<u64>,
    /// Total work of the task, in milliseconds.
    pub work_ms: u64,
    /// Work saved by the checkpoint of an earlier attempt, in milliseconds.
    pub resume_ms: u64,
    /// What to run; interpreted only by the worker.
    pub payload: String,
}

/// The action that an order requests for a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Reserves resources for the task without starting it.
    Reserve {
        /// Description of the task.
        spec: Box<TaskSpec>,
        /// Milliseconds until the reservation expires.
        lease_ms: u64,
    },
    /// Starts a reserved task under a short lease.
    Start {
        /// Milliseconds until the worker stops the task unless it is confirmed.
        lease_ms: u64,
    },
    /// Confirms that all members of the gang run; from now on each sync renews the task's lease.
    Confirm,
    /// Saves the progress of the task.
    Checkpoint,
    /// Limits the processor time of the task.
    Throttle {
        /// Limit, in percent of the requested processors.
        percent: u8,
    },
    /// Stops the task or cancels its reservation.
    Stop,
    /// Removes the worker's record of a task that has ended.
    Forget,
}

/// An order for one task; idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Task that the order is for.
    pub task: TaskId,
    /// Requested action.
    #[serde(flatten)]
    pub order: Order,
}

/// Request by which the placement holder gives orders to a worker, renews the leases of its tasks
/// and asks for their state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Daemon that sends the request.
    pub holder: VmId,
    /// Fencing token; the worker refuses a token lower than the highest it has seen.
    pub token: u64,
    /// Sequence number of the request among those that one tenure sends to this worker.
    ///
    /// The worker refuses a request that is not newer than the last one it handled,
    /// so that a delayed request has no effect.
    pub sequence: u64,
    /// Version of the last reply; the reply to this request contains only changes since then.
    pub since: u64,
    /// New lease of every confirmed task, in milliseconds; zero renews no lease.
    pub lease_ms: u64,
    /// Orders for tasks on this worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub commands: Vec<Command>,
}

/// The state of a task at its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "kebab-case")]
pub enum TaskPhase {
    /// Resources are reserved.
    Reserved,
    /// The worker had too little free capacity; nothing ran.
    Refused,
    /// The task runs under a short lease.
    Started,
    /// The task runs, and all members of the gang are known to run.
    Confirmed,
    /// The progress is saved; the task still runs.
    Checkpointed,
    /// The task was stopped, or its lease expired.
    Stopped {
        /// Whether the task had started.
        started: bool,
    },
    /// The task ended on its own.
    Finished {
        /// Whether the task succeeded.
        success: bool,
        /// Output of the task.
        output: String,
    },
}

/// The state of one task, as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task that is reported.
    pub task: TaskId,
    /// Current state.
    #[serde(flatten)]
    pub phase: TaskPhase,
    /// Work saved by a checkpoint, in milliseconds.
    pub saved_ms: u64,
    /// Description of the task.
    pub spec: Box<TaskSpec>,
}

/// Resource usage of a worker, measured some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Accelerators in use.
    pub accelerators: u16,
    /// Processors in use.
    pub processors: u16,
    /// Memory in use, in megabytes.
    pub memory_mb: u32,
}

/// Reply of a worker to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Random number that the worker draws at each start; a new incarnation has no record of
    /// earlier tasks.
    pub incarnation: u64,
    /// Version of this reply, to be sent as [`SyncRequest::since`] in the next request.
    pub version: u64,
    /// Total capacity of the worker.
    pub capacity: Capacity,
    /// Recent usage of the worker.
    pub usage: Usage,
    /// Tasks that changed since the requested version, and tasks named in the request's commands.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskReport>,
}

/// Reply of a worker that refused a request because its token or sequence number is too low; the
/// request had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleRequest {
    /// Highest fencing token that the worker has seen.
    pub highest: u64,
}
