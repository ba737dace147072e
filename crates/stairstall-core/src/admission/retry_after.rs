//! Retry delays for callers whose request was refused.

use std::time::Duration;

use crate::Timestamp;

/// Shortest and longest delay after which a refused caller is told to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfterBounds {
    /// Shortest delay.
    pub shortest: Duration,
    /// Longest delay.
    pub longest: Duration,
}

impl RetryAfterBounds {
    /// Returns `wait`, limited to the bounds.
    #[must_use]
    pub fn clamp(&self, wait: Duration) -> Duration {
        wait.clamp(self.shortest, self.longest)
    }
}

/// Assigns staggered retry times to refused callers, in the order of their requests, so that they
/// don't all retry at once.
#[derive(Debug, Clone, Copy)]
pub struct RetryAfterSchedule {
    bounds: RetryAfterBounds,
    /// Time between two consecutive retry times.
    spacing: Duration,
    /// Retry time that was assigned last.
    last: Option<Timestamp>,
}

impl RetryAfterSchedule {
    /// Delays that would reach the longest one are spread at random over the last part below it:
    /// the longest delay divided by this.
    const SPREAD_DIVISOR: u32 = 4;

    /// Creates a schedule in which no retry time is assigned yet.
    #[must_use]
    pub const fn new(bounds: RetryAfterBounds, spacing: Duration) -> Self {
        Self {
            bounds,
            spacing,
            last: None,
        }
    }

    /// Returns the delay for the next refused caller: about `wait`, or later if other callers were
    /// assigned that time.
    ///
    /// `random`, a random number from 0 to 1, determines the jitter.
    pub fn next(&mut self, wait: Duration, now: Timestamp, random: f64) -> Duration {
        let random = random.clamp(0.0, 1.0);
        let earliest = now + self.bounds.clamp(wait);
        let assigned = self
            .last
            .map_or(earliest, |last| earliest.max(last + self.spacing));
        let delay = assigned - now;
        if delay >= self.bounds.longest {
            let spread = self.bounds.longest / Self::SPREAD_DIVISOR;
            return self.bounds.longest.saturating_sub(spread.mul_f64(random));
        }
        self.last = Some(assigned);
        let spread = self.spacing.mul_f64(random);
        (delay + spread).min(self.bounds.longest)
    }
}
