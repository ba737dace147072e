//! Runs that an earlier planner started.

use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, Progress, RunPlacement, RunningTask, TaskKey};
use crate::{JobId, WorkerId};

impl Planner {
    /// Takes over a run that another planner started, or stops one that should not be.
    pub(super) fn adopt(&mut self, id: &WorkerId, running: &RunningTask, now: Now) {
        let key = &running.task.group;
        let wanted = self.jobs.get(&key.job).is_some_and(|job| {
            let task = job
                .group(key)
                .and_then(|group| group.tasks.get(running.task.index as usize));
            job.outcome.is_none() && task.is_some_and(super::job::Task::is_waiting)
        });
        let run = self.adopted_run(id, running, now);
        self.insert_run(id, &running.task, run);
        self.ranked_guaranteed_jobs = None;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // The earlier planner's largest lease counts from before this one began.
        worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.hold_max));
        let why = if wanted {
            "it runs"
        } else {
            "it should not run"
        };
        self.decisions.push(Decision::of_run(
            DecisionKind::Adopt,
            &running.task,
            running.run,
            id,
            why,
        ));
        if !wanted {
            self.stop_run(id, &running.task, "it is not wanted", now);
            return;
        }
        let incarnation = self.incarnation_of(id);
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.has_started = true;
            if let Some(group) = job.group_mut(key) {
                group.last_run = group.last_run.max(running.run);
                let task = &mut group.tasks[running.task.index as usize];
                task.place = Some(id.clone());
                task.run = running.run;
                task.incarnation = incarnation;
                task.start_confirmed = true;
            }
        }
        self.note_progress(running);
        self.mark_timeline_changed(&key.job);
    }

    /// Takes the places that were written down for what may run there.
    ///
    /// What is done or ended holds no room: if anything of it still runs, the
    /// worker's first report says so, and nothing is placed there before.
    pub(super) fn restore_runs(&mut self, job: &JobId, progress: &Progress, now: Now) {
        for (key, group) in progress.unfinished_groups(job) {
            for (index, place) in &group.places {
                let task = key.task(*index);
                let is_done = self.task(&task).is_some_and(|task| task.done);
                if !is_done {
                    self.restore_run(place, &task, now);
                }
            }
        }
    }

    /// Returns a worker that was written down, whether the directory lists it or not.
    pub(super) fn recorded_worker(&mut self, id: &WorkerId, now: Now) -> &mut Worker {
        if !self.workers.contains_key(id) {
            let fence = self.next_fencing_token();
            let worker = Worker::unlisted(id, fence, now.at);
            self.workers.insert(id.clone(), worker);
        }
        self.workers.get_mut(id).expect("it is known")
    }

    fn restore_run(&mut self, place: &RunPlacement, task: &TaskKey, now: Now) {
        let id = &place.worker;
        let running = RunningTask {
            task: task.clone(),
            run: place.run,
            checkpoint: None,
            percent: 0,
        };
        let mut run = self.adopted_run(id, &running, now);
        run.restored = true;
        run.resumes = true;
        run.incarnation = place.incarnation;
        run.start_confirmed = place.start_confirmed;
        run.is_listed = false;
        let lease_until = now.at + Self::max_lease_duration(self.bounds.hold_max);
        self.recorded_worker(id, now).extend_lease(lease_until);
        self.insert_run(id, task, run);
        self.ranked_guaranteed_jobs = None;
    }

    /// Takes the first report of a run that an earlier planner wrote down.
    pub(super) fn confirm_restored(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let key = &task.group;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let is_broken = job.step(key).is_some_and(|step| step.gang)
            && job
                .group(key)
                .is_some_and(|group| group.tasks.iter().any(super::job::Task::is_waiting));
        if job.outcome.is_some() {
            self.stop_run(id, task, "its job has ended", now);
        } else if is_broken {
            self.stop_run(id, task, "another member of its gang is over", now);
        }
    }

    fn adopted_run(&self, id: &WorkerId, running: &RunningTask, now: Now) -> Run {
        let key = &running.task.group;
        let job = self.jobs.get(&key.job);
        let step = job
            .and_then(|job| job.step(key))
            .cloned()
            .unwrap_or_default();
        let mut run = Run {
            number: running.run,
            room: step.reserved_resources(),
            state: RunState::Running,
            rank: job.map_or(u8::MAX, |job| job.accepted.queue.priority.saturating_add(1)),
            gang: step.gang,
            checkpoints: step.checkpoints,
            lasts: step.long_running,
            serves: step.has_latency_target(),
            fills: step.uses_spare_cpu,
            expected_ms: self.expected_ms(key, &step, id, now),
            since: now.at,
            ordered_at: now.at,
            answered_at: Some(now.at),
            stops: 0,
            tries: 1,
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
            fence: 0,
            is_listed: false,
            placement_change: 0,
            restored: false,
            suspicion: self.suspicion(&running.task),
        };
        run.note_running(running, self.incarnation_of(id), now.at);
        run
    }
}
