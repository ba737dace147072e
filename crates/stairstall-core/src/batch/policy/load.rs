//! Settings for learning from runs, for the scheduling order and for admission.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PolicyError;
use super::check::{ordered, positive};

/// Learning the pace of workers: how long work takes there compared with a typical worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerPacePolicy {
    /// Whether the pace is learned and used.
    #[serde(rename = "learns")]
    pub enabled: bool,
    /// Assumed standard deviation of the run times of one step's tasks, in percent.
    pub task_spread_percent: u16,
    /// Standard deviation, in percent, up to which a worker's pace counts as known.
    pub known_spread_percent: u16,
    /// Number of runs that must contribute before a worker's pace counts as known.
    pub known_runs: u8,
    /// Run time, in percent of the typical one, from which a worker counts as slow. A worker that
    /// is faster by the same factor counts as fast.
    pub slow_percent: u16,
    /// Time without a sample after which nothing is known of a worker's pace any more.
    #[serde(rename = "widens_over", with = "super::millis")]
    pub forgotten_after: Duration,
    /// Run time, in percent of the typical one, from which a worker is so slow that urgent work
    /// ends late there. A worker that is faster by the same factor counts likewise, since the
    /// others are that slow in comparison.
    pub late_pace_percent: u16,
    /// Share of known workers, in percent, that must differ in pace before placement considers it.
    #[serde(rename = "uneven_percent")]
    pub heterogeneous_percent: u8,
    /// With up to this many known workers, each one that differs by `slow_percent` counts; with
    /// more, only those that differ by `late_pace_percent`.
    #[serde(rename = "uneven_first")]
    pub small_fleet_workers: u16,
    /// Cost of a worker of unknown pace for urgent work, in percent of the work.
    #[serde(rename = "doubt_percent")]
    pub unknown_pace_cost_percent: u16,
    /// Cost of a worker of typical pace for work that has slack, in percent of the work.
    #[serde(rename = "spare_percent")]
    pub typical_pace_cost_percent: u16,
    /// Work has slack if the time to its objective is at least this many percent of its expected
    /// run time.
    #[serde(rename = "margin_percent")]
    pub slack_percent: u16,
    /// Cost of ending late in addition to the run time, in percent of the work.
    #[serde(rename = "late_percent")]
    pub late_cost_percent: u16,
    /// Share of the work, in percent, from which a run's progress contributes to the pace.
    #[serde(rename = "told_percent")]
    pub min_progress_percent: u8,
}

impl WorkerPacePolicy {
    /// Checks that the values are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub(super) fn check(&self) -> Result<(), PolicyError> {
        let hundred_percent = 100;
        ordered(
            hundred_percent,
            self.slow_percent,
            ("100", "worker_pace.slow_percent"),
        )?;
        ordered(
            self.slow_percent,
            self.late_pace_percent,
            ("worker_pace.slow_percent", "worker_pace.late_pace_percent"),
        )?;
        ordered(
            hundred_percent,
            self.slack_percent,
            ("100", "worker_pace.margin_percent"),
        )?;
        ordered(
            u16::from(self.min_progress_percent),
            hundred_percent,
            ("worker_pace.told_percent", "100"),
        )?;
        positive(self.task_spread_percent, "worker_pace.task_spread_percent")?;
        positive(
            self.known_spread_percent,
            "worker_pace.known_spread_percent",
        )?;
        positive(self.forgotten_after, "worker_pace.widens_over")?;
        positive(self.min_progress_percent, "worker_pace.told_percent")
    }
}

impl Default for WorkerPacePolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            task_spread_percent: 20,
            known_spread_percent: 25,
            known_runs: 1,
            slow_percent: 130,
            forgotten_after: Duration::from_secs(240),
            late_pace_percent: 150,
            heterogeneous_percent: 10,
            small_fleet_workers: 40,
            unknown_pace_cost_percent: 20,
            typical_pace_cost_percent: 25,
            slack_percent: 120,
            late_cost_percent: 100,
            min_progress_percent: 15,
        }
    }
}

