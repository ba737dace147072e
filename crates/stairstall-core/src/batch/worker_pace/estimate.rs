//! Estimate of one worker's pace, updated by samples that are weighted by their variance.

use std::time::Duration;

use super::{StoredPace, WorkerPacePolicy};
use crate::{Timestamp, WorkerId};

/// Variance of the logarithm of a worker's pace without evidence; paces from half to twice the
/// typical one are common.
pub(super) const UNKNOWN_VARIANCE: f64 = 0.25;
/// Deviation, as a natural logarithm, above which a sample is an outlier that says more about its
/// task than about its worker; about a factor of four.
const OUTLIER_FROM: f64 = 1.4;
/// Number of standard deviations above which a sample contradicts the estimate.
const CONTRADICTS_FROM: f64 = 2.0;
/// Number of consecutive contradictions in the same direction, each from another run, after which
/// the worker is taken to have changed.
const CHANGED_AFTER: i8 = 2;

/// A sample of a worker's pace.
#[derive(Debug, Clone, Copy)]
pub(super) struct PaceSample {
    /// Logarithm of the observed pace factor.
    pub(super) ln: f64,
    /// Variance of the logarithm.
    pub(super) variance: f64,
    /// Lowest variance that any number of such samples can reach together.
    pub(super) floor: f64,
    /// Identifies the run.
    pub(super) run: u64,
}

/// Estimate of the logarithm of one worker's pace factor.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    ln: f32,
    variance: f32,
    at: Timestamp,
    /// Run of the last sample.
    last_run: u32,
    /// Number of runs that gave samples, at most 255.
    runs: u8,
    /// Run of the last contradicting sample.
    contradicting_run: u32,
    /// Number of consecutive contradictions: positive if slower, negative if faster.
    contradictions: i8,
}

impl Estimate {
    /// Creates the estimate of a worker without evidence.
    pub(super) const fn unknown(at: Timestamp) -> Self {
        Self {
            ln: 0.0,
            variance: as_f32(UNKNOWN_VARIANCE),
            at,
            last_run: 0,
            runs: 0,
            contradicting_run: 0,
            contradictions: 0,
        }
    }

    pub(super) fn ln(&self) -> f64 {
        f64::from(self.ln)
    }

    /// Returns the variance at a later time; it grows while there are no samples.
    pub(super) fn variance(&self, at: Timestamp, policy: &WorkerPacePolicy) -> f64 {
        widened(f64::from(self.variance), at - self.at, policy)
    }

    /// Returns whether the pace was known as of the last update, however long ago that was.
    pub(super) fn was_known(&self, policy: &WorkerPacePolicy) -> bool {
        self.is_known(self.at, policy)
    }

    /// Returns whether there is enough evidence to rely on the estimate.
    pub(super) fn is_known(&self, at: Timestamp, policy: &WorkerPacePolicy) -> bool {
        let spread = percent(policy.known_spread_percent);
        self.runs >= policy.known_runs && self.variance(at, policy) <= spread * spread
    }

    /// Returns the factor if it certainly differs from the typical one, and by enough to matter.
    pub(super) fn significant_factor(
        &self,
        at: Timestamp,
        policy: &WorkerPacePolicy,
    ) -> Option<f64> {
        let threshold = percent(policy.slow_percent).ln();
        let is_certain = self.ln().abs() > 2.0 * self.variance(at, policy).sqrt();
        let differs = self.ln().abs() >= threshold && is_certain && self.is_known(at, policy);
        differs.then(|| self.ln().exp())
    }

