//! How fast a run gets on, beside its like.

use std::time::Duration;

use crate::batch::PacePolicy;
use crate::time::millis;

/// How fast a run gets on, as its worker last told.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// How long it has worked, in milliseconds.
    pub(super) worked_ms: u64,
    /// What it has done of the work since, in percent.
    pub(super) gained: u8,
    /// What is left, in percent.
    pub(super) left: u8,
    /// How long it has made no progress, in milliseconds.
    pub(super) still_ms: u64,
    /// How long the whole work should take there, in milliseconds.
    pub(super) expected_ms: u64,
    /// How many times as long it takes there because its data is far or its worker is slow.
    pub(super) slowdown: f64,
    /// Whether it goes on from a checkpoint elsewhere.
    pub(super) keeps: bool,
}

/// What a run's pace says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It may stay.
    Fine,
    /// It does nothing.
    Still,
    /// It would be done sooner elsewhere.
    Slow,
}

impl Pace {
    /// Returns how long the whole work takes at this pace, near its data, in milliseconds.
    fn span_ms(&self, policy: &PacePolicy) -> Option<u64> {
        let is_judged = self.worked_ms >= millis(policy.min_judged_work) && self.gained > 0;
        is_judged.then(|| shortened(self.worked_ms * 100 / u64::from(self.gained), self.slowdown))
    }

    /// Returns the least that the whole work takes at this pace there, in milliseconds: the
    /// percentage is cut to a whole number.
    fn least_span_ms(&self, policy: &PacePolicy) -> Option<u64> {
        let gained = u64::from(self.gained) + 1;
        (self.worked_ms >= millis(policy.min_judged_work)).then(|| self.worked_ms * 100 / gained)
    }

    /// Judges a run; `is_sure` tells whether it is known to have had the chance to work, and
    /// `typical_ms` how long the whole work takes its like.
    pub(super) fn verdict(
        &self,
        is_sure: bool,
        typical_ms: Option<u64>,
        stop_max: Duration,
        policy: &PacePolicy,
    ) -> Verdict {
        if self.left == 0 {
            return Verdict::Fine;
        }
        if self.still_ms >= self.still_limit_ms(is_sure, policy) {
            return Verdict::Still;
        }
        match typical_ms {
            Some(typical_ms) if is_sure && self.is_slow(typical_ms, stop_max, policy) => {
                Verdict::Slow
            }
            _ => Verdict::Fine,
        }
    }

    fn still_limit_ms(&self, is_sure: bool, policy: &PacePolicy) -> u64 {
        let (least, divisor) = match (is_sure, self.gained) {
            (false, _) => (policy.unconfirmed_stall, policy.unconfirmed_stall_divisor),
            (true, 0) => (policy.stall_from_start, policy.stall_divisor),
            (true, _) => (policy.stall_later, policy.stall_divisor),
        };
        millis(least).max(self.expected_ms / divisor)
    }

    /// Tells whether it is far slower than its like, and a move would pay.
    fn is_slow(&self, typical_ms: u64, stop_max: Duration, policy: &PacePolicy) -> bool {
        let Some(span_ms) = self.least_span_ms(policy) else {
            return false;
        };
        let left_here = span_ms * u64::from(self.left) / 100;
        let left_there = if self.keeps {
            typical_ms * u64::from(self.left) / 100
        } else {
            typical_ms
        };
        let cost = millis(stop_max) + left_there;
        shortened(span_ms, self.slowdown) > typical_ms * policy.slow_factor
            && left_here > cost + cost / policy.gain_divisor
    }
}

/// Returns how long work would take where nothing makes it slower.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "milliseconds of work are far below 2^52"
)]
fn shortened(span_ms: u64, slowdown: f64) -> u64 {
    (span_ms as f64 / slowdown) as u64
}

/// Returns how long work takes that is so many times slower.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "milliseconds of work are far below 2^52"
)]
pub(super) fn stretched(span_ms: u64, slowdown: f64) -> u64 {
    (span_ms as f64 * slowdown) as u64
}

/// Returns how long the whole work takes most of a step's runs, in milliseconds: the median of
/// those that get on and of those that are done; none where fewer than two tell.
pub(super) fn typical_span_ms(paces: &[Pace], done_ms: &[u64], policy: &PacePolicy) -> Option<u64> {
    let mut spans: Vec<u64> = paces
        .iter()
        .filter_map(|pace| pace.span_ms(policy))
        .collect();
    spans.extend(done_ms);
    if spans.len() < 2 {
        return None;
    }
    spans.sort_unstable();
    Some(spans[(spans.len() - 1) / 2])
}
