//! Adoption of runs that an earlier planner started.

use std::time::Duration;

use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, Progress, RunPlacement, RunningTask, TaskKey, within};
use crate::{JobId, WorkerId};

impl Planner {
    /// Adopts a run that an earlier planner started and a worker reports. Stops the run if its task
    /// is not waiting for one.
    pub(super) fn adopt(&mut self, id: &WorkerId, running: &RunningTask, now: Now) {
        let key = &running.task.group;
        let is_needed = self.jobs.get(&key.job).is_some_and(|job| {
            let task = job
                .group(key)
                .and_then(|group| group.tasks.get(running.task.index as usize));
            // No planner gives numbers above this, and none could follow them.
            let is_ours = running.run <= within::MAX_RUN;
            is_ours && job.outcome.is_none() && task.is_some_and(super::job::Task::is_waiting)
        });
        let is_needed = is_needed || self.is_held_back(&key.job);
        let run = self.adopted_run(id, running, now);
        self.insert_run(id, &running.task, run);
        self.ranked_guaranteed_jobs = None;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // The earlier planner may have renewed the lease just before this tenure began.
        worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.lease_duration));
        let why = if is_needed {
            "still running"
        } else {
            "not needed"
        };
        self.decisions.push(Decision::of_run(
            DecisionKind::Adopt,
            &running.task,
            running.run,
            id,
            why,
        ));
        if !is_needed {
            self.stop_run(id, &running.task, "no task waits for this run", now);
            return;
        }
        self.end_idle_time(&key.job, now);
        let incarnation = self.incarnation_of(id);
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.has_started = true;
            if let Some(group) = job.group_mut(key) {
                group.last_run = group.last_run.max(running.run);
                let task = &mut group.tasks[running.task.index as usize];
                task.worker = Some(id.clone());
                task.run = running.run;
                task.incarnation = incarnation;
                task.start_confirmed = true;
            }
        }
        self.record_progress(running);
        self.mark_timeline_changed(&key.job);
    }

    /// Restores the stored placements of a job's unfinished tasks, so that their resources stay
    /// occupied.
    ///
    /// Tasks that are done, and jobs that have ended, take no resources. If one of their runs is
    /// still active, the worker's first report says so, and nothing is placed on the worker before
    /// that report.
    pub(super) fn restore_runs(&mut self, job: &JobId, progress: &Progress, now: Now) {
        for (key, group) in progress.unfinished_groups(job) {
            for (index, placement) in &group.placements {
                let task = key.task(*index);
                let is_done = self.task(&task).is_some_and(|task| task.done);
                if !is_done {
                    self.restore_run(placement, &task, now);
                    if let Some(until_unix_ms) = group.late_starts.get(index) {
                        self.restore_late_start(&placement.worker, &task, *until_unix_ms, now);
                    }
                }
            }
        }
    }

    /// Returns the worker with an ID from stored data. Adds it as unlisted if the directory has not
    /// listed it.
    pub(super) fn get_or_insert_worker(&mut self, id: &WorkerId, now: Now) -> &mut Worker {
        if !self.workers.contains_key(id) {
            let fence = self.next_fencing_token();
            let mut worker = Worker::unlisted(id, fence, now.at);
            worker.restore_late_acknowledgements(self.take_late_acknowledgements(id));
            self.workers.insert(id.clone(), worker);
        }
        self.workers
            .get_mut(id)
            .expect("the worker was inserted above")
    }

    fn restore_run(&mut self, placement: &RunPlacement, task: &TaskKey, now: Now) {
        let id = &placement.worker;
        let running = RunningTask {
            task: task.clone(),
            run: placement.run,
            checkpoint: None,
            percent: 0,
        };
        let mut run = self.adopted_run(id, &running, now);
        run.restored = true;
        run.resumes = true;
        run.incarnation = placement.incarnation;
        run.start_confirmed = placement.start_confirmed;
        run.is_listed = false;
        let lease_end = self.inherited_lease_end(id, now);
        self.get_or_insert_worker(id, now)
            .extend_inherited_lease(lease_end);
        self.insert_run(id, task, run);
        self.ranked_guaranteed_jobs = None;
    }

    /// Restores until when an unanswered start of an earlier planner may be carried out.
    fn restore_late_start(&mut self, id: &WorkerId, task: &TaskKey, until_unix_ms: u64, now: Now) {
        let left = Duration::from_millis(until_unix_ms.saturating_sub(now.unix_ms));
        let worker = self.workers.get_mut(id);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(task)) {
            run.late_start_until = Some(now.at + left.min(self.policy.orders.late_start));
        }
    }

    /// Handles the first report of a run that was restored from its stored placement. Stops the run
    /// if its job has ended or its gang is incomplete.
    pub(super) fn check_restored_run(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let key = &task.group;
        self.end_idle_time(&key.job, now);
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let is_gang_incomplete = job.step(key).is_some_and(|step| step.gang)
            && job
                .group(key)
                .is_some_and(|group| group.tasks.iter().any(super::job::Task::is_waiting));
        if job.outcome.is_some() {
            self.stop_run(id, task, "the job has ended", now);
        } else if is_gang_incomplete {
            self.stop_run(id, task, "another member of its gang has ended", now);
        }
    }

    /// Creates the state of a run that this planner did not start.
    fn adopted_run(&self, id: &WorkerId, running: &RunningTask, now: Now) -> Run {
        let key = &running.task.group;
        let job = self.jobs.get(&key.job);
        let step = job
            .and_then(|job| job.step(key))
            .cloned()
            .unwrap_or_default();
        let mut run = Run {
            number: running.run,
            resources: step.reserved_resources(),
            state: RunState::Running,
            rank: job.map_or(u8::MAX, |job| job.accepted.queue.priority.saturating_add(1)),
            gang: step.gang,
            checkpoints: step.checkpoints,
            long_running: step.long_running,
            limits_unavailable: step.limits_unavailable(),
            has_latency_target: step.has_latency_target(),
            uses_spare_cpu: step.uses_spare_cpu,
            expected_ms: self.expected_ms(key, &step, id, now),
            since: now.at,
            ordered_at: now.at,
            answered_at: Some(now.at),
            unanswered_stops: 0,
            start_attempts: 1,
            late_start_until: None,
            percent: running.percent,
            progressed_at: now.at,
            reported_at: now.at,
            redundant_since: None,
            began: Some((now.at, running.percent)),
            pace_sampled: None,
            resumes: false,
            start_confirmed: true,
            incarnation: None,
            fencing_token: 0,
            is_listed: false,
            placement_change: 0,
            restored: false,
            suspicion: self.suspicion(&running.task),
        };
        run.record_running(running, self.incarnation_of(id), now.at);
        run
    }
}
