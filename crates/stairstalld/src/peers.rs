//! JSON-RPC between daemons: heartbeats, configuration, guarantee checks and explanations of jobs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use stairstall_core::config::Configuration;
use stairstall_core::membership::MemberTable;
use stairstall_core::placement::JobKey;
use stairstall_core::protocol::{
    Explanation, GuaranteeCheckReply, GuaranteeCheckRequest, Heartbeat, VmEntry, VmRole,
};
use stairstall_core::{Timestamp, VmId, ZoneId};
use tokio::sync::oneshot;

use crate::clock::millis;
use crate::daemon::{Daemon, lock};
use crate::follow::publish_revision;
use crate::holder::Query;

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// A silent peer gets only one in this many heartbeats.
const SILENT_PEER_INTERVAL: u64 = 4;

/// RPC methods that daemons call on each other.
#[rpc(server, client)]
pub(crate) trait Peer {
    /// Exchanges heartbeats.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat>;

    /// Returns the whole configuration in effect.
    #[method(name = "configuration")]
    async fn configuration(&self) -> RpcResult<Configuration>;

    /// Returns whether all of these guarantees can be satisfied at once in the daemon's zone.
    #[method(name = "witness")]
    async fn check_guarantees(
        &self,
        question: GuaranteeCheckRequest,
    ) -> RpcResult<GuaranteeCheckReply>;

    /// Explains a job's state, if the daemon holds the placement role and knows the job.
    #[method(name = "explain")]
    async fn explain(&self, job: JobKey) -> RpcResult<Option<Explanation>>;
}

/// Implements the RPC methods on a daemon's state.
#[derive(Debug)]
struct PeerService(Arc<Daemon>);

#[async_trait]
impl PeerServer for PeerService {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<Heartbeat> {
        let now = self.0.clock.now();
        let interval = interval_to(&self.0, &heartbeat.zone);
        lock(&self.0.members).handle_heartbeat(heartbeat, now);
        Ok(own_heartbeat(&self.0, interval))
    }

    async fn configuration(&self) -> RpcResult<Configuration> {
        Ok(Configuration::clone(&self.0.configuration()))
    }

    async fn check_guarantees(
        &self,
        question: GuaranteeCheckRequest,
    ) -> RpcResult<GuaranteeCheckReply> {
        Ok(check_own_guarantees(&self.0, question).await)
    }

    async fn explain(&self, job: JobKey) -> RpcResult<Option<Explanation>> {
        Ok(explain_own(&self.0, job).await)
    }
}

/// Checks guarantees with this daemon's own scheduler; returns [`GuaranteeCheckReply::NotHolder`]
/// if the daemon does not hold the placement role.
pub(crate) async fn check_own_guarantees(
    daemon: &Daemon,
    question: GuaranteeCheckRequest,
) -> GuaranteeCheckReply {
    let (sender, receiver) = oneshot::channel();
    let query = Query::CheckGuarantees {
        request: question,
        reply: sender,
    };
    if daemon.holder_queries.send(query).await.is_err() {
        return GuaranteeCheckReply::NotHolder;
    }
    receiver.await.unwrap_or(GuaranteeCheckReply::NotHolder)
}

/// Explains a job with this daemon's own scheduler; returns none if the daemon does not hold the
/// placement role or does not know the job.
pub(crate) async fn explain_own(daemon: &Daemon, job: JobKey) -> Option<Explanation> {
    let (sender, receiver) = oneshot::channel();
    daemon
        .holder_queries
        .send(Query::Explain { job, reply: sender })
        .await
        .ok()?;
    receiver.await.ok().flatten()
}

/// Starts the RPC server for peers.
pub(crate) async fn serve(daemon: Arc<Daemon>) -> std::io::Result<(SocketAddr, ServerHandle)> {
    let config = ServerConfig::builder().http_only().build();
    let server = Server::builder()
        .set_config(config)
        .build(daemon.settings.rpc_listen)
        .await?;
    let address = server.local_addr()?;
    Ok((address, server.start(PeerService(daemon).into_rpc())))
}

/// Returns an RPC client for the peer at this address.
pub(crate) fn client(address: SocketAddr) -> Option<HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(PEER_TIMEOUT)
        .build(format!("http://{address}"))
        .ok()
}

