//! Tracks the demand of urgent work by zone and queue, to keep headroom for it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::HeadroomPolicy;
use crate::{Timestamp, ZoneId};

/// Maximum number of zones and queues that are tracked separately; all others are counted together.
const MAX_SOURCES: usize = 64;
/// Arrivals within this time are merged, which bounds the memory that they take.
const MERGE_WINDOW: Duration = Duration::from_millis(20);
/// Maximum factor by which demand is expected to grow.
const MAX_GROWTH: f64 = 2.0;

/// An arrival of urgent work.
#[derive(Debug, Clone, Copy)]
pub struct UrgentWork<'a> {
    /// Zone of the caller, where it is known.
    pub zone: Option<&'a ZoneId>,
    /// Name of the queue.
    pub queue: &'a str,
    /// Maximum number of accelerators that the work uses at a time.
    pub accelerators: u32,
    /// How long it holds them, where that is known.
    pub hold_time: Option<Duration>,
}

/// The time span that headroom is kept for, and how long demand has been observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DemandHorizon {
    /// Headroom is kept for what arrives within this time.
    pub span: Duration,
    /// How long preempted runs take to stop.
    pub stop_time: Duration,
    /// How long arrivals have been observed. A planner that has just started can't tell high demand
    /// from rising demand.
    pub observed: Duration,
}

/// Recent urgent demand of all zones and queues.
#[derive(Debug, Clone, Default)]
pub struct UrgentDemand {
    sources: BTreeMap<Source, VecDeque<Arrivals>>,
}

/// Zone and queue that urgent work comes from; both empty for work that is not tracked separately.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    zone: Option<ZoneId>,
    queue: String,
}

/// Work that arrived at about the same time.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    at: Timestamp,
    jobs: u32,
    accelerators: u32,
    /// How long the work holds its accelerators; none where that is not known.
    hold_time: Option<Duration>,
}

/// Number of jobs that arrived within a time, and the headroom for as many, in accelerator-seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    jobs: f64,
    accelerator_seconds: f64,
}

impl UrgentDemand {
    /// Records an arrival of urgent work; arrivals older than `window` are dropped.
    pub fn record(&mut self, work: &UrgentWork<'_>, window: Duration, at: Timestamp) {
        let mut source = Source {
            zone: work.zone.cloned(),
            queue: work.queue.to_owned(),
        };
        if !self.sources.contains_key(&source) && self.sources.len() >= MAX_SOURCES {
            self.drop_older(window, at);
            if self.sources.len() >= MAX_SOURCES {
                source = Source::default();
            }
        }
        let arrivals = self.sources.entry(source).or_default();
        while arrivals
            .front()
            .is_some_and(|oldest| at - oldest.at > window)
        {
            arrivals.pop_front();
        }
        match arrivals
            .back_mut()
            .filter(|last| at - last.at < MERGE_WINDOW)
        {
            Some(last) => last.add(work),
            None => arrivals.push_back(Arrivals::of(work, at)),
        }
    }

    /// Returns how many accelerators to keep free for expected work.
    #[must_use]
    pub fn headroom(&self, horizon: &DemandHorizon, policy: &HeadroomPolicy, at: Timestamp) -> f64 {
        let sources = self.sources.values();
        sources
            .map(|arrivals| headroom_of(arrivals, horizon, policy, at))
            .sum()
    }

    fn drop_older(&mut self, window: Duration, at: Timestamp) {
        self.sources.retain(|_, arrivals| {
            let newest = arrivals.back();
            newest.is_some_and(|newest| at - newest.at <= window)
        });
    }
}

impl Arrivals {
    const fn of(work: &UrgentWork<'_>, at: Timestamp) -> Self {
        Self {
            at,
            jobs: 1,
            accelerators: work.accelerators,
            hold_time: work.hold_time,
        }
    }

    fn add(&mut self, work: &UrgentWork<'_>) {
        self.jobs = self.jobs.saturating_add(1);
        self.accelerators = self.accelerators.saturating_add(work.accelerators);
        let both = self.hold_time.zip(work.hold_time);
        self.hold_time = both.map(|(one, other)| one.max(other));
    }

    /// Returns the accelerator-seconds to keep free for as many arrivals: no longer than the work
    /// holds its accelerators plus the time of a stop, since accelerators that are free again serve
    /// the next arrival.
    fn accelerator_seconds(&self, horizon: &DemandHorizon, policy: &HeadroomPolicy) -> f64 {
        let hold_time = self.hold_time.filter(|_| policy.bounded_by_run_time);
        let span = horizon.span;
        let seconds = hold_time.map_or(span, |hold_time| span.min(hold_time + horizon.stop_time));
        f64::from(self.accelerators) * seconds.as_secs_f64()
    }
}

/// Returns how many accelerators to keep free for what one source is expected to request.
fn headroom_of(
    arrivals: &VecDeque<Arrivals>,
    horizon: &DemandHorizon,
    policy: &HeadroomPolicy,
    at: Timestamp,
) -> f64 {
    let (window, recent) = (policy.window, policy.recent);
    let within = |age: Duration| {
        let arrived = arrivals.iter().filter(|a| at - a.at <= age);
        arrived.fold(Totals::default(), |sum, arrivals| Totals {
            jobs: sum.jobs + f64::from(arrivals.jobs),
            accelerator_seconds: sum.accelerator_seconds
                + arrivals.accelerator_seconds(horizon, policy),
        })
    };
    let all = within(window);
    let mean = all.accelerator_seconds / window.as_secs_f64().max(0.001);
    let earlier = horizon.observed.min(window).saturating_sub(recent);
    if !policy.follows_change || recent.is_zero() || earlier < recent {
        return mean;
    }
    let current = within(recent);
    let fraction = recent.div_duration_f64(earlier);
    let expected_jobs = (all.jobs - current.jobs) * fraction;
    let change = deviations(current.jobs, expected_jobs, fraction);
    let rate = current.accelerator_seconds / recent.as_secs_f64();
    if change > policy.change_threshold {
        let previous = within(recent * 2).accelerator_seconds - current.accelerator_seconds;
        let growth = (current.accelerator_seconds - previous).max(0.0) / recent.as_secs_f64();
        let expected_growth = growth * horizon.stop_time.div_duration_f64(recent);
        (rate + expected_growth).min(rate * MAX_GROWTH).max(mean)
    } else if change < -policy.change_threshold {
        rate.min(mean)
    } else {
        mean
    }
}

/// Returns by how many standard deviations a random count exceeds the expected one.
///
/// The expected count was measured over another period and scaled to the period of the count;
/// `fraction` is the length of the latter relative to the former. The counts are compared by their
/// square roots: that of a Poisson count has a standard deviation of one half whatever its mean,
/// and small counts are not skewed.
fn deviations(count: f64, expected: f64, fraction: f64) -> f64 {
    let root = |count: f64| (count + 0.375).sqrt();
    (root(count) - root(expected)) * 2.0 / (1.0 + fraction).sqrt()
}
