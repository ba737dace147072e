//! One worker of the inventory: its allocations, its home cells and its free capacity.

use super::types::{Access, Allocation, WorkerInfo};
use crate::GuaranteeId;
use crate::placement::{FreeCapacity, Shape};

/// A cell of a home block on this worker, with the shape of its guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WorkerHomeCell {
    pub(super) guarantee: GuaranteeId,
    pub(super) mask: u64,
    pub(super) shape: Shape,
}

/// A worker of the inventory.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    pub(super) info: WorkerInfo,
    pub(super) usable: bool,
    pub(super) allocations: Vec<Allocation>,
    pub(super) homes: Vec<WorkerHomeCell>,
    pub(super) rack_index: u32,
    pub(super) totals: Totals,
}

/// Sums over the allocations and home cells of a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Totals {
    /// Accelerators of all allocations, one bit each.
    used: u64,
    used_processors: u16,
    /// Memory of all allocations, in megabytes.
    used_memory: u32,
    /// Accelerators of all home cells, one bit each.
    home: u64,
    /// Processors of home cells and of work outside them that is not preemptible.
    bound_processors: u16,
    /// Memory of home cells and of work outside them that is not preemptible, in megabytes.
    bound_memory: u32,
}

impl Worker {
    /// Computes the totals again. Call it after every change of allocations or home cells.
    pub(super) fn update_totals(&mut self) {
        let mut totals = Totals::default();
        for allocation in &self.allocations {
            totals.used |= allocation.mask;
            totals.used_processors = totals.used_processors.saturating_add(allocation.processors);
            totals.used_memory = totals.used_memory.saturating_add(allocation.memory_mb);
            if !allocation.preemptible && allocation.home.is_none() {
                totals.bound_processors = totals
                    .bound_processors
                    .saturating_add(allocation.processors);
                totals.bound_memory = totals.bound_memory.saturating_add(allocation.memory_mb);
            }
        }
        for home in &self.homes {
            totals.home |= home.mask;
            totals.bound_processors = totals
                .bound_processors
                .saturating_add(home.shape.processors);
            totals.bound_memory = totals.bound_memory.saturating_add(home.shape.memory_mb);
        }
        self.totals = totals;
    }

    /// Returns the free capacity under `access`; none if the worker is not usable.
    pub(super) fn free_capacity(&self, access: Access) -> FreeCapacity {
        if !self.usable {
            return self.located(FreeCapacity::default());
        }
        match access {
            Access::OutsideHomes => self.free_outside_homes(self.totals.used, (0, 0)),
            Access::Borrow => self.free_with_homes(self.totals.used, (0, 0)),
            Access::Preempt { level, borrow } => self.free_after_clearing(borrow, |allocation| {
                allocation.preemptible && allocation.home.is_none() && allocation.level < level
            }),
            Access::Until { time, borrow } => {
                self.free_after_clearing(borrow, |allocation| allocation.expected_end <= time)
            }
            Access::Move { level, borrow } => self.free_after_clearing(borrow, |allocation| {
                allocation.movable && allocation.home.is_none() && allocation.level <= level
            }),
        }
    }

    /// Returns the capacity that is free once the allocations that `clears` selects have ended.
    fn free_after_clearing(
        &self,
        borrow: bool,
        clears: impl Fn(&Allocation) -> bool,
    ) -> FreeCapacity {
        let mut used = 0;
        let mut cleared = 0;
        let mut released = (0_u16, 0_u32);
        for allocation in &self.allocations {
            if clears(allocation) {
                released = (
                    released.0.saturating_add(allocation.processors),
                    released.1.saturating_add(allocation.memory_mb),
                );
                cleared |= allocation.mask;
            } else {
                used |= allocation.mask;
            }
        }
        let mut free = if borrow {
            self.free_with_homes(used, released)
        } else {
            self.free_outside_homes(used, released)
        };
        free.avoided |= cleared;
        free
    }

    /// Returns all free capacity, home cells included.
    fn free_with_homes(&self, used: u64, released: (u16, u32)) -> FreeCapacity {
        let capacity = &self.info.capacity;
        self.located(FreeCapacity {
            mask: capacity.mask() & !used,
            processors: capacity
                .processors
                .saturating_add(released.0)
                .saturating_sub(self.totals.used_processors),
            memory_mb: capacity
                .memory_mb
                .saturating_add(released.1)
                .saturating_sub(self.totals.used_memory),
            avoided: self.totals.home,
            ..FreeCapacity::default()
        })
    }

    /// Returns the free capacity outside home cells.
    fn free_outside_homes(&self, used: u64, released: (u16, u32)) -> FreeCapacity {
        let free = self.free_with_homes(used, released);
        let capacity = &self.info.capacity;
        let processors = capacity
            .processors
            .saturating_sub(self.totals.bound_processors);
        let memory_mb = capacity.memory_mb.saturating_sub(self.totals.bound_memory);
        FreeCapacity {
            mask: free.mask & !self.totals.home,
            processors: free.processors.min(processors),
            memory_mb: free.memory_mb.min(memory_mb),
            avoided: 0,
            ..free
        }
    }

    /// Returns the capacity for new home blocks: all but that of existing home cells and of work
    /// that is not preemptible. Accelerators in use are avoided.
    pub(super) fn free_for_homes(&self) -> FreeCapacity {
        if !self.usable {
            return self.located(FreeCapacity::default());
        }
        let fixed = self
            .allocations
            .iter()
            .filter(|allocation| !allocation.preemptible && allocation.home.is_none());
        let occupied = fixed.fold(self.totals.home, |mask, allocation| mask | allocation.mask);
        let capacity = &self.info.capacity;
        self.located(FreeCapacity {
            mask: capacity.mask() & !occupied,
            processors: capacity
                .processors
                .saturating_sub(self.totals.bound_processors),
            memory_mb: capacity.memory_mb.saturating_sub(self.totals.bound_memory),
            avoided: self.totals.used,
            ..FreeCapacity::default()
        })
    }

    /// Fills in the location of the worker.
    const fn located(&self, mut free: FreeCapacity) -> FreeCapacity {
        free.rack = self.rack_index;
        free.position = self.info.position;
        free
    }
}
