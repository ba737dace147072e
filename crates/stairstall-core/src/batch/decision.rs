//! Decisions of the planner, as they are logged and explained.

use std::time::Duration;

use super::{RunEndKind, TaskKey};
use crate::{JobId, WorkerId, ZoneId};

/// Kind of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DecisionKind {
    /// A task was placed on a worker.
    Place,
    /// A task was ordered to start.
    Start,
    /// A job has had nothing running for a while although a step of it fits, or goes on.
    Idle,
    /// The first task of a job started.
    Begin,
    /// A run is stopped.
    Stop,
    /// A run is done.
    End,
    /// A run ended otherwise, or is known to be over.
    Setback,
    /// A run was lost with its worker.
    Loss,
    /// A run that another planner had started was adopted.
    Adopt,
    /// A job ended.
    Outcome,
    /// A worker gets no new work for a while, or gets it again.
    Worker,
    /// An availability zone gets no new work, or gets it again.
    Zone,
}

impl DecisionKind {
    /// Returns the kind of a decision about a run's end.
    #[must_use]
    pub const fn of_end(end: RunEndKind) -> Self {
        match end {
            RunEndKind::Done => Self::End,
            _ => Self::Setback,
        }
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Place => "place",
            Self::Start => "start",
            Self::Idle => "idle",
            Self::Begin => "begin",
            Self::Stop => "stop",
            Self::End => "end",
            Self::Setback => "setback",
            Self::Loss => "loss",
            Self::Adopt => "adopt",
            Self::Outcome => "outcome",
            Self::Worker => "worker",
            Self::Zone => "zone",
        }
    }
}

/// A decision of the planner with its reason, for the log and for explanations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What was decided.
    pub kind: DecisionKind,
    /// The job, where the decision concerns one.
    pub job: Option<JobId>,
    /// The task, where the decision concerns one.
    pub task: Option<TaskKey>,
    /// Number of the run; 0 where the decision concerns none.
    pub run: u32,
    /// The worker, where the decision concerns one.
    pub worker: Option<WorkerId>,
    /// The availability zone, where the decision concerns a whole one.
    pub zone: Option<ZoneId>,
    /// The reason, in words.
    pub why: String,
    /// How long the job had waited when its first task started.
    pub waited: Option<Duration>,
}

impl Decision {
    /// Creates a decision without a job, task, run, worker or zone.
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

    /// Creates the decision that a job's first task started, `waited` after the planner learned of
    /// the job.
    #[must_use]
    pub fn of_first_start(job: &JobId, waited: Duration) -> Self {
        let why = format!("first task started after {} ms", waited.as_millis());
        Self {
            waited: Some(waited),
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
