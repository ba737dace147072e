//! The peers that a daemon knows, and whether it can have work stored: by the store itself, or by a
//! peer that the store serves.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::PeerPolicy;
use crate::{Timestamp, VmId, ZoneId};

/// Maximum number of peers introduced to a daemon at a time.
const MAX_INTRODUCED: usize = 4;
/// Maximum number of daemons in the peer table.
const MAX_PEERS: usize = 2_000;

/// Address and location of another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// Availability zone of the daemon.
    pub zone: ZoneId,
    /// Where the daemon serves calls of other daemons, as `IP:PORT`.
    pub rpc: String,
    /// How far the VM's CPU or link falls short of what planning for many workers needs, in
    /// percent.
    #[serde(rename = "weakness")]
    pub capacity_shortfall_percent: u32,
}

/// An entry of the peer table.
#[derive(Debug, Clone)]
struct Peer {
    address: PeerAddress,
    /// When the peer was last heard of, from itself or through an introduction by the planner.
    introduced_at: Timestamp,
    /// When it last answered.
    answered_at: Option<Timestamp>,
    /// When it last answered that the store serves it.
    served_at: Option<Timestamp>,
    /// Whether it has failed to answer, or refused work, since its last answer or call.
    has_failed: bool,
}

/// The peers that a daemon knows.
///
/// The planner knows every daemon and introduces some to each, most of them from other zones. They
/// matter only while the store does not serve a daemon: it then probes them to find out whether the
/// store serves them, and relays work to those that have just confirmed it.
#[derive(Debug, Clone)]
pub struct PeerTable {
    policy: PeerPolicy,
    zone: ZoneId,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Creates an empty peer table for a daemon in `zone`.
    #[must_use]
    pub const fn new(zone: ZoneId, policy: PeerPolicy) -> Self {
        Self {
            policy,
            zone,
            peers: BTreeMap::new(),
        }
    }

    /// Returns how long a daemon should wait before it introduces itself to the planner again. The
    /// interval grows with the number of daemons, so that the planner's traffic stays the same.
    #[must_use]
    pub fn introduction_interval(&self) -> Duration {
        let daemons = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let interval =
            Duration::from_secs(1) * daemons / u32::from(self.policy.introductions_per_s);
        interval.max(self.policy.min_introduction_interval)
    }

    /// Returns how long after it was last heard of a peer is no longer introduced to others.
    fn forget_after(&self) -> Duration {
        self.introduction_interval() * u32::from(self.policy.forget_after_intervals)
    }

    /// Records that a daemon exists. In a full table it replaces the peer heard of longest ago.
    pub fn record_introduction(&mut self, address: PeerAddress, at: Timestamp) {
        if let Some(known) = self.peers.get_mut(&address.rpc) {
            known.address = address;
            known.introduced_at = at;
            return;
        }
        if self.peers.len() >= MAX_PEERS {
            let oldest = self.peers.values().min_by_key(|p| p.introduced_at);
            let oldest = oldest.map(|peer| peer.address.rpc.clone());
            oldest.and_then(|rpc| self.peers.remove(&rpc));
        }
        let peer = Peer {
            introduced_at: at,
            answered_at: None,
            served_at: None,
            has_failed: false,
            address,
        };
        self.peers.insert(peer.address.rpc.clone(), peer);
    }

    /// Records a call from a peer, which shows that it is running and may be asked again. Removes
    /// peers that were not heard of for a long time.
    pub fn record_call(&mut self, address: PeerAddress, at: Timestamp) {
        let rpc = address.rpc.clone();
        self.record_introduction(address, at);
        let removed_after = self.forget_after() * 2;
        self.peers
            .retain(|_, peer| at - peer.introduced_at <= removed_after);
        if let Some(peer) = self.peers.get_mut(&rpc) {
            peer.has_failed = false;
        }
    }

    /// Records a peer's answer, and whether the store serves the peer.
    pub fn record_answer(&mut self, rpc: &str, is_served: bool, at: Timestamp) {
        if let Some(peer) = self.peers.get_mut(rpc) {
            peer.answered_at = Some(at);
            peer.has_failed = false;
            peer.served_at = if is_served { Some(at) } else { None };
        }
    }

    /// Records that a peer did not answer, or refused work.
    pub fn record_failure(&mut self, rpc: &str) {
        if let Some(peer) = self.peers.get_mut(rpc) {
            peer.has_failed = true;
            peer.answered_at = None;
            peer.served_at = None;
        }
    }

