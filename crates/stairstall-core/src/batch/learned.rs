//! Estimates that one planner learned and the next one should start with.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::run_time::differ_significantly;
use super::{StoredPace, StoredRatios};

/// Difference from which the pace of a worker counts as changed, in percent of the typical time.
const PACE_CHANGE_PERCENT: u16 = 12;
/// Paces are stored again once at least one in this many workers has changed.
const CHANGED_DIVISOR: usize = 8;
/// Pace assumed for a worker without a stored entry.
const TYPICAL_PERCENT: u16 = 100;

/// Learned estimates in the form in which they are stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedEstimates {
    /// When the estimates were taken, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Run times relative to the callers' estimates.
    pub run_times: Vec<StoredRatios>,
    /// Paces of individual workers.
    pub paces: Vec<StoredPace>,
}

impl LearnedEstimates {
    /// Returns whether these estimates differ enough from `before`, which was stored earlier, to be
    /// worth storing again.
    #[must_use]
    pub fn differs_significantly_from(&self, before: &Self) -> bool {
        differ_significantly(&self.run_times, &before.run_times)
            || paces_differ_significantly(&self.paces, &before.paces)
    }
}

/// Returns whether the pace of a large enough part of the workers has changed.
fn paces_differ_significantly(now: &[StoredPace], before: &[StoredPace]) -> bool {
    let before: BTreeMap<_, _> = before
        .iter()
        .map(|pace| (&pace.worker, pace.factor_percent))
        .collect();
    let changed = now.iter().filter(|pace| {
        let earlier = before.get(&pace.worker).copied().unwrap_or(TYPICAL_PERCENT);
        earlier.abs_diff(pace.factor_percent) > PACE_CHANGE_PERCENT
    });
    let changed = changed.count();
    changed > 0 && changed * CHANGED_DIVISOR >= now.len()
}
