//! Records of jobs in the store: what was accepted, and how far it has progressed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::timeline::StoredTimeline;
use super::{BatchSpec, GroupKey, Incarnation, Queue, SpecError, StepSpec, within};
use crate::claim::Mark;
use crate::{CustomerId, JobId, WorkerId, ZoneId};

/// Record of a job as it was accepted; written once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Name of the job, chosen by its caller.
    pub id: JobId,
    /// Customer that the job belongs to; none on a public route.
    pub customer: Option<CustomerId>,
    /// Queue as it was configured when the job was accepted.
    pub queue: Queue,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    #[serde(deserialize_with = "within::unix_ms")]
    pub accepted_unix_ms: u64,
    /// What to run.
    pub spec: BatchSpec,
    /// Identifies the writer, so that a write whose answer was lost can be recognized.
    pub mark: Mark,
    /// Zone in which the caller submitted the job. Tasks are placed there where that has no cost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// When the caller first requested the job, in milliseconds since the Unix epoch, where it was
    /// refused before.
    #[serde(
        rename = "first_asked_unix_ms",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub first_requested_unix_ms: Option<u64>,
}

impl AcceptedJob {
    /// Maximum time from the first request to the acceptance, in milliseconds. A longer one is
    /// capped, because it may come from a step of a clock.
    const MAX_REQUESTED_BEFORE_MS: u64 = 600_000;

    /// Returns when the job was first requested, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn first_requested_unix_ms(&self) -> u64 {
        let accepted = self.accepted_unix_ms;
        let oldest = accepted.saturating_sub(Self::MAX_REQUESTED_BEFORE_MS);
        let requested = self.first_requested_unix_ms.unwrap_or(accepted);
        requested.clamp(oldest, accepted)
    }

    /// Returns the time from the first request to the acceptance, in milliseconds.
    #[must_use]
    pub fn requested_before_ms(&self) -> u64 {
        self.accepted_unix_ms - self.first_requested_unix_ms()
    }

    /// Returns the time from acceptance within which the job should be done.
    #[must_use]
    pub fn objective_span(&self) -> Duration {
        self.objective_span_for(self.spec.critical_path_ms())
    }

    /// Returns the time from acceptance within which the job should be done if its critical path
    /// takes this many milliseconds.
    #[must_use]
    pub fn objective_span_for(&self, critical_path_ms: u64) -> Duration {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "milliseconds of work are far below 2^52"
        )]
        let work_ms = (self.queue.stretch.max(0.0) * critical_path_ms as f64) as u64;
        Duration::from_millis(work_ms.saturating_add(self.queue.target_ms))
    }

    /// Returns the record that remains once the job's end is stored: its owner and its writer, but
    /// not what it ran.
    ///
    /// Every planner reads all jobs when it takes over. If 200 ended jobs included what they ran,
    /// reading them over a link of 2 Mbit/s would take 1.6 s. That is longer than the lease of the
    /// planner role, whose renewals are queued behind them.
    #[must_use]
    pub fn trimmed(&self) -> Self {
        Self {
            spec: BatchSpec::default(),
            ..self.clone()
        }
    }

    /// Checks what the job runs, unless the record no longer contains that.
    ///
    /// # Errors
    ///
    /// Returns the first violation of the bounds that callers' jobs are held to.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.is_trimmed() {
            return Ok(());
        }
        self.spec.check()
    }

    /// Returns whether the record no longer contains what the job ran.
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
    /// The caller cancelled the job.
    Cancelled,
}

/// State of a job as it is reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// Stored progress of a group of tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupProgress {
    /// One character per task: `-` unfinished, `D` done, `1` to `9` the number of failures, `9` also
    /// for more of them. A single `*` means that all are done.
    pub tasks: String,
    /// Number of failures of each unfinished task with more than `tasks` can express, by its index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub many_failures: BTreeMap<u32, u32>,
    /// Number of failures of the gang.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gang_failures: u32,
    /// Number of the gang's last run whose failure was counted.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub counted_failure: u32,
    /// Number of the last run whose failure was counted, by index of the failed task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub counted_runs: BTreeMap<u32, u32>,
    /// Highest run number assigned so far.
    #[serde(
        default,
        skip_serializing_if = "is_zero",
        deserialize_with = "within::run"
    )]
    pub last_run: u32,
    /// Placement of each current run, by index of the task; written before the run is started.
    #[serde(rename = "places", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub placements: BTreeMap<u32, RunPlacement>,
    /// Until when an unanswered start of a current run may be carried out, in milliseconds since the
    /// Unix epoch, by index of the task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub late_starts: BTreeMap<u32, u64>,
    /// Workers lost under unfinished tasks, by index of the task; written before the task is
    /// started again.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub losses: BTreeMap<u32, TaskLosses>,
    /// Last checkpoint of each unfinished task, by index of the task.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, String>,
}

