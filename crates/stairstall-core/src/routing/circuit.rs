use std::time::Duration;

use crate::Timestamp;

/// Keeps requests away from a minion that fails again and again.
///
/// After a few faults in a row it opens for a while that doubles with each
/// further fault; then one request at a time may try.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    faults: u32,
    open_until: Option<Timestamp>,
}

impl CircuitBreaker {
    /// A circuit that lets requests through.
    pub const CLOSED: Self = Self {
        faults: 0,
        open_until: None,
    };
    /// Faults in a row that open the circuit.
    const FAULTS_TO_OPEN: u32 = 3;
    /// How long it stays open the first time.
    const FIRST_OPEN: Duration = Duration::from_secs(1);
    /// How often that time doubles at most.
    const MAX_DOUBLINGS: u32 = 5;

    /// Tells whether a request may go through while `in_flight` others do.
    #[must_use]
    pub fn allows(&self, now: Timestamp, in_flight: u16) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && in_flight == 0,
        }
    }

    /// Notes an answer: the minion works.
    pub const fn record_success(&mut self) {
        self.faults = 0;
        self.open_until = None;
    }

    /// Notes a fault: no answer, or a broken one.
    pub fn record_fault(&mut self, now: Timestamp) {
        self.faults = self.faults.saturating_add(1);
        if self.faults >= Self::FAULTS_TO_OPEN {
            let doublings = (self.faults - Self::FAULTS_TO_OPEN).min(Self::MAX_DOUBLINGS);
            self.open_until = Some(now + Self::FIRST_OPEN * 2_u32.pow(doublings));
        }
    }
}
