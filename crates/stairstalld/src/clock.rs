//! The process's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stairstall_core::Timestamp;
use tokio::time::Instant;

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::from_millis(millis(self.started.elapsed()))
    }

    /// Returns the instant of a timestamp, to sleep until it.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.started + Duration::from_millis(at.as_millis())
    }
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