/// The worker that a run was placed on. Serialized as a list of its fields; older records have only
/// the first two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(WorkerId, u32, Option<Incarnation>, bool)")]
pub struct RunPlacement {
    /// Worker that the run was placed on.
    pub worker: WorkerId,
    /// Number of the run.
    pub run: u32,
    /// Incarnation of the worker, where it was known.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Whether the worker had confirmed the start when this was written.
    #[serde(rename = "taken", default)]
    pub start_confirmed: bool,
}

impl From<RunPlacement> for (WorkerId, u32, Option<Incarnation>, bool) {
    fn from(placement: RunPlacement) -> Self {
        (
            placement.worker,
            placement.run,
            placement.incarnation,
            placement.start_confirmed,
        )
    }
}

/// Workers that were lost while they had a run of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskLosses {
    /// Number of workers that crashed after they had confirmed a start of the task.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Number of workers that crashed without having answered a start of the task, which may not
    /// have run there.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unanswered: u32,
    /// Workers that are silent beyond their lease. They may have crashed, or may only be
    /// unreachable.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<SilentWorker>,
}

/// A worker that is silent beyond its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentWorker {
    /// The silent worker.
    pub worker: WorkerId,
    /// Incarnation of the worker, where it was known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// Whether the worker had confirmed the start of the run.
    #[serde(rename = "answered")]
    pub start_confirmed: bool,
}

impl TaskLosses {
    /// Returns whether no losses are known.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes == 0 && self.unanswered == 0 && self.silent.is_empty()
    }

    /// Counts a crash of a worker that has, or has not, confirmed the start.
    pub const fn record_crash(&mut self, start_confirmed: bool) {
        if start_confirmed {
            self.crashes = self.crashes.saturating_add(1);
        } else {
            self.unanswered = self.unanswered.saturating_add(1);
        }
    }

    /// Removes and returns the entries of a silent worker.
    pub fn take_silent(&mut self, worker: &WorkerId) -> Vec<SilentWorker> {
        let (removed, others) = std::mem::take(&mut self.silent)
            .into_iter()
            .partition(|silent| silent.worker == *worker);
        self.silent = others;
        removed
    }

    /// Returns the losses with every silent worker counted as crashed.
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

/// Stored progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How the job ended; none where it has not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// When the job ended, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub ended_unix_ms: u64,
    /// Whether a task has started.
    #[serde(default)]
    pub begun: bool,
    /// Progress by occurrence, then by step. Occurrences that have not started may be missing.
    #[serde(default)]
    pub occurrences: Vec<Vec<GroupProgress>>,
    /// Since when nothing of the job had been started when this was written, in milliseconds since
    /// the Unix epoch; none while something was, and once the job has ended. Older daemons don't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idle_since_unix_ms: Option<u64>,
    /// Timeline of the job up to this write; none once the job has ended.
    #[serde(rename = "story", default, skip_serializing_if = "Option::is_none")]
    pub timeline: Option<StoredTimeline>,
}

impl GroupProgress {
    /// Returns whether this may be the progress of a step: whether each of its tasks, and no other,
    /// has a mark.
    fn fits(&self, step: &StepSpec) -> bool {
        let is_all_done = self.tasks == Self::ALL_DONE;
        is_all_done || self.tasks.chars().count() == step.count as usize
    }

    /// Stands for all marks if every task of the step is done.
    pub(super) const ALL_DONE: &str = "*";
}

impl Progress {
    /// Returns whether this may be the progress of a job. If it is not, it does not tell which
    /// tasks are done.
    #[must_use]
    pub fn fits(&self, job: &AcceptedJob) -> bool {
        let steps = &job.spec.steps;
        let is_of_job = |groups: &Vec<GroupProgress>| {
            groups.len() == steps.len()
                && groups
                    .iter()
                    .zip(steps)
                    .all(|(group, step)| group.fits(step))
        };
        let is_short_enough = self.occurrences.len() <= job.spec.occurrences() as usize;
        self.outcome.is_some() || is_short_enough && self.occurrences.iter().all(is_of_job)
    }

    /// Returns the groups of a job that has not ended, with their progress.
    pub(super) fn unfinished_groups(
        &self,
        job: &JobId,
    ) -> impl Iterator<Item = (GroupKey, &GroupProgress)> {
        let unfinished = self.occurrences.iter().filter(|_| self.outcome.is_none());
        (0..).zip(unfinished).flat_map(move |(occurrence, groups)| {
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

    /// Returns the state that is reported to the caller.
    #[must_use]
    pub const fn caller_state(&self) -> CallerState {
        match self.outcome {
            Some(outcome) => CallerState::Ended(outcome),
            None if self.begun => CallerState::Running,
            None => CallerState::Queued,
        }
    }
}
