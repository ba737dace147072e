//! Accounting of where a job's time goes: phases, setbacks and the summary of an ended job.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Now, Outcome};
use crate::time::millis;
use crate::{CustomerId, JobId, Timestamp, ZoneId};

/// What a job spends time on. If its tasks are in different phases, the earliest phase counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Accepted, but not yet known to the planner, by wall-clock time.
    #[serde(rename = "known")]
    Accepted,
    /// A task has no placement.
    #[serde(rename = "room")]
    WaitingForCapacity,
    /// A task has a placement whose resources are still held by other runs, which are being
    /// stopped.
    #[serde(rename = "stops")]
    WaitingForPreemption,
    /// The placement of a task is not stored yet.
    #[serde(rename = "record")]
    RecordingPlacement,
    /// A start order was sent and has not been answered yet.
    #[serde(rename = "start")]
    Starting,
    /// All tasks run, and there was no setback before.
    #[serde(rename = "run")]
    Running,
    /// All tasks run again after a setback.
    #[serde(rename = "rerun")]
    Rerunning,
    /// A worker with a run of the job does not answer.
    #[serde(rename = "silent")]
    WorkerSilent,
    /// The job has ended and its outcome is not stored yet.
    #[serde(rename = "write")]
    RecordingOutcome,
}

impl JobPhase {
    /// All phases, in the order in which a job passes through them.
    pub const ALL: [Self; 9] = [
        Self::Accepted,
        Self::WaitingForCapacity,
        Self::WaitingForPreemption,
        Self::RecordingPlacement,
        Self::Starting,
        Self::Running,
        Self::Rerunning,
        Self::WorkerSilent,
        Self::RecordingOutcome,
    ];

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "known",
            Self::WaitingForCapacity => "room",
            Self::WaitingForPreemption => "stops",
            Self::RecordingPlacement => "record",
            Self::Starting => "start",
            Self::Running => "run",
            Self::Rerunning => "rerun",
            Self::WorkerSilent => "silent",
            Self::RecordingOutcome => "write",
        }
    }
}

/// Why a task of a job had to start again or needed another placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Setback {
    /// A run failed.
    Failed,
    /// The lease of a run expired, or the run was lost with its worker.
    Lost,
    /// A run was preempted by work of a better rank.
    #[serde(rename = "gave-way")]
    Preempted,
    /// A run stalled or was a straggler.
    Stalled,
    /// The worker of a run left.
    WorkerLeft,
    /// A start order was refused or not answered.
    NotStarted,
    /// A placement was abandoned before its resources were free.
    #[serde(rename = "place-given-up")]
    PlacementAbandoned,
}

impl Setback {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::Preempted => "gave-way",
            Self::Stalled => "stalled",
            Self::WorkerLeft => "worker-left",
            Self::NotStarted => "not-started",
            Self::PlacementAbandoned => "place-given-up",
        }
    }
}

/// Number of setbacks by cause.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setbacks(BTreeMap<Setback, u32>);

impl Setbacks {
    /// Counts one setback.
    pub fn record(&mut self, setback: Setback) {
        let count = self.0.entry(setback).or_default();
        *count = count.saturating_add(1);
    }

    /// Returns whether there was no setback.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Setbacks {
    /// Formats the counts as `failed:1,gave-way:2`, or `none`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("none");
        }
        for (index, (setback, count)) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{}:{count}", setback.as_str())?;
        }
        Ok(())
    }
}

/// Timeline of a job in the form in which it is stored, so that a later planner can continue it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTimeline {
    /// Time spent in each phase, in milliseconds.
    #[serde(
        rename = "spans_ms",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub phases_ms: BTreeMap<JobPhase, u64>,
    /// Phase of the job when this was stored.
    #[serde(rename = "span", default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<JobPhase>,
    /// When this was stored, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Time for which all tasks have run since the last setback, in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// Number of start orders sent.
    #[serde(default)]
    pub starts: u32,
    /// Setbacks so far.
    #[serde(default)]
    pub setbacks: Setbacks,
}

/// Timeline of a job that the planner has in memory.
#[derive(Debug, Clone, Default)]
pub(super) struct JobTimeline {
    /// The current phase and when it began.
    current: Option<(JobPhase, Timestamp)>,
    phases: BTreeMap<JobPhase, Duration>,
    /// Time for which all tasks have run since the last setback.
    work: Duration,
    /// Whether there was a setback in the current phase, so that its time does not count as work.
    has_setback_in_phase: bool,
    setbacks: Setbacks,
    pub(super) starts: u32,
    /// Whether an earlier planner had the job: what happened after its last write is unknown.
    pub(super) taken_over: bool,
    is_reported: bool,
}

