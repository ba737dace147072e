//! Which workers there are, those that are away for a while among them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{MAX_LABELS, MAX_SUMMARY_ENTRIES, WorkerKind};
use crate::batch::Resources;
use crate::{ServiceId, Timestamp};

/// Most kinds that are kept in mind: they are merged only in what is told.
const MAX_REMEMBERED_KINDS: usize = 256;
/// Most labels that are kept in mind; with more of them none is called missing.
const MAX_REMEMBERED_LABELS: usize = 4 * MAX_LABELS;

type Kind = (ServiceId, Resources);

/// How many workers of one kind there are, and were at most lately.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    known: u32,
    takes_tasks: u32,
    most: u32,
    most_at: Timestamp,
    /// When the most last rose.
    grown_at: Timestamp,
}

/// The workers of one moment, and those of the last while.
///
/// A worker that leaves, crashes or is moved mostly comes back: work that only it can run is not
/// impossible meanwhile.
#[derive(Debug, Clone, Default)]
pub struct FleetHistory {
    kinds: BTreeMap<Kind, Seen>,
    labels: BTreeMap<String, Timestamp>,
    /// Whether there were more labels than are kept in mind.
    has_skipped_labels: bool,
}

impl FleetHistory {
    /// Begins a new count.
    pub fn begin_count(&mut self) {
        for seen in self.kinds.values_mut() {
            seen.known = 0;
            seen.takes_tasks = 0;
        }
    }

    /// Counts a worker that is known, and whether it takes tasks at this moment.
    pub fn count_worker(&mut self, service: &ServiceId, capacity: Resources, takes_tasks: bool) {
        let kind = (service.clone(), capacity);
        if self.kinds.len() >= MAX_REMEMBERED_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let seen = self.kinds.entry(kind).or_default();
        seen.known += 1;
        seen.takes_tasks += u32::from(takes_tasks);
    }

    /// Notes a label that a worker has.
    pub fn record_label(&mut self, label: &str, at: Timestamp) {
        if let Some(seen) = self.labels.get_mut(label) {
            *seen = at;
        } else if self.labels.len() < MAX_REMEMBERED_LABELS {
            self.labels.insert(label.to_owned(), at);
        } else {
            self.has_skipped_labels = true;
        }
    }

    /// Ends a count; what was not seen for `remembers` is forgotten.
    pub fn end_count(&mut self, remembers: Duration, at: Timestamp) {
        for seen in self.kinds.values_mut() {
            if seen.known > seen.most {
                seen.grown_at = at;
            }
            if seen.known >= seen.most || at - seen.most_at > remembers {
                seen.most = seen.known;
                seen.most_at = at;
            }
        }
        self.kinds.retain(|_, seen| seen.most > 0);
        self.labels.retain(|_, seen| at - *seen <= remembers);
    }

    /// Returns the kinds of workers, as many as a summary holds; where there are more, some of a
    /// service count as large as another of it.
    #[must_use]
    pub fn kinds(&self, at: Timestamp) -> Vec<WorkerKind> {
        let mut kinds: Vec<WorkerKind> = Vec::new();
        for ((service, capacity), seen) in &self.kinds {
            let away = seen.most.saturating_sub(seen.takes_tasks);
            let steady_ms = crate::time::millis(at - seen.grown_at);
            let is_full = kinds.len() >= MAX_SUMMARY_ENTRIES;
            let same = kinds.iter_mut().rev().find(|kind| kind.service == *service);
            if let Some(kind) = same.filter(|_| is_full) {
                kind.capacity = kind.capacity.component_max(capacity);
                kind.count += seen.most;
                kind.away += away;
                kind.steady_ms = kind.steady_ms.min(steady_ms);
                continue;
            }
            kinds.push(WorkerKind {
                service: service.clone(),
                capacity: *capacity,
                count: seen.most,
                away,
                steady_ms,
            });
        }
        kinds
    }

    /// Returns all labels; none where there are too many to name.
    #[must_use]
    pub fn labels(&self) -> Option<Vec<String>> {
        let is_whole = !self.has_skipped_labels && self.labels.len() <= MAX_LABELS;
        is_whole.then(|| self.labels.keys().cloned().collect())
    }
}
