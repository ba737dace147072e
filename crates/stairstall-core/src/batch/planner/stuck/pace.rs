//! How fast a run gets on, beside its like.

use std::time::Duration;

use super::super::contact::millis;

/// Shortest time without any progress since the start that counts as standing still.
const STILL_FROM_START_MS: u64 = 700;
/// Shortest time without further progress that counts as standing still.
const STILL_LATER_MS: u64 = 1_000;
/// Part of the expected time, as a divisor, that counts as standing still.
const STILL_DIVISOR: u64 = 25;
/// The same where nothing shows that the whole gang works.
const UNSURE_STILL_MS: u64 = 2_500;
const UNSURE_STILL_DIVISOR: u64 = 5;
/// Shortest work from which a pace is taken for one.
const JUDGED_AFTER_MS: u64 = 700;
/// How many times as long as is typical a run must take to be slow.
const SLOW_FACTOR: u64 = 3;
/// What a move must save, as a divisor of what it costs.
const GAIN_DIVISOR: u64 = 4;

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
    /// How many times as long it takes there because its data is far.
    pub(super) far_factor: u64,
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
    fn span_ms(&self) -> Option<u64> {
        let is_judged = self.worked_ms >= JUDGED_AFTER_MS && self.gained > 0;
        is_judged.then(|| self.worked_ms * 100 / u64::from(self.gained) / self.far_factor)
    }

    /// Returns the least that the whole work takes at this pace there, in milliseconds: the
    /// percentage is cut to a whole number.
    fn least_span_ms(&self) -> Option<u64> {
        let gained = u64::from(self.gained) + 1;
        (self.worked_ms >= JUDGED_AFTER_MS).then(|| self.worked_ms * 100 / gained)
    }

    /// Judges a run; `is_sure` tells whether it is known to have had the chance to work, and
    /// `typical_ms` how long the whole work takes its like.
    pub(super) fn verdict(
        &self,
        is_sure: bool,
        typical_ms: Option<u64>,
        stop_max: Duration,
    ) -> Verdict {
        if self.left == 0 {
            return Verdict::Fine;
        }
        if self.still_ms >= self.still_limit_ms(is_sure) {
            return Verdict::Still;
        }
        match typical_ms {
            Some(typical_ms) if is_sure && self.is_slow(typical_ms, stop_max) => Verdict::Slow,
            _ => Verdict::Fine,
        }
    }

    fn still_limit_ms(&self, is_sure: bool) -> u64 {
        let (least, divisor) = match (is_sure, self.gained) {
            (false, _) => (UNSURE_STILL_MS, UNSURE_STILL_DIVISOR),
            (true, 0) => (STILL_FROM_START_MS, STILL_DIVISOR),
            (true, _) => (STILL_LATER_MS, STILL_DIVISOR),
        };
        least.max(self.expected_ms / divisor)
    }

    /// Tells whether it is far slower than its like, and a move would pay.
    fn is_slow(&self, typical_ms: u64, stop_max: Duration) -> bool {
        let Some(span_ms) = self.least_span_ms() else {
            return false;
        };
        let left_here = span_ms * u64::from(self.left) / 100;
        let left_there = if self.keeps {
            typical_ms * u64::from(self.left) / 100
        } else {
            typical_ms
        };
        let cost = millis(stop_max) + left_there;
        span_ms > typical_ms * self.far_factor * SLOW_FACTOR
            && left_here > cost + cost / GAIN_DIVISOR
    }
}

/// Returns how long the whole work takes most of a step's runs, in milliseconds: the median of
/// those that get on and of those that are done; none where fewer than two tell.
pub(super) fn typical_span_ms(paces: &[Pace], done_ms: &[u64]) -> Option<u64> {
    let mut spans: Vec<u64> = paces.iter().filter_map(Pace::span_ms).collect();
    spans.extend(done_ms);
    if spans.len() < 2 {
        return None;
    }
    spans.sort_unstable();
    Some(spans[(spans.len() - 1) / 2])
}
