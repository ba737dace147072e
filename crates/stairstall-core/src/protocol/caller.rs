use serde::{Deserialize, Serialize};

use crate::config::{Resource, Revision};
use crate::placement::{JobKey, JobRecord};
use crate::{RequestId, Verdict};

/// Names of the HTTP headers between callers, daemons and minions.
pub mod header {
    /// Customer on whose behalf a request is made.
    pub const CUSTOMER: &str = "stairstall-customer";
    /// Priority class of a request.
    pub const CLASS: &str = "stairstall-class";
    /// Labels of a request, as `name=value,name=value`.
    pub const LABELS: &str = "stairstall-labels";
    /// Milliseconds after which the caller no longer waits for the response.
    pub const DEADLINE_MS: &str = "stairstall-deadline-ms";
    /// Id of a request; a retry carries the same id.
    pub const REQUEST_ID: &str = "stairstall-request-id";
    /// `no` if the request must not run more than once; `yes` otherwise.
    pub const REPEATABLE: &str = "stairstall-repeatable";
    /// Verdict on whether the request may have run, in a response.
    pub const VERDICT: &str = "stairstall-verdict";
    /// Minion that answered the request.
    pub const MINION: &str = "stairstall-minion";
    /// Daemon that answered the request.
    pub const DAEMON: &str = "stairstall-daemon";
    /// `1` in a response that was stored by an earlier attempt and is replayed.
    pub const REPLAYED: &str = "stairstall-replayed";
    /// `1` in a request forwarded from another zone.
    pub const HOP: &str = "stairstall-hop";
    /// `1` in the response of a minion that is leaving.
    pub const LEAVING: &str = "stairstall-leaving";
}

/// Body of every error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable error message.
    pub error: String,
    /// Name of the invalid field, header or flag, if the error is about one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Milliseconds after which to retry, if a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Id of the request, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
}

/// Configuration resources and the revision at which they were read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Resources at this revision.
    pub resources: Vec<Resource>,
}

/// A job as daemons report it to callers: its record.
pub type JobStatus = JobRecord;

/// Response to a query for jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Matching jobs, sorted by customer and name.
    pub jobs: Vec<JobStatus>,
}

/// One decision in an [`Explanation`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationEntry {
    /// Age of the decision, in milliseconds.
    pub age_ms: u64,
    /// Human-readable decision and its reason.
    pub text: String,
}

/// Why a job waits, was moved or was preempted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Job that is explained.
    pub job: JobKey,
    /// Current state of the job, in one sentence.
    pub summary: String,
    /// Most recent decisions on the job, oldest first.
    pub stages: Vec<ExplanationEntry>,
}
