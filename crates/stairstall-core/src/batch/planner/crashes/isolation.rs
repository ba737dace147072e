//! Isolation of suspect tasks: tasks that may have crashed workers are kept away from other work.

use std::time::Duration;

use super::super::candidate_worker::SearchScope;
use super::super::pool::{CrashSuspicion, Run, Worker};
use super::super::{Now, Planner};
use crate::batch::{GroupKey, TaskKey, TaskLosses};
use crate::{JobId, Timestamp};

impl Planner {
    /// Returns how strongly a task is suspected of crashing workers, from the workers lost under
    /// it.
    pub(in crate::batch::planner) fn suspicion(&self, task: &TaskKey) -> CrashSuspicion {
        let losses = self.task(task).map(|task| &task.losses);
        losses.map_or(CrashSuspicion::None, |losses| self.suspicion_from(losses))
    }

    fn suspicion_from(&self, losses: &TaskLosses) -> CrashSuspicion {
        if losses.is_empty() {
            return CrashSuspicion::None;
        }
        let mut with_next_crash = losses.assuming_crashed();
        with_next_crash.record_crash(true);
        if self.reaches_loss_limit(&with_next_crash) {
            CrashSuspicion::LastAttempt
        } else {
            CrashSuspicion::Some
        }
    }

    /// Returns the rule that tells which workers the tasks of a step must avoid.
    pub(in crate::batch::planner) fn isolation(
        &self,
        key: &GroupKey,
        urgent: bool,
        scope: SearchScope,
        now: Now,
    ) -> Isolation<'_> {
        let job = self.jobs.get_key_value(&key.job).map(|(id, _)| id);
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        let waiting = group.into_iter().flat_map(|group| &group.tasks);
        let mut waiting = waiting.filter(|task| task.is_waiting());
        let is_last_attempt =
            waiting.any(|task| self.suspicion_from(&task.losses) == CrashSuspicion::LastAttempt);
        let within_wait_limit = self.waiting_time(key, now) <= self.suspect_wait_limit(urgent);
        Isolation {
            job,
            fresh_start: self.policy.health.fresh_start,
            avoids_fresh_starts: is_last_attempt && within_wait_limit && scope.yields,
        }
    }
}

/// Keeps a task on its last attempt away from freshly started runs of other jobs, whichever starts
/// first, so that a crash right after a start can be attributed to one job.
pub(in crate::batch::planner) struct Isolation<'a> {
    job: Option<&'a JobId>,
    fresh_start: Duration,
    /// Whether the step has a task on its last attempt, and neither the step nor its job has waited
    /// so long that it may start next to freshly started runs.
    avoids_fresh_starts: bool,
}

impl Isolation<'_> {
    /// Returns whether the tasks may start on a worker.
    pub(in crate::batch::planner) fn allows(&self, worker: &Worker, at: Timestamp) -> bool {
        let is_other = |task: &TaskKey| self.job != Some(&task.group.job);
        let is_fresh = |run: &Run| run.is_freshly_started(at, self.fresh_start);
        let last_attempt = worker.last_attempt.as_ref().filter(|task| is_other(task));
        if last_attempt.is_some_and(|task| worker.runs.get(task).is_some_and(is_fresh)) {
            return false;
        }
        let mut others = worker.runs.iter().filter(|(task, _)| is_other(task));
        !self.avoids_fresh_starts || !others.any(|(_, run)| is_fresh(run))
    }
}

impl Run {
    /// Returns whether the run started shortly before `at` or has not started yet.
    fn is_freshly_started(&self, at: Timestamp, fresh_start: Duration) -> bool {
        self.began
            .is_none_or(|(began, _)| at - began <= fresh_start)
    }
}
