//! Summaries of running and of waiting work.
//!
//! A load summary contains dozens of them and is sent to every daemon, so they are serialized
//! compactly, as lists of their fields.

use serde::{Deserialize, Serialize};

use crate::batch::Resources;
use crate::{CustomerId, ServiceId};

/// Total resources of many workers or runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u64, u64, u64)")]
pub struct ResourceTotal {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl From<ResourceTotal> for (u64, u64, u64) {
    fn from(total: ResourceTotal) -> Self {
        (total.cpu_millis, total.memory_mb, total.accelerators)
    }
}

impl ResourceTotal {
    /// Returns `count` times the given resources.
    #[must_use]
    pub fn of(one: &Resources, count: u32) -> Self {
        let times = |amount: u32| u64::from(amount) * u64::from(count);
        Self {
            cpu_millis: times(one.cpu_millis),
            memory_mb: times(one.memory_mb),
            accelerators: times(one.accelerators),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, with nothing below zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns whether these resources fit into `capacity`.
    #[must_use]
    pub const fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }
}

/// Resources multiplied by the time for which they are held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u64, u64, u64)")]
pub struct ResourceTime {
    /// CPU, in cores times milliseconds.
    pub cpu: u64,
    /// Memory, in megabytes times seconds.
    pub memory: u64,
    /// Accelerators times milliseconds.
    pub accelerators: u64,
}

impl From<ResourceTime> for (u64, u64, u64) {
    fn from(time: ResourceTime) -> Self {
        (time.cpu, time.memory, time.accelerators)
    }
}

impl ResourceTime {
    /// Returns the resource time of holding `resources` for `ms` milliseconds.
    #[must_use]
    pub const fn of(resources: &ResourceTotal, ms: u64) -> Self {
        Self {
            cpu: resources.cpu_millis.saturating_mul(ms) / 1000,
            memory: resources.memory_mb.saturating_mul(ms) / 1000,
            accelerators: resources.accelerators.saturating_mul(ms),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the shortest time in which `capacity` can provide this, in milliseconds. A resource
    /// of which there is no capacity is ignored.
    #[must_use]
    pub fn millis_in(&self, capacity: &ResourceTotal) -> u64 {
        let ms = |amount: u64, available: u64| amount.checked_div(available).unwrap_or(0);
        ms(self.cpu.saturating_mul(1000), capacity.cpu_millis)
            .max(ms(self.memory.saturating_mul(1000), capacity.memory_mb))
            .max(ms(self.accelerators, capacity.accelerators))
    }
}

/// Resources held by runs of one rank that end at about the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(ServiceId, u8, Option<u64>, ResourceTotal)")]
pub struct RunningWork {
    /// Service of the workers.
    pub service: ServiceId,
    /// Rank of the runs; only work of a smaller rank preempts them.
    pub rank: u8,
    /// Time until the first of them should end, in milliseconds; `None` for long-running steps,
    /// which run until their jobs are cancelled.
    #[serde(rename = "from_ms")]
    pub first_end_ms: Option<u64>,
    /// Total resources that they hold.
    #[serde(rename = "room")]
    pub resources: ResourceTotal,
}

impl From<RunningWork> for (ServiceId, u8, Option<u64>, ResourceTotal) {
    fn from(work: RunningWork) -> Self {
        (work.service, work.rank, work.first_end_ms, work.resources)
    }
}

/// Waiting work of one priority and of similar size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "WaitingFields")]
pub struct WaitingWork {
    /// Service of the workers that it waits for.
    pub service: ServiceId,
    /// Priority of its queue.
    pub priority: u8,
    /// Whether it can use any capacity that is large enough: it is not restricted to a label, a
    /// rack or the adviser's choice, and nothing delays it.
    #[serde(rename = "takes_any")]
    pub is_unconstrained: bool,
    /// Whether its tasks start together, as a gang.
    pub gang: bool,
    /// Maximum of each resource that one of its tasks takes.
    pub needs: Resources,
    /// Maximum number of tasks that start together.
    #[serde(rename = "width")]
    pub gang_size: u32,
    /// Longest typical run time of a task, in milliseconds.
    pub longest_ms: u64,
    /// Resource time that it will take.
    #[serde(rename = "rest")]
    pub remaining: ResourceTime,
}

/// Fields of [`WaitingWork`] in the order in which they are serialized.
type WaitingFields = (
    ServiceId,
    u8,
    bool,
    bool,
    (u32, u32, u32),
    u32,
    u64,
    ResourceTime,
);

impl From<WaitingWork> for WaitingFields {
    fn from(work: WaitingWork) -> Self {
        let needs = work.needs;
        (
            work.service,
            work.priority,
            work.is_unconstrained,
            work.gang,
            (needs.cpu_millis, needs.memory_mb, needs.accelerators),
            work.gang_size,
            work.longest_ms,
            work.remaining,
        )
    }
}

impl WaitingWork {
    /// Adds other work of the same kind.
    pub fn add(&mut self, other: &Self) {
        self.needs = self.needs.component_max(&other.needs);
        self.gang_size = self.gang_size.max(other.gang_size);
        self.longest_ms = self.longest_ms.max(other.longest_ms);
        self.remaining = self.remaining.plus(&other.remaining);
    }
}

/// Waiting work of a customer in one priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(CustomerId, u8, ResourceTime)")]
pub struct CustomerBacklog {
    /// Id of the customer.
    pub customer: CustomerId,
    /// Priority of the work.
    pub priority: u8,
    /// Resource time that its waiting work will take.
    #[serde(rename = "rest")]
    pub remaining: ResourceTime,
}

impl From<CustomerBacklog> for (CustomerId, u8, ResourceTime) {
    fn from(backlog: CustomerBacklog) -> Self {
        (backlog.customer, backlog.priority, backlog.remaining)
    }
}
