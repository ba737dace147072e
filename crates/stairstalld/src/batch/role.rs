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

use super::node::{IDLE_WATCH_WAIT, Node, PlannerRecord};
use super::predecessor;
use super::tenure::{self, Tenure, TenureEnd};
use crate::daemon::lock;
use crate::keys;

mod acquire;
mod handover;
#[cfg(test)]
mod tests;

pub(crate) use acquire::{AcquiredRole, capacity_shortfall_percent};
use acquire::{LastTenure, acquire, acquire_delay};
use handover::{acquire_from, hand_over, next_offer};
pub(crate) use handover::{handle_offer, offer_relief, wait_until_released};

/// Delay before a failed store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Acquires the role whenever it is free, for as long as the daemon runs.
pub(crate) async fn run(node: Arc<Node>) {
    // When this is started again after a panic, the tenure of that time is over.
    node.set_tenure(None);
    loop {
        match wait_for_role(&node).await {
            Ok(Some(acquired)) => run_tenure(&node, acquired).await,
            Ok(None) => {}
            Err(fault) => {
                log::debug!(target: "role", why:% = fault; "checking the planner role failed");
                node.back_off(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits while another daemon holds the role. Returns the role once this daemon has acquired it, or
/// `None` if the role has to be read again.
///
/// The role is read again when the planner does not answer and when the store recovers from an
/// outage, since the connection of the open watch may have become silent.
async fn wait_for_role(node: &Node) -> Result<Option<AcquiredRole>, StoreFault> {
    let (item, mut at) = node
        .read_at("read role", keys::PLANNER_ROLE, node.settings.store_timeout)
        .await?;
    let Some(item) = item else {
        if node.is_leaving() {
            node.back_off(STORE_RETRY_DELAY).await;
            return Ok(None);
        }
        tokio::time::sleep(acquire_delay(node)).await;
        return acquire(node, None, None).await;
    };
    let mut last = record_role_item(node, &item);
    if last.is_none() && !node.is_leaving() {
        return replace_odd_record(node, &item).await;
    }
    let mut offers = node.offer.subscribe();
    loop {
        let watched = node.store.watch(keys::PLANNER_ROLE, at, IDLE_WATCH_WAIT);
        let watched = tokio::select! {
            watched = node.store_call("watch role", watched) => watched?,
            offer = next_offer(&mut offers) => {
                node.offer.send_replace(None);
                return acquire_from(node, &offer).await;
            }
            () = node.peer_clients.wait_for_planner_failure() => return Ok(None),
            () = node.store_health.wait_for_recovery() => return Ok(None),
        };
        at = watched.revision;
        for change in watched.changes {
            match change {
                Change::Written(item) => {
                    last = record_role_item(node, &item);
                    if last.is_none() {
                        return Ok(None);
                    }
                }
                Change::Deleted { .. } if node.is_leaving() => return Ok(None),
                Change::Deleted { .. } => {
                    tokio::time::sleep(acquire_delay(node)).await;
                    return acquire(node, last, None).await;
                }
            }
        }
    }
}

/// Acquires the role although its key has a value, which names no planner. Waits for a lease first,
/// with which the value may end.
async fn replace_odd_record(node: &Node, item: &Item) -> Result<Option<AcquiredRole>, StoreFault> {
    log::error!(target: "role", revision:% = item.revision;
        "the record of the planner names none; it is replaced");
    tokio::time::sleep(node.settings.role_lease + acquire_delay(node)).await;
    acquire(node, None, Some(item.revision)).await
}

/// Records the planner that the role's key names and returns its tenure, or `None` if the value
/// names no planner.
fn record_role_item(node: &Node, item: &Item) -> Option<LastTenure> {
    let record: PlannerRecord = serde_json::from_slice(&item.value).ok()?;
    if !record.is_plausible() {
        return None;
    }
    let count = record.token;
    record_planner(node, Some(record));
    Some(LastTenure {
        count,
        revision: item.revision,
    })
}

/// Records the planner unless a later one is known. Ends this daemon's tenure if the new planner
/// supersedes it.
pub(crate) fn record_planner(node: &Node, record: Option<PlannerRecord>) {
    let Some(record) = record.filter(PlannerRecord::is_plausible) else {
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
        tenure.end("another daemon has acquired the role");
    }
}

/// How a daemon gives the role back, by how its tenure ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Release {
    /// Whether the lease is revoked, so that another daemon can acquire the role at once. Otherwise it
    /// expires.
    at_once: bool,
    /// How long this daemon leaves the role to the others.
    rest: Duration,
}

impl Release {
    /// A tenure that lasted this long before a fault ended it can't have met the fault at its start.
    const LASTING_TENURE: Duration = Duration::from_secs(30);

    /// A fault that ends each tenure soon must not hand the role round at full speed: each of them
    /// then holds it for a lease at least.
    fn after(end: &TenureEnd, lasted: Duration, role_lease: Duration) -> Self {
        let is_fault = end.is_fault();
        Self {
            at_once: !is_fault || lasted >= Self::LASTING_TENURE,
            rest: if is_fault { role_lease } else { Duration::ZERO },
        }
    }
}

/// Runs the planner for as long as this daemon holds the role.
async fn run_tenure(node: &Arc<Node>, acquired: AcquiredRole) {
    log::info!(target: "role", token = acquired.record.token, lease_ms = crate::clock::millis(node.settings.role_lease);
        "acquired the planner role");
    let predecessor = node.planner.borrow().clone();
    record_planner(node, Some(acquired.record.clone()));
    let lease_id = acquired.lease_id;
    let tenure = Arc::new(Tenure::new(node, &acquired));
    let predecessor = predecessor.filter(|earlier| earlier.vm != acquired.record.vm);
    let notifying = predecessor.map(|earlier| {
        let (node, tenure) = (Arc::clone(node), Arc::clone(&tenure));
        tokio::spawn(predecessor::supersede(
            node,
            tenure,
            earlier,
            acquired.record.clone(),
        ))
    });
    let started = node.clock.now();
    let renewal = renew(
        Arc::clone(node),
        Arc::clone(&tenure),
        lease_id,
        node.leaving.subscribe(),
    );
    let end = tenure::run(node, &tenure, renewal).await;
    if let Some(notifying) = notifying {
        notifying.abort();
    }
    if let Some(unstored) = tenure.unstored_tasks() {
        *lock(&node.unstored_tasks) = unstored;
    }
    predecessor::keep_lease_ends(node, &tenure);
    node.set_tenure(None);
    let token = tenure.token();
    let lasted = node.clock.now() - started;
    let release = Release::after(&end, lasted, node.settings.role_lease);
    log::info!(target: "role", token, why:% = end, at_once = release.at_once; "released the planner role");
    if release.at_once
        && let Err(fault) = node
            .store_call("release", node.store.revoke_lease(lease_id))
            .await
    {
        log::warn!(target: "role", token, why:% = fault; "could not release the lease; it will expire");
    }
    tokio::time::sleep(release.rest).await;
}

/// Renews the lease until it ends or the leaving daemon has handed its role over.
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
    let mut in_flight = FuturesUnordered::new();
    let mut is_leaving = false;
    let mut handover = pin!(Fuse::terminated());
    loop {
        tokio::select! {
            _ = ticks.tick() => in_flight.push(renew_once(&node, &tenure, lease_id)),
            Some(is_over) = in_flight.next() => {
                if is_over {
                    tenure.end("its lease has ended");
                    return;
                }
            }
            _ = leaving.wait_for(|leaving| *leaving), if !is_leaving => {
                is_leaving = true;
                handover.set(hand_over(&node, &tenure).fuse());
            }
            () = &mut handover, if is_leaving => {
                tenure.end("the daemon is leaving");
                return;
            }
        }
    }
}

/// Renews the lease once; returns whether the lease has ended.
async fn renew_once(node: &Node, tenure: &Tenure, lease_id: LeaseId) -> bool {
    let requested_at = node.clock.now();
    let token = tenure.token();
    match node.store.renew_lease(lease_id).await {
        Ok(ttl) => tenure.extend_lease(Lease::new(requested_at, ttl)),
        Err(StoreFault::LeaseExpired) => return true,
        Err(fault) => {
            log::warn!(target: "role", token, why:% = fault; "could not renew the lease");
        }
    }
    false
}
