//! Settings of the planner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Placement of tasks on workers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Shortest assumed run time of a task. Estimates may be zero.
    #[serde(rename = "min_expected", with = "super::millis")]
    pub min_run_time: Duration,
    /// How long urgent work waits for free capacity near its data before it is placed elsewhere.
    /// This is a third of the work of most urgent jobs seen in operation.
    #[serde(rename = "near_patience_urgent", with = "super::millis")]
    pub locality_wait_urgent: Duration,
    /// How long work waits for a worker to come back to the rack of its data where none is left.
    #[serde(with = "super::millis")]
    pub rack_return_wait: Duration,
    /// How long a job may have nothing running while under half of its service is in use and a step
    /// of it fits twice over, whatever that capacity is kept for. Well below the 3 s after which the
    /// platform counts the job as lost: a pass and a start come on top.
    #[serde(with = "super::millis")]
    pub max_idle: Duration,
    /// The same while half of the service or more is in use. Longer, since what the job takes then
    /// is likely to be preempted by urgent work.
    #[serde(with = "super::millis")]
    pub max_idle_when_busy: Duration,
    /// How long other work waits for a worker that is not suspect.
    #[serde(rename = "suspect_patience", with = "super::millis")]
    pub suspect_wait: Duration,
    /// How long urgent work waits for a worker that is not suspect.
    #[serde(rename = "suspect_patience_urgent", with = "super::millis")]
    pub suspect_wait_urgent: Duration,
    /// How long a gang waits before capacity is reserved for it.
    #[serde(rename = "hold_back_after", with = "super::millis")]
    pub reserve_after: Duration,
    /// Maximum number of gangs with a reservation at a time; 0 disables reservations.
    #[serde(rename = "max_held_back")]
    pub max_reservations: u16,
    /// Whether a reservation lasts until the gang starts or can no longer be as timely.
    #[serde(rename = "keeps_dates")]
    pub keeps_reservations: bool,
    /// Whether smaller work may use reserved capacity if it certainly ends before the gang's
    /// expected start.
    #[serde(rename = "fills_in")]
    pub backfills: bool,
    /// Share of the work, in percent, from which a run's pace is relied on.
    #[serde(rename = "shown_percent")]
    pub min_progress_percent: u8,
    /// Cost of a suspect worker, as a multiple of the task's work.
    pub suspect_penalty: u16,
    /// Cost of a worker where no run has succeeded, for a task that has failed, as a multiple of
    /// its work.
    pub unproven_penalty: u16,
    /// Cost of the worker where the task failed last, as a multiple of its work.
    pub failed_here_penalty: u16,
    /// Cost of a worker running another job under which workers were lost, for a task under which
    /// workers were lost too, as a multiple of its work.
    pub suspect_neighbour_penalty: u16,
    /// Whether work is placed in its caller's zone where that has no cost.
    pub prefers_callers_zone: bool,
}

impl PlacementPolicy {
    /// Returns how long a job may have nothing running, however much of its service is in use.
    #[must_use]
    pub fn shortest_max_idle(&self) -> Duration {
        self.max_idle.min(self.max_idle_when_busy)
    }
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            min_run_time: Duration::from_millis(200),
            locality_wait_urgent: Duration::from_millis(900),
            rack_return_wait: Duration::from_secs(2),
            max_idle: Duration::from_secs(2),
            max_idle_when_busy: Duration::from_millis(2_400),
            suspect_wait: Duration::from_secs(3),
            suspect_wait_urgent: Duration::from_secs(1),
            reserve_after: Duration::from_millis(1_500),
            max_reservations: 2,
            keeps_reservations: true,
            backfills: true,
            min_progress_percent: 5,
            suspect_penalty: 4,
            unproven_penalty: 1,
            failed_here_penalty: 2,
            suspect_neighbour_penalty: 4,
            prefers_callers_zone: true,
        }
    }
}

