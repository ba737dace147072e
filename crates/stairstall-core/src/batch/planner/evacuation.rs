//! Availability zones that operators have evacuated. Nothing starts in them until they are
//! restored.
//!
//! Runs that are already there continue, keep their leases renewed and may finish; only starts are
//! refused.

use std::collections::BTreeSet;
use std::time::Duration;

use super::pool::RunState;
use super::{Bounds, Now, Planner};
use crate::batch::{Decision, TaskKey};
use crate::{Timestamp, WorkerId, ZoneId};

/// The list of evacuated zones as last read.
#[derive(Debug, Clone, Default)]
pub(super) struct EvacuatedZones {
    zones: BTreeSet<ZoneId>,
    /// When the request that read the list was sent; `None` before the first read.
    read_sent_at: Option<Timestamp>,
}

impl EvacuatedZones {
    pub(super) fn includes(&self, zone: &ZoneId) -> bool {
        self.zones.contains(zone)
    }

    fn age(&self, at: Timestamp) -> Option<Duration> {
        self.read_sent_at.map(|read_sent_at| at - read_sent_at)
    }
}

impl Bounds {
    /// Returns the age above which the list of evacuated zones is no longer relied on.
    ///
    /// The rest of the evacuation limit is left for starts that are on their way to a worker.
    pub(super) fn max_evacuated_zones_age(&self) -> Duration {
        self.evacuation_limit * 3 / 5
    }
}

impl Planner {
    /// Updates the evacuated zones with a list that was requested at `requested_at`. A list older
    /// than the current one is ignored.
    pub fn set_evacuated_zones(
        &mut self,
        zones: BTreeSet<ZoneId>,
        requested_at: Timestamp,
        now: Now,
    ) {
        let is_older = self
            .evacuated_zones
            .read_sent_at
            .is_some_and(|at| at > requested_at);
        if is_older {
            return;
        }
        // Starts that waited for a fresh list can be sent again.
        self.starts_due |= !self.has_fresh_evacuated_zones(now);
        self.evacuated_zones.read_sent_at = Some(requested_at);
        if zones == self.evacuated_zones.zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated_zones.zones, zones);
        self.log_zone_changes(&before);
        for worker in self.workers.values_mut() {
            worker.in_evacuated_zone = self.evacuated_zones.includes(&worker.listed.zone);
        }
        self.cancel_planned_in_evacuated_zones(now);
        self.replan = true;
    }

    fn log_zone_changes(&mut self, before: &BTreeSet<ZoneId>) {
        let zones = &self.evacuated_zones.zones;
        let evacuated = zones.difference(before);
        let evacuated = evacuated.map(|zone| Decision::of_zone(zone, "evacuated"));
        let restored = before.difference(zones);
        let restored = restored.map(|zone| Decision::of_zone(zone, "restored"));
        self.decisions.extend(evacuated.chain(restored));
    }

    /// Cancels placements in evacuated zones whose starts were not sent yet; members of a gang are
    /// cancelled together.
    fn cancel_planned_in_evacuated_zones(&mut self, now: Now) {
        let planned: Vec<(WorkerId, TaskKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.in_evacuated_zone)
            .flat_map(|(id, worker)| {
                let runs = worker.runs.iter();
                let runs = runs.filter(|(_, run)| run.state == RunState::Planned);
                runs.map(move |(task, _)| (id.clone(), task.clone()))
            })
            .collect();
        for (id, task) in planned {
            self.cancel_planned(&id, &task, "its zone is evacuated", now);
        }
    }

    /// Returns the age of the list of evacuated zones, or `None` before it was first read.
    #[must_use]
    pub fn evacuated_zones_age(&self, now: Now) -> Option<Duration> {
        self.evacuated_zones.age(now.at)
    }

    /// Returns the number of evacuated zones.
    #[must_use]
    pub fn evacuated_zone_count(&self) -> usize {
        self.evacuated_zones.zones.len()
    }

    /// Returns whether the list of evacuated zones is fresh enough to start anything. If the list
    /// could not be read in time, any zone may have been evacuated, so all starts wait.
    pub(super) fn has_fresh_evacuated_zones(&self, now: Now) -> bool {
        let age = self.evacuated_zones.age(now.at);
        age.is_some_and(|age| age <= self.bounds.max_evacuated_zones_age())
    }

    /// Returns whether a start order, or another attempt of one, may be sent to a worker.
    pub(super) fn may_start_at(&self, id: &WorkerId, now: Now) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| !worker.in_evacuated_zone)
            && self.has_fresh_evacuated_zones(now)
    }
}
