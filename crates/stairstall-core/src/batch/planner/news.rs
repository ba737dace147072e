//! Whether the planner may have missed word of jobs.
//!
//! While its role's lease is not known to be in force, other daemons have cancellations kept without
//! telling it. Until it has read what was kept meanwhile, it starts nothing.

use super::{Now, Planner};
use crate::Timestamp;

impl Planner {
    /// Takes word that jobs may have been handed in or cancelled without its knowledge until now.
    pub const fn doubt_jobs(&mut self, now: Now) {
        self.jobs_doubted_at = Some(now.at);
    }

    /// Takes word that all that was kept of jobs by `asked_at` has been told.
    pub fn confirm_jobs(&mut self, asked_at: Timestamp) {
        if self.jobs_doubted_at.take_if(|at| *at <= asked_at).is_some() {
            self.emit_due = true;
        }
    }

    /// Tells whether starts may leave by what is known of jobs.
    pub(super) const fn knows_jobs(&self) -> bool {
        self.jobs_doubted_at.is_none()
    }
}
