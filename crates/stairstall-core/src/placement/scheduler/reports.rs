//! Takes what workers report, and what their silence means.

use super::contact::News;
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
    /// Takes what a worker says of its tasks.
    pub(super) fn apply_reports(
        &mut self,
        worker: &WorkerId,
        reply: &SyncReply,
        news: &News,
        now: Timestamp,
    ) {
        if self.adopts {
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
            let known = running
                .run
                .members()
                .get(usize::from(member))
                .map_or(0, |m| m.mask);
            let holds = report.spec.accelerators;
            if known == 0 && holds != 0 && running.run.outcome().is_none() {
                self.occupy_late(key, member, holds);
            }
        }
        let absent = |task: &TaskId| !reply.tasks.iter().any(|r| r.task == *task);
        for task in news.commanded.iter().filter(|task| absent(task)) {
            self.note_absent(task);
        }
        if let Some(contact) = self.contacts.get_mut(worker) {
            contact
                .tasks
                .retain(|task, _| !news.commanded.contains(task) || !absent(task));
        }
        if news.first {
            self.note_unlisted(worker, reply);
        }
    }

    fn note_absent(&mut self, task: &TaskId) {
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

    /// Calls `each` for every run with a member on a worker, and that member.
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

    /// Marks members absent that a worker's whole list does not name.
    fn note_unlisted(&mut self, worker: &WorkerId, reply: &SyncReply) {
        self.for_members_on(worker, |key, run, member| {
            let task = TaskId::new(key.clone(), run.attempt(), member);
            if !reply.tasks.iter().any(|report| report.task == task) {
                run.update_member(member, MemberPhase::Absent);
            }
        });
    }

    /// Marks a worker's members lost: all, or those of other incarnations than `known`.
    pub(super) fn lose_members(&mut self, worker: &WorkerId, known: Option<u64>) {
        self.for_members_on(worker, |_, run, member| {
            let incarnation = run.members()[usize::from(member)].incarnation;
            if known != Some(incarnation) {
                run.update_member(member, MemberPhase::Lost);
            }
        });
    }

    /// Loses the workers whose leases have all surely ended.
    pub(super) fn lose_silent_workers(&mut self, now: Timestamp) {
        let lost: Vec<WorkerId> = self
            .contacts
            .iter_mut()
            .filter_map(|(id, contact)| contact.became_lost(now).then(|| id.clone()))
            .collect();
        for worker in lost {
            self.effects.push(Effect::Alarm(format!(
                "worker {worker} is lost: it was silent until every lease on it ended"
            )));
            self.suspect_jobs_on(&worker);
            self.lose_members(&worker, None);
        }
    }
}

pub(super) fn members_on<'a>(run: &'a Run, worker: &'a WorkerId) -> Vec<u16> {
    let on = |(index, member): (usize, &Member)| {
        (member.worker == *worker).then(|| u16::try_from(index).unwrap_or(u16::MAX))
    };
    run.members().iter().enumerate().filter_map(on).collect()
}

/// Takes what a worker says of one member of a run.
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