/// Returns this daemon's heartbeat; `interval` is how often the receiver gets one.
pub(crate) fn own_heartbeat(daemon: &Daemon, interval: Duration) -> Heartbeat {
    let configuration = daemon.configuration();
    let role = *lock(&daemon.role);
    Heartbeat {
        daemon: daemon.vm().clone(),
        zone: daemon.settings.zone.clone(),
        every_ms: millis(interval),
        address: daemon.address,
        revision: configuration.revision,
        token: role.token,
        confirmed: role.confirmed,
        placement: role.token.map(|_| role.load),
        leaving: daemon.is_leaving(),
        services: daemon.dispatcher.load(&configuration),
    }
}

/// Returns the interval of heartbeats between this daemon and one in `zone`.
fn interval_to(daemon: &Daemon, zone: &ZoneId) -> Duration {
    if *zone == daemon.settings.zone {
        return MemberTable::INTERVAL;
    }
    let list = daemon.vms.borrow().clone();
    let is_cross_zone =
        |vm: &&VmEntry| vm.zone != daemon.settings.zone && matches!(vm.role, VmRole::Entry { .. });
    MemberTable::cross_zone_interval(list.vms.iter().filter(is_cross_zone).count())
}

/// A peer from the platform's list of VMs, with a client for it.
struct ListedPeer {
    id: VmId,
    zone: ZoneId,
    rpc: SocketAddr,
    client: Option<HttpClient>,
}

/// Exchanges heartbeats with peers for as long as the daemon runs.
pub(crate) async fn exchange_heartbeats(daemon: Arc<Daemon>) {
    let mut peers: Vec<ListedPeer> = Vec::new();
    let mut last = daemon.clock.now();
    for round in 0_u64.. {
        let now = daemon.clock.now();
        if now - last > MemberTable::TIMEOUT {
            log::warn!(target: "peers", paused_ms = millis(now - last);
                "this process was paused; gave up its shares of slots");
            daemon.dispatcher.suspend();
        }
        last = now;
        update_peers(&daemon, &mut peers);
        let exchanges = peers
            .iter()
            .filter(|p| should_contact(&daemon, p, round, now));
        let replies = join_all(exchanges.map(|p| exchange_heartbeat(&daemon, p))).await;
        let now = daemon.clock.now();
        for heartbeat in replies.into_iter().flatten() {
            lock(&daemon.members).handle_heartbeat(heartbeat, now);
        }
        let members = lock(&daemon.members).in_zone(&daemon.settings.zone, daemon.vm(), now);
        daemon.dispatcher.set_members(members);
        fetch_newer_configuration(&daemon, &peers, now).await;
        daemon
            .metrics
            .gauge("call.in_flight", daemon.dispatcher.in_flight() as u64);
        for (name, value) in daemon.intake.in_use().named() {
            daemon.metrics.gauge(&format!("intake.{name}"), value);
        }
        tokio::time::sleep(MemberTable::INTERVAL).await;
    }
}

/// Updates the peers from the platform's list of VMs; clients of unchanged peers are reused.
fn update_peers(daemon: &Daemon, peers: &mut Vec<ListedPeer>) {
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
            peers.push(ListedPeer {
                id,
                zone,
                rpc,
                client: client(rpc),
            });
        }
    }
}

/// Returns whether this round's heartbeat goes to a peer.
///
/// A live peer in this zone gets every heartbeat, a silent peer one in [`SILENT_PEER_INTERVAL`]. A
/// live peer in another zone gets one unless it sent one within the interval, since one exchange
/// informs both sides.
fn should_contact(daemon: &Daemon, peer: &ListedPeer, round: u64, now: Timestamp) -> bool {
    let members = lock(&daemon.members);
    let live = members.live(now).any(|h| h.daemon == peer.id);
    if !live {
        return round.is_multiple_of(SILENT_PEER_INTERVAL);
    }
    if peer.zone == daemon.settings.zone {
        return true;
    }
    let last_heard = members.time_since_heartbeat(&peer.id, now);
    last_heard.is_none_or(|ago| ago >= interval_to(daemon, &peer.zone))
}

async fn exchange_heartbeat(daemon: &Daemon, peer: &ListedPeer) -> Option<Heartbeat> {
    let heartbeat = own_heartbeat(daemon, interval_to(daemon, &peer.zone));
    peer.client.as_ref()?.heartbeat(heartbeat).await.ok()
}

/// Fetches the configuration of a peer that has a newer revision, in case the store does not answer
/// in this zone.
async fn fetch_newer_configuration(daemon: &Daemon, peers: &[ListedPeer], now: Timestamp) {
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
            "fetched a newer configuration from a peer");
        lock(&daemon.follower).offer_configuration(configuration);
        publish_revision(daemon);
    }
}

/// Returns the RPC address of a zone's live placement holder.
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
