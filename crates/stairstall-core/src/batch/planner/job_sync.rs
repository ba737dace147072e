//! Whether the planner's job records are current.
//!
//! While the lease of the planner role is not known to be valid, other daemons store cancellations
//! without notifying the planner. It starts nothing until it has read what was stored meanwhile.

use super::{Now, Planner};
use crate::Timestamp;

impl Planner {
    /// Marks the job records as stale: up to now, jobs may have been submitted or cancelled without
    /// the planner being notified.
    pub const fn mark_jobs_stale(&mut self, now: Now) {
        self.jobs_stale_at = Some(now.at);
    }

    /// Marks the job records as current if they were not marked stale after `requested_at`,
    /// the time at which the read of all stored job records was requested.
    pub fn confirm_jobs_current(&mut self, requested_at: Timestamp) {
        if self
            .jobs_stale_at
            .take_if(|at| *at <= requested_at)
            .is_some()
        {
            self.starts_due = true;
        }
    }

    /// Returns whether the job records are current, so that starts may be sent.
    pub(super) const fn jobs_are_current(&self) -> bool {
        self.jobs_stale_at.is_none()
    }
}
