use std::time::Duration;

use super::TaskKey;
use crate::{JobId, WorkerId, ZoneId};

/// What the planner decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DecisionKind {
    /// A task was given a place.
    Place,
    /// A task was told to start.
    Start,
    /// The first task of a job began.
    Begin,
    /// A run is stopped.
    Stop,
    /// A run ended, or is known to be over.
    End,
    /// A run was lost with its worker.
    Loss,
    /// A run that another planner started was taken over.
    Adopt,
    /// A job ended.
    Outcome,
    /// A worker gets nothing new for a while, or again.
    Worker,
    /// Nothing starts in an availability zone any more, or again.
    Zone,
}

impl DecisionKind {
    /// Returns the word used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Place => "place",
            Self::Start => "start",
            Self::Begin => "begin",
            Self::Stop => "stop",
            Self::End => "end",
            Self::Loss => "loss",
            Self::Adopt => "adopt",
            Self::Outcome => "outcome",
            Self::Worker => "worker",
            Self::Zone => "zone",
        }
    }
}

/// One decision with what decided it, for the log and for explanations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The job, where it touches one.
    pub job: Option<JobId>,
    /// The task, where it touches one.
    pub task: Option<TaskKey>,
    /// The run, where it touches one.
    pub run: u32,
    /// The worker, where it touches one.
    pub worker: Option<WorkerId>,
    /// The availability zone, where it touches a whole one.
    pub zone: Option<ZoneId>,
    /// Why, in words.
    pub why: String,
    /// How long the job had waited, where its first task began.
    pub waited: Option<Duration>,
}

impl Decision {
    /// Creates a decision that touches nothing yet.
    fn new(kind: DecisionKind, why: impl Into<String>) -> Self {
        Self {
            kind,
            job: None,
            task: None,
            run: 0,
            worker: None,
            zone: None,
            why: why.into(),
            waited: None,
        }
    }

    /// Creates a decision about a run of a task.
    #[must_use]
    pub fn of_run(
        kind: DecisionKind,
        task: &TaskKey,
        run: u32,
        worker: &WorkerId,
        why: impl Into<String>,
    ) -> Self {
        Self {
            job: Some(task.group.job.clone()),
            task: Some(task.clone()),
            run,
            worker: Some(worker.clone()),
            ..Self::new(kind, why)
        }
    }

    /// Creates a decision about a job.
    #[must_use]
    pub fn of_job(kind: DecisionKind, job: &JobId, why: impl Into<String>) -> Self {
        Self {
            job: Some(job.clone()),
            ..Self::new(kind, why)
        }
    }

    /// Says that a job's first task began, so long after the planner heard of the job.
    #[must_use]
    pub fn of_first_start(job: &JobId, after: Duration) -> Self {
        let why = format!("its first task began after {} ms", after.as_millis());
        Self {
            waited: Some(after),
            ..Self::of_job(DecisionKind::Begin, job, why)
        }
    }

    /// Creates a decision about a worker.
    #[must_use]
    pub fn of_worker(worker: &WorkerId, why: impl Into<String>) -> Self {
        Self {
            worker: Some(worker.clone()),
            ..Self::new(DecisionKind::Worker, why)
        }
    }

    /// Creates a decision about an availability zone.
    #[must_use]
    pub fn of_zone(zone: &ZoneId, why: impl Into<String>) -> Self {
        Self {
            zone: Some(zone.clone()),
            ..Self::new(DecisionKind::Zone, why)
        }
    }
}
