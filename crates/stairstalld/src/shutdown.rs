//! Signals, and a graceful stop.

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::VmId;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock::millis;
use crate::intake::Intake;
use crate::serve::{RunError, system_error};

/// How much longer than the limit calls may take that have arrived, or were answered, while the process
/// did not run.
const LIMIT_MARGIN: Duration = Duration::from_millis(300);

/// Number of requests that are named when they are open at the drain limit.
const LOGGED_REQUESTS: usize = 20;

/// The signals that a daemon handles. A signal whose handler is not installed ends the process, so
/// they are installed before the daemon listens.
#[derive(Debug)]
pub(crate) struct Signals {
    pub(crate) stop: StopSignals,
    pub(crate) hangup: Signal,
}

/// The signals that request a stop.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// Returns which handler could not be installed.
    pub(crate) fn install() -> Result<Self, RunError> {
        let install = |kind, name| signal(kind).map_err(system_error(name));
        Ok(Self {
            stop: StopSignals {
                terminate: install(SignalKind::terminate(), "handler for SIGTERM")?,
                interrupt: install(SignalKind::interrupt(), "handler for SIGINT")?,
            },
            hangup: install(SignalKind::hangup(), "handler for SIGHUP")?,
        })
    }
}

/// Settings and state of a daemon's stop.
#[derive(Debug, Clone)]
pub(crate) struct Shutdown {
    /// Name of this VM, for log lines.
    pub(crate) vm: VmId,
    /// Becomes true once a stop was requested.
    pub(crate) leaving: watch::Sender<bool>,
    /// How long new calls are still accepted after that, so that the load balancer can notice the
    /// failing health checks.
    pub(crate) delay: Duration,
    /// How long calls in flight may take after the delay.
    pub(crate) limit: Duration,
    /// What callers' connections are doing, for log lines.
    pub(crate) intake: Arc<Intake>,
}

/// Outcome of waiting for open calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainOutcome {
    /// All calls were answered.
    Completed,
    /// The limit was reached with calls still open.
    TimedOut,
}

impl Shutdown {
    /// Waits until a stop was requested and the load balancer has had time to notice.
    pub(crate) async fn stop_requested(self, mut signals: StopSignals) {
        tokio::select! {
            _ = signals.terminate.recv() => {}
            _ = signals.interrupt.recv() => {}
        }
        log::info!(target: "stop", vm:% = self.vm,
            delay_ms = millis(self.delay);
            "stop requested: health checks fail from now on, calls are still accepted");
        self.log_connections("connections as the stop is requested");
        self.leaving.send_replace(true);
        tokio::time::sleep(self.delay).await;
    }

    fn log_connections(&self, text: &str) {
        let summary = self.intake.summary();
        log::info!(target: "stop", vm:% = self.vm, open = summary.open,
            handling = summary.handling, reading_bodies = summary.reading_bodies,
            oldest_ms = millis(summary.oldest); "{text}");
    }

    /// Logs what is still open at the drain limit.
    fn log_open_requests(&self) {
        self.log_connections("the drain limit is reached");
        for request in self.intake.open_requests(LOGGED_REQUESTS) {
            log::warn!(target: "stop", vm:% = self.vm, caller:% = request.caller,
                phase = request.phase.as_str(), phase_ms = millis(request.phase_age);
                "a request without an answer at the drain limit");
        }
    }

    /// Waits for a server to answer the open calls, up to the limit.
    ///
    /// # Errors
    ///
    /// Returns why serving failed.
    pub(crate) async fn drain(&self, mut server: JoinHandle<()>) -> Result<DrainOutcome, RunError> {
        let mut leaving = self.leaving.subscribe();
        let limit = async {
            let _ = leaving.wait_for(|leaving| *leaving).await;
            tokio::time::sleep(self.delay + self.limit).await;
        };
        let ended = tokio::select! {
            ended = &mut server => ended,
            () = limit => {
                let Ok(ended) = tokio::time::timeout(LIMIT_MARGIN, server).await else {
                    self.log_open_requests();
                    return Ok(DrainOutcome::TimedOut);
                };
                ended
            }
        };
        let ended = ended.map_err(std::io::Error::other);
        ended
            .map(|()| DrainOutcome::Completed)
            .map_err(system_error("serving"))
    }
}

/// Logs on each SIGHUP that settings can't be reloaded, because they are flags and environment
/// variables.
pub(crate) async fn log_hangup_signals(vm: VmId, mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        log::info!(target: "reload", vm:% = vm;
            "settings are flags and environment variables: they hold until the next start");
    }
}
