//! Whether a daemon can have work kept: by the store itself, or by a peer that the store serves.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ReachPolicy;
use crate::{Timestamp, VmId, ZoneId};

/// Most peers that a daemon is told of at a time.
const MAX_HELPERS: usize = 4;
/// Most daemons that a planner keeps in mind.
const MAX_MEMBERS: usize = 2_000;

/// Another daemon, and where it answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it answers other daemons, as `IP:PORT`.
    pub rpc: String,
    /// How much its processor and link lack to plan for many workers, in percent.
    #[serde(rename = "weakness")]
    pub capacity_shortfall_percent: u32,
}

#[derive(Debug, Clone)]
struct Peer {
    address: PeerAddress,
    /// When it was last heard of, from itself or from the planner.
    introduced_at: Timestamp,
    /// When it last answered.
    answered_at: Option<Timestamp>,
    /// When it last answered that the store serves it.
    served_at: Option<Timestamp>,
    /// Whether it did not answer, or turned work away, since it was last heard of.
    has_failed: bool,
}

/// What one daemon knows of its peers.
///
/// The planner hears of every daemon and introduces some to each, most of them
/// of other zones. They matter only while the store does not serve a daemon:
/// then it asks them whether the store serves them, and passes work on to
/// those that said so a moment ago.
#[derive(Debug, Clone)]
pub struct PeerTable {
    policy: ReachPolicy,
    zone: ZoneId,
    peers: BTreeMap<String, Peer>,
}

impl PeerTable {
    /// Creates the knowledge of a daemon in `zone` that has heard of nobody.
    #[must_use]
    pub const fn new(zone: ZoneId, policy: ReachPolicy) -> Self {
        Self {
            policy,
            zone,
            peers: BTreeMap::new(),
        }
    }

    /// Returns how long a daemon should wait before it calls the planner again, by how many there
    /// are: the planner's traffic stays the same.
    #[must_use]
    pub fn introduction_interval(&self) -> Duration {
        let daemons = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        let shared = Duration::from_secs(1) * daemons / u32::from(self.policy.introductions_per_s);
        shared.max(self.policy.min_introduction_interval)
    }

    fn forget_after(&self) -> Duration {
        self.introduction_interval() * u32::from(self.policy.forget_after_intervals)
    }

