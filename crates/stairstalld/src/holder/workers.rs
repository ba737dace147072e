//! Sends a holder's sync requests to workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use stairstall_core::WorkerId;
use stairstall_core::protocol::{StaleRequest, SyncReply, SyncRequest};
use tokio::sync::mpsc;

use crate::background::catch_panic;
use crate::daemon::Daemon;

/// Timeout of a sync. The scheduler relies on it when it sets how long leases may last.
const SYNC_TIMEOUT: Duration = stairstall_core::placement::SYNC_TIMEOUT;

/// Outcome of a sync.
#[derive(Debug)]
pub(super) enum SyncOutcome {
    /// The worker's reply.
    Reply(Box<SyncReply>),
    /// The worker knows a higher token, which ends the tenure.
    Fenced { highest: u64 },
    /// The worker did not reply, or its reply could not be read.
    Failed,
}

/// The addresses of the zone's workers, and the channel for outcomes of syncs.
#[derive(Debug)]
pub(super) struct Workers {
    daemon: Arc<Daemon>,
    addresses: BTreeMap<WorkerId, SocketAddr>,
    sender: mpsc::Sender<(WorkerId, SyncOutcome)>,
}

impl Workers {
    pub(super) fn new(daemon: Arc<Daemon>, sender: mpsc::Sender<(WorkerId, SyncOutcome)>) -> Self {
        Self {
            daemon,
            addresses: BTreeMap::new(),
            sender,
        }
    }

    pub(super) fn update_addresses(&mut self, addresses: BTreeMap<WorkerId, SocketAddr>) {
        // A worker that is no longer listed may still run tasks, so its old address stays.
        self.addresses.extend(addresses);
    }

    /// Sends one request in the background; its outcome arrives on the channel.
    pub(super) fn send(&self, worker: WorkerId, request: SyncRequest) {
        let address = self.addresses.get(&worker).copied();
        let (daemon, sender) = (Arc::clone(&self.daemon), self.sender.clone());
        tokio::spawn(async move {
            let outcome = match address {
                Some(address) => catch_panic(sync(&daemon, address, &request))
                    .await
                    .unwrap_or(SyncOutcome::Failed),
                None => SyncOutcome::Failed,
            };
            let _ = sender.send((worker, outcome)).await;
        });
    }
}

async fn sync(daemon: &Daemon, address: SocketAddr, request: &SyncRequest) -> SyncOutcome {
    let call = daemon.http.json(
        Method::POST,
        address,
        "/v1/sync",
        Some(request),
        SYNC_TIMEOUT,
    );
    let Ok(reply) = call.await else {
        return SyncOutcome::Failed;
    };
    if reply.status == StatusCode::CONFLICT {
        return match reply.read::<StaleRequest>() {
            Ok(stale) if stale.highest > request.token => SyncOutcome::Fenced {
                highest: stale.highest,
            },
            _ => SyncOutcome::Failed,
        };
    }
    reply
        .read::<SyncReply>()
        .map_or(SyncOutcome::Failed, |reply| {
            SyncOutcome::Reply(Box::new(reply))
        })
}
