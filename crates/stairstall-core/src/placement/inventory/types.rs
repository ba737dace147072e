//! What workers have, what occupies them, and what a request may take.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::placement::Cell;
use crate::{GuaranteeId, RackId, Timestamp, WorkerId};

/// What a worker has in all.
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

    /// Returns all accelerators, one bit each.
    #[must_use]
    pub const fn mask(&self) -> u64 {
        if self.accelerators >= 64 {
            u64::MAX
        } else {
            (1 << self.accelerators) - 1
        }
    }
}

/// Where a worker stands and what it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Name.
    pub id: WorkerId,
    /// Rack.
    pub rack: RackId,
    /// Place in the rack.
    pub position: u16,
    /// What it has.
    pub capacity: Capacity,
}

/// Names the holder of an [`Allocation`]: a run of a job, counted by the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AllocationOwner(pub u64);

/// A part of a worker that one member of a run occupies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Whose.
    pub id: AllocationOwner,
    /// Accelerators, one bit each.
    pub mask: u64,
    /// Processors.
    pub processors: u16,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Whether the work can be made to give way within the grace.
    pub preemptible: bool,
    /// Whether it can be moved at the cost of a checkpoint only.
    pub movable: bool,
    /// Level of its priority class.
    pub level: u8,
    /// When it is expected to end.
    pub expected_end: Timestamp,
    /// The guarantee whose home block it stands in as its owner.
    pub home: Option<GuaranteeId>,
}

/// What a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Free accelerators outside of home blocks: for work that can't give way.
    OutsideHomes,
    /// Free accelerators anywhere: for work that can give way.
    Borrow,
    /// Also what work of lower levels than this, which can give way, occupies.
    Preempt {
        /// The level of the request.
        level: u8,
        /// Whether home blocks may be used.
        borrow: bool,
    },
    /// Also what is expected to end by then.
    Until {
        /// When.
        time: Timestamp,
        /// Whether home blocks may be used.
        borrow: bool,
    },
    /// Also what movable work of this level or lower occupies.
    Move {
        /// The level of the request.
        level: u8,
        /// Whether home blocks may be used.
        borrow: bool,
    },
}

/// What a gang wants of one worker: the accelerators of all its members there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Index of the worker.
    pub worker: usize,
    /// Accelerators of all members, one bit each.
    pub mask: u64,
    /// Members on the worker.
    pub members: u16,
}

impl Demand {
    /// Adds up cells by worker.
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
