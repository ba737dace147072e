use std::time::Duration;

use crate::Timestamp;

/// Bounds retries to a share of the requests, so that they can't multiply an overload.
///
/// # Examples
///
/// ```
/// use stairstall_core::Timestamp;
/// use stairstall_core::admission::RetryBudget;
///
/// let mut budget = RetryBudget::new();
/// assert!(budget.try_retry(Timestamp::from_millis(0)));
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Tokens in hundredths of a retry.
    tokens: u32,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// What one retry costs.
    const RETRY_COST: u32 = 100;
    /// What one request earns: a tenth of a retry.
    const REQUEST_EARNS: u32 = 10;
    /// What each second earns whatever the load: three retries.
    const SECOND_EARNS: u32 = 300;
    /// Most that is saved up: fifty retries.
    const MOST: u32 = 5_000;

    /// Creates a budget that holds its first second's retries.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tokens: Self::SECOND_EARNS,
            refilled_at: Timestamp::from_millis(0),
        }
    }

    /// Counts one first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + Self::REQUEST_EARNS).min(Self::MOST);
    }

    /// Takes one retry from the budget; false where it is used up.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let seconds = (now - self.refilled_at).as_secs();
        if seconds > 0 {
            let earned = u32::try_from(seconds.min(60)).unwrap_or(60) * Self::SECOND_EARNS;
            self.tokens = (self.tokens + earned).min(Self::MOST);
            self.refilled_at = self.refilled_at + Duration::from_secs(seconds);
        }
        if self.tokens < Self::RETRY_COST {
            return false;
        }
        self.tokens -= Self::RETRY_COST;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
