use std::time::Duration;

use crate::Timestamp;

/// A circuit breaker, which withholds requests from a minion that fails repeatedly.
///
/// It opens after three consecutive faults, for a time that doubles with each
/// further fault. After that time it lets one request at a time through until a
/// request succeeds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    /// Number of consecutive faults.
    faults: u32,
    /// When the circuit lets a request through again; `None` while it is closed.
    open_until: Option<Timestamp>,
}

impl CircuitBreaker {
    /// A circuit breaker without faults, which lets all requests through.
    pub const CLOSED: Self = Self {
        faults: 0,
        open_until: None,
    };
    /// Number of consecutive faults that open the circuit.
    const FAULTS_TO_OPEN: u32 = 3;
    /// How long the circuit stays open the first time.
    const FIRST_OPEN: Duration = Duration::from_secs(1);
    /// Maximum number of times that the open time doubles.
    const MAX_DOUBLINGS: u32 = 5;

    /// Returns whether a request may be sent while `in_flight` others are in progress.
    #[must_use]
    pub fn allows(&self, now: Timestamp, in_flight: u16) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && in_flight == 0,
        }
    }

    /// Records that the minion answered, and closes the circuit.
    pub const fn record_success(&mut self) {
        self.faults = 0;
        self.open_until = None;
    }

    /// Records a fault: no response, or an incomplete one.
    pub fn record_fault(&mut self, now: Timestamp) {
        self.faults = self.faults.saturating_add(1);
        if self.faults >= Self::FAULTS_TO_OPEN {
            let doublings = (self.faults - Self::FAULTS_TO_OPEN).min(Self::MAX_DOUBLINGS);
            self.open_until = Some(now + Self::FIRST_OPEN * 2_u32.pow(doublings));
        }
    }
}
