mod phase;

use std::time::Duration;

use super::Attempt;
use crate::{Timestamp, Verdict};
pub use phase::{Member, MemberOrder, MemberPhase, RunOutcome, RunPhase, StopReason};

/// One attempt at a gang job: all members run, or none does.
///
/// Every member is reserved before any is started, and each starts under a
/// lease that is too short to do harm; only when all are known to run are they
/// confirmed. Whatever goes wrong before or after stops all. The run is driven
/// by the workers' reports alone, so lost and repeated messages do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Run {
    attempt: Attempt,
    members: Vec<Member>,
    phase: RunPhase,
    start_sent: bool,
    recorded: bool,
    cleared: bool,
    recovered: bool,
}

impl Run {
    /// How long members may take to be reserved.
    pub const RESERVE_TIMEOUT: Duration = Duration::from_secs(4);
    /// How long members may take to start, once all are reserved.
    pub const START_TIMEOUT: Duration = Duration::from_secs(3);
    /// Lease of a started member until it is confirmed; longer than the start may take.
    pub const START_LEASE: Duration = Duration::from_secs(6);
    /// Lease of a reservation; longer than reserving and starting may take.
    pub const RESERVE_LEASE: Duration = Duration::from_secs(10);
    /// How long work that gives way has to save its progress.
    pub const PREEMPTION_GRACE: Duration = Duration::from_secs(3);

    /// Creates a run that waits to be recorded and for its places to be cleared.
    #[must_use]
    pub const fn new(attempt: Attempt, members: Vec<Member>) -> Self {
        Self {
            attempt,
            members,
            phase: RunPhase::Preparing,
            start_sent: false,
            recorded: false,
            cleared: false,
            recovered: false,
        }
    }

    /// Creates the run of an earlier holder, about which the workers are still asked.
    #[must_use]
    pub const fn recover(attempt: Attempt, members: Vec<Member>) -> Self {
        let mut run = Self::new(attempt, members);
        run.phase = RunPhase::Recovering;
        run.recorded = true;
        run.cleared = true;
        run.recovered = true;
        run
    }

    /// Returns the attempt.
    #[must_use]
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the members.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the phase.
    #[must_use]
    pub const fn phase(&self) -> RunPhase {
        self.phase
    }

    /// Returns how the run ended, if it did.
    #[must_use]
    pub const fn outcome(&self) -> Option<RunOutcome> {
        match self.phase {
            RunPhase::Over { ending } => Some(ending),
            _ => None,
        }
    }

    /// Notes which accelerators a member holds, where they were not known.
    pub fn set_mask(&mut self, member: u16, mask: u64) {
        if let Some(found) = self.members.get_mut(usize::from(member)) {
            found.mask = mask;
        }
    }

    /// Notes that the placement is recorded, or need not be.
    pub const fn mark_recorded(&mut self) {
        self.recorded = true;
    }

    /// Tells whether the placement is recorded.
    #[must_use]
    pub const fn is_recorded(&self) -> bool {
        self.recorded
    }

    /// Notes that nothing stands in the way any more.
    pub const fn mark_cleared(&mut self) {
        self.cleared = true;
    }

    /// Tells whether the places are clear.
    #[must_use]
    pub const fn is_cleared(&self) -> bool {
        self.cleared
    }

    /// Takes what a worker says of a member; a member that is over stays so.
    pub fn update_member(&mut self, member: u16, phase: MemberPhase) {
        let Some(found) = self.members.get_mut(usize::from(member)) else {
            return;
        };
        if !found.phase.is_over() {
            found.phase = phase;
        }
    }

    /// Begins to stop the run, whatever it does now.
    pub fn stop(&mut self, reason: StopReason) {
        match self.phase {
            RunPhase::Over { .. } | RunPhase::Stopping { .. } => {}
            RunPhase::Preparing => self.end(reason),
            _ => self.phase = RunPhase::Stopping { reason },
        }
    }

    /// Makes the run give way: saves progress first, where `checkpoints` says it can.
    pub fn preempt(&mut self, now: Timestamp, checkpoints: bool) {
        match self.phase {
            RunPhase::Running if checkpoints => {
                self.phase = RunPhase::Checkpointing {
                    until: now + Self::PREEMPTION_GRACE,
                };
            }
            RunPhase::Checkpointing { .. } => {}
            _ => self.stop(StopReason::GaveWay),
        }
    }

    /// Moves on as far as the reports allow; true where the phase changed.
    pub fn advance(&mut self, now: Timestamp) -> bool {
        let before = self.phase;
        while self.step(now) {}
        self.phase != before
    }

    fn step(&mut self, now: Timestamp) -> bool {
        let before = self.phase;
        match self.phase {
            RunPhase::Preparing => self.step_preparing(now),
            RunPhase::Recovering => self.step_recovering(),
            RunPhase::Reserving { until } => self.step_reserving(now, until),
            RunPhase::Starting { until } => self.step_starting(now, until),
            RunPhase::Running => self.step_running(),
            RunPhase::Checkpointing { until } => self.step_checkpointing(now, until),
            RunPhase::Stopping { reason } => self.step_stopping(reason),
            RunPhase::Over { .. } => {}
        }
        self.phase != before
    }

