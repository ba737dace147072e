//! Which jobs workers have crashed under, and when such a job is given up.
//!
//! A worker that crashes reports no end: only the loss itself tells of work that crashes its workers.
//! A worker that is silent until its leases have ended may be cut off only; it has crashed if another
//! process answers in its place.

use std::collections::BTreeSet;

use super::Scheduler;
use super::entry::{Entry, Stage};
use crate::placement::{JobKey, JobState};
use crate::{Timestamp, Verdict, WorkerId};

impl Scheduler {
    /// Workers that may crash under a job before it is given up: two crashes may be chance.
    pub const MAX_CRASHES: u32 = 3;

    /// Notes the jobs that may have crashed a worker whose leases have all ended.
    pub(super) fn suspect_jobs_on(&mut self, worker: &WorkerId) {
        let jobs = self.jobs_started_on(worker);
        if let Some(contact) = self.contacts.get_mut(worker) {
            contact.lost_jobs.extend(jobs);
        }
    }

    /// Takes word that a process answers as a worker: the same one as before did not crash, another one
    /// tells that the one before it did.
    pub(super) fn settle_suspicion(
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
        started.retain(|key| self.is_on_other(key, worker, incarnation));
        jobs.extend(started);
        for key in jobs {
            self.count_crash(&key, now);
        }
    }

    /// Counts a crash against a job, and gives it up if it waits and that was one too many.
    fn count_crash(&mut self, key: &JobKey, now: Timestamp) {
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        entry.crashes += 1;
        if matches!(entry.stage, Stage::Waiting) && entry.crashes >= Self::MAX_CRASHES {
            self.give_up_crashing(key, now);
        }
    }

    /// Ends a job that waits: each further start would take another worker down.
    pub(super) fn give_up_crashing(&mut self, key: &JobKey, now: Timestamp) {
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

    /// Tells whether a job's run has a member on another incarnation of a worker.
    fn is_on_other(&self, key: &JobKey, worker: &WorkerId, incarnation: u64) -> bool {
        let Some(Stage::Running(running)) = self.jobs.get(key).map(|entry| &entry.stage) else {
            return false;
        };
        let mut members = running.run.members().iter();
        members.any(|member| member.worker == *worker && member.incarnation != incarnation)
    }

    fn jobs_started_on(&self, worker: &WorkerId) -> BTreeSet<JobKey> {
        let Some(contact) = self.contacts.get(worker) else {
            return BTreeSet::new();
        };
        let has_started = |key: &&JobKey| self.jobs.get(*key).is_some_and(Entry::may_run);
        contact.runs.iter().filter(has_started).cloned().collect()
    }
}

impl Entry {
    /// Tells whether its present run may have started.
    fn may_run(&self) -> bool {
        match &self.stage {
            Stage::Running(running) => running.run.verdict() == Verdict::MayHaveRun,
            Stage::Waiting | Stage::Closing => false,
        }
    }
}
