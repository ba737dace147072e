use std::sync::Arc;

use super::{Configuration, Head, Revision};

/// Result of offering a head or a configuration to a [`Follower`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offer was newer and is now in effect.
    Applied,
    /// The offer is not newer than the configuration in effect.
    Stale,
    /// The tail of the head does not reach back to the configuration in effect, or one of its
    /// changes can't be applied; load the snapshot of this revision.
    NeedsSnapshot(Revision),
}

/// The configuration in effect at one daemon; its revision never decreases.
///
/// # Examples
///
/// ```
/// use stairstall_core::config::{Configuration, Follower, OfferOutcome, Revision};
///
/// let mut follower = Follower::new();
/// let newer = Configuration { revision: Revision(3), ..Default::default() };
/// assert_eq!(follower.offer_configuration(newer), OfferOutcome::Applied);
/// let older = Configuration { revision: Revision(2), ..Default::default() };
/// assert_eq!(follower.offer_configuration(older), OfferOutcome::Stale);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Follower {
    current: Arc<Configuration>,
}

impl Follower {
    /// Creates a follower with the empty configuration of revision zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in effect.
    #[must_use]
    pub const fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Applies the changes in the tail of the stored head, if the head is newer.
    pub fn offer_head(&mut self, head: &Head) -> OfferOutcome {
        if head.revision <= self.current.revision {
            return OfferOutcome::Stale;
        }
        let mut next = Configuration::clone(&self.current);
        for entry in &head.tail {
            if entry.revision != next.revision.next() {
                continue;
            }
            match next.apply(&entry.change) {
                Ok(applied) => next = applied,
                Err(_) => return OfferOutcome::NeedsSnapshot(head.snapshot),
            }
        }
        if next.revision != head.revision {
            return OfferOutcome::NeedsSnapshot(head.snapshot);
        }
        self.current = Arc::new(next);
        OfferOutcome::Applied
    }

    /// Replaces the configuration by a complete one, from a snapshot or a peer, if that is newer.
    pub fn offer_configuration(&mut self, configuration: Configuration) -> OfferOutcome {
        if configuration.revision <= self.current.revision {
            return OfferOutcome::Stale;
        }
        self.current = Arc::new(configuration);
        OfferOutcome::Applied
    }
}
