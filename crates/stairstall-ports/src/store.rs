use std::fmt;
use std::time::Duration;

use futures::future::BoxFuture;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use stairstall_core::Verdict;
use stairstall_http::CallError;

/// Store-wide revision, which increases with every change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of a store lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// A stored key with its value and revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: Revision,
    /// Revision at which the key was created.
    pub created: Revision,
}

/// One page of a range read, in key order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// Whether more keys follow the last item.
    pub more: bool,
    /// Revision of the store at the time of the read.
    pub revision: Revision,
}

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key was deleted, by a commit or with its lease.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// Changes returned by one call of [`SharedStore::watch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// Changes in the order of their revisions.
    pub changes: Vec<Change>,
    /// Revision to pass as `after` to the next call.
    pub revision: Revision,
}

/// Condition of a commit: the key was last changed at `revision`, or does not exist if that is 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Expected revision of the last change; 0 if the key must not exist.
    pub revision: Revision,
}

/// A key to write in a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Lease to attach the key to; the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// An atomic write: all changes are applied, or none if a condition does not hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commit {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to delete.
    pub removes: Vec<String>,
}

impl Commit {
    /// Adds a condition.
    #[must_use]
    pub fn when(mut self, key: impl Into<String>, revision: Revision) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            revision,
        });
        self
    }

    /// Adds a key to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: Vec<u8>) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }

    /// Adds a key to write that is attached to a lease.
    #[must_use]
    pub fn put_leased(mut self, key: impl Into<String>, value: Vec<u8>, lease: LeaseId) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }

    /// Adds a key to delete.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.removes.push(key.into());
        self
    }
}

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit was applied at this revision.
    Done(Revision),
    /// A condition does not hold. Contains the current items of those condition keys that exist.
    Conflict(Vec<Item>),
    /// The lease of a put has expired or was revoked.
    LeaseExpired,
}

quick_error! {
    /// A store call that failed to return a usable response.
    #[derive(Debug)]
    pub enum StoreFault {
        /// The HTTP call failed.
        Call(source: CallError) {
            display("{source}")
            from()
            source(source)
        }
        /// The store refused the call with this HTTP status and changed nothing.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The revisions that a watch requested have been compacted.
        Compacted {
            display("the history is gone")
        }
        /// The lease has expired or was revoked.
        LeaseExpired {
            display("the lease is over")
        }
        /// The store returned a response that its interface does not allow.
        Unexpected(what: String) {
            display("unexpected answer: {what}")
        }
    }
}

impl StoreFault {
    /// Returns whether a write may have taken effect or may still do so.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Call(error) => error.verdict(),
            Self::Refused(_) | Self::Compacted | Self::LeaseExpired => Verdict::NotRun,
            Self::Unexpected(_) => Verdict::MayHaveRun,
        }
    }

    /// Returns whether the call timed out.
    #[must_use]
    pub const fn is_timeout(&self) -> bool {
        matches!(self, Self::Call(CallError::TimedOut(_)))
    }

    /// Returns whether the HTTP call failed or the store refused it, so that the store may be
    /// unavailable.
    #[must_use]
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Call(_) | Self::Refused(_))
    }
}

/// The platform's durable key-value store.
pub trait SharedStore: fmt::Debug + Send + Sync {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Item>, StoreFault>>;

    /// Checks at the lowest possible cost whether the store serves calls; `key` should be an
    /// existing key.
    fn ping<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(), StoreFault>>;

    /// Reads a page of the keys that start with `prefix` and sort after `after`, in key order.
    ///
    /// The call has a `timeout` of its own because a page may be as large as a megabyte.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Page, StoreFault>>;

    /// Waits for at most `wait` for changes of keys that start with `prefix`, made after revision
    /// `after`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreFault>>;

    /// Applies a commit atomically if its conditions hold.
    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitOutcome, StoreFault>>;

    /// Creates a lease; returns its identifier and time to live.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<(LeaseId, Duration), StoreFault>>;

    /// Renews a lease and returns its time to live, or [`StoreFault::LeaseExpired`] if it has ended.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreFault>>;

    /// Revokes a lease, which deletes the keys attached to it.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreFault>>;
}
