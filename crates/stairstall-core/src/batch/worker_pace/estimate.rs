//! What is known of one worker's pace.

use std::time::Duration;

use super::{StoredPace, WorkerPacePolicy};
use crate::{Timestamp, WorkerId};

/// Variance of the logarithm of a worker's pace before anything is known: half to twice is common.
pub(super) const UNKNOWN_VARIANCE: f64 = 0.25;
/// From which logarithm on a sample tells of its task rather than of its worker: four times as long.
const LARGEST_SURPRISE: f64 = 1.4;
/// From how many deviations a sample contradicts what was known.
const CONTRADICTS_FROM: f64 = 2.0;
/// Contradictions one after the other, of as many runs, from which a worker is taken for changed.
const CHANGED_AFTER: i8 = 2;

/// One sample on a worker's pace.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    /// The logarithm of the pace that was seen.
    pub(super) ln: f64,
    /// Variance of that.
    pub(super) variance: f64,
    /// What such samples can't say better together, as a variance.
    pub(super) floor: f64,
    /// Tells runs apart.
    pub(super) run: u64,
}

/// What is known of one worker's pace: the logarithm of its factor.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    ln: f32,
    variance: f32,
    at: Timestamp,
    /// The run that spoke last.
    last_run: u32,
    /// Runs that have told of it, at most 255.
    runs: u8,
    /// The run that contradicted last.
    odd_run: u32,
    /// How many contradicted one after the other: above 0 slower, below faster.
    odd: i8,
}

impl Estimate {
    /// A worker that nothing is known of.
    pub(super) const fn unknown(at: Timestamp) -> Self {
        Self {
            ln: 0.0,
            variance: as_f32(UNKNOWN_VARIANCE),
            at,
            last_run: 0,
            runs: 0,
            odd_run: 0,
            odd: 0,
        }
    }

    pub(super) fn ln(&self) -> f64 {
        f64::from(self.ln)
    }

    /// Returns the variance as it is by now: knowledge widens with time.
    pub(super) fn variance(&self, at: Timestamp, policy: &WorkerPacePolicy) -> f64 {
        widened(f64::from(self.variance), at - self.at, policy)
    }

    /// Tells whether it was ever known, however long ago.
    pub(super) fn is_told(&self, policy: &WorkerPacePolicy) -> bool {
        self.is_known(self.at, policy)
    }

    /// Tells whether it may be relied on.
    pub(super) fn is_known(&self, at: Timestamp, policy: &WorkerPacePolicy) -> bool {
        let spread = percent(policy.known_spread_percent);
        self.runs >= policy.known_runs && self.variance(at, policy) <= spread * spread
    }

    /// Returns the factor where it surely differs from the usual one, and by enough to matter.
    pub(super) fn differing(&self, at: Timestamp, policy: &WorkerPacePolicy) -> Option<f64> {
        let matters = percent(policy.slow_percent).ln();
        let is_sure = self.ln().abs() > 2.0 * self.variance(at, policy).sqrt();
        let differs = self.ln().abs() >= matters && is_sure && self.is_known(at, policy);
        differs.then(|| self.ln().exp())
    }

    /// Takes a sample in.
    pub(super) fn learn(&mut self, sample: &Sample, at: Timestamp, policy: &WorkerPacePolicy) {
        let mut variance = self.variance(at, policy);
        let surprise = sample.ln - self.ln();
        let deviations = surprise / (variance + sample.variance).sqrt();
        let mut noise = sample.variance;
        if surprise.abs() > LARGEST_SURPRISE {
            noise += surprise * surprise;
        } else if self.contradicts(deviations, sample.run) {
            variance = variance.max(UNKNOWN_VARIANCE / 2.0);
        } else if deviations.abs() > CONTRADICTS_FROM {
            noise *= (deviations / CONTRADICTS_FROM).powi(2);
        }
        let trust = variance / (variance + noise);
        let left = variance * (1.0 - trust);
        self.ln = as_f32(self.ln() + trust * surprise);
        self.variance = as_f32(left.max(variance.min(sample.floor)));
        self.at = at;
        if self.runs == 0 || self.last_run != short(sample.run) {
            self.runs = self.runs.saturating_add(1);
            self.last_run = short(sample.run);
        }
    }

    /// Counts contradictions; true where the worker has changed.
    fn contradicts(&mut self, deviations: f64, run: u64) -> bool {
        if deviations.abs() <= CONTRADICTS_FROM / 2.0 {
            self.odd = 0;
        }
        if deviations.abs() <= CONTRADICTS_FROM {
            return false;
        }
        let direction = if deviations > 0.0 { 1 } else { -1 };
        if self.odd * direction <= 0 {
            self.odd = direction;
        } else if self.odd_run != short(run) {
            self.odd += direction;
        }
        self.odd_run = short(run);
        let has_changed = self.odd.abs() >= CHANGED_AFTER;
        if has_changed {
            self.odd = 0;
        }
        has_changed
    }

    /// Takes word that another life has begun: half of the weight is left.
    pub(super) fn begin_life(&mut self, at: Timestamp, policy: &WorkerPacePolicy) {
        let variance = self.variance(at, policy) * 2.0;
        self.variance = as_f32(variance.min(UNKNOWN_VARIANCE));
        self.at = at;
        self.odd = 0;
    }

    /// Moves what counts as usual.
    pub(super) fn shift(&mut self, by: f64) {
        self.ln = as_f32(self.ln() - by);
    }

    /// Returns it as it is written down.
    pub(super) fn kept(
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

    /// Reads it from what was written down.
    pub(super) fn restored(
        kept: &StoredPace,
        age: Duration,
        at: Timestamp,
        policy: &WorkerPacePolicy,
    ) -> Option<Self> {
        let factor = percent(kept.factor_percent);
        let spread = percent(kept.spread_percent);
        let is_sound = kept.factor_percent > 0 && kept.spread_percent > 0;
        is_sound.then(|| Self {
            ln: as_f32(factor.ln()),
            variance: as_f32(widened(spread * spread, age, policy)),
            runs: kept.runs,
            ..Self::unknown(at)
        })
    }
}

/// Returns a variance as it is after a time without a sample.
fn widened(variance: f64, age: Duration, policy: &WorkerPacePolicy) -> f64 {
    let whole = policy.forgotten_after.as_secs_f64().max(0.001);
    let widened = variance + UNKNOWN_VARIANCE * age.as_secs_f64() / whole;
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

#[allow(clippy::cast_possible_truncation, reason = "seven digits are plenty")]
const fn as_f32(value: f64) -> f32 {
    value as f32
}

#[allow(clippy::cast_possible_truncation, reason = "it only tells runs apart")]
const fn short(run: u64) -> u32 {
    run as u32
}
