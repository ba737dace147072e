//! For how long a job has had nothing running although a step of it may start.

use std::time::Duration;

use crate::Timestamp;

/// How often capacity is searched for a job that has had nothing running for too long, at most. The
/// search goes through the fleet, and hundreds of jobs may wait behind a reservation.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time for which a job had nothing running that a new planner counts. It is more than any
/// job may be left so, and little enough that a wrong time of day does no harm.
const MAX_BEFORE: Duration = Duration::from_secs(3);

/// The idle time of one job. The default is that of a job that is not idle.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct IdleTime {
    /// Since when it is idle, in this tenure.
    since: Option<Timestamp>,
    /// How long it had been idle when this tenure learned of it.
    before: Duration,
    /// When capacity was last searched for it because it was idle for too long.
    searched_at: Option<Timestamp>,
    /// Whether it was reported as idle.
    pub(super) is_reported: bool,
}

impl IdleTime {
    /// Creates the idle time of a job that was idle for `before` under earlier planners.
    pub(super) fn restored(before: Duration) -> Self {
        Self {
            before: before.min(MAX_BEFORE),
            ..Self::default()
        }
    }

    /// Records that the job is idle.
    pub(super) fn begin(&mut self, at: Timestamp) {
        self.since.get_or_insert(at);
    }

    /// Returns for how long the job has been idle.
    pub(super) fn duration(&self, at: Timestamp) -> Duration {
        let since = self.since.map(|since| at - since);
        since.map_or(Duration::ZERO, |idle| self.before + idle)
    }

    /// Records that capacity is searched for the job.
    pub(super) fn record_search(&mut self, at: Timestamp) {
        self.searched_at = Some(at);
    }

    /// Returns whether capacity may be searched for the job again.
    pub(super) fn may_search(&self, at: Timestamp) -> bool {
        self.searched_at
            .is_none_or(|searched_at| at - searched_at >= SEARCH_INTERVAL)
    }
}
