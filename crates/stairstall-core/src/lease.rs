//! A lease as its holder may rely on it.

use std::time::Duration;

use crate::Timestamp;

/// A lease counted from before the request that took it was sent.
///
/// The granting side counts from when it handled the request, which is later,
/// so the holder's view always ends first. The drift margin covers clocks that
/// run at different rates. Check [`Lease::is_valid`] before each act: the
/// holder may have been paused since the last check.
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
    /// One part in this many of the time to live is kept as drift margin.
    const DRIFT_SHARE: u32 = 20;

    /// Creates the view of a lease that was requested at `requested_at`.
    #[must_use]
    pub const fn new(requested_at: Timestamp, ttl: Duration) -> Self {
        Self { requested_at, ttl }
    }

    /// Returns when the holder stops relying on the lease.
    #[must_use]
    pub fn ends_at(&self) -> Timestamp {
        self.requested_at + self.ttl.saturating_sub(self.ttl / Self::DRIFT_SHARE)
    }

    /// Returns when every other party may count the lease as ended.
    #[must_use]
    pub fn expired_for_all_at(&self, granted_at: Timestamp) -> Timestamp {
        granted_at + (self.ttl + self.ttl / Self::DRIFT_SHARE)
    }

    /// Tells whether the holder may act on the lease at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Timestamp) -> bool {
        now < self.ends_at()
    }
}
