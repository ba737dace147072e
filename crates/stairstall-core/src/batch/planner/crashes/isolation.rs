//! What is put apart from other work because workers were lost under it.

use std::time::Duration;

use super::super::pool::{CrashSuspicion, Run, Worker};
use super::super::{Now, Planner};
use crate::batch::{GroupKey, TaskKey, TaskLosses};
use crate::{JobId, Timestamp};

impl Planner {
    /// Returns what the workers that were lost under a task say of it.
    pub(in crate::batch::planner) fn suspicion(&self, task: &TaskKey) -> CrashSuspicion {
        let losses = self.task(task).map(|task| &task.losses);
        losses.map_or(CrashSuspicion::None, |losses| self.suspicion_by(losses))
    }

    fn suspicion_by(&self, losses: &TaskLosses) -> CrashSuspicion {
        if losses.is_empty() {
            return CrashSuspicion::None;
        }
        let mut next = losses.assuming_crashed();
        next.record_crash(true);
        if self.is_too_much(&next) {
            CrashSuspicion::LastAttempt
        } else {
            CrashSuspicion::Some
        }
    }

    /// Returns which workers a step's tasks must keep away from.
    pub(in crate::batch::planner) fn isolation(
        &self,
        key: &GroupKey,
        urgent: bool,
        now: Now,
    ) -> Isolation<'_> {
        let job = self.jobs.get_key_value(&key.job).map(|(id, _)| id);
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        let waiting = group.into_iter().flat_map(|group| &group.tasks);
        let mut waiting = waiting.filter(|task| task.is_waiting());
        let takes_last_chance =
            waiting.any(|task| self.suspicion_by(&task.losses) == CrashSuspicion::LastAttempt);
        let has_patience = self.waiting_time(key, now) <= self.suspect_patience(urgent);
        Isolation {
            job,
            fresh_start: self.policy.health.fresh_start,
            wants_quiet: takes_last_chance && has_patience,
        }
    }
}

/// Keeps what takes its last chance apart from what else has just started, so that a crash right after
/// the start leaves no doubt about its cause.
pub(in crate::batch::planner) struct Isolation<'a> {
    job: Option<&'a JobId>,
    fresh_start: Duration,
    /// Whether it takes a last chance itself, and still waits for a worker where nothing has just
    /// started.
    wants_quiet: bool,
}

impl Isolation<'_> {
    /// Tells whether tasks may start at a worker.
    pub(in crate::batch::planner) fn allows(&self, worker: &Worker, at: Timestamp) -> bool {
        let is_other = |task: &TaskKey| self.job != Some(&task.group.job);
        let is_fresh = |run: &Run| run.was_fresh(at, self.fresh_start);
        let last_chance = worker.last_attempt.as_ref().filter(|task| is_other(task));
        if last_chance.is_some_and(|task| worker.runs.get(task).is_some_and(is_fresh)) {
            return false;
        }
        let mut others = worker.runs.iter().filter(|(task, _)| is_other(task));
        !self.wants_quiet || !others.any(|(_, run)| is_fresh(run))
    }
}

impl Run {
    /// Tells whether it had just begun at a moment, or had not begun yet.
    fn was_fresh(&self, at: Timestamp, fresh_start: Duration) -> bool {
        self.began
            .is_none_or(|(began, _)| at - began <= fresh_start)
    }
}
