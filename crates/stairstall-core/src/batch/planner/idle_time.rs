//! For how long a job has had nothing running although a step of it may start.

use std::time::Duration;

use crate::Timestamp;

/// Longest time for which a job had nothing running that a new planner counts. It is more than any
/// job may be left so, and little enough that a wrong time of day does no harm.
const MAX_BEFORE: Duration = Duration::from_secs(3);

/// The idle time of one job. The default is that of a job that is not idle.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct IdleTime {
    /// Since when it is idle, as far as this tenure knows.
    since: Option<Timestamp>,
    /// How long it had been idle when this tenure learned of it.
    before: Duration,
    /// Whether it was reported as idle.
    pub(super) is_reported: bool,
    /// When it was last reported as idle beyond its bound.
    pub(super) overdue_reported_at: Option<Timestamp>,
}

impl IdleTime {
    /// Creates the idle time of a job that was idle for `before` when this tenure learned of it.
    pub(super) fn restored(before: Duration, at: Timestamp) -> Self {
        Self {
            since: Some(at),
            before: before.min(MAX_BEFORE),
            ..Self::default()
        }
    }

    /// Records that the job is idle.
    pub(super) fn begin(&mut self, at: Timestamp) {
        self.since.get_or_insert(at);
    }

    /// Returns whether the job is idle.
    pub(super) const fn is_running(&self) -> bool {
        self.since.is_some()
    }

    /// Returns for how long the job has been idle.
    pub(super) fn duration(&self, at: Timestamp) -> Duration {
        let since = self.since.map(|since| at - since);
        since.map_or(Duration::ZERO, |idle| self.before + idle)
    }
}
