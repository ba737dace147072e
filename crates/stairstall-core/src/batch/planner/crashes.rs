//! Counts worker crashes per task and fails jobs whose tasks keep crashing workers. Long-running
//! tasks are contained instead.
//!
//! A crashed worker reports no ends for its runs, so the loss of the worker is the only sign that a
//! task crashes its workers. Each loss is counted before the task starts again, and the counts are
//! stored with the job's progress. A worker that is silent beyond its lease may only have lost its
//! connection. The loss is counted against its tasks at once, and retracted if the same incarnation
//! answers again.

use super::job::Task;
use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::batch::{
    Decision, DecisionKind, Outcome, Progress, SilentWorker, StepSpec, TaskKey, TaskLosses,
};
use crate::time::millis;
use crate::{JobId, Timestamp, WorkerId};

mod attribution;
mod isolation;

pub(super) use attribution::LostIncarnation;

impl Planner {
    /// Counts a crash against the tasks that may have crashed a worker whose incarnation has ended.
    /// Returns these tasks.
    pub(super) fn count_crash(
        &mut self,
        id: &WorkerId,
        lost: LostIncarnation,
        runs: &[(TaskKey, Run)],
    ) -> Vec<TaskKey> {
        let crash_suspects = self.crash_suspects(lost, runs);
        for (task, was_running) in &crash_suspects {
            self.update_losses(task, |losses| losses.record_crash(*was_running));
        }
        self.log_losses(id, lost, runs);
        crash_suspects.into_iter().map(|(task, _)| task).collect()
    }

    /// Counts the silence of a worker beyond its lease against the tasks that may have crashed it.
    /// The silence of a worker that is leaving, or that the planner does not ask, is not counted.
    pub(super) fn count_silence(&mut self, id: &WorkerId, runs: &[(TaskKey, Run)]) {
        let may_have_crashed = |worker: &&Worker| !worker.is_leaving() && worker.is_selected();
        let Some(worker) = self.workers.get(id).filter(may_have_crashed) else {
            return;
        };
        let lost = LostIncarnation {
            last_answer_at: worker.incarnation_state.last_answer_at,
            successor_began_at: None,
        };
        let crash_suspects = self.crash_suspects(lost, runs);
        for (task, was_running) in &crash_suspects {
            let silent = SilentWorker {
                worker: id.clone(),
                incarnation: self.run_at(id, task).and_then(|run| run.incarnation),
                start_confirmed: *was_running,
            };
            self.update_losses(task, |losses| losses.silent.push(silent));
        }
        self.log_losses(id, lost, runs);
        if let Some(worker) = self.workers.get_mut(id) {
            worker
                .lost_tasks
                .extend(crash_suspects.into_iter().map(|(task, _)| task));
        }
    }

    /// Retracts the losses that were counted against tasks when a worker became silent, because the
    /// worker did not crash.
    pub(super) fn retract_losses(&mut self, id: &WorkerId, tasks: &[TaskKey]) {
        for task in tasks {
            self.update_losses(task, |losses| {
                losses.take_silent(id);
            });
        }
        self.replan |= !tasks.is_empty();
    }

    /// Counts a worker's silence, which was recorded against `tasks` before, as a crash.
    pub(super) fn confirm_crashes(&mut self, id: &WorkerId, tasks: &[TaskKey]) {
        for task in tasks {
            self.update_losses(task, |losses| {
                for silent in losses.take_silent(id) {
                    losses.record_crash(silent.start_confirmed);
                }
            });
        }
    }

    /// Settles the losses from a worker's silence when one of its incarnations answers: the
    /// answering incarnation did not crash, an earlier one did.
    pub(super) fn resolve_silence(&mut self, id: &WorkerId, tasks: &[TaskKey], now: Now) {
        let Some(worker) = self.workers.get(id).filter(|_| !tasks.is_empty()) else {
            return;
        };
        let incarnation = worker.incarnation_state.clone();
        for task in tasks {
            self.update_losses(task, |losses| {
                let silent_workers = losses.take_silent(id);
                let crashed = silent_workers
                    .iter()
                    .filter(|silent| incarnation.differs_from(silent.incarnation));
                crashed.for_each(|silent| losses.record_crash(silent.start_confirmed));
            });
        }
        self.replan = true;
        self.fail_crashing_jobs(tasks, now);
    }

    /// Fails the jobs of tasks that keep crashing workers. Each further start would take down
    /// another worker with everything that runs on it.
    ///
    /// A long-running task is to run again however it ends. It starts in isolation and not too soon
    /// after its last start instead.
    pub(super) fn fail_crashing_jobs(&mut self, tasks: &[TaskKey], now: Now) {
        for task in tasks {
            let job = &task.group.job;
            if self.step(&task.group).is_none_or(|step| step.long_running) {
                continue;
            }
            let is_open = self.jobs.get(job).is_some_and(|job| job.outcome.is_none());
            let losses = self.task(task).map(|task| &task.losses);
            if let Some(losses) = losses.filter(|losses| is_open && self.reaches_loss_limit(losses))
            {
                let TaskLosses {
                    crashes,
                    unanswered,
                    ..
                } = losses;
                let why = format!(
                    "{task}: {crashes} workers crashed under it, {unanswered} more without an answer"
                );
                self.end_job(job, Outcome::Failed, &why, now);
            }
        }
    }

