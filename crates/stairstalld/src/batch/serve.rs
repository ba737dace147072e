//! Starts the parts of a batch daemon, and stops them after open calls are answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stairstall_http::HttpClient;
use stairstall_platform::{PlatformAdviser, PlatformDialect, PlatformStore, PlatformWorkers};
use stairstall_ports::Adviser;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::node::Node;
use super::settings::BatchSettings;
use super::{caller_api, catalog, health, reachability, role, rpc};
use crate::background::{RequiredTasks, spawn_kept};
use crate::intake::{Intake, IntakeLimits};
use crate::serve::{RunError, system_error};
use crate::server::Server;
use crate::shutdown::{self, DrainOutcome, Shutdown, Signals};

/// Longest time that a caller may take to send a request head, or leave a connection idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for opening a connection to the store, a worker or the adviser.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of idle connections kept open to each address.
const IDLE_CONNECTIONS: usize = 4;

/// Runs a batch daemon until a signal requests a stop and all open calls are answered.
///
/// # Errors
///
/// Returns why the daemon could not start, or [`RunError::CallsAborted`] if calls were still open at
/// the drain limit.
pub fn run(settings: BatchSettings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(system_error("runtime"))?
        .block_on(serve(settings))
}

fn build_node(settings: BatchSettings) -> Node {
    let http = HttpClient::new(CONNECT_TIMEOUT, IDLE_CONNECTIONS);
    let store = PlatformStore::new(
        http.clone(),
        settings.store.to_string(),
        settings.store_timeout,
    );
    let adviser = settings.adviser.map(|address| {
        let adviser = PlatformAdviser::new(http.clone(), address.to_string());
        Arc::new(adviser) as Arc<dyn Adviser>
    });
    let workers = PlatformWorkers::new(http);
    Node::new(
        settings,
        Arc::new(store),
        Arc::new(workers),
        Arc::new(PlatformDialect),
        adviser,
    )
}

async fn serve(settings: BatchSettings) -> Result<(), RunError> {
    let signals = Signals::install()?;
    let (callers, listen) = bind(settings.listen, "--listen").await?;
    let (health, health_listen) = bind(settings.health_listen, "--health-listen").await?;
    let (metrics, metrics_listen) = bind(settings.metrics_listen, "--metrics-listen").await?;
    let node = Arc::new(build_node(settings));
    let (rpc_address, rpc) = rpc::serve(Arc::clone(&node))
        .await
        .map_err(system_error("--rpc-listen"))?;
    node.set_rpc_address(rpc_address);
    log::info!(target: "start", vm:% = node.vm(), zone:% = node.settings.zone,
        listen:% = listen, rpc:% = rpc_address, health:% = health_listen,
        metrics:% = metrics_listen, store:% = node.settings.store,
        version = env!("CARGO_PKG_VERSION"); "serving");
    let role = start_background(&node);
    tokio::spawn(shutdown::log_hangup_signals(
        node.vm().clone(),
        signals.hangup,
    ));
    let required = RequiredTasks::new(Arc::clone(&node) as _);
    let checks = node.settings.intake.for_checks();
    required.spawn(
        "health",
        serve_router(health, health::health_router(&node), checks),
    );
    required.spawn(
        "metrics",
        serve_router(metrics, health::metrics_router(&node), checks),
    );
    required.spawn("rpc", rpc.clone().stopped());

    let shutdown = Shutdown {
        vm: node.vm().clone(),
        leaving: node.leaving.clone(),
        delay: node.settings.drain_delay,
        limit: node.settings.drain_limit,
        intake: Arc::clone(&node.intake),
    };
    let server = Server::new(
        callers,
        caller_api::router(&node),
        HEAD_TIMEOUT,
        Arc::clone(&node.intake),
    )
    .run_until(shutdown.clone().stop_requested(signals.stop));
    let drained = shutdown.drain(tokio::spawn(server)).await;
    role::wait_until_released(&node).await;
    role.abort();
    let _ = rpc.stop();
    if drained? == DrainOutcome::TimedOut {
        return Err(RunError::CallsAborted);
    }
    if let Some(name) = required.ended() {
        return Err(RunError::TaskEnded(name));
    }
    log::info!(target: "stop", vm:% = node.vm(); "stopped; no calls were open");
    Ok(())
}

/// Starts the tasks that go on from the node's state; returns that of the role.
pub(crate) fn start_background(node: &Arc<Node>) -> JoinHandle<()> {
    spawn_kept(node, "configuration", catalog::follow);
    spawn_kept(node, "reachability", reachability::follow);
    spawn_kept(node, "role", role::run)
}

async fn bind(
    address: SocketAddr,
    flag: &'static str,
) -> Result<(TcpListener, SocketAddr), RunError> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(system_error(flag))?;
    let bound = listener.local_addr().map_err(system_error(flag))?;
    Ok((listener, bound))
}

async fn serve_router(listener: TcpListener, router: viz::Router, limits: IntakeLimits) {
    let server = Server::new(listener, router, HEAD_TIMEOUT, Intake::new(limits));
    server.run_until(std::future::pending()).await;
}
