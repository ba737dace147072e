//! Leases, as seen by their holder.

use std::time::Duration;

use crate::Timestamp;

/// A lease, counted from before the holder sent the request for it.
///
/// The granting side counts from when it handled the request, which is later,
/// so the lease ends first for the holder. A margin of a twentieth of the time
/// to live covers clocks that run at different rates. Check [`Lease::is_valid`]
/// before each action under the lease, as the process may have been paused
/// since the last check.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stairstall_core::{Lease, Timestamp};
///
/// let lease = Lease::new(Timestamp::from_millis(100), Duration::from_secs(5));
/// assert!(lease.is_valid(Timestamp::from_millis(4_000)));
/// assert!(!lease.is_valid(Timestamp::from_millis(5_100)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease {
    requested_at: Timestamp,
    ttl: Duration,
}

impl Lease {
    /// The time to live divided by this is the margin for clock drift.
    const DRIFT_DIVISOR: u32 = 20;

    /// Creates a lease that was requested at `requested_at` and lasts for `ttl`.
    #[must_use]
    pub const fn new(requested_at: Timestamp, ttl: Duration) -> Self {
        Self { requested_at, ttl }
    }

    /// Returns when the holder has to stop acting on the lease: `ttl` less the drift margin after
    /// the request.
    #[must_use]
    pub fn ends_at(&self) -> Timestamp {
        self.requested_at + self.ttl.saturating_sub(self.ttl / Self::DRIFT_DIVISOR)
    }

    /// Returns when other parties may rely on the lease being expired, if it was granted by
    /// `granted_at` at the latest: `ttl` plus the drift margin later.
    #[must_use]
    pub fn expired_for_all_at(&self, granted_at: Timestamp) -> Timestamp {
        granted_at + (self.ttl + self.ttl / Self::DRIFT_DIVISOR)
    }

    /// Returns whether the holder may act on the lease at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.ends_at()
    }
}
