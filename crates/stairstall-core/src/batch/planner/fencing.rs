//! Fencing tokens that tell the lives of a worker apart.
//!
//! A call names its worker by an id that several lives share, and may be carried out seconds later: a start
//! by a life that knows nothing of the task's end, a request to forget ends by one whose ends nobody has
//! read. A worker refuses whatever brings a lower token than it has seen. So what is sent to each life brings a
//! higher token than anything that was sent before it began: once a life has answered that, nothing
//! that was meant for an earlier one is carried out there.

use super::Planner;
use crate::WorkerId;

/// Lives that can begin under one planner before its tokens would be the next planner's.
const LIVES_PER_TENURE: u64 = 1 << 20;

impl Planner {
    /// Returns a token above all that were sent so far.
    ///
    /// Once there are none left the role is given up: the next planner has as many again.
    pub(super) const fn next_fencing_token(&mut self) -> u64 {
        if self.incarnations_started + 1 == LIVES_PER_TENURE {
            self.superseded = true;
        } else {
            self.incarnations_started += 1;
        }
        self.token * LIVES_PER_TENURE + self.incarnations_started
    }

    /// Takes word that a worker has seen a higher token than a call brought: another planner has taken over,
    /// unless the call was meant for an earlier life.
    pub fn handle_fenced(&mut self, id: &WorkerId, token: u64) {
        if self.is_present_fence(id, token) {
            self.superseded = true;
        }
    }

    /// Tells whether a call brought the token of a worker's present life.
    pub(super) fn is_present_fence(&self, id: &WorkerId, token: u64) -> bool {
        self.workers.get(id).is_some_and(|w| w.fence == token)
    }
}
