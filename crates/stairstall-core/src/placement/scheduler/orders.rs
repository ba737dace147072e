//! Orders for workers: those of runs to their members, and those for unclaimed tasks.
//!
//! An unclaimed task is one that no current run accounts for.

use super::Scheduler;
use super::contact::Contact;
use super::entry::{Entry, Running, Stage};
use super::reports::members_on;
use super::runs::placed_members;
use crate::WorkerId;
use crate::placement::{JobKey, MemberOrder, Run, RunPhase};
use crate::protocol::{Command, Order, TaskId, TaskReport, TaskSpec};
use crate::time::millis;

impl Scheduler {
    /// Returns all orders for one worker.
    pub(super) fn commands_for(&self, worker: &WorkerId) -> Vec<Command> {
        let Some(contact) = self.contacts.get(worker) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for key in &contact.runs {
            let Some(entry) = self.jobs.get(key) else {
                continue;
            };
            if let Stage::Running(running) = &entry.stage {
                run_commands(key, entry, running, worker, &mut commands);
            }
        }
        for report in contact.tasks.values() {
            commands.extend(self.unclaimed_task_command(report));
        }
        commands
    }

    /// Returns the order for a task if it is unclaimed.
    fn unclaimed_task_command(&self, report: &TaskReport) -> Option<Command> {
        let may_forget = match self.jobs.get(&report.task.job) {
            None => self.store_read,
            Some(entry) if entry.superseded => return None,
            Some(entry) => match &entry.stage {
                Stage::Running(r) if r.run.attempt() == report.task.attempt => return None,
                Stage::Running(r) => entry.recorded && r.run.is_recorded(),
                Stage::Waiting => !entry.recorded && entry.pending_write.is_none(),
                Stage::Closing => false,
            },
        };
        if !self.store_read && !self.jobs.contains_key(&report.task.job) {
            return None;
        }
        Contact::order_for_unclaimed(report, may_forget)
    }

    /// Brings the next sync of a worker forward if there are orders for it.
    pub(super) fn expedite_sync(&mut self, worker: &WorkerId) {
        if self.commands_for(worker).is_empty() {
            return;
        }
        if let Some(contact) = self.contacts.get_mut(worker) {
            contact.expedite_sync();
        }
    }
}

/// Adds the orders of a run to its members on one worker.
fn run_commands(
    key: &JobKey,
    entry: &Entry,
    running: &Running,
    worker: &WorkerId,
    commands: &mut Vec<Command>,
) {
    let run = &running.run;
    if matches!(run.phase(), RunPhase::Preparing | RunPhase::Recovering) || entry.superseded {
        return;
    }
    for member in members_on(run, worker) {
        let Some(member_order) = run.next_order(member) else {
            continue;
        };
        let order = match member_order {
            MemberOrder::Reserve => Order::Reserve {
                spec: Box::new(task_spec(entry, run, member)),
                lease_ms: millis(Run::RESERVE_LEASE),
            },
            MemberOrder::Start => Order::Start {
                lease_ms: millis(Run::START_LEASE),
            },
            MemberOrder::Confirm => Order::Confirm,
            MemberOrder::Checkpoint => Order::Checkpoint,
            MemberOrder::Stop => Order::Stop,
        };
        commands.push(Command {
            task: TaskId::new(key.clone(), run.attempt(), member),
            order,
        });
    }
}

fn task_spec(entry: &Entry, run: &Run, member: u16) -> TaskSpec {
    let spec = &entry.spec;
    TaskSpec {
        shape: spec.shape,
        members: placed_members(run),
        accelerators: run.members()[usize::from(member)].mask,
        repeatable: spec.repeatable,
        checkpoint_ms: spec.checkpoint_ms,
        work_ms: spec.expected_ms,
        resume_ms: entry.saved_ms,
        payload: spec.payload.clone(),
    }
}
