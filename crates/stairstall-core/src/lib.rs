//! Decisions of stairstall, without input or output.
//!
//! Every type here is a value or a state machine: time is passed in as a
//! [`Timestamp`], randomness as a seed, and effects come out as values for the
//! daemon to carry out. Tests and model checks own the clock.
//!
//! - [`Verdict`] says whether a request may have run.
//! - [`admission`] orders waiting requests and bounds retries.
//! - [`routing`] picks a minion without exceeding its slots.
//! - [`batch`] runs jobs of steps and tasks on workers of all zones.
//! - [`placement`] places gang jobs on racks and keeps guarantees reclaimable.
//! - [`config`] applies the operators' changes in revision order.
//! - [`membership`] derives live daemons from heartbeats.
//! - [`protocol`] holds the typed messages met at the interfaces.
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
