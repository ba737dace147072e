use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::Resources;

/// Longest payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Most steps of a job.
const MAX_STEPS: usize = 100;
/// Most tasks of a job over all its steps and times.
const MAX_TASKS: u64 = 100_000;

quick_error! {
    /// A job that can't be accepted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SpecError {
        /// The payload is too long.
        Payload(bytes: usize) {
            display("the payload has at most {MAX_PAYLOAD_BYTES} bytes, this one has {bytes}")
        }
        /// There are no steps, or too many.
        Steps(count: usize) {
            display("a job has 1 to {MAX_STEPS} steps, this one has {count}")
        }
        /// A step has no tasks.
        Empty(step: usize) {
            display("step {step} has no tasks")
        }
        /// There are too many tasks.
        Tasks(count: u64) {
            display("a job has at most {MAX_TASKS} tasks over all its times, this one has {count}")
        }
        /// A step depends on one that is not before it.
        Dependence(step: usize, on: u32) {
            display("step {step} depends on {on}, which is not an earlier step")
        }
        /// A schedule has no times or no interval.
        Schedule {
            display("a schedule has one or more times, and an interval over 0 where more than one")
        }
    }
}

/// Like tasks that run side by side.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes.
    pub needs: Resources,
    /// Rough guess of how long a task takes, in milliseconds; 0 where there is none.
    #[serde(default)]
    pub estimate_ms: u64,
    /// Earlier steps, from 0, whose tasks must all be done first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u32>,
    /// Whether the tasks work only together.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether they are much slower on more than one rack.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Whether the tasks keep checkpoints.
    #[serde(default, skip_serializing_if = "is_false")]
    pub checkpoints: bool,
    /// A label that the worker must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// The rack where the data lies; the tasks are much slower elsewhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub near_rack: Option<String>,
    /// Most tasks of the step on one worker.
    #[serde(rename = "spread", default, skip_serializing_if = "Option::is_none")]
    pub max_per_worker: Option<u32>,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasts", default, skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// What the tail of its answers is to stay under, in milliseconds, where it serves users of
    /// its own; 0 where it does not.
    #[serde(rename = "target_ms", default, skip_serializing_if = "is_zero")]
    pub latency_target_ms: u64,
    /// Whether the processor it asks for is not counted against a worker's room.
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
    /// Tells whether its tasks serve users of their own.
    #[must_use]
    pub const fn has_latency_target(&self) -> bool {
        self.latency_target_ms > 0
    }

    /// Returns what a task takes of a worker's room.
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

/// When a job runs several times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first time is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Between two times, in milliseconds.
    pub interval_ms: u64,
    /// How many times.
    #[serde(rename = "times")]
    pub occurrences: u32,
}

impl Schedule {
    /// Returns when time `occurrence` is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}

/// A job as its caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// What to run; the workers' business.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When it runs, if more than once or at a set time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

impl BatchSpec {
    /// Checks the bounds of every field.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of bounds.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::Payload(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::Steps(self.steps.len()));
        }
        for (number, step) in self.steps.iter().enumerate() {
            Self::check_step(number, step)?;
        }
        if self
            .schedule
            .is_some_and(|s| s.occurrences == 0 || (s.occurrences > 1 && s.interval_ms == 0))
        {
            return Err(SpecError::Schedule);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let all = tasks.saturating_mul(u64::from(self.occurrences()));
        if all > MAX_TASKS {
            return Err(SpecError::Tasks(all));
        }
        Ok(())
    }

    fn check_step(number: usize, step: &StepSpec) -> Result<(), SpecError> {
        if step.count == 0 {
            return Err(SpecError::Empty(number));
        }
        let later = step.depends_on.iter().find(|on| **on as usize >= number);
        match later {
            Some(on) => Err(SpecError::Dependence(number, *on)),
            None => Ok(()),
        }
    }

    /// Returns how many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the longest chain of estimates that follows a step, in milliseconds.
    #[must_use]
    pub fn downstream_path_ms(&self, step: u32) -> u64 {
        let index = step as usize;
        let chains = self.critical_paths_ms(|step| step.estimate_ms);
        let own_ms = self.steps.get(index).map_or(0, |step| step.estimate_ms);
        chains.get(index).map_or(0, |chain_ms| chain_ms - own_ms)
    }

    /// Returns the longest chain of estimates, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let chains = self.critical_paths_ms(|step| step.estimate_ms);
        chains.into_iter().max().unwrap_or(0)
    }

    /// Returns for each step the longest chain that begins with it, in milliseconds.
    #[must_use]
    pub fn critical_paths_ms(&self, takes_ms: impl Fn(&StepSpec) -> u64) -> Vec<u64> {
        let mut chains = vec![0; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            // What depends on it comes later in the list and has added itself already.
            chains[number] += takes_ms(step);
            let chain = chains[number];
            for on in &step.depends_on {
                if let Some(before) = chains.get_mut(*on as usize) {
                    *before = chain.max(*before);
                }
            }
        }
        chains
    }
}
