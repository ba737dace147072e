//! What is known of one incarnation of a worker.

use std::collections::VecDeque;
use std::time::Duration;

use super::super::Now;
use crate::batch::{ClockReading, Incarnation};
use crate::{JobId, Timestamp};

/// Maximum age, in milliseconds, of the clock value in an answer. Far above the timeout of an
/// order, and below the time that a worker needs to restart after it has run for a while.
const MAX_ANSWER_AGE_MS: u64 = 1_000;

/// A run end that is acknowledged only once the change that it caused is stored.
#[derive(Debug, Clone)]
struct UnstoredEnd {
    number: u64,
    change: Option<(JobId, u64)>,
}

/// Interval between verification runs, in case the first ends of an incarnation stay hidden.
const VERIFICATION_INTERVAL: Duration = Duration::from_secs(1);

/// Whether an incarnation is known to list its run ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::batch::planner) enum EndListing {
    /// It lists them.
    #[default]
    Verified,
    /// It may have carried out an acknowledgement meant for an earlier incarnation.
    Unverified {
        /// From when on it may get the next verification run. `None` until it is fenced.
        next_run_at: Option<Timestamp>,
    },
}

impl EndListing {
    pub(in crate::batch::planner) fn is_verified(self) -> bool {
        self == Self::Verified
    }

    /// Returns whether it may get a verification run now.
    pub(in crate::batch::planner) fn is_verification_due(self, at: Timestamp) -> bool {
        matches!(self, Self::Unverified { next_run_at: Some(from) } if at >= from)
    }

    /// Sets from when on it may get the next verification run.
    const fn set_next_run(&mut self, at: Timestamp) {
        if let Self::Unverified { next_run_at } = self {
            *next_run_at = Some(at);
        }
    }
}

/// What is known of one incarnation of a worker. Nothing of it applies to the next incarnation.
///
/// If the number of the last run end were carried over, the first run ends of a new incarnation
/// would be skipped.
#[derive(Debug, Clone, Default)]
pub(in crate::batch::planner) struct IncarnationState {
    /// ID of the incarnation. `None` until the worker or the directory reports it.
    pub(in crate::batch::planner) incarnation: Option<Incarnation>,
    /// When it first answered a report request.
    first_report_at: Option<Timestamp>,
    /// The previous incarnation, as far as it was known.
    pub(in crate::batch::planner) previous: PreviousIncarnation,
    /// Whether it has answered a request with its own token. From then on, it carries out nothing
    /// that was meant for an earlier incarnation.
    pub(in crate::batch::planner) fenced: bool,
    /// Whether it is known to list its run ends.
    pub(in crate::batch::planner) end_listing: EndListing,
    /// When it last answered any request.
    pub(in crate::batch::planner) last_answer_at: Option<Timestamp>,
    /// The last reading of its clock.
    clock: Option<ClockReading>,
    /// Number of the highest run end that was handled.
    pub(in crate::batch::planner) last_end_seen: u64,
    unstored_ends: VecDeque<UnstoredEnd>,
    /// Number of the highest run end that was acknowledged in a request that it has answered.
    acknowledged_end: u64,
    /// Until when it is suspect because of a failure, a stall or a refusal there.
    pub(in crate::batch::planner) suspect_until: Option<Timestamp>,
    /// When a run last succeeded there.
    pub(in crate::batch::planner) succeeded_at: Option<Timestamp>,
    /// Jobs whose runs have failed there since the last success.
    pub(in crate::batch::planner) failed_jobs: Vec<JobId>,
    /// Whether it has answered after the directory stopped listing it, as a worker does that leaves
    /// without announcing it.
    pub(in crate::batch::planner) left_unannounced: bool,
}

/// What remains known of the previous incarnation.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::batch::planner) struct PreviousIncarnation {
    incarnation: Option<Incarnation>,
    /// When it last answered any request.
    pub(in crate::batch::planner) last_answer_at: Option<Timestamp>,
    /// Whether it left as planned, so that its end was not a crash.
    pub(in crate::batch::planner) has_left: bool,
}

