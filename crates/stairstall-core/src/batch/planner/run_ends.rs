//! Effects of a run's end on its task, its gang and its job.

use std::time::Duration;

use super::job::Job;
use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::batch::{
    Decision, DecisionKind, GroupKey, Outcome, RunEnd, RunEndKind, Setback, TaskKey,
};
use crate::time::millis;
use crate::{JobId, Timestamp, WorkerId};

impl Planner {
    /// Handles a run end that a worker reports. It is acknowledged once the resulting change is
    /// stored, so that the worker may forget it.
    pub(super) fn handle_run_end(&mut self, id: &WorkerId, end: &RunEnd, now: Now) {
        let change = self.apply_run_end(id, end, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.incarnation_state.record_end(end.number, change);
        }
        self.replan = true;
    }

    fn apply_run_end(&mut self, id: &WorkerId, end: &RunEnd, now: Now) -> Option<(JobId, u64)> {
        self.workers.get(id)?;
        let is_present = self
            .run_at(id, &end.task)
            .is_some_and(|run| run.number <= end.run && run.state != RunState::Planned);
        let run = if is_present {
            self.remove_run(id, &end.task)
        } else {
            None
        };
        let early_failure = self.policy.health.early_failure;
        let failed_early = run
            .as_ref()
            .is_some_and(|run| run.failed_early(now.at, early_failure));
        self.record_worker_health(id, end, failed_early, now);
        let detail = run.as_ref().map_or_else(
            || "not expected at this worker".to_owned(),
            |run| describe_progress(run, now),
        );
        self.decisions.push(Decision::of_run(
            DecisionKind::of_end(end.kind),
            &end.task,
            end.run,
            id,
            format!("{}; {detail}", end.kind.as_str()),
        ));
        match end.kind {
            RunEndKind::Done => {
                self.record_duration(id, &end.task, run.as_ref(), now);
                if let Some(run) = &run {
                    self.learn_pace_from_end(id, &end.task, run, now);
                    self.learn_run_time(id, &end.task, run, now);
                }
                self.complete_task(&end.task, now);
            }
            RunEndKind::Failed => {
                self.releases.record_failure(id, now.at);
                self.record_setback(&end.task.group.job, Setback::Failed);
                self.record_failure(id, &end.task, end.run, now);
            }
            RunEndKind::LeaseExpired => self.record_setback(&end.task.group.job, Setback::Lost),
            _ => {}
        }
        self.update_checkpoint(end);
        if let Some(run) = run {
            // An earlier planner may have started it.
            self.end_idle_time(&end.task.group.job, now);
            self.release_task(id, &end.task, &run, end.kind.as_str(), now);
        }
        if end.kind != RunEndKind::Done {
            self.stop_gang(&end.task, end.run, "another member of its gang ended", now);
        }
        if end.kind == RunEndKind::GangBroken {
            self.record_broken(&end.task, end.run);
            self.end_departed_member(&end.task.group, end.run, now);
        }
        self.latest_change(&end.task.group.job)
    }

    /// Records that a run ended because another member of its gang had ended.
    fn record_broken(&mut self, task: &TaskKey, run: u32) {
        let job = self.jobs.get_mut(&task.group.job);
        if let Some(entry) = job.and_then(|job| job.task_mut(task)) {
            entry.last_broken_run = entry.last_broken_run.max(run);
        }
    }

    /// Ends the run of a gang's last member whose end is not known, if its worker is no longer listed
    /// and does not answer.
    ///
    /// All other members ended because another one had ended, which can only be this one. So its
    /// lease need not be waited for.
    fn end_departed_member(&mut self, key: &GroupKey, number: u32, now: Now) {
        let Some((id, task)) = self.only_unbroken_member(key, number) else {
            return;
        };
        let has_departed = |worker: &Worker| !worker.is_listed && !worker.is_in_contact();
        if !self.workers.get(&id).is_some_and(has_departed) {
            return;
        }
        let run = self.run_at(&id, &task);
        let run = run.filter(|run| run.number == number && !run.may_start_late(now.at));
        let Some(run) = run.cloned() else {
            return;
        };
        self.count_silence(&id, &[(task.clone(), run)]);
        let why = "its worker is no longer listed, and its gang ended without it";
        self.end_unreported_run(&id, &task, RunEndKind::LeaseExpired, why, now);
        self.remove_if_gone(&id, now);
    }

