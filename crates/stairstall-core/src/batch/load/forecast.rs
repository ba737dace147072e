//! When work handed in now would start.
//!
//! The load it answers: work of better ranks that waits, or runs and need not give way.

use std::time::Duration;

use super::{BusyRoom, LoadSummary, RoomTime, Shape, StartForecast, TotalRoom, WaitingWork};

/// Part of its typical time that work takes at least, as a whole: what callers estimate is off by
/// half for single tasks.
const LEAST_PERCENT: u64 = 50;

impl LoadSummary {
    /// Returns when work would start; none where all workers together are too few for it.
    #[must_use]
    pub fn forecast(&self, shape: &Shape<'_>) -> Option<StartForecast> {
        let whole = self.room_of(shape, |kind| kind.count);
        let needed = shape.room();
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

    fn room_of(&self, shape: &Shape<'_>, count: impl Fn(&super::WorkerKind) -> u32) -> TotalRoom {
        self.workers
            .iter()
            .filter(|kind| kind.service == *shape.service)
            .fold(TotalRoom::default(), |sum, kind| {
                sum.plus(&TotalRoom::of(&kind.capacity, count(kind)))
            })
    }

    /// Returns the runs that don't give way to the work.
    fn in_the_way<'a>(&'a self, shape: &'a Shape<'_>) -> impl Iterator<Item = &'a BusyRoom> {
        let rank = shape.priority.saturating_add(1);
        self.busy
            .iter()
            .filter(move |busy| busy.service == *shape.service)
            .filter(move |busy| busy.rank <= rank || busy.from_ms.is_none())
    }

    fn waiting_for<'a>(&'a self, shape: &'a Shape<'_>) -> impl Iterator<Item = &'a WaitingWork> {
        self.waiting
            .iter()
            .filter(|waiting| waiting.service == *shape.service)
    }

    /// Returns a bound below the start that holds whatever goes well.
    fn earliest_ms(&self, shape: &Shape<'_>, needed: &TotalRoom, whole: &TotalRoom) -> u64 {
        // What lasts may be cancelled at any time.
        let ending = self.in_the_way(shape).filter(|busy| busy.from_ms.is_some());
        let freed_ms = free_after_ms(needed, whole, ending);
        if freed_ms == 0 {
            return 0;
        }
        let ahead = self.waiting_for(shape);
        let ahead = ahead.filter(|waiting| self.surely_comes_before(waiting, shape, needed));
        let (rest, longest_ms) = ahead.fold((RoomTime::default(), 0), |(rest, longest), work| {
            (rest.plus(&work.rest), work.longest_ms.max(longest))
        });
        let last_start_ms = rest.millis_in(whole).saturating_sub(longest_ms);
        freed_ms.max(last_start_ms) * LEAST_PERCENT / 100
    }

    /// Tells whether waiting work takes all room that the new work could use.
    fn surely_comes_before(
        &self,
        waiting: &WaitingWork,
        shape: &Shape<'_>,
        needed: &TotalRoom,
    ) -> bool {
        let is_gang = shape.width > 1;
        let overtakes = is_gang && needed.accelerators <= u64::from(self.urgent_accelerators);
        waiting.takes_any
            && waiting.priority < shape.priority
            && waiting.gang == is_gang
            && waiting.width <= shape.width
            && waiting.needs.fits_in(&shape.needs)
            && !overtakes
    }

    /// Returns when the work should start, in the middle.
    fn likely_ms(&self, shape: &Shape<'_>, needed: &TotalRoom, whole: &TotalRoom) -> u64 {
        let present = self.room_of(shape, |kind| kind.count.saturating_sub(kind.away));
        let lasting = self.in_the_way(shape).filter(|busy| busy.from_ms.is_none());
        let lasting = lasting.fold(TotalRoom::default(), |sum, busy| sum.plus(&busy.room));
        let usable = present.minus(&lasting);
        let usable = if needed.fits(&usable) { usable } else { *whole };
        let ending = || self.in_the_way(shape).filter(|busy| busy.from_ms.is_some());
        let freed_ms = free_after_ms(needed, &usable, ending());
        let better = self.waiting_for(shape);
        let better = better.filter(|waiting| waiting.priority < shape.priority);
        let better = better.fold(RoomTime::default(), |sum, work| sum.plus(&work.rest));
        let queued_ms = better.millis_in(&usable) + self.own_rank_ms(shape, &usable);
        if queued_ms == 0 {
            return freed_ms;
        }
        let running = ending().fold(RoomTime::default(), |sum, busy| {
            let rest = RoomTime::of(&busy.room, busy.from_ms.unwrap_or(0));
            sum.plus(&rest)
        });
        freed_ms.max(queued_ms + running.millis_in(&usable))
    }

    /// Returns how long the work of its own rank takes that should come first: customers take
    /// turns.
    fn own_rank_ms(&self, shape: &Shape<'_>, usable: &TotalRoom) -> u64 {
        let all = self.waiting_for(shape);
        let all = all.filter(|waiting| waiting.priority == shape.priority);
        let all = all.fold(RoomTime::default(), |sum, work| sum.plus(&work.rest));
        let mut customers = 0;
        let mut own = RoomTime::default();
        for backlog in &self.customers {
            if backlog.priority != shape.priority {
                continue;
            }
            customers += 1;
            if Some(&backlog.customer) == shape.customer {
                own = backlog.rest;
            }
        }
        let in_turn_ms = own.millis_in(usable).saturating_mul(customers);
        in_turn_ms.min(all.millis_in(usable))
    }
}

/// Returns after what time so much is free, as the runs in the way end.
fn free_after_ms<'a>(
    needed: &TotalRoom,
    whole: &TotalRoom,
    in_the_way: impl Iterator<Item = &'a BusyRoom>,
) -> u64 {
    let mut ends: Vec<&BusyRoom> = in_the_way.collect();
    ends.sort_by_key(|busy| std::cmp::Reverse(busy.from_ms));
    let mut taken = TotalRoom::default();
    for busy in ends {
        taken = taken.plus(&busy.room);
        let rest = whole.minus(&taken);
        if !needed.fits(&rest) {
            return busy.from_ms.unwrap_or(0);
        }
    }
    0
}