    /// Clears the losses of a long-running task once its run has lasted long enough, because
    /// workers also crash occasionally for reasons other than the task.
    pub(super) fn clear_losses_once_proven(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let forgiven_after = self.policy.health.crashes_forgiven_after;
        let has_run_long = self.run_at(id, task).is_some_and(|run| {
            run.began
                .is_some_and(|(at, _)| now.at - at >= forgiven_after)
        });
        let has_losses = |task: &Task| !task.losses.is_empty();
        if has_run_long && self.task(task).is_some_and(has_losses) {
            self.update_losses(task, |losses| *losses = TaskLosses::default());
        }
    }

    /// Restores the silent workers whose losses an earlier planner had not settled.
    pub(super) fn restore_losses(&mut self, job: &JobId, progress: &Progress, now: Now) {
        for (key, group) in progress.unfinished_groups(job) {
            for (index, losses) in &group.losses {
                for silent in &losses.silent {
                    let worker = self.get_or_insert_worker(&silent.worker, now);
                    worker.lost_tasks.push(key.task(*index));
                }
            }
        }
    }

    /// Changes the losses of an unfinished task, and its job's progress with them.
    fn update_losses(&mut self, task: &TaskKey, change: impl FnOnce(&mut TaskLosses)) {
        let key = &task.group;
        let job = self.jobs.get_mut(&key.job);
        let Some(job) = job.filter(|job| job.outcome.is_none()) else {
            return;
        };
        let Some(entry) = job.task_mut(task).filter(|entry| !entry.done) else {
            return;
        };
        change(&mut entry.losses);
        job.record_change();
        self.changed_jobs.insert(key.job.clone());
    }

    /// Logs a decision for each run that was lost with its worker, with the failures and crashes of
    /// its task so far and their limits, and how the loss was timed.
    fn log_losses(&mut self, id: &WorkerId, lost: LostIncarnation, runs: &[(TaskKey, Run)]) {
        let max_crashes = self.policy.health.max_crashes;
        for (task, run) in runs.iter().filter(|(_, run)| run.was_started()) {
            let failures = self.failures(task);
            let attempts = self.attempts(&task.group.job).unwrap_or(0);
            let losses = self.task(task).map(|task| task.losses.clone());
            let TaskLosses {
                crashes,
                unanswered,
                silent,
            } = losses.unwrap_or_default();
            let silent = silent.len();
            let percent = run.percent;
            let why = format!(
                "lost with its worker at {percent} percent; {failures} of {attempts} failures, \
                 {crashes} of {max_crashes} crashes so far, {unanswered} without an answer, {silent} workers silent; {}",
                describe_timing(run, lost)
            );
            let loss = Decision::of_run(DecisionKind::Loss, task, run.number, id, why);
            self.decisions.push(loss);
        }
    }

    pub(super) fn task(&self, task: &TaskKey) -> Option<&Task> {
        let group = self.jobs.get(&task.group.job)?.group(&task.group)?;
        group.tasks.get(task.index as usize)
    }

    /// Returns whether a task with these losses has reached a limit, so that its job fails.
    const fn reaches_loss_limit(&self, losses: &TaskLosses) -> bool {
        let health = &self.policy.health;
        let all = losses.crashes.saturating_add(losses.unanswered);
        losses.crashes >= health.max_crashes || all >= health.max_losses
    }

    /// Returns whether a task of a step must not start now because it may have crashed workers: until
    /// it is known whether it has, or, if the step is long-running, until some time after its last
    /// start.
    pub(super) fn is_blocked_by_losses(&self, step: &StepSpec, task: &Task, now: Now) -> bool {
        let may_crash_workers = self.reaches_loss_limit(&task.losses.assuming_crashed());
        if !step.long_running {
            return may_crash_workers;
        }
        let interval = self.policy.health.crashing_start_interval;
        let has_just_started = task.started_at.is_some_and(|at| now.at - at < interval);
        may_crash_workers && has_just_started
    }
}

/// Describes when a run began and was last listed and how long it should take, and when its lost
/// worker last answered and began its next incarnation, in milliseconds after the last start order.
fn describe_timing(run: &Run, lost: LostIncarnation) -> String {
    let after_order = |at: Option<Timestamp>| {
        at.map_or_else(
            || "unknown".to_owned(),
            |at| millis(at - run.ordered_at).to_string(),
        )
    };
    let listed_at = Some(run.reported_at).filter(|_| run.is_listed);
    format!(
        "began {}, listed {}, expected {}, answered {}, restarted {} ms after its start",
        after_order(run.began.map(|(at, _)| at)),
        after_order(listed_at),
        run.expected_ms,
        after_order(lost.last_answer_at),
        after_order(lost.successor_began_at),
    )
}

impl Run {
    /// Returns whether a start order for this run was sent.
    pub(super) fn was_started(&self) -> bool {
        self.state != RunState::Planned
    }
}