    /// Takes word that a daemon exists; the one heard of longest ago makes room for it.
    pub fn record_introduction(&mut self, address: PeerAddress, at: Timestamp) {
        if let Some(known) = self.peers.get_mut(&address.rpc) {
            known.address = address;
            known.introduced_at = at;
            return;
        }
        if self.peers.len() >= MAX_MEMBERS {
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

    /// Takes a call from a peer itself: it is there, and can be asked again. Daemons that were not
    /// heard of for long go.
    pub fn record_call(&mut self, address: PeerAddress, at: Timestamp) {
        let rpc = address.rpc.clone();
        self.record_introduction(address, at);
        let gone_after = self.forget_after() * 2;
        self.peers
            .retain(|_, peer| at - peer.introduced_at <= gone_after);
        if let Some(peer) = self.peers.get_mut(&rpc) {
            peer.has_failed = false;
        }
    }

    /// Takes a peer's answer, and whether the store serves it.
    pub fn record_answer(&mut self, rpc: &str, is_served: bool, at: Timestamp) {
        if let Some(peer) = self.peers.get_mut(rpc) {
            peer.answered_at = Some(at);
            peer.has_failed = false;
            peer.served_at = if is_served { Some(at) } else { None };
        }
    }

    /// Takes word that a peer did not answer, or turned work away.
    pub fn record_failure(&mut self, rpc: &str) {
        if let Some(peer) = self.peers.get_mut(rpc) {
            peer.has_failed = true;
            peer.answered_at = None;
            peer.served_at = None;
        }
    }

    /// Returns peers to introduce to a daemon of `zone`: of each zone in turn, the one heard of
    /// last first, beginning after `turn`, so that not all daemons are told of the same ones.
    #[must_use]
    pub fn peers_to_introduce(
        &self,
        asker: &PeerAddress,
        turn: usize,
        at: Timestamp,
    ) -> Vec<PeerAddress> {
        let forget_after = self.forget_after();
        let mut by_zone: BTreeMap<(bool, &ZoneId), Vec<&Peer>> = BTreeMap::new();
        for peer in self.peers.values() {
            let is_recent = at - peer.introduced_at <= forget_after;
            if is_recent && peer.address.rpc != asker.rpc {
                let is_home = peer.address.zone == asker.zone;
                let of_zone = by_zone.entry((is_home, &peer.address.zone)).or_default();
                of_zone.push(peer);
            }
        }
        let most = by_zone.values().map(Vec::len).max().unwrap_or(0);
        let in_turn = (0..most).flat_map(|round| {
            by_zone.values().filter_map(move |peers| {
                let index = (turn + round) % peers.len();
                (round < peers.len()).then(|| peers[index].address.clone())
            })
        });
        in_turn.take(MAX_HELPERS).collect()
    }

    /// Returns the peers to offer the planner's role to, the best first: strong ones, of other
    /// zones, that were heard of last.
    #[must_use]
    pub fn successor_candidates(&self, at: Timestamp) -> Vec<PeerAddress> {
        let forget_after = self.forget_after();
        let is_recent = |peer: &&Peer| at - peer.introduced_at <= forget_after;
        let mut peers: Vec<&Peer> = self.peers.values().filter(is_recent).collect();
        peers.sort_by_key(|peer| {
            let is_home = peer.address.zone == self.zone;
            (
                peer.address.capacity_shortfall_percent,
                is_home,
                std::cmp::Reverse(peer.introduced_at),
            )
        });
        let successors = peers.iter().take(self.policy.max_relays.into());
        successors.map(|peer| peer.address.clone()).collect()
    }

    /// Returns the peers to ask whether the store serves them: those that said so last first,
    /// then those of other zones.
    #[must_use]
    pub fn peers_to_probe(&self) -> Vec<String> {
        let mut peers: Vec<&Peer> = self.peers.values().collect();
        peers.sort_by_key(|peer| {
            let is_home = peer.address.zone == self.zone;
            (
                std::cmp::Reverse(peer.served_at),
                is_home,
                std::cmp::Reverse(peer.introduced_at),
            )
        });
        let asked = peers.iter().take(self.policy.peers_per_probe.into());
        asked.map(|peer| peer.address.rpc.clone()).collect()
    }

    /// Returns the peers that work can be passed on to, the one that answered last first.
    #[must_use]
    pub fn relays(&self, at: Timestamp) -> Vec<String> {
        let is_fresh = |peer: &&Peer| is_within(peer.served_at, at, self.policy.fresh_for);
        let mut peers: Vec<&Peer> = self.peers.values().filter(is_fresh).collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(peer.served_at));
        let helpers = peers.iter().take(self.policy.max_relays.into());
        helpers.map(|peer| peer.address.rpc.clone()).collect()
    }

    /// Tells whether a peer may still answer: it did not fail since it was last heard of.
    #[must_use]
    pub fn may_answer(&self, rpc: &str) -> bool {
        let peer = self.peers.get(rpc);
        peer.is_none_or(|peer| !peer.has_failed)
    }

    /// Tells whether the daemon can take no work although others can: the store does not serve
    /// it, no peer that the store serves answers, and neither does any of another zone.
    ///
    /// A peer that was not asked yet tells nothing: only one that did not answer does. While peers
    /// of other zones answer that the store serves nobody, callers are as well off
    /// here as there.
    #[must_use]
    pub fn is_cut_off(&self, at: Timestamp) -> bool {
        let is_elsewhere = |peer: &&Peer| peer.address.zone != self.zone;
        let mut elsewhere = self.peers.values().filter(is_elsewhere);
        let has_asked_others = elsewhere.any(|peer| peer.has_failed);
        let hears_others = self.peers.values().any(|peer| {
            is_elsewhere(&peer) && is_within(peer.answered_at, at, self.policy.fresh_for)
        });
        let has_helper = !self.relays(at).is_empty();
        has_asked_others && !hears_others && !has_helper
    }
}

fn is_within(since: Option<Timestamp>, at: Timestamp, span: Duration) -> bool {
    since.is_some_and(|since| at - since <= span)
}
