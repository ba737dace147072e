//! Why a job is waiting.

use std::time::Duration;

use super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::job::{Job, Task};
use super::pass::Pass;
use super::{Now, Planner};
use crate::JobId;
use crate::batch::{GroupKey, WaitReason, WaitStatus};

impl Planner {
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
                    return None;
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
        let accelerators = self.step(&candidate.key).map_or(0, |step| {
            let tasks = if step.gang { step.count } else { 1 };
            step.needs.accelerators.saturating_mul(tasks)
        });
        let mut pass = Pass::default();
        let is_reserved = candidate.rank > URGENT_RANK
            && self.free_accelerators(&mut pass) >= accelerators
            && self.accelerator_allowance(candidate, &mut pass, now) < accelerators;
        if is_reserved {
            WaitReason::Headroom
        } else {
            WaitReason::Capacity
        }
    }
}
