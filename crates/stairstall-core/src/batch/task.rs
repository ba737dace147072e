//! Keys that identify tasks and their groups.

use std::fmt;

use crate::JobId;

/// Identifies a group: the tasks of one step in one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey {
    /// The job that the group belongs to.
    pub job: JobId,
    /// Index of the occurrence, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
}

impl GroupKey {
    /// Returns the key of the task with this index.
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

/// Identifies a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// Group that the task belongs to.
    pub group: GroupKey,
    /// Index of the task within its group, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Creates a key from the job and the indices of the occurrence, the step and the task.
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
