//! What is known of one life of a worker.

use std::collections::VecDeque;

use super::super::Planner;
use crate::batch::Incarnation;
use crate::time::millis;
use crate::{JobId, Timestamp};

/// How old a clock may be that an answer brings, in milliseconds: far above the time-out of an order,
/// and below the time that a worker needs to start again after it has run for a while.
const ANSWER_AGE_MS: u64 = 1_000;

/// An end that the worker may forget once the change behind it lasts.
#[derive(Debug, Clone)]
struct Unsaved {
    number: u64,
    change: Option<(JobId, u64)>,
}

/// What is known of one life of a worker; a new life begins with none of it.
///
/// Kept across lives, the number of the last end would pass over the first ends of a new one.
#[derive(Debug, Clone, Default)]
pub(in crate::batch::planner) struct IncarnationState {
    /// Which life it is; none until the worker or the directory says so.
    pub(in crate::batch::planner) incarnation: Option<Incarnation>,
    /// When it first answered a request for a report.
    first_report_at: Option<Timestamp>,
    /// The life before it, as far as it was known.
    pub(in crate::batch::planner) previous: PreviousIncarnation,
    /// Whether it has answered its own token: nothing that was meant for an earlier life is carried out any more.
    pub(in crate::batch::planner) fenced: bool,
    /// When it last answered anything.
    pub(in crate::batch::planner) last_answer_at: Option<Timestamp>,
    /// Its clock in milliseconds, and when that was read.
    clock: Option<(u64, Timestamp)>,
    /// Highest end that was taken in.
    pub(in crate::batch::planner) last_end_seen: u64,
    unsaved: VecDeque<Unsaved>,
    /// Highest end that it was told to forget, as far as it has answered.
    told_seen: u64,
    /// Until when it gets nothing new because of what happened there.
    pub(in crate::batch::planner) suspect_until: Option<Timestamp>,
    /// When a task last ended done there.
    pub(in crate::batch::planner) succeeded_at: Option<Timestamp>,
    /// Jobs whose runs failed there since the last success.
    pub(in crate::batch::planner) failed_jobs: Vec<JobId>,
    /// Whether it has answered since the directory dropped it, as one does that leaves without a word.
    pub(in crate::batch::planner) left_unannounced: bool,
}

/// What is kept of the life before a life.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::batch::planner) struct PreviousIncarnation {
    incarnation: Option<Incarnation>,
    /// When it was last heard.
    pub(in crate::batch::planner) last_answer_at: Option<Timestamp>,
    /// Whether it went by plan: its end was no crash.
    pub(in crate::batch::planner) has_left: bool,
}

/// Which life an answer came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::batch::planner) enum AnswerSource {
    /// The one that is known.
    Known,
    /// One that began after it.
    Later,
    /// One that is over.
    Earlier,
}

impl IncarnationState {
    /// A life of which only its beginning is known.
    pub(in crate::batch::planner) fn begun(incarnation: Option<Incarnation>) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// The life that follows this one, which went by plan or not.
    pub(in crate::batch::planner) fn next(
        &self,
        incarnation: Option<Incarnation>,
        has_left: bool,
    ) -> Self {
        let earlier = PreviousIncarnation {
            incarnation: self.incarnation,
            last_answer_at: self.last_answer_at.or(self.previous.last_answer_at),
            has_left,
        };
        Self {
            previous: earlier,
            ..Self::begun(incarnation)
        }
    }

    /// Tells whether another life is named; what is not told is no other.
    pub(in crate::batch::planner) fn differs_from(&self, other: Option<Incarnation>) -> bool {
        self.incarnation
            .zip(other)
            .is_some_and(|(own, other)| own != other)
    }

    /// Tells whether an entry was written by a life that began before this one.
    pub(in crate::batch::planner) fn is_newer_than(&self, written_by: Option<Incarnation>) -> bool {
        let is_lower = self.incarnation > written_by;
        self.differs_from(written_by) && (is_lower || self.follows(written_by))
    }

