//! Routes, queues and customers, as configured by the operators.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::within;
use crate::{CustomerId, ServiceId};

/// How jobs submitted on one route are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the route.
    pub name: String,
    /// The service whose workers run the tasks.
    pub service: ServiceId,
    /// Priority: 0 comes first and may preempt others.
    pub priority: u8,
    /// Number of failed runs of a task, or of a gang, at which its job fails.
    pub attempts: u32,
    /// Factor by which the critical path of a job is multiplied to get its objective, before
    /// `target_ms` is added.
    #[serde(deserialize_with = "within::stretch")]
    pub stretch: f64,
    /// Constant part of the objective, in milliseconds.
    #[serde(deserialize_with = "within::duration_ms")]
    pub target_ms: u64,
    /// How long an adviser's ticket is valid, in milliseconds; none where starts need no ticket.
    #[serde(
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "within::optional_duration_ms"
    )]
    pub ticket_valid_ms: Option<u64>,
}

impl Queue {
    /// Returns the queue with its times and its stretch shortened to what is planned with at most,
    /// so that objectives can't overflow.
    #[must_use]
    pub fn within_bounds(mut self) -> Self {
        self.stretch = self.stretch.clamp(0.0, within::MAX_STRETCH);
        self.target_ms = self.target_ms.min(within::MAX_DURATION_MS);
        self.ticket_valid_ms = self
            .ticket_valid_ms
            .map(|ms| ms.min(within::MAX_DURATION_MS));
        self
    }
}

/// Which calls belong to a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in lower case.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// Whether calls need no key.
    pub public: bool,
    /// Longest time until a call is answered, in milliseconds.
    #[serde(deserialize_with = "within::duration_ms")]
    pub timeout_ms: u64,
    /// Queue of the jobs submitted on this route.
    pub queue: Queue,
}

/// A customer with its keys and its guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerId,
    /// Keys that the customer's calls may carry.
    pub keys: BTreeSet<String>,
    /// Number of accelerators guaranteed at any time to the customer's jobs of priority 0.
    pub guaranteed: u32,
}

/// Whom a call on a route belongs to, given its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The call belongs to this customer.
    Customer(CustomerId),
    /// The route is public, and no known key was given.
    Anonymous,
    /// The route is not public, and no known key was given.
    Unknown,
}

/// The operators' configuration of routes and customers: complete, and of one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All customers.
    pub customers: Vec<Customer>,
    /// Longest body of a call, in bytes.
    pub max_body_bytes: usize,
}

impl Catalog {
    /// Highest version that comes into force. Many writers of JSON can't tell higher numbers apart,
    /// and versions count up by one.
    pub const MAX_VERSION: u64 = 1 << 53;

    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.routes
            .iter()
            .map(|route| &route.queue)
            .find(|queue| queue.name == name)
    }

    /// Returns whom a call on `route` with `key` belongs to.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let owner = key.and_then(|key| self.customers.iter().find(|c| c.keys.contains(key)));
        match owner {
            Some(customer) => Access::Customer(customer.name.clone()),
            None if route.public => Access::Anonymous,
            None => Access::Unknown,
        }
    }

    /// Returns the number of accelerators guaranteed to a customer; 0 for an unknown one.
    #[must_use]
    pub fn guaranteed(&self, customer: &CustomerId) -> u32 {
        self.customers
            .iter()
            .find(|c| c.name == *customer)
            .map_or(0, |c| c.guaranteed)
    }

    /// Returns the number of accelerators that all customers together are guaranteed.
    #[must_use]
    pub fn total_guaranteed(&self) -> u32 {
        let guaranteed = self.customers.iter().map(|c| c.guaranteed);
        guaranteed.fold(0, u32::saturating_add)
    }
}
