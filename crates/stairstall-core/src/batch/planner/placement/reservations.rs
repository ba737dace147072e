//! Reservations: capacity set aside for gangs that have waited for some time.

use std::collections::BTreeSet;
use std::time::Duration;

use super::super::candidate::Candidate;
use super::super::candidate_worker::SearchScope;
use super::super::pass::{ReservedWorkers, ReservingGang};
use super::super::pool::Worker;
use super::super::{Now, Planner};
use crate::batch::{GroupKey, Resources, StepSpec, Timeliness};
use crate::{RackId, Timestamp, WorkerId};

/// How long a selection of workers for a gang stays valid. Runs take seconds, and searching 1,100
/// workers for a new selection takes 1 ms.
const SELECTION_LIFETIME: Duration = Duration::from_millis(100);

/// How much earlier other workers must be free to replace the reserved ones. Otherwise the
/// reservation would change workers with each report.
const MIN_IMPROVEMENT: Duration = Duration::from_millis(500);

/// How long after its expected start a gang keeps its reservation although it can no longer be as
/// timely. Runs on the reserved workers may take a little longer than expected, and giving up then
/// would waste the capacity that was set aside.
const RESERVATION_GRACE: Duration = Duration::from_secs(1);

/// A gang that is expected to start within this time keeps its workers also from a job that has had
/// nothing running for too long.
const BINDING_RESERVATION: Duration = Duration::from_secs(1);

/// How long a job has had nothing running beside capacity when no reservation keeps workers from it any
/// more. What is left of the 3 s after which the platform counts it as lost is for a pass, the write of
/// its placement and the start.
const LONGEST_BOUND_IDLE: Duration = Duration::from_millis(2_700);

/// How long after such a date a gang has missed it. The workers' stops and reports take a moment.
const MISSED_AFTER: Duration = Duration::from_millis(500);

/// The workers on which a waiting gang can start earliest, and when.
#[derive(Debug, Clone)]
pub(in crate::batch::planner) struct Reservation {
    found_at: Timestamp,
    /// Timeliness of the gang when the reservation was made.
    timeliness: Timeliness,
    rank: u8,
    expected_start: Timestamp,
    /// Time by which backfill on the workers must end: the earliest expected start so far. With a
    /// later one, backfill could delay the gang again and again.
    backfill_until: Timestamp,
    workers: Vec<WorkerId>,
}

/// Workers for a gang, and the time until they are free.
struct WorkerSelection {
    free_in_ms: u64,
    workers: Vec<WorkerId>,
}

impl Planner {
    /// Reserves the workers on which a waiting gang can start earliest against work of lower
    /// precedence.
    pub(super) fn reserve_workers(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        reserved: &mut ReservedWorkers,
        now: Now,
    ) {
        let key = &candidate.key;
        let known = self.reservations.get(key);
        let limit = usize::from(self.policy.placement.max_reservations);
        // A gang that is already late is not worth the work that the reserved capacity could do.
        let is_in_time = candidate.scheduling_key.timeliness == Timeliness::InTime;
        if known.is_none() && (!is_in_time || self.reservations.len() >= limit) {
            return;
        }
        let is_fresh = known.is_some_and(|known| now.at - known.found_at < SELECTION_LIFETIME);
        if !is_fresh {
            reserved
                .workers
                .retain(|_, reserving| reserving.gang != *key);
            let Some(found) = self.select_workers(candidate, step, reserved) else {
                self.reservations.remove(key);
                return;
            };
            let expected_start = now.at + Duration::from_millis(found.free_in_ms);
            let known = self.reservations.get(key);
            let reservation = Reservation {
                found_at: now.at,
                timeliness: known.map_or(candidate.scheduling_key.timeliness, |known| {
                    known.timeliness
                }),
                rank: candidate.rank,
                expected_start,
                backfill_until: known.map_or(expected_start, |known| {
                    known.backfill_until.min(expected_start)
                }),
                workers: found.workers,
            };
            let starts_soon = reservation.expected_start <= now.at + BINDING_RESERVATION;
            self.reservations.insert(key.clone(), reservation);
            let group = self
                .jobs
                .get_mut(&key.job)
                .and_then(|job| job.group_mut(key));
            if let Some(group) = group.filter(|_| starts_soon) {
                group.bound_since.get_or_insert(now.at);
            }
        }
        if let Some(reservation) = self.reservations.get(key) {
            reserved.add(candidate, reservation);
        }
    }

