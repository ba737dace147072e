//! Traits for the services that the daemon needs from its platform.
//!
//! An adapter implements them with a platform's names, formats and calls. It
//! makes no decisions, has no retry policy and keeps no state but connections.
//!
//! - [`SharedStore`]: durable key-value store with conditional writes, watches and leases.
//! - [`WorkerCalls`]: sends orders to workers and polls them for reports.
//! - [`Adviser`]: external service that restricts which workers may run a step.
//! - [`Dialect`]: names and formats of callers, operators and the worker directory.

mod dialect;
mod store;
mod workers;

pub use dialect::{Dialect, FormatError, ReadCatalog, RefusedEntry};
pub use store::{
    Change, Commit, CommitOutcome, Condition, Item, LeaseId, Page, Put, Revision, SharedStore,
    StoreFault, WatchBatch,
};
pub use workers::{Adviser, WorkerAddress, WorkerCalls, WorkerFault};
