//! JSON-RPC calls between daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use serde::{Deserialize, Serialize};
use stairstall_core::batch::{
    AcceptedJob, CallerState, Catalog, JobExplanation, LoadSummary, PeerAddress,
};
use stairstall_core::{CustomerId, JobId};
use tokio::sync::Notify;

use super::accept::{self, Acceptance, Cancellation, OnRefusal};
use super::known_catalog::CatalogConfirmation;
use super::node::{Node, PlannerRecord, RoleOffer};
use super::predecessor::{self, Superseded};
use super::{catalog, load, reachability, role};
use crate::daemon::lock;

/// Largest number of cached clients; a full cache is cleared.
const MAX_CLIENTS: usize = 64;

/// The planner's answer to a query for a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum JobAnswer {
    /// The daemon does not hold the planner role.
    NotPlanner,
    /// The planner does not know the job.
    Unknown,
    /// The planner knows the job.
    Known {
        customer: Option<CustomerId>,
        state: CallerState,
        /// How current the planner's configuration is. Older daemons don't say.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        catalog_confirmation: Option<CatalogConfirmation>,
    },
}

/// Answer of a daemon that is notified of an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub(crate) enum SubmitAnswer {
    /// Whether the daemon is the planner and has added the job. Older daemons answer this only.
    Taken(bool),
    /// The same, with a summary of the fleet's load.
    WithLoad {
        /// Whether the daemon is the planner and has added the job.
        taken: bool,
        /// The load of the fleet, if the daemon is the planner.
        #[serde(default, deserialize_with = "load::read_boxed_leniently")]
        load: Option<Box<LoadSummary>>,
        /// How current the daemon's configuration is. Older daemons don't say.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        catalog_confirmation: Option<CatalogConfirmation>,
    },
}

/// Calls between daemons.
#[rpc(server, client)]
pub(crate) trait Peer {
    /// Notifies the planner of an accepted job. The answer has a load summary if `wants_load` is
    /// true. A caller that gives no `wants_load` is told only whether the job was added.
    #[method(name = "submitted")]
    async fn job_accepted(
        &self,
        job: AcceptedJob,
        wants_load: Option<bool>,
    ) -> RpcResult<SubmitAnswer>;

    /// Notifies the planner of a cancelled job; returns false if the daemon is not the planner or
    /// does not know the job.
    #[method(name = "cancelled")]
    async fn job_cancelled(&self, id: JobId) -> RpcResult<bool>;

    /// Returns the planner's state of a job.
    #[method(name = "job")]
    async fn job(&self, id: JobId) -> RpcResult<JobAnswer>;

    /// Returns the number of waiting jobs in a queue, or `None` if the daemon is not the planner.
    #[method(name = "pending")]
    async fn pending(&self, queue: String) -> RpcResult<Option<u64>>;

    /// Explains the state of a job. Returns `None` if the daemon is not the planner or does not
    /// know the job.
    #[method(name = "explain")]
    async fn explain(&self, id: JobId) -> RpcResult<Option<JobExplanation>>;

    /// Writes a job to the store on behalf of a daemon that the store does not serve.
    #[method(name = "accept")]
    async fn accept(&self, job: AcceptedJob) -> RpcResult<Acceptance>;

    /// Writes a cancellation to the store on behalf of a daemon that the store does not serve.
    #[method(name = "cancel")]
    async fn cancel(&self, id: JobId, customer: Option<CustomerId>) -> RpcResult<Cancellation>;

    /// Returns what the daemon knows: the configuration if it is newer than `version`, the planner,
    /// whether the store serves the daemon, and some other daemons. A planner adds a load summary
    /// if `wants_load` is true. If `relies_on_peers` is true, the store does not serve the asking
    /// daemon, and the answering one keeps its own configuration confirmed.
    #[method(name = "news")]
    async fn peer_update(
        &self,
        version: u64,
        asker: PeerAddress,
        wants_load: Option<bool>,
        relies_on_peers: Option<bool>,
    ) -> RpcResult<PeerUpdate>;

    /// Offers the planner role to the daemon; returns whether it wants the role.
    #[method(name = "offer")]
    async fn offer(&self, offer: RoleOffer) -> RpcResult<bool>;

    /// Notifies a daemon that held the planner role of the new planner.
    #[method(name = "taken")]
    async fn planner_changed(&self, planner: PlannerRecord) -> RpcResult<()>;

