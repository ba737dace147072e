//! Tracks whether the shared store serves this daemon, from the results of its calls.

use std::sync::Mutex;
use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_ports::StoreFault;
use tokio::sync::Notify;

use crate::daemon::lock;

#[derive(Debug, Default)]
struct State {
    /// Since when all calls have failed, if the last one did.
    failing_since: Option<Timestamp>,
    /// When a call to the store last completed, successfully or not.
    last_result_at: Option<Timestamp>,
    /// When the open ping was sent, if there is one.
    ping_sent_at: Option<Timestamp>,
}

/// The state of the store as seen by this daemon's calls.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    /// How long calls must have failed without a success before callers' requests fail fast.
    fail_fast_after: Duration,
    /// Longest time that a ping may go without an answer.
    ping_timeout: Duration,
    state: Mutex<State>,
    recovered: Notify,
}

impl StoreHealth {
    pub(crate) fn new(fail_fast_after: Duration, ping_timeout: Duration) -> Self {
        Self {
            fail_fast_after,
            ping_timeout,
            state: Mutex::default(),
            recovered: Notify::new(),
        }
    }

    /// Waits until the store recovers from an outage during which requests failed fast.
    ///
    /// Calls made before the recovery may hang on a dead connection until their own timeout, while
    /// new calls are answered.
    pub(crate) async fn wait_for_recovery(&self) {
        self.recovered.notified().await;
    }

    /// Records the result of a call.
    pub(crate) fn record_result<T>(&self, result: &Result<T, StoreFault>, now: Timestamp) {
        let outage = result.as_ref().err().is_some_and(StoreFault::is_outage);
        let mut state = lock(&self.state);
        state.last_result_at = Some(now);
        if !outage {
            state.ping_sent_at = None;
            if let Some(since) = state.failing_since.take() {
                if now - since >= self.fail_fast_after {
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
            state.failing_since = Some(state.ping_sent_at.unwrap_or(now));
        }
    }

    /// Records that a ping is sent, unless one is already open.
    pub(crate) fn begin_ping(&self, now: Timestamp) {
        lock(&self.state).ping_sent_at.get_or_insert(now);
    }

    /// Records that the open ping was given up without an answer.
    pub(crate) fn abandon_ping(&self) {
        lock(&self.state).ping_sent_at = None;
    }

    /// Returns whether no call has completed for `quiet_for`, so that a ping should be sent.
    pub(crate) fn is_quiet(&self, now: Timestamp, quiet_for: Duration) -> bool {
        let last_result_at = lock(&self.state).last_result_at;
        last_result_at.is_none_or(|at| now - at >= quiet_for)
    }

    /// Returns whether the store has failed for a while or leaves a ping unanswered.
    ///
    /// Callers' requests then fail without a call to the store. The tasks that follow the
    /// configuration and the role keep calling it and so detect the recovery.
    pub(crate) fn should_fail_fast(&self, now: Timestamp) -> bool {
        let state = lock(&self.state);
        let is_longer_than =
            |since: Option<Timestamp>, span| since.is_some_and(|at| now - at >= span);
        is_longer_than(state.failing_since, self.fail_fast_after)
            || is_longer_than(state.ping_sent_at, self.ping_timeout)
    }

    /// Returns whether the store serves this daemon, however slowly.
    pub(crate) fn serves(&self, now: Timestamp) -> bool {
        !self.may_be_down(now)
    }

    /// Returns whether the last call to the store failed or a ping is overdue.
    pub(crate) fn may_be_down(&self, now: Timestamp) -> bool {
        self.is_failing() || self.should_fail_fast(now)
    }

    /// Returns whether all calls have failed for at least `span`.
    pub(crate) fn has_failed_for(&self, span: Duration, now: Timestamp) -> bool {
        let failing_since = lock(&self.state).failing_since;
        failing_since.is_some_and(|since| now - since >= span)
    }

    /// Returns whether the last call failed because the store did not serve it.
    pub(crate) fn is_failing(&self) -> bool {
        lock(&self.state).failing_since.is_some()
    }
}
