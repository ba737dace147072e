//! A store that does not answer for a while: nothing is written, listed or taken over, and the role lapses.

use super::{Event, World};

/// How long after its last renewal a planner holds its role, in milliseconds.
const ROLE_LEASE_MS: u64 = 1_000;

/// A time in which the store does not answer.
#[derive(Debug, Clone, Copy)]
pub struct StoreOutage {
    until_ms: u64,
    /// Until when the planner still has its role.
    role_until_ms: u64,
}

impl World {
    /// Lets the store not answer from a time on for so long.
    pub fn store_down_at(&mut self, at_ms: u64, for_ms: u64) {
        self.events.push(at_ms, Event::StoreDown(for_ms));
    }

    pub(super) fn begin_store_outage(&mut self, for_ms: u64) {
        self.tell(format_args!("the store is down for {for_ms}"));
        self.store_outage = Some(StoreOutage {
            until_ms: self.at_ms + for_ms,
            role_until_ms: self.at_ms + ROLE_LEASE_MS,
        });
    }

    pub(super) fn end_store_outage(&mut self) {
        let at_ms = self.at_ms;
        self.store_outage = self.store_outage.filter(|outage| at_ms < outage.until_ms);
    }

    /// Returns whether the planner may send orders and renewals.
    pub(super) fn has_role(&self) -> bool {
        let outage = self.store_outage;
        outage.is_none_or(|outage| self.at_ms < outage.role_until_ms)
    }

    /// Puts off what needs the store until it answers again. Returns what needs none.
    pub(super) fn defer_by_outage(&mut self, event: Event) -> Option<Event> {
        let until_ms = self.store_outage.map(|outage| outage.until_ms);
        let until_ms = until_ms.filter(|until_ms| self.at_ms < *until_ms);
        match (until_ms, &event) {
            (Some(until_ms), Event::Listed(..) | Event::Succeed | Event::StoreDown(_)) => {
                self.events.push(until_ms, event);
                None
            }
            _ => Some(event),
        }
    }
}
