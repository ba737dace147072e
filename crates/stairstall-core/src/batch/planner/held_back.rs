//! Jobs that this planner can't read.
//!
//! What can't be read may have been written by another version. It is not taken for absent: the
//! planner starts nothing of such a job, but leaves its runs alone and does not let workers forget
//! how they ended, so that a planner that can read the job goes on from there.

use std::collections::BTreeSet;

use super::Planner;
use crate::JobId;

/// Number of a change that is never stored.
pub(super) const NEVER_STORED: u64 = u64::MAX;

impl Planner {
    /// Holds back jobs that are stored but can't be read.
    pub fn hold_back_jobs(&mut self, jobs: BTreeSet<JobId>) {
        self.held_back = jobs;
    }

    pub(super) fn is_held_back(&self, job: &JobId) -> bool {
        self.held_back.contains(job)
    }
}
