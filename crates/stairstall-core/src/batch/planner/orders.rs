use crate::WorkerId;
use crate::batch::TaskKey;

/// The command that an [`Order`] gives to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Start the run.
    Start {
        /// Payload of the job, passed to the worker unchanged.
        payload: String,
        /// Checkpoint to continue from; `None` to start from the beginning.
        checkpoint: Option<String>,
        /// Ticket of the adviser, if the queue requires one.
        ticket: Option<String>,
        /// Time on the worker's clock, in milliseconds, at which the run must stop unless its lease
        /// is renewed.
        deadline_ms: u64,
    },
    /// Stop the run, or refuse its start if that arrives later.
    Stop,
}

/// An order to a worker to start or stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The worker that the order is sent to.
    pub worker: WorkerId,
    /// The task that the run belongs to.
    pub task: TaskKey,
    /// Number of the run within the task.
    pub run: u32,
    /// Fencing token of the worker incarnation that the order is meant for.
    pub token: u64,
    /// What the worker should do.
    pub kind: OrderKind,
}
