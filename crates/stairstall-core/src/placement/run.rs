mod phase;

use std::time::Duration;

use super::Attempt;
use crate::{Timestamp, Verdict};
pub use phase::{Member, MemberOrder, MemberPhase, RunOutcome, RunPhase, StopReason};

/// One attempt at a gang job: either all members run or none does.
///
/// Every member is reserved before any is started. Members start under a short lease
/// ([`Run::START_LEASE`]) and are confirmed only when all are known to run, so a gang that
/// started in part soon ends by itself. Any failure stops all members. State changes follow
/// from the reports of the workers and from timeouts alone, so lost or repeated messages are
/// harmless.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Run {
    attempt: Attempt,
    members: Vec<Member>,
    phase: RunPhase,
    /// Whether any member may have been ordered to start in this tenure.
    start_sent: bool,
    /// Whether the placement is stored, or need not be stored before the start.
    recorded: bool,
    /// Whether the capacity of all members is free.
    cleared: bool,
    /// Whether an earlier holder started the run.
    recovered: bool,
}

impl Run {
    /// Timeout for reserving all members.
    pub const RESERVE_TIMEOUT: Duration = Duration::from_secs(4);
    /// Timeout for starting all members, once all are reserved.
    pub const START_TIMEOUT: Duration = Duration::from_secs(3);
    /// Lease of a started member until it is confirmed; longer than [`Run::START_TIMEOUT`].
    pub const START_LEASE: Duration = Duration::from_secs(6);
    /// Lease of a reserved member; longer than both timeouts together.
    pub const RESERVE_LEASE: Duration = Duration::from_secs(10);
    /// Time that a preempted run has to save its progress.
    pub const PREEMPTION_GRACE: Duration = Duration::from_secs(3);

    /// Creates a run that waits until it is recorded and its capacity is free.
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

    /// Creates the run of an earlier holder. It waits for a report about every member.
    #[must_use]
    pub const fn recover(attempt: Attempt, members: Vec<Member>) -> Self {
        let mut run = Self::new(attempt, members);
        run.phase = RunPhase::Recovering;
        run.recorded = true;
        run.cleared = true;
        run.recovered = true;
        run
    }

    /// Returns the id of the attempt.
    #[must_use]
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the members, by member index.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> RunPhase {
        self.phase
    }

    /// Returns how the run ended, if it has.
    #[must_use]
    pub const fn outcome(&self) -> Option<RunOutcome> {
        match self.phase {
            RunPhase::Over { ending } => Some(ending),
            _ => None,
        }
    }

    /// Sets the accelerators of a member that were not known before.
    pub fn set_mask(&mut self, member: u16, mask: u64) {
        if let Some(found) = self.members.get_mut(usize::from(member)) {
            found.mask = mask;
        }
    }

    /// Marks the placement as stored, or as one that need not be stored before the start.
    pub const fn mark_recorded(&mut self) {
        self.recorded = true;
    }

    /// Tells whether the placement is marked as recorded.
    #[must_use]
    pub const fn is_recorded(&self) -> bool {
        self.recorded
    }

    /// Marks the capacity of all members as free.
    pub const fn mark_cleared(&mut self) {
        self.cleared = true;
    }

    /// Tells whether the capacity of all members is marked as free.
    #[must_use]
    pub const fn is_cleared(&self) -> bool {
        self.cleared
    }

    /// Sets the phase of a member as reported by its worker. The phase of a member that is over
    /// does not change any more.
    pub fn update_member(&mut self, member: u16, phase: MemberPhase) {
        let Some(found) = self.members.get_mut(usize::from(member)) else {
            return;
        };
        if !found.phase.is_over() {
            found.phase = phase;
        }
    }

    /// Starts to stop the run, whatever its phase.
    pub fn stop(&mut self, reason: StopReason) {
        match self.phase {
            RunPhase::Over { .. } | RunPhase::Stopping { .. } => {}
            RunPhase::Preparing => self.end(reason),
            _ => self.phase = RunPhase::Stopping { reason },
        }
    }

    /// Preempts the run. If `checkpoints` is set and the run is running, it saves progress first.
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

    /// Advances as far as the reports allow. Returns whether the phase changed.
    pub fn advance(&mut self, now: Timestamp) -> bool {
        let before = self.phase;
        while self.step(now) {}
        self.phase != before
    }

    /// Makes at most one phase transition. Returns whether the phase changed.
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
        let succeeded = |p: &MemberPhase| matches!(p, MemberPhase::Finished { success: true });
        if self.any(|p| p.is_over() && !succeeded(p)) || now >= until {
            self.phase = RunPhase::Stopping {
                reason: StopReason::NotStarted,
            };
        } else if self.all(|p| p.is_running() || succeeded(p)) {
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
        // Before any start order an absent member counts as stopped: it was never reserved, or its
        // reservation is refused.
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

    /// Returns whether any member may have run.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let no_start_sent = !self.recovered && !self.start_sent;
        if no_start_sent || self.all(MemberPhase::never_started) {
            Verdict::NotRun
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Returns the next order for a member's worker, if there is one.
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
