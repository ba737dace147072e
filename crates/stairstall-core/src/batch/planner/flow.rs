//! Flow control between the planner and its workers, so that their messages do not saturate the
//! planner's own VM.
//!
//! A saturated link delays every answer: starts count as unanswered and are sent again, reports
//! arrive late and leases expire. All of this adds to the load of the link.

use std::time::Duration;

use super::candidate::{Candidate, URGENT_RANK};
use super::pass::Pass;
use super::pool::RunState;
use super::{Now, Planner, VmLimits};
use crate::batch::{FlowPolicy, GroupKey};
use crate::time::millis;

/// The newest report counts for one part in this many in the running mean of report sizes.
const MEAN_WEIGHT_DIVISOR: u32 = 16;

/// How well the planner keeps up with its workers at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ContactLag {
    /// Number of listed workers that are unresponsive.
    pub unresponsive: usize,
    /// Number of listed workers that answer and may not list their run ends.
    pub unverified: usize,
    /// Longest time since a responsive worker with runs last answered.
    pub oldest_report: Duration,
    /// How long workers are told to wait for a run to end before they report.
    pub report_wait: Duration,
    /// Number of starts that wait for an answer, or for their placement to be stored.
    pub starts_in_flight: usize,
    /// Number of workers that the planner's VM can't hold connections to.
    pub unselected: usize,
    /// Number of accelerators that neither a run nor a planned run uses, on workers that take tasks.
    pub free_accelerators: u32,
    /// Number of accelerators of listed workers that take no tasks now.
    pub unusable_accelerators: u32,
    /// How far a worker's clock has fallen behind the planner's between two readings, at most, in
    /// this tenure.
    pub clock_drift: Duration,
    /// How late this process runs what is due; answers wait as long before they are read.
    pub lateness: Duration,
    /// What a scheduling pass takes on this VM, in the mean.
    pub pass: Duration,
    /// Share of the time in which this process is busy, in percent.
    pub busy_percent: u32,
    /// How long a worker is left alone after its report.
    pub poll_pause: Duration,
}

/// Capacity of this VM, and the measured size of reports.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FlowControl {
    limits: VmLimits,
    /// Running mean of the sizes of report bodies, in bytes.
    report_bytes: u32,
    /// Whether tasks for which capacity is free wait until earlier starts are answered.
    starts_limited: bool,
    /// How far a worker's clock has fallen behind the planner's between two readings, at most.
    clock_drift: Duration,
}

impl FlowControl {
    pub(super) const fn set_limits(&mut self, limits: VmLimits) {
        self.limits = limits;
    }

    /// Updates the mean size of reports with a new report.
    pub(super) const fn record_report_size(&mut self, bytes: u32) {
        let older = self.report_bytes - self.report_bytes / MEAN_WEIGHT_DIVISOR;
        self.report_bytes = older.saturating_add(bytes / MEAN_WEIGHT_DIVISOR);
    }

    /// Records how far a worker's clock has fallen behind the planner's between two readings.
    pub(super) fn record_clock_drift(&mut self, drift: Duration) {
        self.clock_drift = self.clock_drift.max(drift);
    }

    /// Returns how many reports per second the link and the CPU of this VM can handle.
    fn reports_per_s(&self, policy: &FlowPolicy) -> u64 {
        let bytes = u64::from(policy.message_bytes) + u64::from(self.report_bytes);
        let link_reports_per_s = self.limits.link_bytes_per_s
            * u64::from(policy.reports_bandwidth_percent)
            / 100
            / bytes;
        let cpu_reports_per_s = self.messages_per_s(policy, policy.cpu_percent);
        link_reports_per_s.min(cpu_reports_per_s).max(1)
    }

    /// Returns how many starts the CPU that the VM announces should complete in time.
    fn announced_start_window(&self, policy: &FlowPolicy) -> u64 {
        count_within(
            policy.start_window,
            self.messages_per_s(policy, policy.cpu_percent),
        )
    }

    /// Returns how many starts the link can transfer in time.
    fn link_start_window(&self, policy: &FlowPolicy) -> u64 {
        let per_s = self.limits.link_bytes_per_s / u64::from(policy.start_bytes);
        count_within(policy.start_window, per_s)
    }

    /// Returns whether tasks for which capacity is free wait until earlier starts are answered.
    pub(super) const fn are_starts_limited(&self) -> bool {
        self.starts_limited
    }

