//! Which tasks workers have crashed under, and when such a task is given up.
//!
//! A worker that crashes lists no end of what ran there: only the loss itself tells of work that
//! crashes its workers. So each loss is counted before the task starts again, and the count lasts
//! with the job's progress. A worker that is silent beyond its lease may be cut off only: what it had is
//! counted at once, and taken back when that life of the worker answers.

use std::time::Duration;

use super::job::Task;
use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, GroupKey, Outcome, Progress, TaskKey};
use crate::{JobId, Timestamp, WorkerId};

impl Planner {
    /// Counts a crash against the tasks that a worker whose life is over may have crashed under;
    /// returns them.
    pub(super) fn count_crash(
        &mut self,
        id: &WorkerId,
        worker: &Worker,
        runs: &[(TaskKey, Run)],
    ) -> Vec<TaskKey> {
        let blamed = self.blamed(worker, runs);
        for task in &blamed {
            self.change_losses(task, |task| task.losses.crashes += 1);
        }
        self.tell_losses(id, runs);
        blamed
    }

    /// Counts the silence of a worker beyond its lease against the tasks that it may have crashed
    /// under.
    pub(super) fn count_silence(&mut self, id: &WorkerId, runs: &[(TaskKey, Run)]) {
        let Some(worker) = self.workers.get(id).filter(|worker| !worker.leaves()) else {
            return;
        };
        let blamed = self.blamed(worker, runs);
        for task in &blamed {
            self.change_losses(task, |task| task.losses.silent.push(id.clone()));
        }
        self.tell_losses(id, runs);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lost.extend(blamed);
        }
    }

    /// Takes back what was counted against tasks because of a worker that did not crash.
    pub(super) fn forgive(&mut self, id: &WorkerId, tasks: &[TaskKey]) {
        for task in tasks {
            self.change_losses(task, |task| {
                task.losses.silent.retain(|silent| silent != id);
            });
        }
        self.replan |= !tasks.is_empty();
    }

    /// Takes a silent worker for crashed.
    pub(super) fn confirm(&mut self, id: &WorkerId, tasks: &[TaskKey]) {
        for task in tasks {
            self.change_losses(task, |task| {
                let before = task.losses.silent.len();
                task.losses.silent.retain(|silent| silent != id);
                let confirmed = before - task.losses.silent.len();
                task.losses.crashes += u32::try_from(confirmed).unwrap_or(u32::MAX);
            });
        }
    }

    /// Fails the jobs of those tasks that workers crash under again and again: each further start
    /// would take another worker down, with all that runs there.
    pub(super) fn give_up_crashing(&mut self, tasks: &[TaskKey], now: Now) {
        let most = self.policy.health.max_crashes;
        for task in tasks {
            let crashes = self.task(task).map_or(0, |task| task.losses.crashes);
            let job = &task.group.job;
            let is_open = self.jobs.get(job).is_some_and(|job| job.outcome.is_none());
            if is_open && crashes >= most {
                let why = format!("{task}: {crashes} workers crashed under it");
                self.end_job(job, Outcome::Failed, &why, now);
            }
        }
    }

    /// Forgets the losses of a task that is to last and has now been at work for long: workers crash
    /// by themselves now and then.
    pub(super) fn note_at_work(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let forgiven_after = self.policy.health.crashes_forgiven_after;
        let has_lasted = self.run_at(id, task).is_some_and(|run| {
            let began = run.began.filter(|_| run.lasts);
            began.is_some_and(|(at, _)| now.at - at >= forgiven_after)
        });
        let has_losses = |task: &Task| task.losses.crashes > 0;
        if has_lasted && self.task(task).is_some_and(has_losses) {
            self.change_losses(task, |task| task.losses.crashes = 0);
        }
    }

    /// Takes the losses that an earlier planner could not settle.
    pub(super) fn restore_losses(&mut self, job: &JobId, progress: &Progress, now: Now) {
        if progress.outcome.is_some() {
            return;
        }
        for (occurrence, groups) in (0..).zip(&progress.occurrences) {
            for (step, group) in (0..).zip(groups) {
                for (index, losses) in &group.losses {
                    for id in &losses.silent {
                        let task = TaskKey::new(job.clone(), occurrence, step, *index);
                        let worker = self.workers.entry(id.clone());
                        let worker = worker.or_insert_with(|| Worker::unlisted(id, now.at));
                        worker.lost.push(task);
                    }
                }
            }
        }
    }

    /// Returns the tasks that a worker may have crashed under: what had just begun there, and what it was
    /// told to start and did not answer, or else all that ran.
    ///
    /// Without the difference a task that crashes its workers at once takes others with it: in a recorded day
    /// two of its neighbours each lost two workers while it lost six.
    fn blamed(&self, worker: &Worker, runs: &[(TaskKey, Run)]) -> Vec<TaskKey> {
        let fresh_start = self.policy.health.fresh_start;
        let had_just_begun = |run: &Run| {
            let ran_for = run.began.zip(worker.heard_at);
            ran_for.is_some_and(|((began, _), heard_at)| heard_at - began <= fresh_start)
        };
        let started = runs.iter().filter(|(_, run)| run.was_started());
        // A start without an answer may also have come after the crash.
        let any_fresh = started.clone().any(|(_, run)| had_just_begun(run));
        let is_blamed = |run: &Run| !any_fresh || run.began.is_none() || had_just_begun(run);
        let blamed = started.filter(|(_, run)| is_blamed(run));
        blamed.map(|(task, _)| task.clone()).collect()
    }

    fn change_losses(&mut self, task: &TaskKey, change: impl FnOnce(&mut Task)) {
        let key = &task.group;
        let job = self.jobs.get_mut(&key.job);
        let Some(job) = job.filter(|job| job.outcome.is_none()) else {
            return;
        };
        let Some(entry) = job.task_mut(task).filter(|entry| !entry.done) else {
            return;
        };
        change(entry);
        job.change();
        self.changed.insert(key.job.clone());
    }

    /// Says which runs were lost with their worker, and how much their tasks have used up of what they
    /// may.
    fn tell_losses(&mut self, id: &WorkerId, runs: &[(TaskKey, Run)]) {
        let most = self.policy.health.max_crashes;
        for (task, run) in runs.iter().filter(|(_, run)| run.was_started()) {
            let failures = self.failures(task);
            let attempts = self.attempts(&task.group.job).unwrap_or(0);
            let losses = self.task(task).map(|task| &task.losses);
            let crashes = losses.map_or(0, |losses| losses.crashes);
            let silent = losses.map_or(0, |losses| losses.silent.len());
            let percent = run.percent;
            let why = format!(
                "lost with its worker at {percent} percent; {failures} of {attempts} failures, \
                 {crashes} of {most} crashes so far and {silent} silent workers"
            );
            let loss = Decision::of_run(DecisionKind::Loss, task, run.number, id, why);
            self.decisions.push(loss);
        }
    }

    fn task(&self, task: &TaskKey) -> Option<&Task> {
        let group = self.jobs.get(&task.group.job)?.group(&task.group)?;
        group.tasks.get(task.index as usize)
    }

    /// Tells whether a task must not start until it is known whether workers have crashed under it.
    pub(super) fn is_held(&self, task: &Task) -> bool {
        task.losses.count() >= self.policy.health.max_crashes
    }

    /// Tells whether a task with so many losses is given up at the next one.
    pub(super) const fn is_last_chance(&self, losses: u32) -> bool {
        losses + 1 == self.policy.health.max_crashes
    }

    /// Returns how many workers have been lost under a task.
    pub(super) fn losses(&self, task: &TaskKey) -> u32 {
        self.task(task).map_or(0, |task| task.losses.count())
    }

    /// Returns which workers a step's tasks must keep away from.
    pub(super) fn apart(&self, key: &GroupKey, urgent: bool, now: Now) -> Apart<'_> {
        let job = self.jobs.get_key_value(&key.job).map(|(id, _)| id);
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        let waiting = group.into_iter().flat_map(|group| &group.tasks);
        let mut waiting = waiting.filter(|task| task.is_waiting());
        let takes_last_chance = waiting.any(|task| self.is_last_chance(task.losses.count()));
        let has_patience = self.waited(key, now) <= self.suspect_patience(urgent);
        Apart {
            job,
            fresh_start: self.policy.health.fresh_start,
            wants_quiet: takes_last_chance && has_patience,
        }
    }
}

