use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::timeline::{JobPhase, Setbacks};
use super::{CallerState, GroupKey, Timeliness, WaitReason, WaitStatus};
use crate::time::millis;
use crate::{CustomerId, JobId, ZoneId};

/// Where a job stands and what it waits for, as its planner sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: String,
    /// Its queue's priority; 0 is urgent.
    pub priority: u8,
    /// Whose it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// The zone that it was handed in at.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// What its caller is told.
    pub state: CallerState,
    /// How long ago it was accepted, in milliseconds.
    pub age_ms: u64,
    /// What its time was spent on until now, in milliseconds.
    pub spent_ms: BTreeMap<JobPhase, u64>,
    /// What went wrong on the way.
    pub setbacks: Setbacks,
    /// What it waits for, where anything of it waits.
    #[serde(rename = "waits", default, skip_serializing_if = "Option::is_none")]
    pub wait: Option<WaitExplanation>,
    /// Its steps that have begun or could begin, and are not done.
    pub steps: Vec<StepExplanation>,
}

/// What a job waits for, and whose turn it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitExplanation {
    /// What it waits for, in words.
    #[serde(rename = "on")]
    pub reason: String,
    /// 0 for a claim on its customer's own share, 1 for other urgent work, then by priority.
    pub rank: u8,
    /// What a start now would still be worth.
    pub timeliness: Timeliness,
    /// What its customer has used lately and is committed to, as time of the whole fleet, in milliseconds.
    pub used_ms: u64,
    /// What each customer would have used if all had used alike, in milliseconds.
    pub fair_ms: u64,
    /// After what time room that is kept for it should be free, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub room_in_ms: Option<u64>,
}

impl From<WaitStatus> for WaitExplanation {
    fn from(waiting: WaitStatus) -> Self {
        let room_in = match waiting.reason {
            WaitReason::ReservedCapacity(room_in) => Some(room_in),
            _ => None,
        };
        Self {
            reason: waiting.reason.as_str().to_owned(),
            rank: waiting.rank,
            timeliness: waiting.timeliness,
            used_ms: millis(waiting.customer_usage),
            fair_ms: millis(waiting.mean_usage),
            room_in_ms: room_in.map(millis),
        }
    }
}

/// Where one step of a job stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepExplanation {
    /// Which time of a scheduled job, from 0; 0 for others.
    pub occurrence: u32,
    /// Which step, from 0.
    pub step: u32,
    /// What it spends time on now; the least advanced of its tasks counts.
    #[serde(rename = "on")]
    pub phase: JobPhase,
    /// Its tasks.
    pub tasks: u32,
    /// How many of them have no place.
    pub waiting: u32,
    /// How many of them are done.
    pub done: u32,
    /// How long it has waited for places, in milliseconds.
    pub waited_ms: u64,
    /// Waiting steps whose turn comes before its own.
    #[serde(rename = "behind")]
    pub steps_ahead: u32,
}

impl StepExplanation {
    /// Describes a step of which nothing but its name is known.
    #[must_use]
    pub const fn new(key: &GroupKey, on: JobPhase) -> Self {
        Self {
            occurrence: key.occurrence,
            step: key.step,
            phase: on,
            tasks: 0,
            waiting: 0,
            done: 0,
            waited_ms: 0,
            steps_ahead: 0,
        }
    }
}
