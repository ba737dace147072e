//! Finds out whether this daemon can have work stored: pings the store when no call has completed
//! for a while, and probes peers while the store does not serve this daemon. Also exchanges peer
//! addresses, configuration and load summaries with other daemons.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use stairstall_core::Timestamp;
use stairstall_core::batch::{Catalog, PeerAddress};
use tokio::time::Instant;

use super::node::Node;
use super::rpc::{PeerClient, PeerUpdate};
use super::{catalog, role};
use crate::daemon::lock;
use crate::keys;

/// Stands for the version of the configuration in a call that wants none: no version is newer.
const NO_CATALOG: u64 = u64::MAX;

/// Runs the checks for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    tokio::join!(ping_store(&node), probe_peers(&node), announce(&node));
}

/// Pings the store whenever no other call has completed for a while. Each time it wakes it measures
/// how late this process is.
async fn ping_store(node: &Node) {
    let policy = &node.settings.policy.peers;
    loop {
        let due = Instant::now() + policy.ping_after / 2;
        tokio::time::sleep_until(due).await;
        lock(&node.lateness).record(due.elapsed());
        let now = node.clock.now();
        if !node.store_health.is_quiet(now, policy.ping_after) {
            continue;
        }
        node.store_health.begin_ping(now);
        let ping = node.store.ping(keys::PLANNER_ROLE);
        // `store_call` has recorded the failure; only the open ping remains to be cleared.
        if node.store_call("ping", ping).await.is_err() {
            node.store_health.abandon_ping();
        }
    }
}

/// Asks peers whether the store serves them, while it does not serve this daemon.
async fn probe_peers(node: &Node) {
    let policy = &node.settings.policy.peers;
    let mut was_cut_off = false;
    loop {
        tokio::time::sleep(policy.probe_interval).await;
        if node.store_health.may_be_down(node.clock.now()) {
            let peers = lock(&node.peer_table).peers_to_probe();
            // The configuration may be large, so only one of them is asked for it.
            let probes = peers.iter().enumerate().map(|(index, rpc)| {
                let wants_catalog = index == 0;
                request_update(node, rpc, wants_catalog)
            });
            join_all(probes).await;
        }
        let cut_off = node.is_cut_off();
        if cut_off != was_cut_off {
            was_cut_off = cut_off;
            log::warn!(target: "ready", cut_off; "{}", if cut_off {
                "neither the store nor a peer can take work: callers should use another daemon"
            } else {
                "the store or a peer can take work again"
            });
        }
    }
}

/// Asks one peer for a [`PeerUpdate`] and applies it. Returns how long to wait before the next
/// call, or `None` if the peer did not answer.
async fn request_update(node: &Node, rpc: &str, wants_catalog: bool) -> Option<Duration> {
    let timeout = node.settings.policy.peers.probe_timeout;
    let version = if wants_catalog {
        node.catalog_version()
    } else {
        NO_CATALOG
    };
    let client = node.peer_clients.client(rpc)?;
    let requested_at = node.clock.now();
    let wants_load = node.load.should_request(requested_at);
    let relies_on_peers = node.store_health.may_be_down(requested_at);
    let update = client.peer_update(
        version,
        node.peer_address(),
        Some(wants_load),
        Some(relies_on_peers),
    );
    let answer = tokio::time::timeout(timeout, update).await;
    match answer {
        Ok(Ok(mut update)) => {
            let interval = Duration::from_millis(update.pause_ms);
            lock(&node.peer_table).record_answer(rpc, update.is_served, node.clock.now());
            node.load.set_call_interval(interval);
            if let Some(load) = update.load.take() {
                node.load.update(load, requested_at);
            }
            apply_update(node, update, requested_at);
            return Some(interval);
        }
        Ok(Err(error)) => {
            log::debug!(target: "ready", rpc, why:% = error; "peer does not answer");
        }
        Err(_) => log::debug!(target: "ready", rpc; "peer did not answer in time"),
    }
    node.peer_failed(rpc);
    None
}

/// Announces this daemon to the planner, whose answer introduces some other daemons.
async fn announce(node: &Node) {
    let mut interval = node.settings.policy.peers.min_introduction_interval;
    loop {
        node.back_off(interval).await;
        let now = node.clock.now();
        if let Some(planner) = node.remote_planner()
            && !node.store_health.may_be_down(now)
            && let Some(next) = request_update(node, &planner.rpc, true).await
        {
            interval = next;
        }
    }
}

/// Applies an update that was requested at `requested_at`.
fn apply_update(node: &Node, update: PeerUpdate, requested_at: Timestamp) {
    if let Some(catalog) = update.catalog {
        catalog::activate(node, catalog, "peer");
    }
    node.record_catalog_confirmation(update.catalog_confirmation, requested_at);
    role::record_planner(node, update.planner);
    let now = node.clock.now();
    let mut peer_table = lock(&node.peer_table);
    for peer in update.peers {
        if peer.vm != *node.vm() {
            peer_table.record_introduction(peer, now);
        }
    }
}

/// Returns the update for a peer that asks, and adds that peer to the peer table.
pub(crate) fn peer_update(node: &Node, version: u64, asker: PeerAddress) -> PeerUpdate {
    let catalog = node.current_catalog();
    let catalog = catalog.filter(|catalog| catalog.version > version);
    let now = node.clock.now();
    let mut peer_table = lock(&node.peer_table);
    let offset = rand::random_range(0..usize::from(u16::MAX));
    let mut peers = peer_table.peers_to_introduce(&asker, offset, now);
    peer_table.record_call(asker, now);
    peers.push(node.peer_address());
    PeerUpdate {
        catalog: catalog.map(|catalog| Catalog::clone(&catalog)),
        catalog_confirmation: node.catalog_confirmation(),
        planner: node.planner.borrow().clone(),
        pause_ms: crate::clock::millis(peer_table.introduction_interval()),
        is_served: node.store_health.serves(now),
        peers,
        load: None,
    }
}
