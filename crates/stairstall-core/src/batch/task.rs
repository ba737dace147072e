use std::fmt;

use crate::JobId;

/// Names the tasks of one step of one time a job runs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey {
    /// The job.
    pub job: JobId,
    /// Which time of a scheduled job, from 0; 0 for others.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u32,
}

impl GroupKey {
    /// Returns the key of one of its tasks.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey {
            group: self.clone(),
            index,
        }
    }
}

impl fmt::Display for GroupKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Names one task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Its step and time.
    pub group: GroupKey,
    /// Which task of the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Creates the key of a task.
    #[must_use]
    pub const fn new(job: JobId, occurrence: u32, step: u32, index: u32) -> Self {
        Self {
            group: GroupKey {
                job,
                occurrence,
                step,
            },
            index,
        }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.group, self.index)
    }
}
