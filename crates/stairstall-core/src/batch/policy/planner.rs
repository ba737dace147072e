//! How the planner decides.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Where tasks are put.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacePolicy {
    /// Shortest time that a task is taken to need: estimates go down to nothing.
    #[serde(with = "super::millis")]
    pub min_expected: Duration,
    /// How long urgent work waits for room near its data before it goes elsewhere: a third of
    /// the work of most urgent jobs on the first sites.
    #[serde(with = "super::millis")]
    pub near_patience_urgent: Duration,
    /// How long other work waits for a worker that is not suspect.
    #[serde(with = "super::millis")]
    pub suspect_patience: Duration,
    /// How long urgent work waits for a worker that is not suspect.
    #[serde(with = "super::millis")]
    pub suspect_patience_urgent: Duration,
    /// How long a gang waits before room is held back for it.
    #[serde(with = "super::millis")]
    pub hold_back_after: Duration,
    /// Most gangs that room is held back for at a time; none switches it off.
    pub max_held_back: u16,
    /// Whether room that is held back stays so until the gang has it or can't be as timely any more.
    pub keeps_dates: bool,
    /// Whether smaller work may have room that is held back if it surely ends before the gang's date.
    pub fills_in: bool,
    /// Part of the work, in percent, after which a run's pace is relied on.
    pub shown_percent: u8,
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
            min_expected: Duration::from_millis(200),
            near_patience_urgent: Duration::from_millis(900),
            suspect_patience: Duration::from_secs(3),
            suspect_patience_urgent: Duration::from_secs(1),
            hold_back_after: Duration::from_millis(1_500),
            max_held_back: 2,
            keeps_dates: true,
            fills_in: true,
            shown_percent: 5,
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
    pub counts_lateness: bool,
    /// What stopping a gang costs beside for each time that it gave way before, as time of its room.
    #[serde(with = "super::millis")]
    pub again_cost: Duration,
    /// How many times its own work urgent work may throw away; 0 is any. A claim on a customer's own share
    /// keeps to that for as long as it can still begin in time.
    pub most_lost: u32,
    /// How long a gang that gave way waits before it returns to room that urgent work may take back;
    /// doubled each time.
    #[serde(with = "super::millis")]
    pub returns_after: Duration,
}

impl Default for VictimPolicy {
    fn default() -> Self {
        Self {
            stop_cost: Duration::from_millis(200),
            claims_wait: true,
            claim_margin: Duration::from_secs(1),
            restore_cost: Duration::from_millis(300),
            counts_lateness: true,
            again_cost: Duration::from_secs(1),
            most_lost: 1,
            returns_after: Duration::from_secs(1),
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
    pub sure_from: f64,
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
            sure_from: 2.5,
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
    #[serde(with = "super::millis")]
    pub still_from_start: Duration,
    /// Shortest time without further progress that counts as standing still.
    #[serde(with = "super::millis")]
    pub still_later: Duration,
    /// Part of the expected time, as a divisor, that counts as standing still.
    pub still_divisor: u64,
    /// The shortest time where nothing shows that the whole gang works.
    #[serde(with = "super::millis")]
    pub unsure_still: Duration,
    /// The part of the expected time there, as a divisor.
    pub unsure_still_divisor: u64,
    /// Shortest work from which a pace is taken for one.
    #[serde(with = "super::millis")]
    pub judged_after: Duration,
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
            still_from_start: Duration::from_millis(700),
            still_later: Duration::from_secs(1),
            still_divisor: 25,
            unsure_still: Duration::from_millis(2_500),
            unsure_still_divisor: 5,
            judged_after: Duration::from_millis(700),
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
    pub looks_per_s: u32,
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
            looks_per_s: 1_000,
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
    pub fn pass_gap(&self, workers: usize) -> Duration {
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
    #[serde(with = "super::millis")]
    pub stop_again: Duration,
    /// How long a run whose task is done may take to end by itself.
    #[serde(with = "super::millis")]
    pub unwanted_patience: Duration,
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
            stop_again: Duration::from_millis(400),
            unwanted_patience: Duration::from_millis(500),
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
    #[serde(with = "super::millis")]
    pub reports_patience: Duration,
    /// How long no further worker must have reported for the first time before it goes on.
    #[serde(with = "super::millis")]
    pub reports_quiet: Duration,
}

impl Default for TakeoverPolicy {
    fn default() -> Self {
        Self {
            reports_patience: Duration::from_millis(300),
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
    #[serde(with = "super::millis")]
    pub answer_patience: Duration,
    /// Pause before the adviser is asked again after a failure.
    #[serde(with = "super::millis")]
    pub ask_again: Duration,
}

impl Default for AdvicePolicy {
    fn default() -> Self {
        Self {
            workers_at_once: 30,
            ticket_margin: Duration::from_millis(400),
            answer_patience: Duration::from_secs(2),
            ask_again: Duration::from_millis(300),
        }
    }
}
