//! Clock readings and operating limits that the planner is given.

use std::time::Duration;

use crate::Timestamp;

/// The current time on both clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Time on the process's monotonic clock.
    pub at: Timestamp,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Now {
    /// Creates a `Now` from both clock readings.
    #[must_use]
    pub const fn new(at: Timestamp, unix_ms: u64) -> Self {
        Self { at, unix_ms }
    }
}

/// Capacity of the VM that the planner runs on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLimits {
    /// Link capacity in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// CPU capacity, in percent of one core.
    pub cpu_percent: u32,
    /// Memory of the daemon, in bytes.
    pub memory_bytes: u64,
    /// Number of files and connections that the daemon may have open.
    pub open_files: u64,
}

impl Default for VmLimits {
    /// One full core and a link of 1 Gbit/s; memory and open files without a limit.
    fn default() -> Self {
        Self {
            link_bytes_per_s: 125_000_000,
            cpu_percent: 100,
            memory_bytes: u64::MAX,
            open_files: u64::MAX,
        }
    }
}

/// Operating limits that the planner relies on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease that a worker is granted, on its own clock: how long its runs continue without
    /// a renewal.
    pub lease_duration: Duration,
    /// Longest time that a worker takes to stop a run.
    pub stop_max: Duration,
    /// Time after acceptance within which a guaranteed job must start.
    pub guaranteed_start_limit: Duration,
    /// Longest time from an operator's evacuation of a zone until nothing starts there any more.
    pub evacuation_limit: Duration,
    /// Longest time from the acknowledgement of a configuration until it is in force everywhere.
    pub configuration_limit: Duration,
    /// Factor by which a task takes longer on a worker that is not on the rack of its data.
    pub far_factor: u32,
    /// How long the planner still answers requests about a job that has ended.
    pub keep_ended: Duration,
}

impl Bounds {
    /// Returns the age above which a daemon's copy of the configuration is no longer relied on.
    ///
    /// The rest of the limit is left for the time between the check and what is done by it.
    #[must_use]
    pub fn max_configuration_age(&self) -> Duration {
        self.configuration_limit * 9 / 10
    }
}