/// Which incarnation sent an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::batch::planner) enum AnswerSource {
    /// The current incarnation.
    Known,
    /// An incarnation that began after the current one.
    Later,
    /// An incarnation that has ended.
    Earlier,
}

impl IncarnationState {
    /// Creates the state of an incarnation of which at most its ID is known.
    pub(in crate::batch::planner) fn new(incarnation: Option<Incarnation>) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Creates the state of the next incarnation. `has_left` says whether this one left as planned.
    pub(in crate::batch::planner) fn successor(
        &self,
        incarnation: Option<Incarnation>,
        has_left: bool,
    ) -> Self {
        let previous = PreviousIncarnation {
            incarnation: self.incarnation,
            last_answer_at: self.last_answer_at.or(self.previous.last_answer_at),
            has_left,
        };
        Self {
            previous,
            ..Self::new(incarnation)
        }
    }

    /// Returns whether `other` names another incarnation. An unknown ID does not differ.
    pub(in crate::batch::planner) fn differs_from(&self, other: Option<Incarnation>) -> bool {
        self.incarnation
            .zip(other)
            .is_some_and(|(own, other)| own != other)
    }

    /// Returns whether a directory entry was written by an incarnation that began before this one.
    pub(in crate::batch::planner) fn is_newer_than(&self, written_by: Option<Incarnation>) -> bool {
        let has_higher_id = self.incarnation > written_by;
        self.differs_from(written_by) && (has_higher_id || self.is_previous(written_by))
    }

    /// Returns whether the previous incarnation is named, whatever the wall clock was when it
    /// began.
    fn is_previous(&self, reported: Option<Incarnation>) -> bool {
        reported.is_some() && reported == self.previous.incarnation
    }

    /// Returns which incarnation answered a request that was sent at `sent_at`.
    ///
    /// Answers may overtake each other, and the wall clock may be set back between two
    /// incarnations. But a request sent after the current incarnation had answered can't have
    /// reached an earlier one.
    pub(in crate::batch::planner) fn answer_source(
        &self,
        reported: Option<Incarnation>,
        sent_at: Timestamp,
    ) -> AnswerSource {
        if !self.differs_from(reported) {
            return AnswerSource::Known;
        }
        let sent_after_report = self.first_report_at.is_some_and(|at| at <= sent_at);
        let seems_newer = reported > self.incarnation && !self.is_previous(reported);
        if sent_after_report || seems_newer {
            AnswerSource::Later
        } else {
            AnswerSource::Earlier
        }
    }

    /// Records a report. Returns whether it is the first answer to a request with the incarnation's
    /// own token.
    pub(in crate::batch::planner) fn record_report(
        &mut self,
        reported: Option<Incarnation>,
        is_fenced: bool,
        at: Timestamp,
    ) -> bool {
        self.incarnation = self.incarnation.or(reported);
        self.first_report_at.get_or_insert(at);
        is_fenced && !std::mem::replace(&mut self.fenced, true)
    }

    /// Returns when it began, by its own wall clock, but not before the previous one last answered.
    pub(in crate::batch::planner) fn began_at(&self, now: Now) -> Option<Timestamp> {
        let age_ms = now.unix_ms.saturating_sub(self.incarnation?.unix_ms());
        let began_at = Timestamp::from_millis(now.at.as_millis().saturating_sub(age_ms));
        Some(began_at.max(self.previous.last_answer_at.unwrap_or_default()))
    }

    /// Records that it may not list its run ends.
    pub(in crate::batch::planner) const fn set_unverified(&mut self) {
        self.end_listing = EndListing::Unverified { next_run_at: None };
    }

    /// Records that late calls can no longer extend leases there after `at`.
    pub(in crate::batch::planner) const fn allow_verification_from(&mut self, at: Timestamp) {
        self.end_listing.set_next_run(at);
    }

