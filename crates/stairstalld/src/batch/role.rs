//! Acquires, renews and releases the planner role.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::Fuse;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use stairstall_core::Lease;
use stairstall_ports::{Change, Item, LeaseId, StoreFault};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::keys;
use super::node::{Node, PlannerRecord};
use super::rpc::PeerClient;
use super::tenure::{self, Tenure};

mod handover;
mod take;

use handover::{hand_over, next_offer, take_from};
pub(crate) use handover::{take_offer, wait_until_given_up};
use take::{LastTenure, put_off, take};
pub(crate) use take::{Taken, weakness_percent};

/// Longest time for one watch call on the role.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Delay before the store is asked again after a failure.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// Acquires the role whenever it is free, for as long as the daemon runs.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        match try_role(&node).await {
            Ok(Some(taken)) => hold(&node, taken).await,
            Ok(None) => {}
            Err(fault) => {
                log::debug!(target: "role", why:% = fault; "checking the planner role failed");
                node.pause(STORE_PAUSE).await;
            }
        }
    }
}

/// Waits while another daemon holds the role. Returns the role once this daemon has acquired it.
async fn try_role(node: &Node) -> Result<Option<Taken>, StoreFault> {
    let (item, mut at) = node
        .read_at("read role", keys::PLANNER, node.settings.store_timeout)
        .await?;
    let Some(item) = item else {
        if node.is_leaving() {
            node.pause(STORE_PAUSE).await;
            return Ok(None);
        }
        tokio::time::sleep(put_off(node)).await;
        return take(node, None, None).await;
    };
    let mut last = note_item(node, &item);
    let mut offers = node.offer.subscribe();
    loop {
        let watched = node.store.watch(keys::PLANNER, at, WATCH_WAIT);
        let watched = tokio::select! {
            watched = node.stored("watch role", watched) => watched?,
            offer = next_offer(&mut offers) => {
                node.offer.send_replace(None);
                return take_from(node, &offer).await;
            }
        };
        at = watched.at;
        for change in watched.changes {
            match change {
                Change::Written(item) => last = note_item(node, &item),
                Change::Gone { .. } if node.is_leaving() => return Ok(None),
                Change::Gone { .. } => {
                    tokio::time::sleep(put_off(node)).await;
                    return take(node, last, None).await;
                }
            }
        }
    }
}

/// Records the planner from the role's key and returns its tenure.
fn note_item(node: &Node, item: &Item) -> Option<LastTenure> {
    let record: PlannerRecord = serde_json::from_slice(&item.value).ok()?;
    let count = record.token;
    note_planner(node, Some(record));
    Some(LastTenure {
        count,
        revision: item.revision,
    })
}

/// Records the planner unless a later one is known. Ends this daemon's tenure if the new planner
/// supersedes it.
pub(crate) fn note_planner(node: &Node, record: Option<PlannerRecord>) {
    let Some(record) = record else {
        return;
    };
    let changed = node.planner.send_if_modified(|known| {
        let is_later = known.as_ref().is_none_or(|k| k.token < record.token);
        if is_later {
            *known = Some(record.clone());
        }
        is_later
    });
    if !changed {
        return;
    }
    log::info!(target: "role", planner:% = record.vm, token = record.token; "new planner recorded");
    if let Some(tenure) = node.tenure().filter(|own| own.token() < record.token) {
        tenure.give_up("another daemon has acquired the role");
    }
}

/// Notifies the previous planner, which may not reach the store, that it is superseded.
async fn tell_predecessor(node: &Node, predecessor: Option<PlannerRecord>, own: PlannerRecord) {
    let Some(predecessor) = predecessor.filter(|p| p.vm != own.vm) else {
        return;
    };
    if let Some(client) = node.peers.client(&predecessor.rpc) {
        let told = client.taken(own).await;
        log::info!(target: "role", predecessor:% = predecessor.vm, told = told.is_ok();
            "notifying the previous planner");
    }
}

/// Runs the planner for as long as this daemon holds the role.
async fn hold(node: &Arc<Node>, taken: Taken) {
    log::info!(target: "role", token = taken.record.token, lease_ms = crate::clock::millis(node.settings.role_lease);
        "acquired the planner role");
    let predecessor = node.planner.borrow().clone();
    note_planner(node, Some(taken.record.clone()));
    let told = Arc::clone(node);
    let record = taken.record.clone();
    tokio::spawn(async move { tell_predecessor(&told, predecessor, record).await });
    let lease_id = taken.lease_id;
    let tenure = Arc::new(Tenure::new(node, &taken));
    let renewing = tokio::spawn(renew(
        Arc::clone(node),
        Arc::clone(&tenure),
        lease_id,
        node.leaving.subscribe(),
    ));
    let why = tenure::run(node, &tenure).await;
    renewing.abort();
    node.set_tenure(None);
    let token = tenure.token();
    log::info!(target: "role", token, why; "released the planner role");
    if let Err(fault) = node.stored("release", node.store.release(lease_id)).await {
        log::warn!(target: "role", token, why:% = fault; "could not end the lease; it will expire");
    }
}

/// Renews the lease until it ends or the daemon has left.
///
/// Renewals overlap, so that a slow or lost one does not delay the next.
async fn renew(
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    lease_id: LeaseId,
    mut leaving: watch::Receiver<bool>,
) {
    let renewals = node.settings.policy.role.renewals_per_lease;
    let mut ticks = tokio::time::interval(node.settings.role_lease / renewals);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut under_way = FuturesUnordered::new();
    let mut is_leaving = false;
    let mut handover = pin!(Fuse::terminated());
    loop {
        tokio::select! {
            _ = ticks.tick() => under_way.push(renew_once(&node, &tenure, lease_id)),
            Some(is_over) = under_way.next() => {
                if is_over {
                    tenure.give_up("its lease has ended");
                    return;
                }
            }
            _ = leaving.wait_for(|leaving| *leaving), if !is_leaving => {
                is_leaving = true;
                handover.set(hand_over(&node, &tenure).fuse());
            }
            () = &mut handover, if is_leaving => {
                tenure.give_up("the daemon is leaving");
                return;
            }
        }
    }
}

/// Renews the lease once; returns whether the lease has ended.
async fn renew_once(node: &Node, tenure: &Tenure, lease_id: LeaseId) -> bool {
    let requested_at = node.clock.now();
    let token = tenure.token();
    match node.store.keep(lease_id).await {
        Ok(ttl) => tenure.extend_lease(Lease::new(requested_at, ttl)),
        Err(StoreFault::LeaseOver) => return true,
        Err(fault) => {
            log::warn!(target: "role", token, why:% = fault; "could not renew the lease");
        }
    }
    false
}
