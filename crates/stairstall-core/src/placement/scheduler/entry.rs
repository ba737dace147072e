use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::WriteId;
use crate::Timestamp;
use crate::placement::{AllocationOwner, JobRecord, JobSpec, Run};

/// How many decisions about one job are kept for `explain`.
const KEPT_DECISIONS: usize = 12;

/// A job that is not over yet.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) spec: Arc<JobSpec>,
    pub(super) accepted_ms: u64,
    pub(super) waits_since: Timestamp,
    pub(super) not_before: Timestamp,
    pub(super) saved_ms: u64,
    pub(super) cancel: bool,
    /// Whether the store's record says that the job is placed.
    pub(super) recorded: bool,
    /// Whether a later holder wrote the record.
    pub(super) superseded: bool,
    /// Whether it is known from its workers only.
    pub(super) adopted: bool,
    pub(super) failures: u32,
    /// Workers that crashed under it.
    pub(super) crashes: u32,
    /// Whether any attempt may have run.
    pub(super) started: bool,
    pub(super) pending_write: Option<WriteId>,
    pub(super) stage: Stage,
    pub(super) history: VecDeque<(Timestamp, String)>,
}

/// Where a job stands in this tenure.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// It waits for a block.
    Waiting,
    /// A run of it is under way.
    Running(Running),
    /// It is over; the store has yet to be told.
    Closing,
}

/// A run and what it occupies.
#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) run: Run,
    pub(super) owner: AllocationOwner,
    /// Members whose places are free again, by index.
    pub(super) released: Vec<bool>,
    /// What the first member answered.
    pub(super) output: String,
    /// Work saved by each member's last checkpoint, in milliseconds.
    pub(super) saved: Vec<u64>,
}

impl Running {
    pub(super) fn new(run: Run, owner: AllocationOwner) -> Self {
        let members = run.members().len();
        Self {
            run,
            owner,
            released: vec![false; members],
            output: String::new(),
            saved: vec![0; members],
        }
    }
}

impl Entry {
    pub(super) fn new(record: &JobRecord, now: Timestamp) -> Self {
        Self {
            spec: Arc::new(record.spec.clone()),
            accepted_ms: record.accepted_ms,
            waits_since: now,
            not_before: now,
            saved_ms: record.saved_ms,
            cancel: record.cancel,
            recorded: false,
            superseded: false,
            adopted: false,
            failures: 0,
            crashes: record.crashes,
            started: record.started,
            pending_write: None,
            stage: Stage::Waiting,
            history: VecDeque::new(),
        }
    }

    pub(super) const fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }

    /// Work that is left, in milliseconds.
    pub(super) fn left(&self) -> Duration {
        Duration::from_millis(self.spec.expected_ms.saturating_sub(self.saved_ms).max(1))
    }

    /// Whether the job can be stopped within the grace and run again: not-repeatable
    /// work never can, since a checkpoint that fails would leave no way to keep both promises.
    pub(super) fn gives_way(&self) -> bool {
        self.spec.repeatable
    }

    /// Whether giving way costs little: its progress can be saved within the grace.
    pub(super) fn is_movable(&self) -> bool {
        let in_grace = |ms: u64| Duration::from_millis(ms) <= Run::PREEMPTION_GRACE;
        self.gives_way() && self.spec.checkpoint_ms.is_some_and(in_grace)
    }

    /// Keeps a line for `explain`; false where it says nothing new.
    pub(super) fn note(&mut self, now: Timestamp, text: &str) -> bool {
        if self.history.back().is_some_and(|(_, last)| last == text) {
            return false;
        }
        if self.history.len() >= KEPT_DECISIONS {
            self.history.pop_front();
        }
        self.history.push_back((now, text.to_owned()));
        true
    }
}
