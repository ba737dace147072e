use crate::WorkerId;
use crate::batch::TaskKey;

/// What a worker is told to do with a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Start it.
    Start {
        /// What to run.
        payload: String,
        /// Where to continue from.
        checkpoint: Option<String>,
        /// The adviser's ticket, where the queue asks for one.
        ticket: Option<String>,
        /// Until when it may run, on the worker's clock, unless it is renewed.
        deadline_ms: u64,
    },
    /// Stop it, or never start it.
    Stop,
}

/// One order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskKey,
    /// Which of its runs.
    pub run: u32,
    /// Fencing token.
    pub token: u64,
    /// What to do.
    pub kind: OrderKind,
}
