//! What the end of a run means for its task, its gang and its job.

use std::time::Duration;

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, Outcome, RunEnd, RunEndKind, Setback, TaskKey};
use crate::time::millis;
use crate::{JobId, Timestamp, WorkerId};

impl Planner {
    /// Takes an end that a worker lists; it is told to forget it once the change lasts.
    pub(super) fn take_end(&mut self, id: &WorkerId, end: &RunEnd, now: Now) {
        let change = self.apply_end(id, end, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.incarnation_state.note_end(end.number, change);
        }
        self.replan = true;
    }

    fn apply_end(&mut self, id: &WorkerId, end: &RunEnd, now: Now) -> Option<(JobId, u64)> {
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
        let early = run
            .as_ref()
            .is_some_and(|run| run.failed_early(now.at, early_failure));
        self.note_health(id, end, early, now);
        let detail = run.as_ref().map_or_else(
            || "it was not expected there".to_owned(),
            |run| describe(run, now),
        );
        self.decisions.push(Decision::of_run(
            DecisionKind::End,
            &end.task,
            end.run,
            id,
            format!("{}; {detail}", end.kind.as_str()),
        ));
        match end.kind {
            RunEndKind::Done => {
                self.note_span(id, &end.task, run.as_ref(), now);
                if let Some(run) = &run {
                    self.learn_pace_from_end(id, &end.task, run, now);
                    self.learn_run_time(id, &end.task, run, now);
                }
                self.take_done(&end.task, now);
            }
            RunEndKind::Failed => {
                self.record_setback(&end.task.group.job, Setback::Failed);
                self.take_failure(id, &end.task, end.run, now);
            }
            RunEndKind::LeaseExpired => self.record_setback(&end.task.group.job, Setback::Lost),
            _ => {}
        }
        self.keep_checkpoint(end);
        if let Some(run) = run {
            self.release_task(id, &end.task, &run, end.kind.as_str());
        }
        if end.kind != RunEndKind::Done {
            self.stop_gang(&end.task, end.run, "another member of its gang ended", now);
        }
        self.last_change(&end.task.group.job)
    }

    /// Takes the ends that a worker listed which is no longer known: what is done is not started
    /// again, and what failed counts.
    pub(super) fn take_late_ends(&mut self, id: &WorkerId, ended: &[RunEnd], now: Now) {
        for end in ended {
            if self.task(&end.task).is_none_or(|task| task.done) {
                continue;
            }
            if !matches!(end.kind, RunEndKind::Done | RunEndKind::Failed) {
                continue;
            }
            let why = format!("{}; its worker is no longer known", end.kind.as_str());
            let heard = Decision::of_run(DecisionKind::End, &end.task, end.run, id, why);
            self.decisions.push(heard);
            if end.kind == RunEndKind::Done {
                self.take_done(&end.task, now);
            } else {
                self.take_failure(id, &end.task, end.run, now);
            }
            self.replan = true;
        }
    }

    /// Returns the change that must last before an end of the job may be forgotten: also an end
    /// that changes nothing, as that of another member of a gang, stands for one that did.
    fn last_change(&self, id: &JobId) -> Option<(JobId, u64)> {
        let job = self.jobs.get(id)?;
        Some((id.clone(), job.change_count))
    }

