//! Finds out whether work can be stored: pings the store when it is quiet, and probes peers while
//! the store does not serve this daemon.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use stairstall_core::batch::{Catalog, PeerAddress};

use super::node::Node;
use super::rpc::{News, PeerClient};
use super::{catalog, keys, role};
use crate::daemon::lock;

/// Runs the checks for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    tokio::join!(ask_store(&node), ask_peers(&node), introduce(&node));
}

/// Pings the store whenever no other call has completed for a while.
async fn ask_store(node: &Node) {
    let policy = &node.settings.policy.reach;
    loop {
        tokio::time::sleep(policy.ping_after / 2).await;
        let now = node.clock.now();
        if !node.store_health.is_quiet(now, policy.ping_after) {
            continue;
        }
        node.store_health.begin_question(now);
        let asked = node.store.ping(keys::PLANNER);
        // `store_call` records the outcome, so a failure needs no other handling here.
        if node.stored("ping", asked).await.is_err() {
            node.store_health.end_question();
        }
    }
}

/// Probes peers, while the store does not serve this daemon, whether it serves them.
async fn ask_peers(node: &Node) {
    let policy = &node.settings.policy.reach;
    let mut was_cut_off = false;
    loop {
        tokio::time::sleep(policy.probe_interval).await;
        if node.store_health.is_in_doubt(node.clock.now()) {
            let peers = lock(&node.reach).peers_to_probe();
            join_all(peers.iter().map(|rpc| ask(node, rpc))).await;
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
async fn ask(node: &Node, rpc: &str) -> Option<Duration> {
    let timeout = node.settings.policy.reach.probe_timeout;
    let version = node.current_catalog().map_or(0, |catalog| catalog.version);
    let client = node.peers.client(rpc)?;
    let asked_at = node.clock.now();
    let wants_load = node.load.is_wanted(asked_at);
    let news = client.news(version, node.address(), Some(wants_load));
    let asked = tokio::time::timeout(timeout, news).await;
    match asked {
        Ok(Ok(mut news)) => {
            let pause = Duration::from_millis(news.pause_ms);
            lock(&node.reach).record_answer(rpc, news.is_served, node.clock.now());
            node.load.set_pause(pause);
            if let Some(load) = news.load.take() {
                node.load.take(load, asked_at);
            }
            take(node, news);
            return Some(pause);
        }
        Ok(Err(error)) => {
            log::debug!(target: "ready", rpc, why:% = error; "peer does not answer");
        }
        Err(_) => log::debug!(target: "ready", rpc; "peer did not answer in time"),
    }
    node.peer_failed(rpc);
    None
}

/// Announces this daemon to the planner, which answers with some other daemons.
async fn introduce(node: &Node) {
    let mut pause = node.settings.policy.reach.min_introduction_interval;
    loop {
        node.pause(pause).await;
        let now = node.clock.now();
        if let Some(planner) = node.other_planner()
            && !node.store_health.is_in_doubt(now)
            && let Some(asked) = ask(node, &planner.rpc).await
        {
            pause = asked;
        }
    }
}

fn take(node: &Node, news: News) {
    if let Some(newer) = news.catalog {
        catalog::put_in_force(node, newer, "peer");
    }
    role::note_planner(node, news.planner);
    let now = node.clock.now();
    let mut reach = lock(&node.reach);
    for peer in news.peers {
        if peer.vm != *node.me() {
            reach.record_introduction(peer, now);
        }
    }
}

/// Returns the update for a peer that asks, and adds that peer to the peer table.
pub(crate) fn news(node: &Node, version: u64, asker: PeerAddress) -> News {
    let catalog = node.current_catalog();
    let newer = catalog.filter(|catalog| catalog.version > version);
    let now = node.clock.now();
    let mut reach = lock(&node.reach);
    let turn = rand::random_range(0..usize::from(u16::MAX));
    let mut peers = reach.peers_to_introduce(&asker, turn, now);
    reach.record_call(asker, now);
    peers.push(node.address());
    News {
        catalog: newer.map(|catalog| Catalog::clone(&catalog)),
        planner: node.planner.borrow().clone(),
        pause_ms: crate::clock::millis(reach.introduction_interval()),
        is_served: node.store_health.serves(now),
        peers,
        load: None,
    }
}
