//! Names of the keys in the platform's store.

use stairstall_core::config::Revision;
use stairstall_core::placement::JobKey;
use stairstall_core::{CustomerId, RequestId, ZoneId};

/// The configuration's head.
pub(crate) const CONFIG_HEAD: &str = "stairstall/config/head";
/// All jobs.
pub(crate) const JOBS: &str = "stairstall/job/";

pub(crate) fn config_snapshot(revision: Revision) -> String {
    format!("stairstall/config/snapshot/{revision}")
}

pub(crate) fn holder(zone: &ZoneId) -> String {
    format!("stairstall/holder/{zone}")
}

pub(crate) fn homes(zone: &ZoneId) -> String {
    format!("stairstall/homes/{zone}")
}

pub(crate) fn job(key: &JobKey) -> String {
    format!("{JOBS}{key}")
}

pub(crate) fn claim(customer: &CustomerId, request: &RequestId) -> String {
    format!("stairstall/claim/{customer}/{request}")
}
