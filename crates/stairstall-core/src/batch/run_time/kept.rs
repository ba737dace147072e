//! What of the run times is written down for the next planner.

use serde::{Deserialize, Serialize};

use super::ratios::{BINS, Curve, Ratios};
use super::{LONG_PART, TYPICAL_PART};
use crate::CustomerId;

/// Weights are kept in tenths of a run.
const PARTS_OF_RUN: f32 = 10.0;
/// What a time must have changed by to be news: estimates are off by half, so an eighth decides nothing.
const NEWS_FACTOR: f64 = 1.125;

/// How the work of one queue, or of one customer of it, took beside its estimates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRatios {
    /// The queue's name.
    pub queue: String,
    /// The customer; none for all of the queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Tenths of runs by range of ratio, of those whose whole time is known.
    #[serde(rename = "whole")]
    pub complete: Vec<u16>,
    /// The same of those that took at least so long.
    #[serde(rename = "cut", default, skip_serializing_if = "Vec::is_empty")]
    pub censored: Vec<u16>,
}

impl StoredRatios {
    pub(super) fn of(queue: &str, customer: Option<&CustomerId>, ratios: &Ratios) -> Self {
        Self {
            queue: queue.to_owned(),
            customer: customer.cloned(),
            complete: shorten(&ratios.whole),
            censored: shorten(&ratios.cut),
        }
    }

    /// Returns the evidence; ranges that are unknown here say nothing.
    pub(super) fn ratios(&self) -> Ratios {
        Ratios {
            whole: lengthen(&self.complete),
            cut: lengthen(&self.censored),
        }
    }

    /// Tells whether it is about the same work.
    fn is_of(&self, other: &Self) -> bool {
        self.queue == other.queue && self.customer == other.customer
    }

    fn says_else_than(&self, other: &Self) -> bool {
        let told = |kept: &Self| {
            let curve = Curve::of(&kept.ratios(), &Ratios::default());
            [curve.ratio_at(TYPICAL_PART), curve.ratio_at(LONG_PART)]
        };
        let pairs = told(self).into_iter().zip(told(other));
        pairs.into_iter().any(|(one, two)| {
            let (low, high) = if one < two { (one, two) } else { (two, one) };
            high > low * NEWS_FACTOR
        })
    }
}

/// Tells whether a planner that reads `now` would know more than one that reads `then`.
pub(in crate::batch) fn differ_significantly(now: &[StoredRatios], then: &[StoredRatios]) -> bool {
    now.iter().any(|kept| {
        let earlier = then.iter().find(|other| other.is_of(kept));
        earlier.is_none_or(|earlier| kept.says_else_than(earlier))
    })
}

/// Returns the weights without the zeros at the end.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float is cut to the range"
)]
fn shorten(weights: &[f32; BINS]) -> Vec<u16> {
    let mut parts: Vec<u16> = weights
        .iter()
        .map(|weight| (weight * PARTS_OF_RUN).round() as u16)
        .collect();
    while parts.last() == Some(&0) {
        parts.pop();
    }
    parts
}

fn lengthen(parts: &[u16]) -> [f32; BINS] {
    let mut weights = [0.0; BINS];
    for (weight, part) in weights.iter_mut().zip(parts) {
        *weight = f32::from(*part) / PARTS_OF_RUN;
    }
    weights
}