    /// Drops the reservations of gangs that no longer wait. Also drops those that have missed their
    /// expected start and can no longer be as timely as when the reservation was made. Returns the
    /// workers that the others reserve.
    pub(in crate::batch::planner) fn renew_reservations(
        &mut self,
        candidates: &[Candidate],
        now: Now,
    ) -> ReservedWorkers {
        let mut reserved = ReservedWorkers::default();
        let keeps_reservations = self.policy.placement.keeps_reservations;
        self.reservations.retain(|key, reservation| {
            let candidate = candidates.iter().find(|candidate| candidate.key == *key);
            let has_passed = now.at > reservation.backfill_until + RESERVATION_GRACE;
            let is_kept = candidate.is_some_and(|candidate| {
                candidate.scheduling_key.timeliness <= reservation.timeliness || !has_passed
            });
            if let Some(candidate) = candidate.filter(|_| is_kept && keeps_reservations) {
                reserved.add(candidate, reservation);
            }
            is_kept
        });
        reserved
    }

    /// Returns when the reserved workers of a gang are expected to be free.
    pub(in crate::batch::planner) fn expected_start(&self, key: &GroupKey) -> Option<Timestamp> {
        self.reservations.get(key).map(|found| found.expected_start)
    }

    /// Returns whether a step may use a worker: no gang of higher precedence has reserved it, or
    /// the step's task should end before that gang's earliest expected start.
    pub(in crate::batch::planner) fn may_use_worker(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        scope: SearchScope,
        id: &WorkerId,
        reserved: &ReservedWorkers,
        now: Now,
    ) -> bool {
        let Some(reserving) = reserved.workers.get(id) else {
            return true;
        };
        let is_binding = scope.keeps_reservations || self.is_binding(reserving, candidate, now);
        if reserving.yields_to(candidate) || !is_binding {
            return true;
        }
        self.ends_by(reserving.backfill_until, candidate, step, id, now)
    }

    /// Returns whether a gang keeps its workers also from a job that has had nothing running for too
    /// long: it is expected to start before that job has to, and has not missed such a date before. A
    /// gang that is stopped again and again, or whose start is put off again and again, would
    /// otherwise keep them from that job for good.
    fn is_binding(&self, reserving: &ReservingGang, candidate: &Candidate, now: Now) -> bool {
        let idle_time = self.idle_beside_capacity(&candidate.key, now);
        let left = LONGEST_BOUND_IDLE.saturating_sub(idle_time);
        let starts_soon = reserving.expected_start <= now.at + left.min(BINDING_RESERVATION);
        let bound_since = self.group_of(&reserving.gang).and_then(|g| g.bound_since);
        let has_missed =
            bound_since.is_some_and(|since| now.at - since > BINDING_RESERVATION + MISSED_AFTER);
        !left.is_zero() && starts_soon && !has_missed
    }

    /// Returns whether a task of a step should end by a deadline on a worker, judged by the 90th
    /// percentile of its run time.
    fn ends_by(
        &self,
        deadline: Timestamp,
        candidate: &Candidate,
        step: &StepSpec,
        id: &WorkerId,
        now: Now,
    ) -> bool {
        if !self.policy.placement.backfills || step.long_running {
            return false;
        }
        let p90_ms = crate::time::millis(self.run_time(&candidate.key, step, now).p90);
        let here_ms = self.pace_of(id, now).scale_ms(p90_ms);
        let expected_ms = here_ms.saturating_mul(u64::from(self.slowdown(step, id)));
        now.at + Duration::from_millis(expected_ms) <= deadline
    }

    /// Returns the workers that are free earliest. Prefers those already reserved unless others are
    /// free earlier by more than `MIN_IMPROVEMENT`.
    fn select_workers(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        reserved: &ReservedWorkers,
    ) -> Option<WorkerSelection> {
        let available = self.workers_by_free_time(candidate, step, reserved);
        let earliest = earliest_selection(&available, step);
        let current = self.reservations.get(&candidate.key).and_then(|known| {
            let current: BTreeSet<&WorkerId> = known.workers.iter().collect();
            let mut available = available.clone();
            available.retain(|worker| current.contains(worker.id));
            earliest_selection(&available, step)
        });
        let min_improvement_ms = crate::time::millis(MIN_IMPROVEMENT);
        match (current, earliest) {
            (Some(current), Some(earliest))
                if current.free_in_ms <= earliest.free_in_ms.saturating_add(min_improvement_ms) =>
            {
                Some(current)
            }
            (_, earliest) => earliest,
        }
    }

