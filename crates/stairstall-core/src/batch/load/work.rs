//! Work that runs and work that waits, summed up.
//!
//! These are written as lists of their fields: every daemon is sent some dozens of them.

use serde::{Deserialize, Serialize};

use crate::batch::Resources;
use crate::{CustomerId, ServiceId};

/// Room of many workers or runs together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u64, u64, u64)")]
pub struct ResourceTotal {
    /// Processor, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl From<ResourceTotal> for (u64, u64, u64) {
    fn from(room: ResourceTotal) -> Self {
        (room.cpu_millis, room.memory_mb, room.accelerators)
    }
}

impl ResourceTotal {
    /// Returns `count` times an amount.
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

    /// Tells whether this fits into `room`.
    #[must_use]
    pub const fn fits(&self, room: &Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }
}

/// Room that is taken for some time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(u64, u64, u64)")]
pub struct ResourceTime {
    /// Processor, in cores times milliseconds.
    pub cpu: u64,
    /// Memory, in megabytes times seconds.
    pub memory: u64,
    /// Accelerators times milliseconds.
    pub accelerators: u64,
}

impl From<ResourceTime> for (u64, u64, u64) {
    fn from(rest: ResourceTime) -> Self {
        (rest.cpu, rest.memory, rest.accelerators)
    }
}

impl ResourceTime {
    /// Returns what taking `room` for `ms` milliseconds comes to.
    #[must_use]
    pub const fn of(room: &ResourceTotal, ms: u64) -> Self {
        Self {
            cpu: room.cpu_millis.saturating_mul(ms) / 1000,
            memory: room.memory_mb.saturating_mul(ms) / 1000,
            accelerators: room.accelerators.saturating_mul(ms),
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

    /// Returns the least time in which `room` can hold this, in milliseconds; a resource of which
    /// there is nothing takes none.
    #[must_use]
    pub fn millis_in(&self, room: &ResourceTotal) -> u64 {
        let share = |amount: u64, has: u64| amount.checked_div(has).unwrap_or(0);
        share(self.cpu.saturating_mul(1000), room.cpu_millis)
            .max(share(self.memory.saturating_mul(1000), room.memory_mb))
            .max(share(self.accelerators, room.accelerators))
    }
}

/// Room that runs of one rank take until about the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(ServiceId, u8, Option<u64>, ResourceTotal)")]
pub struct RunningWork {
    /// Whose workers they are.
    pub service: ServiceId,
    /// Rank of the runs: only work of a smaller one makes them give way.
    pub rank: u8,
    /// When the first of them should end, in milliseconds from now; none where they run until their
    /// jobs are cancelled.
    #[serde(rename = "from_ms")]
    pub first_end_ms: Option<u64>,
    /// What they take together.
    #[serde(rename = "room")]
    pub resources: ResourceTotal,
}

impl From<RunningWork> for (ServiceId, u8, Option<u64>, ResourceTotal) {
    fn from(busy: RunningWork) -> Self {
        (busy.service, busy.rank, busy.first_end_ms, busy.resources)
    }
}

/// Waiting work of one priority and about one size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "WaitingFields")]
pub struct WaitingWork {
    /// Whose workers it waits for.
    pub service: ServiceId,
    /// The priority of its queue.
    pub priority: u8,
    /// Whether it would take any room that is large enough: it is tied to no label, no rack and no
    /// adviser, and nothing holds it back.
    #[serde(rename = "takes_any")]
    pub is_unconstrained: bool,
    /// Whether its tasks start together.
    pub gang: bool,
    /// The most that one of its tasks takes, of each resource.
    pub needs: Resources,
    /// The most tasks that start together.
    #[serde(rename = "width")]
    pub gang_size: u32,
    /// The longest typical time of a task, in milliseconds.
    pub longest_ms: u64,
    /// What it will take.
    #[serde(rename = "rest")]
    pub remaining: ResourceTime,
}

/// The fields of waiting work in their order.
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
    /// Adds other work of its kind.
    pub fn add(&mut self, other: &Self) {
        self.needs = self.needs.component_max(&other.needs);
        self.gang_size = self.gang_size.max(other.gang_size);
        self.longest_ms = self.longest_ms.max(other.longest_ms);
        self.remaining = self.remaining.plus(&other.remaining);
    }
}

/// What a customer has waiting in one priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(CustomerId, u8, ResourceTime)")]
pub struct CustomerBacklog {
    /// The customer.
    pub customer: CustomerId,
    /// The priority.
    pub priority: u8,
    /// What its waiting work will take.
    #[serde(rename = "rest")]
    pub remaining: ResourceTime,
}

impl From<CustomerBacklog> for (CustomerId, u8, ResourceTime) {
    fn from(backlog: CustomerBacklog) -> Self {
        (backlog.customer, backlog.priority, backlog.remaining)
    }
}
