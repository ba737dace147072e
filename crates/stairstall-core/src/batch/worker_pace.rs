//! Pace of each worker relative to the others, learned from the progress of its runs.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, WorkerId};

use super::{GroupKey, WorkerPacePolicy};

mod baseline;
mod estimate;

use baseline::{Baseline, Baselines};
pub use baseline::{ProgressSample, RunProgress};
use estimate::{Estimate, PaceSample, UNKNOWN_VARIANCE, percent};

/// Maximum number of workers with an estimate; all others count as of typical pace.
const MAX_WORKERS: usize = 4_096;
/// Maximum number of paces that are stored, at about 100 bytes each.
const MAX_STORED: usize = 512;
/// Number of differing workers below which a fleet of any size counts as homogeneous.
const MIN_DIFFERING_WORKERS: usize = 3;
/// Number of workers from which the median of their paces is taken as the typical pace.
const MIN_WORKERS_FOR_MEDIAN: usize = 8;
/// Part of the distance to the median by which the typical pace moves at each recentering. With two
/// kinds of workers, the median may jump from one kind to the other.
const RECENTERING_RATE: f64 = 0.1;
/// Variance of the logarithm of a run's time relative to the expected time of its queue's work,
/// which is off by half or more.
const EXPECTED_TIME_VARIANCE: f64 = 0.25;
/// Lowest variance that samples relative to an expected time can reach, however many there are. It
/// is too high for a pace to count as known.
const EXPECTED_TIME_VARIANCE_FLOOR: f64 = 0.12;

/// Pace of a worker: how many times as long work takes there as at a worker of typical pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerPace {
    /// 1 is typical, more is slower; exactly 1 if no difference is certain.
    pub factor: f64,
    /// Whether there is enough evidence to rely on the factor.
    pub is_known: bool,
}

impl WorkerPace {
    /// Pace of a worker without any evidence.
    pub const UNKNOWN: Self = Self {
        factor: 1.0,
        is_known: false,
    };

    /// Returns how long work takes at this worker that takes `typical_ms` at one of typical pace.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of work are far below 2^52"
    )]
    pub fn scale_ms(&self, typical_ms: u64) -> u64 {
        (typical_ms as f64 * self.factor) as u64
    }

    /// Returns whether the worker is known to be slower than typical.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.factor > 1.0
    }

    /// Returns whether the worker is known to differ from the typical pace.
    #[must_use]
    #[allow(clippy::float_cmp, reason = "it is exactly 1 without evidence")]
    pub fn differs_from_typical(&self) -> bool {
        self.factor != 1.0
    }
}

impl Default for WorkerPace {
    fn default() -> Self {
        Self::UNKNOWN
    }
}

/// Pace of a worker in the form in which it is stored for the next planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPace {
    /// Id of the worker.
    pub worker: WorkerId,
    /// How long work takes there, in percent of the typical time.
    pub factor_percent: u16,
    /// Uncertainty of the factor: the standard deviation of its logarithm, in hundredths.
    pub spread_percent: u16,
    /// Number of runs that it was learned from, at most 255.
    pub runs: u8,
}

/// Number of workers of known pace, and how they differ.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceSummary {
    /// Workers of known pace.
    pub known: usize,
    /// Workers that are certainly slower than typical.
    pub slow: usize,
    /// Workers that are certainly faster than typical.
    pub fast: usize,
    /// Whether enough workers differ for placements to be chosen by pace.
    pub is_heterogeneous: bool,
}

/// Learned paces of all workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerPaces {
    policy: WorkerPacePolicy,
    workers: HashMap<WorkerId, Estimate>,
    baselines: Baselines,
    summary: PaceSummary,
    /// Whether an invalid sample was already logged.
    has_logged_invalid: bool,
}

