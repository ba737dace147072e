//! Starts the parts of a daemon and stops them without cutting anything off.

use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use quick_error::quick_error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::daemon::Daemon;
use crate::dispatch::DISPATCH_INTERVAL;
use crate::listener::NoDelayListener;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shutdown::{self, DrainOutcome, Shutdown};
use crate::{api, follow, holder, peers};

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a stopping daemon looks whether requests are still in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// Questions that wait for the placement role.
const QUERIES: usize = 64;

quick_error! {
    /// Why a daemon ended other than by a stop.
    #[derive(Debug)]
    pub enum RunError {
        /// Something of the operating system failed.
        System(what: &'static str, source: std::io::Error) {
            display("{what}: {source}")
            source(source)
        }
        /// Requests in flight took longer than allowed.
        RequestsAborted(in_flight: usize) {
            display("stopped with {in_flight} requests in flight: the drain limit was reached")
        }
        /// Calls took longer than allowed.
        CallsAborted {
            display("stopped before all calls had their answers: the drain limit was reached")
        }
    }
}

pub(crate) fn system_error(what: &'static str) -> impl Fn(std::io::Error) -> RunError {
    move |source| RunError::System(what, source)
}

/// Serves until a signal asks for a stop and everything in flight has ended.
///
/// # Errors
///
/// Returns what failed at the start, or that the drain limit cut requests off.
pub fn run(settings: Settings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    runtime
        .map_err(system_error("runtime"))?
        .block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(system_error("--listen"))?;
    let address = listener.local_addr().map_err(system_error("--listen"))?;
    let metrics = Metrics::new(settings.statsd).map_err(system_error("--statsd"))?;
    let (queries, inbox) = mpsc::channel(QUERIES);
    let daemon = Arc::new(Daemon::new(settings, address, metrics, queries));
    let (rpc_address, rpc) = peers::serve(Arc::clone(&daemon))
        .await
        .map_err(system_error("--rpc-listen"))?;
    log::info!(target: "start", vm:% = daemon.vm(), zone:% = daemon.settings.zone,
        listen:% = address, rpc:% = rpc_address; "serving");
    start_background(&daemon, inbox);

    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    tokio::spawn(shutdown::log_hangup_signals(daemon.vm().clone()));
    let shutdown = Shutdown {
        vm: daemon.vm().clone(),
        leaving: daemon.leaving.clone(),
        delay: daemon.settings.drain_delay,
        limit: daemon.settings.drain_limit,
    };
    let server =
        viz::Server::with_builder(NoDelayListener(listener), api::router(&daemon), builder)
            .signal(shutdown.clone().stop_requested());
    let serving = tokio::spawn(server.into_future());
    let result = drain(&daemon, &shutdown, serving).await;
    let _ = rpc.stop();
    result
}

fn start_background(daemon: &Arc<Daemon>, inbox: mpsc::Receiver<holder::Query>) {
    tokio::spawn(follow::follow_vms(Arc::clone(daemon)));
    tokio::spawn(follow::follow_configuration(Arc::clone(daemon)));
    tokio::spawn(peers::beat(Arc::clone(daemon)));
    tokio::spawn(holder::run(Arc::clone(daemon), inbox));
    let dispatching = Arc::clone(daemon);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(DISPATCH_INTERVAL).await;
            dispatching.dispatcher.assign_free_slots();
        }
    });
}

/// Waits for everything in flight to end, up to the limit.
async fn drain(
    daemon: &Daemon,
    shutdown: &Shutdown,
    serving: JoinHandle<std::io::Result<()>>,
) -> Result<(), RunError> {
    if shutdown.drain(serving).await? == DrainOutcome::TimedOut {
        return Err(RunError::RequestsAborted(daemon.dispatcher.in_flight()));
    }
    // Not-repeatable requests are seen to their end also after their callers left.
    while daemon.dispatcher.in_flight() > 0 {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    log::info!(target: "stop", vm:% = daemon.vm(); "nothing is in flight: stopped");
    Ok(())
}
