mod types;
mod worker;

use std::collections::BTreeMap;

use super::{FreeCapacity, Shape};
use crate::{GuaranteeId, WorkerId};
pub use types::{Access, Allocation, AllocationOwner, Capacity, Demand, WorkerInfo};
use worker::{Totals, Worker, WorkerHomeCell};

/// The workers of one zone, in order of rack and position, with their allocations and home cells.
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

    /// Adds a worker, or updates its capacity, rack and position.
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
                allocations: Vec::new(),
                homes: Vec::new(),
                rack_index: 0,
                totals: Totals::default(),
            });
        }
        self.reorder();
    }

    /// Removes a worker unless it still has allocations.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        let before = self.workers.len();
        self.workers
            .retain(|w| w.info.id != *id || !w.allocations.is_empty());
        if self.workers.len() != before {
            self.reorder();
        }
    }

    /// Sorts the workers again and rebuilds the index.
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

    /// Sets whether a worker accepts new work.
    pub fn set_usable(&mut self, id: &WorkerId, usable: bool) {
        if let Some(index) = self.index_of(id) {
            self.workers[index].usable = usable;
        }
    }

    /// Tells whether a worker accepts new work.
    #[must_use]
    pub fn is_usable(&self, id: &WorkerId) -> bool {
        self.index_of(id)
            .is_some_and(|index| self.workers[index].usable)
    }

    /// Returns the index of a worker. It is valid until workers are added, updated or removed.
    #[must_use]
    pub fn index_of(&self, id: &WorkerId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Returns the worker at an index.
    #[must_use]
    pub fn worker_at(&self, index: usize) -> Option<&WorkerInfo> {
        self.workers.get(index).map(|w| &w.info)
    }

    /// Returns the number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Tells whether there are no workers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns the free capacity of each worker under `access`, in order of rack and position.
    #[must_use]
    pub fn free_capacity(&self, access: Access) -> Vec<FreeCapacity> {
        self.workers
            .iter()
            .map(|w| w.free_capacity(access))
            .collect()
    }

    /// Returns the capacity of each worker that home blocks may be placed on.
    #[must_use]
    pub fn free_for_homes(&self) -> Vec<FreeCapacity> {
        self.workers.iter().map(Worker::free_for_homes).collect()
    }

    /// Adds an allocation on the worker at `index`.
    pub fn occupy(&mut self, index: usize, allocation: Allocation) {
        let worker = &mut self.workers[index];
        worker.allocations.push(allocation);
        worker.update_totals();
    }

    /// Removes the allocation of `owner` with this mask from a worker.
    pub fn release(&mut self, id: &WorkerId, mask: u64, owner: AllocationOwner) {
        let Some(index) = self.index_of(id) else {
            return;
        };
        let worker = &mut self.workers[index];
        if let Some(found) = worker
            .allocations
            .iter()
            .position(|allocation| allocation.owner == owner && allocation.mask == mask)
        {
            worker.allocations.swap_remove(found);
            worker.update_totals();
        }
    }

    /// Returns the allocations on the worker at `index`.
    #[must_use]
    pub fn allocations(&self, index: usize) -> &[Allocation] {
        &self.workers[index].allocations
    }

    /// Adds a home cell of a guarantee on the worker at `index`; `shape` is that of the guarantee.
    pub fn add_home_cell(&mut self, index: usize, guarantee: GuaranteeId, mask: u64, shape: Shape) {
        let worker = &mut self.workers[index];
        worker.homes.push(WorkerHomeCell {
            guarantee,
            mask,
            shape,
        });
        worker.update_totals();
    }

    /// Removes the home cells of one guarantee.
    ///
    /// Jobs that its owner runs there become ordinary work: unless they are preemptible, new
    /// home blocks can't overlap them.
    pub fn remove_home_cells(&mut self, guarantee: &GuaranteeId) {
        for worker in &mut self.workers {
            worker.homes.retain(|h| h.guarantee != *guarantee);
            for allocation in &mut worker.allocations {
                if allocation.home.as_ref() == Some(guarantee) {
                    allocation.home = None;
                }
            }
            worker.update_totals();
        }
    }

    /// Returns the runs that must end before the demand of `owner` can be met.
    ///
    /// These are all runs on the demanded accelerators. While processors or memory are still
    /// short, preemptible runs outside home blocks are added, lowest level first.
    #[must_use]
    pub fn blocking_runs(
        &self,
        demand: &Demand,
        shape: &Shape,
        owner: AllocationOwner,
    ) -> Vec<AllocationOwner> {
        let worker = &self.workers[demand.worker];
        let others = || {
            worker
                .allocations
                .iter()
                .filter(|allocation| allocation.owner != owner)
        };
        let mut blocking: Vec<AllocationOwner> = others()
            .filter(|allocation| allocation.mask & demand.mask != 0)
            .map(|allocation| allocation.owner)
            .collect();
        let remaining_allocated = |blocking: &[AllocationOwner]| {
            others()
                .filter(|allocation| !blocking.contains(&allocation.owner))
                .fold((0_u32, 0_u64), |sum, allocation| {
                    (
                        sum.0 + u32::from(allocation.processors),
                        sum.1 + u64::from(allocation.memory_mb),
                    )
                })
        };
        let members = demand.members;
        let demanded = (
            u32::from(shape.processors) * u32::from(members),
            u64::from(shape.memory_mb) * u64::from(members),
        );
        let capacity = &worker.info.capacity;
        let fits = |sum: (u32, u64)| {
            sum.0 + demanded.0 <= u32::from(capacity.processors)
                && sum.1 + demanded.1 <= u64::from(capacity.memory_mb)
        };
        let mut preemptible: Vec<&Allocation> = others()
            .filter(|allocation| allocation.preemptible && allocation.home.is_none())
            .collect();
        preemptible.sort_by_key(|allocation| allocation.level);
        for allocation in preemptible {
            if fits(remaining_allocated(&blocking)) {
                break;
            }
            if !blocking.contains(&allocation.owner) {
                blocking.push(allocation.owner);
            }
        }
        blocking
    }
}
