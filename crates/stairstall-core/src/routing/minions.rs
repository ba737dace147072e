use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;

use super::{CircuitBreaker, SlotShares};
use crate::protocol::VmState;
use crate::{MinionId, ServiceId, Timestamp, Verdict};

/// A minion of this zone, as the platform's list gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionInfo {
    /// Name.
    pub id: MinionId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it answers for.
    pub service: ServiceId,
    /// Whether it takes new work.
    pub state: VmState,
    /// When its present life began, in milliseconds since the Unix epoch, where the list says so.
    pub born_unix_ms: Option<u64>,
}

impl MinionInfo {
    /// Tells whether another entry is of the same life: one process at one address.
    fn is_same_life(&self, other: &Self) -> bool {
        self.address == other.address && self.born_unix_ms == other.born_unix_ms
    }
}

/// How a request to a minion ended, as far as the minion's health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It answered.
    Answered,
    /// It refused because its slots are taken.
    Busy,
    /// It said that it is leaving.
    Leaving,
    /// It could not be reached, or broke off.
    Fault,
    /// Nobody waited for its answer any more; that says nothing of the minion.
    Abandoned,
}

/// A minion chosen for one request; give it back through [`MinionTable::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Which minion.
    pub minion: MinionId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Which of its lives it is, as the list says.
    pub born_unix_ms: Option<u64>,
    /// Requests that this daemon has on the minion now, this one among them.
    pub in_flight: u16,
    /// Slots of the minion that this daemon may use.
    pub share: u16,
    /// Minions of the service that were passed over.
    pub passed_over: usize,
}

quick_error! {
    /// Why no minion was chosen.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum PickRefusal {
        /// The zone has no minion of the service that takes work.
        NoMinion {
            display("no minion of the service takes work in this zone")
        }
        /// Each minion's share is used up.
        AllBusy {
            display("every slot of this daemon is taken")
        }
    }
}

impl PickRefusal {
    /// Returns [`Verdict::NotRun`]: nothing was sent.
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
    busy_until: Timestamp,
    said_leaving: bool,
    listed: bool,
}

impl Minion {
    fn takes_work(&self) -> bool {
        self.listed && self.info.state == VmState::Live && !self.said_leaving
    }
}

/// The minions of one zone and what this daemon has in flight on each.
#[derive(Debug, Clone)]
pub struct MinionTable {
    minions: BTreeMap<MinionId, Minion>,
    shares: SlotShares,
    turn: usize,
}

impl MinionTable {
    /// How long a minion that refused as busy is passed over.
    const BUSY_PAUSE: Duration = Duration::from_millis(20);

    /// Creates a table without minions.
    #[must_use]
    pub const fn new(shares: SlotShares) -> Self {
        Self {
            minions: BTreeMap::new(),
            shares,
            turn: 0,
        }
    }

    /// Returns the shares, for news about the zone's daemons.
    pub const fn shares_mut(&mut self) -> &mut SlotShares {
        &mut self.shares
    }

    /// Takes the platform's list; minions that are gone from it get nothing new.
    pub fn set_minions(&mut self, list: Vec<MinionInfo>) {
        for minion in self.minions.values_mut() {
            minion.listed = false;
        }
        for info in list {
            match self.minions.get_mut(&info.id) {
                Some(minion) => {
                    if !minion.info.is_same_life(&info) {
                        minion.begin_life();
                    }
                    minion.info = info;
                    minion.listed = true;
                }
                None => drop(self.minions.insert(info.id.clone(), Minion::new(info))),
            }
        }
        self.minions.retain(|_, m| m.listed || m.in_flight > 0);
    }

    /// Chooses the minion with the fewest requests for its share.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn pick(
        &mut self,
        service: &ServiceId,
        slots: u16,
        avoid: &[MinionId],
        now: Timestamp,
    ) -> Result<Pick, PickRefusal> {
        self.turn = self.turn.wrapping_add(1);
        let mut candidates = 0;
        let mut best: Option<(u32, usize, u16, MinionId)> = None;
        for (index, minion) in self.minions.values().enumerate() {
            if minion.info.service != *service || !minion.takes_work() {
                continue;
            }
            candidates += 1;
            let share = self.shares.share_of(&minion.info.id, slots, now);
            let open = minion.circuit.allows(now, minion.in_flight) && now >= minion.busy_until;
            if minion.in_flight >= share || !open || avoid.contains(&minion.info.id) {
                continue;
            }
            let load = u32::from(minion.in_flight) * 1_000 / u32::from(share);
            let rotated = (index + self.turn) % 64;
            let key = (load, rotated, share, minion.info.id.clone());
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

    /// Gives a slot back and notes how the request ended; that says nothing of another life.
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
            RequestOutcome::Leaving => minion.said_leaving = true,
            RequestOutcome::Fault => minion.circuit.record_fault(now),
            RequestOutcome::Abandoned => {}
        }
    }

    /// Returns the requests in flight over all minions.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.minions
            .values()
            .map(|m| usize::from(m.in_flight))
            .sum()
    }

    /// Returns the slots that this daemon could use now for a service with `slots` each.
    #[must_use]
    pub fn free_slots(&self, service: &ServiceId, slots: u16, now: Timestamp) -> usize {
        self.minions
            .values()
            .filter(|m| m.info.service == *service && m.takes_work())
            .filter(|m| m.circuit.allows(now, m.in_flight))
            .map(|m| {
                let share = self.shares.share_of(&m.info.id, slots, now);
                usize::from(share.saturating_sub(m.in_flight))
            })
            .sum()
    }

    /// Tells whether the zone has a minion of the service that takes work.
    #[must_use]
    pub fn serves(&self, service: &ServiceId) -> bool {
        self.minions
            .values()
            .any(|m| m.info.service == *service && m.takes_work())
    }
}

impl Minion {
    /// Forgets what the life before said and did.
    ///
    /// One that said that it leaves, and starts again under its id and address, would get nothing more.
    const fn begin_life(&mut self) {
        self.circuit = CircuitBreaker::CLOSED;
        self.busy_until = Timestamp::from_millis(0);
        self.said_leaving = false;
    }

    const fn new(info: MinionInfo) -> Self {
        Self {
            info,
            in_flight: 0,
            circuit: CircuitBreaker::CLOSED,
            busy_until: Timestamp::from_millis(0),
            said_leaving: false,
            listed: true,
        }
    }
}
