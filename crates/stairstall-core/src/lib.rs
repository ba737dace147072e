//! Decision logic of Stairstall, free of input and output.
//!
//! Every type here is a value or a state machine. Time is passed in as a
//! [`Timestamp`] and randomness as a seed; effects are returned as values that
//! the daemon carries out. Tests and model checks therefore control the clock.
//!
//! - [`Verdict`] states whether a request may have run.
//! - [`admission`] queues requests fairly and limits retries.
//! - [`claim`] ensures that a non-repeatable request runs at most once over all daemons.
//! - [`routing`] selects a minion for each request without exceeding the minion's slots.
//! - [`batch`] schedules jobs, made of steps and tasks, on the workers of all zones.
//! - [`placement`] places gang jobs on racks such that guaranteed accelerators can be reclaimed.
//! - [`config`] applies configuration changes in revision order.
//! - [`membership`] derives the set of live daemons from heartbeats.
//! - [`protocol`] defines the messages exchanged with workers, peers and callers.
//!
//! # Examples
//!
//! ```
//! use stairstall_core::{Labels, Selector};
//!
//! let labels: Labels = "team=web,class=batch".parse().unwrap();
//! let selector: Selector = "team=web,class in (batch,paid)".parse().unwrap();
//! assert!(selector.matches(&labels));
//! ```

pub mod admission;
pub mod batch;
pub mod claim;
pub mod config;
mod id;
mod label;
mod lease;
pub mod membership;
pub mod placement;
pub mod protocol;
pub mod routing;
mod time;
mod verdict;

pub use id::{
    ChangeId, ClassId, CustomerId, GuaranteeId, IdError, JobId, MinionId, RackId, RequestId,
    RuleId, ServiceId, VmId, WorkerId, ZoneId,
};
pub use label::{Labels, Selector, SelectorError};
pub use lease::Lease;
pub use time::Timestamp;
pub use verdict::Verdict;
