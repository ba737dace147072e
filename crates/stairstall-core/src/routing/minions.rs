use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;

use super::{CircuitBreaker, SlotShares};
use crate::protocol::VmState;
use crate::{MinionId, ServiceId, Timestamp, Verdict};

/// A minion of this zone, as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionInfo {
    /// Identifier of the minion.
    pub id: MinionId,
    /// Address at which the minion listens.
    pub address: SocketAddr,
    /// Service that the minion answers for.
    pub service: ServiceId,
    /// Whether the minion takes new work.
    pub state: VmState,
    /// When the current incarnation of the minion started, in milliseconds since the Unix epoch, if
    /// the platform reports it.
    pub born_unix_ms: Option<u64>,
}

impl MinionInfo {
    /// Returns whether another entry describes the same incarnation: one process at one address.
    fn is_same_incarnation(&self, other: &Self) -> bool {
        self.address == other.address && self.born_unix_ms == other.born_unix_ms
    }
}

/// How a request to a minion ended, with respect to the health of the minion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The minion answered.
    Answered,
    /// The minion refused the request because all of its slots are in use.
    Busy,
    /// The minion announced that it is leaving.
    Leaving,
    /// The minion could not be reached, or the connection broke.
    Fault,
    /// The caller abandoned the request before it ended, which says nothing about the minion.
    Abandoned,
}

/// A minion selected for one request, with a slot that has to be returned through
/// [`MinionTable::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Selected minion.
    pub minion: MinionId,
    /// Address at which the minion listens.
    pub address: SocketAddr,
    /// Start time of the selected incarnation, see [`MinionInfo::born_unix_ms`].
    pub born_unix_ms: Option<u64>,
    /// Number of requests of this daemon that are in flight at the minion, including this one.
    pub in_flight: u16,
    /// Number of the minion's slots that this daemon may use.
    pub share: u16,
    /// Number of other minions of the service that take new work.
    pub passed_over: usize,
}

quick_error! {
    /// Why no minion was selected.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum PickRefusal {
        /// No minion of the service takes new work in this zone.
        NoMinion {
            display("no minion of the service takes work in this zone")
        }
        /// No minion can be selected now: for each, the share of its slots is used up, its circuit
        /// is open, it was busy just before, or the request avoids it.
        AllBusy {
            display("every slot of this daemon is taken")
        }
    }
}

impl PickRefusal {
    /// Returns [`Verdict::NotRun`], as nothing was sent.
    #[must_use]
    pub const fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

#[derive(Debug, Clone)]
struct Minion {
    info: MinionInfo,
    in_flight: u16,
    circuit: CircuitBreaker,
    /// Not selected before this time, as the minion refused a request as busy.
    busy_until: Timestamp,
    /// Whether the minion announced in a response that it is leaving.
    announced_leaving: bool,
    /// Whether the platform's list contains the minion.
    listed: bool,
}

impl Minion {
    fn takes_new_work(&self) -> bool {
        self.listed && self.info.state == VmState::Live && !self.announced_leaving
    }
}

/// The minions of one zone, with their health and the requests of this daemon in flight at each.
#[derive(Debug, Clone)]
pub struct MinionTable {
    minions: BTreeMap<MinionId, Minion>,
    shares: SlotShares,
    /// Number of calls of [`MinionTable::pick`], which shifts the order among equal loads.
    rotation: usize,
}

impl MinionTable {
    /// How long a minion is not selected after it refused a request as busy.
    const BUSY_PAUSE: Duration = Duration::from_millis(20);

    /// Creates a table without minions.
    #[must_use]
    pub const fn new(shares: SlotShares) -> Self {
        Self {
            minions: BTreeMap::new(),
            shares,
            rotation: 0,
        }
    }

    /// Returns the shares, to update them when the daemons of the zone change.
    pub const fn shares_mut(&mut self) -> &mut SlotShares {
        &mut self.shares
    }

    /// Replaces the list of minions; minions that are no longer listed get no new requests.
    pub fn set_minions(&mut self, list: Vec<MinionInfo>) {
        for minion in self.minions.values_mut() {
            minion.listed = false;
        }
        for info in list {
            match self.minions.get_mut(&info.id) {
                Some(minion) => {
                    if !minion.info.is_same_incarnation(&info) {
                        minion.reset_health();
                    }
                    minion.info = info;
                    minion.listed = true;
                }
                None => drop(self.minions.insert(info.id.clone(), Minion::new(info))),
            }
        }
        self.minions.retain(|_, m| m.listed || m.in_flight > 0);
    }

