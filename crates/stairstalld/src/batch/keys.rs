//! Keys in the shared store.

use stairstall_core::JobId;

/// Key of the [`PlannerRecord`](super::node::PlannerRecord). It is removed when the planner's lease
/// ends.
pub(crate) const PLANNER_ROLE: &str = "stairstall/role/planner";
/// Key of the number of tenures so far, which is the last fencing token.
pub(crate) const TENURE_COUNT: &str = "stairstall/role/tenures";
/// Prefix of accepted jobs, refusal records and cancellations.
pub(crate) const JOBS: &str = "stairstall/job/";
/// Prefix of the jobs' progress.
pub(crate) const PROGRESS: &str = "stairstall/progress/";
/// Key of the run times and paces that one planner has learned, for the next one.
pub(crate) const LEARNED: &str = "stairstall/learnt";
/// Suffix of the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// Returns the key of an accepted job or its refusal record.
pub(crate) fn job(id: &JobId) -> String {
    format!("{JOBS}{id}")
}

/// Returns the key of a job's cancellation.
pub(crate) fn cancel(id: &JobId) -> String {
    format!("{JOBS}{id}{CANCEL_SUFFIX}")
}

/// Returns the key of a job's progress.
pub(crate) fn progress(id: &JobId) -> String {
    format!("{PROGRESS}{id}")
}

/// A parsed key under [`JOBS`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum JobKey {
    /// Key of an accepted job or of a refusal record.
    Job(JobId),
    /// Key of a cancellation.
    Cancel(JobId),
}

/// Parses a key under [`JOBS`].
pub(crate) fn parse_job_key(key: &str) -> Option<JobKey> {
    let name = key.strip_prefix(JOBS)?;
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => Some(JobKey::Cancel(id.parse().ok()?)),
        None => Some(JobKey::Job(name.parse().ok()?)),
    }
}

/// Parses a key under [`PROGRESS`].
pub(crate) fn parse_progress_key(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}