impl WorkerPaces {
    /// Creates an instance without any evidence.
    #[must_use]
    pub fn new(policy: WorkerPacePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Returns the pace of a worker, or [`WorkerPace::UNKNOWN`] without evidence or with learning
    /// switched off.
    #[must_use]
    pub fn pace(&self, worker: &WorkerId, at: Timestamp) -> WorkerPace {
        let Some(estimate) = self.workers.get(worker).filter(|_| self.is_enabled()) else {
            return WorkerPace::UNKNOWN;
        };
        WorkerPace {
            factor: estimate.significant_factor(at, &self.policy).unwrap_or(1.0),
            is_known: estimate.is_known(at, &self.policy),
        }
    }

    /// Learns from the runs of one step whose tasks work independently.
    ///
    /// `runs` has to contain all runs that make progress, including those without a new sample:
    /// they determine how long the step's work takes.
    pub fn learn_from_step(&mut self, step: &GroupKey, runs: &[RunProgress<'_>], at: Timestamp) {
        if !self.is_enabled() {
            return;
        }
        let baseline = self.baseline_of(step, runs, at);
        for run in runs {
            let Some(progress) = run.sample else {
                continue;
            };
            if self.is_invalid(&progress) {
                continue;
            }
            match baseline {
                Some(baseline) => {
                    let sample = progress.relative_to(&baseline, &self.policy);
                    self.learn(run.worker, &sample, at);
                }
                None => self.learn_from_expected(run.worker, &progress, run.expected, at),
            }
        }
    }

    /// Learns from a gang that has ended; a gang runs at the pace of its slowest member.
    pub fn learn_from_gang(
        &mut self,
        members: &[&WorkerId],
        progress: &ProgressSample,
        expected: Duration,
        at: Timestamp,
    ) {
        if !self.is_enabled() || self.is_invalid(progress) || expected.is_zero() {
            return;
        }
        let sample = relative_to_expected(progress, expected);
        for id in self.members_to_update(members, &sample, at) {
            self.learn(id, &sample, at);
        }
    }

    /// Returns the members of a gang whose pace its time is evidence for: those that can't be as
    /// slow as estimated, and a single member of unknown pace if the gang was slow and all others
    /// are faster.
    fn members_to_update<'a>(
        &self,
        members: &[&'a WorkerId],
        sample: &PaceSample,
        at: Timestamp,
    ) -> Vec<&'a WorkerId> {
        let ln_of = |id: &WorkerId| self.workers.get(id).map_or(0.0, Estimate::ln);
        let is_known = |id: &WorkerId| {
            let estimate = self.workers.get(id);
            estimate.is_some_and(|estimate| estimate.is_known(at, &self.policy))
        };
        let all = members.iter().copied();
        let mut updated: Vec<&WorkerId> = all.clone().filter(|id| ln_of(id) > sample.ln).collect();
        let unknown: Vec<&WorkerId> = all.clone().filter(|id| !is_known(id)).collect();
        let is_slow = sample.ln >= percent(self.policy.slow_percent).ln();
        let are_faster = all.clone().all(|id| ln_of(id) < sample.ln / 2.0);
        if let [only] = unknown[..]
            && is_slow
            && are_faster
        {
            updated.push(only);
        }
        updated
    }

    /// Moves the typical pace toward the median of the workers' paces and updates the summary.
    pub fn recenter(&mut self, at: Timestamp) {
        if !self.is_enabled() || self.workers.is_empty() {
            return;
        }
        self.baselines.remove_expired(at);
        let policy = self.policy;
        let known = self.workers.values().filter(|w| w.was_known(&policy));
        let mut lns: Vec<f64> = known.map(Estimate::ln).collect();
        if lns.len() >= MIN_WORKERS_FOR_MEDIAN {
            let middle = lns.len() / 2;
            let (_, median, _) = lns.select_nth_unstable_by(middle, f64::total_cmp);
            let by = *median * RECENTERING_RATE;
            self.workers.values_mut().for_each(|w| w.shift(by));
            self.baselines.shift(by);
        }
        self.summary = self.summarize(at);
    }

    fn summarize(&self, at: Timestamp) -> PaceSummary {
        let mut summary = PaceSummary::default();
        let late = percent(self.policy.late_pace_percent);
        let mut strongly_differing = 0;
        for estimate in self.workers.values() {
            let factor = estimate.significant_factor(at, &self.policy);
            summary.known += usize::from(estimate.is_known(at, &self.policy));
            summary.slow += usize::from(factor.is_some_and(|factor| factor > 1.0));
            summary.fast += usize::from(factor.is_some_and(|factor| factor < 1.0));
            let is_late = |factor: f64| factor >= late || factor <= 1.0 / late;
            strongly_differing += usize::from(factor.is_some_and(is_late));
        }
        let differing = if summary.known <= usize::from(self.policy.small_fleet_workers) {
            summary.slow + summary.fast
        } else {
            strongly_differing
        };
        let threshold = summary.known * usize::from(self.policy.heterogeneous_percent) / 100;
        // Hysteresis, so that the result does not alternate at the threshold.
        let threshold = if self.summary.is_heterogeneous {
            threshold / 2
        } else {
            threshold
        };
        summary.is_heterogeneous = differing >= threshold.max(MIN_DIFFERING_WORKERS);
        summary
    }

    /// Returns the summary as of the last recentering or restore.
    #[must_use]
    pub const fn summary(&self) -> PaceSummary {
        self.summary
    }

    /// Returns whether workers differ enough for placements to be chosen by pace.
    #[must_use]
    pub const fn is_heterogeneous(&self) -> bool {
        self.policy.enabled && self.summary.is_heterogeneous
    }

    /// Returns the policy in use.
    #[must_use]
    pub const fn policy(&self) -> &WorkerPacePolicy {
        &self.policy
    }

    /// Returns the paces to store for the next planner: the workers that certainly differ, then
    /// those that are certainly typical, up to the maximum number.
    #[must_use]
    pub fn to_stored(&self, at: Timestamp) -> Vec<StoredPace> {
        let policy = &self.policy;
        let known = self.workers.iter();
        let known =
            known.filter(|(_, estimate)| self.is_enabled() && estimate.is_known(at, policy));
        let mut stored: Vec<(bool, StoredPace)> = known
            .map(|(id, estimate)| {
                let is_typical = estimate.significant_factor(at, policy).is_none();
                (is_typical, estimate.stored(id, at, policy))
            })
            .collect();
        stored.sort_by(|a, b| (a.0, &a.1.worker).cmp(&(b.0, &b.1.worker)));
        stored.truncate(MAX_STORED);
        stored.into_iter().map(|(_, pace)| pace).collect()
    }

    /// Adopts paces that an earlier planner stored `age` ago. Estimates of this planner take
    /// precedence; invalid entries are skipped.
    pub fn restore(&mut self, stored: Vec<StoredPace>, age: Duration, at: Timestamp) {
        if !self.is_enabled() {
            return;
        }
        for pace in stored.into_iter().take(MAX_STORED) {
            let Some(estimate) = Estimate::from_stored(&pace, age, at, &self.policy) else {
                continue;
            };
            if self.workers.len() < MAX_WORKERS {
                self.workers.entry(pace.worker).or_insert(estimate);
            }
        }
        self.summary = self.summarize(at);
    }

    /// Records that a worker has restarted, which makes its estimate less certain.
    pub fn record_restart(&mut self, worker: &WorkerId, at: Timestamp) {
        if let Some(estimate) = self.workers.get_mut(worker) {
            estimate.record_restart(at, &self.policy);
        }
    }

    /// Removes a worker that no longer exists.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Returns whether paces are learned and used.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Returns the baseline of a step from its runs, or the one found earlier if that is more
    /// certain.
    fn baseline_of(
        &mut self,
        step: &GroupKey,
        runs: &[RunProgress<'_>],
        at: Timestamp,
    ) -> Option<Baseline> {
        let evidence = runs.iter().filter_map(|run| {
            let estimate = self.workers.get(run.worker);
            let ln = estimate.map_or(0.0, Estimate::ln);
            let variance = estimate.map_or(UNKNOWN_VARIANCE, |w| w.variance(at, &self.policy));
            run.baseline_evidence(ln, variance)
        });
        let found = Baseline::from_evidence(evidence.collect(), &self.policy);
        self.baselines.update(step, found, at)
    }

    /// Learns from a run relative to the expected time of such work, which is weak evidence.
    fn learn_from_expected(
        &mut self,
        worker: &WorkerId,
        progress: &ProgressSample,
        expected: Duration,
        at: Timestamp,
    ) {
        if !expected.is_zero() {
            self.learn(worker, &relative_to_expected(progress, expected), at);
        }
    }

    fn learn(&mut self, worker: &WorkerId, sample: &PaceSample, at: Timestamp) {
        let policy = self.policy;
        if let Some(estimate) = self.workers.get_mut(worker) {
            estimate.learn(sample, at, &policy);
        } else if self.workers.len() < MAX_WORKERS {
            let mut estimate = Estimate::unknown(at);
            estimate.learn(sample, at, &policy);
            self.workers.insert(worker.clone(), estimate);
        }
    }

    /// Returns whether a sample can't be learned from; logs only the first such sample.
    fn is_invalid(&mut self, progress: &ProgressSample) -> bool {
        let is_invalid = !progress.is_valid();
        if is_invalid && !std::mem::replace(&mut self.has_logged_invalid, true) {
            log::debug!(target: "planner",
                "invalid progress sample of a run ignored; further ones are not logged");
        }
        is_invalid
    }
}

/// Returns the pace sample that progress gives relative to a roughly known expected time.
fn relative_to_expected(progress: &ProgressSample, expected: Duration) -> PaceSample {
    PaceSample {
        ln: progress.projected_total.as_secs_f64().ln() - expected.as_secs_f64().ln(),
        variance: EXPECTED_TIME_VARIANCE / progress.fraction,
        floor: EXPECTED_TIME_VARIANCE_FLOOR,
        run: progress.run,
    }
}
