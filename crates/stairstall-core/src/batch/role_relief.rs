//! When a planner that isn't leaving offers its role to another daemon, to whom, and who accepts.

use std::collections::BTreeSet;

use super::{PeerAddress, PeerTable, RolePolicy};
use crate::Timestamp;

/// How well a daemon can hold the planner role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strength {
    /// How far the VM, as it was announced, falls short of what planning for many workers needs, in
    /// percent.
    pub capacity_shortfall_percent: u32,
    /// Whether the daemon's process has been late in most measurements of the last seconds.
    pub is_late: bool,
}

/// An offer that a planner may make now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReliefOffer {
    /// The highest capacity shortfall with which a daemon should accept.
    pub max_shortfall_percent: u32,
    /// The daemons to ask, the best first.
    pub candidates: Vec<PeerAddress>,
}

/// Decides in one tenure when the planner offers its role to a daemon that can hold it better.
///
/// A weak VM may become planner while all strong ones are down, and a VM that was announced strong
/// may be slow: its process is then late most of the time. A tenure has to last a while before the
/// role moves, and longer if the planner is only measured to be late, so that VMs that come and go,
/// or a load that makes every planner late, can't hand the role round.
#[derive(Debug, Clone)]
pub struct RoleRelief {
    policy: RolePolicy,
    /// When the planner of this tenure began to plan.
    began_at: Timestamp,
    last_offer_at: Option<Timestamp>,
    /// Addresses of the daemons that refused, which are asked again once nobody else is left.
    refused: BTreeSet<String>,
}

impl RoleRelief {
    /// Starts the decisions of a tenure whose planner began to plan at `began_at`.
    #[must_use]
    pub const fn new(policy: RolePolicy, began_at: Timestamp) -> Self {
        Self {
            policy,
            began_at,
            last_offer_at: None,
            refused: BTreeSet::new(),
        }
    }

    /// Returns the offer to make now, if there is one, and records that it is made.
    pub fn next_offer(
        &mut self,
        own: Strength,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Option<ReliefOffer> {
        let interval = self.policy.offer_interval;
        if self.last_offer_at.is_some_and(|at| now - at < interval) {
            return None;
        }
        let max_shortfall_percent = self.max_shortfall_percent(own, now)?;
        let mut candidates = self.candidates(max_shortfall_percent, peers, now);
        if candidates.is_empty() && !self.refused.is_empty() {
            self.refused.clear();
            candidates = self.candidates(max_shortfall_percent, peers, now);
        }
        if candidates.is_empty() {
            return None;
        }
        self.last_offer_at = Some(now);
        Some(ReliefOffer {
            max_shortfall_percent,
            candidates,
        })
    }

    /// Records that a daemon refused the role.
    pub fn record_refusal(&mut self, rpc: &str) {
        self.refused.insert(rpc.to_owned());
    }

    /// Returns the daemons to ask that have not refused.
    fn candidates(
        &self,
        max_shortfall_percent: u32,
        peers: &PeerTable,
        now: Timestamp,
    ) -> Vec<PeerAddress> {
        peers.successor_candidates(now, |peer| {
            peer.capacity_shortfall_percent <= max_shortfall_percent
                && !self.refused.contains(&peer.rpc)
        })
    }

    /// Returns the highest shortfall of a daemon that would hold the role better, or `None` if the
    /// role should stay.
    fn max_shortfall_percent(&self, own: Strength, now: Timestamp) -> Option<u32> {
        let lasted = now - self.began_at;
        match own.capacity_shortfall_percent.checked_sub(1) {
            // A weak planner may well be late for its load, and an equal one would be as late.
            Some(lower) => (lasted >= self.policy.min_tenure).then_some(lower),
            None => (own.is_late && lasted >= self.policy.late_min_tenure).then_some(0),
        }
    }
}

/// Returns whether a daemon of this strength, whose process started at time zero, accepts the role
/// from a planner that isn't leaving.
#[must_use]
pub fn accepts_relief(
    policy: &RolePolicy,
    own: Strength,
    max_shortfall_percent: u32,
    now: Timestamp,
) -> bool {
    let uptime = now - Timestamp::from_millis(0);
    own.capacity_shortfall_percent <= max_shortfall_percent
        && !own.is_late
        && uptime >= policy.min_uptime
}
