//! Forecast of when newly submitted work would start.
//!
//! It considers the work that the new work has to wait for: waiting work of the same or a better
//! rank, and running work that it can't preempt.

use std::time::Duration;

use super::{
    LoadSummary, ResourceRequest, ResourceTime, ResourceTotal, RunningWork, StartForecast,
    WaitingWork,
};

/// Minimum run time of work, in percent of its typical run time. It holds for the total of all work
/// only: for single tasks, the callers' estimates are off by half.
const MIN_RUN_TIME_PERCENT: u64 = 50;

impl LoadSummary {
    /// Returns when the work would start; `None` if all workers together are too few for it.
    #[must_use]
    pub fn forecast(&self, request: &ResourceRequest<'_>) -> Option<StartForecast> {
        let capacity = self.capacity_of(request, |kind| kind.count);
        let needed = request.total();
        if !needed.fits_in(&capacity) {
            return None;
        }
        let earliest = Duration::from_millis(self.earliest_ms(request, &needed, &capacity));
        let likely = Duration::from_millis(self.likely_ms(request, &needed, &capacity));
        Some(StartForecast {
            earliest,
            likely: likely.max(earliest),
        })
    }

    /// Returns the total capacity of the service's workers, of which `count` gives the number that
    /// counts for each kind.
    fn capacity_of(
        &self,
        request: &ResourceRequest<'_>,
        count: impl Fn(&super::WorkerKind) -> u32,
    ) -> ResourceTotal {
        self.workers
            .iter()
            .filter(|kind| kind.service == *request.service)
            .fold(ResourceTotal::default(), |sum, kind| {
                sum.plus(&ResourceTotal::of(&kind.capacity, count(kind)))
            })
    }

    /// Returns the runs that are not preempted by the work.
    fn not_preempted<'a>(
        &'a self,
        request: &'a ResourceRequest<'_>,
    ) -> impl Iterator<Item = &'a RunningWork> {
        let rank = request.priority.saturating_add(1);
        self.running
            .iter()
            .filter(move |runs| runs.service == *request.service)
            .filter(move |runs| runs.rank <= rank || runs.first_end_ms.is_none())
    }

    fn waiting_for_service<'a>(
        &'a self,
        request: &'a ResourceRequest<'_>,
    ) -> impl Iterator<Item = &'a WaitingWork> {
        self.waiting
            .iter()
            .filter(|waiting| waiting.service == *request.service)
    }

    /// Returns a lower bound of the time until the start.
    fn earliest_ms(
        &self,
        request: &ResourceRequest<'_>,
        needed: &ResourceTotal,
        capacity: &ResourceTotal,
    ) -> u64 {
        // Long-running steps are left out, as they may be cancelled at any time.
        let ending = self
            .not_preempted(request)
            .filter(|runs| runs.first_end_ms.is_some());
        let freed_ms = free_after_ms(needed, capacity, ending);
        if freed_ms == 0 {
            return 0;
        }
        let ahead = self.waiting_for_service(request);
        let ahead = ahead.filter(|waiting| self.certainly_starts_before(waiting, request, needed));
        let (remaining, longest_ms) = ahead.fold(
            (ResourceTime::default(), 0),
            |(remaining, longest), work| {
                (
                    remaining.plus(&work.remaining),
                    work.longest_ms.max(longest),
                )
            },
        );
        let last_start_ms = remaining.millis_in(capacity).saturating_sub(longest_ms);
        freed_ms.max(last_start_ms) * MIN_RUN_TIME_PERCENT / 100
    }

    /// Returns whether waiting work certainly starts first: it has a better priority and can use
    /// any capacity that the new work could use.
    fn certainly_starts_before(
        &self,
        waiting: &WaitingWork,
        request: &ResourceRequest<'_>,
        needed: &ResourceTotal,
    ) -> bool {
        let is_gang = request.gang_size > 1;
        // A gang that fits into the headroom may start first, as gangs whose latest start is near
        // may use it.
        let overtakes = is_gang && needed.accelerators <= u64::from(self.urgent_accelerators);
        waiting.is_unconstrained
            && waiting.priority < request.priority
            && waiting.gang == is_gang
            && waiting.gang_size <= request.gang_size
            && waiting.needs.fits_in(&request.needs)
            && !overtakes
    }

    /// Returns the expected time until the start.
    fn likely_ms(
        &self,
        request: &ResourceRequest<'_>,
        needed: &ResourceTotal,
        capacity: &ResourceTotal,
    ) -> u64 {
        let present = self.capacity_of(request, |kind| kind.count.saturating_sub(kind.away));
        let long_running = self
            .not_preempted(request)
            .filter(|runs| runs.first_end_ms.is_none());
        let long_running = long_running.fold(ResourceTotal::default(), |sum, runs| {
            sum.plus(&runs.resources)
        });
        let usable = present.minus(&long_running);
        let usable = if needed.fits_in(&usable) {
            usable
        } else {
            *capacity
        };
        let ending = || {
            self.not_preempted(request)
                .filter(|runs| runs.first_end_ms.is_some())
        };
        let freed_ms = free_after_ms(needed, &usable, ending());
        let better = self.waiting_for_service(request);
        let better = better.filter(|waiting| waiting.priority < request.priority);
        let better = better.fold(ResourceTime::default(), |sum, work| {
            sum.plus(&work.remaining)
        });
        let queued_ms = better
            .millis_in(&usable)
            .saturating_add(self.own_rank_ms(request, &usable));
        if queued_ms == 0 {
            return freed_ms;
        }
        let running = ending().fold(ResourceTime::default(), |sum, runs| {
            let remaining = ResourceTime::of(&runs.resources, runs.first_end_ms.unwrap_or(0));
            sum.plus(&remaining)
        });
        freed_ms.max(queued_ms.saturating_add(running.millis_in(&usable)))
    }

    /// Returns how long the work of the same rank takes that is expected to start first. Capacity
    /// is shared fairly between customers, so each of them is assumed to get as much as the
    /// customer of the new work has waiting.
    fn own_rank_ms(&self, request: &ResourceRequest<'_>, usable: &ResourceTotal) -> u64 {
        let all = self.waiting_for_service(request);
        let all = all.filter(|waiting| waiting.priority == request.priority);
        let all = all.fold(ResourceTime::default(), |sum, work| {
            sum.plus(&work.remaining)
        });
        let mut customers = 0;
        let mut own = ResourceTime::default();
        for backlog in &self.customers {
            if backlog.priority != request.priority {
                continue;
            }
            customers += 1;
            if Some(&backlog.customer) == request.customer {
                own = backlog.remaining;
            }
        }
        let alternating_ms = own.millis_in(usable).saturating_mul(customers);
        alternating_ms.min(all.millis_in(usable))
    }
}

/// Returns the time after which the needed resources are free, as the given runs end.
fn free_after_ms<'a>(
    needed: &ResourceTotal,
    capacity: &ResourceTotal,
    runs: impl Iterator<Item = &'a RunningWork>,
) -> u64 {
    let mut latest_first: Vec<&RunningWork> = runs.collect();
    latest_first.sort_by_key(|runs| std::cmp::Reverse(runs.first_end_ms));
    let mut held = ResourceTotal::default();
    for runs in latest_first {
        held = held.plus(&runs.resources);
        let free = capacity.minus(&held);
        if !needed.fits_in(&free) {
            return runs.first_end_ms.unwrap_or(0);
        }
    }
    0
}
