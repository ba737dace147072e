use std::time::Duration;

use crate::Timestamp;

/// A token bucket that limits retries to a fraction of the requests, so that retries cannot
/// amplify an overload.
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
    /// Available tokens; one token is a hundredth of a retry.
    tokens: u32,
    /// Time up to which the tokens per second have been added.
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Tokens that one retry consumes.
    const TOKENS_PER_RETRY: u32 = 100;
    /// Tokens added per request: a tenth of a retry.
    const TOKENS_PER_REQUEST: u32 = 10;
    /// Tokens added per second regardless of load: three retries.
    const TOKENS_PER_SECOND: u32 = 300;
    /// Maximum number of tokens that the budget holds: fifty retries.
    const MAX_TOKENS: u32 = 5_000;

    /// Creates a budget that holds the tokens of one second.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            tokens: Self::TOKENS_PER_SECOND,
            refilled_at: Timestamp::from_millis(0),
        }
    }

    /// Adds the tokens for one request; call it once per request, not for its retries.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + Self::TOKENS_PER_REQUEST).min(Self::MAX_TOKENS);
    }

    /// Consumes the tokens of one retry; returns `false` if too few are left.
    pub fn try_retry(&mut self, now: Timestamp) -> bool {
        let seconds = (now - self.refilled_at).as_secs();
        if seconds > 0 {
            // The limit avoids an overflow; the tokens of a minute exceed `MAX_TOKENS`.
            let refill = u32::try_from(seconds.min(60)).unwrap_or(60) * Self::TOKENS_PER_SECOND;
            self.tokens = (self.tokens + refill).min(Self::MAX_TOKENS);
            self.refilled_at = self.refilled_at + Duration::from_secs(seconds);
        }
        if self.tokens < Self::TOKENS_PER_RETRY {
            return false;
        }
        self.tokens -= Self::TOKENS_PER_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