    /// Does the same and returns what that daemon could not store. Older daemons don't know this
    /// call.
    #[method(name = "superseded")]
    async fn superseded(&self, planner: PlannerRecord) -> RpcResult<Superseded>;
}

/// What a daemon reports to a peer that asks.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct PeerUpdate {
    /// The configuration, if it is newer than that of the asking daemon.
    pub(crate) catalog: Option<Catalog>,
    /// How current the answering daemon's configuration is. Older daemons don't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) catalog_confirmation: Option<CatalogConfirmation>,
    /// The latest known holder of the planner role.
    pub(crate) planner: Option<PlannerRecord>,
    /// Whether the store serves the answering daemon.
    pub(crate) is_served: bool,
    /// How long the asking daemon should wait before it announces itself to the planner again, in
    /// milliseconds.
    pub(crate) pause_ms: u64,
    /// Daemons that the asking daemon should know, including the answering one.
    pub(crate) peers: Vec<PeerAddress>,
    /// The load of the fleet, if the answering daemon is the planner.
    #[serde(
        default,
        deserialize_with = "load::read_leniently",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) load: Option<LoadSummary>,
}

/// Serves the RPC calls of peers.
#[derive(Debug)]
struct PeerService(Arc<Node>);

impl PeerService {
    /// Checks an ID that another daemon sends, as callers' IDs are checked.
    fn check_job_id(&self, id: &JobId) -> RpcResult<()> {
        let checked = self.0.dialect.read_job_id(id.as_str());
        checked.map(drop).map_err(|error| invalid(&error))
    }

    /// Checks a job that another daemon sends, as callers' jobs are checked.
    fn check_job(&self, job: &AcceptedJob) -> RpcResult<()> {
        self.check_job_id(&job.id)?;
        job.check().map_err(|error| invalid(&error))
    }
}

fn invalid(why: &impl ToString) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, why.to_string(), None::<()>)
}

#[async_trait]
impl PeerServer for PeerService {
    async fn job_accepted(
        &self,
        job: AcceptedJob,
        wants_load: Option<bool>,
    ) -> RpcResult<SubmitAnswer> {
        self.check_job(&job)?;
        let tenure = self.0.tenure();
        let taken = tenure.as_ref().is_some_and(|tenure| tenure.submit(job));
        let Some(wants_load) = wants_load else {
            return Ok(SubmitAnswer::Taken(taken));
        };
        let load = tenure
            .filter(|_| wants_load)
            .and_then(|tenure| tenure.load_summary())
            .map(Box::new);
        Ok(SubmitAnswer::WithLoad {
            taken,
            load,
            catalog_confirmation: self.0.catalog_confirmation(),
        })
    }

    async fn job_cancelled(&self, id: JobId) -> RpcResult<bool> {
        self.check_job_id(&id)?;
        let tenure = self.0.tenure();
        Ok(tenure.is_some_and(|tenure| tenure.cancel(&id)))
    }

    async fn job(&self, id: JobId) -> RpcResult<JobAnswer> {
        self.check_job_id(&id)?;
        let tenure = self.0.tenure();
        let mut answer = tenure.map_or(JobAnswer::NotPlanner, |tenure| tenure.job(&id));
        if let JobAnswer::Known {
            catalog_confirmation,
            ..
        } = &mut answer
        {
            *catalog_confirmation = self.0.catalog_confirmation();
        }
        Ok(answer)
    }

    async fn pending(&self, queue: String) -> RpcResult<Option<u64>> {
        Ok(self.0.tenure().and_then(|tenure| tenure.pending(&queue)))
    }

    async fn explain(&self, id: JobId) -> RpcResult<Option<JobExplanation>> {
        self.check_job_id(&id)?;
        Ok(self.0.tenure().and_then(|tenure| tenure.explain(&id)))
    }

    async fn accept(&self, job: AcceptedJob) -> RpcResult<Acceptance> {
        self.check_job(&job)?;
        if self.0.store_health.should_fail_fast(self.0.clock.now()) {
            return Ok(Acceptance::NotKept);
        }
        // Another daemon may have refused the caller since, so a refusal record is kept.
        let mut job = job;
        let called_at = self.0.clock.now();
        Ok(accept::write_job(&self.0, &mut job, OnRefusal::Keep, called_at).await)
    }

