use std::sync::Arc;

use super::{Configuration, Head, Revision};

/// What became of an offered head or configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It was newer and is in force now.
    Applied,
    /// It is not newer than what is in force.
    Stale,
    /// Changes are missing in between; this snapshot closes the gap.
    NeedsSnapshot(Revision),
}

/// The configuration in force at one daemon; its revision never falls.
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
    /// Creates a follower at revision zero: nothing is configured.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Takes the store's head, if it is newer.
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

    /// Takes a whole configuration, from a snapshot or a peer, if it is newer.
    pub fn offer_configuration(&mut self, configuration: Configuration) -> OfferOutcome {
        if configuration.revision <= self.current.revision {
            return OfferOutcome::Stale;
        }
        self.current = Arc::new(configuration);
        OfferOutcome::Applied
    }
}
