//! Specification of a job: its steps, their dependencies and its schedule.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{Resources, within};

/// Maximum length of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of steps of a job.
const MAX_STEPS: usize = 100;
/// Maximum number of tasks of a job over all its steps and occurrences.
const MAX_TASKS: u64 = 100_000;

quick_error! {
    /// Why a job specification is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SpecError {
        /// The payload is too long.
        PayloadTooLong(bytes: usize) {
            display("the payload has at most {MAX_PAYLOAD_BYTES} bytes, this one has {bytes}")
        }
        /// The job has no steps, or too many.
        StepCount(count: usize) {
            display("a job has 1 to {MAX_STEPS} steps, this one has {count}")
        }
        /// A step has no tasks.
        EmptyStep(step: usize) {
            display("step {step} has no tasks")
        }
        /// The job has too many tasks.
        TooManyTasks(count: u64) {
            display("a job has at most {MAX_TASKS} tasks over all its times, this one has {count}")
        }
        /// A step depends on itself or on a later one.
        InvalidDependency(step: usize, on: u32) {
            display("step {step} depends on {on}, which is not an earlier step")
        }
        /// A schedule has no occurrences, or several without an interval.
        InvalidSchedule {
            display("a schedule has one or more times, and an interval over 0 where more than one")
        }
    }
}

/// A step of a job: a number of similar tasks that can run concurrently.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub needs: Resources,
    /// Rough estimate of a task's run time, in milliseconds; 0 where there is none.
    #[serde(default, deserialize_with = "within::duration_ms")]
    pub estimate_ms: u64,
    /// Indices, from 0, of earlier steps whose tasks must all be done first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// Whether the tasks are a gang, which makes progress only while all of them run.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks are much slower if they are spread over several racks.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Whether the tasks write checkpoints.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// Label that a worker must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// Rack where the data is; the tasks are much slower elsewhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// Maximum number of the step's tasks on one worker.
    #[serde(rename = "spread", default, skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasts", default, skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Maximum number of tasks of a long-running step that the planner may take away from their
    /// work at a time. `None` if the step sets no limit.
    #[serde(rename = "may_miss", default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
    /// Target for the tail latency of the tasks' answers, in milliseconds, where they serve users;
    /// 0 where they do not.
    #[serde(
        rename = "target_ms",
        default,
        skip_serializing_if = "is_zero",
        deserialize_with = "within::duration_ms"
    )]
    pub latency_target_ms: u64,
    /// Whether the CPU that the tasks need is left unreserved on their workers.
    #[serde(rename = "fills", default, skip_serializing_if = "is_false")]
    pub uses_spare_cpu: bool,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_false(value: &bool) -> bool {
    !*value
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl StepSpec {
    /// Returns whether the tasks serve users.
    #[must_use]
    pub const fn has_latency_target(&self) -> bool {
        self.latency_target_ms > 0
    }

    /// Returns whether the step limits how many of its tasks may be away from their work.
    #[must_use]
    pub const fn limits_unavailable(&self) -> bool {
        self.long_running && self.max_unavailable.is_some()
    }

    /// Returns the resources that a task reserves on its worker.
    #[must_use]
    pub const fn reserved_resources(&self) -> Resources {
        let cpu_millis = if self.uses_spare_cpu {
            0
        } else {
            self.needs.cpu_millis
        };
        Resources::new(cpu_millis, self.needs.memory_mb, self.needs.accelerators)
    }
}

/// Occurrences of a job that runs several times, or at a set time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence may start, in milliseconds since the Unix epoch.
    #[serde(deserialize_with = "within::unix_ms")]
    pub first_unix_ms: u64,
    /// Time between two occurrences, in milliseconds.
    #[serde(deserialize_with = "within::duration_ms")]
    pub interval_ms: u64,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub occurrences: u32,
}

impl Schedule {
    /// Returns when an occurrence may start, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn eligible_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

/// A job as its caller specifies it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// What to run; interpreted only by the workers.
    pub payload: String,
    /// Steps of the job.
    pub steps: Vec<StepSpec>,
    /// When the job runs, if several times or at a set time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

impl BatchSpec {
    /// Returns the specification with every time in it shortened to the longest that is planned
    /// with, so that sums of times can't overflow.
    #[must_use]
    pub fn with_times_within_bounds(mut self) -> Self {
        for step in &mut self.steps {
            step.estimate_ms = step.estimate_ms.min(within::MAX_DURATION_MS);
            step.latency_target_ms = step.latency_target_ms.min(within::MAX_DURATION_MS);
        }
        if let Some(schedule) = &mut self.schedule {
            schedule.first_unix_ms = schedule.first_unix_ms.min(within::MAX_UNIX_MS);
            schedule.interval_ms = schedule.interval_ms.min(within::MAX_DURATION_MS);
        }
        self
    }

    /// Checks the bounds of every field.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount(self.steps.len()));
        }
        for (index, step) in self.steps.iter().enumerate() {
            Self::check_step(index, step)?;
        }
        if self
            .schedule
            .is_some_and(|s| s.occurrences == 0 || (s.occurrences > 1 && s.interval_ms == 0))
        {
            return Err(SpecError::InvalidSchedule);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let total = tasks.saturating_mul(u64::from(self.occurrences()));
        if total > MAX_TASKS {
            return Err(SpecError::TooManyTasks(total));
        }
        Ok(())
    }

    fn check_step(index: usize, step: &StepSpec) -> Result<(), SpecError> {
        if step.count == 0 {
            return Err(SpecError::EmptyStep(index));
        }
        let invalid = step.depends_on.iter().find(|on| **on as usize >= index);
        match invalid {
            Some(on) => Err(SpecError::InvalidDependency(index, *on)),
            None => Ok(()),
        }
    }

    /// Returns how many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the critical path after a step, in milliseconds.
    #[must_use]
    pub fn downstream_path_ms(&self, step: u32) -> u64 {
        let index = step as usize;
        let paths = self.critical_paths_ms(|step| step.estimate_ms);
        let own_ms = self.steps.get(index).map_or(0, |step| step.estimate_ms);
        paths.get(index).map_or(0, |path_ms| path_ms - own_ms)
    }

    /// Returns the critical path, the longest chain of estimates, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let paths = self.critical_paths_ms(|step| step.estimate_ms);
        paths.into_iter().max().unwrap_or(0)
    }

    /// Returns for each step the critical path that begins with it, in milliseconds, where
    /// `duration_ms` gives the run time of a step.
    #[must_use]
    pub fn critical_paths_ms(&self, duration_ms: impl Fn(&StepSpec) -> u64) -> Vec<u64> {
        let mut paths = vec![0; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            // Steps that depend on this one come later in the list and are already included.
            paths[index] = u64::saturating_add(paths[index], duration_ms(step));
            let path = paths[index];
            for on in &step.depends_on {
                if let Some(earlier) = paths.get_mut(*on as usize) {
                    *earlier = path.max(*earlier);
                }
            }
        }
        paths
    }
}
