//! Where a job's time went.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Now, Outcome};
use crate::time::millis;
use crate::{CustomerId, JobId, Timestamp, ZoneId};

/// What a job spent time on. Where its tasks are at different points, the least advanced counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// From its acceptance until the planner knew of it, by the time of day.
    #[serde(rename = "known")]
    Accepted,
    /// A task had no place.
    #[serde(rename = "room")]
    WaitingForCapacity,
    /// A task had a place whose room others still had.
    #[serde(rename = "stops")]
    WaitingForPreemption,
    /// A task's place was not yet written down.
    #[serde(rename = "record")]
    RecordingPlacement,
    /// A start was sent and not yet answered.
    #[serde(rename = "start")]
    Starting,
    /// Everything ran, for the first time.
    #[serde(rename = "run")]
    Running,
    /// Everything ran, after a setback.
    #[serde(rename = "rerun")]
    Rerunning,
    /// A worker that had a run of it did not answer.
    #[serde(rename = "silent")]
    WorkerSilent,
    /// It had ended, and that was not yet written down.
    #[serde(rename = "write")]
    RecordingOutcome,
}

impl JobPhase {
    /// All of them, in the order of a job's life.
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

    /// Returns the word used in logs and figures.
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

/// What made a task of a job start again, or look for another place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Setback {
    /// A run failed.
    Failed,
    /// A run lapsed, or was lost with its worker.
    Lost,
    /// A run gave way to work of a higher rank.
    #[serde(rename = "gave-way")]
    Preempted,
    /// A run stood still or was slow.
    Stalled,
    /// A run's worker left.
    WorkerLeft,
    /// A start was refused or not answered.
    NotStarted,
    /// A place was given up before its room was free.
    #[serde(rename = "place-given-up")]
    PlacementAbandoned,
}

impl Setback {
    /// Returns the word used in logs.
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

/// How often each setback happened.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setbacks(BTreeMap<Setback, u32>);

impl Setbacks {
    /// Counts one.
    pub fn note(&mut self, setback: Setback) {
        *self.0.entry(setback).or_default() += 1;
    }

    /// Tells whether there was none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Setbacks {
    /// Writes them as `failed:1,gave-way:2`, or `none`.
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

/// A job's time so far as it is written down, so that a later planner can go on with it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTimeline {
    /// What time was spent on, in milliseconds.
    #[serde(
        rename = "spans_ms",
        default,
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    pub phases_ms: BTreeMap<JobPhase, u64>,
    /// What it spent time on when this was written.
    #[serde(rename = "span", default, skip_serializing_if = "Option::is_none")]
    pub phase: Option<JobPhase>,
    /// When this was written, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Time that everything ran since the last setback, in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// Starts that were sent.
    #[serde(default)]
    pub starts: u32,
    /// What went wrong.
    #[serde(default)]
    pub setbacks: Setbacks,
}

/// A job's time so far.
#[derive(Debug, Clone, Default)]
pub(super) struct JobTimeline {
    now_at: Option<(JobPhase, Timestamp)>,
    spans: BTreeMap<JobPhase, Duration>,
    /// Time that everything ran since the last setback.
    work: Duration,
    /// Whether there was a setback in the present span, whose work does not count.
    is_void: bool,
    setbacks: Setbacks,
    pub(super) starts: u32,
    /// Whether an earlier planner had the job: what happened after its last write is not known.
    pub(super) taken_over: bool,
    is_told: bool,
}

impl JobTimeline {
    pub(super) fn add_time(&mut self, span: JobPhase, spent: Duration) {
        *self.spans.entry(span).or_default() += spent;
        let is_void = std::mem::take(&mut self.is_void);
        if matches!(span, JobPhase::Running | JobPhase::Rerunning) && !is_void {
            self.work += spent;
        }
    }

    /// Counts a setback: what ran has to run again.
    pub(super) fn record_setback(&mut self, setback: Setback) {
        self.setbacks.note(setback);
        self.work = Duration::ZERO;
        self.is_void = self.now_at.is_some();
    }

