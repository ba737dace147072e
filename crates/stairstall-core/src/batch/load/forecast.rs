//! When work handed in now would start.
//!
//! The load it answers: work of better ranks that waits, or runs and need not give way.

use std::time::Duration;

use super::{
    LoadSummary, ResourceRequest, ResourceTime, ResourceTotal, RunningWork, StartForecast,
    WaitingWork,
};

/// Part of its typical time that work takes at least, as a whole: what callers estimate is off by
/// half for single tasks.
const LEAST_PERCENT: u64 = 50;

impl LoadSummary {
    /// Returns when work would start; none where all workers together are too few for it.
    #[must_use]
    pub fn forecast(&self, shape: &ResourceRequest<'_>) -> Option<StartForecast> {
        let whole = self.room_of(shape, |kind| kind.count);
        let needed = shape.total();
        if !needed.fits(&whole) {
            return None;
        }
        let earliest = Duration::from_millis(self.earliest_ms(shape, &needed, &whole));
        let likely = Duration::from_millis(self.likely_ms(shape, &needed, &whole));
        Some(StartForecast {
            earliest,
            likely: likely.max(earliest),
        })
    }

    fn room_of(
        &self,
        shape: &ResourceRequest<'_>,
        count: impl Fn(&super::WorkerKind) -> u32,
    ) -> ResourceTotal {
        self.workers
            .iter()
            .filter(|kind| kind.service == *shape.service)
            .fold(ResourceTotal::default(), |sum, kind| {
                sum.plus(&ResourceTotal::of(&kind.capacity, count(kind)))
            })
    }

    /// Returns the runs that don't give way to the work.
    fn in_the_way<'a>(
        &'a self,
        shape: &'a ResourceRequest<'_>,
    ) -> impl Iterator<Item = &'a RunningWork> {
        let rank = shape.priority.saturating_add(1);
        self.running
            .iter()
            .filter(move |busy| busy.service == *shape.service)
            .filter(move |busy| busy.rank <= rank || busy.first_end_ms.is_none())
    }

    fn waiting_for<'a>(
        &'a self,
        shape: &'a ResourceRequest<'_>,
    ) -> impl Iterator<Item = &'a WaitingWork> {
        self.waiting
            .iter()
            .filter(|waiting| waiting.service == *shape.service)
    }

    /// Returns a bound below the start that holds whatever goes well.
    fn earliest_ms(
        &self,
        shape: &ResourceRequest<'_>,
        needed: &ResourceTotal,
        whole: &ResourceTotal,
    ) -> u64 {
        // What lasts may be cancelled at any time.
        let ending = self
            .in_the_way(shape)
            .filter(|busy| busy.first_end_ms.is_some());
        let freed_ms = free_after_ms(needed, whole, ending);
        if freed_ms == 0 {
            return 0;
        }
        let ahead = self.waiting_for(shape);
        let ahead = ahead.filter(|waiting| self.surely_comes_before(waiting, shape, needed));
        let (rest, longest_ms) = ahead
            .fold((ResourceTime::default(), 0), |(rest, longest), work| {
                (rest.plus(&work.remaining), work.longest_ms.max(longest))
            });
        let last_start_ms = rest.millis_in(whole).saturating_sub(longest_ms);
        freed_ms.max(last_start_ms) * LEAST_PERCENT / 100
    }

    /// Tells whether waiting work takes all room that the new work could use.
    fn surely_comes_before(
        &self,
        waiting: &WaitingWork,
        shape: &ResourceRequest<'_>,
        needed: &ResourceTotal,
    ) -> bool {
        let is_gang = shape.gang_size > 1;
        let overtakes = is_gang && needed.accelerators <= u64::from(self.urgent_accelerators);
        waiting.is_unconstrained
            && waiting.priority < shape.priority
            && waiting.gang == is_gang
            && waiting.gang_size <= shape.gang_size
            && waiting.needs.fits_in(&shape.needs)
            && !overtakes
    }

    /// Returns when the work should start, in the middle.
    fn likely_ms(
        &self,
        shape: &ResourceRequest<'_>,
        needed: &ResourceTotal,
        whole: &ResourceTotal,
    ) -> u64 {
        let present = self.room_of(shape, |kind| kind.count.saturating_sub(kind.away));
        let lasting = self
            .in_the_way(shape)
            .filter(|busy| busy.first_end_ms.is_none());
        let lasting = lasting.fold(ResourceTotal::default(), |sum, busy| {
            sum.plus(&busy.resources)
        });
        let usable = present.minus(&lasting);
        let usable = if needed.fits(&usable) { usable } else { *whole };
        let ending = || {
            self.in_the_way(shape)
                .filter(|busy| busy.first_end_ms.is_some())
        };
        let freed_ms = free_after_ms(needed, &usable, ending());
        let better = self.waiting_for(shape);
        let better = better.filter(|waiting| waiting.priority < shape.priority);
        let better = better.fold(ResourceTime::default(), |sum, work| {
            sum.plus(&work.remaining)
        });
        let queued_ms = better.millis_in(&usable) + self.own_rank_ms(shape, &usable);
        if queued_ms == 0 {
            return freed_ms;
        }
        let running = ending().fold(ResourceTime::default(), |sum, busy| {
            let rest = ResourceTime::of(&busy.resources, busy.first_end_ms.unwrap_or(0));
            sum.plus(&rest)
        });
        freed_ms.max(queued_ms + running.millis_in(&usable))
    }

    /// Returns how long the work of its own rank takes that should come first: customers take
    /// turns.
    fn own_rank_ms(&self, shape: &ResourceRequest<'_>, usable: &ResourceTotal) -> u64 {
        let all = self.waiting_for(shape);
        let all = all.filter(|waiting| waiting.priority == shape.priority);
        let all = all.fold(ResourceTime::default(), |sum, work| {
            sum.plus(&work.remaining)
        });
        let mut customers = 0;
        let mut own = ResourceTime::default();
        for backlog in &self.customers {
            if backlog.priority != shape.priority {
                continue;
            }
            customers += 1;
            if Some(&backlog.customer) == shape.customer {
                own = backlog.remaining;
            }
        }
        let in_turn_ms = own.millis_in(usable).saturating_mul(customers);
        in_turn_ms.min(all.millis_in(usable))
    }
}

/// Returns after what time so much is free, as the runs in the way end.
fn free_after_ms<'a>(
    needed: &ResourceTotal,
    whole: &ResourceTotal,
    in_the_way: impl Iterator<Item = &'a RunningWork>,
) -> u64 {
    let mut ends: Vec<&RunningWork> = in_the_way.collect();
    ends.sort_by_key(|busy| std::cmp::Reverse(busy.first_end_ms));
    let mut taken = ResourceTotal::default();
    for busy in ends {
        taken = taken.plus(&busy.resources);
        let rest = whole.minus(&taken);
        if !needed.fits(&rest) {
            return busy.first_end_ms.unwrap_or(0);
        }
    }
    0
}
