//! What a planner has learnt that the next one should know at once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::run_time::is_news;
use super::{StoredPace, StoredRatios};

/// What the paces of two workers must differ by to be news, in percent of the usual time.
const PACE_CHANGE_PERCENT: u16 = 12;
/// Part of the workers, as a divisor, whose paces must have changed to be written anew.
const CHANGED_DIVISOR: usize = 8;
/// The pace of a worker that is not named.
const USUAL_PERCENT: u16 = 100;

/// What a planner has learnt, as it is written down.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LearnedEstimates {
    /// When it was so, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// How long work takes beside its estimates.
    pub run_times: Vec<StoredRatios>,
    /// How fast workers are.
    pub paces: Vec<StoredPace>,
}

impl LearnedEstimates {
    /// Tells whether a planner that reads this would know more than one that reads what was
    /// written before.
    #[must_use]
    pub fn differs_significantly_from(&self, before: &Self) -> bool {
        is_news(&self.run_times, &before.run_times) || are_news(&self.paces, &before.paces)
    }
}

/// Tells whether the paces of a good part of the workers have changed.
fn are_news(now: &[StoredPace], then: &[StoredPace]) -> bool {
    let then: BTreeMap<_, _> = then
        .iter()
        .map(|pace| (&pace.worker, pace.factor_percent))
        .collect();
    let changed = now.iter().filter(|pace| {
        let earlier = then.get(&pace.worker).copied().unwrap_or(USUAL_PERCENT);
        earlier.abs_diff(pace.factor_percent) > PACE_CHANGE_PERCENT
    });
    let changed = changed.count();
    changed > 0 && changed * CHANGED_DIVISOR >= now.len()
}
