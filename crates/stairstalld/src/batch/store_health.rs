//! Whether the shared store serves this daemon, as its own calls have shown.

use std::sync::Mutex;
use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_ports::StoreFault;
use tokio::sync::Notify;

use crate::daemon::lock;

#[derive(Debug, Default)]
struct State {
    failing_since: Option<Timestamp>,
    /// When a call was last answered, or refused.
    heard_at: Option<Timestamp>,
    /// When a question whether it serves left that has no answer yet.
    asked_at: Option<Timestamp>,
}

/// What calls have shown of the store.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    /// How long failures without a success have to go on before calls are held back.
    failing_for: Duration,
    /// How long a question may be without an answer.
    silent_after: Duration,
    state: Mutex<State>,
    recovered: Notify,
}

impl StoreHealth {
    pub(crate) fn new(failing_for: Duration, silent_after: Duration) -> Self {
        Self {
            failing_for,
            silent_after,
            state: Mutex::default(),
            recovered: Notify::new(),
        }
    }

    /// Waits until the store serves again after calls were held back.
    ///
    /// What was asked before may hang on a connection that went silent, for as long as its own
    /// time-out, while new calls are answered.
    pub(crate) async fn recovers(&self) {
        self.recovered.notified().await;
    }

    /// Notes what became of a call.
    pub(crate) fn note<T>(&self, result: &Result<T, StoreFault>, now: Timestamp) {
        let outage = result.as_ref().err().is_some_and(StoreFault::is_outage);
        let mut state = lock(&self.state);
        state.heard_at = Some(now);
        if !outage {
            state.asked_at = None;
            if let Some(since) = state.failing_since.take() {
                if now - since >= self.failing_for {
                    self.recovered.notify_waiters();
                }
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
            // A question without an answer has told so since it left.
            state.failing_since = Some(state.asked_at.unwrap_or(now));
        }
    }

    /// Notes that a question whether it serves leaves, unless one is under way.
    pub(crate) fn begin_question(&self, now: Timestamp) {
        lock(&self.state).asked_at.get_or_insert(now);
    }

    /// Notes that the question was given up without an answer.
    pub(crate) fn end_question(&self) {
        lock(&self.state).asked_at = None;
    }

    /// Tells whether no call was answered for a while, so that it is time to ask.
    pub(crate) fn is_quiet(&self, now: Timestamp, quiet_for: Duration) -> bool {
        let heard_at = lock(&self.state).heard_at;
        heard_at.is_none_or(|at| now - at >= quiet_for)
    }

    /// Tells whether the store has failed for a while, or leaves a question without an answer.
    ///
    /// Callers' calls are answered at once then; those that follow the
    /// configuration and the role find out when it serves again.
    pub(crate) fn holds_back(&self, now: Timestamp) -> bool {
        let state = lock(&self.state);
        let is_over = |since: Option<Timestamp>, span| since.is_some_and(|at| now - at >= span);
        is_over(state.failing_since, self.failing_for) || is_over(state.asked_at, self.silent_after)
    }

    /// Tells whether the store serves this daemon, slowly or not.
    pub(crate) fn serves(&self, now: Timestamp) -> bool {
        !self.is_in_doubt(now)
    }

    /// Tells whether it is not known to serve at this moment.
    pub(crate) fn is_in_doubt(&self, now: Timestamp) -> bool {
        self.is_failing() || self.holds_back(now)
    }

    /// Tells whether the last call found the store not serving.
    pub(crate) fn is_failing(&self) -> bool {
        lock(&self.state).failing_since.is_some()
    }
}
