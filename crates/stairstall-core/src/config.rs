//! The configuration set by the operators, and its changes in revision order.

mod change;
mod follower;
mod head;
mod resource;
mod state;

pub use change::{Assignment, Change, Operation};
pub use follower::{Follower, OfferOutcome};
pub use head::{Head, HeadError, TailEntry};
pub use resource::{
    Customer, Guarantee, PriorityClass, Resource, ResourceKind, Rule, RuleEffect, Service,
};
pub use state::{Configuration, InvalidChange};

use serde::{Deserialize, Serialize};

/// Number of the accepted change that produced a configuration.
///
/// A daemon never applies a lower revision after a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the revision that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}