    /// Returns the only member of a gang that is not known to have ended because of another one in
    /// the run `number`, and its worker.
    fn only_unbroken_member(&self, key: &GroupKey, number: u32) -> Option<(WorkerId, TaskKey)> {
        self.step(key).filter(|step| step.gang)?;
        let group = self.group_of(key)?;
        let tasks = (0..).zip(&group.tasks);
        let mut unbroken = tasks.filter(|(_, task)| task.last_broken_run != number);
        let (index, task) = unbroken.next()?;
        let is_only = unbroken.next().is_none() && group.tasks.len() > 1;
        let id = task.worker.clone().filter(|_| is_only)?;
        Some((id, key.task(index)))
    }

    /// Handles run ends reported by a worker that is no longer known: finished tasks are not
    /// started again, and failures count.
    pub(super) fn handle_late_run_ends(&mut self, id: &WorkerId, ended: &[RunEnd], now: Now) {
        for end in ended {
            if self.task(&end.task).is_none_or(|task| task.done) {
                continue;
            }
            if !matches!(end.kind, RunEndKind::Done | RunEndKind::Failed) {
                continue;
            }
            let why = format!("{}; its worker is no longer known", end.kind.as_str());
            let kind = DecisionKind::of_end(end.kind);
            let decision = Decision::of_run(kind, &end.task, end.run, id, why);
            self.decisions.push(decision);
            if end.kind == RunEndKind::Done {
                self.complete_task(&end.task, now);
            } else {
                self.record_failure(id, &end.task, end.run, now);
            }
            self.replan = true;
        }
    }

    /// Returns the change that must be stored before a run end of the job may be acknowledged. This
    /// also holds for a run end that changed nothing itself, because the change that it reports may
    /// already have been made by another one, such as that of another member of its gang.
    fn latest_change(&self, id: &JobId) -> Option<(JobId, u64)> {
        if self.is_held_back(id) {
            // No change of such a job is stored in this tenure.
            return Some((id.clone(), 0));
        }
        let job = self.jobs.get(id)?;
        Some((id.clone(), job.change_count))
    }

