//! When the next scheduling pass and the next tick are due.

use std::time::Duration;

use super::job::Job;
use super::{Now, Planner};

/// Share of the time that scheduling passes may take, in percent.
const MAX_PASS_PERCENT: u32 = 20;
/// The same while urgent jobs have just arrived.
const MAX_URGENT_PASS_PERCENT: u32 = 40;
/// Longest time between two passes that follows from what passes take.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(500);

impl Planner {
    /// Returns whether a scheduling pass is due. A pass that is requested too soon after the last
    /// one is postponed.
    pub(super) fn is_pass_due(&mut self, now: Now) -> bool {
        if !self.replan && !self.has_urgent_arrival {
            return self.replan_at.is_some_and(|at| now.at >= at);
        }
        let Some(last_pass_at) = self.last_pass_at else {
            return true;
        };
        let earliest = last_pass_at + self.pass_interval();
        let is_due = now.at >= earliest || self.replan_at.is_some_and(|at| now.at >= at);
        if !is_due {
            self.replan = false;
            self.replan_at = Some(self.replan_at.map_or(earliest, |at| at.min(earliest)));
        }
        is_due
    }

    /// Returns the shortest time from the start of one scheduling pass to the next.
    ///
    /// A pass goes through the whole fleet. With thousands of workers, a pass for each run end
    /// would take the processor time that reports and starts need, and the more of it, the slower
    /// the VM is. Newly arrived urgent jobs wait for less.
    fn pass_interval(&self) -> Duration {
        let pass = self.own_load.pass;
        if self.has_urgent_arrival {
            return (pass * 100 / MAX_URGENT_PASS_PERCENT).min(Self::MAX_TICK_INTERVAL);
        }
        let measured = (pass * 100 / MAX_PASS_PERCENT).min(MAX_PASS_INTERVAL);
        let usual = self.policy.flow.pass_interval(self.workers.len());
        usual.max(measured)
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
