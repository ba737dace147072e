//! What is handed from one planner to the next of what was learnt.

use std::time::Duration;

use super::{Now, Planner};
use crate::batch::LearnedEstimates;

impl Planner {
    /// Returns what the next planner should know at once.
    #[must_use]
    pub fn learned_estimates(&self, now: Now) -> LearnedEstimates {
        LearnedEstimates {
            at_unix_ms: now.unix_ms,
            run_times: self.run_times.to_stored(now.at),
            paces: self.paces.to_stored(now.at),
        }
    }

    /// Takes what an earlier planner had learnt; call it before [`Planner::restore_job`], which judges what
    /// runs by it.
    pub fn restore_learned_estimates(&mut self, learnt: LearnedEstimates, now: Now) {
        let age = Duration::from_millis(now.unix_ms.saturating_sub(learnt.at_unix_ms));
        self.run_times.restore(&learnt.run_times, age, now.at);
        self.paces.restore(learnt.paces, age, now.at);
    }
}
