//! Thresholds, weights and time limits of the planner and of the daemon that runs it.
//!
//! The defaults are the values used in production. An experiment changes one of them with
//! `--policy GROUP.FIELD=VALUE` and compares the results, see docs/EXPERIMENTS.md. GROUP and FIELD
//! are the serialized names, which differ from the Rust names where a field has a `rename`
//! attribute. Values that a guarantee depends on, such as the maximum drift of a worker's clock,
//! are constants where they are used and can't be set here.
//!
//! Durations are serialized as whole milliseconds.
//!
//! ```
//! use stairstall_core::batch::Policy;
//!
//! let policy = Policy::default();
//! assert!(policy.reports.shortest_wait <= policy.reports.longest_wait);
//! ```

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

mod check;
mod daemon;
mod health;
mod load;
mod millis;
mod planner;

use check::{ordered, positive};
pub use daemon::{AcceptancePolicy, LinkPolicy, PeerPolicy, RolePolicy, WritePolicy};
pub use health::HealthPolicy;
pub use load::{AdmissionPolicy, RunTimePolicy, SchedulingPolicy, WorkerPacePolicy};
pub use planner::{
    AdvicePolicy, FlowPolicy, HeadroomPolicy, LeavingPolicy, OrderPolicy, PlacementPolicy,
    ReportPolicy, RunPacePolicy, TakeoverPolicy, VictimPolicy,
};

quick_error! {
    /// An inconsistent policy.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum PolicyError {
        /// A lower bound is above its upper bound.
        BoundsReversed(low: &'static str, high: &'static str) {
            display("{low} must not be more than {high}")
        }
        /// A count or divisor is zero.
        NotPositive(name: &'static str) {
            display("{name} must be more than zero")
        }
    }
}

/// All settings of the planner and of the daemon that runs it, grouped by mechanism.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Placement of tasks on workers.
    #[serde(rename = "places")]
    pub placement: PlacementPolicy,
    /// Preemption: which runs are stopped so that others can start.
    pub victims: VictimPolicy,
    /// Accelerators kept free for urgent work.
    pub headroom: HeadroomPolicy,
    /// How failures, missing answers and crashes count against workers and tasks.
    pub health: HealthPolicy,
    /// Detection of stalled runs and stragglers.
    #[serde(rename = "pace")]
    pub run_pace: RunPacePolicy,
    /// How often workers report.
    pub reports: ReportPolicy,
    /// Share of the planner's VM that messages to and from workers may use.
    pub flow: FlowPolicy,
    /// Retries and time limits of start and stop orders.
    pub orders: OrderPolicy,
    /// Which runs may finish on a worker that is leaving.
    pub leaving: LeavingPolicy,
    /// How long a new planner waits for reports.
    pub takeover: TakeoverPolicy,
    /// Requests to the adviser.
    pub advice: AdvicePolicy,
    /// Learning the pace of workers.
    pub worker_pace: WorkerPacePolicy,
    /// Learning run times.
    pub run_times: RunTimePolicy,
    /// Scheduling order within a rank.
    #[serde(rename = "turns")]
    pub scheduling: SchedulingPolicy,
    /// Which jobs are refused on submission.
    pub admission: AdmissionPolicy,
    /// Storing submitted jobs and refusals.
    pub acceptance: AcceptancePolicy,
    /// Detection of an unavailable store, and relaying work to peers.
    #[serde(rename = "reach")]
    pub peers: PeerPolicy,
    /// Acquiring and handing over the planner role.
    pub role: RolePolicy,
    /// Writes of job progress to the store.
    pub writing: WritePolicy,
    /// Calls to workers.
    pub links: LinkPolicy,
}

impl Policy {
    /// Checks that the values are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub fn check(&self) -> Result<(), PolicyError> {
        ordered(
            self.reports.shortest_wait,
            self.reports.longest_wait,
            ("reports.shortest_wait", "reports.longest_wait"),
        )?;
        ordered(
            self.acceptance.outage_settle_limit,
            self.acceptance.settle_limit,
            ("acceptance.outage_settle_limit", "acceptance.settle_limit"),
        )?;
        self.worker_pace.check()?;
        self.run_times.check()?;
        self.scheduling.check()?;
        self.admission.check()?;
        ordered(
            self.headroom.recent,
            self.headroom.window,
            ("headroom.recent", "headroom.window"),
        )?;
        positive(self.reports.reports_per_s, "reports.looks_per_s")?;
        positive(self.flow.message_us, "flow.message_us")?;
        positive(self.flow.message_bytes, "flow.message_bytes")?;
        positive(self.flow.start_bytes, "flow.start_bytes")?;
        positive(self.peers.introductions_per_s, "reach.introductions_per_s")?;
        positive(self.health.max_crashes, "health.max_crashes")?;
        positive(self.health.max_losses, "health.max_losses")?;
        positive(self.run_pace.stall_divisor, "pace.still_divisor")?;
        positive(
            self.run_pace.unconfirmed_stall_divisor,
            "pace.unsure_still_divisor",
        )?;
        positive(self.run_pace.gain_divisor, "pace.gain_divisor")?;
        positive(self.role.renewals_per_lease, "role.renewals_per_lease")?;
        positive(self.writing.max_in_flight, "writing.max_under_way")?;
        positive(self.writing.jobs_per_write, "writing.jobs_per_write")
    }
}
