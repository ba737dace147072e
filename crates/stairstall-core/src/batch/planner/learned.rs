//! Estimates that one planner hands to the next.

use std::time::Duration;

use super::{Now, Planner};
use crate::batch::LearnedEstimates;

impl Planner {
    /// Returns the learned run times and paces, to be stored for the next planner.
    #[must_use]
    pub fn learned_estimates(&self, now: Now) -> LearnedEstimates {
        LearnedEstimates {
            at_unix_ms: now.unix_ms,
            run_times: self.run_times.to_stored(now.at),
            paces: self.paces.to_stored(now.at),
        }
    }

    /// Restores the estimates that an earlier planner had learned.
    ///
    /// Call this before [`Planner::restore_job`], which uses the estimates for the restored runs.
    pub fn restore_learned_estimates(&mut self, learned: LearnedEstimates, now: Now) {
        let age = Duration::from_millis(now.unix_ms.saturating_sub(learned.at_unix_ms));
        self.run_times.restore(&learned.run_times, age, now.at);
        self.paces.restore(learned.paces, age, now.at);
    }
}
