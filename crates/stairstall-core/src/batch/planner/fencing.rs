//! Fencing tokens that distinguish the incarnations of a worker.
//!
//! A call addresses a worker by an ID that several incarnations share, and it may be carried out
//! seconds later. A delayed start could reach an incarnation that does not know that the task has
//! ended. A delayed acknowledgement could make an incarnation forget run ends that the planner has
//! not read.
//!
//! Workers refuse calls with a lower token than the highest they have seen. Calls to an incarnation
//! therefore carry a higher token than everything sent before it began. Once an incarnation has
//! answered such a call, it carries out nothing that was sent to an earlier one.

use super::Planner;
use crate::WorkerId;

/// Number of incarnations that can begin in one tenure before its tokens would reach those of the
/// next.
const INCARNATIONS_PER_TENURE: u64 = 1 << 20;

impl Planner {
    /// Highest token of a tenure. Tenures count up by one, so that none of real life gets there; the
    /// tokens of its incarnations still fit.
    pub const MAX_TOKEN: u64 = 1 << 42;

    /// Returns a token above all tokens used so far.
    ///
    /// When the tokens of this tenure are used up, the planner gives up its role, and the last
    /// token is returned again. The next tenure has its own tokens.
    pub(super) const fn next_fencing_token(&mut self) -> u64 {
        if self.incarnations_started + 1 == INCARNATIONS_PER_TENURE {
            self.superseded = true;
        } else {
            self.incarnations_started += 1;
        }
        self.token
            .saturating_mul(INCARNATIONS_PER_TENURE)
            .saturating_add(self.incarnations_started)
    }

    /// Handles a call that a worker refused because it has seen a higher token than the call's
    /// `token`. Another planner has taken over, unless the call was meant for an earlier
    /// incarnation.
    pub fn handle_fenced(&mut self, id: &WorkerId, token: u64) {
        if self.is_current_token(id, token) {
            self.superseded = true;
        }
    }

    /// Returns whether `token` is the one of the worker's current incarnation.
    pub(super) fn is_current_token(&self, id: &WorkerId, token: u64) -> bool {
        self.workers
            .get(id)
            .is_some_and(|w| w.fencing_token == token)
    }
}