/// Preemption: which runs are stopped so that others can start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VictimPolicy {
    /// Cost of a stop in addition to the lost work, as time on the run's resources.
    #[serde(with = "super::millis")]
    pub stop_cost: Duration,
    /// Whether a guaranteed job lets other urgent runs continue for as long as it can still start
    /// in time.
    pub claims_wait: bool,
    /// Time that a guaranteed job sets aside for repeated orders, in addition to the time of a
    /// stop.
    #[serde(with = "super::millis")]
    pub claim_margin: Duration,
    /// Maximum cost of stopping a run with checkpoints, as time of its work.
    #[serde(with = "super::millis")]
    pub restore_cost: Duration,
    /// Whether preempting a gang that becomes late only by its preemption costs its whole work in
    /// addition.
    #[serde(rename = "counts_lateness")]
    pub counts_caused_lateness: bool,
    /// Additional cost of preempting a gang for each earlier preemption, as time on its resources.
    #[serde(rename = "again_cost", with = "super::millis")]
    pub repeat_preemption_cost: Duration,
    /// How many times its own work urgent work may discard by preemption; 0 sets no limit. The
    /// limit holds for a guaranteed job for as long as it can still start in time.
    #[serde(rename = "most_lost")]
    pub max_lost_factor: u32,
    /// How long a preempted gang waits before it restarts on capacity that urgent work may take
    /// back. Doubles with each preemption.
    #[serde(rename = "returns_after", with = "super::millis")]
    pub restart_backoff: Duration,
}

impl Default for VictimPolicy {
    fn default() -> Self {
        Self {
            stop_cost: Duration::from_millis(200),
            claims_wait: true,
            claim_margin: Duration::from_secs(1),
            restore_cost: Duration::from_millis(300),
            counts_caused_lateness: true,
            repeat_preemption_cost: Duration::from_secs(1),
            max_lost_factor: 1,
            restart_backoff: Duration::from_secs(1),
        }
    }
}

/// Accelerators kept free for urgent work, so that it need not preempt other runs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeadroomPolicy {
    /// How long an arrival counts towards expected demand.
    #[serde(with = "super::millis")]
    pub window: Duration,
    /// Seconds of urgent demand for which accelerators are kept free.
    pub kept_seconds: f64,
    /// Final fraction of the time for which a gang may wait, over which the headroom withheld from
    /// it shrinks to zero. A wide gang would never start otherwise. 0 disables this.
    pub yields_from: f64,
    /// Additional seconds of urgent demand for which accelerators are kept free, for each second
    /// that a stop takes.
    pub kept_per_stop: f64,
    /// Whether headroom follows rising or falling demand.
    pub follows_change: bool,
    /// Arrivals within this time are compared with earlier ones to detect a change of demand.
    #[serde(with = "super::millis")]
    pub recent: Duration,
    /// Standard deviations of a random count from which a difference counts as a change.
    #[serde(rename = "sure_from")]
    pub change_threshold: f64,
    /// Whether headroom for a job is kept no longer than the job holds its accelerators, where that
    /// is known.
    pub bounded_by_run_time: bool,
}

impl Default for HeadroomPolicy {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            kept_seconds: 0.25,
            yields_from: 0.3,
            kept_per_stop: 5.3,
            follows_change: false,
            recent: Duration::from_secs(2),
            change_threshold: 2.5,
            bounded_by_run_time: false,
        }
    }
}

/// Detection of stalled runs and stragglers, which are moved to other workers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunPacePolicy {
    /// Shortest interval between two scans of the runs.
    #[serde(with = "super::millis")]
    pub interval: Duration,
    /// Maximum number of moves of one task or gang; 0 disables moves.
    pub max_moves: u8,
    /// Shortest time without any progress since the start that counts as a stall.
    #[serde(rename = "still_from_start", with = "super::millis")]
    pub stall_from_start: Duration,
    /// Shortest time without further progress that counts as a stall.
    #[serde(rename = "still_later", with = "super::millis")]
    pub stall_later: Duration,
    /// Fraction of the expected run time that counts as a stall, as a divisor.
    #[serde(rename = "still_divisor")]
    pub stall_divisor: u64,
    /// Shortest time without progress that counts as a stall where it is unknown whether the whole
    /// gang works.
    #[serde(rename = "unsure_still", with = "super::millis")]
    pub unconfirmed_stall: Duration,
    /// Fraction of the expected run time that counts as a stall where it is unknown whether the
    /// whole gang works, as a divisor.
    #[serde(rename = "unsure_still_divisor")]
    pub unconfirmed_stall_divisor: u64,
    /// Shortest working time from which a run's pace is judged.
    #[serde(rename = "judged_after", with = "super::millis")]
    pub min_judged_work: Duration,
    /// Multiple of the typical run time above which a run is a straggler.
    pub slow_factor: u64,
    /// What a move must save beyond its cost, as a divisor of the cost.
    pub gain_divisor: u64,
}