    /// Goes on to a span; none where nothing is to be waited for.
    pub(super) fn enter_phase(&mut self, span: Option<JobPhase>, at: Timestamp) {
        if let Some((before, since)) = self.now_at {
            if span == Some(before) {
                return;
            }
            self.add_time(before, at - since);
        }
        self.now_at = span.map(|span| (span, at));
    }

    /// Returns what is written down of it.
    pub(super) fn to_stored(&self, now: Now) -> StoredTimeline {
        let mut whole = self.clone();
        whole.enter_phase(None, now.at);
        let spans = whole.spans.iter();
        StoredTimeline {
            phases_ms: spans.map(|(span, spent)| (*span, millis(*spent))).collect(),
            phase: self.now_at.map(|(span, _)| span),
            at_unix_ms: now.unix_ms,
            work_ms: millis(whole.work),
            starts: self.starts,
            setbacks: self.setbacks.clone(),
        }
    }

    /// Goes on with what an earlier planner wrote down. A place is written before it is used, so
    /// that with places the time since then counts as running, else as more of the same.
    pub(super) fn restore(kept: &StoredTimeline, has_places: bool, now: Now) -> Self {
        let spans = kept.phases_ms.iter();
        let mut story = Self {
            now_at: None,
            spans: spans
                .map(|(span, ms)| (*span, Duration::from_millis(*ms)))
                .collect(),
            work: Duration::from_millis(kept.work_ms),
            is_void: false,
            setbacks: kept.setbacks.clone(),
            starts: kept.starts,
            taken_over: true,
            is_told: false,
        };
        let span = if has_places {
            Some(story.running_phase())
        } else {
            kept.phase
        };
        if let Some(span) = span {
            let since = now.unix_ms.saturating_sub(kept.at_unix_ms);
            story.add_time(span, Duration::from_millis(since));
            story.now_at = Some((span, now.at));
        }
        story
    }

    /// Returns the span that a job is in whose tasks all run.
    pub(super) fn running_phase(&self) -> JobPhase {
        if self.setbacks.is_empty() {
            JobPhase::Running
        } else {
            JobPhase::Rerunning
        }
    }

    /// Tells, once, that the story is over.
    pub(super) const fn mark_reported(&mut self) -> bool {
        !std::mem::replace(&mut self.is_told, true)
    }

    pub(super) fn phases(&self) -> BTreeMap<JobPhase, Duration> {
        self.spans.clone()
    }

    pub(super) fn setbacks(&self) -> Setbacks {
        self.setbacks.clone()
    }

    /// Returns how long everything ran since the last setback.
    pub(super) const fn work(&self) -> Duration {
        self.work
    }
}

/// Where the time of an ended job went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: String,
    /// Its queue's priority; 0 is urgent.
    pub priority: u8,
    /// Whose it was.
    pub customer: Option<CustomerId>,
    /// The zone that it was handed in at.
    pub zone: Option<ZoneId>,
    /// How it ended.
    pub outcome: Outcome,
    /// From its acceptance until its end was written down, by the time of day.
    pub total: Duration,
    /// Time that everything ran after the last setback: the work as it turned out.
    pub work: Duration,
    /// The longest chain of its steps, as its caller estimates it.
    pub estimate: Duration,
    /// Within what time of its acceptance it should have been shown, by that work.
    pub target: Duration,
    /// What it was spent on, as far as this planner saw it.
    pub phases: BTreeMap<JobPhase, Duration>,
    /// Starts that were sent.
    pub starts: u32,
    /// What went wrong on the way.
    pub setbacks: Setbacks,
    /// Whether an earlier planner had the job: what happened between its last write and the first
    /// look of the next planner counts as more of the same.
    pub taken_over: bool,
}

impl JobSummary {
    /// Returns the time spent on something, in milliseconds.
    #[must_use]
    pub fn phase_ms(&self, span: JobPhase) -> u64 {
        let spent = self.phases.get(&span).copied().unwrap_or_default();
        millis(spent)
    }
}