    /// Returns the workers that the step may use and that are not reserved for another gang, by the
    /// time until they are free.
    fn workers_by_free_time(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        reserved: &ReservedWorkers,
    ) -> Vec<WorkerAvailability<'_>> {
        let service = self.service_of(&candidate.key);
        let min_progress_percent = self.policy.placement.min_progress_percent;
        let resources = step.reserved_resources();
        let mut available: Vec<WorkerAvailability<'_>> = self
            .workers
            .iter()
            .filter(|(_, w)| w.takes_tasks() && w.has_required_label(step) && w.is_near(step))
            .filter(|(_, w)| service.as_ref() == Some(&w.listed.service))
            .filter(|(id, _)| reserved.is_available_to(id, &candidate.key))
            .filter_map(|(id, w)| {
                let task_count = resources.copies_in(&w.capacity_beside_long_running(), step.count);
                (task_count > 0).then(|| WorkerAvailability {
                    free_in_ms: w.free_in_ms(min_progress_percent),
                    rack: &w.listed.rack,
                    id,
                    task_count: task_count.min(step.max_per_worker.unwrap_or(u32::MAX)),
                })
            })
            .collect();
        available.sort_unstable();
        available
    }
}

impl ReservedWorkers {
    fn add(&mut self, candidate: &Candidate, reservation: &Reservation) {
        let reserving = ReservingGang {
            gang: candidate.key.clone(),
            rank: reservation.rank,
            usage_level: candidate.scheduling_key.usage_level,
            backfill_until: reservation.backfill_until,
            expected_start: reservation.expected_start,
        };
        for id in &reservation.workers {
            self.workers.insert(id.clone(), reserving.clone());
        }
    }

    fn is_available_to(&self, id: &WorkerId, key: &GroupKey) -> bool {
        self.workers
            .get(id)
            .is_none_or(|reserving| reserving.gang == *key)
    }
}

impl ReservingGang {
    /// Returns whether a step comes before the gang that has the reservation: it is that gang, has
    /// a rank that goes first, is the oldest aged step, or has the same rank and a customer with
    /// less usage.
    fn yields_to(&self, candidate: &Candidate) -> bool {
        candidate.key == self.gang
            || candidate.rank < self.rank
            || candidate.scheduling_key.is_aged()
            || candidate.rank == self.rank
                && candidate.scheduling_key.usage_level < self.usage_level
    }
}

/// A worker, and when all its current runs are expected to have ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerAvailability<'a> {
    free_in_ms: u64,
    rack: &'a RackId,
    id: &'a WorkerId,
    /// Number of tasks that fit on it then.
    task_count: u32,
}

/// Returns the workers that are free earliest; all on one rack if the step requests that.
fn earliest_selection(
    available: &[WorkerAvailability<'_>],
    step: &StepSpec,
) -> Option<WorkerSelection> {
    let racks: Vec<Option<&RackId>> = if step.same_rack {
        let racks: BTreeSet<&RackId> = available.iter().map(|worker| worker.rack).collect();
        racks.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    let found = racks
        .into_iter()
        .filter_map(|rack| earliest_on_rack(available, rack, step.count));
    found.min_by(|a, b| (a.free_in_ms, &a.workers).cmp(&(b.free_in_ms, &b.workers)))
}

/// Returns the workers that can hold `count` tasks earliest, with the time until then in
/// milliseconds.
fn earliest_on_rack(
    available: &[WorkerAvailability<'_>],
    rack: Option<&RackId>,
    count: u32,
) -> Option<WorkerSelection> {
    let mut left = count;
    let mut workers = Vec::new();
    for worker in available {
        if rack.is_some_and(|rack| rack != worker.rack) {
            continue;
        }
        workers.push(worker.id.clone());
        left = left.saturating_sub(worker.task_count);
        if left == 0 {
            return Some(WorkerSelection {
                free_in_ms: worker.free_in_ms,
                workers,
            });
        }
    }
    None
}

impl Worker {
    /// Returns the time until all runs except long-running ones are expected to have ended, in
    /// milliseconds.
    fn free_in_ms(&self, min_progress_percent: u8) -> u64 {
        let ending = self.runs.values().filter(|run| !run.long_running);
        let left = ending.map(|run| run.remaining_ms(min_progress_percent));
        left.max().unwrap_or(0)
    }

    /// Returns the capacity that is free once all runs except long-running ones have ended.
    fn capacity_beside_long_running(&self) -> Resources {
        let long_running = self.runs.values().filter(|run| run.long_running);
        let occupied = long_running.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.resources)
        });
        self.listed.capacity.saturating_sub(&occupied)
    }
}
