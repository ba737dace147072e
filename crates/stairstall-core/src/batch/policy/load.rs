//! How the planner learns from the load and decides where there is too little room.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PolicyError;
use super::check::{ordered, positive};

/// How the pace of workers is learnt.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerPacePolicy {
    /// Whether it is learnt and used.
    #[serde(rename = "learns")]
    pub enabled: bool,
    /// How far the tasks of one step lie apart: the deviation of their times, in percent.
    pub task_spread_percent: u16,
    /// Up to which deviation, in percent, a worker's pace is known.
    pub known_spread_percent: u16,
    /// How many runs must have told of a worker until its pace is known.
    pub known_runs: u8,
    /// From how many percent of the usual time a worker counts as slow; as many times faster, as fast.
    pub slow_percent: u16,
    /// After how long without a word nothing is known of a worker any more.
    #[serde(rename = "widens_over", with = "super::millis")]
    pub forgotten_after: Duration,
    /// From how many percent of the usual time a worker is so slow that urgent work there ends late; as
    /// many times faster, so fast that others seem so.
    pub late_pace_percent: u16,
    /// How many of the known workers must differ by that until places are chosen by pace, in percent.
    #[serde(rename = "uneven_percent")]
    pub heterogeneous_percent: u8,
    /// Up to this many known workers, any that differs by `slow_percent` counts; above it, only those that
    /// differ by `late_pace_percent`.
    #[serde(rename = "uneven_first")]
    pub small_fleet_workers: u16,
    /// What a worker that isn't known costs urgent work, in percent of the work.
    #[serde(rename = "doubt_percent")]
    pub unknown_pace_cost_percent: u16,
    /// What a worker of usual pace costs work that has time, in percent of the work.
    #[serde(rename = "spare_percent")]
    pub usual_pace_cost_percent: u16,
    /// How much longer than expected work must have to its objective to have time, in percent.
    #[serde(rename = "margin_percent")]
    pub slack_percent: u16,
    /// What ending late costs beside the time, in percent of the work.
    #[serde(rename = "late_percent")]
    pub late_cost_percent: u16,
    /// From which part of the work on, in percent, a run's progress is learnt from.
    #[serde(rename = "told_percent")]
    pub min_progress_percent: u8,
}

impl WorkerPacePolicy {
    /// Checks that its values go together.
    ///
    /// # Errors
    ///
    /// Names the first value that doesn't.
    pub(super) fn check(&self) -> Result<(), PolicyError> {
        let whole = 100;
        ordered(
            whole,
            self.slow_percent,
            ("100", "worker_pace.slow_percent"),
        )?;
        ordered(
            self.slow_percent,
            self.late_pace_percent,
            ("worker_pace.slow_percent", "worker_pace.late_pace_percent"),
        )?;
        ordered(
            whole,
            self.slack_percent,
            ("100", "worker_pace.margin_percent"),
        )?;
        ordered(
            u16::from(self.min_progress_percent),
            whole,
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
            usual_pace_cost_percent: 25,
            slack_percent: 120,
            late_cost_percent: 100,
            min_progress_percent: 15,
        }
    }
}

/// How run times are learnt.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunTimePolicy {
    /// Whether they are learnt and used.
    #[serde(rename = "learns")]
    pub enabled: bool,
    /// Whether what still runs, or was stopped, counts beside what ended.
    pub counts_unfinished: bool,
    /// Whether what is learnt is written down for the next planner.
    #[serde(rename = "is_kept")]
    pub is_stored: bool,
    /// Runs of a queue from which its ratio of time to estimate is relied on.
    pub known_from: u16,
    /// The same for the runs of one customer in a queue; 0 tells no customers apart.
    pub customer_known_from: u16,
    /// Most runs that what is seen counts for: with each further one the earlier ones count less.
    #[serde(rename = "most_runs")]
    pub max_sample_weight: u16,
    /// How long until what was seen counts half: callers change their programs by the day.
    #[serde(with = "super::millis")]
    pub half_life: Duration,
    /// How often what runs is looked through.
    #[serde(rename = "look_interval", with = "super::millis")]
    pub scan_interval: Duration,
    /// Part of its work, in percent, from which a run's own pace tells its whole time.
    pub shown_percent: u8,
}

impl RunTimePolicy {
    /// Checks that its values go together.
    ///
    /// # Errors
    ///
    /// Names the first value that doesn't.
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
            shown_percent: 10,
        }
    }
}

