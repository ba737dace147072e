//! Types for the capacity of workers, the allocations on them, and what a request may use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::placement::Cell;
use crate::{GuaranteeId, RackId, Timestamp, WorkerId};

/// Total capacity of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Accelerators, at most 64.
    pub accelerators: u8,
    /// Processors.
    pub processors: u16,
    /// Memory, in megabytes.
    pub memory_mb: u32,
}

impl Capacity {
    /// Creates a capacity.
    #[must_use]
    pub const fn new(accelerators: u8, processors: u16, memory_mb: u32) -> Self {
        Self {
            accelerators,
            processors,
            memory_mb,
        }
    }

    /// Returns a mask with one bit set for each accelerator.
    #[must_use]
    pub const fn mask(&self) -> u64 {
        if self.accelerators >= 64 {
            u64::MAX
        } else {
            (1 << self.accelerators) - 1
        }
    }
}

/// Location and capacity of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Id of the worker.
    pub id: WorkerId,
    /// Rack that the worker is in.
    pub rack: RackId,
    /// Position in the rack; adjacent workers have consecutive positions.
    pub position: u16,
    /// Total capacity.
    pub capacity: Capacity,
}

/// Id of the run that owns an [`Allocation`], assigned by the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AllocationOwner(pub u64);

/// Resources that one member of a run occupies on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// The run that owns the allocation.
    pub owner: AllocationOwner,
    /// Accelerators, one bit each.
    pub mask: u64,
    /// Processors.
    pub processors: u16,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Whether the work can be stopped within the preemption grace period and run again.
    pub preemptible: bool,
    /// Whether the work can be moved at the cost of a checkpoint only.
    pub movable: bool,
    /// Level of the priority class; higher levels are more urgent.
    pub level: u8,
    /// When the work is expected to end.
    pub expected_end: Timestamp,
    /// The guarantee under which the work occupies cells of a home block, if it does.
    pub home: Option<GuaranteeId>,
}

/// Which capacity a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Free capacity outside of home blocks, for work that is not preemptible.
    OutsideHomes,
    /// Free capacity anywhere, home blocks included, for preemptible work.
    Borrow,
    /// Free capacity, and what preemptible work of lower levels occupies.
    Preempt {
        /// The level of the request.
        level: u8,
        /// Whether home blocks may be used.
        borrow: bool,
    },
    /// Free capacity, and what work occupies that is expected to end by a given time.
    Until {
        /// The time.
        time: Timestamp,
        /// Whether home blocks may be used.
        borrow: bool,
    },
    /// Free capacity, and what movable work of the same or lower levels occupies.
    Move {
        /// The level of the request.
        level: u8,
        /// Whether home blocks may be used.
        borrow: bool,
    },
}

/// Accelerators and number of members that a gang places on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Index of the worker in the inventory.
    pub worker: usize,
    /// Accelerators of all members, one bit each.
    pub mask: u64,
    /// Number of members on the worker.
    pub members: u16,
}

impl Demand {
    /// Groups cells by worker and adds them up.
    #[must_use]
    pub fn per_worker(cells: impl IntoIterator<Item = Cell>) -> Vec<Self> {
        let mut demands: BTreeMap<usize, Self> = BTreeMap::new();
        for cell in cells {
            let empty = Self {
                worker: cell.worker,
                mask: 0,
                members: 0,
            };
            let demand = demands.entry(cell.worker).or_insert(empty);
            demand.mask |= cell.mask;
            demand.members += 1;
        }
        demands.into_values().collect()
    }
}
