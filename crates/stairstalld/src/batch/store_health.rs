//! Tracks whether the shared store serves this daemon, from the results of its calls.

use std::sync::Mutex;
use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_ports::StoreFault;
use tokio::sync::Notify;

use crate::daemon::lock;

#[derive(Debug, Default)]
struct State {
    failing_since: Option<Timestamp>,
    /// When a call to the store last completed, successfully or not.
    heard_at: Option<Timestamp>,
    /// When the ping was sent that has no answer yet.
    asked_at: Option<Timestamp>,
}

/// The state of the store as seen by this daemon's calls.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    /// How long calls must have failed without a success before callers' requests fail fast.
    failing_for: Duration,
    /// Longest time that a ping may go without an answer.
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

    /// Waits until the store recovers from an outage during which requests failed fast.
    ///
    /// Calls made before the recovery may hang on a dead connection until their own timeout, while
    /// new calls are answered.
    pub(crate) async fn recovers(&self) {
        self.recovered.notified().await;
    }

    /// Records the result of a call.
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
                log::info!(target: "dependency", on = "store", failed_ms = ms; "store serves again");
            }
            return;
        }
        if state.failing_since.is_none() {
            let why = result
                .as_ref()
                .err()
                .map_or_else(String::new, ToString::to_string);
            log::warn!(target: "dependency", on = "store", why:% = why; "store does not serve");
            // If a ping is open, the outage began when the ping was sent.
            state.failing_since = Some(state.asked_at.unwrap_or(now));
        }
    }

    /// Records that a ping is sent, unless one is already open.
    pub(crate) fn begin_question(&self, now: Timestamp) {
        lock(&self.state).asked_at.get_or_insert(now);
    }

    /// Records that the open ping was given up without an answer.
    pub(crate) fn end_question(&self) {
        lock(&self.state).asked_at = None;
    }

    /// Returns whether no call has completed for `quiet_for`, so that it is time for a ping.
    pub(crate) fn is_quiet(&self, now: Timestamp, quiet_for: Duration) -> bool {
        let heard_at = lock(&self.state).heard_at;
        heard_at.is_none_or(|at| now - at >= quiet_for)
    }

    /// Returns whether the store has failed for a while or leaves a ping unanswered.
    ///
    /// Callers' requests then fail without a call to the store. The tasks that follow the
    /// configuration and the role keep calling it and so detect the recovery.
    pub(crate) fn holds_back(&self, now: Timestamp) -> bool {
        let state = lock(&self.state);
        let is_over = |since: Option<Timestamp>, span| since.is_some_and(|at| now - at >= span);
        is_over(state.failing_since, self.failing_for) || is_over(state.asked_at, self.silent_after)
    }

    /// Returns whether the store serves this daemon, slowly or not.
    pub(crate) fn serves(&self, now: Timestamp) -> bool {
        !self.is_in_doubt(now)
    }

    /// Returns whether the store is not known to serve this daemon at the moment.
    pub(crate) fn is_in_doubt(&self, now: Timestamp) -> bool {
        self.is_failing() || self.holds_back(now)
    }

    /// Returns whether the last call failed because the store did not serve it.
    pub(crate) fn is_failing(&self) -> bool {
        lock(&self.state).failing_since.is_some()
    }
}
