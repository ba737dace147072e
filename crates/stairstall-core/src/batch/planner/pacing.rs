//! Adapts how much the planner begins to what its VM is seen to complete.
//!
//! What a VM announces and what a message is assumed to cost are only where this begins. A limit
//! that is too low leaves capacity unused although jobs wait for it; one that is too high makes
//! every answer late.

use std::time::Duration;

use super::pool::Worker;
use super::{Now, Planner};
use crate::batch::FlowPolicy;
use crate::time::millis;
use crate::{Timestamp, WorkerId};

/// Share of the time, in percent, from which the process counts as saturated.
const SATURATED_PERCENT: u32 = 90;
/// Share of the time, in percent, up to which the process can do more than it does.
const SPARE_PERCENT: u32 = 75;
/// The newest measurement counts for one part in this many in running means.
const MEAN_WEIGHT_DIVISOR: u32 = 4;
/// The start window changes by one part in this many at a time.
const WINDOW_CHANGE_DIVISOR: usize = 8;
/// The pause before a poll changes by one part in this many of its maximum at a time.
const PAUSE_STEP_DIVISOR: u32 = 10;
/// Number of starts that may always be in flight.
const MIN_START_WINDOW: usize = 16;

/// What the planner measures of its pace, and the limits that follow from it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pacing {
    /// Running mean of the share of the time in which the process was busy, in percent.
    busy_percent: u32,
    /// When the process was last measured.
    measured_at: Option<Timestamp>,
    /// Number of starts that were answered since then.
    answered_starts: u32,
    /// Sum of the times from sending these starts to their answers.
    answer_time: Duration,
    /// Whether the start window held work back since then.
    is_held_back: bool,
    /// Whether it has done so since the last scheduling pass began.
    is_held_back_since_pass: bool,
    /// Whether a start got no answer since the last measurement.
    has_unanswered: bool,
    /// Running mean of the starts that were answered per second while the process was saturated or
    /// work was held back.
    starts_per_s: Option<u32>,
    /// How many starts may be in flight. `None` until a measurement has changed it.
    start_window: Option<usize>,
    /// How long a worker whose report was answered is left alone before it is polled again.
    poll_pause: Duration,
}

impl Pacing {
    /// Records that a worker has answered a start that was sent `took` ago.
    pub(super) const fn record_start_answer(&mut self, took: Duration) {
        self.answered_starts += 1;
        self.answer_time = self.answer_time.saturating_add(took);
    }

    /// Records that the start window holds work back.
    pub(super) const fn record_held_back(&mut self) {
        self.is_held_back = true;
        self.is_held_back_since_pass = true;
    }

    /// Records that a start got no answer within its time limit.
    pub(super) const fn record_unanswered_start(&mut self) {
        self.has_unanswered = true;
    }

    /// Records that a scheduling pass begins. Returns whether starts, rather than workers, are what
    /// work has lacked since the one before.
    pub(super) const fn begin_pass(&mut self) -> bool {
        std::mem::replace(&mut self.is_held_back_since_pass, false)
    }

    pub(super) const fn busy_percent(&self) -> u32 {
        self.busy_percent
    }

    pub(super) const fn poll_pause(&self) -> Duration {
        self.poll_pause
    }

    /// Returns how many starts the VM is seen to complete in a second, or `None` as long as it has
    /// completed all that there were.
    pub(super) const fn starts_per_s(&self) -> Option<u32> {
        self.starts_per_s
    }

    /// Returns how many starts may be in flight, given the number that follows from what the VM
    /// announces and the most that its link can transfer in time.
    pub(super) fn start_window(&self, announced: usize, link: usize) -> usize {
        let window = self.start_window.unwrap_or(announced);
        window.min(link.max(1)).max(1)
    }

    /// Returns whether the process has no time left for more than it does.
    const fn is_saturated(&self) -> bool {
        self.busy_percent >= SATURATED_PERCENT
    }

    /// Returns whether the process can do more than it does.
    const fn has_spare_time(&self) -> bool {
        self.busy_percent <= SPARE_PERCENT
    }