    /// Records the checkpoint that a run end reports.
    fn update_checkpoint(&mut self, end: &RunEnd) {
        if end.checkpoint.is_none() {
            return;
        }
        let key = &end.task.group;
        if let Some(group) = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key))
            && let Some(task) = group.tasks.get_mut(end.task.index as usize)
        {
            task.checkpoint.clone_from(&end.checkpoint);
        }
    }

    /// Records what a run's end says about the health of its worker.
    ///
    /// A task that fails by its own fault may fail at any point of its work. A worker that fails
    /// everything it starts does so at once.
    fn record_worker_health(&mut self, id: &WorkerId, end: &RunEnd, failed_early: bool, now: Now) {
        let policy = self.policy.health;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match end.kind {
            RunEndKind::Done => {
                worker.incarnation_state.succeeded_at = Some(now.at);
                worker.incarnation_state.failed_jobs.clear();
                worker.incarnation_state.suspect_until = None;
            }
            RunEndKind::Failed => {
                let job = &end.task.group.job;
                if !worker.incarnation_state.failed_jobs.contains(job) {
                    worker.incarnation_state.failed_jobs.push(job.clone());
                }
                if failed_early
                    || worker.incarnation_state.failed_jobs.len() >= usize::from(policy.failed_jobs)
                {
                    worker.incarnation_state.suspect_until =
                        Some(now.at + policy.suspect_after_failure);
                    let why = "tasks fail on this worker; no new tasks for a while";
                    self.decisions.push(Decision::of_worker(id, why));
                }
                if failed_early {
                    self.record_early_failure(&end.task);
                }
            }
            _ => {}
        }
    }

    /// Records that a run of a step failed so early that its worker is the likely cause.
    fn record_early_failure(&mut self, task: &TaskKey) {
        let key = &task.group;
        if let Some(group) = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key)) {
            group.failed_early = true;
        }
    }

    /// Records how long the whole work of a task took, as a reference for tasks of the same group.
    fn record_duration(&mut self, id: &WorkerId, task: &TaskKey, run: Option<&Run>, now: Now) {
        let Some(whole) = run.and_then(|run| run.whole_duration(now.at)) else {
            return;
        };
        let key = &task.group;
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let Some(slowdown) = step.map(|step| self.slowdown(step, id)) else {
            return;
        };
        let duration_ms = millis(whole) / u64::from(slowdown);
        if let Some(group) = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key)) {
            group.durations_ms.push(duration_ms);
        }
    }

    pub(super) fn complete_task(&mut self, task: &TaskKey, now: Now) {
        let key = &task.group;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(is_gang) = gang_if_ends_count(job, key) else {
            return;
        };
        let Some(group) = job.group_mut(key) else {
            return;
        };
        let is_covered = |index: usize| is_gang || index == task.index as usize;
        let tasks = group.tasks.iter_mut().enumerate();
        for (_, task) in tasks.filter(|(index, _)| is_covered(*index)) {
            task.done = true;
        }
        job.record_change();
        self.changed_jobs.insert(key.job.clone());
        self.changed_timelines.insert(key.job.clone());
        if job.is_complete() {
            self.end_job(&key.job, Outcome::Completed, "every task is done", now);
        } else {
            self.mark_other_runs_redundant(task, is_gang, now);
        }
    }

    /// Marks runs on other workers as redundant because their tasks are done with this run.
    fn mark_other_runs_redundant(&mut self, task: &TaskKey, is_gang: bool, now: Now) {
        let mut others = self.run_index.of_group(&task.group);
        others.retain(|(_, other)| is_gang || other == task);
        for (id, other) in others {
            self.mark_redundant(&id, &other, now);
        }
    }

    /// Handles a run whose task is done by another run. A planned run is dropped. A run whose start
    /// was sent is marked as redundant: members of a gang soon end by themselves, other runs are
    /// stopped a little later.
    pub(super) fn mark_redundant(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(run) = worker.runs.get_mut(task) {
            if run.state == RunState::Planned {
                self.stop_run(id, task, "the task is done", now);
                return;
            }
            run.redundant_since.get_or_insert(now.at);
            worker.has_unsettled = true;
        }
    }

    fn record_failure(&mut self, id: &WorkerId, task: &TaskKey, run: u32, now: Now) {
        let key = &task.group;
        let Some(attempts) = self.attempts(&key.job) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(is_gang) = gang_if_ends_count(job, key) else {
            return;
        };
        let Some(group) = job.group_mut(key) else {
            return;
        };
        let Some(failures) = group.count_failure(id, task.index, run, is_gang) else {
            return;
        };
        job.record_change();
        self.changed_jobs.insert(key.job.clone());
        if failures >= attempts {
            let why = format!("{task}: {failures} of {attempts} attempts failed");
            self.end_job(&key.job, Outcome::Failed, &why, now);
        }
    }

    /// Returns how many runs of a task, or of its gang, have failed.
    pub(super) fn failures(&self, task: &TaskKey) -> u32 {
        let group = self
            .jobs
            .get(&task.group.job)
            .and_then(|j| j.group(&task.group));
        let own = group.and_then(|group| group.tasks.get(task.index as usize));
        let of_gang = group.map_or(0, |group| group.gang_failures);
        own.map_or(of_gang, |own| own.failures.max(of_gang))
    }

    /// Returns how many runs of a task may fail. The newest configuration that has the job's queue
    /// applies.
    pub(super) fn attempts(&self, id: &JobId) -> Option<u32> {
        let accepted = &self.jobs.get(id)?.accepted;
        let queue = self.catalog.queue(&accepted.queue.name);
        Some(queue.unwrap_or(&accepted.queue).attempts.max(1))
    }

    /// Returns a task whose run has ended to the waiting state.
    pub(super) fn release_task(
        &mut self,
        id: &WorkerId,
        task: &TaskKey,
        run: &Run,
        why: &str,
        now: Now,
    ) {
        self.releases.record(id, now.at);
        let key = &task.group;
        let Some(group) = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key)) else {
            return;
        };
        let Some(entry) = group.tasks.get_mut(task.index as usize) else {
            return;
        };
        if entry.worker.as_ref() == Some(id) {
            entry.worker = None;
            // A placement that was given up has ended no wait.
            entry.idle_since = entry.idle_since.filter(|_| run.state == RunState::Planned);
            self.record_release(key, run);
        }
        self.mark_timeline_changed(&key.job);
        log::trace!(target: "planner", task:% = task, run = run.number; "released: {why}");
        self.replan = true;
    }

    /// Records that a run's placement is over, if its worker had confirmed the start.
    ///
    /// Otherwise the next planner would take the run for one under which its worker has crashed, if
    /// the worker restarts before the task is placed again.
    fn record_release(&mut self, key: &GroupKey, run: &Run) {
        if !run.start_confirmed {
            return;
        }
        let job = self.jobs.get_mut(&key.job);
        // The record of an ended job has no placements.
        if let Some(job) = job.filter(|job| job.outcome.is_none()) {
            job.record_change();
            self.changed_jobs.insert(key.job.clone());
        }
    }

    /// Ends a run without a report of its end, because its worker does not list it or is lost.
    pub(super) fn end_unreported_run(
        &mut self,
        id: &WorkerId,
        task: &TaskKey,
        kind: RunEndKind,
        why: &str,
        now: Now,
    ) {
        let Some(run) = self.remove_run(id, task) else {
            return;
        };
        self.decisions.push(Decision::of_run(
            DecisionKind::of_end(kind),
            task,
            run.number,
            id,
            format!("{}; {why}; {}", kind.as_str(), describe_progress(&run, now)),
        ));
        if run.state != RunState::Planned {
            let is_lost = kind == RunEndKind::LeaseExpired;
            let setback = if is_lost {
                Setback::Lost
            } else {
                Setback::NotStarted
            };
            self.record_setback(&task.group.job, setback);
        }
        self.release_task(id, task, &run, why, now);
        if run.state != RunState::Planned {
            self.stop_gang(
                task,
                run.number,
                "another member of its gang has ended",
                now,
            );
        }
    }

    /// Stops the other members of a gang's run, because a gang cannot continue without one of them.
    pub(super) fn stop_gang(&mut self, task: &TaskKey, run: u32, why: &str, now: Now) {
        let key = &task.group;
        let is_gang = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.step(key))
            .is_some_and(|step| step.gang);
        if !is_gang {
            return;
        }
        let mut members = self.run_index.of_group(key);
        members.retain(|(id, member)| {
            let member = self.run_at(id, member);
            member.is_some_and(|member| member.number <= run)
        });
        for (id, member) in members {
            self.stop_run(&id, &member, why, now);
        }
    }
}

impl Run {
    /// Returns whether a run that fails at `at` failed too early for the task to be the cause.
    fn failed_early(&self, at: Timestamp, early_failure: Duration) -> bool {
        self.began
            .is_none_or(|(began, _)| at - began < early_failure)
    }
}

fn describe_progress(run: &Run, now: Now) -> String {
    let ran = run.began.map_or(0, |(at, _)| millis(now.at - at));
    format!("{} percent after {ran} ms", run.percent)
}

/// Returns whether a step's tasks form a gang, or `None` if their ends decide nothing: the job has
/// ended, or the step runs until the job is cancelled.
fn gang_if_ends_count(job: &Job, key: &GroupKey) -> Option<bool> {
    let step = job.step(key)?;
    let ends_count = job.outcome.is_none() && !step.long_running;
    ends_count.then_some(step.gang)
}
