use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Shape, ShapeError};
use crate::claim::Mark;
use crate::{ClassId, CustomerId, IdError, JobId, Labels, Verdict, WorkerId, ZoneId};

/// Longest payload of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Names a job over all customers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobKey {
    /// The customer.
    pub customer: CustomerId,
    /// The job's name at that customer.
    pub id: JobId,
}

impl JobKey {
    /// Creates the key of a customer's job.
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

/// Names one attempt at a job: the fencing token of the tenure, and a count within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Fencing token of the holder that made the attempt.
    pub token: u64,
    /// Counts the attempts of that holder.
    pub serial: u32,
}

impl Attempt {
    /// Creates the name of an attempt.
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
    /// A job that can't be accepted.
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
    /// Names the field that is wrong.
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

/// A job as its caller describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The customer.
    pub customer: CustomerId,
    /// The name, unique at the customer.
    pub id: JobId,
    /// The priority class.
    pub class: ClassId,
    /// Labels, for rules and queries.
    #[serde(default)]
    pub labels: Labels,
    /// What it needs.
    pub shape: Shape,
    /// Whether it may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// How long a checkpoint takes, in milliseconds, where the job can make one.
    #[serde(default)]
    pub checkpoint_ms: Option<u64>,
    /// How long it is expected to run, in milliseconds.
    pub expected_ms: u64,
    /// The zone it must run in, where there is one.
    #[serde(default)]
    pub zone: Option<ZoneId>,
    /// What to run; the workers' business.
    #[serde(default)]
    pub payload: String,
}

impl JobSpec {
    /// Longest expected run.
    pub const MAX_EXPECTED_RUN: Duration = Duration::from_secs(90 * 24 * 3600);

    /// Returns the key.
    #[must_use]
    pub fn key(&self) -> JobKey {
        JobKey::new(self.customer.clone(), self.id.clone())
    }

    /// Returns the labels with customer, class and name added, as rules and queries see them.
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
    /// Names the first field that is out of bounds.
    pub fn check(&self) -> Result<(), JobError> {
        self.shape.check()?;
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobError::Payload(self.payload.len()));
        }
        let most = u64::try_from(Self::MAX_EXPECTED_RUN.as_millis()).unwrap_or(u64::MAX);
        if !(1..=most).contains(&self.expected_ms) {
            return Err(JobError::Duration("expected_ms"));
        }
        if self
            .checkpoint_ms
            .is_some_and(|ms| !(1..=most).contains(&ms))
        {
            return Err(JobError::Duration("checkpoint_ms"));
        }
        Ok(())
    }
}

/// One member of a placed job and the worker process it was given to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedMember {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's incarnation; another one knows nothing of the member.
    pub incarnation: u64,
}

/// Where a job stands, as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum JobState {
    /// Accepted; it waits.
    Accepted,
    /// Given to workers; it may run from now on.
    Placed {
        /// The attempt.
        attempt: Attempt,
        /// Its members.
        members: Vec<PlacedMember>,
    },
    /// It ran to its end.
    Finished {
        /// Whether it did what it should.
        success: bool,
        /// What its first member answered.
        output: String,
    },
    /// It will not run any more.
    Ended {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: String,
    },
}

impl JobState {
    /// Tells whether the state never changes again.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Finished { .. } | Self::Ended { .. })
    }

    /// Returns the word used in queries and logs.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Placed { .. } => "placed",
            Self::Finished { .. } => "finished",
            Self::Ended { .. } => "ended",
        }
    }

    /// Returns what is known about whether the job ran, once nothing more will change.
    ///
    /// An accepted job has no verdict: its holder may start it at any moment.
    #[must_use]
    pub const fn verdict(&self) -> Option<Verdict> {
        match self {
            Self::Accepted | Self::Placed { .. } => None,
            Self::Finished { .. } => Some(Verdict::Ran),
            Self::Ended { verdict, .. } => Some(*verdict),
        }
    }
}

/// A job as the store keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the caller asked for.
    pub spec: JobSpec,
    /// The zone it was given to.
    pub zone: ZoneId,
    /// Who wrote the acceptance; resolves lost answers.
    pub mark: Mark,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Whether its caller wants it ended.
    #[serde(default)]
    pub cancel: bool,
    /// Work that its last checkpoint holds, in milliseconds.
    #[serde(default)]
    pub saved_ms: u64,
    /// Whether an earlier attempt may have run.
    #[serde(default)]
    pub started: bool,
    /// Workers that crashed under it.
    #[serde(default)]
    pub crashes: u32,
    /// Where it stands.
    #[serde(flatten)]
    pub state: JobState,
}
