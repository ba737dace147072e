//! Names of the keys in the platform's store.

use stairstall_core::config::Revision;
use stairstall_core::placement::JobKey;
use stairstall_core::{CustomerId, RequestId, ZoneId};

/// Key of the configuration's head.
pub(crate) const CONFIG_HEAD: &str = "stairstall/config/head";
/// Prefix of the keys of all jobs.
pub(crate) const JOBS: &str = "stairstall/job/";

/// Key of the configuration's snapshot at a revision.
pub(crate) fn config_snapshot(revision: Revision) -> String {
    format!("stairstall/config/snapshot/{revision}")
}

/// Key of the zone's placement role, which is held under a lease.
pub(crate) fn holder(zone: &ZoneId) -> String {
    format!("stairstall/holder/{zone}")
}

/// Key of the zone's home blocks.
pub(crate) fn homes(zone: &ZoneId) -> String {
    format!("stairstall/homes/{zone}")
}

/// Key of a job's record.
pub(crate) fn job(key: &JobKey) -> String {
    format!("{JOBS}{key}")
}

/// Key of the claim of a not-repeatable request.
pub(crate) fn claim(customer: &CustomerId, request: &RequestId) -> String {
    format!("stairstall/claim/{customer}/{request}")
}
