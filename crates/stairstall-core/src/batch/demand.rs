//! What urgent work asks for, as it is seen to rise and fall by zone and queue.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::HeadroomPolicy;
use crate::{Timestamp, ZoneId};

/// Most zones and queues that are told apart; the others count together.
const MAX_SOURCES: usize = 64;
/// Arrivals within so long count as one, which bounds how many are kept.
const GRAIN: Duration = Duration::from_millis(20);
/// How many times what it is now demand is expected to grow to at most.
const MOST_GROWTH: f64 = 2.0;

/// Urgent work that has arrived.
#[derive(Debug, Clone, Copy)]
pub struct UrgentWork<'a> {
    /// The zone of its caller, where that is known.
    pub zone: Option<&'a ZoneId>,
    /// The queue's name.
    pub queue: &'a str,
    /// Accelerators that it takes at a time, at most.
    pub accelerators: u32,
    /// How long it holds them, as far as that is known.
    pub hold_time: Option<Duration>,
}

/// For what room is kept, and from how long a look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DemandHorizon {
    /// Room is kept for what arrives within this time.
    pub span: Duration,
    /// How long it takes until others have given way.
    pub stop_time: Duration,
    /// How long arrivals have been watched: whoever has just begun can't tell much from more.
    pub observed: Duration,
}

/// What urgent work of all zones and queues has asked for lately.
#[derive(Debug, Clone, Default)]
pub struct UrgentDemand {
    sources: BTreeMap<Source, VecDeque<Arrivals>>,
}

/// Where urgent work comes from; empty where too many are told apart already.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    zone: Option<ZoneId>,
    queue: String,
}

/// What arrived at about one time.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    at: Timestamp,
    jobs: u32,
    accelerators: u32,
    /// How long it holds them; none where that is not known.
    held: Option<Duration>,
}

/// Jobs that arrived in a span of time, and the room that is to be kept for as many.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    jobs: f64,
    room: f64,
}

impl UrgentDemand {
    /// Notes work that has arrived; what is older than `window` is forgotten.
    pub fn record(&mut self, work: &UrgentWork<'_>, window: Duration, at: Timestamp) {
        let mut source = Source {
            zone: work.zone.cloned(),
            queue: work.queue.to_owned(),
        };
        if !self.sources.contains_key(&source) && self.sources.len() >= MAX_SOURCES {
            self.forget_older(window, at);
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
        match arrivals.back_mut().filter(|last| at - last.at < GRAIN) {
            Some(last) => last.add(work),
            None => arrivals.push_back(Arrivals::of(work, at)),
        }
    }

    /// Returns how many accelerators to keep free for what is to come.
    #[must_use]
    pub fn headroom(&self, outlook: &DemandHorizon, policy: &HeadroomPolicy, at: Timestamp) -> f64 {
        let sources = self.sources.values();
        sources
            .map(|arrivals| room_of(arrivals, outlook, policy, at))
            .sum()
    }

    fn forget_older(&mut self, window: Duration, at: Timestamp) {
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
            held: work.hold_time,
        }
    }

    fn add(&mut self, work: &UrgentWork<'_>) {
        self.jobs = self.jobs.saturating_add(1);
        self.accelerators = self.accelerators.saturating_add(work.accelerators);
        let both = self.held.zip(work.hold_time);
        self.held = both.map(|(one, other)| one.max(other));
    }

    /// Returns accelerators times the seconds for which they are to be kept: no longer than they are
    /// held and a stop beside, since what is free again serves the next.
    fn room(&self, outlook: &DemandHorizon, policy: &HeadroomPolicy) -> f64 {
        let held = self.held.filter(|_| policy.bounded_by_run_time);
        let span = outlook.span;
        let seconds = held.map_or(span, |held| span.min(held + outlook.stop_time));
        f64::from(self.accelerators) * seconds.as_secs_f64()
    }
}

/// Returns the room to be kept for what one source will ask.
fn room_of(
    arrivals: &VecDeque<Arrivals>,
    outlook: &DemandHorizon,
    policy: &HeadroomPolicy,
    at: Timestamp,
) -> f64 {
    let (window, recent) = (policy.window, policy.recent);
    let until = |age: Duration| {
        let young = arrivals.iter().filter(|a| at - a.at <= age);
        young.fold(Asked::default(), |sum, arrivals| Asked {
            jobs: sum.jobs + f64::from(arrivals.jobs),
            room: sum.room + arrivals.room(outlook, policy),
        })
    };
    let all = until(window);
    let mean = all.room / window.as_secs_f64().max(0.001);
    let before = outlook.observed.min(window).saturating_sub(recent);
    if !policy.follows_change || recent.is_zero() || before < recent {
        return mean;
    }
    let now = until(recent);
    let part = recent.div_duration_f64(before);
    let usual_jobs = (all.jobs - now.jobs) * part;
    let change = deviations(now.jobs, usual_jobs, part);
    let rate = now.room / recent.as_secs_f64();
    if change > policy.change_threshold {
        let earlier_room = until(recent * 2).room - now.room;
        let growth = (now.room - earlier_room).max(0.0) / recent.as_secs_f64();
        let ahead = growth * outlook.stop_time.div_duration_f64(recent);
        (rate + ahead).min(rate * MOST_GROWTH).max(mean)
    } else if change < -policy.change_threshold {
        rate.min(mean)
    } else {
        mean
    }
}

/// Returns how many standard deviations a random count is above the usual one, which was taken over a
/// time of which the count's is `part`: of a Poisson count's square root the deviation is a half,
/// whatever its mean, and small counts are not lopsided.
fn deviations(count: f64, usual: f64, part: f64) -> f64 {
    let root = |count: f64| (count + 0.375).sqrt();
    (root(count) - root(usual)) * 2.0 / (1.0 + part).sqrt()
}