/// Whose turn it is within a rank.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TurnPolicy {
    /// Whether what can still be in time comes before what can't.
    pub by_timeliness: bool,
    /// How many times its objective's span a result is still of use.
    pub late_bound: u32,
    /// Whether customers that have had less come first.
    #[serde(rename = "is_fair")]
    pub fair_share: bool,
    /// After what time use counts half.
    #[serde(with = "super::millis")]
    pub usage_half_life: Duration,
    /// Customers whose use differs by less, as time of the whole fleet, are taken to be alike.
    #[serde(with = "super::millis")]
    pub usage_step: Duration,
    /// How often what runs is charged to its customers.
    #[serde(with = "super::millis")]
    pub usage_interval: Duration,
    /// Most customers of which an account is kept.
    pub max_customers: u32,
    /// After how many times its objective's span a job is aged; 0 switches ageing off.
    pub aged_after: u32,
    /// How often the oldest aged job comes first.
    #[serde(rename = "aged_gap", with = "super::millis")]
    pub aged_interval: Duration,
}

impl TurnPolicy {
    /// Checks that its values go together.
    ///
    /// # Errors
    ///
    /// Names the first value that doesn't.
    pub(super) fn check(&self) -> Result<(), PolicyError> {
        let is_ageing = self.aged_after > 0;
        let aged_after = if is_ageing { self.aged_after } else { u32::MAX };
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

impl Default for TurnPolicy {
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

/// What is refused before it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionPolicy {
    /// Whether work is refused that no worker can ever hold.
    pub refuses_impossible: bool,
    /// Whether work is refused that would surely start when it is of no use any more.
    #[serde(rename = "refuses_hopeless")]
    pub refuses_too_late: bool,
    /// How old the planner's word may be where work is refused as impossible.
    #[serde(rename = "impossible_fresh_for", with = "super::millis")]
    pub impossible_max_age: Duration,
    /// How old it may be where work is refused as hopeless.
    #[serde(rename = "hopeless_fresh_for", with = "super::millis")]
    pub too_late_max_age: Duration,
    /// How long a planner must have watched the workers before anything is impossible: longer than
    /// a worker that crashes or is moved stays away.
    #[serde(rename = "impossible_after", with = "super::millis")]
    pub impossible_min_observed: Duration,
    /// How long it must have known its load before anything is hopeless.
    #[serde(rename = "hopeless_after", with = "super::millis")]
    pub too_late_min_observed: Duration,
    /// How long workers and labels count that are away.
    #[serde(rename = "remembers_workers_for", with = "super::millis")]
    pub worker_retention: Duration,
    /// After how many times its objective a result is of no use.
    pub late_objectives: u32,
    /// Work that is of use for longer than this is never hopeless: forecasts don't reach so far, and
    /// nobody waits at a connection.
    #[serde(rename = "waits_from", with = "super::millis")]
    pub max_judged_span: Duration,
    /// How much too late the earliest start must be at least.
    #[serde(with = "super::millis")]
    pub margin: Duration,
    /// The same in percent of the time for which the result is of use.
    pub margin_percent: u32,
    /// How often the planner sums up its load, at most.
    #[serde(rename = "sums_up_every", with = "super::millis")]
    pub summary_interval: Duration,
    /// How old a daemon's word on the load becomes before it asks for another one, where there are
    /// few daemons.
    #[serde(rename = "asks_every", with = "super::millis")]
    pub min_refresh_interval: Duration,
    /// The same where there are many.
    #[serde(rename = "asks_at_least_every", with = "super::millis")]
    pub max_refresh_interval: Duration,
    /// Shortest time to stay away.
    #[serde(rename = "shortest_return", with = "super::millis")]
    pub min_retry_after: Duration,
    /// Longest time to stay away.
    #[serde(rename = "longest_return", with = "super::millis")]
    pub max_retry_after: Duration,
    /// Between the returns of two callers that one daemon refused.
    #[serde(rename = "return_spacing", with = "super::millis")]
    pub retry_after_spacing: Duration,
    /// How long the mark of a refusal lasts at most.
    #[serde(rename = "mark_lease", with = "super::millis")]
    pub max_mark_lifetime: Duration,
    /// How long it lasts at least: longer than the longest return, and than a write may be late.
    #[serde(rename = "mark_lasts", with = "super::millis")]
    pub min_mark_lifetime: Duration,
    /// How long after a call began it may take the place of a mark: its caller still waits then.
    #[serde(with = "super::millis")]
    pub replaces_within: Duration,
}

impl AdmissionPolicy {
    /// Checks that its values go together.
    ///
    /// # Errors
    ///
    /// Names the first value that doesn't.
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
        }
    }
}