    /// Returns how many requests that only find out whether a worker answers may be in flight.
    fn contact_window(&self, policy: &FlowPolicy) -> u64 {
        let link_per_s = self.limits.link_bytes_per_s / u64::from(policy.message_bytes);
        let cpu_per_s = self.messages_per_s(policy, 100);
        count_within(policy.contact_window, link_per_s.min(cpu_per_s))
    }

    /// Returns to how many workers the VM can hold connections: at least one.
    pub(super) fn max_workers(&self, policy: &FlowPolicy) -> usize {
        let share = u64::from(policy.workers_vm_percent);
        let memory_kb = (self.limits.memory_bytes / 1000).saturating_mul(share) / 100;
        let by_memory = memory_kb / u64::from(policy.worker_memory_kb.max(1));
        let connections = self.limits.open_files.saturating_mul(share) / 100;
        let per_hundred = u64::from(policy.worker_connections_percent.max(1));
        let by_files = connections.saturating_mul(100) / per_hundred;
        let workers = by_memory.min(by_files).max(1);
        usize::try_from(workers).unwrap_or(usize::MAX)
    }

    /// Returns how many messages per second fit into a share of the CPU, given in percent.
    fn messages_per_s(&self, policy: &FlowPolicy, share: u32) -> u64 {
        let percent = u64::from(self.limits.cpu_percent) * u64::from(share);
        let us_per_s = percent * 1_000_000 / 10_000;
        us_per_s / u64::from(policy.message_us)
    }
}

/// Returns whether so many more starts may go out together beside those in flight.
const fn fits_window(in_flight: usize, count: usize, window: usize) -> bool {
    in_flight + count <= window || in_flight <= window / 2
}

