use std::collections::BTreeSet;

use super::Scheduler;
use super::entry::Stage;
use crate::Timestamp;
use crate::placement::{Access, Block, Fit, Homes, Inventory, JobKey, Phase, Room, Shape};
use crate::protocol::{Explanation, ExplanationEntry};

/// How broken up the free accelerators are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fragmentation {
    /// Accelerators of usable workers.
    pub total: u32,
    /// Free accelerators.
    pub free: u32,
    /// Free accelerators that no waiting or guaranteed shape can use.
    pub unusable: u32,
    /// Free accelerators that no waiting shape can use, while a job waits; else none.
    pub lost: u32,
    /// Accelerators of the largest free run of neighbouring, wholly free workers.
    pub largest_free: u32,
}

/// Counts of one zone's jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs that wait.
    pub waiting: usize,
    /// Jobs with a run.
    pub running: usize,
    /// Jobs that are over and whose end is being recorded.
    pub closing: usize,
    /// Guarantees without a home block.
    pub broken_guarantees: usize,
    /// Workers that answer.
    pub usable_workers: usize,
}

impl Scheduler {
    /// Counts jobs and workers.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            broken_guarantees: self.homes.broken().len(),
            usable_workers: self.contacts.values().filter(|c| c.takes_work()).count(),
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

    /// Measures how broken up the free accelerators are.
    #[must_use]
    pub fn fragmentation(&self) -> Fragmentation {
        let rooms = self.inventory.rooms(Access::Borrow);
        let free: u32 = rooms.iter().map(|r| r.mask.count_ones()).sum();
        let total = (0..self.inventory.len())
            .filter_map(|i| self.inventory.worker_at(i))
            .filter(|w| self.inventory.is_usable(&w.id))
            .map(|w| u32::from(w.capacity.accelerators))
            .sum();
        let waiting = self.waiting_shapes();
        let guaranteed = self.homes.iter().map(|home| home.guarantee.shape);
        let wanted = waiting.iter().copied().chain(guaranteed).collect();
        let unusable = unusable_by(&rooms, &wanted);
        let lost = if waiting.is_empty() {
            0
        } else {
            unusable_by(&rooms, &waiting)
        };
        Fragmentation {
            total,
            free,
            unusable,
            lost,
            largest_free: self.largest_free(),
        }
    }

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

    fn largest_free(&self) -> u32 {
        let rooms = self.inventory.rooms(Access::Borrow);
        let mut largest = 0;
        let mut run = 0;
        for (index, room) in rooms.iter().enumerate() {
            let whole = self
                .inventory
                .worker_at(index)
                .map_or(0, |w| w.capacity.mask());
            let follows = index > 0
                && rooms[index - 1].rack == room.rack
                && rooms[index - 1].position + 1 == room.position;
            let all_free = whole != 0 && room.mask == whole;
            run = match (all_free, follows) {
                (true, true) => run + whole.count_ones(),
                (true, false) => whole.count_ones(),
                (false, _) => 0,
            };
            largest = largest.max(run);
        }
        largest
    }

    /// Returns where a job's run stands; none while it has no run.
    #[must_use]
    pub fn phase_of(&self, key: &JobKey) -> Option<Phase> {
        match &self.jobs.get(key)?.stage {
            Stage::Running(running) => Some(running.run.phase()),
            _ => None,
        }
    }

    /// Returns the home blocks in force.
    #[must_use]
    pub const fn homes(&self) -> &Homes {
        &self.homes
    }

    /// Returns the workers and what occupies them.
    #[must_use]
    pub const fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// Explains where a job stands and what was decided about it.
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

/// Returns how many free accelerators no block of any of the shapes covers.
fn unusable_by(rooms: &[Room], shapes: &BTreeSet<Shape>) -> u32 {
    let mut unused: Vec<u64> = rooms.iter().map(|r| r.mask).collect();
    for shape in shapes.iter().filter(|shape| shape.accelerators > 0) {
        let mut left = rooms.to_vec();
        while let Some(block) = Block::find(&left, shape, Fit::Aligned) {
            for cell in &block.cells {
                left[cell.worker].mask &= !cell.mask;
                unused[cell.worker] &= !cell.mask;
            }
        }
    }
    unused.iter().map(|mask| mask.count_ones()).sum()
}
