//! Hands the role over to another daemon while the leaving planner keeps planning.

use std::time::Duration;

use stairstall_core::batch::PeerAddress;
use stairstall_ports::{Revision, StoreFault};
use tokio::sync::watch;

use super::super::node::{Node, RoleOffer};
use super::super::rpc::PeerClient;
use super::super::tenure::Tenure;
use super::acquire::{AcquiredRole, LastTenure, acquire};
use crate::daemon::lock;

/// Interval at which a daemon that has answered all open calls checks whether the role is released.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

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
    if !wait.is_zero() && offer_role(node, tenure, |_| true).await {
        tokio::time::sleep(wait).await;
    }
}

/// Offers the role of this planner, whose VM can't hold connections to all workers, to a daemon on a
/// VM with more capacity. It keeps planning until that daemon has acquired the role.
pub(crate) async fn offer_to_stronger(node: &Node, tenure: &Tenure) {
    let own = node.peer_address().capacity_shortfall_percent;
    offer_role(node, tenure, |peer| peer.capacity_shortfall_percent < own).await;
}

/// Records an offer of the role; returns whether this daemon wants it.
pub(crate) fn handle_offer(node: &Node, offer: RoleOffer) -> bool {
    let wants = offer.record.is_plausible()
        && !node.is_leaving()
        && !node.holds_role()
        && node.current_catalog().is_some()
        && node.store_health.serves(node.clock.now());
    if wants {
        node.offer.send_replace(Some(offer));
    }
    wants
}

/// Acquires the role from a leaving planner, which keeps it until then.
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
        "leaving planner offers the role to this daemon");
    acquire(node, Some(last), Some(revision)).await
}

/// Offers the role in turn to other daemons that pass a test; returns whether one of them wants it.
async fn offer_role(node: &Node, tenure: &Tenure, may_plan: impl Fn(&PeerAddress) -> bool) -> bool {
    let Some(record) = node.planner.borrow().clone() else {
        return false;
    };
    let offer = RoleOffer {
        record,
        revision: tenure.role_revision.0,
    };
    let successors = lock(&node.peer_table).successor_candidates(node.clock.now());
    for successor in successors.into_iter().filter(may_plan) {
        let Some(client) = node.peer_clients.client(&successor.rpc) else {
            continue;
        };
        let timeout = node.settings.policy.peers.probe_timeout;
        let answer = tokio::time::timeout(timeout, client.offer(offer.clone())).await;
        let wants = matches!(answer, Ok(Ok(true)));
        log::info!(target: "role", token = tenure.token(), successor:% = successor.vm, wants;
            "planner role offered");
        if wants {
            return true;
        }
    }
    false
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
