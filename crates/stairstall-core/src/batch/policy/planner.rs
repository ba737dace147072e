//! How the planner decides.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Where tasks are put.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacePolicy {
    /// Shortest time that a task is taken to need: estimates go down to nothing.
    #[serde(rename = "min_expected", with = "super::millis")]
    pub min_run_time: Duration,
    /// How long urgent work waits for room near its data before it goes elsewhere: a third of
    /// the work of most urgent jobs on the first sites.
    #[serde(rename = "near_patience_urgent", with = "super::millis")]
    pub locality_wait_urgent: Duration,
    /// How long other work waits for a worker that is not suspect.
    #[serde(rename = "suspect_patience", with = "super::millis")]
    pub suspect_wait: Duration,
    /// How long urgent work waits for a worker that is not suspect.
    #[serde(rename = "suspect_patience_urgent", with = "super::millis")]
    pub suspect_wait_urgent: Duration,
    /// How long a gang waits before room is held back for it.
    #[serde(rename = "hold_back_after", with = "super::millis")]
    pub reserve_after: Duration,
    /// Most gangs that room is held back for at a time; none switches it off.
    #[serde(rename = "max_held_back")]
    pub max_reservations: u16,
    /// Whether room that is held back stays so until the gang has it or can't be as timely any more.
    #[serde(rename = "keeps_dates")]
    pub keeps_reservations: bool,
    /// Whether smaller work may have room that is held back if it surely ends before the gang's date.
    #[serde(rename = "fills_in")]
    pub backfills: bool,
    /// Part of the work, in percent, after which a run's pace is relied on.
    #[serde(rename = "shown_percent")]
    pub min_progress_percent: u8,
    /// What a suspect worker costs, in times the work of the task.
    pub suspect_penalty: u16,
    /// The same for a worker where nothing has ended done, for work that has failed.
    pub unproven_penalty: u16,
    /// The same for the worker where the task failed last.
    pub failed_here_penalty: u16,
    /// The same for a worker with work of another job under which workers were lost, for work under
    /// which some were lost too.
    pub suspect_neighbour_penalty: u16,
    /// Whether work goes to the zone of its caller where that costs nothing.
    pub prefers_callers_zone: bool,
}

