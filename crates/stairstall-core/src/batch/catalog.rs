use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{CustomerId, ServiceId};

/// How the jobs handed in on one route are run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The route's name.
    pub name: String,
    /// Whose workers run the tasks.
    pub service: ServiceId,
    /// 0 comes first and may take the place of others.
    pub priority: u8,
    /// How many runs of a task, or of a gang, may fail.
    pub attempts: u32,
    /// The objective as a multiple of the work.
    pub stretch: f64,
    /// Added to the objective, in milliseconds.
    pub target_ms: u64,
    /// How long an adviser's ticket holds, in milliseconds, where starts need one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket_valid_ms: Option<u64>,
}

/// Which calls belong to a queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host, in lower case.
    pub host: String,
    /// Start of the path.
    pub path_prefix: String,
    /// Whether calls need no key.
    pub public: bool,
    /// Longest time for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// The queue.
    pub queue: Queue,
}

/// A customer with its keys and its guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Its name.
    pub name: CustomerId,
    /// Keys that its calls may carry.
    pub keys: BTreeSet<String>,
    /// Accelerators that are its own for jobs of priority 0 at any time.
    pub guaranteed: u32,
}

/// What a key may do on a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The call is this customer's.
    Customer(CustomerId),
    /// The route is public and no known key was given.
    Anonymous,
    /// There is no such key.
    Unknown,
}

/// The operators' configuration of queues and customers, whole and of one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Rises with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The customers.
    pub customers: Vec<Customer>,
    /// Longest body of a call, in bytes.
    pub max_body_bytes: usize,
}

impl Catalog {
    /// Returns the route with the longest prefix that starts `path` on `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the queue of that name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.routes
            .iter()
            .map(|route| &route.queue)
            .find(|queue| queue.name == name)
    }

    /// Says whose call it is that carries `key`.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let owner = key.and_then(|key| self.customers.iter().find(|c| c.keys.contains(key)));
        match owner {
            Some(customer) => Access::Customer(customer.name.clone()),
            None if route.public => Access::Anonymous,
            None => Access::Unknown,
        }
    }

    /// Returns the accelerators that are a customer's own.
    #[must_use]
    pub fn guaranteed(&self, customer: &CustomerId) -> u32 {
        self.customers
            .iter()
            .find(|c| c.name == *customer)
            .map_or(0, |c| c.guaranteed)
    }
}
