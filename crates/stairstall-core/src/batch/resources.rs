//! Quantities of CPU, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Weight of an accelerator, in CPU cores, when the lost work of different runs is compared.
const CORES_PER_ACCELERATOR: u64 = 8;
const MILLIS_PER_CORE: u64 = 1000;

/// A quantity of resources: what a task needs or what a worker has.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    #[serde(default)]
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Creates a quantity from CPU in thousandths of a core, memory in megabytes and accelerators.
    #[must_use]
    pub const fn new(cpu_millis: u32, memory_mb: u32, accelerators: u32) -> Self {
        Self {
            cpu_millis,
            memory_mb,
            accelerators,
        }
    }

    /// Returns whether these resources fit into `capacity`.
    #[must_use]
    pub const fn fits_in(&self, capacity: &Self) -> bool {
        self.cpu_millis <= capacity.cpu_millis
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Returns how many copies of these resources fit into `capacity` at a time, at most `limit`.
    #[must_use]
    pub fn copies_in(&self, capacity: &Self, limit: u32) -> u32 {
        let copies = |need: u32, has: u32| has.checked_div(need).unwrap_or(limit);
        copies(self.cpu_millis, capacity.cpu_millis)
            .min(copies(self.memory_mb, capacity.memory_mb))
            .min(copies(self.accelerators, capacity.accelerators))
            .min(limit)
    }

    /// Returns the sum of each resource, saturating at the maximum value.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference of each resource, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the maximum of each resource.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the weight of holding these resources for some time, in thousandths of a core.
    #[must_use]
    pub const fn weight(&self) -> u64 {
        self.cpu_millis as u64 + self.accelerators as u64 * CORES_PER_ACCELERATOR * MILLIS_PER_CORE
    }
}
