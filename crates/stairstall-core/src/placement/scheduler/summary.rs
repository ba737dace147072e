use std::collections::BTreeSet;

use super::Scheduler;
use super::entry::Stage;
use crate::Timestamp;
use crate::placement::{
    Access, Block, Fit, FreeCapacity, HomeBlocks, Inventory, JobKey, RunPhase, Shape,
};
use crate::protocol::{Explanation, ExplanationEntry};

/// Fragmentation of the free accelerators of a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fragmentation {
    /// Accelerators of all usable workers.
    pub total: u32,
    /// Free accelerators.
    pub free: u32,
    /// Free accelerators that no waiting or guaranteed shape can use.
    pub unusable: u32,
    /// Free accelerators that no waiting shape can use; zero while no job waits.
    pub unusable_by_waiting: u32,
    /// Accelerators of the largest group of adjacent, wholly free workers.
    pub largest_free: u32,
}

/// Numbers of jobs by stage, of broken guarantees and of usable workers in a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that wait for a placement.
    pub waiting: usize,
    /// Jobs with a run in progress.
    pub running: usize,
    /// Jobs that have ended and whose end is not stored yet.
    pub closing: usize,
    /// Guarantees without a home block.
    pub broken_guarantees: usize,
    /// Workers that accept new work.
    pub usable_workers: usize,
}

impl Scheduler {
    /// Returns the number of jobs, broken guarantees and usable workers.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            broken_guarantees: self.homes.broken().len(),
            usable_workers: self.contacts.values().filter(|c| c.accepts_work()).count(),
            ..Summary::default()
        };
        for entry in self.jobs.values() {
            match entry.stage {
                Stage::Waiting => summary.waiting += 1,
                Stage::Running(_) => summary.running += 1,
                Stage::Closing => summary.closing += 1,
            }
        }
        summary
    }

    /// Measures the fragmentation of the free accelerators.
    #[must_use]
    pub fn fragmentation(&self) -> Fragmentation {
        let capacities = self.inventory.free_capacity(Access::Borrow);
        let free: u32 = capacities
            .iter()
            .map(|capacity| capacity.mask.count_ones())
            .sum();
        let total = (0..self.inventory.len())
            .filter_map(|i| self.inventory.worker_at(i))
            .filter(|w| self.inventory.is_usable(&w.id))
            .map(|w| u32::from(w.capacity.accelerators))
            .sum();
        let waiting = self.waiting_shapes();
        let guaranteed = self.homes.iter().map(|home| home.guarantee.shape);
        let wanted = waiting.iter().copied().chain(guaranteed).collect();
        let unusable = unusable_by(&capacities, &wanted);
        let unusable_by_waiting = if waiting.is_empty() {
            0
        } else {
            unusable_by(&capacities, &waiting)
        };
        Fragmentation {
            total,
            free,
            unusable,
            unusable_by_waiting,
            largest_free: self.largest_free(),
        }
    }

    /// Returns the shapes of waiting jobs that need accelerators.
    fn waiting_shapes(&self) -> BTreeSet<Shape> {
        let waiting = self
            .jobs
            .values()
            .filter(|e| matches!(e.stage, Stage::Waiting));
        waiting
            .map(|e| e.spec.shape)
            .filter(|shape| shape.accelerators > 0)
            .collect()
    }

    /// Returns the accelerators of the largest group of adjacent, wholly free workers.
    fn largest_free(&self) -> u32 {
        let capacities = self.inventory.free_capacity(Access::Borrow);
        let mut largest = 0;
        let mut adjacent = 0;
        for (index, capacity) in capacities.iter().enumerate() {
            let full_mask = self
                .inventory
                .worker_at(index)
                .map_or(0, |w| w.capacity.mask());
            let follows = index > 0
                && capacities[index - 1].rack == capacity.rack
                && capacities[index - 1].position + 1 == capacity.position;
            let all_free = full_mask != 0 && capacity.mask == full_mask;
            adjacent = match (all_free, follows) {
                (true, true) => adjacent + full_mask.count_ones(),
                (true, false) => full_mask.count_ones(),
                (false, _) => 0,
            };
            largest = largest.max(adjacent);
        }
        largest
    }

    /// Returns the phase of the current run of a job, if it has one.
    #[must_use]
    pub fn phase_of(&self, key: &JobKey) -> Option<RunPhase> {
        match &self.jobs.get(key)?.stage {
            Stage::Running(running) => Some(running.run.phase()),
            _ => None,
        }
    }

    /// Returns the current home blocks.
    #[must_use]
    pub const fn homes(&self) -> &HomeBlocks {
        &self.homes
    }

    /// Returns the workers and their allocations.
    #[must_use]
    pub const fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Returns the stage of a job and the last decisions about it.
    #[must_use]
    pub fn explain(&self, key: &JobKey, now: Timestamp) -> Option<Explanation> {
        let entry = self.jobs.get(key)?;
        let summary = match &entry.stage {
            Stage::Waiting => format!("waits for {}", entry.spec.shape),
            Stage::Running(running) => {
                format!(
                    "attempt {} is {:?}",
                    running.run.attempt(),
                    running.run.phase()
                )
            }
            Stage::Closing => "over; its end is being recorded".to_owned(),
        };
        let stage = |(at, text): &(Timestamp, String)| ExplanationEntry {
            age_ms: u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX),
            text: text.clone(),
        };
        let stages = entry.history.iter().map(stage).collect();
        Some(Explanation {
            job: key.clone(),
            summary,
            stages,
        })
    }
}

/// Returns the number of free accelerators that no block of any of the shapes covers.
fn unusable_by(capacities: &[FreeCapacity], shapes: &BTreeSet<Shape>) -> u32 {
    let mut unused: Vec<u64> = capacities.iter().map(|capacity| capacity.mask).collect();
    for shape in shapes.iter().filter(|shape| shape.accelerators > 0) {
        let mut left = capacities.to_vec();
        while let Some(block) = Block::find(&left, shape, Fit::Aligned) {
            for cell in &block.cells {
                left[cell.worker].mask &= !cell.mask;
                unused[cell.worker] &= !cell.mask;
            }
        }
    }
    unused.iter().map(|mask| mask.count_ones()).sum()
}
