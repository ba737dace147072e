//! Room that is kept for gangs that have waited for a while, from a date on.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::candidate::Candidate;
use super::super::pass::{ReservationHolder, ReservedWorkers};
use super::super::pool::Worker;
use super::super::{Now, Planner};
use crate::batch::{GroupKey, Resources, StepSpec, Timeliness};
use crate::{RackId, Timestamp, WorkerId};

/// How long the workers that were found for a gang are taken for the best ones: what runs there
/// takes seconds, and to look through 1,100 workers takes 1 ms.
const FOUND_FOR: Duration = Duration::from_millis(100);

/// How much earlier others must be free to be kept instead: the room must not change hands with each report.
const WORTH_A_CHANGE: Duration = Duration::from_millis(500);

/// How long after its date a gang keeps its room although it can't be as timely any more: what runs there
/// may take a little longer than it should, and to give the room up just then wastes what was kept.
const KEPT_AFTER_DATE: Duration = Duration::from_secs(1);

/// The workers whose room a waiting gang can have soonest, and from when on.
#[derive(Debug, Clone)]
pub(in crate::batch::planner) struct Reservation {
    found_at: Timestamp,
    /// What the gang was worth to its caller when it was made.
    timeliness: Timeliness,
    rank: u8,
    date: Timestamp,
    /// Until when other work has to end that fills in: the earliest date that it had. What fills in
    /// until a later one could put it off again and again.
    filled_until: Timestamp,
    workers: Vec<WorkerId>,
}

/// Workers for a gang, and when they are free.
struct Found {
    free_ms: u64,
    workers: Vec<WorkerId>,
}

impl Planner {
    /// Keeps the room that a waiting gang can have soonest from what comes after it.
    pub(super) fn hold_back(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        held_back: &mut ReservedWorkers,
        now: Now,
    ) {
        let key = &candidate.key;
        let known = self.reservations.get(key);
        let most = usize::from(self.policy.places.max_reservations);
        // What is late already is not worth the work that the room could do while it is kept.
        let is_timely = candidate.turn.timeliness == Timeliness::InTime;
        if known.is_none() && (!is_timely || self.reservations.len() >= most) {
            return;
        }
        let is_fresh = known.is_some_and(|known| now.at - known.found_at < FOUND_FOR);
        if !is_fresh {
            held_back.workers.retain(|_, holder| holder.gang != *key);
            let Some(found) = self.soonest_or_kept(candidate, step, held_back) else {
                self.reservations.remove(key);
                return;
            };
            let date = now.at + Duration::from_millis(found.free_ms);
            let known = self.reservations.get(key);
            let reservation = Reservation {
                found_at: now.at,
                timeliness: known.map_or(candidate.turn.timeliness, |known| known.timeliness),
                rank: candidate.rank,
                date,
                filled_until: known.map_or(date, |known| known.filled_until.min(date)),
                workers: found.workers,
            };
            self.reservations.insert(key.clone(), reservation);
        }
        if let Some(reservation) = self.reservations.get(key) {
            held_back.add(candidate, reservation);
        }
    }

    /// Gives up the reservations of gangs that no longer wait, or that have missed their date and can't be
    /// as timely any more as when it was made, and returns what is kept by the others.
    pub(in crate::batch::planner) fn renew_reservations(
        &mut self,
        candidates: &[Candidate],
        now: Now,
    ) -> ReservedWorkers {
        let mut held_back = ReservedWorkers::default();
        let keeps_dates = self.policy.places.keeps_reservations;
        self.reservations.retain(|key, reservation| {
            let candidate = candidates.iter().find(|one| one.key == *key);
            let is_over = now.at > reservation.filled_until + KEPT_AFTER_DATE;
            let holds = candidate
                .is_some_and(|one| one.turn.timeliness <= reservation.timeliness || !is_over);
            if let Some(candidate) = candidate.filter(|_| holds && keeps_dates) {
                held_back.add(candidate, reservation);
            }
            holds
        });
        held_back
    }

    /// Returns from when on room is kept for a gang.
    pub(in crate::batch::planner) fn expected_start(&self, key: &GroupKey) -> Option<Timestamp> {
        self.reservations.get(key).map(|found| found.date)
    }

    /// Tells whether a step may have room at a worker: it is not kept for a gang that comes before
    /// it, or a task surely ends before that gang's date.
    pub(super) fn may_use(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        id: &WorkerId,
        held_back: &ReservedWorkers,
        now: Now,
    ) -> bool {
        let Some(holder) = held_back.workers.get(id) else {
            return true;
        };
        if holder.comes_after(candidate) {
            return true;
        }
        self.ends_before(holder.expected_start, candidate, step, id, now)
    }

    /// Tells whether a task of a step surely ends at a worker before a date.
    fn ends_before(
        &self,
        date: Timestamp,
        candidate: &Candidate,
        step: &StepSpec,
        id: &WorkerId,
        now: Now,
    ) -> bool {
        if !self.policy.places.backfills || step.long_running {
            return false;
        }
        let usual_ms = crate::time::millis(self.run_time(&candidate.key, step, now).p90);
        let here_ms = self.pace_of(id, now).scale_ms(usual_ms);
        let takes_ms = here_ms * u64::from(self.slowdown(step, id));
        now.at + Duration::from_millis(takes_ms) <= date
    }

