//! What one tenure of the planner role leaves the next one beside the store.
//!
//! While the store is down, a planner hears of run ends that it can't store. If its lease ends before
//! the store is back, a new tenure restores those runs from their stored placements. Where their
//! workers have left meanwhile, nobody lists the ends again, and the work would run a second time.
//! The next tenure of the same process keeps them; another daemon asks the one before it. It also
//! learns which runs are over, so that it does not wait for the leases of workers that have left.

use super::job::{Job, Task};
use super::pool::RunState;
use super::{Now, Planner};
use crate::JobId;
use crate::batch::{RunEndKind, TaskKey};
use crate::claim::Mark;

/// Tasks of a job that are done, and runs that are over, although the store may not say so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnstoredTasks {
    /// The job.
    pub job: JobId,
    /// Mark of the write that stored the job, which tells it from another one under the same name.
    pub mark: Mark,
    /// The tasks that are done.
    pub done: Vec<TaskKey>,
    /// Unfinished tasks whose runs up to this number are over.
    pub released: Vec<(TaskKey, u32)>,
}

impl Planner {
    /// Returns the tasks that are done, and the runs that are over, in all jobs with changes that may
    /// not be stored.
    #[must_use]
    pub fn unstored_tasks(&self) -> Vec<UnstoredTasks> {
        let unstored = self.jobs.iter().filter(|(_, job)| !job.is_stored());
        unstored
            .map(|(id, job)| UnstoredTasks {
                job: id.clone(),
                mark: job.accepted.mark.clone(),
                done: job.done_tasks(id),
                released: self.released_runs(id, job),
            })
            .filter(|unstored| !unstored.done.is_empty() || !unstored.released.is_empty())
            .collect()
    }

    /// Returns the unfinished tasks whose runs up to a number are over.
    ///
    /// Tasks are left out whose last run failed or was lost with its worker: the next tenure counts
    /// that by itself, and must not start them before it has.
    fn released_runs(&self, id: &JobId, job: &Job) -> Vec<(TaskKey, u32)> {
        let mut released = Vec::new();
        for (key, group) in job.groups(id) {
            let tasks = (0..).zip(&group.tasks).filter(|(_, task)| !task.done);
            for (index, task) in tasks.filter(|(_, task)| task.losses.is_empty()) {
                let last = self.last_released_run(&key.task(index), task);
                let last_failed = task.last_failed_run.max(group.last_failed_gang_run);
                if last > last_failed {
                    released.push((key.task(index), last));
                }
            }
        }
        released
    }

    /// Returns the number of a task's last run that is over, or 0 if it has none.
    fn last_released_run(&self, key: &TaskKey, task: &Task) -> u32 {
        let Some(worker) = &task.worker else {
            return task.run;
        };
        let run = self.run_at(worker, key);
        // It is placed once the run before it is over.
        let is_planned = run.is_some_and(|run| run.state == RunState::Planned);
        if is_planned { task.run - 1 } else { 0 }
    }

    /// Restores the tasks that an earlier tenure knew to be done, and ends the runs that it knew to
    /// be over. Jobs that are not restored yet are
    /// passed over, so call this again after [`Planner::restore_job`]. It may come at any later time
    /// too: runs that were started again meanwhile are no longer needed.
    pub fn restore_done_tasks(&mut self, unstored: &[UnstoredTasks], now: Now) {
        for earlier in unstored {
            let job = self.jobs.get(&earlier.job);
            if job.is_none_or(|job| job.accepted.mark != earlier.mark) {
                continue;
            }
            for task in &earlier.done {
                if self.task(task).is_some_and(|task| !task.done) {
                    self.complete_task(task, now);
                }
            }
            for (task, last_run) in &earlier.released {
                self.end_restored_run(task, *last_run, now);
            }
        }
    }

    /// Ends a restored run that no report has listed, if its number is at most `last_run`.
    fn end_restored_run(&mut self, task: &TaskKey, last_run: u32, now: Now) {
        let Some(worker) = self.task(task).and_then(|task| task.worker.clone()) else {
            return;
        };
        let run = self.run_at(&worker, task);
        if run.is_some_and(|run| run.restored && run.number <= last_run) {
            let why = "the previous planner knew that it is over";
            self.end_unreported_run(&worker, task, RunEndKind::Stopped, why, now);
            self.remove_if_gone(&worker, now);
        }
    }
}

impl Job {
    fn done_tasks(&self, id: &JobId) -> Vec<TaskKey> {
        let mut done = Vec::new();
        for (key, group) in self.groups(id) {
            let tasks = (0..).zip(&group.tasks).filter(|(_, task)| task.done);
            done.extend(tasks.map(|(index, _)| key.task(index)));
        }
        done
    }
}
