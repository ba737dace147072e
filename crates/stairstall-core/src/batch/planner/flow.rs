//! How much the planner says to workers and hears from them, so that its own VM keeps up.
//!
//! A link that is full delays every answer: starts count as unanswered and are sent again,
//! reports come too late and leases lapse, all of which fills the link further.

use std::time::Duration;

use super::candidate::{Candidate, URGENT_RANK};
use super::pass::Pass;
use super::pool::RunState;
use super::{Now, Planner, VmLimits};
use crate::batch::FlowPolicy;

/// Weight of the newest report in the mean length, as a divisor.
const REPORT_WEIGHT: u32 = 16;

/// How far the planner keeps up with its workers at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ContactLag {
    /// Workers that do not answer.
    pub silent: usize,
    /// How long ago the answering worker with runs that was heard longest ago was heard.
    pub oldest_report: Duration,
    /// How long workers are told to wait for an end before they report.
    pub report_wait: Duration,
    /// Starts that wait for an answer or for their places' record.
    pub starts_under_way: usize,
}

/// What this VM can carry, and what a report has been seen to take of it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FlowControl {
    limits: VmLimits,
    /// Mean length of the reports' bodies so far, in bytes.
    report_bytes: u32,
    /// Whether something that has room waits until starts are answered.
    holds_back_starts: bool,
}

impl FlowControl {
    pub(super) const fn set_limits(&mut self, limits: VmLimits) {
        self.limits = limits;
    }

    pub(super) const fn note_report(&mut self, bytes: u32) {
        let kept = self.report_bytes - self.report_bytes / REPORT_WEIGHT;
        self.report_bytes = kept.saturating_add(bytes / REPORT_WEIGHT);
    }

    /// Returns how many reports a second this VM may take.
    fn reports_per_s(&self, policy: &FlowPolicy) -> u64 {
        let bytes = u64::from(policy.message_bytes) + u64::from(self.report_bytes);
        let by_link =
            self.limits.link_bytes_per_s * u64::from(policy.reports_percent) / 100 / bytes;
        by_link.min(self.by_processor(policy)).max(1)
    }

    /// Returns how many starts may be without an answer.
    fn start_window(&self, policy: &FlowPolicy) -> u64 {
        let per_s = self.limits.link_bytes_per_s / u64::from(policy.start_bytes);
        let per_s = per_s.min(self.by_processor(policy));
        per_s * u64::try_from(policy.start_window.as_millis()).unwrap_or(u64::MAX) / 1000
    }

    /// Returns how many messages a second the processor takes in the part that is theirs.
    fn by_processor(&self, policy: &FlowPolicy) -> u64 {
        let percent = u64::from(self.limits.cpu_percent) * u64::from(policy.processor_percent);
        let us_per_s = percent * 1_000_000 / 10_000;
        us_per_s / u64::from(policy.message_us)
    }
}

impl Planner {
    /// Returns how long a worker may wait for an end before it reports: the more often it
    /// reports, the sooner trouble shows there, and the longer its leases outlast a cut.
    pub(super) fn report_wait(&self) -> Duration {
        let policy = &self.policy.reports;
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        let carried = self.flow.reports_per_s(&self.policy.flow);
        let per_s = u32::try_from(carried)
            .unwrap_or(u32::MAX)
            .min(policy.reports_per_s);
        (Duration::from_secs(1) * workers / per_s).clamp(policy.shortest_wait, policy.longest_wait)
    }

    /// Returns how many of `count` tasks may be placed now, of a gang all or none: work that is
    /// not urgent is placed no faster than its starts are answered.
    ///
    /// A gang that the window is too full for is not passed by what comes after it, or a wide one
    /// would never start; one wider than the window goes out when nothing else is under way.
    pub(super) fn startable(
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
        let startable = match (gang, fits) {
            (true, true) => count,
            (true, false) => {
                pass.starts_in_flight = Some(under_way.max(window));
                0
            }
            (false, _) => count.min(left),
        };
        self.flow.holds_back_starts |= startable < count;
        startable
    }

    /// Notes that a start got its answer, or none in time: others may go out.
    pub(super) const fn note_start_answered(&mut self) {
        if self.flow.holds_back_starts {
            self.flow.holds_back_starts = false;
            self.replan = true;
        }
    }

    /// Returns how far it keeps up with its workers.
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

    /// Counts the runs that wait for the answer to their start, or for their place to be written
    /// down; not those that wait for others to give way.
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
