//! What one tenure of the planner role leaves the next one beside the store.
//!
//! While the store is down, a planner hears of run ends that it can't store. If its lease ends before
//! the store is back, a new tenure restores those runs from their stored placements. Where their
//! workers have left meanwhile, nobody lists the ends again, and the work would run a second time.
//! The next tenure of the same process keeps them; another daemon asks the one before it.

use super::job::Job;
use super::{Now, Planner};
use crate::JobId;
use crate::batch::TaskKey;
use crate::claim::Mark;

/// Tasks of a job that are done, although the store may not say so.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnstoredTasks {
    /// The job.
    pub job: JobId,
    /// Mark of the write that stored the job, which tells it from another one under the same name.
    pub mark: Mark,
    /// The tasks that are done.
    pub done: Vec<TaskKey>,
}

impl Planner {
    /// Returns the tasks that are done in all jobs with changes that may not be stored.
    #[must_use]
    pub fn unstored_tasks(&self) -> Vec<UnstoredTasks> {
        let unstored = self.jobs.iter().filter(|(_, job)| !job.is_stored());
        unstored
            .map(|(id, job)| UnstoredTasks {
                job: id.clone(),
                mark: job.accepted.mark.clone(),
                done: job.done_tasks(id),
            })
            .filter(|unstored| !unstored.done.is_empty())
            .collect()
    }

    /// Restores the tasks that an earlier tenure knew to be done. Jobs that are not restored yet are
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
