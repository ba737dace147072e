//! How long the work of one step takes at a worker of usual pace, seen from its runs.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::estimate::{Sample, percent};
use crate::batch::{GroupKey, WorkerPacePolicy};
use crate::{Timestamp, WorkerId};

/// Steps whose level is remembered at most.
const MOST_LEVELS: usize = 1_024;
/// How long the level of a step is remembered after its last sample.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Runs that must tell of a step's level, and workers that they must be at.
const LEAST_RUNS: usize = 3;
const LEAST_WORKERS: usize = 3;
/// What a worker that isn't known adds at most to the variance of a level: most workers are of usual
/// pace, so that the middle one of a few is more surely so than each of them.
const OF_MIDDLE_WORKER: f64 = 0.06;
/// How much the variance of a median is above that of a mean.
const MEDIAN_LOSS: f64 = 1.57;

/// What a run has shown since it was last learnt from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgressSample {
    /// Tells runs apart.
    pub run: u64,
    /// How long the whole work takes at the pace that was shown, near its data.
    pub projected_total: Duration,
    /// Which part of the work this tells of, from 0 to 1.
    pub fraction: f64,
}

impl ProgressSample {
    /// Creates it from what was gained, in percent of the work, and the time that this took; none
    /// where that says nothing.
    #[must_use]
    pub fn new(run: u64, gained_percent: u8, took: Duration) -> Option<Self> {
        let is_told = (1..=100).contains(&gained_percent) && !took.is_zero();
        is_told.then(|| Self {
            run,
            projected_total: took * 100 / u32::from(gained_percent),
            fraction: f64::from(gained_percent) / 100.0,
        })
    }

    /// Returns it as it would be near the data of work that takes so many times as long here.
    #[must_use]
    pub fn without_remote_slowdown(self, slowdown: u32) -> Self {
        Self {
            projected_total: self.projected_total / slowdown.max(1),
            ..self
        }
    }

    pub(super) fn is_sound(&self) -> bool {
        let has_share = self.fraction > 0.0 && self.fraction <= 1.0;
        has_share && !self.projected_total.is_zero()
    }

    /// Returns what it says of its worker beside the level of its step.
    pub(super) fn beside(&self, level: &Level, policy: &WorkerPacePolicy) -> Sample {
        let spread = percent(policy.task_spread_percent);
        Sample {
            ln: self.projected_total.as_secs_f64().ln() - level.ln,
            variance: spread * spread / self.fraction + level.variance,
            floor: level.variance,
            run: self.run,
        }
    }
}

/// How a run gets on, beside others of its step.
#[derive(Debug, Clone, Copy)]
pub struct RunProgress<'a> {
    /// Where it runs.
    pub worker: &'a WorkerId,
    /// How long the whole work takes at the pace that it has shown from its beginning, near its
    /// data; none where it has shown too little.
    pub projected_total: Option<Duration>,
    /// What is new of it.
    pub sample: Option<ProgressSample>,
    /// How long work like it should take, which is known roughly.
    pub expected: Duration,
}

/// What one run says of its step's level.
#[derive(Debug, Clone, Copy)]
pub(super) struct Part<'a> {
    worker: &'a WorkerId,
    ln: f64,
    variance: f64,
}

impl<'a> RunProgress<'a> {
    /// Returns what it says of the level, at a worker of such a pace.
    pub(super) fn part(&self, ln_pace: f64, variance: f64) -> Option<Part<'a>> {
        let whole = self.projected_total.filter(|whole| !whole.is_zero())?;
        Some(Part {
            worker: self.worker,
            ln: whole.as_secs_f64().ln() - ln_pace,
            variance,
        })
    }
}

/// How long the work of a step takes at a worker of usual pace: the logarithm in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Level {
    pub(super) ln: f64,
    /// How unsure it is.
    pub(super) variance: f64,
    at: Timestamp,
}

impl Level {
    /// Returns the level that the runs of a step tell; none where they are too few.
    pub(super) fn of(mut parts: Vec<Part<'_>>, policy: &WorkerPacePolicy) -> Option<Self> {
        let workers: HashSet<&WorkerId> = parts.iter().map(|part| part.worker).collect();
        if parts.len() < LEAST_RUNS || workers.len() < LEAST_WORKERS {
            return None;
        }
        let spread = percent(policy.task_spread_percent);
        let of_task = spread * spread;
        let weight = |part: &Part<'_>| 1.0 / (of_task + part.variance);
        let whole: f64 = parts.iter().map(weight).sum();
        parts.sort_by(|a, b| a.ln.total_cmp(&b.ln));
        let mut passed = 0.0;
        let median = parts.iter().find(|part| {
            passed += weight(part);
            passed >= whole / 2.0
        });
        let variances = parts.iter().map(|part| part.variance.min(OF_MIDDLE_WORKER));
        let of_workers = variances.sum::<f64>() / count(parts.len());
        let variance = of_task / count(parts.len()) + of_workers / count(workers.len());
        Some(Self {
            ln: median?.ln,
            variance: MEDIAN_LOSS * variance,
            at: Timestamp::default(),
        })
    }
}

#[allow(clippy::cast_precision_loss, reason = "a count of runs")]
const fn count(count: usize) -> f64 {
    count as f64
}

/// The levels of the steps that run, as they were seen best.
///
/// The last runs of a step are the slow ones: beside each other they would look usual.
#[derive(Debug, Clone, Default)]
pub(super) struct Levels(HashMap<GroupKey, Level>);

impl Levels {
    /// Notes what the runs of a step tell now; returns the surest that is known of it.
    pub(super) fn take(
        &mut self,
        step: &GroupKey,
        found: Option<Level>,
        at: Timestamp,
    ) -> Option<Level> {
        let known = self.0.get_mut(step).map(|known| {
            known.at = at;
            *known
        });
        let Some(found) = found.map(|level| Level { at, ..level }) else {
            return known;
        };
        if known.is_some_and(|known| known.variance < found.variance) {
            return known;
        }
        if known.is_some() || self.0.len() < MOST_LEVELS {
            self.0.insert(step.clone(), found);
        }
        Some(found)
    }

    /// Forgets what nothing was heard of for long.
    pub(super) fn forget_old(&mut self, at: Timestamp) {
        self.0.retain(|_, level| at - level.at < REMEMBERED_FOR);
    }

    /// Moves what counts as usual.
    pub(super) fn shift(&mut self, by: f64) {
        self.0.values_mut().for_each(|level| level.ln += by);
    }
}
