//! How fast workers are beside each other, learnt from what runs there do.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, WorkerId};

use super::{GroupKey, WorkerPacePolicy};

mod estimate;
mod level;

use estimate::{Estimate, Sample, UNKNOWN_VARIANCE, percent};
use level::{Level, Levels};
pub use level::{ProgressSample, RunProgress};

/// Workers that are known at most; others are of usual pace.
const MOST_WORKERS: usize = 4_096;
/// Paces that are written down at most: some 100 bytes each.
const MOST_KEPT: usize = 512;
/// Workers that must differ, whatever the size of the fleet, for it to be uneven.
const LEAST_UNEVEN: usize = 3;
/// Workers from which on a median says what is usual.
const LEAST_FOR_USUAL: usize = 8;
/// Part of the way that what counts as usual is drawn to the median at a time: a median of two kinds
/// of workers may jump from one to the other.
const DRAWN_TO_USUAL: f64 = 0.1;
/// Variance of the logarithm of a time beside what its queue's work should take: a half and more.
const REFERENCE_VARIANCE: f64 = 0.25;
/// What samples beside such a time can't say better together: never enough to rely on.
const REFERENCE_FLOOR: f64 = 0.12;

/// How many times as long work takes at a worker as at one of usual pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerPace {
    /// 1 is usual, more is slower; exactly 1 where no difference is sure.
    pub factor: f64,
    /// Whether enough is known of the worker to rely on it.
    pub is_known: bool,
}

impl WorkerPace {
    /// Of a worker that nothing is known of.
    pub const UNKNOWN: Self = Self {
        factor: 1.0,
        is_known: false,
    };

    /// Returns how long work takes there that takes `usual_ms` elsewhere.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "milliseconds of work are far below 2^52"
    )]
    pub fn scale_ms(&self, usual_ms: u64) -> u64 {
        (usual_ms as f64 * self.factor) as u64
    }

    /// Tells whether it is known to take longer than usual.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.factor > 1.0
    }

    /// Tells whether it is known to differ from the usual pace.
    #[must_use]
    #[allow(clippy::float_cmp, reason = "it is exactly 1 where nothing is known")]
    pub fn differs_from_typical(&self) -> bool {
        self.factor != 1.0
    }
}

impl Default for WorkerPace {
    fn default() -> Self {
        Self::UNKNOWN
    }
}

/// What is written down of a worker's pace, for a planner that follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPace {
    /// Which worker.
    pub worker: WorkerId,
    /// How long work takes there, in percent of the usual time.
    pub factor_percent: u16,
    /// How sure that is: the deviation of its logarithm, in hundredths.
    pub spread_percent: u16,
    /// How many runs have told of it, at most 255.
    pub runs: u8,
}

/// How many workers are known, and how.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PaceSummary {
    /// Workers whose pace is known.
    pub known: usize,
    /// Workers that are surely slower than usual.
    pub slow: usize,
    /// Workers that are surely faster than usual.
    pub fast: usize,
    /// Whether so many differ that places are chosen by it.
    pub is_heterogeneous: bool,
}

/// What is known of the pace of all workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerPaces {
    policy: WorkerPacePolicy,
    workers: HashMap<WorkerId, Estimate>,
    levels: Levels,
    summary: PaceSummary,
    /// Whether it has said that a run told nonsense.
    has_complained: bool,
}

