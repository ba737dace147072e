//! What the daemon needs of the platform it runs on, as traits.
//!
//! An adapter knows a platform's names, formats and calls. It decides nothing,
//! has no retry policy and keeps no state but connections.
//!
//! - [`SharedStore`]: what lasts, under conditional writes, with watches and leases.
//! - [`WorkerCalls`]: orders to workers and their reports.
//! - [`Dialect`]: names and formats of callers, operators and the directory.

mod dialect;
mod store;
mod workers;

pub use dialect::{Dialect, FormatError};
pub use store::{
    Change, Commit, CommitOutcome, Condition, Item, LeaseId, Page, Put, Revision, SharedStore,
    StoreFault, WatchBatch,
};
pub use workers::{Adviser, WorkerAddress, WorkerCalls, WorkerFault};
