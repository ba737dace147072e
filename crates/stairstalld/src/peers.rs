//! Heartbeats and configuration between daemons, over JSON-RPC.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use stairstall_core::config::Configuration;
use stairstall_core::membership::Members;
use stairstall_core::placement::JobKey;
use stairstall_core::protocol::{
    Explanation, Heartbeat, VmEntry, VmRole, WitnessAnswer, WitnessQuestion,
};
use stairstall_core::{Timestamp, VmId, ZoneId};
use tokio::sync::oneshot;

use crate::clock::millis;
use crate::daemon::{Daemon, lock};
use crate::follow::publish_revision;
use crate::holder::Query;

/// Longest call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// A silent peer is asked only every so many heartbeats.
const SILENT_PEER_STRIDE: u64 = 4;

/// Calls between daemons.
#[rpc(server, client)]
pub(crate) trait Peer {
    /// Exchanges heartbeats.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat>;

    /// Returns the whole configuration in force.
    #[method(name = "configuration")]
    async fn configuration(&self) -> RpcResult<Configuration>;

    /// Says whether guarantees could all be kept in the daemon's zone.
    #[method(name = "witness")]
    async fn witness(&self, question: WitnessQuestion) -> RpcResult<WitnessAnswer>;

    /// Explains a job, where the daemon holds placement and knows it.
    #[method(name = "explain")]
    async fn explain(&self, job: JobKey) -> RpcResult<Option<Explanation>>;
}

/// Serves peers.
#[derive(Debug)]
struct PeerService(Arc<Daemon>);

#[async_trait]
impl PeerServer for PeerService {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat> {
        let now = self.0.clock.now();
        let every = interval_to(&self.0, &heartbeat.zone);
        lock(&self.0.members).note(heartbeat, now);
        Ok(own_heartbeat(&self.0, every))
    }

    async fn configuration(&self) -> RpcResult<Configuration> {
        Ok(Configuration::clone(&self.0.configuration()))
    }

    async fn witness(&self, question: WitnessQuestion) -> RpcResult<WitnessAnswer> {
        Ok(check_own_guarantees(&self.0, question).await)
    }

    async fn explain(&self, job: JobKey) -> RpcResult<Option<Explanation>> {
        Ok(ask_explanation(&self.0, job).await)
    }
}

/// Asks this daemon's own placement role.
pub(crate) async fn check_own_guarantees(
    daemon: &Daemon,
    question: WitnessQuestion,
) -> WitnessAnswer {
    let (sender, receiver) = oneshot::channel();
    let query = Query::Witness {
        question,
        answer: sender,
    };
    if daemon.holder.send(query).await.is_err() {
        return WitnessAnswer::NotHolder;
    }
    receiver.await.unwrap_or(WitnessAnswer::NotHolder)
}

/// Asks this daemon's own placement role.
pub(crate) async fn ask_explanation(daemon: &Daemon, job: JobKey) -> Option<Explanation> {
    let (sender, receiver) = oneshot::channel();
    daemon
        .holder
        .send(Query::Explain {
            job,
            answer: sender,
        })
        .await
        .ok()?;
    receiver.await.ok().flatten()
}

/// Starts to serve peers.
pub(crate) async fn serve(daemon: Arc<Daemon>) -> std::io::Result<(SocketAddr, ServerHandle)> {
    let config = ServerConfig::builder().http_only().build();
    let server = Server::builder()
        .set_config(config)
        .build(daemon.settings.rpc_listen)
        .await?;
    let address = server.local_addr()?;
    Ok((address, server.start(PeerService(daemon).into_rpc())))
}

/// Makes a client of a peer.
pub(crate) fn client(address: SocketAddr) -> Option<HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(PEER_TIMEOUT)
        .build(format!("http://{address}"))
        .ok()
}

pub(crate) fn own_heartbeat(daemon: &Daemon, every: Duration) -> Heartbeat {
    let configuration = daemon.configuration();
    let role = *lock(&daemon.role);
    Heartbeat {
        daemon: daemon.vm().clone(),
        zone: daemon.settings.zone.clone(),
        every_ms: millis(every),
        address: daemon.address,
        revision: configuration.revision,
        token: role.token,
        confirmed: role.confirmed,
        placement: role.token.map(|_| role.load),
        leaving: daemon.is_leaving(),
        services: daemon.dispatcher.load(&configuration),
    }
}

/// Returns how often this daemon and one of `zone` exchange heartbeats.
fn interval_to(daemon: &Daemon, zone: &ZoneId) -> Duration {
    if *zone == daemon.settings.zone {
        return Members::INTERVAL;
    }
    let list = daemon.vms.borrow().clone();
    let far =
        |vm: &&VmEntry| vm.zone != daemon.settings.zone && matches!(vm.role, VmRole::Entry { .. });
    Members::far_interval(list.vms.iter().filter(far).count())
}

