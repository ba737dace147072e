//! Workers of the fleet, including those that are temporarily away.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{MAX_LABELS, MAX_SUMMARY_ENTRIES, WorkerKind};
use crate::batch::Resources;
use crate::{ServiceId, Timestamp};

/// Maximum number of worker kinds in the history; workers of further kinds are not counted. Kinds
/// are merged further in a summary only.
const MAX_KINDS: usize = 256;
/// Maximum number of labels in the history. With more, no label is reported as missing.
const MAX_KNOWN_LABELS: usize = 4 * MAX_LABELS;

type Kind = (ServiceId, Resources);

/// Present number of workers of one kind, and the recent maximum.
#[derive(Debug, Clone, Copy, Default)]
struct KindCount {
    known: u32,
    takes_tasks: u32,
    max: u32,
    max_at: Timestamp,
    /// When the maximum last grew.
    grown_at: Timestamp,
}

/// Numbers of workers that are present or were so recently.
///
/// A worker that leaves, crashes or is moved usually comes back, so work that only it can run does
/// not become impossible in the meantime.
#[derive(Debug, Clone, Default)]
pub struct FleetHistory {
    kinds: BTreeMap<Kind, KindCount>,
    /// When each label was last seen on a worker.
    labels: BTreeMap<String, Timestamp>,
    /// Whether labels were omitted because there were too many.
    has_omitted_labels: bool,
}

impl FleetHistory {
    /// Begins a new count of the workers.
    pub fn begin_count(&mut self) {
        for count in self.kinds.values_mut() {
            count.known = 0;
            count.takes_tasks = 0;
        }
    }

    /// Counts a known worker, and whether it currently takes new tasks.
    pub fn count_worker(&mut self, service: &ServiceId, capacity: Resources, takes_tasks: bool) {
        let kind = (service.clone(), capacity);
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return;
        }
        let count = self.kinds.entry(kind).or_default();
        count.known += 1;
        count.takes_tasks += u32::from(takes_tasks);
    }

    /// Records a label that a worker has.
    pub fn record_label(&mut self, label: &str, at: Timestamp) {
        if let Some(last_seen) = self.labels.get_mut(label) {
            *last_seen = at;
        } else if self.labels.len() < MAX_KNOWN_LABELS {
            self.labels.insert(label.to_owned(), at);
        } else {
            self.has_omitted_labels = true;
        }
    }

    /// Ends a count. Maxima that were last reached, and labels that were last seen, longer than
    /// `retention` ago are dropped.
    pub fn end_count(&mut self, retention: Duration, at: Timestamp) {
        for count in self.kinds.values_mut() {
            if count.known > count.max {
                count.grown_at = at;
            }
            if count.known >= count.max || at - count.max_at > retention {
                count.max = count.known;
                count.max_at = at;
            }
        }
        self.kinds.retain(|_, count| count.max > 0);
        self.labels
            .retain(|_, last_seen| at - *last_seen <= retention);
    }

    /// Returns the worker kinds, at most as many as a summary holds unless there are more services.
    /// If there are more kinds, those of the same service are merged, and their workers all count
    /// with the largest capacity.
    #[must_use]
    pub fn kinds(&self, at: Timestamp) -> Vec<WorkerKind> {
        let mut kinds: Vec<WorkerKind> = Vec::new();
        for ((service, capacity), count) in &self.kinds {
            let away = count.max.saturating_sub(count.takes_tasks);
            let steady_ms = crate::time::millis(at - count.grown_at);
            let is_full = kinds.len() >= MAX_SUMMARY_ENTRIES;
            let same = kinds.iter_mut().rev().find(|kind| kind.service == *service);
            if let Some(kind) = same.filter(|_| is_full) {
                kind.capacity = kind.capacity.component_max(capacity);
                kind.count += count.max;
                kind.away += away;
                kind.steady_ms = kind.steady_ms.min(steady_ms);
                continue;
            }
            kinds.push(WorkerKind {
                service: service.clone(),
                capacity: *capacity,
                count: count.max,
                away,
                steady_ms,
            });
        }
        kinds
    }

    /// Returns all labels; `None` if there are too many.
    #[must_use]
    pub fn labels(&self) -> Option<Vec<String>> {
        let is_complete = !self.has_omitted_labels && self.labels.len() <= MAX_LABELS;
        is_complete.then(|| self.labels.keys().cloned().collect())
    }
}
