//! Counts what the planner does and which of its bounds hold work back.

use std::time::Duration;

use super::{Now, Planner};
use crate::Timestamp;

/// What the planner did within a period, and the bounds that were in force at its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Activity {
    /// Length of the period.
    pub period: Duration,
    /// Number of scheduling passes.
    pub passes: u64,
    /// Time on the clock that ticks took, with their passes.
    pub tick_time: Duration,
    /// Number of passes in which the start window held tasks back.
    pub limited_passes: u64,
    /// Number of reports that were answered.
    pub reports: u64,
    /// Number of these whose worker was told not to wait for a run to end.
    pub immediate_reports: u64,
    /// Number of run ends that reports listed for the first time.
    pub ends: u64,
    /// Number of run ends that reports listed again, since their worker was not told to forget them.
    pub repeated_ends: u64,
    /// Number of start orders sent.
    pub starts: u64,
    /// Number of start orders whose outcome was handled.
    pub start_outcomes: u64,
    /// Running mean of the starts that were completed per second while there were more to complete.
    pub completed_starts_per_s: Option<u32>,
    /// How many starts may be in flight.
    pub start_window: usize,
    /// How many reports per second the VM is taken to afford.
    pub affordable_reports_per_s: u64,
    /// How many first contacts may be in flight.
    pub contact_window: usize,
}

/// Counts since the current period began.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ActivityCounts {
    began_at: Timestamp,
    counts: Activity,
}

impl ActivityCounts {
    pub(super) const fn record_pass(&mut self, is_limited: bool) {
        self.counts.passes += 1;
        self.counts.limited_passes += is_limited as u64;
    }

    pub(super) const fn record_tick(&mut self, took: Duration) {
        self.counts.tick_time = self.counts.tick_time.saturating_add(took);
    }

    pub(super) const fn record_report(&mut self, is_immediate: bool) {
        self.counts.reports += 1;
        self.counts.immediate_reports += is_immediate as u64;
    }

    pub(super) const fn record_ends(&mut self, new: u64, repeated: u64) {
        self.counts.ends += new;
        self.counts.repeated_ends += repeated;
    }

    pub(super) const fn record_start(&mut self) {
        self.counts.starts += 1;
    }

    pub(super) const fn record_start_outcome(&mut self) {
        self.counts.start_outcomes += 1;
    }
}

impl Planner {
    /// Returns what the planner did since the last call, and its current bounds.
    pub fn take_activity(&mut self, now: Now) -> Activity {
        let next = ActivityCounts {
            began_at: now.at,
            counts: Activity::default(),
        };
        let ended = std::mem::replace(&mut self.activity, next);
        Activity {
            period: now.at - ended.began_at,
            completed_starts_per_s: self.pacing.starts_per_s(),
            start_window: self.start_window(),
            affordable_reports_per_s: self.affordable_reports_per_s(),
            contact_window: self.contact_window(),
            ..ended.counts
        }
    }
}
