//! When the next scheduling pass and the next tick are due.

use std::time::Duration;

use super::job::Job;
use super::{Now, Planner};

impl Planner {
    /// Returns whether a scheduling pass is due. A pass that is requested too soon after the last
    /// one is postponed.
    ///
    /// A pass goes through the whole fleet. With thousands of workers, a pass for each run end
    /// would take the processor time that reports need. Newly arrived urgent jobs are not delayed.
    pub(super) fn is_pass_due(&mut self, now: Now) -> bool {
        let is_due = self.replan_at.is_some_and(|at| now.at >= at);
        if !self.replan || self.has_urgent_arrival {
            return is_due || self.has_urgent_arrival;
        }
        let gap = self.policy.flow.pass_interval(self.workers.len());
        let earliest = self.last_pass_at.map(|at| at + gap);
        let is_too_soon = earliest.is_some_and(|at| now.at < at);
        if is_too_soon {
            self.replan = false;
            self.replan_at = self.replan_at.min(earliest).or(earliest);
        }
        !is_too_soon || is_due
    }

    /// Returns whether the evacuated zones are known and the workers have had enough time to report
    /// their runs.
    ///
    /// A new planner that knows only a few of the workers would place work badly and stop runs
    /// needlessly.
    pub(super) fn has_enough_reports(&mut self, now: Now) -> bool {
        if !self.has_fresh_evacuated_zones(now) {
            return false;
        }
        let first_tick_at = *self.first_tick_at.get_or_insert(now.at);
        let is_quiet = self
            .last_new_report_at
            .is_some_and(|at| now.at - at >= self.policy.takeover.reports_quiet);
        is_quiet
            || now.at - first_tick_at >= self.policy.takeover.reports_wait
            || self
                .workers
                .values()
                .all(|w| w.incarnation_state.fenced || !w.is_listed)
    }

    /// Returns the time until the next tick is due if there is no input before.
    #[must_use]
    pub fn next_tick(&self, now: Now) -> Duration {
        let eligible = self.jobs.values().filter_map(Job::next_eligible_unix_ms);
        let eligible = eligible.min();
        let eligible = eligible.map(|at| Duration::from_millis(at.saturating_sub(now.unix_ms)));
        let replan = self.replan_at.map(|at| at - now.at);
        eligible
            .into_iter()
            .chain(replan)
            .min()
            .unwrap_or(Self::MAX_TICK_INTERVAL)
            .clamp(Duration::from_millis(1), Self::MAX_TICK_INTERVAL)
    }

    /// Longest time between two ticks.
    pub(super) const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);
}
