//! Whether the planner may have missed word of jobs.
//!
//! While its role's lease is not known to be in force, other daemons have cancellations kept without
//! telling it. Until it has read what was kept meanwhile, it starts nothing.

use super::{Now, Planner};
use crate::Timestamp;

impl Planner {
    /// Takes word that jobs may have been handed in or cancelled without its knowledge until now.
    pub const fn mark_jobs_stale(&mut self, now: Now) {
        self.jobs_doubted_at = Some(now.at);
    }

    /// Takes word that all that was kept of jobs by `asked_at` has been told.
    pub fn confirm_jobs_current(&mut self, asked_at: Timestamp) {
        if self.jobs_doubted_at.take_if(|at| *at <= asked_at).is_some() {
            self.starts_due = true;
        }
    }

    /// Tells whether starts may leave by what is known of jobs.
    pub(super) const fn jobs_are_current(&self) -> bool {
        self.jobs_doubted_at.is_none()
    }
}
