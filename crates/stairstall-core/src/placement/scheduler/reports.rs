//! Applies the task reports of workers, and marks members as lost when their workers are silent.

use super::contact::ReplyChanges;
use super::entry::{Entry, Running, Stage};
use super::{Effect, Scheduler};
use crate::placement::{JobKey, Member, MemberPhase, Run};
use crate::protocol::{SyncReply, TaskId, TaskPhase, TaskReport};
use crate::{Timestamp, WorkerId};

impl From<&TaskPhase> for MemberPhase {
    fn from(phase: &TaskPhase) -> Self {
        match phase {
            TaskPhase::Reserved => Self::Reserved,
            TaskPhase::Refused => Self::Refused,
            TaskPhase::Started => Self::Started,
            TaskPhase::Confirmed => Self::Confirmed,
            TaskPhase::Checkpointed => Self::Checkpointed,
            TaskPhase::Stopped { started } => Self::Stopped { started: *started },
            TaskPhase::Finished { success, .. } => Self::Finished { success: *success },
        }
    }
}

impl Scheduler {
    /// Applies the task reports in a reply.
    pub(super) fn apply_reports(
        &mut self,
        worker: &WorkerId,
        reply: &SyncReply,
        changes: &ReplyChanges,
        now: Timestamp,
    ) {
        if self.adopts_tasks {
            self.adopt_unknown(reply, now);
        }
        for report in &reply.tasks {
            let (key, member) = (&report.task.job, report.task.member);
            let Some(Entry {
                stage: Stage::Running(running),
                ..
            }) = self.jobs.get_mut(key)
            else {
                continue;
            };
            if running.run.attempt() != report.task.attempt {
                continue;
            }
            apply_report(running, report);
            let known_mask = running
                .run
                .members()
                .get(usize::from(member))
                .map_or(0, |m| m.mask);
            let reported_mask = report.spec.accelerators;
            if known_mask == 0 && reported_mask != 0 && running.run.outcome().is_none() {
                self.allocate_reported_mask(key, member, reported_mask);
            }
        }
        let absent = |task: &TaskId| !reply.tasks.iter().any(|r| r.task == *task);
        for task in changes.commanded.iter().filter(|task| absent(task)) {
            self.mark_absent(task);
        }
        if let Some(contact) = self.contacts.get_mut(worker) {
            contact
                .tasks
                .retain(|task, _| !changes.commanded.contains(task) || !absent(task));
        }
        if changes.first {
            self.mark_unlisted_absent(worker, reply);
        }
    }

    /// Marks a member as absent if it is part of the current run of its job.
    fn mark_absent(&mut self, task: &TaskId) {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Stage::Running(running) = &mut entry.stage else {
            return;
        };
        if running.run.attempt() == task.attempt {
            running.run.update_member(task.member, MemberPhase::Absent);
        }
    }

    /// Calls `each` with the job, run and index of every member on a worker.
    fn for_members_on(&mut self, worker: &WorkerId, mut each: impl FnMut(&JobKey, &mut Run, u16)) {
        let Some(contact) = self.contacts.get(worker) else {
            return;
        };
        for key in &contact.runs {
            let Some(Entry {
                stage: Stage::Running(running),
                ..
            }) = self.jobs.get_mut(key)
            else {
                continue;
            };
            for member in members_on(&running.run, worker) {
                each(key, &mut running.run, member);
            }
        }
    }

    /// Marks members as absent that are missing in a reply which lists every task.
    fn mark_unlisted_absent(&mut self, worker: &WorkerId, reply: &SyncReply) {
        self.for_members_on(worker, |key, run, member| {
            let task = TaskId::new(key.clone(), run.attempt(), member);
            if !reply.tasks.iter().any(|report| report.task == task) {
                run.update_member(member, MemberPhase::Absent);
            }
        });
    }

    /// Marks the members on a worker as lost, except those of the incarnation `known`.
    pub(super) fn mark_members_lost(&mut self, worker: &WorkerId, known: Option<u64>) {
        self.for_members_on(worker, |_, run, member| {
            let incarnation = run.members()[usize::from(member)].incarnation;
            if known != Some(incarnation) {
                run.update_member(member, MemberPhase::Lost);
            }
        });
    }

    /// Marks unresponsive workers as lost once all leases on them have certainly expired.
    pub(super) fn mark_silent_workers_lost(&mut self, now: Timestamp) {
        let lost: Vec<WorkerId> = self
            .contacts
            .iter_mut()
            .filter_map(|(id, contact)| contact.became_lost(now).then(|| id.clone()))
            .collect();
        for worker in lost {
            self.effects.push(Effect::Alarm(format!(
                "worker {worker} is lost: it did not answer before all leases on it expired"
            )));
            self.record_suspects(&worker);
            self.mark_members_lost(&worker, None);
        }
    }
}

/// Returns the indexes of the members of a run on one worker.
pub(super) fn members_on<'a>(run: &'a Run, worker: &'a WorkerId) -> Vec<u16> {
    let on = |(index, member): (usize, &Member)| {
        (member.worker == *worker).then(|| u16::try_from(index).unwrap_or(u16::MAX))
    };
    run.members().iter().enumerate().filter_map(on).collect()
}

/// Applies a task report to its member of a run.
pub(super) fn apply_report(running: &mut Running, report: &TaskReport) {
    let member = report.task.member;
    running
        .run
        .update_member(member, MemberPhase::from(&report.phase));
    if let Some(saved) = running.saved.get_mut(usize::from(member)) {
        *saved = report.saved_ms;
    }
    if let TaskPhase::Finished { output, .. } = &report.phase
        && member == 0
    {
        running.output.clone_from(output);
    }
}
