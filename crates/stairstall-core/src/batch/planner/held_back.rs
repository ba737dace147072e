//! Jobs that this planner can't read.
//!
//! What can't be read may have been written by another version. It is not taken for absent: the
//! planner starts nothing of such a job, but leaves its runs alone and does not let workers forget
//! how they ended, so that a planner that can read the job goes on from there.

use std::collections::BTreeSet;

use super::Planner;
use crate::JobId;

impl Planner {
    /// Holds back jobs that are stored but can't be read: they are neither restored nor added.
    pub fn hold_back_jobs(&mut self, jobs: BTreeSet<JobId>) {
        self.held_back = jobs;
    }

    /// Returns whether a job is stored but can't be read.
    #[must_use]
    pub fn is_held_back(&self, job: &JobId) -> bool {
        self.held_back.contains(job)
    }
}
