//! Sends a holder's requests to workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use stairstall_core::WorkerId;
use stairstall_core::protocol::{StaleRequest, SyncReply, SyncRequest};
use tokio::sync::mpsc;

use crate::daemon::Daemon;

/// Longest sync; the scheduler counts on it when it tells how long leases may last.
const SYNC_TIMEOUT: Duration = stairstall_core::placement::SYNC_TIMEOUT;

/// What a sync brought.
#[derive(Debug)]
pub(super) enum Synced {
    /// The worker's answer.
    Reply(Box<SyncReply>),
    /// A higher token was seen: the tenure is over.
    Fenced { highest: u64 },
    /// No answer.
    Failed,
}

/// The zone's workers, where they listen, and the way back.
#[derive(Debug)]
pub(super) struct Workers {
    daemon: Arc<Daemon>,
    addresses: BTreeMap<WorkerId, SocketAddr>,
    sender: mpsc::Sender<(WorkerId, Synced)>,
}

impl Workers {
    pub(super) fn new(daemon: Arc<Daemon>, sender: mpsc::Sender<(WorkerId, Synced)>) -> Self {
        Self {
            daemon,
            addresses: BTreeMap::new(),
            sender,
        }
    }

    pub(super) fn set_addresses(&mut self, addresses: BTreeMap<WorkerId, SocketAddr>) {
        // A worker that is no longer listed may still run tasks, so its address is kept.
        self.addresses.extend(addresses);
    }

    /// Sends one request; what comes of it arrives on the channel.
    pub(super) fn send(&self, worker: WorkerId, request: SyncRequest) {
        let address = self.addresses.get(&worker).copied();
        let (daemon, sender) = (Arc::clone(&self.daemon), self.sender.clone());
        tokio::spawn(async move {
            let synced = match address {
                Some(address) => sync(&daemon, address, &request).await,
                None => Synced::Failed,
            };
            let _ = sender.send((worker, synced)).await;
        });
    }
}

async fn sync(daemon: &Daemon, address: SocketAddr, request: &SyncRequest) -> Synced {
    let call = daemon.http.json(
        Method::POST,
        address,
        "/v1/sync",
        Some(request),
        SYNC_TIMEOUT,
    );
    let Ok(answer) = call.await else {
        return Synced::Failed;
    };
    if answer.status == StatusCode::CONFLICT {
        return match answer.read::<StaleRequest>() {
            Ok(stale) if stale.highest > request.token => Synced::Fenced {
                highest: stale.highest,
            },
            _ => Synced::Failed,
        };
    }
    answer
        .read::<SyncReply>()
        .map_or(Synced::Failed, |reply| Synced::Reply(Box::new(reply)))
}
