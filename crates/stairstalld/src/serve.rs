//! Starts the servers and background tasks of a daemon, and drains them on a stop.

use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::background::{RequiredTasks, spawn_kept};
use crate::daemon::Daemon;
use crate::dispatch::DISPATCH_INTERVAL;
use crate::metrics::Metrics;
use crate::server::Server;
use crate::settings::Settings;
use crate::shutdown::{self, DrainOutcome, Shutdown, Signals};
use crate::{api, follow, holder, peers};

/// Timeout for reading a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a stopping daemon checks whether requests are still in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the channel of queries to the placement role.
const QUERY_CAPACITY: usize = 64;

quick_error! {
    /// Why a daemon failed to start, or to stop with everything answered.
    #[derive(Debug)]
    pub enum RunError {
        /// A call to the operating system failed.
        System(what: &'static str, source: std::io::Error) {
            display("{what}: {source}")
            source(source)
        }
        /// The drain limit was reached with this many requests in flight.
        RequestsAborted(in_flight: usize) {
            display("stopped with {in_flight} requests in flight: the drain limit was reached")
        }
        /// A task without which the daemon can't go on has ended.
        TaskEnded(task: &'static str) {
            display("stopped because its task {task} has ended")
        }
        /// The drain limit was reached with calls still open.
        CallsAborted {
            display("stopped before all calls had their answers: the drain limit was reached")
        }
    }
}

/// Returns a function that wraps an operating system error with what failed.
pub(crate) fn system_error(what: &'static str) -> impl Fn(std::io::Error) -> RunError {
    move |source| RunError::System(what, source)
}

/// Runs a daemon until a signal requests a stop and all requests in flight have ended.
///
/// # Errors
///
/// Returns what failed at the start, or that requests were still in flight at the drain limit.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime
        .map_err(system_error("runtime"))?
        .block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let signals = Signals::install()?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(system_error("--listen"))?;
    let address = listener.local_addr().map_err(system_error("--listen"))?;
    let metrics = Metrics::new(settings.statsd).map_err(system_error("--statsd"))?;
    let (queries, inbox) = mpsc::channel(QUERY_CAPACITY);
    let daemon = Arc::new(Daemon::new(settings, address, metrics, queries));
    let (rpc_address, rpc) = peers::serve(Arc::clone(&daemon))
        .await
        .map_err(system_error("--rpc-listen"))?;
    log::info!(target: "start", vm:% = daemon.vm(), zone:% = daemon.settings.zone,
        listen:% = address, rpc:% = rpc_address; "serving");
    start_background(&daemon, inbox);
    let required = RequiredTasks::new(Arc::clone(&daemon) as _);
    required.spawn("rpc", rpc.clone().stopped());

    tokio::spawn(shutdown::log_hangup_signals(
        daemon.vm().clone(),
        signals.hangup,
    ));
    let shutdown = Shutdown {
        vm: daemon.vm().clone(),
        leaving: daemon.leaving.clone(),
        delay: daemon.settings.drain_delay,
        limit: daemon.settings.drain_limit,
        intake: Arc::clone(&daemon.intake),
    };
    let server = Server::new(
        listener,
        api::router(&daemon),
        HEAD_TIMEOUT,
        Arc::clone(&daemon.intake),
    )
    .run_until(shutdown.clone().stop_requested(signals.stop));
    let serving = tokio::spawn(server);
    let result = drain(&daemon, &shutdown, serving).await;
    let _ = rpc.stop();
    result?;
    required
        .ended()
        .map_or(Ok(()), |name| Err(RunError::TaskEnded(name)))
}

fn start_background(daemon: &Arc<Daemon>, inbox: mpsc::Receiver<holder::Query>) {
    spawn_kept(daemon, "vms", follow::follow_vms);
    spawn_kept(daemon, "configuration", follow::follow_configuration);
    spawn_kept(daemon, "heartbeats", peers::exchange_heartbeats);
    let inbox = Arc::new(tokio::sync::Mutex::new(inbox));
    spawn_kept(daemon, "holder", move |daemon| {
        let inbox = Arc::clone(&inbox);
        async move { holder::run(daemon, &mut *inbox.lock().await).await }
    });
    spawn_kept(daemon, "dispatch", |daemon| async move {
        loop {
            tokio::time::sleep(DISPATCH_INTERVAL).await;
            daemon.dispatcher.assign_free_slots();
        }
    });
}

/// Waits for the server to answer its open requests, up to the drain limit, and then for the
/// requests whose callers have disconnected. The latter end at their own deadlines.
async fn drain(
    daemon: &Daemon,
    shutdown: &Shutdown,
    serving: JoinHandle<()>,
) -> Result<(), RunError> {
    if shutdown.drain(serving).await? == DrainOutcome::TimedOut {
        return Err(RunError::RequestsAborted(daemon.dispatcher.in_flight()));
    }
    // Not-repeatable requests may still run although their callers have disconnected.
    while daemon.dispatcher.in_flight() > 0 {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    log::info!(target: "stop", vm:% = daemon.vm(); "stopped with no request in flight");
    Ok(())
}
