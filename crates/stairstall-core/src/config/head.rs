use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Change, Configuration, InvalidChange, Revision};

quick_error! {
    /// Why a change was not appended.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeadError {
        /// Another change came first.
        Conflict(current: Revision) {
            display("the configuration is at revision {current} by now; look at it and try again")
        }
        /// The head or the configuration was read too early; read both again.
        RevisionMismatch {
            display("the configuration moved on meanwhile")
        }
        /// The change itself is wrong.
        Invalid(source: InvalidChange) {
            display("{source}")
            from()
            source(source)
        }
    }
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailEntry {
    /// The revision that it made.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}

/// The one key that says which configuration is in force.
///
/// It names the newest snapshot and carries every change since, so that a
/// reader that is a few changes behind needs nothing else.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    /// The snapshot that the tail starts from.
    pub snapshot: Revision,
    /// Changes after the snapshot, in order and without gaps.
    pub tail: Vec<TailEntry>,
}

impl Head {
    /// Longest tail; a longer one is cut at the snapshot before it.
    pub const MAX_TAIL: usize = 32;
    /// How much of the tail stays behind a new snapshot, for readers that lag and repeated changes.
    pub const KEPT_TAIL: usize = 16;

    /// Returns the revision that the change `id` made, if the tail still tells.
    #[must_use]
    pub fn revision_of(&self, change: &Change) -> Option<Revision> {
        self.tail
            .iter()
            .find(|e| e.change.id == change.id)
            .map(|e| e.revision)
    }

    /// Returns the head with `change` appended, and the configuration that it makes.
    ///
    /// # Errors
    ///
    /// Returns a conflict where the operator saw another revision, or what is
    /// wrong with the change.
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

    /// Tells whether a snapshot of the newest revision should be written.
    #[must_use]
    pub fn needs_snapshot(&self) -> bool {
        self.tail.len() > Self::MAX_TAIL
    }

    /// Returns the head after a snapshot of its newest revision was written.
    #[must_use]
    pub fn truncate_tail(mut self) -> Self {
        self.snapshot = self.revision;
        let surplus = self.tail.len().saturating_sub(Self::KEPT_TAIL);
        self.tail.drain(..surplus);
        self
    }
}
