//! How recent a copy of stored data is.

use std::time::Duration;

use crate::Timestamp;

/// As of when a copy of stored data is known to have been the newest.
///
/// An answer confirms the copy as of the moment its request was sent: a change stored after that may
/// be missing from the answer, one stored before can't be. An open request, such as a watch that
/// waits, confirms nothing, since its connection may have become silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Timestamp>,
}

impl Freshness {
    /// Records that the copy was the newest at `at`. Answers may arrive out of order, so an earlier
    /// time than the known one is ignored.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns how long ago the copy was known to be the newest, or `None` if it never was.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Returns whether the copy was known to be the newest at most `max_age` ago.
    #[must_use]
    pub fn is_within(&self, max_age: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }
}
