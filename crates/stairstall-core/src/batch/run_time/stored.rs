//! Run time ratios in the form in which they are stored for the next planner.

use serde::{Deserialize, Serialize};

use super::histogram::{BINS, CompletionCurve, RatioHistogram};
use super::{P90_FRACTION, TYPICAL_FRACTION};
use crate::CustomerId;

/// Weights are stored in tenths of a run.
const UNITS_PER_RUN: f32 = 10.0;
/// Factor by which a run time must have changed to be stored again. Estimates are off by half, so a
/// change by an eighth makes no difference to any decision.
const SIGNIFICANT_FACTOR: f64 = 1.125;

/// Histogram of run time relative to the estimates, for one queue or for one customer in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRatios {
    /// Name of the queue.
    pub queue: String,
    /// The customer; `None` for the whole queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Weight per bin of completed runs, whose total time is known, in tenths of a run.
    #[serde(rename = "whole")]
    pub complete: Vec<u16>,
    /// Weight per bin of right-censored runs, which took at least that long, in tenths of a run.
    #[serde(rename = "cut", default, skip_serializing_if = "Vec::is_empty")]
    pub censored: Vec<u16>,
}

impl StoredRatios {
    pub(super) fn new(
        queue: &str,
        customer: Option<&CustomerId>,
        histogram: &RatioHistogram,
    ) -> Self {
        Self {
            queue: queue.to_owned(),
            customer: customer.cloned(),
            complete: to_units(&histogram.complete),
            censored: to_units(&histogram.censored),
        }
    }

    /// Returns the histogram; bins beyond those known here are ignored.
    pub(super) fn histogram(&self) -> RatioHistogram {
        RatioHistogram {
            complete: from_units(&self.complete),
            censored: from_units(&self.censored),
        }
    }

    /// Returns whether both entries are about the same queue and customer.
    fn has_same_key(&self, other: &Self) -> bool {
        self.queue == other.queue && self.customer == other.customer
    }

    fn differs_significantly_from(&self, other: &Self) -> bool {
        let quantiles = |stored: &Self| {
            let curve = CompletionCurve::of(&stored.histogram(), &RatioHistogram::default());
            [
                curve.quantile(TYPICAL_FRACTION),
                curve.quantile(P90_FRACTION),
            ]
        };
        let pairs = quantiles(self).into_iter().zip(quantiles(other));
        pairs.into_iter().any(|(one, two)| {
            let (low, high) = if one < two { (one, two) } else { (two, one) };
            high > low * SIGNIFICANT_FACTOR
        })
    }
}

/// Returns whether any entry of `now` is new or differs enough from `before` to be stored again.
pub(in crate::batch) fn differ_significantly(
    now: &[StoredRatios],
    before: &[StoredRatios],
) -> bool {
    now.iter().any(|entry| {
        let earlier = before.iter().find(|other| other.has_same_key(entry));
        earlier.is_none_or(|earlier| entry.differs_significantly_from(earlier))
    })
}

/// Converts weights to units, without the zeros at the end.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float saturates at the range of the type"
)]
fn to_units(weights: &[f32; BINS]) -> Vec<u16> {
    let mut units: Vec<u16> = weights
        .iter()
        .map(|weight| (weight * UNITS_PER_RUN).round() as u16)
        .collect();
    while units.last() == Some(&0) {
        units.pop();
    }
    units
}

fn from_units(units: &[u16]) -> [f32; BINS] {
    let mut weights = [0.0; BINS];
    for (weight, unit) in weights.iter_mut().zip(units) {
        *weight = f32::from(*unit) / UNITS_PER_RUN;
    }
    weights
}
