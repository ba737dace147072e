use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::WriteId;
use crate::Timestamp;
use crate::placement::{AllocationOwner, JobRecord, JobSpec, Run};

/// Number of decisions about one job that are available to `explain`.
const MAX_DECISIONS: usize = 12;

/// A job whose end is not stored yet.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) spec: Arc<JobSpec>,
    pub(super) accepted_ms: u64,
    /// When the job began to wait in this tenure, or again after its last run.
    pub(super) waiting_since: Timestamp,
    /// When the job is eligible again after an attempt that did not start.
    pub(super) not_before: Timestamp,
    /// Work saved by the last checkpoint, in milliseconds.
    pub(super) saved_ms: u64,
    /// Whether the caller has cancelled the job.
    pub(super) cancel: bool,
    /// Whether the stored record says that the job is placed.
    pub(super) recorded: bool,
    /// Whether a holder with a higher fencing token wrote the record.
    pub(super) superseded: bool,
    /// Whether the job is known from the reports of its workers only.
    pub(super) adopted: bool,
    /// Number of attempts that did not start.
    pub(super) failed_starts: u32,
    /// Number of worker crashes counted against the job.
    pub(super) crashes: u32,
    /// Whether any attempt may have run.
    pub(super) started: bool,
    /// The last write, until it is done.
    pub(super) pending_write: Option<WriteId>,
    pub(super) stage: Stage,
    /// The last decisions, oldest first.
    pub(super) history: VecDeque<(Timestamp, String)>,
}

/// Stage of a job in this tenure.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// The job waits for a block.
    Waiting,
    /// A run of the job is in progress.
    Running(Running),
    /// The job has ended; its end is not stored yet.
    Closing,
}

/// A run and its allocations.
#[derive(Debug, Clone)]
pub(super) struct Running {
    pub(super) run: Run,
    /// Owner id of the allocations.
    pub(super) owner: AllocationOwner,
    /// Whether the allocation of each member was released, by member index.
    pub(super) released: Vec<bool>,
    /// Output of the first member.
    pub(super) output: String,
    /// Work saved by the last checkpoint of each member, in milliseconds.
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
            waiting_since: now,
            not_before: now,
            saved_ms: record.saved_ms,
            cancel: record.cancel,
            recorded: false,
            superseded: false,
            adopted: false,
            failed_starts: 0,
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

    /// Returns the expected run time that is left, at least one millisecond.
    pub(super) fn remaining_work(&self) -> Duration {
        Duration::from_millis(self.spec.expected_ms.saturating_sub(self.saved_ms).max(1))
    }

    /// Tells whether the job can be stopped within the grace period and run again.
    ///
    /// A job that is not repeatable is never preemptible. If its checkpoint failed, it would
    /// have to either run on beyond the grace period or be run again, and neither is allowed.
    pub(super) fn is_preemptible(&self) -> bool {
        self.spec.repeatable
    }

    /// Tells whether preemption costs little: the progress can be saved within the grace period.
    pub(super) fn is_movable(&self) -> bool {
        let in_grace = |ms: u64| Duration::from_millis(ms) <= Run::PREEMPTION_GRACE;
        self.is_preemptible() && self.spec.checkpoint_ms.is_some_and(in_grace)
    }

    /// Records a decision for `explain`. Returns false if it is the same as the last one.
    pub(super) fn record_decision(&mut self, now: Timestamp, text: &str) -> bool {
        if self.history.back().is_some_and(|(_, last)| last == text) {
            return false;
        }
        if self.history.len() >= MAX_DECISIONS {
            self.history.pop_front();
        }
        self.history.push_back((now, text.to_owned()));
        true
    }
}