    /// Updates the estimate with a sample. Outliers and contradicting samples get less weight,
    /// unless the worker is taken to have changed.
    pub(super) fn learn(&mut self, sample: &PaceSample, at: Timestamp, policy: &WorkerPacePolicy) {
        let mut variance = self.variance(at, policy);
        let residual = sample.ln - self.ln();
        let deviations = residual / (variance + sample.variance).sqrt();
        let mut noise = sample.variance;
        if residual.abs() > OUTLIER_FROM {
            noise += residual * residual;
        } else if self.record_deviations(deviations, sample.run) {
            variance = variance.max(UNKNOWN_VARIANCE / 2.0);
        } else if deviations.abs() > CONTRADICTS_FROM {
            noise *= (deviations / CONTRADICTS_FROM).powi(2);
        }
        let gain = variance / (variance + noise);
        let remaining = variance * (1.0 - gain);
        self.ln = as_f32(self.ln() + gain * residual);
        self.variance = as_f32(remaining.max(variance.min(sample.floor)));
        self.at = at;
        if self.runs == 0 || self.last_run != truncated(sample.run) {
            self.runs = self.runs.saturating_add(1);
            self.last_run = truncated(sample.run);
        }
    }

    /// Counts consecutive contradictions; returns whether the worker is taken to have changed.
    fn record_deviations(&mut self, deviations: f64, run: u64) -> bool {
        if deviations.abs() <= CONTRADICTS_FROM / 2.0 {
            self.contradictions = 0;
        }
        if deviations.abs() <= CONTRADICTS_FROM {
            return false;
        }
        let direction = if deviations > 0.0 { 1 } else { -1 };
        if self.contradictions * direction <= 0 {
            self.contradictions = direction;
        } else if self.contradicting_run != truncated(run) {
            self.contradictions += direction;
        }
        self.contradicting_run = truncated(run);
        let has_changed = self.contradictions.abs() >= CHANGED_AFTER;
        if has_changed {
            self.contradictions = 0;
        }
        has_changed
    }

    /// Records a restart of the worker, which halves the weight of the evidence.
    pub(super) fn record_restart(&mut self, at: Timestamp, policy: &WorkerPacePolicy) {
        let variance = self.variance(at, policy) * 2.0;
        self.variance = as_f32(variance.min(UNKNOWN_VARIANCE));
        self.at = at;
        self.contradictions = 0;
    }

    /// Adapts the estimate to a typical pace whose logarithm moves by `by`.
    pub(super) fn shift(&mut self, by: f64) {
        self.ln = as_f32(self.ln() - by);
    }

    /// Returns the form in which the estimate is stored.
    pub(super) fn stored(
        &self,
        id: &WorkerId,
        at: Timestamp,
        policy: &WorkerPacePolicy,
    ) -> StoredPace {
        StoredPace {
            worker: id.clone(),
            factor_percent: as_percent(self.ln().exp()),
            spread_percent: as_percent(self.variance(at, policy).sqrt()),
            runs: self.runs,
        }
    }

    /// Creates an estimate from a pace that was stored `age` ago; `None` if the entry is invalid.
    pub(super) fn from_stored(
        stored: &StoredPace,
        age: Duration,
        at: Timestamp,
        policy: &WorkerPacePolicy,
    ) -> Option<Self> {
        let factor = percent(stored.factor_percent);
        let spread = percent(stored.spread_percent);
        let is_valid = stored.factor_percent > 0 && stored.spread_percent > 0;
        is_valid.then(|| Self {
            ln: as_f32(factor.ln()),
            variance: as_f32(widened(spread * spread, age, policy)),
            runs: stored.runs,
            ..Self::unknown(at)
        })
    }
}

/// Returns a variance after a time without samples. It reaches [`UNKNOWN_VARIANCE`] after the
/// policy's `forgotten_after` at the latest.
fn widened(variance: f64, age: Duration, policy: &WorkerPacePolicy) -> f64 {
    let forgotten_after = policy.forgotten_after.as_secs_f64().max(0.001);
    let widened = variance + UNKNOWN_VARIANCE * age.as_secs_f64() / forgotten_after;
    widened.min(UNKNOWN_VARIANCE)
}

pub(super) fn percent(value: u16) -> f64 {
    f64::from(value) / 100.0
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the type"
)]
fn as_percent(value: f64) -> u16 {
    (value * 100.0).round().clamp(1.0, f64::from(u16::MAX)) as u16
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "seven digits are precise enough"
)]
const fn as_f32(value: f64) -> f32 {
    value as f32
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "it only distinguishes runs"
)]
const fn truncated(run: u64) -> u32 {
    run as u32
}
