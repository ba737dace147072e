use std::fmt;
use std::time::Duration;

use futures::future::BoxFuture;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use stairstall_core::Verdict;
use stairstall_http::CallError;

/// Counts the changes of the whole store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Names a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// One key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Its last change.
    pub revision: Revision,
    /// Its creation.
    pub created: Revision,
}

/// Keys of a prefix in order, as far as they fit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// Whether there are more after the last one.
    pub more: bool,
    /// The store's revision.
    pub revision: Revision,
}

/// One change that a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key is gone.
    Deleted {
        /// The key.
        key: String,
        /// When it went.
        revision: Revision,
    },
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// Changes in order.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub revision: Revision,
}

/// Holds while the key's last change is `revision`; 0 says that there is no such key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Its last change.
    pub revision: Revision,
}

/// Writes a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key goes with.
    pub lease: Option<LeaseId>,
}

/// Does everything, or nothing where a condition does not hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commit {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Keys to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
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

    /// Adds a key to write that goes with a lease.
    #[must_use]
    pub fn put_leased(mut self, key: impl Into<String>, value: Vec<u8>, lease: LeaseId) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }

    /// Adds a key to remove.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.removes.push(key.into());
        self
    }
}

/// What became of a commit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It is done.
    Done(Revision),
    /// A condition does not hold; the keys of the conditions that exist, as they are.
    Conflict(Vec<Item>),
    /// The lease is over.
    LeaseExpired,
}

quick_error! {
    /// A call to the store that brought no usable answer.
    #[derive(Debug)]
    pub enum StoreFault {
        /// The call failed.
        Call(source: CallError) {
            display("{source}")
            from()
            source(source)
        }
        /// The store refused it; nothing was done.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The history that a watch asked for is gone.
        Compacted {
            display("the history is gone")
        }
        /// The lease is over.
        LeaseExpired {
            display("the lease is over")
        }
        /// An answer that the store should not give.
        Unexpected(what: String) {
            display("unexpected answer: {what}")
        }
    }
}

impl StoreFault {
    /// Says whether a write may have taken effect, or may still.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Call(error) => error.verdict(),
            Self::Refused(_) | Self::Compacted | Self::LeaseExpired => Verdict::NotRun,
            Self::Unexpected(_) => Verdict::MayHaveRun,
        }
    }

    /// Tells whether no answer came in the time that the call was given.
    #[must_use]
    pub const fn is_timeout(&self) -> bool {
        matches!(self, Self::Call(CallError::TimedOut(_)))
    }

    /// Tells whether the store did not serve the call, rather than answering it.
    #[must_use]
    pub const fn is_outage(&self) -> bool {
        matches!(self, Self::Call(_) | Self::Refused(_))
    }
}

/// What lasts.
pub trait SharedStore: fmt::Debug + Send + Sync {
    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Item>, StoreFault>>;

    /// Asks whether the store serves at all, as cheaply as it can be asked; `key` is one that
    /// should exist.
    fn ping<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(), StoreFault>>;

    /// Reads keys that start with `prefix` and come after `after`, in order, within `timeout`: a
    /// page may be a megabyte.
    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Page, StoreFault>>;

    /// Waits for changes after `after` under a prefix, for at most `wait`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreFault>>;

    /// Writes under conditions.
    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitOutcome, StoreFault>>;

    /// Takes a lease; returns its name and how long it lasts.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<(LeaseId, Duration), StoreFault>>;

    /// Renews a lease; [`StoreFault::LeaseExpired`] where it is over.
    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreFault>>;

    /// Ends a lease; its keys go.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreFault>>;
}
