//! Whether the shared store serves this daemon, as its own calls have shown.

use std::sync::Mutex;
use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_ports::StoreFault;

use crate::daemon::lock;

#[derive(Debug, Default)]
struct State {
    failing_since: Option<Timestamp>,
}

/// What calls have shown of the store.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    /// How long failures without a success have to go on before calls are held back.
    silent_after: Duration,
    state: Mutex<State>,
}

impl StoreHealth {
    pub(crate) fn new(silent_after: Duration) -> Self {
        Self {
            silent_after,
            state: Mutex::default(),
        }
    }

    /// Notes what became of a call.
    pub(crate) fn note<T>(&self, result: &Result<T, StoreFault>, now: Timestamp) {
        let outage = result.as_ref().err().is_some_and(StoreFault::is_outage);
        let mut state = lock(&self.state);
        if !outage {
            if let Some(since) = state.failing_since.take() {
                let ms = crate::clock::millis(now - since);
                log::info!(target: "dependency", on = "store", failed_ms = ms; "it serves again");
            }
            return;
        }
        if state.failing_since.is_none() {
            let why = result
                .as_ref()
                .err()
                .map_or_else(String::new, ToString::to_string);
            log::warn!(target: "dependency", on = "store", why:% = why; "it does not serve");
            state.failing_since = Some(now);
        }
    }

    /// Tells whether the store has failed for a while.
    ///
    /// Callers' calls are answered at once then; those that follow the
    /// configuration and the role find out when it serves again.
    pub(crate) fn holds_back(&self, now: Timestamp) -> bool {
        lock(&self.state)
            .failing_since
            .is_some_and(|since| now - since >= self.silent_after)
    }

    /// Tells whether the last call found the store not serving.
    pub(crate) fn is_failing(&self) -> bool {
        lock(&self.state).failing_since.is_some()
    }
}