    /// Returns peers to introduce to `recipient`: one of each zone per round, other zones before
    /// its own. `offset` selects the first peer of each zone, so that not all daemons learn of the
    /// same ones.
    #[must_use]
    pub fn peers_to_introduce(
        &self,
        recipient: &PeerAddress,
        offset: usize,
        at: Timestamp,
    ) -> Vec<PeerAddress> {
        let forget_after = self.forget_after();
        let mut by_zone: BTreeMap<(bool, &ZoneId), Vec<&Peer>> = BTreeMap::new();
        for peer in self.peers.values() {
            let is_recent = at - peer.introduced_at <= forget_after;
            if is_recent && peer.address.rpc != recipient.rpc {
                let is_same_zone = peer.address.zone == recipient.zone;
                let of_zone = by_zone
                    .entry((is_same_zone, &peer.address.zone))
                    .or_default();
                of_zone.push(peer);
            }
        }
        let rounds = by_zone.values().map(Vec::len).max().unwrap_or(0);
        let introduced = (0..rounds).flat_map(|round| {
            by_zone.values().filter_map(move |peers| {
                let index = (offset + round) % peers.len();
                (round < peers.len()).then(|| peers[index].address.clone())
            })
        });
        introduced.take(MAX_INTRODUCED).collect()
    }

    /// Returns the peers to offer the planner role to, of those that pass a test. The best come
    /// first: those that may answer, then by capacity, then those of other zones, then those heard
    /// of last.
    #[must_use]
    pub fn successor_candidates(
        &self,
        at: Timestamp,
        may_plan: impl Fn(&PeerAddress) -> bool,
    ) -> Vec<PeerAddress> {
        let forget_after = self.forget_after();
        let is_candidate = |peer: &&Peer| {
            let is_recent = at - peer.introduced_at <= forget_after;
            is_recent && may_plan(&peer.address)
        };
        let mut peers: Vec<&Peer> = self.peers.values().filter(is_candidate).collect();
        peers.sort_by_key(|peer| {
            let is_same_zone = peer.address.zone == self.zone;
            (
                peer.has_failed,
                peer.address.capacity_shortfall_percent,
                is_same_zone,
                std::cmp::Reverse(peer.introduced_at),
            )
        });
        let successors = peers.iter().take(self.policy.max_relays.into());
        successors.map(|peer| peer.address.clone()).collect()
    }

    /// Returns the peers to ask whether the store serves them: those that confirmed it last first,
    /// then those of other zones.
    #[must_use]
    pub fn peers_to_probe(&self) -> Vec<String> {
        let mut peers: Vec<&Peer> = self.peers.values().collect();
        peers.sort_by_key(|peer| {
            let is_same_zone = peer.address.zone == self.zone;
            (
                std::cmp::Reverse(peer.served_at),
                is_same_zone,
                std::cmp::Reverse(peer.introduced_at),
            )
        });
        let probed = peers.iter().take(self.policy.peers_per_probe.into());
        probed.map(|peer| peer.address.rpc.clone()).collect()
    }

    /// Returns the peers that work can be relayed to, the one that answered last first.
    #[must_use]
    pub fn relays(&self, at: Timestamp) -> Vec<String> {
        let is_fresh = |peer: &&Peer| is_within(peer.served_at, at, self.policy.fresh_for);
        let mut peers: Vec<&Peer> = self.peers.values().filter(is_fresh).collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.served_at));
        let relays = peers.iter().take(self.policy.max_relays.into());
        relays.map(|peer| peer.address.rpc.clone()).collect()
    }

    /// Returns whether a peer may answer: it has not failed since its last answer or call.
    #[must_use]
    pub fn may_answer(&self, rpc: &str) -> bool {
        let peer = self.peers.get(rpc);
        peer.is_none_or(|peer| !peer.has_failed)
    }

    /// Returns whether a daemon that the store does not serve is cut off, so that it can accept no
    /// work although others can: no peer that the store serves answers, and neither does any peer
    /// of another zone.
    ///
    /// Only a peer that failed to answer counts, not one that was not probed yet. While peers of
    /// other zones answer that the store does not serve them either, callers gain nothing by being
    /// sent there.
    #[must_use]
    pub fn is_cut_off(&self, at: Timestamp) -> bool {
        let is_other_zone = |peer: &&Peer| peer.address.zone != self.zone;
        let mut other_zones = self.peers.values().filter(is_other_zone);
        let others_failed = other_zones.any(|peer| peer.has_failed);
        let others_answer = self.peers.values().any(|peer| {
            is_other_zone(&peer) && is_within(peer.answered_at, at, self.policy.fresh_for)
        });
        let has_relay = !self.relays(at).is_empty();
        others_failed && !others_answer && !has_relay
    }
}

/// Returns whether a time is known and no longer ago than `span`.
fn is_within(since: Option<Timestamp>, at: Timestamp, span: Duration) -> bool {
    since.is_some_and(|since| at - since <= span)
}
