//! Why a job is waiting.

use std::time::Duration;

use super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::candidate_worker::SearchScope;
use super::job::{Job, Task};
use super::pass::{CapacityKind, Pass};
use super::{Now, Planner};
use crate::JobId;
use crate::batch::{GroupKey, WaitReason, WaitStatus};

/// The step that has waited longest for placements, among steps of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct OldestWait {
    /// The step.
    pub group: GroupKey,
    /// How long it has waited.
    pub waited: Duration,
    /// What it waits for.
    pub reason: WaitReason,
}

impl Planner {
    /// Returns the step that has waited longest although its tasks fit, if there is one.
    #[must_use]
    pub fn oldest_fitting_wait(&self, now: Now) -> Option<OldestWait> {
        let mut pass = Pass::default();
        let mut oldest: Option<(GroupKey, Duration)> = None;
        for (id, job) in &self.jobs {
            if job.outcome.is_some() {
                continue;
            }
            for key in job.ready_keys(id) {
                let waited = self.waiting_time(&key, now);
                let is_older = oldest.as_ref().is_none_or(|(_, longest)| waited > *longest);
                if is_older && self.fits_now(&key, &mut pass) {
                    oldest = Some((key, waited));
                }
            }
        }
        let (group, waited) = oldest?;
        let reason = self.wait_status(&group.job, now)?.reason;
        Some(OldestWait {
            group,
            waited,
            reason,
        })
    }

    /// Returns the step of a guaranteed job that has waited longest for placements, if one does.
    #[must_use]
    pub fn oldest_guaranteed_wait(&self, now: Now) -> Option<OldestWait> {
        let guaranteed = self.guaranteed_jobs();
        let waiting = guaranteed.iter().filter_map(|id| {
            let job = self.jobs.get(id)?;
            let (group, reason) = self.first_waiting_step(job, now)?;
            let waits_for_capacity = reason.is_none();
            waits_for_capacity.then_some(group)
        });
        let group = waiting.max_by_key(|group| self.waiting_time(group, now))?;
        let reason = self.wait_status(&group.job, now)?.reason;
        Some(OldestWait {
            waited: self.waiting_time(&group, now),
            group,
            reason,
        })
    }

    /// Returns whether a step waits for placements and one of its tasks, or its whole gang, fits on
    /// the free capacity of the fleet.
    pub(super) fn fits_now(&self, key: &GroupKey, pass: &mut Pass) -> bool {
        self.waits_and_fits(key, CapacityKind::Free, pass)
    }

    fn waits_and_fits(&self, key: &GroupKey, kind: CapacityKind, pass: &mut Pass) -> bool {
        let (Some(step), Some(group)) = (self.step(key), self.group_of(key)) else {
            return false;
        };
        let waits = group.tasks.iter().any(Task::is_waiting);
        let scope = SearchScope::ANYWHERE;
        waits
            && self
                .ceiling(key, step, scope.near, kind, pass)
                .allows(step, step.count, scope)
    }

    /// Returns why a job is waiting, by its first open step, or `None` if nothing of it is waiting.
    #[must_use]
    pub fn wait_status(&self, id: &JobId, now: Now) -> Option<WaitStatus> {
        let job = self.jobs.get(id).filter(|job| job.outcome.is_none())?;
        let (key, reason) = self.first_waiting_step(job, now)?;
        let rank = if self.is_guaranteed(&key) {
            GUARANTEED_RANK
        } else {
            job.accepted.queue.priority.saturating_add(1)
        };
        let customer = job.accepted.customer.as_ref();
        let scheduling_key = self.scheduling_key_of(rank, &key, job, now);
        let reason = reason.unwrap_or_else(|| {
            let key = key.clone();
            self.capacity_wait_reason(
                &Candidate {
                    rank,
                    scheduling_key,
                    key,
                },
                now,
            )
        });
        Some(WaitStatus {
            rank,
            timeliness: scheduling_key.timeliness,
            customer_usage: Duration::from_millis(self.usage.used_ms(customer, now.at)),
            mean_usage: Duration::from_millis(self.usage.mean_used_ms(now.at)),
            eligible_for: self.waiting_time(&key, now),
            reason,
        })
    }