impl Default for RunPacePolicy {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(100),
            max_moves: 4,
            stall_from_start: Duration::from_millis(700),
            stall_later: Duration::from_secs(1),
            stall_divisor: 25,
            unconfirmed_stall: Duration::from_millis(2_500),
            unconfirmed_stall_divisor: 5,
            min_judged_work: Duration::from_millis(700),
            slow_factor: 3,
            gain_divisor: 4,
        }
    }
}

/// How often workers report. Frequent reports show trouble sooner, and leases outlast a longer loss
/// of contact; but each report costs bandwidth and CPU.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportPolicy {
    /// Target number of reports per second over all workers.
    #[serde(rename = "looks_per_s")]
    pub reports_per_s: u32,
    /// Shortest time that a worker waits for a run to end before it reports.
    #[serde(with = "super::millis")]
    pub shortest_wait: Duration,
    /// Longest time that a worker waits for a run to end before it reports.
    #[serde(with = "super::millis")]
    pub longest_wait: Duration,
}

impl Default for ReportPolicy {
    fn default() -> Self {
        Self {
            reports_per_s: 1_000,
            shortest_wait: Duration::from_millis(300),
            longest_wait: Duration::from_secs(2),
        }
    }
}

/// Share of the planner's own VM that messages to and from workers may use.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowPolicy {
    /// Share of the bandwidth for reports, in percent. The rest is for orders, the list of workers
    /// and callers.
    #[serde(rename = "reports_percent")]
    pub reports_bandwidth_percent: u32,
    /// Share of the CPU for reports, in percent. Starts may use the same share in addition.
    #[serde(rename = "processor_percent")]
    pub cpu_percent: u32,
    /// Assumed CPU time of a call to a worker, in microseconds. All daemons together use 50 s of
    /// CPU time for 125,000 reports and 44,000 starts, including all other work.
    pub message_us: u32,
    /// Assumed bytes of a call on the link in addition to its body: headers and packets.
    pub message_bytes: u32,
    /// Assumed bytes of a start order on the link.
    pub start_bytes: u32,
    /// Maximum time that the link needs to transfer all starts in flight. Well below the time after
    /// which a start counts as unanswered.
    #[serde(with = "super::millis")]
    pub start_window: Duration,
    /// Maximum time that the CPU and the link need for all requests in flight that only find out
    /// whether a worker answers. Well below the time after which a report counts as missing.
    #[serde(with = "super::millis")]
    pub contact_window: Duration,
    /// Memory of the planner for each worker that it is connected to, with its connections, tasks
    /// and jobs, in KB.
    pub worker_memory_kb: u32,
    /// Connections of the planner to each worker, in hundredths: a report that waits takes one, an
    /// order a second one.
    pub worker_connections_percent: u32,
    /// Share of the VM's memory and open files for workers, in percent. The rest is for callers,
    /// other daemons and the store.
    pub workers_vm_percent: u32,
    /// Time between two planning passes over the waiting work, in microseconds per worker. A pass
    /// takes a tenth of that or less.
    pub pass_gap_us: u32,
}

impl FlowPolicy {
    /// Returns the time between two planning passes, in whole milliseconds.
    #[must_use]
    pub fn pass_interval(&self, workers: usize) -> Duration {
        let us = u64::from(self.pass_gap_us).saturating_mul(workers as u64);
        Duration::from_millis(us / 1_000)
    }
}

impl Default for FlowPolicy {
    fn default() -> Self {
        Self {
            reports_bandwidth_percent: 35,
            cpu_percent: 25,
            message_us: 100,
            message_bytes: 350,
            start_bytes: 1_000,
            start_window: Duration::from_millis(150),
            contact_window: Duration::from_millis(100),
            worker_memory_kb: 40,
            worker_connections_percent: 140,
            workers_vm_percent: 90,
            pass_gap_us: 5,
        }
    }
}