    /// Adapts the limits to a measurement of the process. `window` is the current start window,
    /// `pass` the time for which a scheduling pass keeps answers from being read.
    fn adapt(
        &mut self,
        busy_percent: u32,
        window: usize,
        pass: Duration,
        max_pause: Duration,
        policy: &FlowPolicy,
        now: Now,
    ) {
        let Some(measured_at) = self.measured_at.replace(now.at) else {
            self.busy_percent = busy_percent;
            return;
        };
        self.busy_percent = mean(self.busy_percent, busy_percent);
        let answered = std::mem::take(&mut self.answered_starts);
        let answer_time = std::mem::take(&mut self.answer_time);
        let is_held_back = std::mem::take(&mut self.is_held_back);
        let has_unanswered = std::mem::take(&mut self.has_unanswered);
        let in_time = policy.start_window + pass;
        let is_late = answered > 0 && answer_time / answered > in_time;
        self.measure_starts(answered, now.at - measured_at, is_held_back);
        let may_grow = is_held_back && answered > 0 && !has_unanswered;
        self.adapt_start_window(is_late, may_grow, window);
        self.adapt_poll_pause(max_pause);
    }

    /// Adds to the window while it holds work back and answers come in time, and takes a share off
    /// it while they come late.
    fn adapt_start_window(&mut self, is_late: bool, may_grow: bool, window: usize) {
        let change = window / WINDOW_CHANGE_DIVISOR + 1;
        if is_late {
            let least = MIN_START_WINDOW.min(window);
            self.start_window = Some(window.saturating_sub(change).max(least));
        } else if may_grow && self.has_spare_time() {
            self.start_window = Some(window + change);
        } else if may_grow {
            self.start_window = Some(window + 1);
        }
    }

    /// Polls workers less often while the process is saturated, and more often again once it has
    /// time for it.
    fn adapt_poll_pause(&mut self, max_pause: Duration) {
        let step = max_pause / PAUSE_STEP_DIVISOR;
        if self.is_saturated() {
            self.poll_pause = (self.poll_pause + step).min(max_pause);
        } else if self.has_spare_time() {
            self.poll_pause = self.poll_pause.saturating_sub(step);
        }
    }

    /// Measures how many starts are completed in a second while there are more than the VM
    /// completes.
    fn measure_starts(&mut self, answered: u32, elapsed: Duration, is_held_back: bool) {
        if !self.is_saturated() && !is_held_back {
            return;
        }
        let elapsed_ms = millis(elapsed).max(1);
        let per_s = u64::from(answered) * 1_000 / elapsed_ms;
        let per_s = u32::try_from(per_s).unwrap_or(u32::MAX);
        let before = self.starts_per_s.unwrap_or(per_s);
        self.starts_per_s = Some(mean(before, per_s));
    }
}

/// Returns a running mean with a new value.
const fn mean(before: u32, new: u32) -> u32 {
    let older = before - before / MEAN_WEIGHT_DIVISOR;
    older.saturating_add(new.div_ceil(MEAN_WEIGHT_DIVISOR))
}

impl Planner {
    /// Records which share of the time since the last call the process was busy, in percent, and
    /// adapts the planner's pace to it.
    pub fn record_busy(&mut self, percent: u32, now: Now) {
        let window = self.start_window();
        let max_pause = self.max_poll_pause();
        let pass = self.own_load.pass;
        let policy = &self.policy.flow;
        self.pacing
            .adapt(percent, window, pass, max_pause, policy, now);
    }

    /// Returns how long to wait before a worker that has answered is polled again.
    ///
    /// A planner whose process is saturated hears of ends later, and of several at a time, so that
    /// time is left for starts. A worker on which something waits for its next report is polled at
    /// once.
    #[must_use]
    pub fn poll_pause(&self, id: &WorkerId) -> Duration {
        let worker = self.workers.get(id);
        if worker.is_none_or(Worker::awaits_report) {
            return Duration::ZERO;
        }
        self.pacing.poll_pause()
    }

    /// Returns the longest pause before a poll: the leases of starts and of runs have to be renewed in
    /// time.
    fn max_poll_pause(&self) -> Duration {
        let lease = self.bounds.lease_duration;
        let beside_wait = lease.saturating_sub(self.report_wait());
        self.policy.orders.start_lease.min(beside_wait) / 2
    }
}
