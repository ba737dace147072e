//! A step that may start, and whose turn it is.

use crate::batch::{GroupKey, SchedulingKey};

/// Rank of a customer's claim on its own share: nothing comes before it.
pub(super) const GUARANTEED_RANK: u8 = 0;
/// Rank of urgent work beyond its customer's own share.
pub(super) const URGENT_RANK: u8 = 1;

/// A step whose tasks may start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    pub(super) rank: u8,
    pub(super) turn: SchedulingKey,
    pub(super) key: GroupKey,
}
