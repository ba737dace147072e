//! Everything that decides by a threshold, a weight or a wait, in one value.
//!
//! The defaults are the product's; an experiment changes one of them with
//! `--policy GROUP.FIELD=VALUE` and compares, see docs/EXPERIMENTS.md. What is
//! needed for a promise to hold, such as how far a worker's clock may drift,
//! is a constant where it is used and can't be set here.
//!
//! Durations are written as whole milliseconds.
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
pub use daemon::{AcceptancePolicy, LinkPolicy, ReachPolicy, RolePolicy, WritePolicy};
pub use health::HealthPolicy;
pub use load::{AdmissionPolicy, RunTimePolicy, TurnPolicy, WorkerPacePolicy};
pub use planner::{
    AdvicePolicy, FlowPolicy, HeadroomPolicy, LeavingPolicy, OrderPolicy, PacePolicy, PlacePolicy,
    ReportPolicy, TakeoverPolicy, VictimPolicy,
};

quick_error! {
    /// A policy whose values don't go together.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum PolicyError {
        /// A bound is above the one that it has to stay below.
        Order(low: &'static str, high: &'static str) {
            display("{low} must not be more than {high}")
        }
        /// A value that counts or divides is zero.
        Zero(name: &'static str) {
            display("{name} must be more than zero")
        }
    }
}

/// How the planner and the daemon round it decide, by mechanism.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Where tasks are put.
    pub places: PlacePolicy,
    /// Who gives way to whom.
    pub victims: VictimPolicy,
    /// Room that is kept free for urgent work.
    pub headroom: HeadroomPolicy,
    /// What failures and silence say of a worker.
    pub health: HealthPolicy,
    /// When a run is taken to stand still or to be slow.
    pub pace: PacePolicy,
    /// How often workers report.
    pub reports: ReportPolicy,
    /// How much of its VM the planner's messages may take.
    pub flow: FlowPolicy,
    /// Starts and stops that get no answer.
    pub orders: OrderPolicy,
    /// What stays on a worker that leaves.
    pub leaving: LeavingPolicy,
    /// What a new planner waits for.
    pub takeover: TakeoverPolicy,
    /// How the adviser is asked.
    pub advice: AdvicePolicy,
    /// How the pace of workers is learnt.
    pub worker_pace: WorkerPacePolicy,
    /// How run times are learnt.
    pub run_times: RunTimePolicy,
    /// Whose turn it is within a rank.
    pub turns: TurnPolicy,
    /// What is refused before it is kept.
    pub admission: AdmissionPolicy,
    /// How a job is accepted, or refused.
    pub acceptance: AcceptancePolicy,
    /// How a daemon finds out whether it can have work kept.
    pub reach: ReachPolicy,
    /// How the planner's role is taken and kept.
    pub role: RolePolicy,
    /// How progress is written.
    pub writing: WritePolicy,
    /// How workers are called.
    pub links: LinkPolicy,
}

impl Policy {
    /// Checks what must go together.
    ///
    /// # Errors
    ///
    /// Returns the first pair of values that don't.
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
        self.turns.check()?;
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
        positive(self.reach.introductions_per_s, "reach.introductions_per_s")?;
        positive(self.health.max_crashes, "health.max_crashes")?;
        positive(self.health.max_losses, "health.max_losses")?;
        positive(self.pace.stall_divisor, "pace.still_divisor")?;
        positive(
            self.pace.unconfirmed_stall_divisor,
            "pace.unsure_still_divisor",
        )?;
        positive(self.pace.gain_divisor, "pace.gain_divisor")?;
        positive(self.role.renewals_per_lease, "role.renewals_per_lease")?;
        positive(self.writing.max_in_flight, "writing.max_under_way")?;
        positive(self.writing.jobs_per_write, "writing.jobs_per_write")
    }
}
