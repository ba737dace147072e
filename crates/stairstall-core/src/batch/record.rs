use std::collections::BTreeMap;
use std::time::Duration;

use super::timeline::StoredTimeline;
use serde::{Deserialize, Serialize};

use super::{BatchSpec, GroupKey, Incarnation, Queue};
use crate::claim::Mark;
use crate::{CustomerId, JobId, WorkerId, ZoneId};

/// A job as it was accepted; written once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The caller's name for it.
    pub id: JobId,
    /// Whose it is; none on a public route.
    pub customer: Option<CustomerId>,
    /// The queue as it was configured at that time.
    pub queue: Queue,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// What to run.
    pub spec: BatchSpec,
    /// Who wrote it; resolves lost answers.
    pub mark: Mark,
    /// The zone that its caller came to; work is put there where that costs nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// When it was asked for first, in milliseconds since the Unix epoch, where it was refused before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_asked_unix_ms: Option<u64>,
}

impl AcceptedJob {
    /// Longest time before its acceptance that a job is taken to have been asked for: clocks step.
    const LONGEST_ASKED_MS: u64 = 600_000;

    /// Returns when it was asked for first, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn first_requested_unix_ms(&self) -> u64 {
        let accepted = self.accepted_unix_ms;
        let oldest = accepted.saturating_sub(Self::LONGEST_ASKED_MS);
        let asked = self.first_asked_unix_ms.unwrap_or(accepted);
        asked.clamp(oldest, accepted)
    }

    /// Returns for how long it was asked for before it was accepted, in milliseconds.
    #[must_use]
    pub fn requested_before_ms(&self) -> u64 {
        self.accepted_unix_ms - self.first_requested_unix_ms()
    }

    /// Returns within what time of its acceptance it should be done.
    #[must_use]
    pub fn objective_span(&self) -> Duration {
        self.objective_span_for(self.spec.critical_path_ms())
    }

    /// Returns the same where its longest chain takes so long, in milliseconds.
    #[must_use]
    pub fn objective_span_for(&self, chain_ms: u64) -> Duration {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "milliseconds of work are far below 2^52"
        )]
        let work_ms = (self.queue.stretch.max(0.0) * chain_ms as f64) as u64;
        Duration::from_millis(work_ms.saturating_add(self.queue.target_ms))
    }

    /// Returns what is kept of it once its end is written down: whose it was and who wrote it, but
    /// not what it ran.
    ///
    /// Every planner reads all jobs when it takes over. With what 200 ended ones ran that takes
    /// 1.6 s over a link of 2 Mbit/s, longer than the planner's lease, whose renewals wait behind it.
    #[must_use]
    pub fn trimmed(&self) -> Self {
        Self {
            spec: BatchSpec::default(),
            ..self.clone()
        }
    }

    /// Tells whether what it ran is kept no longer.
    #[must_use]
    pub const fn is_trimmed(&self) -> bool {
        self.spec.steps.is_empty()
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// A task, or a gang, failed as often as is allowed.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// What a caller is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerState {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// It ended.
    Ended(Outcome),
}

/// What lasts of the tasks of one step of one time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupProgress {
    /// One character a task: `-` open, `D` done, `1` to `9` failed so often; a
    /// single `*` says that all are done.
    pub tasks: String,
    /// How often the gang failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gang_failures: u32,
    /// Last run of the gang whose failure was counted.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub counted_failure: u32,
    /// Last run of each failed task whose failure was counted, by index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counted_runs: BTreeMap<u32, u32>,
    /// Highest run number that was given out.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub last_run: u32,
    /// Where each current run is, by index; written before it is started.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub places: BTreeMap<u32, RunPlacement>,
    /// Workers that were lost under open tasks, by index; written before the task starts again.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub losses: BTreeMap<u32, TaskLosses>,
    /// Last checkpoint of open tasks, by index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, String>,
}

/// Where a run was put; kept as a list of its fields, of which older records have two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(WorkerId, u32, Option<Incarnation>, bool)")]
pub struct RunPlacement {
    /// The worker.
    pub worker: WorkerId,
    /// The number of the run.
    pub run: u32,
    /// Which life of the worker, where that was known.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Whether the worker was known to have taken it when this was written.
    #[serde(rename = "taken", default)]
    pub start_confirmed: bool,
}

impl From<RunPlacement> for (WorkerId, u32, Option<Incarnation>, bool) {
    fn from(place: RunPlacement) -> Self {
        (
            place.worker,
            place.run,
            place.incarnation,
            place.start_confirmed,
        )
    }
}

/// Workers that were lost under one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLosses {
    /// How many crashed that had taken a run of it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// How many crashed that had been told to start it and never answered: it may not have run there.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unanswered: u32,
    /// Those that are silent beyond their lease, and may have crashed or be cut off only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<SilentWorker>,
}

/// A worker that is silent beyond its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Which of its lives, where that was known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Whether it had taken the run.
    #[serde(rename = "answered")]
    pub start_confirmed: bool,
}

impl TaskLosses {
    /// Tells whether none is known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes == 0 && self.unanswered == 0 && self.silent.is_empty()
    }

    /// Counts a crash.
    pub const fn record_crash(&mut self, answered: bool) {
        if answered {
            self.crashes += 1;
        } else {
            self.unanswered += 1;
        }
    }

    /// Takes back that a worker is silent, and returns what was noted of it.
    pub fn take_silent(&mut self, worker: &WorkerId) -> Vec<SilentWorker> {
        let (settled, others) = std::mem::take(&mut self.silent)
            .into_iter()
            .partition(|silent| silent.worker == *worker);
        self.silent = others;
        settled
    }

    /// Returns the losses with all silent workers taken for crashed.
    #[must_use]
    pub fn assuming_crashed(&self) -> Self {
        let mut worst = Self {
            silent: Vec::new(),
            ..self.clone()
        };
        for silent in &self.silent {
            worst.record_crash(silent.start_confirmed);
        }
        worst
    }
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// What lasts of a job beside its acceptance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When it ended, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub ended_unix_ms: u64,
    /// Whether a task has begun.
    #[serde(default)]
    pub begun: bool,
    /// By time, then by step; times that have not begun may be missing.
    #[serde(default)]
    pub occurrences: Vec<Vec<GroupProgress>>,
    /// Where its time went until this was written; none where the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub story: Option<StoredTimeline>,
}

impl Progress {
    /// Returns the steps of a job that has not ended, with what lasts of their tasks.
    pub(super) fn unfinished_groups(
        &self,
        job: &JobId,
    ) -> impl Iterator<Item = (GroupKey, &GroupProgress)> {
        let open = self.occurrences.iter().filter(|_| self.outcome.is_none());
        (0..).zip(open).flat_map(move |(occurrence, groups)| {
            let key = move |step| GroupKey {
                job: job.clone(),
                occurrence,
                step,
            };
            (0..)
                .zip(groups)
                .map(move |(step, group)| (key(step), group))
        })
    }

    /// Returns what a caller is told.
    #[must_use]
    pub const fn caller_state(&self) -> CallerState {
        match self.outcome {
            Some(outcome) => CallerState::Ended(outcome),
            None if self.begun => CallerState::Running,
            None => CallerState::Queued,
        }
    }
}
