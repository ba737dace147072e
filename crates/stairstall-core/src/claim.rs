//! Claims that let not-repeatable work run at most once over all daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Lease, Timestamp, VmId};

/// Names one attempt at a claim, over all daemons and their restarts.
///
/// A compare-and-swap whose answer is lost is resolved by finding the mark, or
/// another one, in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// The daemon that wrote.
    pub daemon: VmId,
    /// Drawn at random by each daemon process at its start.
    pub instance: u64,
    /// Counts the claims of that process.
    pub serial: u64,
}

impl Mark {
    /// Creates the mark of one attempt.
    #[must_use]
    pub const fn new(daemon: VmId, instance: u64, serial: u64) -> Self {
        Self {
            daemon,
            instance,
            serial,
        }
    }
}

/// The whole answer to a claimed request, kept for callers that lost theirs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, where the minion gave one.
    pub content_type: Option<String>,
    /// Base64 of the body.
    pub body: String,
}

/// What the store keeps for one not-repeatable request id.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Who claimed it.
    pub mark: Mark,
    /// The answer, once it is known and small enough to keep.
    pub answer: Option<StoredResponse>,
    /// Whether the request was seen to end with a whole answer.
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

/// The store's answer to the write of a claim, as far as it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWriteResult {
    /// The write took effect.
    Applied,
    /// Another record stands in its place; it may be our own, written earlier.
    Conflict(ClaimRecord),
    /// The write certainly did not take effect.
    NotSent,
    /// The write may have taken effect; the answer was lost.
    Lost,
}

/// What to do next with a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send the same write, with the same mark, again.
    RetryWrite,
    /// The claim is held: the request may be sent while [`ClaimAttempt::may_send`] says so.
    Held,
    /// Somebody else holds or held the claim.
    Taken(ClaimRecord),
    /// Given up; nothing was sent, and a record may stand that has to be released.
    GaveUp {
        /// Whether a record with our mark may stand in the store.
        record_may_exist: bool,
    },
}

/// One attempt to claim a request id, as a state machine over the store's answers.
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
/// // The answer of the first write is lost; the second finds our own mark.
/// assert_eq!(attempt.handle_write_result(ClaimWriteResult::Lost), ClaimStep::RetryWrite);
/// let own = ClaimWriteResult::Conflict(ClaimRecord::new(mark));
/// assert_eq!(attempt.handle_write_result(own), ClaimStep::Held);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimAttempt {
    mark: Mark,
    lease: Lease,
    writes: u32,
    lost: bool,
    held: bool,
}

impl ClaimAttempt {
    /// How often the write is sent before giving up.
    pub const MAX_WRITES: u32 = 3;

    /// Creates an attempt whose claim the store keeps for `kept_for` from now on.
    #[must_use]
    pub const fn new(mark: Mark, now: Timestamp, kept_for: Duration) -> Self {
        Self {
            mark,
            lease: Lease::new(now, kept_for),
            writes: 1,
            lost: false,
            held: false,
        }
    }

    /// Returns the mark.
    #[must_use]
    pub const fn mark(&self) -> &Mark {
        &self.mark
    }

    /// Returns the record to write.
    #[must_use]
    pub fn record(&self) -> ClaimRecord {
        ClaimRecord::new(self.mark.clone())
    }

    /// Takes the store's answer to the last write.
    pub fn handle_write_result(&mut self, answer: ClaimWriteResult) -> ClaimStep {
        match answer {
            ClaimWriteResult::Applied => self.hold(),
            ClaimWriteResult::Conflict(record) if record.mark == self.mark => self.hold(),
            ClaimWriteResult::Conflict(record) => ClaimStep::Taken(record),
            ClaimWriteResult::NotSent => self.again(),
            ClaimWriteResult::Lost => {
                self.lost = true;
                self.again()
            }
        }
    }

    /// Tells whether the request may leave at `now`: the claim is held and still stands.
    #[must_use]
    pub fn may_send(&self, now: Timestamp) -> bool {
        self.held && self.lease.is_valid(now)
    }

    fn hold(&mut self) -> ClaimStep {
        self.held = true;
        ClaimStep::Held
    }

    fn again(&mut self) -> ClaimStep {
        if self.writes >= Self::MAX_WRITES {
            return ClaimStep::GaveUp {
                record_may_exist: self.lost,
            };
        }
        self.writes += 1;
        ClaimStep::RetryWrite
    }
}
