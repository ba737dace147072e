//! One worker: what occupies it, and what it can offer.

use super::types::{Access, Allocation, WorkerInfo};
use crate::GuaranteeId;
use crate::placement::{FreeCapacity, Shape};

/// A home cell on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HomePart {
    pub(super) guarantee: GuaranteeId,
    pub(super) mask: u64,
    pub(super) shape: Shape,
}

#[derive(Debug, Clone)]
pub(super) struct Worker {
    pub(super) info: WorkerInfo,
    pub(super) usable: bool,
    pub(super) uses: Vec<Allocation>,
    pub(super) homes: Vec<HomePart>,
    pub(super) rack_index: u32,
    pub(super) totals: Totals,
}

/// Sums over a worker's uses and homes, kept up to date.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Totals {
    used: u64,
    used_processors: u16,
    used_memory: u32,
    home: u64,
    /// Processors of work that can't give way and of home cells.
    bound_processors: u16,
    /// Memory of work that can't give way and of home cells.
    bound_memory: u32,
}

impl Worker {
    pub(super) fn refresh(&mut self) {
        let mut totals = Totals::default();
        for used in &self.uses {
            totals.used |= used.mask;
            totals.used_processors = totals.used_processors.saturating_add(used.processors);
            totals.used_memory = totals.used_memory.saturating_add(used.memory_mb);
            if !used.preemptible && used.home.is_none() {
                totals.bound_processors = totals.bound_processors.saturating_add(used.processors);
                totals.bound_memory = totals.bound_memory.saturating_add(used.memory_mb);
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

    pub(super) fn room(&self, access: Access) -> FreeCapacity {
        if !self.usable {
            return self.located(FreeCapacity::default());
        }
        match access {
            Access::OutsideHomes => self.fixed_room(self.totals.used, (0, 0)),
            Access::Borrow => self.borrow_room(self.totals.used, (0, 0)),
            Access::Preempt { level, borrow } => self.cleared_room(borrow, |u| {
                u.preemptible && u.home.is_none() && u.level < level
            }),
            Access::Until { time, borrow } => self.cleared_room(borrow, |u| u.expected_end <= time),
            Access::Move { level, borrow } => self.cleared_room(borrow, |u| {
                u.movable && u.home.is_none() && u.level <= level
            }),
        }
    }

    /// Room as it would be after `clears` uses were cleared away.
    fn cleared_room(&self, borrow: bool, clears: impl Fn(&Allocation) -> bool) -> FreeCapacity {
        let mut used = 0;
        let mut cleared = 0;
        let mut back = (0_u16, 0_u32);
        for u in &self.uses {
            if clears(u) {
                back = (
                    back.0.saturating_add(u.processors),
                    back.1.saturating_add(u.memory_mb),
                );
                cleared |= u.mask;
            } else {
                used |= u.mask;
            }
        }
        let mut room = if borrow {
            self.borrow_room(used, back)
        } else {
            self.fixed_room(used, back)
        };
        room.avoided |= cleared;
        room
    }

    fn borrow_room(&self, used: u64, back: (u16, u32)) -> FreeCapacity {
        let capacity = &self.info.capacity;
        self.located(FreeCapacity {
            mask: capacity.mask() & !used,
            processors: capacity
                .processors
                .saturating_add(back.0)
                .saturating_sub(self.totals.used_processors),
            memory_mb: capacity
                .memory_mb
                .saturating_add(back.1)
                .saturating_sub(self.totals.used_memory),
            avoided: self.totals.home,
            ..FreeCapacity::default()
        })
    }

    fn fixed_room(&self, used: u64, back: (u16, u32)) -> FreeCapacity {
        let free = self.borrow_room(used, back);
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

    /// Room for a home block: everything that neither fixed work nor another home holds.
    pub(super) fn home_room(&self) -> FreeCapacity {
        if !self.usable {
            return self.located(FreeCapacity::default());
        }
        let fixed = self
            .uses
            .iter()
            .filter(|u| !u.preemptible && u.home.is_none());
        let held = fixed.fold(self.totals.home, |mask, u| mask | u.mask);
        let capacity = &self.info.capacity;
        self.located(FreeCapacity {
            mask: capacity.mask() & !held,
            processors: capacity
                .processors
                .saturating_sub(self.totals.bound_processors),
            memory_mb: capacity.memory_mb.saturating_sub(self.totals.bound_memory),
            avoided: self.totals.used,
            ..FreeCapacity::default()
        })
    }

    const fn located(&self, mut room: FreeCapacity) -> FreeCapacity {
        room.rack = self.rack_index;
        room.position = self.info.position;
        room
    }
}