/// Learning run times.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunTimePolicy {
    /// Whether run times are learned and used.
    #[serde(rename = "learns")]
    pub enabled: bool,
    /// Whether unfinished and stopped runs count in addition to completed ones.
    pub counts_unfinished: bool,
    /// Whether learned run times are stored for the next planner.
    #[serde(rename = "is_kept")]
    pub is_stored: bool,
    /// Number of runs of a queue from which its ratio of run time to estimate is relied on.
    pub known_from: u16,
    /// Number of runs of one customer in a queue from which the customer's own ratio is relied on;
    /// 0 does not distinguish customers.
    pub customer_known_from: u16,
    /// Maximum number of runs that the samples count for. Beyond it, each further run reduces the
    /// weight of earlier ones.
    #[serde(rename = "most_runs")]
    pub max_sample_weight: u16,
    /// Time after which a sample counts half. Callers change their programs from day to day.
    #[serde(with = "super::millis")]
    pub half_life: Duration,
    /// Interval between scans of the current runs.
    #[serde(rename = "look_interval", with = "super::millis")]
    pub scan_interval: Duration,
    /// Share of its work, in percent, from which a run's own progress predicts its total run time.
    #[serde(rename = "shown_percent")]
    pub min_progress_percent: u8,
}

impl RunTimePolicy {
    /// Checks that the values are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub(super) fn check(&self) -> Result<(), PolicyError> {
        ordered(
            self.known_from.max(self.customer_known_from),
            self.max_sample_weight,
            ("run_times.known_from", "run_times.most_runs"),
        )?;
        positive(self.known_from, "run_times.known_from")?;
        positive(self.half_life, "run_times.half_life")
    }
}

impl Default for RunTimePolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            counts_unfinished: true,
            is_stored: true,
            known_from: 8,
            customer_known_from: 30,
            max_sample_weight: 200,
            half_life: Duration::from_secs(6 * 3_600),
            scan_interval: Duration::from_secs(1),
            min_progress_percent: 10,
        }
    }
}

/// Scheduling order within a rank.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulingPolicy {
    /// Whether jobs that can still be in time come before those that can't.
    pub by_timeliness: bool,
    /// Late bound: a result is of use for this many times the span of its objective, the time from
    /// when the work becomes eligible to its objective.
    pub late_bound: u32,
    /// Whether customers with less usage come first.
    #[serde(rename = "is_fair")]
    pub fair_share: bool,
    /// Time after which usage counts half.
    #[serde(with = "super::millis")]
    pub usage_half_life: Duration,
    /// Customers whose usage differs by less than this time of the whole fleet count as equal.
    #[serde(with = "super::millis")]
    pub usage_step: Duration,
    /// Interval at which current runs are charged to their customers.
    #[serde(with = "super::millis")]
    pub usage_interval: Duration,
    /// Maximum number of customers whose usage is tracked.
    pub max_customers: u32,
    /// A job is aged after this many times the span of its objective; 0 disables aging.
    pub aged_after: u32,
    /// Interval at which the oldest aged job comes before all other work that is not urgent.
    #[serde(rename = "aged_gap", with = "super::millis")]
    pub aged_interval: Duration,
}

impl SchedulingPolicy {
    /// Checks that the values are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub(super) fn check(&self) -> Result<(), PolicyError> {
        let is_aging = self.aged_after > 0;
        let aged_after = if is_aging { self.aged_after } else { u32::MAX };
        ordered(
            self.late_bound,
            aged_after,
            ("turns.late_bound", "turns.aged_after"),
        )?;
        positive(self.late_bound, "turns.late_bound")?;
        positive(self.usage_half_life, "turns.usage_half_life")?;
        positive(self.usage_step, "turns.usage_step")?;
        positive(self.max_customers, "turns.max_customers")
    }
}

impl Default for SchedulingPolicy {
    fn default() -> Self {
        Self {
            by_timeliness: true,
            late_bound: 3,
            fair_share: true,
            usage_half_life: Duration::from_secs(30),
            usage_step: Duration::from_millis(100),
            usage_interval: Duration::from_millis(250),
            max_customers: 1_000,
            aged_after: 6,
            aged_interval: Duration::from_secs(1),
        }
    }
}