impl WorkerPaces {
    /// Creates the knowledge of a planner that has seen no run.
    #[must_use]
    pub fn new(policy: WorkerPacePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Returns the pace of a worker as far as it is known.
    #[must_use]
    pub fn pace(&self, worker: &WorkerId, at: Timestamp) -> WorkerPace {
        let Some(estimate) = self.workers.get(worker).filter(|_| self.is_enabled()) else {
            return WorkerPace::UNKNOWN;
        };
        WorkerPace {
            factor: estimate.differing(at, &self.policy).unwrap_or(1.0),
            is_known: estimate.is_known(at, &self.policy),
        }
    }

    /// Learns from the runs of one step's tasks, each of which works alone.
    ///
    /// All that get on are to be named, also those of which nothing is new: they tell how long the
    /// step's work takes.
    pub fn learn_from_step(&mut self, step: &GroupKey, runs: &[RunProgress<'_>], at: Timestamp) {
        if !self.is_enabled() {
            return;
        }
        let level = self.level_of(step, runs, at);
        for run in runs {
            let Some(stretch) = run.sample else {
                continue;
            };
            if self.is_nonsense(&stretch) {
                continue;
            }
            match level {
                Some(level) => self.learn(run.worker, &stretch.beside(&level, &self.policy), at),
                None => self.learn_beside(run.worker, &stretch, run.expected, at),
            }
        }
    }

    /// Learns from a gang that has ended, which went at the pace of its slowest member.
    pub fn learn_from_gang(
        &mut self,
        members: &[&WorkerId],
        stretch: &ProgressSample,
        usual: Duration,
        at: Timestamp,
    ) {
        if !self.is_enabled() || self.is_nonsense(stretch) || usual.is_zero() {
            return;
        }
        let sample = sample_beside(stretch, usual);
        for id in self.told_of_by(members, &sample, at) {
            self.learn(id, &sample, at);
        }
    }

    /// Names the members of a gang of which its time says something: those that can't be as slow as
    /// was thought, and one that isn't known where all others are known to be faster.
    fn told_of_by<'a>(
        &self,
        members: &[&'a WorkerId],
        sample: &Sample,
        at: Timestamp,
    ) -> Vec<&'a WorkerId> {
        let ln_of = |id: &WorkerId| self.workers.get(id).map_or(0.0, Estimate::ln);
        let is_known = |id: &WorkerId| {
            let estimate = self.workers.get(id);
            estimate.is_some_and(|known| known.is_known(at, &self.policy))
        };
        let all = members.iter().copied();
        let mut told: Vec<&WorkerId> = all.clone().filter(|id| ln_of(id) > sample.ln).collect();
        let unknown: Vec<&WorkerId> = all.clone().filter(|id| !is_known(id)).collect();
        let is_slow = sample.ln >= percent(self.policy.slow_percent).ln();
        let are_faster = all.clone().all(|id| ln_of(id) < sample.ln / 2.0);
        if let [only] = unknown[..]
            && is_slow
            && are_faster
        {
            told.push(only);
        }
        told
    }

    /// Draws what counts as usual to the median, and counts what is known.
    pub fn recenter(&mut self, at: Timestamp) {
        if !self.is_enabled() || self.workers.is_empty() {
            return;
        }
        self.levels.forget_old(at);
        let policy = self.policy;
        let told = self.workers.values().filter(|w| w.is_told(&policy));
        let mut lns: Vec<f64> = told.map(Estimate::ln).collect();
        if lns.len() >= LEAST_FOR_USUAL {
            let middle = lns.len() / 2;
            let (_, median, _) = lns.select_nth_unstable_by(middle, f64::total_cmp);
            let by = *median * DRAWN_TO_USUAL;
            self.workers.values_mut().for_each(|w| w.shift(by));
            self.levels.shift(by);
        }
        self.summary = self.count(at);
    }

    fn count(&self, at: Timestamp) -> PaceSummary {
        let mut summary = PaceSummary::default();
        let late = percent(self.policy.late_pace_percent);
        let mut late_by_pace = 0;
        for estimate in self.workers.values() {
            let differing = estimate.differing(at, &self.policy);
            summary.known += usize::from(estimate.is_known(at, &self.policy));
            summary.slow += usize::from(differing.is_some_and(|factor| factor > 1.0));
            summary.fast += usize::from(differing.is_some_and(|factor| factor < 1.0));
            let is_late = |factor: f64| factor >= late || factor <= 1.0 / late;
            late_by_pace += usize::from(differing.is_some_and(is_late));
        }
        let differ = if summary.known <= usize::from(self.policy.small_fleet_workers) {
            summary.slow + summary.fast
        } else {
            late_by_pace
        };
        let least = summary.known * usize::from(self.policy.heterogeneous_percent) / 100;
        // Not to go to and fro at the threshold.
        let least = if self.summary.is_heterogeneous {
            least / 2
        } else {
            least
        };
        summary.is_heterogeneous = differ >= least.max(LEAST_UNEVEN);
        summary
    }

    /// Returns how many workers were known when it was last brought up to date.
    #[must_use]
    pub const fn summary(&self) -> PaceSummary {
        self.summary
    }

    /// Tells whether workers are seen to be so unlike that places are to be chosen by it.
    #[must_use]
    pub const fn is_heterogeneous(&self) -> bool {
        self.policy.enabled && self.summary.is_heterogeneous
    }

    /// Returns the policy.
    #[must_use]
    pub const fn policy(&self) -> &WorkerPacePolicy {
        &self.policy
    }

    /// Returns what a planner that follows should know: the workers that surely differ, then those
    /// that are surely usual, as many as may be written down.
    #[must_use]
    pub fn to_stored(&self, at: Timestamp) -> Vec<StoredPace> {
        let policy = &self.policy;
        let known = self.workers.iter();
        let known =
            known.filter(|(_, estimate)| self.is_enabled() && estimate.is_known(at, policy));
        let mut kept: Vec<(bool, StoredPace)> = known
            .map(|(id, estimate)| {
                let is_usual = estimate.differing(at, policy).is_none();
                (is_usual, estimate.kept(id, at, policy))
            })
            .collect();
        kept.sort_by(|a, b| (a.0, &a.1.worker).cmp(&(b.0, &b.1.worker)));
        kept.truncate(MOST_KEPT);
        kept.into_iter().map(|(_, pace)| pace).collect()
    }

    /// Takes what an earlier planner wrote down so long ago. What this one has seen itself stands; nonsense
    /// is left out.
    pub fn restore(&mut self, kept: Vec<StoredPace>, age: Duration, at: Timestamp) {
        if !self.is_enabled() {
            return;
        }
        for pace in kept.into_iter().take(MOST_KEPT) {
            let Some(estimate) = Estimate::restored(&pace, age, at, &self.policy) else {
                continue;
            };
            if self.workers.len() < MOST_WORKERS {
                self.workers.entry(pace.worker).or_insert(estimate);
            }
        }
        self.summary = self.count(at);
    }

    /// Takes word that another life of a worker has begun.
    pub fn record_restart(&mut self, worker: &WorkerId, at: Timestamp) {
        if let Some(estimate) = self.workers.get_mut(worker) {
            estimate.begin_life(at, &self.policy);
        }
    }

    /// Forgets a worker that is gone.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }

    /// Tells whether paces are learnt and used.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Returns the level of a step's work as far as its runs, or those that were seen before, tell.
    fn level_of(
        &mut self,
        step: &GroupKey,
        runs: &[RunProgress<'_>],
        at: Timestamp,
    ) -> Option<Level> {
        let parts = runs.iter().filter_map(|run| {
            let known = self.workers.get(run.worker);
            let ln = known.map_or(0.0, Estimate::ln);
            let variance = known.map_or(UNKNOWN_VARIANCE, |w| w.variance(at, &self.policy));
            run.part(ln, variance)
        });
        let found = Level::of(parts.collect(), &self.policy);
        self.levels.take(step, found, at)
    }

    /// Learns from a run beside what work like it should take, which says little.
    fn learn_beside(
        &mut self,
        worker: &WorkerId,
        stretch: &ProgressSample,
        usual: Duration,
        at: Timestamp,
    ) {
        if !usual.is_zero() {
            self.learn(worker, &sample_beside(stretch, usual), at);
        }
    }

    fn learn(&mut self, worker: &WorkerId, sample: &Sample, at: Timestamp) {
        let policy = self.policy;
        if let Some(estimate) = self.workers.get_mut(worker) {
            estimate.learn(sample, at, &policy);
        } else if self.workers.len() < MOST_WORKERS {
            let mut estimate = Estimate::unknown(at);
            estimate.learn(sample, at, &policy);
            self.workers.insert(worker.clone(), estimate);
        }
    }

    fn is_nonsense(&mut self, stretch: &ProgressSample) -> bool {
        let is_nonsense = !stretch.is_sound();
        if is_nonsense && !std::mem::replace(&mut self.has_complained, true) {
            log::debug!(target: "planner", "a run told no sound progress; nothing is learnt from such");
        }
        is_nonsense
    }
}

/// What a stretch says beside a time that is known roughly.
fn sample_beside(stretch: &ProgressSample, usual: Duration) -> Sample {
    Sample {
        ln: stretch.projected_total.as_secs_f64().ln() - usual.as_secs_f64().ln(),
        variance: REFERENCE_VARIANCE / stretch.fraction,
        floor: REFERENCE_FLOOR,
        run: stretch.run,
    }
}
