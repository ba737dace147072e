//! Hands the role over to a daemon that takes it while the planner before plans on.

use std::time::Duration;

use stairstall_ports::{Revision, StoreFault};
use tokio::sync::watch;

use super::super::node::{Node, RoleOffer};
use super::super::rpc::PeerClient;
use super::super::tenure::Tenure;
use super::take::{LastTenure, Taken, take};
use crate::daemon::lock;

/// How often a daemon that is done with its callers looks whether the role is given up.
const GIVEN_UP_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a daemon that leaves no longer plans, for as long as a handover may take.
pub(crate) async fn wait_until_given_up(node: &Node) {
    let settings = &node.settings;
    let limit = settings.policy.role.handover_wait + settings.store_timeout;
    let given_up = async {
        while node.tenure().is_some() {
            tokio::time::sleep(GIVEN_UP_INTERVAL).await;
        }
    };
    if tokio::time::timeout(limit, given_up).await.is_err() {
        log::warn!(target: "role", limit_ms = crate::clock::millis(limit);
            "the role is not given up yet; its lease runs out");
    }
}

/// Returns when a daemon that leaves should give the role up: once nobody wants it, or nobody has
/// taken it in time. Who takes it says so, which ends the tenure sooner.
pub(super) async fn hand_over(node: &Node, tenure: &Tenure) {
    let wait = node.settings.policy.role.handover_wait;
    if !wait.is_zero() && offer_role(node, tenure).await {
        tokio::time::sleep(wait).await;
    }
}

/// Keeps an offer of the role in mind; false where this daemon does not want it.
pub(crate) fn take_offer(node: &Node, offer: RoleOffer) -> bool {
    let wants = !node.is_leaving()
        && node.tenure().is_none()
        && node.current_catalog().is_some()
        && node.store_health.serves(node.clock.now());
    if wants {
        node.offer.send_replace(Some(offer));
    }
    wants
}

/// Takes the role from a planner that leaves and holds it until then.
pub(super) async fn take_from(node: &Node, offer: &RoleOffer) -> Result<Option<Taken>, StoreFault> {
    let revision = Revision(offer.revision);
    let last = LastTenure {
        count: offer.record.token,
        revision,
    };
    log::info!(target: "role", planner:% = offer.record.vm, token = offer.record.token;
        "its role is offered to this daemon");
    take(node, Some(last), Some(revision)).await
}

/// Offers the role to other daemons until one wants it; true where one does.
async fn offer_role(node: &Node, tenure: &Tenure) -> bool {
    let Some(record) = node.planner.borrow().clone() else {
        return false;
    };
    let offer = RoleOffer {
        record,
        revision: tenure.role_revision.0,
    };
    let successors = lock(&node.reach).successor_candidates(node.clock.now());
    for successor in successors {
        let Some(client) = node.peers.client(&successor.rpc) else {
            continue;
        };
        let timeout = node.settings.policy.reach.probe_timeout;
        let asked = tokio::time::timeout(timeout, client.offer(offer.clone())).await;
        let wants = matches!(asked, Ok(Ok(true)));
        log::info!(target: "role", token = tenure.token(), successor:% = successor.vm, wants;
            "the role is offered");
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
        // The daemon ends.
        None => std::future::pending().await,
    }
}
