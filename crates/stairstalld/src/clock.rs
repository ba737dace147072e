//! Clocks: the time since the process started, and the time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stairstall_core::Timestamp;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Time since the process started, including time for which the machine was suspended.
///
/// Leases and the age of everything that a daemon knows are measured with it. The clock behind
/// [`Instant`] stops while a machine is suspended: with it, a planner would still consider the
/// lease of its role valid after it had expired, and would give orders alongside its successor.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    source: fn() -> Duration,
    started: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self::with_source(since_boot)
    }

    /// Creates a clock that reads a monotonic source.
    fn with_source(source: fn() -> Duration) -> Self {
        Self {
            source,
            started: source(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        let since_start = (self.source)().saturating_sub(self.started);
        Timestamp::from_millis(millis(since_start))
    }

    /// Converts a timestamp to an instant to sleep until. A suspension of the machine lengthens the
    /// sleep.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        Instant::now() + at.since(self.now())
    }
}

/// Returns the time since the machine started, including time for which it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    // Linux has CLOCK_BOOTTIME since 2.6.39. CLOCK_MONOTONIC differs only by suspensions.
    let time = time.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map_or(Duration::ZERO, Duration::from)
}

/// Measures the processor time that this process uses.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ProcessorUse {
    /// Processor time of the process at the last reading.
    last: Duration,
}

impl ProcessorUse {
    /// Returns the processor time used since the last call, or since the process started.
    pub(crate) fn take(&mut self) -> Duration {
        let used = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID);
        let used = used.map_or(self.last, Duration::from);
        used.saturating_sub(std::mem::replace(&mut self.last, used))
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time of day in milliseconds since the Unix epoch, for display and for ordering
/// only.
pub(crate) fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, millis)
}
