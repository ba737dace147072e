//! Which tasks workers have crashed under, and when such a task is given up.
//!
//! A worker that crashes lists no end of what ran there: only the loss itself tells of work that
//! crashes its workers. So each loss is counted before the task starts again, and the count lasts
//! with the job's progress. A worker that is silent beyond its lease may be cut off only: what it had is
//! counted at once, and taken back when that life of the worker answers.

use super::job::Task;
use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, Outcome, Progress, SilentWorker, TaskKey, TaskLosses};
use crate::{JobId, Timestamp, WorkerId};

mod attribution;
mod isolation;

impl Planner {
    /// Counts a crash against the tasks that a worker whose life is over may have crashed under;
    /// returns them.
    pub(super) fn count_crash(
        &mut self,
        id: &WorkerId,
        heard_at: Option<Timestamp>,
        runs: &[(TaskKey, Run)],
    ) -> Vec<TaskKey> {
        let blamed = self.blamed(heard_at, runs);
        for (task, answered) in &blamed {
            self.change_losses(task, |losses| losses.record_crash(*answered));
        }
        self.tell_losses(id, runs);
        blamed.into_iter().map(|(task, _)| task).collect()
    }

    /// Counts the silence of a worker beyond its lease against the tasks that it may have crashed
    /// under.
    pub(super) fn count_silence(&mut self, id: &WorkerId, runs: &[(TaskKey, Run)]) {
        let Some(worker) = self.workers.get(id).filter(|worker| !worker.is_leaving()) else {
            return;
        };
        let blamed = self.blamed(worker.incarnation_state.last_answer_at, runs);
        for (task, answered) in &blamed {
            let silent = SilentWorker {
                worker: id.clone(),
                incarnation: self.run_at(id, task).and_then(|run| run.incarnation),
                start_confirmed: *answered,
            };
            self.change_losses(task, |losses| losses.silent.push(silent));
        }
        self.tell_losses(id, runs);
        if let Some(worker) = self.workers.get_mut(id) {
            worker
                .lost_tasks
                .extend(blamed.into_iter().map(|(task, _)| task));
        }
    }

    /// Takes back what was counted against tasks because of a worker that did not crash.
    pub(super) fn retract_losses(&mut self, id: &WorkerId, tasks: &[TaskKey]) {
        for task in tasks {
            self.change_losses(task, |losses| {
                losses.take_silent(id);
            });
        }
        self.replan |= !tasks.is_empty();
    }

    /// Takes a silent worker for crashed.
    pub(super) fn confirm_crashes(&mut self, id: &WorkerId, tasks: &[TaskKey]) {
        for task in tasks {
            self.change_losses(task, |losses| {
                for silent in losses.take_silent(id) {
                    losses.record_crash(silent.start_confirmed);
                }
            });
        }
    }

    /// Settles what was counted because of a worker's silence, now that a life of it is heard: that
    /// life did not crash, one before it did.
    pub(super) fn settle_silence(&mut self, id: &WorkerId, tasks: &[TaskKey], now: Now) {
        let Some(worker) = self.workers.get(id).filter(|_| !tasks.is_empty()) else {
            return;
        };
        let life = worker.incarnation_state.clone();
        for task in tasks {
            self.change_losses(task, |losses| {
                let settled = losses.take_silent(id);
                let crashed = settled
                    .iter()
                    .filter(|silent| life.differs_from(silent.incarnation));
                crashed.for_each(|silent| losses.record_crash(silent.start_confirmed));
            });
        }
        self.replan = true;
        self.fail_crashing_jobs(tasks, now);
    }

    /// Fails the jobs of those tasks that workers crash under again and again: each further start
    /// would take another worker down, with all that runs there.
    pub(super) fn fail_crashing_jobs(&mut self, tasks: &[TaskKey], now: Now) {
        for task in tasks {
            let job = &task.group.job;
            let is_open = self.jobs.get(job).is_some_and(|job| job.outcome.is_none());
            let losses = self.task(task).map(|task| &task.losses);
            if let Some(losses) = losses.filter(|losses| is_open && self.is_too_much(losses)) {
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

    /// Forgets the losses of a task that is to last and has now been at work for long: workers crash
    /// by themselves now and then.
    pub(super) fn note_at_work(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let forgiven_after = self.policy.health.crashes_forgiven_after;
        let has_lasted = self.run_at(id, task).is_some_and(|run| {
            run.began
                .is_some_and(|(at, _)| now.at - at >= forgiven_after)
        });
        let has_losses = |task: &Task| !task.losses.is_empty();
        if has_lasted && self.task(task).is_some_and(has_losses) {
            self.change_losses(task, |losses| *losses = TaskLosses::default());
        }
    }

    /// Takes the losses that an earlier planner could not settle.
    pub(super) fn restore_losses(&mut self, job: &JobId, progress: &Progress, now: Now) {
        for (key, group) in progress.unfinished_groups(job) {
            for (index, losses) in &group.losses {
                for silent in &losses.silent {
                    let worker = self.recorded_worker(&silent.worker, now);
                    worker.lost_tasks.push(key.task(*index));
                }
            }
        }
    }

    fn change_losses(&mut self, task: &TaskKey, change: impl FnOnce(&mut TaskLosses)) {
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
        self.changed.insert(key.job.clone());
    }

    /// Says which runs were lost with their worker, and how much their tasks have used up of what they
    /// may.
    fn tell_losses(&mut self, id: &WorkerId, runs: &[(TaskKey, Run)]) {
        let most = self.policy.health.max_crashes;
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
                 {crashes} of {most} crashes so far, {unanswered} without an answer, {silent} workers silent"
            );
            let loss = Decision::of_run(DecisionKind::Loss, task, run.number, id, why);
            self.decisions.push(loss);
        }
    }

    pub(super) fn task(&self, task: &TaskKey) -> Option<&Task> {
        let group = self.jobs.get(&task.group.job)?.group(&task.group)?;
        group.tasks.get(task.index as usize)
    }

    /// Tells whether a task with such losses is given up.
    const fn is_too_much(&self, losses: &TaskLosses) -> bool {
        let health = &self.policy.health;
        let all = losses.crashes.saturating_add(losses.unanswered);
        losses.crashes >= health.max_crashes || all >= health.max_losses
    }

    /// Tells whether a task must not start until it is known whether workers have crashed under it.
    pub(super) fn is_blocked_by_losses(&self, task: &Task) -> bool {
        self.is_too_much(&task.losses.assuming_crashed())
    }
}

impl Run {
    /// Tells whether a start of it was sent.
    pub(super) fn was_started(&self) -> bool {
        self.state != RunState::Planned
    }
}