    /// Returns the workers that are free soonest, or those that are kept already if others are not
    /// free so much sooner.
    fn soonest_or_kept(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        held_back: &ReservedWorkers,
    ) -> Option<Found> {
        let sites = self.sites_by_date(candidate, step, held_back);
        let soonest = soonest_of(&sites, step);
        let kept = self.reservations.get(&candidate.key).and_then(|known| {
            let kept: BTreeSet<&WorkerId> = known.workers.iter().collect();
            let mut sites = sites.clone();
            sites.retain(|site| kept.contains(site.id));
            soonest_of(&sites, step)
        });
        let change_ms = crate::time::millis(WORTH_A_CHANGE);
        match (kept, soonest) {
            (Some(kept), Some(soonest)) if kept.free_ms <= soonest.free_ms + change_ms => {
                Some(kept)
            }
            (_, soonest) => soonest,
        }
    }

    fn sites_by_date(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        held_back: &ReservedWorkers,
    ) -> Vec<DatedSite<'_>> {
        let service = self.service_of(&candidate.key);
        let shown_percent = self.policy.places.min_progress_percent;
        let room = step.reserved_resources();
        let mut sites: Vec<DatedSite<'_>> = self
            .workers
            .iter()
            .filter(|(_, w)| w.takes_tasks() && w.suits(step) && w.is_near(step))
            .filter(|(_, w)| service.as_ref() == Some(&w.listed.service))
            .filter(|(id, _)| held_back.is_free_for(id, &candidate.key))
            .filter_map(|(id, w)| {
                let times = room.copies_in(&w.room_beside_lasting(), step.count);
                (times > 0).then(|| DatedSite {
                    busy_ms: w.busy_ms(shown_percent),
                    rack: &w.listed.rack,
                    id,
                    times: times.min(step.max_per_worker.unwrap_or(u32::MAX)),
                })
            })
            .collect();
        sites.sort_unstable();
        sites
    }
}

impl ReservedWorkers {
    fn add(&mut self, candidate: &Candidate, reservation: &Reservation) {
        let holder = ReservationHolder {
            gang: candidate.key.clone(),
            rank: reservation.rank,
            used: candidate.turn.usage_level,
            expected_start: reservation.filled_until,
        };
        for id in &reservation.workers {
            self.workers.insert(id.clone(), holder.clone());
        }
    }

    fn is_free_for(&self, id: &WorkerId, key: &GroupKey) -> bool {
        self.workers
            .get(id)
            .is_none_or(|holder| holder.gang == *key)
    }
}

impl ReservationHolder {
    /// Tells whether a step comes before the gang that room is kept for: it is that gang, of a rank
    /// before it, the oldest aged one, or of a customer that has had less.
    fn comes_after(&self, candidate: &Candidate) -> bool {
        candidate.key == self.gang
            || candidate.rank < self.rank
            || candidate.turn.is_aged()
            || candidate.rank == self.rank && candidate.turn.usage_level < self.used
    }
}

/// A worker, and when all that it has now is over.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct DatedSite<'a> {
    busy_ms: u64,
    rack: &'a RackId,
    id: &'a WorkerId,
    /// Tasks that it can hold then.
    times: u32,
}

fn soonest_of(sites: &[DatedSite<'_>], step: &StepSpec) -> Option<Found> {
    let racks: Vec<Option<&RackId>> = if step.same_rack {
        let racks: BTreeSet<&RackId> = sites.iter().map(|site| site.rack).collect();
        racks.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    let found = racks
        .into_iter()
        .filter_map(|rack| soonest(sites, rack, step.count));
    found.min_by(|a, b| (a.free_ms, &a.workers).cmp(&(b.free_ms, &b.workers)))
}

/// Returns when `count` tasks could be there, in milliseconds, and the workers for it.
fn soonest(sites: &[DatedSite<'_>], rack: Option<&RackId>, count: u32) -> Option<Found> {
    let mut left = count;
    let mut workers = Vec::new();
    for site in sites {
        if rack.is_some_and(|rack| rack != site.rack) {
            continue;
        }
        workers.push(site.id.clone());
        left = left.saturating_sub(site.times);
        if left == 0 {
            return Some(Found {
                free_ms: site.busy_ms,
                workers,
            });
        }
    }
    None
}

impl Worker {
    /// Returns how long what it has should still take, in milliseconds, but for what lasts.
    fn busy_ms(&self, shown_percent: u8) -> u64 {
        let ending = self.runs.values().filter(|run| !run.lasts);
        let left = ending.map(|run| run.remaining_ms(shown_percent));
        left.max().unwrap_or(0)
    }

    /// Returns the room that nothing takes once all has ended that will.
    fn room_beside_lasting(&self) -> Resources {
        let lasting = self.runs.values().filter(|run| run.lasts);
        let taken = lasting.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.room)
        });
        self.listed.capacity.saturating_sub(&taken)
    }
}