fn as_count(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Returns how many messages at a rate fall within a time.
fn count_within(window: Duration, per_s: u64) -> u64 {
    per_s.saturating_mul(millis(window)) / 1000
}

impl Planner {
    /// Returns how long a worker may wait for a run to end before it reports. It is as short as the
    /// VM and the policy allow, because frequent reports reveal problems sooner and leave more of
    /// each lease to outlast a network partition.
    pub(super) fn report_wait(&self) -> Duration {
        let policy = &self.policy.reports;
        let workers = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        let affordable = self.flow.reports_per_s(&self.policy.flow);
        let per_s = u32::try_from(affordable)
            .unwrap_or(u32::MAX)
            .min(policy.reports_per_s);
        (Duration::from_secs(1) * workers / per_s).clamp(policy.shortest_wait, policy.longest_wait)
    }

    /// Returns how many workers may be asked at the same time only to find out whether they answer:
    /// at least one.
    ///
    /// A new planner has to reach all workers. If it asked all of them at once, its own CPU would
    /// delay most answers beyond their time limit, and the requests that repeat them would delay
    /// the next ones.
    #[must_use]
    pub fn contact_window(&self) -> usize {
        let window = self.flow.contact_window(&self.policy.flow);
        usize::try_from(window).unwrap_or(usize::MAX).max(1)
    }

    /// Returns how many of `count` tasks that are no gang may be placed now. Work that is not urgent
    /// is placed no faster than its starts are answered.
    pub(super) fn startable_tasks(
        &mut self,
        candidate: &Candidate,
        count: usize,
        pass: &mut Pass,
    ) -> usize {
        if candidate.rank <= URGENT_RANK {
            return count;
        }
        let (in_flight, window) = self.start_window_state(pass);
        let startable = count.min(window.saturating_sub(in_flight));
        if startable < count {
            self.record_starts_held_back();
        }
        startable
    }

    /// Returns whether a gang of `count` tasks that has found workers may be placed now.
    ///
    /// A gang that does not fit into the rest of the start window blocks later candidates, since a
    /// wide gang would otherwise never start. It starts once half of the window is free, however
    /// wide it is.
    pub(super) fn may_start_gang(
        &mut self,
        candidate: &Candidate,
        count: usize,
        pass: &mut Pass,
    ) -> bool {
        if candidate.rank <= URGENT_RANK {
            return true;
        }
        let (in_flight, window) = self.start_window_state(pass);
        let fits = fits_window(in_flight, count, window);
        if !fits {
            pass.starts_in_flight = Some(in_flight.max(window));
            self.record_starts_held_back();
        }
        fits
    }

    /// Returns whether as many starts are in flight as may be, so that workers need not be searched
    /// for a gang that is not urgent. A queue with tickets asks for them all the same.
    pub(super) fn is_start_window_used_up(
        &mut self,
        candidate: &Candidate,
        pass: &mut Pass,
    ) -> bool {
        if candidate.rank <= URGENT_RANK || self.ticket_validity(&candidate.key).is_some() {
            return false;
        }
        let (in_flight, window) = self.start_window_state(pass);
        let is_used_up = in_flight >= window;
        if is_used_up {
            self.record_starts_held_back();
        }
        is_used_up
    }

    /// Returns how many starts are in flight and how many may be.
    pub(super) fn start_window_state(&self, pass: &mut Pass) -> (usize, usize) {
        let window = self.start_window();
        let in_flight = *pass
            .starts_in_flight
            .get_or_insert_with(|| self.starts_before_others(window));
        (in_flight, window)
    }

    /// Returns how many starts may be unanswered at the same time: at least one.
    pub(super) fn start_window(&self) -> usize {
        let policy = &self.policy.flow;
        let announced = self.flow.announced_start_window(policy);
        let link = self.flow.link_start_window(policy);
        self.pacing
            .start_window(as_count(announced), as_count(link))
    }

    /// Returns how many reports per second this VM is taken to afford.
    pub(super) fn affordable_reports_per_s(&self) -> u64 {
        self.flow.reports_per_s(&self.policy.flow)
    }

    /// Returns whether a step that is not urgent can't start because of the starts in flight.
    pub(super) fn is_start_window_closed(&self, key: &GroupKey) -> bool {
        let tasks = self
            .step(key)
            .map_or(0, |step| if step.gang { step.count } else { 1 });
        let (in_flight, window) = self.start_window_state(&mut Pass::default());
        !fits_window(in_flight, tasks as usize, window)
    }

    /// Records that work for which there is capacity waits until earlier starts are answered.
    const fn record_starts_held_back(&mut self) {
        self.flow.starts_limited = true;
        self.pacing.record_held_back();
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
        let unusable = self.workers.values().filter(|w| !w.takes_tasks());
        let unusable = unusable.filter(|w| w.is_listed);
        let unusable = unusable.map(|w| w.listed.capacity.accelerators);
        let listed = self.workers.values().filter(|w| w.is_listed);
        let (responsive, unresponsive): (Vec<_>, Vec<_>) = listed.partition(|w| w.is_in_contact());
        let unverified = responsive.iter();
        let unverified = unverified.filter(|w| !w.incarnation_state.end_listing.is_verified());
        let unverified = unverified.count();
        let busy = responsive.into_iter().filter(|w| !w.runs.is_empty());
        let ages = busy
            .filter_map(|w| w.incarnation_state.last_answer_at)
            .map(|at| now.at - at);
        ContactLag {
            unresponsive: unresponsive.len(),
            unverified,
            oldest_report: ages.max().unwrap_or_default(),
            report_wait: self.report_wait(),
            starts_in_flight: self.starts_in_flight(),
            unselected: self.unselected_workers(),
            free_accelerators: self.free_accelerators(&mut Pass::default()),
            unusable_accelerators: unusable.fold(0, u32::saturating_add),
            clock_drift: self.flow.clock_drift,
            lateness: self.own_load.lateness,
            pass: self.own_load.pass,
            busy_percent: self.pacing.busy_percent(),
            poll_pause: self.pacing.poll_pause(),
        }
    }

    /// Counts the runs that wait for an answer to their start, or for their placement to be stored.
    /// Runs that wait for preempted work to stop do not count.
    fn starts_in_flight(&self) -> usize {
        let (urgent, other) = self.starts_in_flight_by_urgency();
        urgent + other
    }

    /// Counts the starts in flight that hold back work that is not urgent. Urgent starts are not
    /// bounded, but they take at most half of the window from other work: it would never start
    /// beside a steady flow of them.
    fn starts_before_others(&self, window: usize) -> usize {
        let (urgent, other) = self.starts_in_flight_by_urgency();
        urgent.min(window / 2) + other
    }

    /// Counts the starts in flight of urgent work and of other work.
    fn starts_in_flight_by_urgency(&self) -> (usize, usize) {
        let runs = self.workers.values().flat_map(|w| w.runs.values());
        let (mut urgent, mut other) = (0, 0);
        for run in runs.filter(|run| !run.restored) {
            let is_urgent = run.rank <= URGENT_RANK;
            match run.state {
                RunState::Starting if run.answered_at.is_some() => {}
                RunState::Starting if is_urgent => urgent += 1,
                RunState::Starting => other += 1,
                RunState::Planned if !is_urgent => other += 1,
                RunState::Planned | RunState::Running | RunState::Stopping => {}
            }
        }
        (urgent, other)
    }
}
