//! What the planner measures of its own process: how long passes take, and how late it is.
//!
//! A process that falls behind hears answers late and takes workers for silent that are not. Without
//! these figures its log looks as if the workers were at fault.

use std::time::Duration;

use super::Planner;

/// The newest pass counts for one part in this many in the running mean.
const MEAN_WEIGHT_DIVISOR: u32 = 4;
/// The part of a measured lateness that remains when the next one is lower, in percent.
const DECAY_PERCENT: u32 = 80;

/// Measurements of the planner's own process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct OwnLoad {
    /// Whether the last tick ran a pass.
    pub(super) has_run_pass: bool,
    /// Running mean of what a pass takes on the clock.
    pub(super) pass: Duration,
    /// The latest measurements of lateness, the highest ones for longer.
    pub(super) lateness: Duration,
}

impl Planner {
    /// Records how long the last call of [`Planner::tick`] took on the clock.
    pub fn record_tick_duration(&mut self, took: Duration) {
        self.activity.record_tick(took);
        if std::mem::take(&mut self.own_load.has_run_pass) {
            let older = self.own_load.pass * (MEAN_WEIGHT_DIVISOR - 1) / MEAN_WEIGHT_DIVISOR;
            self.own_load.pass = older + took / MEAN_WEIGHT_DIVISOR;
        }
    }

    /// Records how late the process ran something that was due: as long may answers have waited
    /// before they are read.
    pub fn record_lateness(&mut self, late: Duration) {
        let before = self.own_load.lateness * DECAY_PERCENT / 100;
        self.own_load.lateness = late.max(before);
    }
}
