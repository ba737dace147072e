//! Explanation of the state of a job, for operators and callers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::timeline::{JobPhase, Setbacks};
use super::{CallerState, GroupKey, Timeliness, WaitReason, WaitStatus};
use crate::time::millis;
use crate::{CustomerId, JobId, ZoneId};

/// State of a job and what it waits for, as known to the planner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// Id of the job.
    pub job: JobId,
    /// Name of the job's queue.
    pub queue: String,
    /// Priority of the queue; 0 is urgent.
    pub priority: u8,
    /// Customer that the job belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Zone that the job was submitted to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// State reported to the caller.
    pub state: CallerState,
    /// Time since the job was accepted, in milliseconds.
    pub age_ms: u64,
    /// Time spent in each phase until now, in milliseconds.
    pub spent_ms: BTreeMap<JobPhase, u64>,
    /// Setbacks so far, by cause.
    pub setbacks: Setbacks,
    /// What the job waits for, if any part of it waits.
    #[serde(rename = "waits", default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<WaitExplanation>,
    /// Steps that have started or may start, and are not done.
    pub steps: Vec<StepExplanation>,
}

/// What a job waits for, and what decides its position in the scheduling order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitExplanation {
    /// What the job waits for, as text.
    #[serde(rename = "on")]
    pub reason: String,
    /// Rank: 0 for a guaranteed job, 1 for other urgent work, then by priority.
    pub rank: u8,
    /// Whether the job can still end in time if it starts now.
    pub timeliness: Timeliness,
    /// Recent and committed usage of its customer, in milliseconds of the whole fleet.
    pub used_ms: u64,
    /// Mean usage of all customers, in milliseconds of the whole fleet.
    pub fair_ms: u64,
    /// Time until capacity reserved for the job should be free, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub room_in_ms: Option<u64>,
}

impl From<WaitStatus> for WaitExplanation {
    fn from(status: WaitStatus) -> Self {
        let free_in = match status.reason {
            WaitReason::ReservedCapacity(free_in) => Some(free_in),
            _ => None,
        };
        Self {
            reason: status.reason.to_string(),
            rank: status.rank,
            timeliness: status.timeliness,
            used_ms: millis(status.customer_usage),
            fair_ms: millis(status.mean_usage),
            room_in_ms: free_in.map(millis),
        }
    }
}

/// State of one step of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepExplanation {
    /// Occurrence of a scheduled job, from 0; 0 for other jobs.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
    /// Current phase of the step: the earliest phase of its tasks.
    #[serde(rename = "on")]
    pub phase: JobPhase,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks without a placement.
    pub waiting: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// How long the step has waited for placements, in milliseconds.
    pub waited_ms: u64,
    /// Whether it waits although one of its tasks, or its whole gang, fits on free capacity.
    #[serde(default)]
    pub fits: bool,
    /// Number of waiting steps that are scheduled before it.
    #[serde(rename = "behind")]
    pub steps_ahead: u32,
}

impl StepExplanation {
    /// Creates the explanation of a step with all counts zero.
    #[must_use]
    pub const fn new(key: &GroupKey, phase: JobPhase) -> Self {
        Self {
            occurrence: key.occurrence,
            step: key.step,
            phase,
            tasks: 0,
            waiting: 0,
            done: 0,
            waited_ms: 0,
            fits: false,
            steps_ahead: 0,
        }
    }
}
