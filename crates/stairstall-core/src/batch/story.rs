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
pub enum Span {
    /// From its acceptance until the planner knew of it, by the time of day.
    Known,
    /// A task had no place.
    Room,
    /// A task had a place whose room others still had.
    Stops,
    /// A task's place was not yet written down.
    Record,
    /// A start was sent and not yet answered.
    Start,
    /// Everything ran, for the first time.
    Run,
    /// Everything ran, after a setback.
    Rerun,
    /// A worker that had a run of it did not answer.
    Silent,
    /// It had ended, and that was not yet written down.
    Write,
}

impl Span {
    /// All of them, in the order of a job's life.
    pub const ALL: [Self; 9] = [
        Self::Known,
        Self::Room,
        Self::Stops,
        Self::Record,
        Self::Start,
        Self::Run,
        Self::Rerun,
        Self::Silent,
        Self::Write,
    ];

    /// Returns the word used in logs and figures.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Room => "room",
            Self::Stops => "stops",
            Self::Record => "record",
            Self::Start => "start",
            Self::Run => "run",
            Self::Rerun => "rerun",
            Self::Silent => "silent",
            Self::Write => "write",
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
    GaveWay,
    /// A run stood still or was slow.
    Stalled,
    /// A run's worker left.
    WorkerLeft,
    /// A start was refused or not answered.
    NotStarted,
    /// A place was given up before its room was free.
    PlaceGivenUp,
}

impl Setback {
    /// Returns the word used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::GaveWay => "gave-way",
            Self::Stalled => "stalled",
            Self::WorkerLeft => "worker-left",
            Self::NotStarted => "not-started",
            Self::PlaceGivenUp => "place-given-up",
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
pub struct KeptStory {
    /// What time was spent on, in milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub spans_ms: BTreeMap<Span, u64>,
    /// What it spent time on when this was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub span: Option<Span>,
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
pub(super) struct Story {
    now_at: Option<(Span, Timestamp)>,
    spans: BTreeMap<Span, Duration>,
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

impl Story {
    pub(super) fn add(&mut self, span: Span, spent: Duration) {
        *self.spans.entry(span).or_default() += spent;
        let is_void = std::mem::take(&mut self.is_void);
        if matches!(span, Span::Run | Span::Rerun) && !is_void {
            self.work += spent;
        }
    }

    /// Counts a setback: what ran has to run again.
    pub(super) fn set_back(&mut self, setback: Setback) {
        self.setbacks.note(setback);
        self.work = Duration::ZERO;
        self.is_void = self.now_at.is_some();
    }

    /// Goes on to a span; none where nothing is to be waited for.
    pub(super) fn enter(&mut self, span: Option<Span>, at: Timestamp) {
        if let Some((before, since)) = self.now_at {
            if span == Some(before) {
                return;
            }
            self.add(before, at - since);
        }
        self.now_at = span.map(|span| (span, at));
    }

    /// Returns what is written down of it.
    pub(super) fn keep(&self, now: Now) -> KeptStory {
        let mut whole = self.clone();
        whole.enter(None, now.at);
        let spans = whole.spans.iter();
        KeptStory {
            spans_ms: spans.map(|(span, spent)| (*span, millis(*spent))).collect(),
            span: self.now_at.map(|(span, _)| span),
            at_unix_ms: now.unix_ms,
            work_ms: millis(whole.work),
            starts: self.starts,
            setbacks: self.setbacks.clone(),
        }
    }

    /// Goes on with what an earlier planner wrote down. A place is written before it is used, so
    /// that with places the time since then counts as running, else as more of the same.
    pub(super) fn restore(kept: &KeptStory, has_places: bool, now: Now) -> Self {
        let spans = kept.spans_ms.iter();
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
            Some(story.running())
        } else {
            kept.span
        };
        if let Some(span) = span {
            let since = now.unix_ms.saturating_sub(kept.at_unix_ms);
            story.add(span, Duration::from_millis(since));
            story.now_at = Some((span, now.at));
        }
        story
    }

    /// Returns the span that a job is in whose tasks all run.
    pub(super) fn running(&self) -> Span {
        if self.setbacks.is_empty() {
            Span::Run
        } else {
            Span::Rerun
        }
    }

    /// Tells, once, that the story is over.
    pub(super) const fn tell(&mut self) -> bool {
        !std::mem::replace(&mut self.is_told, true)
    }

    pub(super) fn spans(&self) -> BTreeMap<Span, Duration> {
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
    pub whole: Duration,
    /// Time that everything ran after the last setback: the work as it turned out.
    pub work: Duration,
    /// The longest chain of its steps, as its caller estimates it.
    pub estimate: Duration,
    /// Within what time of its acceptance it should have been shown, by that work.
    pub aim: Duration,
    /// What it was spent on, as far as this planner saw it.
    pub spans: BTreeMap<Span, Duration>,
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
    pub fn millis(&self, span: Span) -> u64 {
        let spent = self.spans.get(&span).copied().unwrap_or_default();
        millis(spent)
    }
}
