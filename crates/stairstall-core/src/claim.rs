//! Claims in the store, which ensure that a non-repeatable request runs at most once over all
//! daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Lease, Timestamp, VmId};

/// Identifies one attempt at a claim, unique over all daemons and their restarts.
///
/// If the response to a compare-and-swap is lost, the mark found in the store
/// shows whether the write took effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// Daemon that writes the claim.
    pub daemon: VmId,
    /// Random number that each daemon process draws when it starts.
    pub instance: u64,
    /// Sequence number of the claim within that process.
    pub serial: u64,
}

impl Mark {
    /// Creates the mark of claim number `serial` of a daemon process.
    #[must_use]
    pub const fn new(daemon: VmId, instance: u64, serial: u64) -> Self {
        Self {
            daemon,
            instance,
            serial,
        }
    }
}

/// The complete response to a claimed request, stored so that it can be replayed to a caller that
/// did not receive it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Content type, if the minion sent one.
    pub content_type: Option<String>,
    /// Body, encoded in Base64.
    pub body: String,
}

/// The stored record of one non-repeatable request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Mark of the attempt that claimed the request.
    pub mark: Mark,
    /// Response, once it is complete and if it is small enough to store.
    pub answer: Option<StoredResponse>,
    /// Whether the daemon saw the request end with a complete response.
    pub finished: bool,
}

impl ClaimRecord {
    /// Creates the record of a claim whose request has not been sent yet.
    #[must_use]
    pub const fn new(mark: Mark) -> Self {
        Self {
            mark,
            answer: None,
            finished: false,
        }
    }
}

/// Result of writing a claim to the store, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWriteResult {
    /// The write took effect.
    Applied,
    /// A record already exists; an earlier write of the same attempt may have created it.
    Conflict(ClaimRecord),
    /// The write did not take effect, and no existing record is known.
    NotApplied,
    /// The write may have taken effect; the store's response was lost.
    Lost,
}

/// What to do next in an attempt to claim a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Repeat the same write with the same mark.
    RetryWrite,
    /// The claim is held: the request may be sent while [`ClaimAttempt::may_send`] says so.
    Held,
    /// Another attempt holds or held the claim.
    Taken(ClaimRecord),
    /// The attempt failed after the last write; the request was not sent.
    GaveUp {
        /// Whether the store may contain a record with this attempt's mark, which must be deleted.
        record_may_exist: bool,
    },
}

/// One attempt to claim a request id, as a state machine driven by the results of store writes.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stairstall_core::Timestamp;
/// use stairstall_core::claim::{ClaimWriteResult, ClaimAttempt, ClaimRecord, ClaimStep, Mark};
///
/// let mark = Mark::new("vm-1".parse().unwrap(), 7, 1);
/// let start = Timestamp::from_millis(0);
/// let mut attempt = ClaimAttempt::new(mark.clone(), start, Duration::from_secs(60));
/// // The response to the first write is lost; the second finds this attempt's own mark.
/// assert_eq!(attempt.handle_write_result(ClaimWriteResult::Lost), ClaimStep::RetryWrite);
/// let own = ClaimWriteResult::Conflict(ClaimRecord::new(mark));
/// assert_eq!(attempt.handle_write_result(own), ClaimStep::Held);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimAttempt {
    mark: Mark,
    lease: Lease,
    /// Number of writes, including the one in progress.
    writes: u32,
    /// Whether the result of any write is unknown.
    response_lost: bool,
    held: bool,
}

impl ClaimAttempt {
    /// Maximum number of writes before the attempt gives up.
    pub const MAX_WRITES: u32 = 3;

    /// Creates an attempt whose claim expires in the store after `ttl`, counted from `now`.
    #[must_use]
    pub const fn new(mark: Mark, now: Timestamp, ttl: Duration) -> Self {
        Self {
            mark,
            lease: Lease::new(now, ttl),
            writes: 1,
            response_lost: false,
            held: false,
        }
    }

    /// Returns the mark that identifies this attempt.
    #[must_use]
    pub const fn mark(&self) -> &Mark {
        &self.mark
    }

    /// Returns the record to write to the store.
    #[must_use]
    pub fn record(&self) -> ClaimRecord {
        ClaimRecord::new(self.mark.clone())
    }

    /// Handles the result of the last write and returns the next step.
    pub fn handle_write_result(&mut self, result: ClaimWriteResult) -> ClaimStep {
        match result {
            ClaimWriteResult::Applied => self.mark_held(),
            ClaimWriteResult::Conflict(record) if record.mark == self.mark => self.mark_held(),
            ClaimWriteResult::Conflict(record) => ClaimStep::Taken(record),
            ClaimWriteResult::NotApplied => self.retry_or_give_up(),
            ClaimWriteResult::Lost => {
                self.response_lost = true;
                self.retry_or_give_up()
            }
        }
    }

    /// Returns whether the request may be sent at `now`: the claim is held and has not expired.
    #[must_use]
    pub fn may_send(&self, now: Timestamp) -> bool {
        self.held && self.lease.is_valid(now)
    }

    fn mark_held(&mut self) -> ClaimStep {
        self.held = true;
        ClaimStep::Held
    }

    fn retry_or_give_up(&mut self) -> ClaimStep {
        if self.writes >= Self::MAX_WRITES {
            return ClaimStep::GaveUp {
                record_may_exist: self.response_lost,
            };
        }
        self.writes += 1;
        ClaimStep::RetryWrite
    }
}
