//! What a worker's clock showed when it was read, and what follows from that later.
//!
//! Deadlines of leases are values of the worker's own clock, which may be slow. A value that is
//! carried on from a reading is therefore uncertain by an amount that grows with the age of the
//! reading. Nothing but [`ClockReading`] carries such a value on: it returns the bound that is safe
//! for its use.

use std::time::Duration;

use crate::Timestamp;
use crate::time::millis;

/// A value of a worker's clock, and when the planner got it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stairstall_core::Timestamp;
/// use stairstall_core::batch::ClockReading;
///
/// let reading = ClockReading::new(1_000, Timestamp::from_millis(5_000));
/// let minute_later = Timestamp::from_millis(65_000);
/// // The clock has gone on by 58.8 s to 60 s.
/// assert_eq!(reading.earliest_at(minute_later), 59_800);
/// assert_eq!(reading.uncertainty_at(minute_later), Duration::from_millis(1_200));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// Value of the worker's clock in milliseconds.
    clock_ms: u64,
    /// When the answer with that value arrived, on the planner's clock.
    read_at: Timestamp,
}

impl ClockReading {
    /// How slow a worker's clock may be, as a divisor: 50 stands for 2%.
    const DRIFT_DIVISOR: u32 = 50;
    /// The part of a lease that the uncertainty of a reading may cost, as a divisor.
    const MAX_LEASE_LOSS_DIVISOR: u32 = 10;

    /// Creates a reading from an answer that arrived at `read_at`.
    #[must_use]
    pub const fn new(clock_ms: u64, read_at: Timestamp) -> Self {
        Self { clock_ms, read_at }
    }

    /// Returns how long ago the clock was read.
    #[must_use]
    pub fn age_at(self, at: Timestamp) -> Duration {
        at - self.read_at
    }

    /// Returns by how much the clock may be ahead of [`Self::earliest_at`] because of its drift.
    ///
    /// The time that the answer was on its way adds to this.
    #[must_use]
    pub fn uncertainty_at(self, at: Timestamp) -> Duration {
        self.age_at(at) / Self::DRIFT_DIVISOR
    }

    /// Returns the lowest value, in milliseconds, that the clock may show at a moment.
    #[must_use]
    pub fn earliest_at(self, at: Timestamp) -> u64 {
        let least = self.age_at(at).saturating_sub(self.uncertainty_at(at));
        self.clock_ms.saturating_add(millis(least))
    }

    /// Returns the deadline, on the worker's clock, of a lease that is granted at a moment.
    ///
    /// It is never later than the clock's value at that moment plus the lease, so the lease is over
    /// [`Self::longest_duration`] after that moment, whenever the worker gets the deadline.
    #[must_use]
    pub fn deadline(self, lease: Duration, granted_at: Timestamp) -> u64 {
        self.earliest_at(granted_at).saturating_add(millis(lease))
    }

    /// Returns whether a lease granted at a moment keeps nearly all of its duration.
    #[must_use]
    pub fn is_precise_for(self, lease: Duration, at: Timestamp) -> bool {
        self.uncertainty_at(at) <= lease / Self::MAX_LEASE_LOSS_DIVISOR
    }

    /// Returns how far the clock has fallen behind the planner's since an earlier reading.
    #[must_use]
    pub fn drift_since(self, earlier: Self) -> Duration {
        let at_full_speed = earlier
            .clock_ms
            .saturating_add(millis(earlier.age_at(self.read_at)));
        Duration::from_millis(at_full_speed.saturating_sub(self.clock_ms))
    }

    /// Returns the longest time that a duration on a worker's clock takes on the planner's.
    #[must_use]
    pub fn longest_duration(on_worker: Duration) -> Duration {
        on_worker + on_worker / (Self::DRIFT_DIVISOR - 1)
    }
}