/// Retries and time limits of start and stop orders.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderPolicy {
    /// Lease that a start order carries. Reports extend it.
    #[serde(with = "super::millis")]
    pub start_lease: Duration,
    /// Maximum number of start orders sent for one run before it is given up.
    pub max_tries: u8,
    /// How long after a stop should have ended it is sent again.
    #[serde(rename = "stop_again", with = "super::millis")]
    pub stop_retry_after: Duration,
    /// How long a run whose task is already done may take to end by itself.
    #[serde(rename = "unwanted_patience", with = "super::millis")]
    pub unwanted_grace: Duration,
    /// How long a planned run waits for its resources in addition to the time that a stop takes.
    #[serde(with = "super::millis")]
    pub planned_margin: Duration,
    /// How long after it was sent an unanswered start order, or an unanswered acknowledgement of run
    /// ends, may still be carried out.
    #[serde(with = "super::millis")]
    pub late_start: Duration,
    /// Lease of a run that verifies that its worker lists run ends.
    #[serde(with = "super::millis")]
    pub verification_lease: Duration,
    /// Shortest estimated work of a task that may be such a run, unless it is a member of a gang.
    #[serde(with = "super::millis")]
    pub min_verification_work: Duration,
}

impl Default for OrderPolicy {
    fn default() -> Self {
        Self {
            start_lease: Duration::from_millis(1_500),
            max_tries: 4,
            stop_retry_after: Duration::from_millis(400),
            unwanted_grace: Duration::from_millis(500),
            planned_margin: Duration::from_millis(500),
            late_start: Duration::from_secs(13),
            verification_lease: Duration::from_millis(100),
            min_verification_work: Duration::from_secs(1),
        }
    }
}

/// Which runs may finish on a worker that is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingPolicy {
    /// Share of its work, in percent, from which a run stays on a leaving worker to the end.
    pub nearly_done: u8,
    /// Time that must be left on the worker after a run's expected end, at most the time of a stop.
    /// A run that ends needs no stop, and the notice of leaving may hardly be longer than a stop
    /// takes. In simulations of 20 days each, 0.1 s instead of 0.9 s, the time of a stop, raised
    /// the earned fraction of the payment due per day by 0.009 ± 0.003.
    #[serde(with = "super::millis")]
    pub end_margin: Duration,
    /// How much longer than the worker's remaining time a nearly done run may need. Workers leave a
    /// little later than they announce.
    #[serde(with = "super::millis")]
    pub late_margin: Duration,
}

impl Default for LeavingPolicy {
    fn default() -> Self {
        Self {
            nearly_done: 85,
            end_margin: Duration::from_millis(100),
            late_margin: Duration::from_millis(500),
        }
    }
}

/// How long a new planner waits for reports before it places anything.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TakeoverPolicy {
    /// Longest time to wait for reports; 0 disables the wait.
    #[serde(rename = "reports_patience", with = "super::millis")]
    pub reports_wait: Duration,
    /// The wait for reports ends once no further worker has reported for the first time within this
    /// time.
    #[serde(with = "super::millis")]
    pub reports_quiet: Duration,
}

impl Default for TakeoverPolicy {
    fn default() -> Self {
        Self {
            reports_wait: Duration::from_millis(300),
            reports_quiet: Duration::from_millis(40),
        }
    }
}

/// Requests to the adviser.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvicePolicy {
    /// Number of workers named in one request to the adviser.
    pub workers_at_once: u16,
    /// A ticket that expires within this time is not used.
    #[serde(with = "super::millis")]
    pub ticket_margin: Duration,
    /// Timeout of a request to the adviser.
    #[serde(rename = "answer_patience", with = "super::millis")]
    pub answer_timeout: Duration,
    /// Pause after a failure before the adviser is asked again.
    #[serde(rename = "ask_again", with = "super::millis")]
    pub retry_pause: Duration,
}

impl Default for AdvicePolicy {
    fn default() -> Self {
        Self {
            workers_at_once: 30,
            ticket_margin: Duration::from_millis(400),
            answer_timeout: Duration::from_secs(2),
            retry_pause: Duration::from_millis(300),
        }
    }
}
