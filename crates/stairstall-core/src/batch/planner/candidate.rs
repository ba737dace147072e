//! Steps that may start, in scheduling order.

use crate::batch::{GroupKey, SchedulingKey};

/// Rank of guaranteed jobs: urgent work within its customer's guaranteed share. It is scheduled
/// first.
pub(super) const GUARANTEED_RANK: u8 = 0;
/// Rank of urgent work beyond its customer's guaranteed share.
pub(super) const URGENT_RANK: u8 = 1;

/// A step with tasks that may start. Candidates sort by rank, then by scheduling key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Candidate {
    pub(super) rank: u8,
    pub(super) scheduling_key: SchedulingKey,
    pub(super) key: GroupKey,
}