/// Keeps what takes its last chance apart from what else has just started, so that a crash right after
/// the start leaves no doubt about its cause.
pub(super) struct Apart<'a> {
    job: Option<&'a JobId>,
    fresh_start: Duration,
    /// Whether it takes a last chance itself, and still waits for a worker where nothing has just started.
    wants_quiet: bool,
}

impl Apart<'_> {
    /// Tells whether tasks may start at a worker.
    pub(super) fn allows(&self, worker: &Worker, at: Timestamp) -> bool {
        let is_other = |task: &TaskKey| self.job != Some(&task.group.job);
        let is_fresh = |run: &Run| run.was_fresh(at, self.fresh_start);
        let last_chance = worker.last_chance.as_ref().filter(|task| is_other(task));
        if last_chance.is_some_and(|task| worker.runs.get(task).is_some_and(is_fresh)) {
            return false;
        }
        let mut others = worker.runs.iter().filter(|(task, _)| is_other(task));
        !self.wants_quiet || !others.any(|(_, run)| is_fresh(run))
    }
}

impl Run {
    /// Tells whether a start of it was sent.
    fn was_started(&self) -> bool {
        self.state != RunState::Planned
    }

    /// Tells whether it had just begun at a moment, or had not begun yet.
    fn was_fresh(&self, at: Timestamp, fresh_start: Duration) -> bool {
        self.began
            .is_none_or(|(began, _)| at - began <= fresh_start)
    }
}
