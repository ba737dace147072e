//! Acknowledgements of run ends that a worker may carry out late.

use crate::Timestamp;

/// The acknowledgements sent to a worker ID that may still be carried out, by whichever incarnation
/// then has the ID.
///
/// An incarnation that carries out an acknowledgement meant for an earlier one may never list its
/// own run ends up to that number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(in crate::batch::planner) struct LateAcknowledgements {
    /// Until when the one that is in flight may be carried out.
    in_flight_until: Option<Timestamp>,
    /// Until when one that got no answer may be carried out. Remains set after that time, until
    /// the incarnation that then has the ID is known.
    unanswered_until: Option<Timestamp>,
}

impl LateAcknowledgements {
    /// Creates the record of an ID whose unanswered acknowledgements may be carried out until
    /// `until`.
    pub(in crate::batch::planner) const fn until(until: Timestamp) -> Self {
        Self {
            in_flight_until: None,
            unanswered_until: Some(until),
        }
    }

    /// Records that an acknowledgement is sent, which may be carried out until `until`.
    pub(in crate::batch::planner) const fn record_sent(&mut self, until: Timestamp) {
        self.in_flight_until = Some(until);
    }

    /// Records that the acknowledgement in flight was answered.
    pub(in crate::batch::planner) const fn record_answer(&mut self) {
        self.in_flight_until = None;
    }

    /// Records that the acknowledgement in flight, if there is one, gets no answer any more.
    pub(in crate::batch::planner) fn record_no_answer(&mut self) {
        let until = self.in_flight_until.take();
        self.unanswered_until = self.unanswered_until.max(until);
    }

    /// Returns whether an acknowledgement is in flight.
    pub(in crate::batch::planner) const fn is_in_flight(&self) -> bool {
        self.in_flight_until.is_some()
    }

    /// Returns whether an acknowledgement got no answer and may have been carried out by an
    /// incarnation that the planner does not know.
    pub(in crate::batch::planner) const fn has_unanswered(&self) -> bool {
        self.unanswered_until.is_some()
    }

    /// Returns until when an acknowledgement may be carried out, whether it is in flight or
    /// unanswered.
    pub(in crate::batch::planner) fn latest(&self) -> Option<Timestamp> {
        self.unanswered_until.max(self.in_flight_until)
    }

    /// Returns whether a report would now show which incarnation outlasted the unanswered
    /// acknowledgements.
    pub(in crate::batch::planner) fn awaits_report(&self, at: Timestamp) -> bool {
        self.unanswered_until.is_some_and(|until| at > until)
    }

    /// Records that the current incarnation answered a report request sent at `sent_at`. Whatever
    /// could be carried out only until then can't reach an incarnation that begins later.
    pub(in crate::batch::planner) fn record_report(&mut self, sent_at: Timestamp) {
        if self.awaits_report(sent_at) {
            self.unanswered_until = None;
        }
    }
}