    async fn cancel(&self, id: JobId, customer: Option<CustomerId>) -> RpcResult<Cancellation> {
        self.check_job_id(&id)?;
        if self.0.store_health.should_fail_fast(self.0.clock.now()) {
            return Ok(Cancellation::Unsettled);
        }
        Ok(accept::write_cancel(&self.0, &id, customer.as_ref()).await)
    }

    async fn peer_update(
        &self,
        version: u64,
        asker: PeerAddress,
        wants_load: Option<bool>,
        relies_on_peers: Option<bool>,
    ) -> RpcResult<PeerUpdate> {
        if relies_on_peers == Some(true) {
            catalog::confirm_for_peers(&self.0).await;
        }
        let mut update = reachability::peer_update(&self.0, version, asker);
        if wants_load == Some(true) {
            update.load = self.0.tenure().and_then(|tenure| tenure.load_summary());
        }
        Ok(update)
    }

    async fn offer(&self, offer: RoleOffer) -> RpcResult<bool> {
        Ok(role::handle_offer(&self.0, offer))
    }

    async fn planner_changed(&self, planner: PlannerRecord) -> RpcResult<()> {
        role::record_planner(&self.0, Some(planner));
        Ok(())
    }

    async fn superseded(&self, planner: PlannerRecord) -> RpcResult<Superseded> {
        Ok(predecessor::handle_superseded(&self.0, planner))
    }
}

/// Starts the RPC server.
pub(crate) async fn serve(node: Arc<Node>) -> std::io::Result<(SocketAddr, ServerHandle)> {
    let config = ServerConfig::builder().http_only().build();
    let server = Server::builder()
        .set_config(config)
        .build(node.settings.rpc_listen)
        .await?;
    let address = server.local_addr()?;
    Ok((address, server.start(PeerService(node).into_rpc())))
}

/// A cache of RPC clients, which keep their connections open.
#[derive(Debug)]
pub(crate) struct PeerClients {
    /// Timeout of an RPC call.
    timeout: Duration,
    clients: Mutex<HashMap<String, HttpClient>>,
    /// The address of the last failed call to the planner.
    last_failed: Mutex<Option<String>>,
    /// Wakes the task that follows the planner role when the planner does not answer.
    planner_failed: Notify,
}

impl PeerClients {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            clients: Mutex::default(),
            last_failed: Mutex::default(),
            planner_failed: Notify::new(),
        }
    }

    /// Returns a client for the daemon at `address`.
    pub(crate) fn client(&self, address: &str) -> Option<HttpClient> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .build(format!("http://{address}"))
            .ok()?;
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(address.to_owned(), client.clone());
        Some(client)
    }

    /// Drops the connections to a daemon that does not answer.
    pub(crate) fn drop_client(&self, address: &str) {
        lock(&self.clients).remove(address);
    }

    /// Wakes the task that follows the planner role: the planner does not answer, so the role may be
    /// free.
    pub(crate) fn report_planner_failure(&self) {
        self.planner_failed.notify_waiters();
    }

    /// Waits until a call to the planner fails.
    pub(crate) async fn wait_for_planner_failure(&self) {
        self.planner_failed.notified().await;
    }

    /// Records the result of a call to the planner. After a failure its connections are dropped,
    /// since the other end may have disappeared without closing them.
    pub(crate) fn record_call<T>(&self, address: &str, answer: &Result<T, RpcError>) {
        let fails = answer.is_err();
        let had_failed = {
            let mut last_failed = lock(&self.last_failed);
            let before = last_failed.as_deref() == Some(address);
            if fails {
                *last_failed = Some(address.to_owned());
                lock(&self.clients).remove(address);
            } else if before {
                *last_failed = None;
            }
            before
        };
        match answer {
            Err(error) if !had_failed => {
                log::warn!(target: "dependency", on = "planner", address, why:% = error; "planner does not answer");
                self.report_planner_failure();
            }
            Ok(_) if had_failed => {
                log::info!(target: "dependency", on = "planner", address; "planner answers again");
            }
            _ => {}
        }
    }
}

/// Returns whether a failed call may have been carried out by the peer. It was not if no connection
/// was made.
pub(crate) fn may_have_run(error: &RpcError) -> bool {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(found) = cause {
        if let Some(failure) = found.downcast_ref::<hyper_util::client::legacy::Error>() {
            return !failure.is_connect();
        }
        cause = found.source();
    }
    true
}
