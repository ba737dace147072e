//! Search scopes: workers near a step's data first, all workers after a wait limit.

use std::time::Duration;

use super::super::Now;
use super::super::Planner;
use super::super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::super::candidate_worker::SearchScope;
use super::super::pass::{CapacityKind, Pass};
use crate::Timestamp;
use crate::batch::StepSpec;
use crate::time::millis;

impl Planner {
    /// Returns the search scopes to try, in this order.
    pub(super) fn scopes(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        ready_since: Timestamp,
        pass: &mut Pass,
        now: Now,
    ) -> Vec<SearchScope> {
        let urgent = candidate.rank <= URGENT_RANK;
        let mut scopes = vec![SearchScope::NEAR];
        if urgent {
            scopes.push(SearchScope::NEAR.preempting());
        }
        let prefers_near = step.near_rack.is_some() || (step.gang && step.same_rack);
        let waited = now.at - ready_since;
        if prefers_near && self.may_go_far(candidate, step, waited, pass, now) {
            scopes.push(SearchScope::ANYWHERE);
            if urgent {
                scopes.push(SearchScope::ANYWHERE.preempting());
            }
        }
        scopes.extend(self.idle_scopes(candidate, pass, now));
        scopes
    }

    /// Returns whether a step that has waited for capacity near its data may run elsewhere.
    ///
    /// It never waits for longer than it would lose elsewhere, and not at all where nothing near
    /// could take it.
    fn may_go_far(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        waited: Duration,
        pass: &mut Pass,
        now: Now,
    ) -> bool {
        waited >= self.locality_wait_limit(candidate, step)
            || match self.near_capacity(candidate, step, pass, now) {
                NearCapacity::Expected => false,
                NearCapacity::MayReturn => waited >= self.policy.placement.rack_return_wait,
                NearCapacity::None => true,
            }
    }

    /// Returns how long a step waits for capacity near its data at most.
    fn locality_wait_limit(&self, candidate: &Candidate, step: &StepSpec) -> Duration {
        let urgent_wait = self.policy.placement.locality_wait_urgent;
        match candidate.rank {
            GUARANTEED_RANK => urgent_wait.max(self.guaranteed_wait_limit()),
            URGENT_RANK => urgent_wait,
            _ => {
                let estimate = Duration::from_millis(self.estimate_ms(step));
                estimate.min(self.loss_elsewhere(step))
            }
        }
    }

    /// Returns how much longer a task takes away from its data.
    fn loss_elsewhere(&self, step: &StepSpec) -> Duration {
        let factor = self.bounds.far_factor.saturating_sub(1);
        Duration::from_millis(self.estimate_ms(step)).saturating_mul(factor)
    }

    /// Returns whether the step can expect capacity near its data.
    fn near_capacity(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        pass: &mut Pass,
        now: Now,
    ) -> NearCapacity {
        let key = &candidate.key;
        let scope = SearchScope::NEAR;
        let whole = self.ceiling(key, step, scope.near, CapacityKind::Whole, pass);
        if !whole.allows(step, step.count, scope) {
            return self.missing_near_capacity(step);
        }
        // Urgent work may preempt what runs there.
        if step.gang || candidate.rank <= URGENT_RANK {
            return NearCapacity::Expected;
        }
        let until = now.at + rounded_up(self.loss_elsewhere(step));
        let in_time = CapacityKind::FreeBy(until);
        let in_time = self.ceiling(key, step, scope.near, in_time, pass);
        if in_time.allows(step, step.count, scope) {
            NearCapacity::Expected
        } else {
            NearCapacity::None
        }
    }

    /// Returns whether a step that no worker near its data could take may wait for one.
    fn missing_near_capacity(&self, step: &StepSpec) -> NearCapacity {
        if step.gang {
            return NearCapacity::None;
        }
        let mut near = self.workers.values().filter(|w| w.is_near(step)).peekable();
        let is_lost = near.peek().is_none();
        if is_lost || near.any(|worker| !worker.is_in_contact() || !worker.is_listed) {
            NearCapacity::MayReturn
        } else {
            NearCapacity::None
        }
    }
}

/// What a step can expect near its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NearCapacity {
    /// It fits near its data, now or once other work has ended.
    Expected,
    /// No worker near its data could take it now; one that is away may come back.
    MayReturn,
    /// No worker near its data could take it: all are too small, full for too long, or take no
    /// tasks.
    None,
}

/// Rounds a time up to a power of two in milliseconds, so that steps share what is worked out for
/// it.
fn rounded_up(time: Duration) -> Duration {
    let rounded_ms = millis(time).checked_next_power_of_two();
    Duration::from_millis(rounded_ms.unwrap_or(u64::MAX))
}