/// Which jobs are refused on submission.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionPolicy {
    /// Whether jobs are refused that no worker can ever run.
    pub refuses_impossible: bool,
    /// Whether jobs are refused that would certainly start too late to be of use.
    #[serde(rename = "refuses_hopeless")]
    pub refuses_too_late: bool,
    /// Maximum age of the planner's load summary for refusing a job as impossible.
    #[serde(rename = "impossible_fresh_for", with = "super::millis")]
    pub impossible_max_age: Duration,
    /// Maximum age of the planner's load summary for refusing a job as too late.
    #[serde(rename = "hopeless_fresh_for", with = "super::millis")]
    pub too_late_max_age: Duration,
    /// How long a planner must have observed the workers before any job is refused as impossible.
    /// Longer than a worker that crashed or is moved stays away.
    #[serde(rename = "impossible_after", with = "super::millis")]
    pub impossible_min_observed: Duration,
    /// How long a planner must have known its load before any job is refused as too late.
    #[serde(rename = "hopeless_after", with = "super::millis")]
    pub too_late_min_observed: Duration,
    /// How long absent workers and their labels still count as present.
    #[serde(rename = "remembers_workers_for", with = "super::millis")]
    pub worker_retention: Duration,
    /// A result is of no use after this many times the span of its objective, the time from
    /// acceptance to its objective.
    pub late_objectives: u32,
    /// Jobs whose result is of use for longer than this are never too late: forecasts don't reach
    /// that far, and no caller waits on a connection for them.
    #[serde(rename = "waits_from", with = "super::millis")]
    pub max_judged_span: Duration,
    /// Minimum by which a job's earliest start must be too late for the job to be refused.
    #[serde(with = "super::millis")]
    pub margin: Duration,
    /// Minimum by which a job's earliest start must be too late, in percent of the time for which
    /// its result is of use. The longer of this and `margin` applies.
    pub margin_percent: u32,
    /// Shortest interval at which the planner summarizes its load.
    #[serde(rename = "sums_up_every", with = "super::millis")]
    pub summary_interval: Duration,
    /// Age at which a daemon's load summary is refreshed, where there are few daemons.
    #[serde(rename = "asks_every", with = "super::millis")]
    pub min_refresh_interval: Duration,
    /// Age at which a daemon's load summary is refreshed, where there are many daemons.
    #[serde(rename = "asks_at_least_every", with = "super::millis")]
    pub max_refresh_interval: Duration,
    /// Shortest delay after which a refused caller is told to retry.
    #[serde(rename = "shortest_return", with = "super::millis")]
    pub min_retry_after: Duration,
    /// Longest delay after which a refused caller is told to retry.
    #[serde(rename = "longest_return", with = "super::millis")]
    pub max_retry_after: Duration,
    /// Time between the retries of two callers that the same daemon refused.
    #[serde(rename = "return_spacing", with = "super::millis")]
    pub retry_after_spacing: Duration,
    /// Longest lifetime of the mark that records a refusal in the store.
    #[serde(rename = "mark_lease", with = "super::millis")]
    pub max_mark_lifetime: Duration,
    /// Shortest lifetime of the mark that records a refusal in the store. Longer than
    /// `max_retry_after`, and longer than a write may be delayed.
    #[serde(rename = "mark_lasts", with = "super::millis")]
    pub min_mark_lifetime: Duration,
    /// How long after its start a call may replace the mark of a refusal by the accepted job. Its
    /// caller is still waiting then.
    #[serde(with = "super::millis")]
    pub replaces_within: Duration,
    /// How many marks of cancelled IDs that no job has one daemon keeps for one customer.
    pub max_cancel_marks_per_customer: usize,
    /// How many such marks one daemon keeps for all customers.
    pub max_cancel_marks: usize,
}

impl AdmissionPolicy {
    /// Checks that the values are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency.
    pub(super) fn check(&self) -> Result<(), PolicyError> {
        ordered(
            self.min_retry_after,
            self.max_retry_after,
            ("admission.shortest_return", "admission.longest_return"),
        )?;
        ordered(
            self.max_retry_after,
            self.min_mark_lifetime,
            ("admission.longest_return", "admission.mark_lasts"),
        )?;
        ordered(
            self.min_mark_lifetime,
            self.max_mark_lifetime,
            ("admission.mark_lasts", "admission.mark_lease"),
        )?;
        ordered(
            self.min_refresh_interval,
            self.max_refresh_interval,
            ("admission.asks_every", "admission.asks_at_least_every"),
        )?;
        positive(self.late_objectives, "admission.late_objectives")
    }
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self {
            refuses_impossible: true,
            refuses_too_late: true,
            impossible_max_age: Duration::from_secs(10),
            too_late_max_age: Duration::from_secs(3),
            impossible_min_observed: Duration::from_secs(30),
            too_late_min_observed: Duration::from_secs(3),
            worker_retention: Duration::from_secs(60),
            late_objectives: 3,
            max_judged_span: Duration::from_secs(120),
            margin: Duration::from_secs(1),
            margin_percent: 25,
            summary_interval: Duration::from_millis(250),
            min_refresh_interval: Duration::from_secs(1),
            max_refresh_interval: Duration::from_secs(5),
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(20),
            retry_after_spacing: Duration::from_millis(50),
            max_mark_lifetime: Duration::from_secs(60),
            min_mark_lifetime: Duration::from_secs(30),
            replaces_within: Duration::from_millis(500),
            max_cancel_marks_per_customer: 64,
            max_cancel_marks: 1_024,
        }
    }
}
