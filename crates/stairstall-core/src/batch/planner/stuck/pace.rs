//! How fast a run makes progress, compared with similar runs.

use std::time::Duration;

use crate::batch::RunPacePolicy;
use crate::time::millis;

/// The progress of a run according to its worker's last report.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// How long it has worked, in milliseconds.
    pub(super) worked_ms: u64,
    /// Share of the work done in that time, in percent.
    pub(super) gained: u8,
    /// Share of the work that is left, in percent.
    pub(super) left: u8,
    /// How long it has made no progress, in milliseconds.
    pub(super) stalled_ms: u64,
    /// Expected duration of the whole work on its worker, in milliseconds.
    pub(super) expected_ms: u64,
    /// Factor by which it takes longer because its data is on another rack or its worker is slow.
    pub(super) slowdown: f64,
    /// Whether it continues from a checkpoint when it is moved.
    pub(super) is_resumable: bool,
}

/// The judgement of a run's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The run may stay where it is.
    Fine,
    /// The run makes no progress.
    Stalled,
    /// The run would be done sooner on another worker.
    Slow,
}

impl Pace {
    /// Returns how long the whole work would take at this pace on the rack of its data, in
    /// milliseconds.
    fn duration_ms(&self, policy: &RunPacePolicy) -> Option<u64> {
        let is_judged = self.worked_ms >= millis(policy.min_judged_work) && self.gained > 0;
        is_judged
            .then(|| without_slowdown(self.worked_ms * 100 / u64::from(self.gained), self.slowdown))
    }

    /// Returns a lower bound on how long the whole work takes on this worker, in milliseconds. It
    /// allows for the percentage being rounded down to a whole number.
    fn min_duration_ms(&self, policy: &RunPacePolicy) -> Option<u64> {
        let gained = u64::from(self.gained) + 1;
        (self.worked_ms >= millis(policy.min_judged_work)).then(|| self.worked_ms * 100 / gained)
    }

    /// Judges a run. `is_confirmed` says whether the run is known to have been able to work: for
    /// a gang, whether all members run and one has made progress. `typical_ms` is how long similar
    /// runs take for the whole work.
    pub(super) fn verdict(
        &self,
        is_confirmed: bool,
        typical_ms: Option<u64>,
        stop_max: Duration,
        policy: &RunPacePolicy,
    ) -> Verdict {
        if self.left == 0 {
            return Verdict::Fine;
        }
        if self.stalled_ms >= self.stall_limit_ms(is_confirmed, policy) {
            return Verdict::Stalled;
        }
        match typical_ms {
            Some(typical_ms) if is_confirmed && self.is_slow(typical_ms, stop_max, policy) => {
                Verdict::Slow
            }
            _ => Verdict::Fine,
        }
    }

    fn stall_limit_ms(&self, is_confirmed: bool, policy: &RunPacePolicy) -> u64 {
        let (min_stall, divisor) = match (is_confirmed, self.gained) {
            (false, _) => (policy.unconfirmed_stall, policy.unconfirmed_stall_divisor),
            (true, 0) => (policy.stall_from_start, policy.stall_divisor),
            (true, _) => (policy.stall_later, policy.stall_divisor),
        };
        millis(min_stall).max(self.expected_ms / divisor)
    }

    /// Returns whether the run is a straggler: far slower than similar runs, and done sooner on
    /// another worker.
    fn is_slow(&self, typical_ms: u64, stop_max: Duration, policy: &RunPacePolicy) -> bool {
        let Some(duration_ms) = self.min_duration_ms(policy) else {
            return false;
        };
        let remaining_here = duration_ms.saturating_mul(u64::from(self.left)) / 100;
        let remaining_elsewhere = if self.is_resumable {
            typical_ms.saturating_mul(u64::from(self.left)) / 100
        } else {
            typical_ms
        };
        let cost = millis(stop_max).saturating_add(remaining_elsewhere);
        without_slowdown(duration_ms, self.slowdown) > typical_ms.saturating_mul(policy.slow_factor)
            && remaining_here > cost.saturating_add(cost / policy.gain_divisor)
    }
}

/// Returns how long work would take without a slowdown.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "milliseconds of work are far below 2^52"
)]
fn without_slowdown(duration_ms: u64, slowdown: f64) -> u64 {
    (duration_ms as f64 / slowdown) as u64
}

/// Returns how long work takes with a slowdown.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "milliseconds of work are far below 2^52"
)]
pub(super) fn with_slowdown(duration_ms: u64, slowdown: f64) -> u64 {
    (duration_ms as f64 * slowdown) as u64
}

/// Returns the typical duration of the whole work of a step's runs, in milliseconds: the median
/// over the runs that make progress and those that are done. Returns `None` for fewer than two.
pub(super) fn typical_duration_ms(
    paces: &[Pace],
    done_ms: &[u64],
    policy: &RunPacePolicy,
) -> Option<u64> {
    let mut durations: Vec<u64> = paces
        .iter()
        .filter_map(|pace| pace.duration_ms(policy))
        .collect();
    durations.extend(done_ms);
    if durations.len() < 2 {
        return None;
    }
    durations.sort_unstable();
    Some(durations[(durations.len() - 1) / 2])
}
