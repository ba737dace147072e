//! The jobs whose progress waits to be written, and the order in which it is written.
//!
//! Urgent jobs go first, among equals those whose changes are oldest. While there are more changes
//! than the store takes, jobs with less urgent work would never be written: their placements don't
//! start, and their run ends are not acknowledged. Jobs that were passed over several times
//! therefore get a share of each write.

use std::collections::{BTreeMap, BTreeSet};

use crate::JobId;

/// Number of writes that may pass over a job before it is overdue.
const MAX_PASSES: u64 = 3;
/// Overdue jobs go first in one part in this many of the jobs of a write.
const OVERDUE_SHARE_DIVISOR: usize = 4;

/// The jobs whose progress waits to be written.
#[derive(Debug, Clone, Default)]
pub(super) struct WriteQueue {
    /// Number of writes that have been taken.
    writes: u64,
    /// Jobs with changes, and the number of writes taken before the oldest of these changes.
    waiting: BTreeMap<JobId, u64>,
    /// The same of the changes that are being written.
    in_progress: BTreeMap<JobId, u64>,
}

impl WriteQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a job has changed.
    pub(super) fn insert(&mut self, id: JobId) {
        self.waiting.entry(id).or_insert(self.writes);
    }

    /// Removes and returns the jobs for the next write: up to `max`, none of those in `busy`.
    pub(super) fn take(
        &mut self,
        max: usize,
        busy: &BTreeSet<JobId>,
        priority_of: impl Fn(&JobId) -> u8,
    ) -> Vec<JobId> {
        let taken = self.select(max, busy, priority_of);
        if !taken.is_empty() {
            self.writes += 1;
        }
        for id in &taken {
            if let Some(since) = self.waiting.remove(id) {
                self.in_progress.insert(id.clone(), since);
            }
        }
        taken
    }

    fn select(
        &self,
        max: usize,
        busy: &BTreeSet<JobId>,
        priority_of: impl Fn(&JobId) -> u8,
    ) -> Vec<JobId> {
        let writable = self.waiting.iter().filter(|(id, _)| !busy.contains(*id));
        let mut by_age: Vec<(u64, &JobId)> = writable.map(|(id, since)| (*since, id)).collect();
        by_age.sort_unstable();
        let is_overdue = |since: u64| self.writes - since >= MAX_PASSES;
        let overdue = by_age.iter().take_while(|(since, _)| is_overdue(*since));
        let overdue_count = overdue.take(overdue_share(max)).count();
        by_age[overdue_count..].sort_by_key(|(since, id)| (priority_of(id), *since));
        let selected = by_age.into_iter().take(max);
        selected.map(|(_, id)| id.clone()).collect()
    }

    /// Removes a write in progress: it is stored, or its job no longer exists.
    pub(super) fn remove_in_progress(&mut self, id: &JobId) {
        self.in_progress.remove(id);
    }

    /// Records that a job's write may not be stored: it waits again, with the age that it had.
    pub(super) fn record_failed(&mut self, id: &JobId) {
        let since = self.in_progress.remove(id).unwrap_or(self.writes);
        let waiting = self.waiting.entry(id.clone()).or_insert(since);
        *waiting = since.min(*waiting);
    }
}

/// Returns how many of the jobs of a write may be overdue ones that go before urgent jobs.
fn overdue_share(max: usize) -> usize {
    (max / OVERDUE_SHARE_DIVISOR).max(1)
}
