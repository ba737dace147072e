//! Hands the role over to another daemon while the planner keeps planning.

use std::time::Duration;

use stairstall_core::batch::{PeerAddress, RoleRelief, accepts_relief};
use stairstall_ports::{Revision, StoreFault};
use tokio::sync::watch;

use super::super::node::{Node, RoleOffer};
use super::super::rpc::PeerClient;
use super::super::tenure::Tenure;
use super::acquire::{AcquiredRole, LastTenure, acquire};
use crate::daemon::lock;

/// Interval at which a daemon that has answered all open calls checks whether the role is released.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A capacity shortfall that no VM exceeds, in percent.
const ANY_SHORTFALL_PERCENT: u32 = 100;

/// Waits until this daemon has released the role, at most the longest time of a handover.
pub(crate) async fn wait_until_released(node: &Node) {
    let settings = &node.settings;
    let limit = settings.policy.role.handover_wait + settings.store_timeout;
    let released = async {
        while node.holds_role() {
            tokio::time::sleep(RELEASE_CHECK_INTERVAL).await;
        }
    };
    if tokio::time::timeout(limit, released).await.is_err() {
        log::warn!(target: "role", limit_ms = crate::clock::millis(limit);
            "planner role not released in time; its lease will expire");
    }
}

/// Offers the role of a leaving planner to other daemons. Returns when the role should be released:
/// at once if no daemon wants it, else after the handover wait. The tenure ends sooner if the
/// successor notifies this daemon.
pub(super) async fn hand_over(node: &Node, tenure: &Tenure) {
    let wait = node.settings.policy.role.handover_wait;
    if !wait.is_zero() && offer_to_any(node, tenure).await {
        tokio::time::sleep(wait).await;
    }
}

/// Offers the role of a leaving planner to the best daemons; returns whether one of them wants it.
/// Those that refuse because they are late or have just started are asked once more if nobody else
/// wants the role.
async fn offer_to_any(node: &Node, tenure: &Tenure) -> bool {
    let candidates = lock(&node.peer_table).successor_candidates(node.clock.now(), |_| true);
    match offer_role(node, tenure, candidates, Some(ANY_SHORTFALL_PERCENT)).await {
        Ok(()) => true,
        Err(refused) => offer_role(node, tenure, refused, None).await.is_ok(),
    }
}

/// Offers the role to a daemon that can hold it better, if the time has come and one is known. The
/// planner keeps planning until that daemon has acquired the role.
pub(crate) async fn offer_relief(node: &Node, tenure: &Tenure, relief: &mut RoleRelief) {
    if node.is_leaving() {
        return;
    }
    let own = node.strength();
    let offer = relief.next_offer(own, &lock(&node.peer_table), node.clock.now());
    let Some(offer) = offer else {
        return;
    };
    log::info!(target: "role", token = tenure.token(), shortfall_percent = own.capacity_shortfall_percent,
        late = own.is_late; "another daemon may hold the planner role better");
    let max_shortfall = Some(offer.max_shortfall_percent);
    let asked = offer_role(node, tenure, offer.candidates, max_shortfall).await;
    for refused in asked.err().into_iter().flatten() {
        relief.record_refusal(&refused.rpc);
    }
}

/// Records an offer of the role; returns whether this daemon wants it.
pub(crate) fn handle_offer(node: &Node, offer: RoleOffer) -> bool {
    let now = node.clock.now();
    let policy = &node.settings.policy.role;
    let accepts = offer
        .max_shortfall_percent
        .is_none_or(|max| accepts_relief(policy, node.strength(), max, now));
    let wants = accepts
        && offer.record.is_plausible()
        && !node.is_leaving()
        && !node.holds_role()
        && node.current_catalog().is_some()
        && node.store_health.serves(now);
    if wants {
        node.offer.send_replace(Some(offer));
    }
    wants
}

/// Acquires the role from a planner that offers it and keeps it until then.
pub(super) async fn acquire_from(
    node: &Node,
    offer: &RoleOffer,
) -> Result<Option<AcquiredRole>, StoreFault> {
    let revision = Revision(offer.revision);
    let last = LastTenure {
        count: offer.record.token,
        revision,
    };
    log::info!(target: "role", planner:% = offer.record.vm, token = offer.record.token;
        "planner offers the role to this daemon");
    acquire(node, Some(last), Some(revision)).await
}

/// Offers the role in turn to other daemons until one of them wants it. Otherwise returns those that
/// refused.
async fn offer_role(
    node: &Node,
    tenure: &Tenure,
    successors: Vec<PeerAddress>,
    max_shortfall_percent: Option<u32>,
) -> Result<(), Vec<PeerAddress>> {
    let Some(record) = node.planner.borrow().clone() else {
        return Err(Vec::new());
    };
    let offer = RoleOffer {
        record,
        revision: tenure.role_revision.0,
        max_shortfall_percent,
    };
    let mut refused = Vec::new();
    for successor in successors {
        let answer = offer_to(node, &successor, offer.clone()).await;
        log::info!(target: "role", token = tenure.token(), successor:% = successor.vm,
            wants = answer.unwrap_or_default(), answered = answer.is_some(); "planner role offered");
        match answer {
            Some(true) => return Ok(()),
            Some(false) => refused.push(successor),
            None => node.peer_failed(&successor.rpc),
        }
    }
    Err(refused)
}

/// Offers the role to one daemon; returns whether it wants it, or `None` if it did not answer.
async fn offer_to(node: &Node, successor: &PeerAddress, offer: RoleOffer) -> Option<bool> {
    let client = node.peer_clients.client(&successor.rpc)?;
    let timeout = node.settings.policy.peers.probe_timeout;
    let answer = tokio::time::timeout(timeout, client.offer(offer)).await;
    answer.ok()?.ok()
}

/// Waits for an offer of the role.
pub(super) async fn next_offer(offers: &mut watch::Receiver<Option<RoleOffer>>) -> RoleOffer {
    let offer = offers.wait_for(Option::is_some).await;
    let offer = offer.ok().and_then(|offer| offer.clone());
    match offer {
        Some(offer) => offer,
        // The channel is closed because the daemon is shutting down.
        None => std::future::pending().await,
    }
}
