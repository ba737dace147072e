//! Crash attribution: which jobs a worker crash is counted against, and when such a job is ended.
//!
//! A crashed worker does not report how its tasks ended, so a job that crashes its worker can be
//! recognized only by the loss of the worker. A worker that is silent until its leases have expired
//! may only be unreachable. It counts as crashed if it answers again with another incarnation.

use std::collections::BTreeSet;

use super::Scheduler;
use super::entry::{Entry, Stage};
use crate::placement::{JobKey, JobState};
use crate::{Timestamp, Verdict, WorkerId};

impl Scheduler {
    /// Number of worker crashes after which a job is ended. Two crashes may be coincidence.
    pub const MAX_CRASHES: u32 = 3;

    /// Records the jobs that may have crashed a worker whose leases have all expired.
    pub(super) fn record_suspects(&mut self, worker: &WorkerId) {
        let jobs = self.jobs_started_on(worker);
        if let Some(contact) = self.contacts.get_mut(worker) {
            contact.lost_jobs.extend(jobs);
        }
    }

    /// Counts a crash against the jobs of an earlier incarnation if the worker has restarted.
    ///
    /// `incarnation` is the one that answers now. If it is the same as before, the worker did not
    /// crash, and nothing is counted against the jobs recorded for it.
    pub(super) fn attribute_crashes(
        &mut self,
        worker: &WorkerId,
        incarnation: u64,
        restarted: bool,
        now: Timestamp,
    ) {
        let Some(contact) = self.contacts.get_mut(worker) else {
            return;
        };
        let mut jobs = std::mem::take(&mut contact.lost_jobs);
        if !restarted {
            jobs.clear();
        }
        let mut started = self.jobs_started_on(worker);
        started.retain(|key| self.is_on_other_incarnation(key, worker, incarnation));
        jobs.extend(started);
        for key in jobs {
            self.count_crash(&key, now);
        }
    }

    /// Counts a crash against a job. Ends the job if it waits and has reached
    /// [`Scheduler::MAX_CRASHES`].
    fn count_crash(&mut self, key: &JobKey, now: Timestamp) {
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        entry.crashes += 1;
        if matches!(entry.stage, Stage::Waiting) && entry.crashes >= Self::MAX_CRASHES {
            self.end_after_crashes(key, now);
        }
    }

    /// Ends a waiting job that has reached [`Scheduler::MAX_CRASHES`], because it might crash
    /// another worker.
    pub(super) fn end_after_crashes(&mut self, key: &JobKey, now: Timestamp) {
        let Some(entry) = self.jobs.get(key) else {
            return;
        };
        let reason = format!("{} workers crashed under it", entry.crashes);
        let state = JobState::Ended {
            verdict: Verdict::MayHaveRun,
            reason: reason.clone(),
        };
        self.close(key, state, now, &reason);
    }

    /// Tells whether the run of a job has a member on another incarnation of the worker.
    fn is_on_other_incarnation(&self, key: &JobKey, worker: &WorkerId, incarnation: u64) -> bool {
        let Some(Stage::Running(running)) = self.jobs.get(key).map(|entry| &entry.stage) else {
            return false;
        };
        let mut members = running.run.members().iter();
        members.any(|member| member.worker == *worker && member.incarnation != incarnation)
    }

    /// Returns the jobs with a run on the worker that may have started.
    fn jobs_started_on(&self, worker: &WorkerId) -> BTreeSet<JobKey> {
        let Some(contact) = self.contacts.get(worker) else {
            return BTreeSet::new();
        };
        let has_started = |key: &&JobKey| self.jobs.get(*key).is_some_and(Entry::may_have_started);
        contact.runs.iter().filter(has_started).cloned().collect()
    }
}

impl Entry {
    /// Tells whether the current run of the job may have started.
    fn may_have_started(&self) -> bool {
        match &self.stage {
            Stage::Running(running) => running.run.verdict() == Verdict::MayHaveRun,
            Stage::Waiting | Stage::Closing => false,
        }
    }
}
