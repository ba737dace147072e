//! Names of the keys in the platform's store, of both modes.
//!
//! All keys are built and parsed here. Names that callers and operators choose consist of the
//! characters that the IDs of `stairstall-core` allow. What separates the parts of a key is none
//! of these, or is escaped in names, so no name can form the key of another kind or owner.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use stairstall_core::config::Revision;
use stairstall_core::placement::JobKey;
use stairstall_core::{CustomerId, JobId, RequestId, ZoneId};

/// Key of the configuration's head.
pub const CONFIG_HEAD: &str = "stairstall/config/head";
/// Prefix of the keys of all jobs, of their refusal records and of their cancellations.
pub const JOBS: &str = "stairstall/job/";
/// Prefix of the keys of the progress of batch jobs.
pub const PROGRESS: &str = "stairstall/progress/";
/// Key of the record of the daemon that holds the planner role. It is removed when the planner's
/// lease ends.
pub const PLANNER_ROLE: &str = "stairstall/role/planner";
/// Key of the number of planner tenures so far, which is the last fencing token.
pub const TENURE_COUNT: &str = "stairstall/role/tenures";
/// Key of the run times and paces that one planner has learned, for the next one.
pub const LEARNED: &str = "stairstall/learnt";

const CONFIG_SNAPSHOTS: &str = "stairstall/config/snapshot/";
const HOLDERS: &str = "stairstall/holder/";
const HOMES: &str = "stairstall/homes/";
const CLAIMS: &str = "stairstall/claim/";
/// Ends the key of a batch job's cancellation.
const CANCEL_SUFFIX: &str = ".cancel";
/// Stands for a dot of a batch job's ID, which no ID of the platform has.
const ESCAPED_DOT: &str = "~";

/// A key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreKey {
    /// Head of the configuration.
    ConfigHead,
    /// Snapshot of the configuration at a revision.
    ConfigSnapshot(Revision),
    /// Placement role of a zone, held under a lease.
    Holder(ZoneId),
    /// Home blocks of a zone.
    Homes(ZoneId),
    /// Record of a job in a zone's placement.
    Job(JobKey),
    /// Claim of a not-repeatable request.
    Claim(CustomerId, RequestId),
    /// Planner role, held under a lease.
    PlannerRole,
    /// Number of planner tenures.
    TenureCount,
    /// Estimates that planners have learned.
    Learned,
    /// A batch job, or the record of its refusal.
    BatchJob(JobId),
    /// Cancellation of a batch job.
    BatchCancellation(JobId),
    /// Progress of a batch job.
    BatchProgress(JobId),
}

quick_error! {
    /// A text that is no key of this product.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum KeyError {
        /// No kind of key looks like this.
        Unknown(key: String) {
            display("{key:?} is no key of a known kind")
        }
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConfigHead => f.write_str(CONFIG_HEAD),
            Self::ConfigSnapshot(revision) => write!(f, "{CONFIG_SNAPSHOTS}{revision}"),
            Self::Holder(zone) => write!(f, "{HOLDERS}{zone}"),
            Self::Homes(zone) => write!(f, "{HOMES}{zone}"),
            Self::Job(key) => write!(f, "{JOBS}{key}"),
            Self::Claim(customer, request) => write!(f, "{CLAIMS}{customer}/{request}"),
            Self::PlannerRole => f.write_str(PLANNER_ROLE),
            Self::TenureCount => f.write_str(TENURE_COUNT),
            Self::Learned => f.write_str(LEARNED),
            Self::BatchJob(id) => write!(f, "{JOBS}{}", escape(id)),
            Self::BatchCancellation(id) => write!(f, "{JOBS}{}{CANCEL_SUFFIX}", escape(id)),
            Self::BatchProgress(id) => write!(f, "{PROGRESS}{}", escape(id)),
        }
    }
}

impl FromStr for StoreKey {
    type Err = KeyError;

    fn from_str(key: &str) -> Result<Self, KeyError> {
        parse(key).ok_or_else(|| KeyError::Unknown(key.to_owned()))
    }
}

fn parse(key: &str) -> Option<StoreKey> {
    match key {
        CONFIG_HEAD => return Some(StoreKey::ConfigHead),
        PLANNER_ROLE => return Some(StoreKey::PlannerRole),
        TENURE_COUNT => return Some(StoreKey::TenureCount),
        LEARNED => return Some(StoreKey::Learned),
        _ => {}
    }
    if let Some(revision) = key.strip_prefix(CONFIG_SNAPSHOTS) {
        return Some(StoreKey::ConfigSnapshot(Revision(revision.parse().ok()?)));
    }
    if let Some(zone) = key.strip_prefix(HOLDERS) {
        return Some(StoreKey::Holder(zone.parse().ok()?));
    }
    if let Some(zone) = key.strip_prefix(HOMES) {
        return Some(StoreKey::Homes(zone.parse().ok()?));
    }
    if let Some(claim) = key.strip_prefix(CLAIMS) {
        let (customer, request) = claim.split_once('/')?;
        return Some(StoreKey::Claim(
            customer.parse().ok()?,
            request.parse().ok()?,
        ));
    }
    if let Some(id) = key.strip_prefix(PROGRESS) {
        return Some(StoreKey::BatchProgress(unescape(id)?));
    }
    parse_job(key.strip_prefix(JOBS)?)
}

/// Parses the rest of a key under [`JOBS`].
fn parse_job(name: &str) -> Option<StoreKey> {
    if name.contains('/') {
        return Some(StoreKey::Job(name.parse().ok()?));
    }
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => Some(StoreKey::BatchCancellation(unescape(id)?)),
        None => Some(StoreKey::BatchJob(unescape(name)?)),
    }
}

fn escape(id: &JobId) -> String {
    id.as_str().replace('.', ESCAPED_DOT)
}

/// Returns the ID that was escaped, or `None` if no ID looks like this when escaped.
fn unescape(text: &str) -> Option<JobId> {
    if text.contains('.') {
        return None;
    }
    text.replace(ESCAPED_DOT, ".").parse().ok()
}

/// Key of the configuration's snapshot at a revision.
pub(crate) fn config_snapshot(revision: Revision) -> String {
    StoreKey::ConfigSnapshot(revision).to_string()
}

/// Key of the zone's placement role, which is held under a lease.
pub(crate) fn holder(zone: &ZoneId) -> String {
    StoreKey::Holder(zone.clone()).to_string()
}

/// Key of the zone's home blocks.
pub(crate) fn homes(zone: &ZoneId) -> String {
    StoreKey::Homes(zone.clone()).to_string()
}

/// Key of a job's record in its zone's placement.
pub(crate) fn job(key: &JobKey) -> String {
    StoreKey::Job(key.clone()).to_string()
}

/// Key of the claim of a not-repeatable request.
pub(crate) fn claim(customer: &CustomerId, request: &RequestId) -> String {
    StoreKey::Claim(customer.clone(), request.clone()).to_string()
}

/// Key of an accepted batch job or of the record of its refusal.
pub(crate) fn batch_job(id: &JobId) -> String {
    StoreKey::BatchJob(id.clone()).to_string()
}

/// Key of a batch job's cancellation.
pub(crate) fn batch_cancellation(id: &JobId) -> String {
    StoreKey::BatchCancellation(id.clone()).to_string()
}

/// Key of a batch job's progress.
pub(crate) fn batch_progress(id: &JobId) -> String {
    StoreKey::BatchProgress(id.clone()).to_string()
}
