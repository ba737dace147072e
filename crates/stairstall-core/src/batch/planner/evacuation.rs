//! Availability zones that operators have evacuated: nothing starts there until they are restored.
//!
//! What runs there runs on, is renewed and may end; only starts keep out.

use std::collections::BTreeSet;
use std::time::Duration;

use super::pool::RunState;
use super::{Bounds, Now, Planner};
use crate::batch::{Decision, TaskKey};
use crate::{Timestamp, WorkerId, ZoneId};

/// The evacuated zones as they were last read.
#[derive(Debug, Clone, Default)]
pub(super) struct EvacuatedZones {
    zones: BTreeSet<ZoneId>,
    /// When the call that read them left; none before the first one.
    read_at: Option<Timestamp>,
}

impl EvacuatedZones {
    pub(super) fn includes(&self, zone: &ZoneId) -> bool {
        self.zones.contains(zone)
    }

    fn age(&self, at: Timestamp) -> Option<Duration> {
        self.read_at.map(|read_at| at - read_at)
    }
}

impl Bounds {
    /// Returns the age from which the list of evacuated zones is not relied on any more.
    ///
    /// What is left of the bound is for a start on its way to its worker.
    pub(super) fn oldest_evacuations(&self) -> Duration {
        self.evacuate * 3 / 5
    }
}

impl Planner {
    /// Takes the evacuated zones as a call that left at `asked_at` read them.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<ZoneId>, asked_at: Timestamp, now: Now) {
        let is_older = self.evacuation.read_at.is_some_and(|at| at > asked_at);
        if is_older {
            return;
        }
        // Starts that waited for this knowledge can go out again.
        self.starts_due |= !self.has_fresh_evacuated_zones(now);
        self.evacuation.read_at = Some(asked_at);
        if zones == self.evacuation.zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuation.zones, zones);
        self.note_changed_zones(&before);
        for worker in self.workers.values_mut() {
            worker.in_evacuated_zone = self.evacuation.includes(&worker.listed.zone);
        }
        self.give_up_places_in_evacuated_zones(now);
        self.replan = true;
    }

    fn note_changed_zones(&mut self, before: &BTreeSet<ZoneId>) {
        let zones = &self.evacuation.zones;
        let evacuated = zones.difference(before);
        let evacuated = evacuated.map(|zone| Decision::of_zone(zone, "evacuated"));
        let restored = before.difference(zones);
        let restored = restored.map(|zone| Decision::of_zone(zone, "restored"));
        self.decisions.extend(evacuated.chain(restored));
    }

    /// Gives up places whose starts were not sent yet, those of a gang together.
    fn give_up_places_in_evacuated_zones(&mut self, now: Now) {
        let places: Vec<(WorkerId, TaskKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.in_evacuated_zone)
            .flat_map(|(id, worker)| {
                let planned = worker.runs.iter();
                let planned = planned.filter(|(_, run)| run.state == RunState::Planned);
                planned.map(move |(task, _)| (id.clone(), task.clone()))
            })
            .collect();
        for (id, task) in places {
            self.cancel_planned(&id, &task, "its zone is evacuated", now);
        }
    }

    /// Returns how long ago the evacuated zones were read; none before the first time.
    #[must_use]
    pub fn evacuated_zones_age(&self, now: Now) -> Option<Duration> {
        self.evacuation.age(now.at)
    }

    /// Counts the evacuated zones.
    #[must_use]
    pub fn evacuated_zone_count(&self) -> usize {
        self.evacuation.zones.len()
    }

    /// Tells whether the list of evacuated zones is young enough to start anything by it: an
    /// operator's word that did not come through holds every start back, not only some.
    pub(super) fn has_fresh_evacuated_zones(&self, now: Now) -> bool {
        let age = self.evacuation.age(now.at);
        age.is_some_and(|age| age <= self.bounds.oldest_evacuations())
    }

    /// Tells whether a start, or a further try of one, may leave for a worker.
    pub(super) fn may_start_at(&self, id: &WorkerId, now: Now) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| !worker.in_evacuated_zone)
            && self.has_fresh_evacuated_zones(now)
    }
}
