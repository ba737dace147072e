//! How failures, missing answers and crashes count against workers and tasks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How failures, missing answers and crashes count against workers and tasks.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HealthPolicy {
    /// A run that fails within this time of its start counts as a failure of the worker.
    #[serde(with = "super::millis")]
    pub early_failure: Duration,
    /// Number of jobs that must fail in succession on a worker before it is suspect.
    pub failed_jobs: u16,
    /// How long a worker stays suspect after failures, unless a run succeeds there. Worker faults
    /// seen in operation last about as long.
    #[serde(with = "super::millis")]
    pub suspect_after_failure: Duration,
    /// How long a worker stays suspect after it reported itself unhealthy.
    #[serde(with = "super::millis")]
    pub suspect_after_refusal: Duration,
    /// How long a worker stays suspect after a run there stalled or was a straggler.
    #[serde(with = "super::millis")]
    pub suspect_after_stall: Duration,
    /// Number of silent workers in a zone from which every worker of the zone counts as
    /// unresponsive until it answers.
    #[serde(rename = "doubtful_zone")]
    pub suspect_zone_workers: u16,
    /// Whether a worker that reports stays responsive although an order to it got no answer.
    #[serde(rename = "reports_count")]
    pub trusts_reports: bool,
    /// A worker that answered within this time does not become unresponsive together with its zone.
    #[serde(rename = "heard_lately", with = "super::millis")]
    pub recent_contact: Duration,
    /// Number of crashes of workers running a task at which the task is given up. Two crashes may
    /// be a coincidence: in incidents seen in operation, each crash affects a seventh of the fleet.
    pub max_crashes: u32,
    /// Number of crashes of workers at which a task is given up, including workers that had not
    /// answered its start. This stops work that crashes its workers before they can answer. A start
    /// that was sent to a worker which had already crashed counts too, but leaves four more
    /// attempts.
    pub max_losses: u32,
    /// The loss of a worker is attributed to runs that began within this time before its last
    /// answer, rather than to runs that had worked for longer.
    #[serde(with = "super::millis")]
    pub fresh_start: Duration,
    /// How long a worker takes to restart after a crash. A crash that must have come later than the
    /// likely end of a run is not certainly the run's.
    #[serde(with = "super::millis")]
    pub restart_time: Duration,
    /// How long a lost worker must be missing from the directory, and silent, to be presumed
    /// crashed. Healthy workers register again within 2 s of the store's return.
    #[serde(rename = "vanished_after", with = "super::millis")]
    pub presumed_crashed_after: Duration,
    /// Minimum time between two starts of a long-running task under which as many workers have
    /// crashed as make another task fail. Longer than a worker usually needs to restart, so that the
    /// task takes away one worker at a time, and short enough for a task that has to be back within
    /// 6 s.
    #[serde(with = "super::millis")]
    pub crashing_start_interval: Duration,
    /// How long a long-running task must be at work before its earlier crashes no longer count.
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
            restart_time: Duration::from_secs(1),
            presumed_crashed_after: Duration::from_secs(10),
            crashing_start_interval: Duration::from_secs(5),
            crashes_forgiven_after: Duration::from_secs(600),
        }
    }
}
