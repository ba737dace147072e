use serde::{Deserialize, Serialize};

/// How many processor cores an accelerator weighs when lost work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;
const MILLIS_PER_CORE: u64 = 1000;

/// What a task takes of a worker, or what a worker has.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    #[serde(default)]
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Creates an amount.
    #[must_use]
    pub const fn new(cpu_millis: u32, memory_mb: u32, accelerators: u32) -> Self {
        Self {
            cpu_millis,
            memory_mb,
            accelerators,
        }
    }

    /// Tells whether this fits into `room`.
    #[must_use]
    pub const fn fits_in(&self, room: &Self) -> bool {
        self.cpu_millis <= room.cpu_millis
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Returns how many of this fit into `room` side by side, at most `most`.
    #[must_use]
    pub fn copies_in(&self, room: &Self, most: u32) -> u32 {
        let share = |need: u32, has: u32| has.checked_div(need).unwrap_or(most);
        share(self.cpu_millis, room.cpu_millis)
            .min(share(self.memory_mb, room.memory_mb))
            .min(share(self.accelerators, room.accelerators))
            .min(most)
    }

    /// Returns the sum.
    #[must_use]
    pub const fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference, with nothing below zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the weight of holding this for a time, in thousandths of a core.
    #[must_use]
    pub const fn weight(&self) -> u64 {
        self.cpu_millis as u64 + self.accelerators as u64 * CORES_PER_ACCELERATOR * MILLIS_PER_CORE
    }
}
