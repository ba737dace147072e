//! Flow control between the planner and its workers, so that the planner's own VM keeps up.
//!
//! A saturated link delays every answer: starts count as unanswered and are resent, reports arrive
//! late and leases expire. All of this adds load to the link.

use std::time::Duration;

use super::candidate::{Candidate, URGENT_RANK};
use super::pass::Pass;
use super::pool::RunState;
use super::{Now, Planner, VmLimits};
use crate::batch::FlowPolicy;

/// Divisor for the weight of the newest report in the running mean of report sizes.
const MEAN_WEIGHT_DIVISOR: u32 = 16;

/// How well the planner keeps up with its workers at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ContactLag {
    /// Listed workers that do not answer.
    pub silent: usize,
    /// Age of the oldest last report among the responsive workers that have runs.
    pub oldest_report: Duration,
    /// How long workers are told to wait for a run to end before they report.
    pub report_wait: Duration,
    /// Starts that wait for an answer, or for their placement to be stored.
    pub starts_under_way: usize,
}

/// Capacity of this VM, and the measured size of reports.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FlowControl {
    limits: VmLimits,
    /// Running mean of the sizes of report bodies, in bytes.
    report_bytes: u32,
    /// Whether tasks that have free capacity wait until earlier starts are answered.
    starts_limited: bool,
}

impl FlowControl {
    pub(super) const fn set_limits(&mut self, limits: VmLimits) {
        self.limits = limits;
    }

    pub(super) const fn record_report_size(&mut self, bytes: u32) {
        let older = self.report_bytes - self.report_bytes / MEAN_WEIGHT_DIVISOR;
        self.report_bytes = older.saturating_add(bytes / MEAN_WEIGHT_DIVISOR);
    }

    /// Returns how many reports per second this VM can take.
    fn reports_per_s(&self, policy: &FlowPolicy) -> u64 {
        let bytes = u64::from(policy.message_bytes) + u64::from(self.report_bytes);
        let link_reports_per_s = self.limits.link_bytes_per_s
            * u64::from(policy.reports_bandwidth_percent)
            / 100
            / bytes;
        link_reports_per_s.min(self.messages_per_s(policy)).max(1)
    }

    /// Returns how many starts may be unanswered at the same time.
    fn start_window(&self, policy: &FlowPolicy) -> u64 {
        let per_s = self.limits.link_bytes_per_s / u64::from(policy.start_bytes);
        let per_s = per_s.min(self.messages_per_s(policy));
        per_s * u64::try_from(policy.start_window.as_millis()).unwrap_or(u64::MAX) / 1000
    }

    /// Returns how many messages per second fit into the share of the CPU that is meant for them.
    fn messages_per_s(&self, policy: &FlowPolicy) -> u64 {
        let percent = u64::from(self.limits.cpu_percent) * u64::from(policy.cpu_percent);
        let us_per_s = percent * 1_000_000 / 10_000;
        us_per_s / u64::from(policy.message_us)
    }
}

impl Planner {
    /// Returns how long a worker may wait for a run to end before it reports. The more often
    /// workers report, the sooner problems become visible, and the longer their leases outlast a
    /// network partition.
    pub(super) fn report_wait(&self) -> Duration {
        let policy = &self.policy.reports;
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        let affordable = self.flow.reports_per_s(&self.policy.flow);
        let per_s = u32::try_from(affordable)
            .unwrap_or(u32::MAX)
            .min(policy.reports_per_s);
        (Duration::from_secs(1) * workers / per_s).clamp(policy.shortest_wait, policy.longest_wait)
    }

    /// Returns how many of `count` tasks may be placed now; for a gang all or none. Work that is
    /// not urgent is placed no faster than its starts are answered.
    ///
    /// A gang that does not fit into the rest of the window blocks later candidates, since a wide
    /// gang would otherwise never start. A gang wider than the whole window starts once no other
    /// start is in flight.
    pub(super) fn startable_count(
        &mut self,
        candidate: &Candidate,
        gang: bool,
        count: usize,
        pass: &mut Pass,
    ) -> usize {
        if candidate.rank <= URGENT_RANK {
            return count;
        }
        let window = self.flow.start_window(&self.policy.flow);
        let window = usize::try_from(window).unwrap_or(usize::MAX).max(1);
        let under_way = *pass
            .starts_in_flight
            .get_or_insert_with(|| self.starts_under_way());
        let left = window.saturating_sub(under_way);
        let fits = count <= left || under_way == 0;
        let startable_count = match (gang, fits) {
            (true, true) => count,
            (true, false) => {
                pass.starts_in_flight = Some(under_way.max(window));
                0
            }
            (false, _) => count.min(left),
        };
        self.flow.starts_limited |= startable_count < count;
        startable_count
    }

    /// Records that a start was answered or timed out, so that further starts may be sent.
    pub(super) const fn record_start_answered(&mut self) {
        if self.flow.starts_limited {
            self.flow.starts_limited = false;
            self.replan = true;
        }
    }

    /// Returns how well the planner keeps up with its workers.
    #[must_use]
    pub fn contact_lag(&self, now: Now) -> ContactLag {
        let listed = self.workers.values().filter(|w| w.is_listed);
        let (answering, silent): (Vec<_>, Vec<_>) = listed.partition(|w| w.is_in_contact());
        let busy = answering.into_iter().filter(|w| !w.runs.is_empty());
        let ages = busy
            .filter_map(|w| w.incarnation_state.last_answer_at)
            .map(|at| now.at - at);
        ContactLag {
            silent: silent.len(),
            oldest_report: ages.max().unwrap_or_default(),
            report_wait: self.report_wait(),
            starts_under_way: self.starts_under_way(),
        }
    }

    /// Counts the runs that wait for an answer to their start, or for their placement to be stored.
    /// Runs that wait for preempted work to stop do not count.
    fn starts_under_way(&self) -> usize {
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        runs.filter(|run| !run.restored)
            .filter(|run| match run.state {
                RunState::Starting => run.answered_at.is_none(),
                RunState::Planned => run.rank > URGENT_RANK,
                RunState::Running | RunState::Stopping => false,
            })
            .count()
    }
}
