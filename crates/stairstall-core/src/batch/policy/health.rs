//! What failures, silence and crashes say of workers and of tasks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What failures and silence say of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthPolicy {
    /// A failure within this time of the start is the worker's.
    #[serde(with = "super::millis")]
    pub early_failure: Duration,
    /// Jobs that fail one after the other at a worker until it is suspect.
    pub failed_jobs: u16,
    /// How long a worker gets nothing new after failures, unless something succeeds there; the
    /// troubles of the first sites last about as long.
    #[serde(with = "super::millis")]
    pub suspect_after_failure: Duration,
    /// The same after it called itself unhealthy.
    #[serde(with = "super::millis")]
    pub suspect_after_refusal: Duration,
    /// The same after something stood still or was slow there.
    #[serde(with = "super::millis")]
    pub suspect_after_stall: Duration,
    /// Silent workers of a zone that cast doubt on all of it.
    #[serde(rename = "doubtful_zone")]
    pub suspect_zone_workers: u16,
    /// Whether a worker that reports is not in doubt, though an order got no answer.
    #[serde(rename = "reports_count")]
    pub trusts_reports: bool,
    /// A worker that answered within this time is not in doubt with its zone.
    #[serde(rename = "heard_lately", with = "super::millis")]
    pub recent_contact: Duration,
    /// Workers that may crash under a task before it is given up. Two crashes may be chance: each
    /// takes a seventh of the fleet in the troubles of the first sites.
    pub max_crashes: u32,
    /// The same with those that crashed without an answer to its start: work that crashes its
    /// workers before they can answer ends there, while a start that came after a crash leaves room
    /// for four more.
    pub max_losses: u32,
    /// A run that began within this time before its worker was last heard is put its loss down to,
    /// rather than those that had worked for longer.
    #[serde(with = "super::millis")]
    pub fresh_start: Duration,
    /// How long a worker that was lost must be missing in the directory, and silent, to be taken for
    /// crashed: those that are well list themselves again within 2 s of the store's return.
    #[serde(rename = "vanished_after", with = "super::millis")]
    pub presumed_crashed_after: Duration,
    /// How long a task that lasts must be at work until earlier crashes count no longer.
    #[serde(with = "super::millis")]
    pub crashes_forgiven_after: Duration,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            early_failure: Duration::from_millis(150),
            failed_jobs: 2,
            suspect_after_failure: Duration::from_secs(6),
            suspect_after_refusal: Duration::from_secs(2),
            suspect_after_stall: Duration::from_secs(6),
            suspect_zone_workers: 3,
            trusts_reports: true,
            recent_contact: Duration::from_millis(200),
            max_crashes: 3,
            max_losses: 5,
            fresh_start: Duration::from_secs(1),
            presumed_crashed_after: Duration::from_secs(10),
            crashes_forgiven_after: Duration::from_secs(600),
        }
    }
}