impl Default for PlacePolicy {
    fn default() -> Self {
        Self {
            min_run_time: Duration::from_millis(200),
            locality_wait_urgent: Duration::from_millis(900),
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

/// Who gives way to whom.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VictimPolicy {
    /// What a stop costs beside the work that is lost, as time of the run's room.
    #[serde(with = "super::millis")]
    pub stop_cost: Duration,
    /// Whether a customer's claim on its own share lets other urgent work go on for as long as it
    /// can still begin in time.
    pub claims_wait: bool,
    /// Time that a claim keeps in hand, beside a stop, for orders that have to be repeated.
    #[serde(with = "super::millis")]
    pub claim_margin: Duration,
    /// What stopping a run with checkpoints costs at most, as time of its work.
    #[serde(with = "super::millis")]
    pub restore_cost: Duration,
    /// Whether stopping a gang that only then would be late costs its whole work beside.
    #[serde(rename = "counts_lateness")]
    pub counts_caused_lateness: bool,
    /// What stopping a gang costs beside for each time that it gave way before, as time of its room.
    #[serde(rename = "again_cost", with = "super::millis")]
    pub repeat_preemption_cost: Duration,
    /// How many times its own work urgent work may throw away; 0 is any. A claim on a customer's own share
    /// keeps to that for as long as it can still begin in time.
    #[serde(rename = "most_lost")]
    pub max_lost_factor: u32,
    /// How long a gang that gave way waits before it returns to room that urgent work may take back;
    /// doubled each time.
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

/// Room that is kept free for urgent work, so that it need not make others give way.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HeadroomPolicy {
    /// How long an arrival counts for the demand to come.
    #[serde(with = "super::millis")]
    pub window: Duration,
    /// Seconds of urgent demand that are kept free.
    pub kept_seconds: f64,
    /// Part of the time for which a gang may wait, from the end, in which less and less is kept
    /// free from it: a wide gang would never start otherwise. 0 switches that off.
    pub yields_from: f64,
    /// Seconds of urgent demand that are kept free beside, for each second that a stop takes.
    pub kept_per_stop: f64,
    /// Whether the room kept follows demand that is seen to rise or to fall.
    pub follows_change: bool,
    /// Arrivals within this time are compared with those before.
    #[serde(with = "super::millis")]
    pub recent: Duration,
    /// Standard deviations of a random count from which a change counts as one.
    #[serde(rename = "sure_from")]
    pub change_threshold: f64,
    /// Whether room is kept for a job no longer than it holds it, where that is known.
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

/// When a run is taken to stand still or to be slow, and is moved.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PacePolicy {
    /// How often runs are looked through.
    #[serde(with = "super::millis")]
    pub interval: Duration,
    /// Most moves of one task, or of one gang; none switches them off.
    pub max_moves: u8,
    /// Shortest time without any progress since the start that counts as standing still.
    #[serde(rename = "still_from_start", with = "super::millis")]
    pub stall_from_start: Duration,
    /// Shortest time without further progress that counts as standing still.
    #[serde(rename = "still_later", with = "super::millis")]
    pub stall_later: Duration,
    /// Part of the expected time, as a divisor, that counts as standing still.
    #[serde(rename = "still_divisor")]
    pub stall_divisor: u64,
    /// The shortest time where nothing shows that the whole gang works.
    #[serde(rename = "unsure_still", with = "super::millis")]
    pub unconfirmed_stall: Duration,
    /// The part of the expected time there, as a divisor.
    #[serde(rename = "unsure_still_divisor")]
    pub unconfirmed_stall_divisor: u64,
    /// Shortest work from which a pace is taken for one.
    #[serde(rename = "judged_after", with = "super::millis")]
    pub min_judged_work: Duration,
    /// How many times as long as is typical a run must take to be slow.
    pub slow_factor: u64,
    /// What a move must save, as a divisor of what it costs.
    pub gain_divisor: u64,
}

impl Default for PacePolicy {
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

/// How often workers report: the oftener, the sooner trouble shows and the longer leases
/// outlast a cut; each report is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportPolicy {
    /// Reports a second, over all workers, that are aimed at.
    #[serde(rename = "looks_per_s")]
    pub reports_per_s: u32,
    /// Shortest time that a worker waits for an end before it reports.
    #[serde(with = "super::millis")]
    pub shortest_wait: Duration,
    /// Longest time that a worker waits for an end before it reports.
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

/// How much of the planner's own VM its messages to and from workers may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowPolicy {
    /// Part of the link that reports may take, in percent; the rest carries orders, the list of
    /// workers and callers.
    pub reports_percent: u32,
    /// Part of the processor that reports, and as much again that starts, may take, in percent.
    pub processor_percent: u32,
    /// Processor time that a call to a worker is taken to need, in microseconds. All daemons
    /// together need 50 s for 125,000 reports and 44,000 starts with everything beside them.
    pub message_us: u32,
    /// What a call takes on the link beside its body, in bytes: heads and packets.
    pub message_bytes: u32,
    /// What a start takes on the link, in bytes.
    pub start_bytes: u32,
    /// How long the link may need for all starts that are under way: well below the time after
    /// which a start counts as unanswered.
    #[serde(with = "super::millis")]
    pub start_window: Duration,
    /// Time between two passes over the waiting work, in microseconds for each worker: a pass
    /// takes a tenth of that or less.
    pub pass_gap_us: u32,
}

impl FlowPolicy {
    /// Returns the time between two passes, in whole milliseconds.
    #[must_use]
    pub fn pass_interval(&self, workers: usize) -> Duration {
        let us = u64::from(self.pass_gap_us).saturating_mul(workers as u64);
        Duration::from_millis(us / 1_000)
    }
}

impl Default for FlowPolicy {
    fn default() -> Self {
        Self {
            reports_percent: 35,
            processor_percent: 25,
            message_us: 100,
            message_bytes: 350,
            start_bytes: 1_000,
            start_window: Duration::from_millis(150),
            pass_gap_us: 5,
        }
    }
}

/// Starts and stops that get no answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderPolicy {
    /// Lease that a start brings; reports extend it.
    #[serde(with = "super::millis")]
    pub start_lease: Duration,
    /// Starts of one run that are sent before it is given up.
    pub max_tries: u8,
    /// How long after a stop should have ended it is sent again.
    #[serde(rename = "stop_again", with = "super::millis")]
    pub stop_retry_after: Duration,
    /// How long a run whose task is done may take to end by itself.
    #[serde(rename = "unwanted_patience", with = "super::millis")]
    pub unwanted_grace: Duration,
    /// How much longer than a stop a planned run waits for its room.
    #[serde(with = "super::millis")]
    pub planned_margin: Duration,
    /// How long after it was sent an unanswered start may still be carried out.
    #[serde(with = "super::millis")]
    pub late_start: Duration,
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
        }
    }
}

/// What stays on a worker that leaves.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeavingPolicy {
    /// Runs that are nearly done stay to the end, in percent of their work.
    pub nearly_done: u8,
    /// What must be left once a run should have ended there, at most what a stop takes: a run that
    /// ends needs no stop, and a notice may be hardly longer than one. 0.1 s instead of a stop's
    /// 0.9 s earns 0.009 ± 0.003 more of what a day owes (20 days played with both).
    #[serde(with = "super::millis")]
    pub end_margin: Duration,
    /// How much longer than the worker has left such a run may need: workers go a little later
    /// than they say.
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

/// What a new planner waits for before it places anything.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TakeoverPolicy {
    /// How long it lets workers report, at most; none switches the wait off.
    #[serde(rename = "reports_patience", with = "super::millis")]
    pub reports_wait: Duration,
    /// How long no further worker must have reported for the first time before it goes on.
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

/// How the adviser is asked.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdvicePolicy {
    /// Workers that one question names.
    pub workers_at_once: u16,
    /// A ticket that is over within this time is not used.
    #[serde(with = "super::millis")]
    pub ticket_margin: Duration,
    /// How long an answer is waited for.
    #[serde(rename = "answer_patience", with = "super::millis")]
    pub answer_timeout: Duration,
    /// Pause before the adviser is asked again after a failure.
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
