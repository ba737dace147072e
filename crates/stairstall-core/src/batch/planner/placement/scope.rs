//! Search scopes: workers near a step's data first, all workers after a wait limit.

use std::time::Duration;

use super::super::Now;
use super::super::Planner;
use super::super::candidate::{Candidate, GUARANTEED_RANK, URGENT_RANK};
use super::super::candidate_worker::SearchScope;
use super::super::pass::{CapacityKind, Pass};
use crate::Timestamp;
use crate::batch::{GroupKey, StepSpec};

impl Planner {
    /// Returns the search scopes to try, in this order.
    pub(super) fn scopes(
        &self,
        candidate: &Candidate,
        step: &StepSpec,
        ready_since: Timestamp,
        pass: &mut Pass,
        now: Now,
    ) -> Vec<SearchScope> {
        let urgent = candidate.rank <= URGENT_RANK;
        let mut scopes = vec![SearchScope {
            near: true,
            preempts: false,
        }];
        if urgent {
            scopes.push(SearchScope {
                near: true,
                preempts: true,
            });
        }
        let prefers_near = step.near_rack.is_some() || (step.gang && step.same_rack);
        let wait_limit = if candidate.rank == GUARANTEED_RANK {
            self.policy
                .placement
                .locality_wait_urgent
                .max(self.guaranteed_wait_limit())
        } else if urgent {
            self.policy.placement.locality_wait_urgent
        } else {
            Duration::from_millis(self.estimate_ms(step))
        };
        let waited = now.at - ready_since;
        let may_go_far = waited >= wait_limit || !self.could_fit_near(&candidate.key, step, pass);
        if prefers_near && may_go_far {
            scopes.push(SearchScope {
                near: false,
                preempts: false,
            });
            if urgent {
                scopes.push(SearchScope {
                    near: false,
                    preempts: true,
                });
            }
        }
        scopes
    }

    /// Returns whether the step would fit near its data if nothing else ran. Only gangs can be too
    /// large.
    fn could_fit_near(&self, key: &GroupKey, step: &StepSpec, pass: &mut Pass) -> bool {
        if !step.gang {
            return true;
        }
        let scope = SearchScope {
            near: true,
            preempts: false,
        };
        let ceiling = self.ceiling(key, step, scope.near, CapacityKind::Whole, pass);
        ceiling.allows(step, step.count, scope)
    }
}