/// One peer as the platform lists it.
struct Listed {
    id: VmId,
    zone: ZoneId,
    rpc: SocketAddr,
    client: Option<HttpClient>,
}

/// Sends heartbeats for as long as the daemon runs.
pub(crate) async fn beat(daemon: Arc<Daemon>) {
    let mut peers: Vec<Listed> = Vec::new();
    let mut last = daemon.clock.now();
    for round in 0_u64.. {
        let now = daemon.clock.now();
        if now - last > Members::TIMEOUT {
            log::warn!(target: "peers", paused_ms = millis(now - last);
                "this process was paused; its shares of slots are given up");
            daemon.dispatcher.suspend();
        }
        last = now;
        refresh(&daemon, &mut peers);
        let beats = peers
            .iter()
            .filter(|p| worth_asking(&daemon, p, round, now));
        let replies = join_all(beats.map(|p| beat_one(&daemon, p))).await;
        let now = daemon.clock.now();
        for heartbeat in replies.into_iter().flatten() {
            lock(&daemon.members).note(heartbeat, now);
        }
        let members = lock(&daemon.members).in_zone(&daemon.settings.zone, daemon.vm(), now);
        daemon.dispatcher.set_members(members);
        take_newer_configuration(&daemon, &peers, now).await;
        daemon
            .metrics
            .gauge("call.in_flight", daemon.dispatcher.in_flight() as u64);
        tokio::time::sleep(Members::INTERVAL).await;
    }
}

fn refresh(daemon: &Daemon, peers: &mut Vec<Listed>) {
    let list = daemon.vms.borrow().clone();
    let entries = list.vms.iter().filter(|vm| vm.id != *daemon.vm());
    let entries: Vec<(&VmEntry, SocketAddr)> = entries
        .filter_map(|vm| match vm.role {
            VmRole::Entry { rpc } => Some((vm, rpc)),
            _ => None,
        })
        .collect();
    peers.retain(|p| {
        entries
            .iter()
            .any(|(vm, rpc)| vm.id == p.id && *rpc == p.rpc)
    });
    for (vm, rpc) in entries {
        if !peers.iter().any(|p| p.id == vm.id) {
            let (id, zone) = (vm.id.clone(), vm.zone.clone());
            peers.push(Listed {
                id,
                zone,
                rpc,
                client: client(rpc),
            });
        }
    }
}

/// Tells whether a peer's turn has come: each time in this zone, now and then where it
/// is silent, and in other zones unless it was heard lately, since one exchange tells both.
fn worth_asking(daemon: &Daemon, peer: &Listed, round: u64, now: Timestamp) -> bool {
    let members = lock(&daemon.members);
    let live = members.live(now).any(|h| h.daemon == peer.id);
    if !live {
        return round.is_multiple_of(SILENT_PEER_STRIDE);
    }
    if peer.zone == daemon.settings.zone {
        return true;
    }
    let heard = members.heard_before(&peer.id, now);
    heard.is_none_or(|ago| ago >= interval_to(daemon, &peer.zone))
}

async fn beat_one(daemon: &Daemon, peer: &Listed) -> Option<Heartbeat> {
    let heartbeat = own_heartbeat(daemon, interval_to(daemon, &peer.zone));
    peer.client.as_ref()?.heartbeat(heartbeat).await.ok()
}

/// Takes a peer's configuration where it is newer: this zone may be cut off from the store.
async fn take_newer_configuration(daemon: &Daemon, peers: &[Listed], now: Timestamp) {
    let own = daemon.configuration().revision;
    let newest = lock(&daemon.members)
        .live(now)
        .filter(|h| h.revision > own)
        .max_by_key(|h| h.revision)
        .map(|h| h.daemon.clone());
    let Some(newest) = newest else { return };
    let Some(client) = peers
        .iter()
        .find(|p| p.id == newest)
        .and_then(|p| p.client.as_ref())
    else {
        return;
    };
    if let Ok(configuration) = client.configuration().await {
        log::info!(target: "config", from:% = newest, revision = configuration.revision.0;
            "newer configuration taken from a peer");
        lock(&daemon.follower).offer_full(configuration);
        publish_revision(daemon);
    }
}

/// Returns where a zone's live placement holder listens for its peers.
pub(crate) fn holder_address(daemon: &Daemon, zone: &ZoneId) -> Option<SocketAddr> {
    let holder = lock(&daemon.members)
        .holder(zone, daemon.clock.now())?
        .daemon
        .clone();
    let list = daemon.vms.borrow().clone();
    list.vms
        .iter()
        .find(|vm| vm.id == holder)
        .and_then(|vm| match vm.role {
            VmRole::Entry { rpc } => Some(rpc),
            _ => None,
        })
}