    /// Selects the minion with the lowest load relative to this daemon's share, and takes a slot.
    ///
    /// Ties are broken by the position in the table, shifted by one, modulo 64, with each call.
    /// Minions in `avoid` are not selected.
    ///
    /// # Errors
    ///
    /// Returns why no minion was selected.
    pub fn pick(
        &mut self,
        service: &ServiceId,
        slots: u16,
        avoid: &[MinionId],
        now: Timestamp,
    ) -> Result<Pick, PickRefusal> {
        self.rotation = self.rotation.wrapping_add(1);
        let mut candidates = 0;
        let mut best: Option<(u32, usize, u16, MinionId)> = None;
        for (index, minion) in self.minions.values().enumerate() {
            if minion.info.service != *service || !minion.takes_new_work() {
                continue;
            }
            candidates += 1;
            let share = self.shares.share_of(&minion.info.id, slots, now);
            let available =
                minion.circuit.allows(now, minion.in_flight) && now >= minion.busy_until;
            if minion.in_flight >= share || !available || avoid.contains(&minion.info.id) {
                continue;
            }
            let load_permille = u32::from(minion.in_flight) * 1_000 / u32::from(share);
            let rotated = (index + self.rotation) % 64;
            let key = (load_permille, rotated, share, minion.info.id.clone());
            if best.as_ref().is_none_or(|b| (key.0, key.1) < (b.0, b.1)) {
                best = Some(key);
            }
        }
        let Some((_, _, share, id)) = best else {
            return Err(if candidates == 0 {
                PickRefusal::NoMinion
            } else {
                PickRefusal::AllBusy
            });
        };
        let minion = self.minions.get_mut(&id).ok_or(PickRefusal::NoMinion)?;
        minion.in_flight += 1;
        Ok(Pick {
            minion: id,
            address: minion.info.address,
            born_unix_ms: minion.info.born_unix_ms,
            in_flight: minion.in_flight,
            share,
            passed_over: candidates - 1,
        })
    }

    /// Returns a slot and records how the request ended.
    ///
    /// The outcome is ignored if the minion has restarted since, as it does not describe the new
    /// incarnation.
    pub fn release(&mut self, pick: &Pick, outcome: RequestOutcome, now: Timestamp) {
        let Some(minion) = self.minions.get_mut(&pick.minion) else {
            return;
        };
        minion.in_flight = minion.in_flight.saturating_sub(1);
        let is_same = pick.address == minion.info.address;
        if !is_same || pick.born_unix_ms != minion.info.born_unix_ms {
            return;
        }
        match outcome {
            RequestOutcome::Answered => minion.circuit.record_success(),
            RequestOutcome::Busy => minion.busy_until = now + Self::BUSY_PAUSE,
            RequestOutcome::Leaving => minion.announced_leaving = true,
            RequestOutcome::Fault => minion.circuit.record_fault(now),
            RequestOutcome::Abandoned => {}
        }
    }

    /// Returns the number of requests in flight over all minions.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.minions
            .values()
            .map(|m| usize::from(m.in_flight))
            .sum()
    }

    /// Returns the number of free slots in this daemon's shares of the minions of a service, which
    /// have `slots` slots each.
    #[must_use]
    pub fn free_slots(&self, service: &ServiceId, slots: u16, now: Timestamp) -> usize {
        self.minions
            .values()
            .filter(|m| m.info.service == *service && m.takes_new_work())
            .filter(|m| m.circuit.allows(now, m.in_flight))
            .map(|m| {
                let share = self.shares.share_of(&m.info.id, slots, now);
                usize::from(share.saturating_sub(m.in_flight))
            })
            .sum()
    }

    /// Returns whether the zone has a minion of the service that takes new work.
    #[must_use]
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.minions
            .values()
            .any(|m| m.info.service == *service && m.takes_new_work())
    }
}

impl Minion {
    /// Resets the health recorded for the previous incarnation.
    ///
    /// Otherwise a minion that announced that it was leaving, and restarted under the same id and
    /// address, would never get requests again.
    const fn reset_health(&mut self) {
        self.circuit = CircuitBreaker::CLOSED;
        self.busy_until = Timestamp::from_millis(0);
        self.announced_leaving = false;
    }

    const fn new(info: MinionInfo) -> Self {
        Self {
            info,
            in_flight: 0,
            circuit: CircuitBreaker::CLOSED,
            busy_until: Timestamp::from_millis(0),
            announced_leaving: false,
            listed: true,
        }
    }
}
