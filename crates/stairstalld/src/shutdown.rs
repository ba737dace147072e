//! Signals, and a stop that cuts nothing off.

use std::time::Duration;

use stairstall_core::VmId;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::serve::{RunError, system_error};

/// How a daemon stops.
#[derive(Debug, Clone)]
pub(crate) struct Shutdown {
    /// This VM, for the log.
    pub(crate) vm: VmId,
    /// Becomes true once a stop was asked for.
    pub(crate) leaving: watch::Sender<bool>,
    /// How long new calls are still taken after that: the balancer has to notice.
    pub(crate) delay: Duration,
    /// How long calls in flight may take after the delay.
    pub(crate) limit: Duration,
}

/// Whether a server finished what was in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainOutcome {
    /// Nothing was cut off.
    Completed,
    /// The limit was reached before.
    TimedOut,
}

impl Shutdown {
    /// Ends once a stop was asked for and the balancer has had time to notice.
    pub(crate) async fn stop_requested(self) {
        let (Ok(mut terminate), Ok(mut interrupt)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        ) else {
            log::error!(target: "stop", vm:% = self.vm; "signals can't be received");
            return std::future::pending().await;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!(target: "stop", vm:% = self.vm,
            delay_ms = crate::clock::millis(self.delay);
            "a stop was asked for: health fails from now on, calls are still taken");
        self.leaving.send_replace(true);
        tokio::time::sleep(self.delay).await;
    }

    /// Waits for a server to finish what is in flight, up to the limit.
    ///
    /// # Errors
    ///
    /// Returns why serving failed.
    pub(crate) async fn drain(
        &self,
        mut served: JoinHandle<std::io::Result<()>>,
    ) -> Result<DrainOutcome, RunError> {
        let mut leaving = self.leaving.subscribe();
        let limit = async {
            let _ = leaving.wait_for(|leaving| *leaving).await;
            tokio::time::sleep(self.delay + self.limit).await;
        };
        tokio::select! {
            ended = &mut served => match ended {
                Ok(result) => result.map(|()| DrainOutcome::Completed).map_err(system_error("serving")),
                Err(error) => Err(RunError::System("serving", std::io::Error::other(error))),
            },
            () = limit => Ok(DrainOutcome::TimedOut),
        }
    }
}

/// Says of each hang-up that settings hold until the next start: they are flags and environment.
pub(crate) async fn log_hangup_signals(vm: VmId) {
    let Ok(mut hang_ups) = signal(SignalKind::hangup()) else {
        log::error!(target: "reload", "hang-ups can't be received");
        return;
    };
    while hang_ups.recv().await.is_some() {
        log::info!(target: "reload", vm:% = vm;
            "settings are flags and environment: they hold until the next start");
    }
}
