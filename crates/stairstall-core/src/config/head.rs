use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Change, Configuration, InvalidChange, Revision};

quick_error! {
    /// Why a change was not appended to the [`Head`].
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// The change is based on another revision than the current one.
        Conflict(current: Revision) {
            display("the configuration is at revision {current} by now; look at it and try again")
        }
        /// The head and the configuration have different revisions; both must be read again.
        RevisionMismatch {
            display("the configuration moved on meanwhile")
        }
        /// The change is invalid.
        Invalid(source: InvalidChange) {
            display("{source}")
            from()
            source(source)
        }
    }
}

/// One accepted change and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailEntry {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Accepted change.
    pub change: Change,
}

/// The stored record that determines the configuration in effect.
///
/// It names the newest snapshot and contains all later changes and some earlier
/// ones, so that a reader that is only a few changes behind needs no snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Newest revision.
    pub revision: Revision,
    /// Revision of the newest snapshot.
    pub snapshot: Revision,
    /// The most recent changes, by ascending revision and without gaps; includes all changes after
    /// the snapshot.
    pub tail: Vec<TailEntry>,
}

impl Head {
    /// Maximum length of the tail; a longer tail requires a new snapshot.
    pub const MAX_TAIL: usize = 32;
    /// Number of changes that stay in the tail after a new snapshot, for readers that lag and to
    /// detect repeated changes.
    pub const RETAINED_TAIL: usize = 16;

    /// Returns the revision that the change with the id of `change` produced, if it is still in the
    /// tail.
    #[must_use]
    pub fn revision_of(&self, change: &Change) -> Option<Revision> {
        self.tail
            .iter()
            .find(|e| e.change.id == change.id)
            .map(|e| e.revision)
    }

    /// Returns the head with `change` appended, and the resulting configuration.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError::Conflict`] if the change is based on another revision,
    /// [`HeadError::RevisionMismatch`] if `current` is not the configuration of this
    /// head, or [`HeadError::Invalid`] if the change can't be applied.
    pub fn append(
        &self,
        current: &Configuration,
        change: &Change,
    ) -> Result<(Self, Configuration), HeadError> {
        if current.revision != self.revision {
            return Err(HeadError::RevisionMismatch);
        }
        if change.base.is_some_and(|base| base != self.revision) {
            return Err(HeadError::Conflict(self.revision));
        }
        let next = current.apply(change)?;
        let mut head = self.clone();
        head.revision = next.revision;
        head.tail.push(TailEntry {
            revision: next.revision,
            change: change.clone(),
        });
        Ok((head, next))
    }

    /// Returns whether a snapshot of the newest revision should be written.
    #[must_use]
    pub fn needs_snapshot(&self) -> bool {
        self.tail.len() > Self::MAX_TAIL
    }

    /// Returns the head to store once a snapshot of its newest revision is stored.
    ///
    /// Keeps the last [`Head::RETAINED_TAIL`] changes.
    #[must_use]
    pub fn truncate_tail(mut self) -> Self {
        self.snapshot = self.revision;
        let surplus = self.tail.len().saturating_sub(Self::RETAINED_TAIL);
        self.tail.drain(..surplus);
        self
    }
}
