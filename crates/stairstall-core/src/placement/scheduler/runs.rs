//! Advances runs from their placement to their end, and decides what follows for their jobs.

use std::time::Duration;

use super::entry::{Entry, Running, Stage};
use super::{Decision, DecisionKind, Effect, Scheduler, WriteId};
use crate::placement::{
    Cell, Demand, JobKey, JobState, Member, PlacedMember, Run, RunOutcome, StopReason,
};
use crate::{Timestamp, Verdict};

/// Back-off after the first attempt of a job that did not start. It doubles with each further
/// attempt that does not start.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of times that the back-off doubles.
const MAX_DOUBLINGS: u32 = 6;

impl Scheduler {
    /// Advances every run, releases allocations of members that are over and finishes ended runs.
    pub(super) fn advance_runs(&mut self, now: Timestamp) {
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, e)| e.is_running() && !e.superseded)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.advance_run(&key, now);
        }
    }

    fn advance_run(&mut self, key: &JobKey, now: Timestamp) {
        let clear = self.is_clear(key);
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        let cancel = entry.cancel;
        let Stage::Running(running) = &mut entry.stage else {
            return;
        };
        if cancel {
            running.run.stop(StopReason::Cancelled);
        }
        if clear && !running.run.is_cleared() {
            running.run.mark_cleared();
        }
        let changed = running.run.advance(now);
        let members = if changed {
            running.run.members().to_vec()
        } else {
            Vec::new()
        };
        self.release_ended_members(key);
        for member in members {
            self.expedite_sync(&member.worker);
        }
        let outcome = match &self.jobs.get(key).map(|e| &e.stage) {
            Some(Stage::Running(running)) => running.run.outcome(),
            _ => None,
        };
        if let Some(outcome) = outcome {
            self.finish_run(key, outcome, now);
        }
    }

    /// Tells whether no other run occupies the capacity of a run any more.
    fn is_clear(&self, key: &JobKey) -> bool {
        let Some(Entry {
            stage: Stage::Running(running),
            spec,
            ..
        }) = self.jobs.get(key)
        else {
            return false;
        };
        if running.run.is_cleared() {
            return true;
        }
        let cell = |member: &Member| {
            let worker = self.inventory.index_of(&member.worker)?;
            Some(Cell {
                worker,
                mask: member.mask,
            })
        };
        let demands = Demand::per_worker(running.run.members().iter().filter_map(cell));
        let blocking = |demand: &Demand| {
            self.inventory
                .blocking_runs(demand, &spec.shape, running.owner)
        };
        demands.iter().all(|demand| blocking(demand).is_empty())
    }

    /// Releases the allocations of members that are over.
    fn release_ended_members(&mut self, key: &JobKey) {
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        let Stage::Running(running) = &mut entry.stage else {
            return;
        };
        let over = running.run.outcome().is_some();
        for (index, member) in running.run.members().iter().enumerate() {
            if (over || member.phase.is_over()) && !running.released[index] {
                running.released[index] = true;
                self.inventory
                    .release(&member.worker, member.mask, running.owner);
                self.replan = true;
            }
        }
    }

    /// Finishes a run that has ended, and decides what follows for its job.
    fn finish_run(&mut self, key: &JobKey, outcome: RunOutcome, now: Timestamp) {
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        let Stage::Running(running) = std::mem::replace(&mut entry.stage, Stage::Waiting) else {
            return;
        };
        self.owners.remove(&running.owner);
        for member in running.run.members() {
            if let Some(contact) = self.contacts.get_mut(&member.worker) {
                contact.runs.remove(key);
            }
        }
        entry.saved_ms = running
            .saved
            .iter()
            .copied()
            .min()
            .unwrap_or(0)
            .max(entry.saved_ms);
        match outcome {
            RunOutcome::Finished { success } => {
                let state = JobState::Finished {
                    success,
                    output: running.output,
                };
                self.close(key, state, now, "all members ended by themselves");
            }
            RunOutcome::Stopped { reason, verdict } => {
                entry.started |= verdict == Verdict::MayHaveRun;
                self.retry_or_end_job(key, reason, verdict, running.output, now);
            }
        }
        for member in running.run.members() {
            self.expedite_sync(&member.worker);
        }
    }

    /// Retries or ends a job whose run was stopped.
    fn retry_or_end_job(
        &mut self,
        key: &JobKey,
        reason: StopReason,
        verdict: Verdict,
        output: String,
        now: Timestamp,
    ) {
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        let overall = if entry.started {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        match reason {
            StopReason::Cancelled => {
                let state = JobState::Ended {
                    verdict: overall,
                    reason: "cancelled".to_owned(),
                };
                self.close(key, state, now, "its caller cancelled it");
            }
            StopReason::MemberFailed => {
                let state = JobState::Finished {
                    success: false,
                    output,
                };
                self.close(key, state, now, "a member failed");
            }
            StopReason::MemberLost if entry.crashes >= Self::MAX_CRASHES => {
                self.end_after_crashes(key, now);
            }
            _ if verdict.allows_retry(entry.spec.repeatable) => {
                if reason == StopReason::NotStarted {
                    entry.failed_starts += 1;
                    let doublings = (entry.failed_starts - 1).min(MAX_DOUBLINGS);
                    entry.not_before = now + INITIAL_BACKOFF * 2_u32.pow(doublings);
                }
                entry.waiting_since = now;
                self.decide(
                    key,
                    DecisionKind::Stopped,
                    now,
                    &format!("{}; it waits again", describe(reason)),
                );
                self.write(key, JobState::Accepted);
                self.replan = true;
            }
            _ => {
                let text = format!(
                    "{}; not repeatable, so it is not tried again",
                    describe(reason)
                );
                let state = JobState::Ended {
                    verdict: overall,
                    reason: text.clone(),
                };
                self.close(key, state, now, &text);
            }
        }
    }

    /// Ends a job: logs the verdict and writes the final state.
    pub(super) fn close(&mut self, key: &JobKey, state: JobState, now: Timestamp, why: &str) {
        let verdict = state.verdict().unwrap_or(Verdict::MayHaveRun);
        self.decide(
            key,
            DecisionKind::Ended,
            now,
            &format!("{why}; verdict {verdict}"),
        );
        if let Some(entry) = self.jobs.get_mut(key) {
            entry.stage = Stage::Closing;
        }
        self.write(key, state);
        self.replan = true;
    }

    /// Requests a write of the state of a job, in place of earlier writes.
    pub(super) fn write(&mut self, key: &JobKey, state: JobState) {
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        self.last_write += 1;
        let id = WriteId(self.last_write);
        entry.pending_write = Some(id);
        self.effects.push(Effect::Write {
            id,
            job: key.clone(),
            state,
            saved_ms: entry.saved_ms,
            started: entry.started,
            crashes: entry.crashes,
        });
    }

    /// Records a decision for the log and for `explain`, unless it is the same as the last one.
    pub(super) fn decide(&mut self, key: &JobKey, kind: DecisionKind, now: Timestamp, text: &str) {
        let Some(entry) = self.jobs.get_mut(key) else {
            return;
        };
        if entry.record_decision(now, text) {
            let decision = Decision {
                job: key.clone(),
                kind,
                text: text.to_owned(),
            };
            self.effects.push(Effect::LogDecision(decision));
        }
    }

    /// Begins a run. The allocations of its members must exist already.
    pub(super) fn begin_run(&mut self, key: &JobKey, run: Run, owner: super::AllocationOwner) {
        let state = JobState::Placed {
            attempt: run.attempt(),
            members: placed_members(&run),
        };
        self.register_run(key, &run, owner);
        if let Some(entry) = self.jobs.get_mut(key) {
            entry.stage = Stage::Running(Running::new(run, owner));
        }
        self.write(key, state);
    }

    /// Registers a run with its owner id and its workers.
    pub(super) fn register_run(&mut self, key: &JobKey, run: &Run, owner: super::AllocationOwner) {
        self.owners.insert(owner, key.clone());
        for member in run.members() {
            if let Some(contact) = self.contacts.get_mut(&member.worker) {
                contact.runs.insert(key.clone());
            }
        }
    }
}

fn describe(reason: StopReason) -> &'static str {
    match reason {
        StopReason::NotStarted => "not all members could be started",
        StopReason::MemberLost => "a member was lost",
        StopReason::MemberFailed => "a member failed",
        StopReason::GaveWay => "it gave way",
        StopReason::Cancelled => "its caller cancelled it",
    }
}

/// Returns the stored form of the placement of each member.
pub(super) fn placed_members(run: &Run) -> Vec<PlacedMember> {
    let placed = |m: &Member| PlacedMember {
        worker: m.worker.clone(),
        incarnation: m.incarnation,
    };
    run.members().iter().map(placed).collect()
}