    fn keep_checkpoint(&mut self, end: &RunEnd) {
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

    /// Notes what a run's end says of its worker.
    ///
    /// Work that fails by its own fault fails at any point; a worker that
    /// fails all it starts does so at once.
    fn note_health(&mut self, id: &WorkerId, end: &RunEnd, early: bool, now: Now) {
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
                if early
                    || worker.incarnation_state.failed_jobs.len() >= usize::from(policy.failed_jobs)
                {
                    worker.incarnation_state.suspect_until =
                        Some(now.at + policy.suspect_after_failure);
                    let why = "tasks fail there: nothing new for a while";
                    self.decisions.push(Decision::of_worker(id, why));
                }
                if early {
                    self.note_early_failure(&end.task);
                }
            }
            _ => {}
        }
    }

    fn note_early_failure(&mut self, task: &TaskKey) {
        let key = &task.group;
        if let Some(group) = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key)) {
            group.failed_early = true;
        }
    }

    /// Notes how long a task's whole work took, for the pace of those like it.
    fn note_span(&mut self, id: &WorkerId, task: &TaskKey, run: Option<&Run>, now: Now) {
        let Some((began, from)) = run.and_then(|run| run.began) else {
            return;
        };
        let done = u64::from(100_u8.saturating_sub(from)).max(1);
        let key = &task.group;
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let Some(slowdown) = step.map(|step| self.slowdown(step, id)) else {
            return;
        };
        let span = millis(now.at - began) * 100 / done / u64::from(slowdown);
        if let Some(group) = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key)) {
            group.durations_ms.push(span);
        }
    }

    fn take_done(&mut self, task: &TaskKey, now: Now) {
        let key = &task.group;
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some((is_gang, lasts)) = job.step(key).map(|step| (step.gang, step.long_running))
        else {
            return;
        };
        if job.outcome.is_some() || lasts {
            return;
        }
        let Some(group) = job.group_mut(key) else {
            return;
        };
        let of_run = |index: usize| is_gang || index == task.index as usize;
        let tasks = group.tasks.iter_mut().enumerate();
        for (_, task) in tasks.filter(|(index, _)| of_run(*index)) {
            task.done = true;
        }
        job.record_change();
        self.changed.insert(key.job.clone());
        self.changed_timelines.insert(key.job.clone());
        if job.is_complete() {
            self.end_job(&key.job, Outcome::Completed, "every task is done", now);
        } else {
            self.end_other_runs(task, is_gang, now);
        }
    }

    /// Marks runs at other workers whose tasks are done with this one.
    fn end_other_runs(&mut self, task: &TaskKey, is_gang: bool, now: Now) {
        let mut others = self.run_index.of_group(&task.group);
        others.retain(|(_, other)| is_gang || other == task);
        for (id, other) in others {
            self.note_unwanted(&id, &other, now);
        }
    }

    /// Notes that a run's task is done: one that was not sent is dropped, members of a gang end by
    /// themselves soon, others are stopped a little later.
    pub(super) fn note_unwanted(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
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

    fn take_failure(&mut self, id: &WorkerId, task: &TaskKey, run: u32, now: Now) {
        let key = &task.group;
        let Some(attempts) = self.attempts(&key.job) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some((is_gang, lasts)) = job.step(key).map(|step| (step.gang, step.long_running))
        else {
            return;
        };
        if job.outcome.is_some() || lasts {
            return;
        }
        let Some(group) = job.group_mut(key) else {
            return;
        };
        let Some(failures) = group.count_failure(id, task.index, run, is_gang) else {
            return;
        };
        job.record_change();
        self.changed.insert(key.job.clone());
        if failures >= attempts {
            let why = format!("{task} failed {failures} of {attempts} times");
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

    /// Returns how many runs of a task may fail, by the newest configuration that has its queue.
    pub(super) fn attempts(&self, id: &JobId) -> Option<u32> {
        let accepted = &self.jobs.get(id)?.accepted;
        let queue = self.catalog.queue(&accepted.queue.name);
        Some(queue.unwrap_or(&accepted.queue).attempts.max(1))
    }

    /// Gives a task whose run is over back to those that wait.
    pub(super) fn release_task(&mut self, id: &WorkerId, task: &TaskKey, run: &Run, why: &str) {
        let key = &task.group;
        let Some(group) = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key)) else {
            return;
        };
        let Some(entry) = group.tasks.get_mut(task.index as usize) else {
            return;
        };
        if entry.place.as_ref() == Some(id) {
            entry.place = None;
        }
        self.mark_timeline_changed(&key.job);
        log::trace!(target: "planner", task:% = task, run = run.number; "released: {why}");
        self.replan = true;
    }

    /// Takes a run for over that its worker does not list.
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
            DecisionKind::End,
            task,
            run.number,
            id,
            format!("{}; {why}; {}", kind.as_str(), describe(&run, now)),
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
        self.release_task(id, task, &run, why);
        if run.state != RunState::Planned {
            self.stop_gang(task, run.number, "another member of its gang is over", now);
        }
    }

    /// Stops the other members of a gang's run: they can't go on alone.
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
    /// Tells whether a failure now came sooner than the work could have failed by itself.
    fn failed_early(&self, at: Timestamp, early_failure: Duration) -> bool {
        self.began
            .is_none_or(|(began, _)| at - began < early_failure)
    }
}

fn describe(run: &Run, now: Now) -> String {
    let ran = run.began.map_or(0, |(at, _)| millis(now.at - at));
    format!("{} percent after {ran} ms", run.percent)
}
