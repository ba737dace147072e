use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Shape, ShapeError};
use crate::claim::Mark;
use crate::{ClassId, CustomerId, IdError, JobId, Labels, Verdict, WorkerId, ZoneId};

/// Maximum payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Unique name of a job among all customers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobKey {
    /// The customer.
    pub customer: CustomerId,
    /// The job id, unique within the customer.
    pub id: JobId,
}

impl JobKey {
    /// Creates a key from a customer and its job id.
    #[must_use]
    pub const fn new(customer: CustomerId, id: JobId) -> Self {
        Self { customer, id }
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.id)
    }
}

impl FromStr for JobKey {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (customer, id) = text.split_once('/').ok_or(IdError::Empty)?;
        Ok(Self::new(customer.parse()?, id.parse()?))
    }
}

impl TryFrom<String> for JobKey {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<JobKey> for String {
    fn from(key: JobKey) -> Self {
        key.to_string()
    }
}

/// Id of one attempt at a job: the fencing token of the tenure and a serial number within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Fencing token of the holder that started the attempt.
    pub token: u64,
    /// Serial number of the attempt within the tenure.
    pub serial: u32,
}

impl Attempt {
    /// Creates an attempt id.
    #[must_use]
    pub const fn new(token: u64, serial: u32) -> Self {
        Self { token, serial }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.token, self.serial)
    }
}

quick_error! {
    /// Reason why a job specification is rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum JobError {
        /// The shape is out of bounds.
        Shape(source: ShapeError) {
            display("{source}")
            from()
            source(source)
        }
        /// The payload is too long.
        Payload(length: usize) {
            display("payload has at most {MAX_PAYLOAD_BYTES} bytes, this one has {length}")
        }
        /// A duration is out of bounds.
        Duration(field: &'static str) {
            display("{field} is from 1 to {} milliseconds", JobSpec::MAX_EXPECTED_RUN.as_millis())
        }
    }
}

impl JobError {
    /// Returns the name of the invalid field.
    #[must_use]
    pub const fn field(&self) -> &'static str {
        match self {
            Self::Shape(ShapeError::Members(_)) => "shape.members",
            Self::Shape(ShapeError::Accelerators(_)) => "shape.accelerators",
            Self::Shape(ShapeError::Empty) => "shape",
            Self::Payload(_) => "payload",
            Self::Duration(field) => field,
        }
    }
}

/// Specification of a job, as submitted by the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The customer.
    #[serde(deserialize_with = "crate::id::plain")]
    pub customer: CustomerId,
    /// The job id, unique within the customer.
    pub id: JobId,
    /// The priority class.
    pub class: ClassId,
    /// Labels that rules and queries select jobs by.
    #[serde(default)]
    pub labels: Labels,
    /// Members of the gang and the resources of each.
    pub shape: Shape,
    /// Whether the job may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Duration of a checkpoint in milliseconds; absent if the job can't checkpoint.
    #[serde(default)]
    pub checkpoint_ms: Option<u64>,
    /// Expected run time in milliseconds.
    pub expected_ms: u64,
    /// The zone that the job must run in, if any.
    #[serde(default)]
    pub zone: Option<ZoneId>,
    /// What to run. Only the workers interpret it.
    #[serde(default)]
    pub payload: String,
}

impl JobSpec {
    /// Maximum expected run time, and maximum duration of a checkpoint.
    pub const MAX_EXPECTED_RUN: Duration = Duration::from_secs(90 * 24 * 3600);

    /// Returns the key of the job.
    #[must_use]
    pub fn key(&self) -> JobKey {
        JobKey::new(self.customer.clone(), self.id.clone())
    }

    /// Returns the labels as rules and queries see them, with customer, class and job id added.
    #[must_use]
    pub fn all_labels(&self) -> Labels {
        [
            ("customer", self.customer.as_str()),
            ("class", self.class.as_str()),
            ("job", self.id.as_str()),
        ]
        .into_iter()
        .fold(self.labels.clone(), |labels, (name, value)| {
            labels.clone().with(name, value).unwrap_or(labels)
        })
    }

    /// Checks the bounds of every field.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is out of bounds.
    pub fn check(&self) -> Result<(), JobError> {
        self.shape.check()?;
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobError::Payload(self.payload.len()));
        }
        let limit = u64::try_from(Self::MAX_EXPECTED_RUN.as_millis()).unwrap_or(u64::MAX);
        if !(1..=limit).contains(&self.expected_ms) {
            return Err(JobError::Duration("expected_ms"));
        }
        if self
            .checkpoint_ms
            .is_some_and(|ms| !(1..=limit).contains(&ms))
        {
            return Err(JobError::Duration("checkpoint_ms"));
        }
        Ok(())
    }
}

/// Placement of one member of a job: the worker process that it was assigned to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedMember {
    /// The worker.
    pub worker: WorkerId,
    /// Incarnation of the worker. After a restart the worker no longer has the member.
    pub incarnation: u64,
}

/// Stored state of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum JobState {
    /// The job is accepted and waits for a placement.
    Accepted,
    /// The job is assigned to workers and may run from now on.
    Placed {
        /// The attempt.
        attempt: Attempt,
        /// Placement of each member, by member index.
        members: Vec<PlacedMember>,
    },
    /// The job ran to its end.
    Finished {
        /// Whether the job succeeded.
        success: bool,
        /// Output of the first member.
        output: String,
    },
    /// The job ended without running to its end and will not run again.
    Ended {
        /// Whether the job may have run.
        verdict: Verdict,
        /// Why the job ended.
        reason: String,
    },
}

impl JobState {
    /// Tells whether the state is final.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Finished { .. } | Self::Ended { .. })
    }

    /// Returns the name of the state, as used in queries and logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Placed { .. } => "placed",
            Self::Finished { .. } => "finished",
            Self::Ended { .. } => "ended",
        }
    }

    /// Returns whether the job ran, once the state is final.
    ///
    /// A job that is accepted or placed has no verdict: it may start at any moment.
    #[must_use]
    pub const fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Accepted | Self::Placed { .. } => None,
            Self::Finished { .. } => Some(Verdict::Ran),
            Self::Ended { verdict, .. } => Some(*verdict),
        }
    }
}

/// Stored record of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification of the job.
    pub spec: JobSpec,
    /// The zone that the job is assigned to.
    pub zone: ZoneId,
    /// Identifies the writer of the accepted job. If the response of the store to that write is
    /// lost, the mark in the record shows that the write succeeded.
    pub mark: Mark,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Whether the caller has cancelled the job.
    #[serde(default)]
    pub cancel: bool,
    /// Work saved by the last checkpoint, in milliseconds.
    #[serde(default)]
    pub saved_ms: u64,
    /// Whether an earlier attempt may have run.
    #[serde(default)]
    pub started: bool,
    /// Number of worker crashes counted against the job.
    #[serde(default)]
    pub crashes: u32,
    /// State of the job.
    #[serde(flatten)]
    pub state: JobState,
}
