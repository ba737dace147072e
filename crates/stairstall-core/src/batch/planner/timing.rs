//! When the waiting work is looked over, and when the next tick is due.

use std::time::Duration;

use super::job::Job;
use super::{Now, Planner};

impl Planner {
    /// Tells whether it is time for a pass; one that is asked for too soon is put off.
    ///
    /// A pass looks at the whole fleet: at thousands of workers one for each end takes the
    /// processor that reports need. Urgent work that arrives does not wait.
    pub(super) fn may_plan(&mut self, now: Now) -> bool {
        let is_due = self.replan_at.is_some_and(|at| now.at >= at);
        if !self.replan || self.hurries {
            return is_due || self.hurries;
        }
        let gap = self.policy.flow.pass_interval(self.workers.len());
        let may_from = self.planned_at.map(|at| at + gap);
        let is_too_soon = may_from.is_some_and(|at| now.at < at);
        if is_too_soon {
            self.replan = false;
            self.replan_at = self.replan_at.min(may_from).or(may_from);
        }
        !is_too_soon || is_due
    }

    /// Tells whether it knows which zones take work, and the workers have had the time to say what
    /// runs on them: a new planner that knows only a few of them would put work in bad places and
    /// stop what need not stop.
    pub(super) fn knows_enough(&mut self, now: Now) -> bool {
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

    /// Returns when the next tick is due, if nothing happens before.
    #[must_use]
    pub fn next_tick(&self, now: Now) -> Duration {
        let due = self.jobs.values().filter_map(Job::next_due_unix_ms).min();
        let due = due.map(|due| Duration::from_millis(due.saturating_sub(now.unix_ms)));
        let replan = self.replan_at.map(|at| at - now.at);
        due.into_iter()
            .chain(replan)
            .min()
            .unwrap_or(Self::IDLE_TICK)
            .clamp(Duration::from_millis(1), Self::IDLE_TICK)
    }

    /// Longest time between two ticks.
    pub(super) const IDLE_TICK: Duration = Duration::from_millis(250);
}