impl JobTimeline {
    /// Adds time spent in a phase; without a setback in it, running time also counts as work.
    pub(super) fn add_time(&mut self, phase: JobPhase, spent: Duration) {
        let total = self.phases.entry(phase).or_default();
        *total = total.saturating_add(spent);
        let had_setback = std::mem::take(&mut self.has_setback_in_phase);
        if matches!(phase, JobPhase::Running | JobPhase::Rerunning) && !had_setback {
            self.work = self.work.saturating_add(spent);
        }
    }

    /// Counts a setback; work done so far has to be repeated.
    pub(super) fn record_setback(&mut self, setback: Setback) {
        self.setbacks.record(setback);
        self.work = Duration::ZERO;
        self.has_setback_in_phase = self.current.is_some();
    }

    /// Switches to another phase; `None` if the job waits for nothing.
    pub(super) fn enter_phase(&mut self, phase: Option<JobPhase>, at: Timestamp) {
        if let Some((before, since)) = self.current {
            if phase == Some(before) {
                return;
            }
            self.add_time(before, at - since);
        }
        self.current = phase.map(|phase| (phase, at));
    }

    /// Returns the form in which the timeline is stored.
    pub(super) fn to_stored(&self, now: Now) -> StoredTimeline {
        let mut closed = self.clone();
        closed.enter_phase(None, now.at);
        let phases = closed.phases.iter();
        StoredTimeline {
            phases_ms: phases
                .map(|(phase, spent)| (*phase, millis(*spent)))
                .collect(),
            phase: self.current.map(|(phase, _)| phase),
            at_unix_ms: now.unix_ms,
            work_ms: millis(closed.work),
            starts: self.starts,
            setbacks: self.setbacks.clone(),
        }
    }

    /// Continues the timeline that an earlier planner stored. Placements are stored before they are
    /// used, so with placements the time since then counts as running, and otherwise as the stored
    /// phase.
    pub(super) fn restore(stored: &StoredTimeline, has_placements: bool, now: Now) -> Self {
        let phases = stored.phases_ms.iter();
        let mut timeline = Self {
            current: None,
            phases: phases
                .map(|(phase, ms)| (*phase, Duration::from_millis(*ms)))
                .collect(),
            work: Duration::from_millis(stored.work_ms),
            has_setback_in_phase: false,
            setbacks: stored.setbacks.clone(),
            starts: stored.starts,
            taken_over: true,
            is_reported: false,
        };
        let phase = if has_placements {
            Some(timeline.running_phase())
        } else {
            stored.phase
        };
        if let Some(phase) = phase {
            let since = now.unix_ms.saturating_sub(stored.at_unix_ms);
            timeline.add_time(phase, Duration::from_millis(since));
            timeline.current = Some((phase, now.at));
        }
        timeline
    }

    /// Returns the phase of a job whose tasks all run.
    pub(super) fn running_phase(&self) -> JobPhase {
        if self.setbacks.is_empty() {
            JobPhase::Running
        } else {
            JobPhase::Rerunning
        }
    }

    /// Marks the summary of the job as reported. Returns true if it was not reported before.
    pub(super) const fn mark_reported(&mut self) -> bool {
        !std::mem::replace(&mut self.is_reported, true)
    }

    pub(super) fn phases(&self) -> BTreeMap<JobPhase, Duration> {
        self.phases.clone()
    }

    pub(super) fn setbacks(&self) -> Setbacks {
        self.setbacks.clone()
    }

    /// Returns for how long all tasks have run since the last setback.
    pub(super) const fn work(&self) -> Duration {
        self.work
    }
}

/// Summary of an ended job: its outcome, the time spent in each phase and its setbacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSummary {
    /// Id of the job.
    pub job: JobId,
    /// Name of the job's queue.
    pub queue: String,
    /// Priority of the queue; 0 is urgent.
    pub priority: u8,
    /// Customer that the job belongs to, if any.
    pub customer: Option<CustomerId>,
    /// Zone that the job was submitted to.
    pub zone: Option<ZoneId>,
    /// How the job ended.
    pub outcome: Outcome,
    /// Time from the job's acceptance until its outcome was stored, by wall-clock time.
    pub total: Duration,
    /// Time for which all tasks ran after the last setback: the actual duration of the work.
    pub work: Duration,
    /// Length of the critical path through the steps, by the caller's estimates.
    pub estimate: Duration,
    /// Target for the time from acceptance to the result, derived from `work`.
    pub target: Duration,
    /// Time spent in each phase, as far as this planner observed it.
    pub phases: BTreeMap<JobPhase, Duration>,
    /// Number of start orders sent.
    pub starts: u32,
    /// Setbacks by cause.
    pub setbacks: Setbacks,
    /// Whether an earlier planner had the job. The time between the last write of that planner and
    /// the takeover counts as the phase in which the job was taken over.
    pub taken_over: bool,
}

impl JobSummary {
    /// Returns the time spent in a phase, in milliseconds.
    #[must_use]
    pub fn phase_ms(&self, phase: JobPhase) -> u64 {
        let spent = self.phases.get(&phase).copied().unwrap_or_default();
        millis(spent)
    }
}