    fn step_preparing(&mut self, now: Timestamp) {
        if self.recorded && self.cleared {
            self.phase = RunPhase::Reserving {
                until: now + Self::RESERVE_TIMEOUT,
            };
        }
    }

    fn step_recovering(&mut self) {
        if self.any(|p| *p == MemberPhase::Unknown) {
            return;
        }
        if self.all(|p| p.is_running() || matches!(p, MemberPhase::Finished { .. })) {
            self.phase = RunPhase::Running;
        } else {
            self.phase = RunPhase::Stopping {
                reason: StopReason::MemberLost,
            };
        }
    }

    fn step_reserving(&mut self, now: Timestamp, until: Timestamp) {
        if self.any(MemberPhase::is_over) || now >= until {
            self.phase = RunPhase::Stopping {
                reason: StopReason::NotStarted,
            };
        } else if self.all(|p| *p == MemberPhase::Reserved) {
            self.start_sent = true;
            self.phase = RunPhase::Starting {
                until: now + Self::START_TIMEOUT,
            };
        }
    }

    fn step_starting(&mut self, now: Timestamp, until: Timestamp) {
        let ended = |p: &MemberPhase| matches!(p, MemberPhase::Finished { success: true });
        if self.any(|p| p.is_over() && !ended(p)) || now >= until {
            self.phase = RunPhase::Stopping {
                reason: StopReason::NotStarted,
            };
        } else if self.all(|p| p.is_running() || ended(p)) {
            self.phase = RunPhase::Running;
        }
    }

    fn step_running(&mut self) {
        if self.all(|p| *p == MemberPhase::Finished { success: true }) {
            self.phase = RunPhase::Over {
                ending: RunOutcome::Finished { success: true },
            };
        } else if self.any(|p| *p == MemberPhase::Finished { success: false }) {
            self.phase = RunPhase::Stopping {
                reason: StopReason::MemberFailed,
            };
        } else if self.any(|p| matches!(p, MemberPhase::Stopped { .. } | MemberPhase::Lost)) {
            self.phase = RunPhase::Stopping {
                reason: StopReason::MemberLost,
            };
        }
    }

    fn step_checkpointing(&mut self, now: Timestamp, until: Timestamp) {
        if self.all(|p| *p == MemberPhase::Finished { success: true }) {
            self.phase = RunPhase::Over {
                ending: RunOutcome::Finished { success: true },
            };
        } else if self.any(|p| matches!(p, MemberPhase::Stopped { .. } | MemberPhase::Lost)) {
            self.phase = RunPhase::Stopping {
                reason: StopReason::MemberLost,
            };
        } else if now >= until || self.all(|p| *p == MemberPhase::Checkpointed || p.is_over()) {
            self.phase = RunPhase::Stopping {
                reason: StopReason::GaveWay,
            };
        }
    }

    fn step_stopping(&mut self, reason: StopReason) {
        // An absent member was never reserved, or its reservation is refused below.
        if !self.all(|p| p.is_over() || (*p == MemberPhase::Absent && !self.start_sent)) {
            return;
        }
        if self.all(|p| matches!(p, MemberPhase::Finished { .. })) {
            let success = self.all(|p| *p == MemberPhase::Finished { success: true });
            self.phase = RunPhase::Over {
                ending: RunOutcome::Finished { success },
            };
        } else {
            self.end(reason);
        }
    }

    fn end(&mut self, reason: StopReason) {
        let verdict = self.verdict();
        self.phase = RunPhase::Over {
            ending: RunOutcome::Stopped { reason, verdict },
        };
    }

    /// Returns what is known about whether any member ran.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let fresh = !self.recovered && !self.start_sent;
        if fresh || self.all(MemberPhase::never_started) {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Returns what the member's worker should be told next, if anything.
    #[must_use]
    pub fn next_order(&self, member: u16) -> Option<MemberOrder> {
        let phase = &self.members.get(usize::from(member))?.phase;
        match (self.phase, phase) {
            (_, p) if p.is_over() => None,
            (RunPhase::Reserving { .. }, MemberPhase::Unknown | MemberPhase::Absent) => {
                Some(MemberOrder::Reserve)
            }
            (RunPhase::Starting { .. }, MemberPhase::Reserved) => Some(MemberOrder::Start),
            (RunPhase::Running, MemberPhase::Started) => Some(MemberOrder::Confirm),
            (RunPhase::Checkpointing { .. }, MemberPhase::Started | MemberPhase::Confirmed) => {
                Some(MemberOrder::Checkpoint)
            }
            (RunPhase::Stopping { .. }, p) if *p != MemberPhase::Absent || self.start_sent => {
                Some(MemberOrder::Stop)
            }
            _ => None,
        }
    }

    fn all(&self, test: impl Fn(&MemberPhase) -> bool) -> bool {
        self.members.iter().all(|m| test(&m.phase))
    }

    fn any(&self, test: impl Fn(&MemberPhase) -> bool) -> bool {
        self.members.iter().any(|m| test(&m.phase))
    }
}
