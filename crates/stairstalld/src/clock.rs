//! The process's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use stairstall_core::Timestamp;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Time since the process started, the time included for which the machine was suspended.
///
/// Leases, and how old anything is that was learned, are counted on it. The clock behind [`Instant`]
/// stands still while a machine is suspended: a planner would take its role's lease for valid that
/// ran out meanwhile, and give orders beside its successor.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    source: fn() -> Duration,
    started: Duration,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self::of(since_boot)
    }

    /// Creates a clock that reads a steady source.
    fn of(source: fn() -> Duration) -> Self {
        Self {
            source,
            started: source(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        let since_start = (self.source)().saturating_sub(self.started);
        Timestamp::from_millis(millis(since_start))
    }

    /// Returns the instant of a timestamp, to sleep until it; a suspension makes the sleep longer.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        Instant::now() + at.since(self.now())
    }
}

/// Returns the time since the machine started, the time included for which it was suspended.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
    // Every Linux since 2.6.39 has it; the clock without suspensions is right but for those.
    let read = read.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    read.map_or(Duration::ZERO, Duration::from)
}

/// Returns whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time of day in milliseconds since the Unix epoch, for people and for order only.
pub(crate) fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, millis)
}