    /// Returns the first open step that is waiting, and what it waits for. The reason is `None` if
    /// it waits for free capacity. Returns `None` if no step is waiting.
    fn first_waiting_step(&self, job: &Job, now: Now) -> Option<(GroupKey, Option<WaitReason>)> {
        for (occurrence, groups) in (0..).zip(&job.occurrences) {
            for (step, group) in groups.iter().enumerate() {
                let key = GroupKey {
                    job: job.accepted.id.clone(),
                    occurrence,
                    step: u32::try_from(step).unwrap_or(u32::MAX),
                };
                if !job.is_ready(occurrence, step) {
                    return Some((key, Some(WaitReason::EarlierStep)));
                }
                if group.tasks.iter().any(Task::is_waiting) {
                    return Some((key, None));
                }
                if self.planned.contains(&key) {
                    return Some((key, Some(WaitReason::PendingStart)));
                }
                if !group.is_done() {
                    let reason = self.earlier_lease(&key, now)?;
                    return Some((key, Some(reason)));
                }
            }
        }
        let next = GroupKey {
            job: job.accepted.id.clone(),
            occurrence: u32::try_from(job.occurrences.len()).unwrap_or(u32::MAX),
            step: 0,
        };
        let is_later = job
            .next_eligible_unix_ms()
            .is_some_and(|due| due > now.unix_ms);
        is_later.then_some((next, Some(WaitReason::ScheduledTime)))
    }

    /// Returns why a step with waiting tasks has no placement for them.
    fn capacity_wait_reason(&self, candidate: &Candidate, now: Now) -> WaitReason {
        if let Some(expected_start) = self.expected_start(&candidate.key) {
            return WaitReason::ReservedCapacity(expected_start - now.at);
        }
        let is_gang = self.step(&candidate.key).is_some_and(|step| step.gang);
        if is_gang && let Some(reason) = self.earlier_lease(&candidate.key, now) {
            return reason;
        }
        let accelerators = self.step(&candidate.key).map_or(0, |step| {
            let tasks = if step.gang { step.count } else { 1 };
            step.needs.accelerators.saturating_mul(tasks)
        });
        let mut pass = Pass::default();
        if candidate.rank <= URGENT_RANK && !self.fits_after_preemption(candidate, &mut pass) {
            return WaitReason::NotPreemptible;
        }
        let is_reserved = candidate.rank > URGENT_RANK
            && self.free_accelerators(&mut pass) >= accelerators
            && self.accelerator_allowance(candidate, &mut pass, now) < accelerators;
        if is_reserved {
            WaitReason::Headroom
        } else if !self.fits_now(&candidate.key, &mut pass) {
            if self.waits_and_fits(&candidate.key, CapacityKind::FreeWithUnverified, &mut pass) {
                WaitReason::UnverifiedWorkers
            } else {
                WaitReason::Capacity
            }
        } else if !self.fits_near(&candidate.key, &mut pass) {
            WaitReason::Locality
        } else if candidate.rank > URGENT_RANK && self.is_start_window_closed(&candidate.key) {
            WaitReason::StartWindow
        } else if self.is_kept_for_guarantees(candidate) {
            WaitReason::KeptForGuarantees
        } else if !self.reservations.is_empty() {
            WaitReason::ReservedForOthers
        } else {
            WaitReason::Capacity
        }
    }

    /// Returns the lease of a step that may last longest, among those of runs that earlier planners
    /// started at workers that do not answer.
    fn earlier_lease(&self, key: &GroupKey, now: Now) -> Option<WaitReason> {
        let group = self.group_of(key)?;
        let placed = (0..).zip(&group.tasks).filter(|(_, task)| !task.done);
        let leases = placed.filter_map(|(index, task)| {
            let worker = self.workers.get(task.worker.as_ref()?)?;
            let run = worker.runs.get(&key.task(index))?;
            let waits = run.restored && !worker.is_in_contact();
            waits.then(|| WaitReason::EarlierLease {
                run: run.number,
                worker: worker.listed.id.clone(),
                left: worker.lease_end().unwrap_or(now.at) - now.at,
            })
        });
        leases.max_by_key(|reason| match reason {
            WaitReason::EarlierLease { left, .. } => *left,
            _ => Duration::ZERO,
        })
    }

    /// Returns whether one task of a step, or its whole gang, fits on the free capacity near its
    /// data, on a single rack if the gang requests one.
    fn fits_near(&self, key: &GroupKey, pass: &mut Pass) -> bool {
        let scope = SearchScope::NEAR;
        self.step(key).is_some_and(|step| {
            self.ceiling(key, step, scope.near, CapacityKind::Free, pass)
                .allows(step, step.count, scope)
        })
    }

    /// Returns whether a step would fit once all runs that its rank may preempt have ended.
    fn fits_after_preemption(&self, candidate: &Candidate, pass: &mut Pass) -> bool {
        let scope = SearchScope::ANYWHERE.preempting();
        let preemptor = self.preemptor(candidate.rank, Duration::MAX);
        let kind = CapacityKind::AfterPreemption(preemptor);
        self.step(&candidate.key).is_some_and(|step| {
            let ceiling = self.ceiling(&candidate.key, step, scope.near, kind, pass);
            ceiling.allows(step, step.count, scope)
        })
    }
}
