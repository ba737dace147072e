//! Until when runs may go on at workers that their planner can't ask, as one tenure of the planner
//! role tells the next one.
//!
//! Only the holder of the role knows when it last renewed a lease, and which workers are gone for
//! good. A successor that did not know would wait for the longest lease from its own takeover on, and
//! with each change of the planner that wait would begin anew.
//!
//! What a tenure tells holds for the runs of all tenures up to its own. It is of use to the very next
//! one alone: a tenure in between may have started runs and renewed leases.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::{Timestamp, WorkerId};

/// How long it is kept that a run at a worker is over. An end is stored long before that, unless the
/// store is down.
const RELEASE_KEPT: Duration = Duration::from_secs(60);
/// Number of workers with such runs from which those of which it was kept longer are dropped.
const MAX_RELEASES: usize = 1_024;
/// Largest number of workers that a tenure tells the next one of.
const MAX_TOLD: usize = 8_192;

/// Until when runs that were started by one tenure, or by one before it, may go on at workers.
///
/// Nothing is said of workers that are not contained.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseEnds {
    /// Fencing token of the tenure; 0 for none.
    pub token: u64,
    /// When the last of these runs is over at a worker, on this process's clock. A time that has
    /// passed says that none of them goes on there.
    pub until: BTreeMap<WorkerId, Timestamp>,
}

impl LeaseEnds {
    /// Returns how long runs may still go on at each worker.
    #[must_use]
    pub fn left(&self, at: Timestamp) -> Vec<(WorkerId, Duration)> {
        let until = self.until.iter();
        until.map(|(id, until)| (id.clone(), *until - at)).collect()
    }

    /// Creates it from what another process has told in a message that arrived at `at`.
    ///
    /// The message was sent earlier, so the times are too late rather than too early. A worker's clock
    /// is slower than that of any planner by at most what the lease allows for, so the time that has
    /// passed on one planner's clock and on the next one's adds up.
    #[must_use]
    pub fn from_left(token: u64, left: Vec<(WorkerId, Duration)>, at: Timestamp) -> Self {
        let left = left.into_iter().take(MAX_TOLD);
        let until = left.map(|(id, left)| (id, at + left));
        Self {
            token,
            until: until.collect(),
        }
    }
}

/// A run at a worker that ended in this tenure.
#[derive(Debug, Clone, Copy)]
struct Release {
    at: Timestamp,
    /// Whether a run has failed there. The next tenure has to hear that from the worker.
    has_failed: bool,
}

/// Workers at which runs have ended, although the store may not say so.
#[derive(Debug, Clone, Default)]
pub(super) struct Releases(BTreeMap<WorkerId, Release>);

impl Releases {
    /// Records that a run at a worker is over.
    pub(super) fn record(&mut self, id: &WorkerId, at: Timestamp) {
        self.record_any(id, false, at);
    }

    /// Records that a run has failed at a worker.
    pub(super) fn record_failure(&mut self, id: &WorkerId, at: Timestamp) {
        self.record_any(id, true, at);
    }

    /// Records that a worker is gone for good: nobody hears of its runs again.
    pub(super) fn record_gone(&mut self, id: &WorkerId, at: Timestamp) {
        if let Some(release) = self.0.get_mut(id) {
            let has_failed = false;
            *release = Release { at, has_failed };
        }
    }

    fn record_any(&mut self, id: &WorkerId, has_failed: bool, at: Timestamp) {
        if self.0.len() >= MAX_RELEASES && !self.0.contains_key(id) {
            self.0.retain(|_, release| at - release.at < RELEASE_KEPT);
        }
        let before = self.0.get(id).is_some_and(|release| release.has_failed);
        let has_failed = has_failed || before;
        self.0.insert(id.clone(), Release { at, has_failed });
    }

    fn has_failed(&self, id: &WorkerId) -> bool {
        self.0.get(id).is_some_and(|release| release.has_failed)
    }

    /// Returns the workers at which runs have ended lately, and none has failed.
    fn workers(&self, at: Timestamp) -> impl Iterator<Item = &WorkerId> {
        let lately = self.0.iter();
        let lately = lately.filter(move |(_, release)| at - release.at < RELEASE_KEPT);
        lately
            .filter(|(_, release)| !release.has_failed)
            .map(|(id, _)| id)
    }
}

impl Planner {
    /// Ends the planner's use, and returns until when runs may go on at the workers that it can't ask.
    ///
    /// From now on the planner gives no orders and renews no leases, so that what it has told stays
    /// true.
    pub fn retire(&mut self, now: Now) -> LeaseEnds {
        self.is_retired = true;
        let over = self.releases.workers(now.at);
        let over = over.filter(|id| self.has_no_runs_at(id));
        let over = over.map(|id| (id.clone(), now.at));
        let busy = self.workers.iter().filter(|(_, w)| w.may_run_unasked());
        let busy = busy.filter(|(id, _)| !self.releases.has_failed(id));
        let busy = busy.filter_map(|(id, w)| Some((id.clone(), w.lease_end()?)));
        LeaseEnds {
            token: self.token,
            until: over.chain(busy).take(MAX_TOLD).collect(),
        }
    }

    /// Takes over until when runs of earlier tenures may go on. What any other tenure than the one
    /// just before this one says is ignored; returns whether it was used.
    ///
    /// It may come at any time: what this planner has itself granted stays as it is.
    pub fn restore_lease_ends(&mut self, told: &LeaseEnds) -> bool {
        if told.token.checked_add(1) != Some(self.token) {
            return false;
        }
        for (id, until) in &told.until {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.limit_inherited_lease(*until);
            }
        }
        self.told_lease_ends.clone_from(&told.until);
        true
    }

    /// Returns until when a run at a worker may go on that an earlier tenure has started.
    pub(super) fn inherited_lease_end(&self, id: &WorkerId, now: Now) -> Timestamp {
        let longest = now.at + Self::max_lease_duration(self.bounds.lease_duration);
        let told = self.told_lease_ends.get(id);
        told.map_or(longest, |told| longest.min(*told))
    }

    /// Returns whether nothing was started at a worker that may still go on. Nothing is asked of a
    /// worker that answers: it lists its runs to the next planner too.
    fn has_no_runs_at(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_none_or(|worker| worker.needs_contact() && !worker.is_busy())
    }
}

impl Worker {
    /// Returns whether the worker has runs, it is not known whether it answers, and all of its runs
    /// end with their leases.
    fn may_run_unasked(&self) -> bool {
        let ends_with_lease = |run: &Run| {
            run.late_start_until.is_none()
                && matches!(run.state, RunState::Running | RunState::Stopping)
        };
        let started = || self.runs.values().filter(|run| run.was_started());
        self.needs_contact() && started().next().is_some() && started().all(ends_with_lease)
    }
}