    /// Tells whether the life before is named, whatever the time of day was when it began.
    fn follows(&self, named: Option<Incarnation>) -> bool {
        named.is_some() && named == self.previous.incarnation
    }

    /// Tells which life answered a request that left at `sent_at`.
    ///
    /// Answers may pass each other, and the time of day may be set back between two lives: what was
    /// asked after this life had answered can't have reached an earlier one.
    pub(in crate::batch::planner) fn answer_source(
        &self,
        named: Option<Incarnation>,
        sent_at: Timestamp,
    ) -> AnswerSource {
        if !self.differs_from(named) {
            return AnswerSource::Known;
        }
        let asked_after = self.first_report_at.is_some_and(|at| at <= sent_at);
        let seems_later = named > self.incarnation && !self.follows(named);
        if asked_after || seems_later {
            AnswerSource::Later
        } else {
            AnswerSource::Earlier
        }
    }

    /// Notes a report, which may answer the life's own token; returns whether it is the first that does.
    pub(in crate::batch::planner) fn note_report(
        &mut self,
        named: Option<Incarnation>,
        is_fenced: bool,
        at: Timestamp,
    ) -> bool {
        self.incarnation = self.incarnation.or(named);
        self.first_report_at.get_or_insert(at);
        is_fenced && !std::mem::replace(&mut self.fenced, true)
    }

    pub(in crate::batch::planner) const fn read_clock(&mut self, clock_ms: u64, at: Timestamp) {
        self.last_answer_at = Some(at);
        self.clock = Some((clock_ms, at));
    }

    /// Returns its clock at a moment, once it was read.
    pub(in crate::batch::planner) fn clock_at(&self, at: Timestamp) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        Some(clock_ms.saturating_add(millis(at - read_at)))
    }

    /// Tells whether a clock is so far behind that it can't be this life's, which may be 2% slow.
    pub(in crate::batch::planner) fn is_clock_set_back(
        &self,
        clock_ms: u64,
        at: Timestamp,
    ) -> bool {
        self.clock.is_some_and(|(read_ms, read_at)| {
            let passed_ms = millis(at - read_at);
            let least_ms = read_ms
                .saturating_add(passed_ms - passed_ms / u64::from(Planner::CLOCK_DRIFT_DIVISOR));
            clock_ms.saturating_add(ANSWER_AGE_MS) < least_ms
        })
    }

    /// Notes an end that was taken in, with the change that must last before it is forgotten.
    pub(in crate::batch::planner) fn note_end(
        &mut self,
        number: u64,
        change: Option<(JobId, u64)>,
    ) {
        self.last_end_seen = number;
        self.unsaved.push_back(Unsaved { number, change });
    }

    /// Returns the highest end that it may forget; `lasts` tells which changes are kept.
    pub(in crate::batch::planner) fn acknowledgeable(
        &mut self,
        lasts: impl Fn(&JobId, u64) -> bool,
    ) -> u64 {
        while let Some(first) = self.unsaved.front() {
            let kept = first
                .change
                .as_ref()
                .is_none_or(|(job, change)| lasts(job, *change));
            if !kept {
                return first.number.saturating_sub(1);
            }
            self.unsaved.pop_front();
        }
        self.last_end_seen
    }

    /// Tells whether ends wait for what they change to last.
    pub(in crate::batch::planner) fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Tells whether it was told to forget all ends that were taken in.
    pub(in crate::batch::planner) const fn knows_all_seen(&self) -> bool {
        self.told_seen >= self.last_end_seen
    }

    /// Returns what to tell it to forget: nothing that it knows already.
    ///
    /// A request may reach a new life. Some workers keep listing an end whose number was named
    /// before it came, up to 500 in a report, behind which later ends would not be seen.
    pub(in crate::batch::planner) const fn next_acknowledgement(&self, forgettable: u64) -> u64 {
        if forgettable > self.told_seen {
            forgettable
        } else {
            0
        }
    }

    /// Notes that it has answered a request to forget ends.
    pub(in crate::batch::planner) fn record_acknowledged(&mut self, last_seen: u64) {
        self.told_seen = self.told_seen.max(last_seen);
    }
}
