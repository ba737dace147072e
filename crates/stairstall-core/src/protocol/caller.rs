use serde::{Deserialize, Serialize};

use crate::config::{Resource, Revision};
use crate::placement::{JobKey, JobRecord};
use crate::{RequestId, Verdict};

/// Names of the headers between callers, daemons and minions.
pub mod header {
    /// The customer that a request is for.
    pub const CUSTOMER: &str = "stairstall-customer";
    /// The priority class of a request.
    pub const CLASS: &str = "stairstall-class";
    /// Labels of a request, as `name=value,name=value`.
    pub const LABELS: &str = "stairstall-labels";
    /// Milliseconds that the caller waits.
    pub const DEADLINE_MS: &str = "stairstall-deadline-ms";
    /// The id of a request, the same when the caller tries again.
    pub const REQUEST_ID: &str = "stairstall-request-id";
    /// `no` where the request must not run twice; `yes` otherwise.
    pub const REPEATABLE: &str = "stairstall-repeatable";
    /// The verdict of an answer.
    pub const VERDICT: &str = "stairstall-verdict";
    /// The minion that answered.
    pub const MINION: &str = "stairstall-minion";
    /// The daemon that answered.
    pub const DAEMON: &str = "stairstall-daemon";
    /// `1` on an answer that was kept from an earlier attempt.
    pub const REPLAYED: &str = "stairstall-replayed";
    /// `1` on a request passed on from another zone.
    pub const HOP: &str = "stairstall-hop";
    /// `1` on the answer of a minion that leaves.
    pub const LEAVING: &str = "stairstall-leaving";
}

/// Body of each error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What is wrong, for people.
    pub error: String,
    /// The field, header or flag that is wrong, where one is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Milliseconds until it is worth coming back, where it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request, where it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
}

/// A group of resources and the revision they were read at.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// The revision.
    pub revision: Revision,
    /// The resources.
    pub resources: Vec<Resource>,
}

/// A job as any daemon tells it.
pub type JobStatus = JobRecord;

/// Jobs of a query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPage {
    /// The jobs, in order of customer and name.
    pub jobs: Vec<JobStatus>,
}

/// One decision about a job or request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplanationEntry {
    /// Milliseconds ago.
    pub age_ms: u64,
    /// What was decided and why.
    pub text: String,
}

/// Why a job waits, was moved or gave way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: JobKey,
    /// Where it stands.
    pub summary: String,
    /// The last decisions, oldest first.
    pub stages: Vec<ExplanationEntry>,
}
