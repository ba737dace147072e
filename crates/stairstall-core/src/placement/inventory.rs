mod types;
mod worker;

use std::collections::BTreeMap;

use super::{FreeCapacity, Shape};
use crate::{GuaranteeId, WorkerId};
pub use types::{Access, Allocation, AllocationOwner, Capacity, Demand, WorkerInfo};
use worker::{HomePart, Totals, Worker};

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
    pub fn free_capacity(&self, access: Access) -> Vec<FreeCapacity> {
        self.workers.iter().map(|w| w.room(access)).collect()
    }

    /// Returns what each worker can offer to home blocks.
    #[must_use]
    pub fn free_for_homes(&self) -> Vec<FreeCapacity> {
        self.workers.iter().map(Worker::home_room).collect()
    }

    /// Occupies a part of the worker at `index`.
    pub fn occupy(&mut self, index: usize, used: Allocation) {
        let worker = &mut self.workers[index];
        worker.uses.push(used);
        worker.refresh();
    }

    /// Frees what one run occupies on a worker.
    pub fn release(&mut self, id: &WorkerId, mask: u64, owner: AllocationOwner) {
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
    pub fn allocations(&self, index: usize) -> &[Allocation] {
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
    pub fn blocking_runs(
        &self,
        demand: &Demand,
        shape: &Shape,
        owner: AllocationOwner,
    ) -> Vec<AllocationOwner> {
        let worker = &self.workers[demand.worker];
        let others = || worker.uses.iter().filter(|u| u.id != owner);
        let mut out: Vec<AllocationOwner> = others()
            .filter(|u| u.mask & demand.mask != 0)
            .map(|u| u.id)
            .collect();
        let left = |out: &[AllocationOwner]| {
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
        let mut spare: Vec<&Allocation> = others()
            .filter(|u| u.preemptible && u.home.is_none())
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
