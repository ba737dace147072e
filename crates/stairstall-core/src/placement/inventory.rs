use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Cell, Room, Shape};
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

/// Names the holder of a [`Use`]: a run of a job, counted by the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UseId(pub u64);

/// A part of a worker that one member of a run occupies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Use {
    /// Whose.
    pub id: UseId,
    /// Accelerators, one bit each.
    pub mask: u64,
    /// Processors.
    pub processors: u16,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Whether the work can be made to give way within the grace.
    pub gives_way: bool,
    /// Whether it can be moved at the cost of a checkpoint only.
    pub movable: bool,
    /// Level of its priority class.
    pub level: u8,
    /// When it is expected to end.
    pub ends_at: Timestamp,
    /// The guarantee whose home block it stands in as its owner.
    pub home: Option<GuaranteeId>,
}

/// What a request may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Free accelerators outside of home blocks: for work that can't give way.
    Fixed,
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

/// A home cell on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HomePart {
    guarantee: GuaranteeId,
    mask: u64,
    shape: Shape,
}

#[derive(Debug, Clone)]
struct Worker {
    info: WorkerInfo,
    usable: bool,
    uses: Vec<Use>,
    homes: Vec<HomePart>,
    rack_index: u32,
    totals: Totals,
}

/// Sums over a worker's uses and homes, kept up to date.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
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
    fn refresh(&mut self) {
        let mut totals = Totals::default();
        for used in &self.uses {
            totals.used |= used.mask;
            totals.used_processors = totals.used_processors.saturating_add(used.processors);
            totals.used_memory = totals.used_memory.saturating_add(used.memory_mb);
            if !used.gives_way && used.home.is_none() {
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

    fn room(&self, access: Access) -> Room {
        if !self.usable {
            return self.located(Room::default());
        }
        match access {
            Access::Fixed => self.fixed_room(self.totals.used, (0, 0)),
            Access::Borrow => self.borrow_room(self.totals.used, (0, 0)),
            Access::Preempt { level, borrow } => self.cleared_room(borrow, |u| {
                u.gives_way && u.home.is_none() && u.level < level
            }),
            Access::Until { time, borrow } => self.cleared_room(borrow, |u| u.ends_at <= time),
            Access::Move { level, borrow } => self.cleared_room(borrow, |u| {
                u.movable && u.home.is_none() && u.level <= level
            }),
        }
    }

    /// Room as it would be after `clears` uses were cleared away.
    fn cleared_room(&self, borrow: bool, clears: impl Fn(&Use) -> bool) -> Room {
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
        room.costly |= cleared;
        room
    }

    fn borrow_room(&self, used: u64, back: (u16, u32)) -> Room {
        let capacity = &self.info.capacity;
        self.located(Room {
            mask: capacity.mask() & !used,
            processors: capacity
                .processors
                .saturating_add(back.0)
                .saturating_sub(self.totals.used_processors),
            memory_mb: capacity
                .memory_mb
                .saturating_add(back.1)
                .saturating_sub(self.totals.used_memory),
            costly: self.totals.home,
            ..Room::default()
        })
    }

    fn fixed_room(&self, used: u64, back: (u16, u32)) -> Room {
        let free = self.borrow_room(used, back);
        let capacity = &self.info.capacity;
        let processors = capacity
            .processors
            .saturating_sub(self.totals.bound_processors);
        let memory_mb = capacity.memory_mb.saturating_sub(self.totals.bound_memory);
        Room {
            mask: free.mask & !self.totals.home,
            processors: free.processors.min(processors),
            memory_mb: free.memory_mb.min(memory_mb),
            costly: 0,
            ..free
        }
    }

    /// Room for a home block: everything that neither fixed work nor another home holds.
    fn home_room(&self) -> Room {
        if !self.usable {
            return self.located(Room::default());
        }
        let fixed = self
            .uses
            .iter()
            .filter(|u| !u.gives_way && u.home.is_none());
        let held = fixed.fold(self.totals.home, |mask, u| mask | u.mask);
        let capacity = &self.info.capacity;
        self.located(Room {
            mask: capacity.mask() & !held,
            processors: capacity
                .processors
                .saturating_sub(self.totals.bound_processors),
            memory_mb: capacity.memory_mb.saturating_sub(self.totals.bound_memory),
            costly: self.totals.used,
            ..Room::default()
        })
    }

    const fn located(&self, mut room: Room) -> Room {
        room.rack = self.rack_index;
        room.position = self.info.position;
        room
    }
}

/// The workers of one zone, in order of rack and position, and what occupies them.
#[derive(Debug, Clone, Default)]
pub struct Inventory {
    workers: Vec<Worker>,
    index: BTreeMap<WorkerId, usize>,
}

impl Inventory {
    /// Creates an inventory without workers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a worker or takes its new capacity or place.
    pub fn put_worker(&mut self, info: WorkerInfo) {
        if let Some(index) = self.index_of(&info.id) {
            let worker = &mut self.workers[index];
            if worker.info == info {
                return;
            }
            worker.info = info;
        } else {
            self.workers.push(Worker {
                info,
                usable: true,
                uses: Vec::new(),
                homes: Vec::new(),
                rack_index: 0,
                totals: Totals::default(),
            });
        }
        self.reorder();
    }

    /// Forgets a worker that is gone for good and holds nothing.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        let before = self.workers.len();
        self.workers
            .retain(|w| w.info.id != *id || !w.uses.is_empty());
        if self.workers.len() != before {
            self.reorder();
        }
    }

    fn reorder(&mut self) {
        self.workers.sort_by(|a, b| {
            let key = |w: &Worker| (w.info.rack.clone(), w.info.position, w.info.id.clone());
            key(a).cmp(&key(b))
        });
        let mut rack_index = 0;
        for i in 0..self.workers.len() {
            if i > 0 && self.workers[i].info.rack != self.workers[i - 1].info.rack {
                rack_index += 1;
            }
            self.workers[i].rack_index = rack_index;
        }
        self.index = self
            .workers
            .iter()
            .enumerate()
            .map(|(i, w)| (w.info.id.clone(), i))
            .collect();
    }

    /// Says whether a worker takes new work.
    pub fn set_usable(&mut self, id: &WorkerId, usable: bool) {
        if let Some(index) = self.index_of(id) {
            self.workers[index].usable = usable;
        }
    }

    /// Tells whether a worker takes new work.
    #[must_use]
    pub fn is_usable(&self, id: &WorkerId) -> bool {
        self.index_of(id)
            .is_some_and(|index| self.workers[index].usable)
    }

    /// Returns the index of a worker, good until workers are added or removed.
    #[must_use]
    pub fn index_of(&self, id: &WorkerId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Returns the worker at an index.
    #[must_use]
    pub fn worker_at(&self, index: usize) -> Option<&WorkerInfo> {
        self.workers.get(index).map(|w| &w.info)
    }

    /// Returns how many workers there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Tells whether there are no workers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns what each worker can offer under `access`, along the zone.
    #[must_use]
    pub fn rooms(&self, access: Access) -> Vec<Room> {
        self.workers.iter().map(|w| w.room(access)).collect()
    }

    /// Returns what each worker can offer to home blocks.
    #[must_use]
    pub fn home_rooms(&self) -> Vec<Room> {
        self.workers.iter().map(Worker::home_room).collect()
    }

    /// Occupies a part of the worker at `index`.
    pub fn occupy(&mut self, index: usize, used: Use) {
        let worker = &mut self.workers[index];
        worker.uses.push(used);
        worker.refresh();
    }

    /// Frees what one run occupies on a worker.
    pub fn release(&mut self, id: &WorkerId, mask: u64, owner: UseId) {
        let Some(index) = self.index_of(id) else {
            return;
        };
        let worker = &mut self.workers[index];
        if let Some(found) = worker
            .uses
            .iter()
            .position(|u| u.id == owner && u.mask == mask)
        {
            worker.uses.swap_remove(found);
            worker.refresh();
        }
    }

    /// Returns what occupies the worker at `index`.
    #[must_use]
    pub fn uses(&self, index: usize) -> &[Use] {
        &self.workers[index].uses
    }

    /// Puts a home cell on the worker at `index`.
    pub fn put_home(&mut self, index: usize, guarantee: GuaranteeId, mask: u64, shape: Shape) {
        let worker = &mut self.workers[index];
        worker.homes.push(HomePart {
            guarantee,
            mask,
            shape,
        });
        worker.refresh();
    }

    /// Takes away the home cells of one guarantee.
    ///
    /// What its owner runs there goes on as any other work: the next home block
    /// has to leave it alone.
    pub fn clear_home(&mut self, guarantee: &GuaranteeId) {
        for worker in &mut self.workers {
            worker.homes.retain(|h| h.guarantee != *guarantee);
            for used in &mut worker.uses {
                if used.home.as_ref() == Some(guarantee) {
                    used.home = None;
                }
            }
            worker.refresh();
        }
    }

    /// Returns who must give way so that `owner` can have a demand met.
    ///
    /// Whoever overlaps the accelerators does; then, while processors or memory
    /// are short, those that can, lowest level first.
    #[must_use]
    pub fn in_the_way(&self, demand: &Demand, shape: &Shape, owner: UseId) -> Vec<UseId> {
        let worker = &self.workers[demand.worker];
        let others = || worker.uses.iter().filter(|u| u.id != owner);
        let mut out: Vec<UseId> = others()
            .filter(|u| u.mask & demand.mask != 0)
            .map(|u| u.id)
            .collect();
        let left = |out: &[UseId]| {
            others()
                .filter(|u| !out.contains(&u.id))
                .fold((0_u32, 0_u64), |sum, u| {
                    (
                        sum.0 + u32::from(u.processors),
                        sum.1 + u64::from(u.memory_mb),
                    )
                })
        };
        let members = demand.members;
        let own = (
            u32::from(shape.processors) * u32::from(members),
            u64::from(shape.memory_mb) * u64::from(members),
        );
        let capacity = &worker.info.capacity;
        let fits = |sum: (u32, u64)| {
            sum.0 + own.0 <= u32::from(capacity.processors)
                && sum.1 + own.1 <= u64::from(capacity.memory_mb)
        };
        let mut spare: Vec<&Use> = others()
            .filter(|u| u.gives_way && u.home.is_none())
            .collect();
        spare.sort_by_key(|u| u.level);
        for used in spare {
            if fits(left(&out)) {
                break;
            }
            if !out.contains(&used.id) {
                out.push(used.id);
            }
        }
        out
    }
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
    pub fn of(cells: impl IntoIterator<Item = Cell>) -> Vec<Self> {
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
