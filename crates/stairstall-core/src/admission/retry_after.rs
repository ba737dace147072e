//! When those should come back who were refused.

use std::time::Duration;

use crate::Timestamp;

/// Bounds of how long callers are told to stay away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAfterBounds {
    /// The shortest time.
    pub shortest: Duration,
    /// The longest.
    pub longest: Duration,
}

impl RetryAfterBounds {
    /// Returns a wait within the bounds.
    #[must_use]
    pub fn clamp(&self, wait: Duration) -> Duration {
        wait.clamp(self.shortest, self.longest)
    }
}

/// Gives those who are refused times to return at, one after the other in the order in which they
/// asked, so that they don't come all at once.
#[derive(Debug, Clone, Copy)]
pub struct RetryAfterSchedule {
    bounds: RetryAfterBounds,
    /// Between two of them.
    spacing: Duration,
    last: Option<Timestamp>,
}

impl RetryAfterSchedule {
    /// Part of the longest wait over which those are spread that would have to wait longer.
    const SPREAD_DIVISOR: u32 = 4;

    /// Creates times of which none is taken.
    #[must_use]
    pub const fn new(bounds: RetryAfterBounds, spacing: Duration) -> Self {
        Self {
            bounds,
            spacing,
            last: None,
        }
    }

    /// Returns how long one who should wait so long stays away; `random` is from 0 to 1.
    pub fn next(&mut self, wait: Duration, now: Timestamp, random: f64) -> Duration {
        let random = random.clamp(0.0, 1.0);
        let wished = now + self.bounds.clamp(wait);
        let in_turn = self
            .last
            .map_or(wished, |last| wished.max(last + self.spacing));
        let away = in_turn - now;
        if away >= self.bounds.longest {
            let spread = self.bounds.longest / Self::SPREAD_DIVISOR;
            return self.bounds.longest.saturating_sub(spread.mul_f64(random));
        }
        self.last = Some(in_turn);
        let spread = self.spacing.mul_f64(random);
        (away + spread).min(self.bounds.longest)
    }
}