    /// Records that a verification run is started.
    pub(in crate::batch::planner) fn record_verification_run(&mut self, at: Timestamp) {
        self.end_listing.set_next_run(at + VERIFICATION_INTERVAL);
    }

    /// Records the worker's clock value in an answer. Returns how far the clock has fallen behind
    /// the planner's since it was last read.
    pub(in crate::batch::planner) fn read_clock(
        &mut self,
        clock_ms: u64,
        at: Timestamp,
    ) -> Duration {
        let reading = ClockReading::new(clock_ms, at);
        let drift = self
            .clock
            .map_or(Duration::ZERO, |earlier| reading.drift_since(earlier));
        self.last_answer_at = Some(at);
        self.clock = Some(reading);
        drift
    }

    /// Returns the last reading of the worker's clock, or `None` if it was never read.
    pub(in crate::batch::planner) const fn clock(&self) -> Option<ClockReading> {
        self.clock
    }

    /// Returns whether the clock was read recently enough for the deadline of a lease.
    pub(in crate::batch::planner) fn knows_clock_for(
        &self,
        lease: Duration,
        at: Timestamp,
    ) -> bool {
        self.clock
            .is_some_and(|reading| reading.is_precise_for(lease, at))
    }

    /// Returns whether a clock value is so far behind that it can't be this incarnation's, whose
    /// clock may be slow.
    pub(in crate::batch::planner) fn is_clock_set_back(
        &self,
        clock_ms: u64,
        at: Timestamp,
    ) -> bool {
        self.clock.is_some_and(|reading| {
            clock_ms.saturating_add(MAX_ANSWER_AGE_MS) < reading.earliest_at(at)
        })
    }

    /// Records a run end that was handled, and the change that must be stored before the run end is
    /// acknowledged.
    pub(in crate::batch::planner) fn record_end(
        &mut self,
        number: u64,
        change: Option<(JobId, u64)>,
    ) {
        self.last_end_seen = number;
        self.unstored_ends.push_back(UnstoredEnd { number, change });
    }

    /// Returns the highest run end that may be acknowledged, where `is_change_stored` says
    /// which changes are stored.
    pub(in crate::batch::planner) fn acknowledgeable(
        &mut self,
        is_change_stored: impl Fn(&JobId, u64) -> bool,
    ) -> u64 {
        while let Some(first) = self.unstored_ends.front() {
            let is_stored = first
                .change
                .as_ref()
                .is_none_or(|(job, change)| is_change_stored(job, *change));
            if !is_stored {
                return first.number.saturating_sub(1);
            }
            self.unstored_ends.pop_front();
        }
        self.last_end_seen
    }

    /// Returns whether there are run ends whose changes are not stored yet.
    pub(in crate::batch::planner) fn has_unstored_ends(&self) -> bool {
        !self.unstored_ends.is_empty()
    }

    /// Returns whether all handled run ends have been acknowledged.
    pub(in crate::batch::planner) const fn all_ends_acknowledged(&self) -> bool {
        self.acknowledged_end >= self.last_end_seen
    }

    /// Returns the run end to acknowledge in the next request, or 0 if it was acknowledged already.
    ///
    /// A request may reach a new incarnation. Some workers keep listing a run end whose number was
    /// acknowledged before it occurred. A report lists at most 500 run ends, so later ones would
    /// not be seen behind these.
    pub(in crate::batch::planner) const fn next_acknowledgement(
        &self,
        acknowledgeable: u64,
    ) -> u64 {
        if acknowledgeable > self.acknowledged_end {
            acknowledgeable
        } else {
            0
        }
    }

    /// Records that the worker has answered a request that acknowledged run ends up to
    /// `acknowledged_end`.
    pub(in crate::batch::planner) fn record_acknowledged(&mut self, acknowledged_end: u64) {
        self.acknowledged_end = self.acknowledged_end.max(acknowledged_end);
    }
}
