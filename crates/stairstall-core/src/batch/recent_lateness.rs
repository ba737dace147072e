//! How late a daemon's own process has been of late.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of measurements that are kept: those of some seconds.
const MAX_MEASUREMENTS: usize = 24;

/// Whether each of the latest measurements found the process late.
///
/// One long pause is one measurement, so that a single late moment doesn't decide.
#[derive(Debug, Clone)]
pub struct RecentLateness {
    /// From which lateness a measurement counts as late.
    late_from: Duration,
    measurements: VecDeque<bool>,
}

impl RecentLateness {
    /// Creates a record without measurements.
    #[must_use]
    pub const fn new(late_from: Duration) -> Self {
        Self {
            late_from,
            measurements: VecDeque::new(),
        }
    }

    /// Records how late the process ran something that was due.
    pub fn record(&mut self, late: Duration) {
        if self.measurements.len() >= MAX_MEASUREMENTS {
            self.measurements.pop_front();
        }
        self.measurements.push_back(late >= self.late_from);
    }

    /// Returns whether most measurements of the last seconds found the process late. A process that
    /// has not been measured for that long doesn't count as late.
    #[must_use]
    pub fn is_mostly_late(&self) -> bool {
        let late = self.measurements.iter().filter(|late| **late).count();
        self.measurements.len() >= MAX_MEASUREMENTS && late * 2 > MAX_MEASUREMENTS
    }
}
