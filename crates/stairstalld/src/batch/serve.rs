//! Starts the parts of a batch daemon and stops them without cutting anything off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use stairstall_http::HttpClient;
use stairstall_platform::{PlatformAdviser, PlatformDialect, PlatformStore, PlatformWorkers};
use stairstall_ports::Adviser;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use super::node::Node;
use super::settings::BatchSettings;
use super::{callers, catalog, health, role, rpc};
use crate::listener::NoDelayListener;
use crate::serve::{RunError, system};

/// How long a caller may take to send a request's head, and keep a connection unused.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a connection to the store or a worker may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Unused connections kept to the store and to each worker.
const IDLE_CONNECTIONS: usize = 4;

/// Serves until a signal asks for a stop and everything in flight has ended.
///
/// # Errors
///
/// Returns what failed at the start, or that the drain limit cut calls off.
pub fn run(settings: BatchSettings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(system("runtime"))?
        .block_on(serve(settings))
}

fn make_node(settings: BatchSettings) -> Node {
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
    let (callers, listen) = bind(settings.listen, "--listen").await?;
    let (health, health_listen) = bind(settings.health_listen, "--health-listen").await?;
    let (metrics, metrics_listen) = bind(settings.metrics_listen, "--metrics-listen").await?;
    let node = Arc::new(make_node(settings));
    let (rpc_address, rpc) = rpc::serve(Arc::clone(&node))
        .await
        .map_err(system("--rpc-listen"))?;
    node.set_rpc_address(rpc_address);
    log::info!(target: "start", vm:% = node.me(), zone:% = node.settings.zone,
        listen:% = listen, rpc:% = rpc_address, health:% = health_listen,
        metrics:% = metrics_listen, store:% = node.settings.store,
        version = env!("CARGO_PKG_VERSION"); "serving");
    tokio::spawn(catalog::follow(Arc::clone(&node)));
    let role = tokio::spawn(role::run(Arc::clone(&node)));
    tokio::spawn(serve_plain(health, health::health_router(&node)));
    tokio::spawn(serve_plain(metrics, health::metrics_router(&node)));
    tokio::spawn(reload(Arc::clone(&node)));

    let stop = stop_asked(Arc::clone(&node));
    let server = viz::Server::with_builder(callers, callers::router(&node), builder()).signal(stop);
    let serving = tokio::spawn(server.into_future());
    let result = drain(&node, serving).await;
    // The role was given up when the stop was asked for.
    role.abort();
    let _ = rpc.stop();
    log::info!(target: "stop", vm:% = node.me(); "stopped");
    result
}

async fn bind(
    address: SocketAddr,
    flag: &'static str,
) -> Result<(NoDelayListener, SocketAddr), RunError> {
    let listener = TcpListener::bind(address).await.map_err(system(flag))?;
    let bound = listener.local_addr().map_err(system(flag))?;
    Ok((NoDelayListener(listener), bound))
}

fn builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    builder
}

async fn serve_plain(listener: NoDelayListener, router: viz::Router) {
    let server = viz::Server::with_builder(listener, router, builder());
    if let Err(error) = server.into_future().await {
        log::error!(target: "start", error:% = error; "an address is not served any more");
    }
}

/// Says that settings were asked to be read again; they are flags, which only a start reads.
async fn reload(node: Arc<Node>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        log::error!(target: "reload", "hang-ups can't be received");
        return;
    };
    while hangups.recv().await.is_some() {
        log::info!(target: "reload", vm:% = node.me();
            "settings are flags and environment: they hold until the next start");
    }
}

/// Ends once a stop was asked for and the balancer has had time to notice.
async fn stop_asked(node: Arc<Node>) {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        log::error!(target: "stop", vm:% = node.me(); "signals can't be received");
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!(target: "stop", vm:% = node.me(),
        delay_ms = crate::clock::millis(node.settings.drain_delay);
        "a stop was asked for: not ready from now on, calls are still taken");
    node.leaving.send_replace(true);
    tokio::time::sleep(node.settings.drain_delay).await;
}

/// Waits for the server to finish what is in flight, up to the limit.
async fn drain(
    node: &Arc<Node>,
    mut served: tokio::task::JoinHandle<std::io::Result<()>>,
) -> Result<(), RunError> {
    let mut leaving = node.leaving.subscribe();
    let limit = async {
        let _ = leaving.wait_for(|leaving| *leaving).await;
        tokio::time::sleep(node.settings.drain_delay + node.settings.drain_limit).await;
    };
    tokio::select! {
        ended = &mut served => match ended {
            Ok(result) => result.map_err(system("serving")),
            Err(error) => Err(RunError::System("serving", std::io::Error::other(error))),
        },
        () = limit => Ok(()),
    }
}
