//! Baseline of a step: how long its work takes at a worker of typical pace, estimated from its
//! runs.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::estimate::{PaceSample, percent};
use crate::batch::{GroupKey, WorkerPacePolicy};
use crate::{Timestamp, WorkerId};

/// Maximum number of steps whose baseline is kept in memory.
const MAX_BASELINES: usize = 1_024;
/// How long the baseline of a step is kept in memory after it was last used.
const BASELINE_EXPIRY: Duration = Duration::from_secs(60);
/// Minimum number of runs for a baseline.
const MIN_RUNS: usize = 3;
/// Minimum number of workers that these runs have to be on.
const MIN_WORKERS: usize = 3;
/// Maximum that the pace variance of one worker adds to the variance of a baseline. Most workers
/// are of typical pace, so the median of a few is more certainly typical than each of them.
const MAX_WORKER_VARIANCE: f64 = 0.06;
/// Variance of a median relative to that of a mean.
const MEDIAN_VARIANCE_FACTOR: f64 = 1.57;

/// Progress of a run since it was last learned from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProgressSample {
    /// Identifies the run.
    pub run: u64,
    /// Projected duration of the whole work at the observed speed, for a worker near its data.
    pub projected_total: Duration,
    /// Fraction of the work that the sample covers, from 0 to 1.
    pub fraction: f64,
}

impl ProgressSample {
    /// Creates a sample from the progress made, in percent of the work, and the time that it took.
    /// Returns `None` if either is zero or the progress is above 100%.
    #[must_use]
    pub fn new(run: u64, gained_percent: u8, took: Duration) -> Option<Self> {
        let is_valid = (1..=100).contains(&gained_percent) && !took.is_zero();
        is_valid.then(|| Self {
            run,
            projected_total: took * 100 / u32::from(gained_percent),
            fraction: f64::from(gained_percent) / 100.0,
        })
    }

    /// Returns the sample as it would be near the data, for work that takes `slowdown` times as
    /// long at this worker because its data is remote.
    #[must_use]
    pub fn without_remote_slowdown(self, slowdown: u32) -> Self {
        Self {
            projected_total: self.projected_total / slowdown.max(1),
            ..self
        }
    }

    pub(super) fn is_valid(&self) -> bool {
        let is_fraction = self.fraction > 0.0 && self.fraction <= 1.0;
        is_fraction && !self.projected_total.is_zero()
    }

    /// Returns the pace sample that this gives of its worker relative to the baseline of the step.
    pub(super) fn relative_to(&self, baseline: &Baseline, policy: &WorkerPacePolicy) -> PaceSample {
        let spread = percent(policy.task_spread_percent);
        PaceSample {
            ln: self.projected_total.as_secs_f64().ln() - baseline.ln,
            variance: spread * spread / self.fraction + baseline.variance,
            floor: baseline.variance,
            run: self.run,
        }
    }
}

/// Progress of a run, to be compared with other runs of its step.
#[derive(Debug, Clone, Copy)]
pub struct RunProgress<'a> {
    /// Worker of the run.
    pub worker: &'a WorkerId,
    /// Projected duration of the whole work at the speed since the start of the run, for a worker
    /// near its data; `None` if there is too little progress.
    pub projected_total: Option<Duration>,
    /// Progress since the run was last learned from, if there is enough.
    pub sample: Option<ProgressSample>,
    /// Roughly known duration of such work.
    pub expected: Duration,
}

/// Evidence that one run gives of the baseline of its step.
#[derive(Debug, Clone, Copy)]
pub(super) struct BaselineEvidence<'a> {
    worker: &'a WorkerId,
    ln: f64,
    variance: f64,
}

impl<'a> RunProgress<'a> {
    /// Returns the evidence of the baseline, given the logarithm of the worker's pace and its
    /// variance.
    pub(super) fn baseline_evidence(
        &self,
        ln_pace: f64,
        variance: f64,
    ) -> Option<BaselineEvidence<'a>> {
        let total = self.projected_total.filter(|total| !total.is_zero())?;
        Some(BaselineEvidence {
            worker: self.worker,
            ln: total.as_secs_f64().ln() - ln_pace,
            variance,
        })
    }
}

/// Estimated duration of a step's work at a worker of typical pace.
#[derive(Debug, Clone, Copy)]
pub(super) struct Baseline {
    /// Logarithm of the duration in seconds.
    pub(super) ln: f64,
    /// Variance of the logarithm.
    pub(super) variance: f64,
    at: Timestamp,
}

impl Baseline {
    /// Estimates the baseline as the weighted median of the evidence; `None` if there are too few
    /// runs or workers.
    pub(super) fn from_evidence(
        mut evidence: Vec<BaselineEvidence<'_>>,
        policy: &WorkerPacePolicy,
    ) -> Option<Self> {
        let workers: HashSet<&WorkerId> = evidence.iter().map(|run| run.worker).collect();
        if evidence.len() < MIN_RUNS || workers.len() < MIN_WORKERS {
            return None;
        }
        let spread = percent(policy.task_spread_percent);
        let task_variance = spread * spread;
        let weight = |run: &BaselineEvidence<'_>| 1.0 / (task_variance + run.variance);
        let total_weight: f64 = evidence.iter().map(weight).sum();
        evidence.sort_by(|a, b| a.ln.total_cmp(&b.ln));
        let mut passed_weight = 0.0;
        let median = evidence.iter().find(|run| {
            passed_weight += weight(run);
            passed_weight >= total_weight / 2.0
        });
        let variances = evidence
            .iter()
            .map(|run| run.variance.min(MAX_WORKER_VARIANCE));
        let worker_variance = variances.sum::<f64>() / as_f64(evidence.len());
        let variance =
            task_variance / as_f64(evidence.len()) + worker_variance / as_f64(workers.len());
        Some(Self {
            ln: median?.ln,
            variance: MEDIAN_VARIANCE_FACTOR * variance,
            at: Timestamp::default(),
        })
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "counts of runs are far below 2^52"
)]
const fn as_f64(count: usize) -> f64 {
    count as f64
}

/// Most certain baseline found so far of each running step.
///
/// A baseline is kept while a step runs because its last runs are the slow ones: compared with each
/// other only, they would look typical.
#[derive(Debug, Clone, Default)]
pub(super) struct Baselines(HashMap<GroupKey, Baseline>);

impl Baselines {
    /// Records a newly found baseline of a step unless an earlier one has a lower variance; returns
    /// the one that holds.
    pub(super) fn update(
        &mut self,
        step: &GroupKey,
        found: Option<Baseline>,
        at: Timestamp,
    ) -> Option<Baseline> {
        let known = self.0.get_mut(step).map(|known| {
            known.at = at;
            *known
        });
        let Some(found) = found.map(|baseline| Baseline { at, ..baseline }) else {
            return known;
        };
        if known.is_some_and(|known| known.variance < found.variance) {
            return known;
        }
        if known.is_some() || self.0.len() < MAX_BASELINES {
            self.0.insert(step.clone(), found);
        }
        Some(found)
    }

    /// Removes baselines that have not been used for [`BASELINE_EXPIRY`].
    pub(super) fn remove_expired(&mut self, at: Timestamp) {
        self.0
            .retain(|_, baseline| at - baseline.at < BASELINE_EXPIRY);
    }

    /// Adapts the baselines to a typical pace that moves by `by`, as a logarithm.
    pub(super) fn shift(&mut self, by: f64) {
        self.0.values_mut().for_each(|baseline| baseline.ln += by);
    }
}
