//! What one pass over the waiting work finds out about the fleet once, not for every step.

use std::collections::{BTreeMap, HashMap};

use super::Planner;
use super::candidate_worker::SearchScope;
use super::pool::Worker;
use crate::batch::{GroupKey, Resources, StepSpec};
use crate::{RackId, ServiceId, Timestamp, WorkerId};

/// Workers whose room is kept for gangs that wait.
#[derive(Debug, Default)]
pub(super) struct ReservedWorkers {
    pub(super) workers: BTreeMap<WorkerId, ReservationHolder>,
}

/// Whom a worker's room is kept for.
#[derive(Debug, Clone)]
pub(super) struct ReservationHolder {
    pub(super) gang: GroupKey,
    pub(super) rank: u8,
    /// What its customer has used, as it stood in this pass.
    pub(super) used: u64,
    /// From when on it is to be free.
    pub(super) expected_start: Timestamp,
}

/// Facts about the fleet that hold until something is made to give way.
///
/// To look through every worker for every waiting step takes 19 ms an end at 1,100 workers and
/// 5,000 waiting tasks, and 0.6 ms with these (`benches/planner`): most of the steps are alike.
#[derive(Debug, Default)]
pub(super) struct Pass {
    pub(super) reserved: ReservedWorkers,
    ceilings: HashMap<Shape, Ceiling>,
    free_accelerators: Option<u32>,
    /// Accelerators to be kept free for urgent work, once that was asked for.
    pub(super) urgent_headroom: Option<f64>,
    /// Runs that wait to be started or for an answer, once they were counted.
    pub(super) starts_in_flight: Option<usize>,
    /// What stopping each gang that runs would throw away, once it was asked for.
    pub(super) gang_preemption_costs: Option<BTreeMap<GroupKey, u64>>,
}

/// The room of a worker that a step may count on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum CapacityKind {
    /// All that the worker has.
    Whole,
    /// What nothing has or will have.
    Free,
    /// The same, once all above this rank has given way.
    Above(u8),
}

/// What decides how many tasks of a step fit into a worker's room.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Shape {
    kind: CapacityKind,
    service: Option<ServiceId>,
    needs: Resources,
    required_label: Option<String>,
    near_rack: Option<String>,
    spread: Option<u32>,
}

/// How many tasks of one shape have room side by side, at most.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Ceiling {
    /// On all workers.
    pub(super) total: u32,
    /// On the workers of the rack that has most room.
    pub(super) rack: u32,
}

impl Ceiling {
    /// Tells whether `count` tasks of a step might find room.
    pub(super) const fn allows(self, step: &StepSpec, count: u32, scope: SearchScope) -> bool {
        if !step.gang {
            return self.total > 0;
        }
        let most = if step.same_rack && scope.near {
            self.rack
        } else {
            self.total
        };
        count <= most
    }
}

impl Pass {
    /// Forgets what no longer holds once something gives way.
    pub(super) fn invalidate_capacity(&mut self) {
        self.ceilings.clear();
        self.free_accelerators = None;
        self.gang_preemption_costs = None;
    }

    /// Notes tasks that got places, and how many accelerators they took that were free.
    pub(super) fn note_placed(&mut self, tasks: usize, accelerators: u32) {
        if let Some(under_way) = &mut self.starts_in_flight {
            *under_way += tasks;
        }
        if let Some(free) = &mut self.free_accelerators {
            *free = free.saturating_sub(accelerators);
        }
    }
}

impl Planner {
    /// Returns how many tasks like those of a step could find room, at most.
    pub(super) fn ceiling(
        &self,
        key: &GroupKey,
        step: &StepSpec,
        near: bool,
        kind: CapacityKind,
        pass: &mut Pass,
    ) -> Ceiling {
        let shape = Shape {
            kind,
            service: self.service_of(key),
            needs: step.reserved_resources(),
            required_label: step.required_label.clone(),
            near_rack: step.near_rack.clone().filter(|_| near),
            spread: step.max_per_worker,
        };
        if let Some(known) = pass.ceilings.get(&shape) {
            return *known;
        }
        let ceiling = self.count_room(&shape, step, near);
        pass.ceilings.insert(shape, ceiling);
        ceiling
    }

    fn count_room(&self, shape: &Shape, step: &StepSpec, near: bool) -> Ceiling {
        let most = step.max_per_worker.unwrap_or(u32::MAX);
        let mut ceiling = Ceiling::default();
        let mut by_rack = BTreeMap::<&RackId, u32>::new();
        let workers = self
            .workers
            .values()
            .filter(|w| w.takes_tasks() && w.suits(step) && (!near || w.is_near(step)))
            .filter(|w| shape.service.as_ref() == Some(&w.listed.service));
        for worker in workers {
            let times = shape.needs.copies_in(&worker.room_of(shape.kind), most);
            if times > 0 {
                let rack = by_rack.entry(&worker.listed.rack).or_default();
                *rack = rack.saturating_add(times);
                ceiling.total = ceiling.total.saturating_add(times);
                ceiling.rack = ceiling.rack.max(*rack);
            }
        }
        ceiling
    }

    /// Returns how many accelerators nothing has or will have.
    pub(super) fn free_accelerators(&self, pass: &mut Pass) -> u32 {
        *pass.free_accelerators.get_or_insert_with(|| {
            let workers = self.workers.values().filter(|w| w.takes_tasks());
            workers.map(|w| w.free().accelerators).sum()
        })
    }
}

impl Worker {
    fn room_of(&self, kind: CapacityKind) -> Resources {
        match kind {
            CapacityKind::Whole => self.listed.capacity,
            CapacityKind::Free => self.free(),
            CapacityKind::Above(rank) => self.room_above(rank),
        }
    }
}
