//! How current this daemon's copy of the configuration is, and up to where in the store's history it
//! was read.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::Timestamp;
use stairstall_core::batch::Freshness;
use stairstall_http::CallError;
use stairstall_ports::{Revision, StoreFault};
use tokio::sync::{Mutex as AsyncMutex, MutexGuard as AsyncMutexGuard, Notify};

use crate::daemon::lock;

/// What a daemon tells a peer of its own copy of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CatalogConfirmation {
    /// The version of the daemon's copy.
    pub(crate) version: u64,
    /// How long before its answer the copy was known to be the newest, in milliseconds.
    pub(crate) age_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Revision of the store from which changes are still to be read; `None` if the whole
    /// configuration has to be read.
    position: Option<Revision>,
    freshness: Freshness,
}

/// The state of this daemon's copy of the configuration.
#[derive(Debug, Default)]
pub(crate) struct KnownCatalog {
    state: Mutex<State>,
    /// Held while the store is asked to confirm the copy, so that all callers who need that share
    /// one request.
    confirming: AsyncMutex<()>,
    /// Wakes the task that follows the configuration if its open watch has missed a change.
    missed_change: Notify,
}

impl KnownCatalog {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Returns the revision from which changes are still to be read, or `None` if the whole
    /// configuration has to be read.
    pub(crate) fn position(&self) -> Option<Revision> {
        self.state().position
    }

    /// Returns how long ago the copy was known to be the newest, or `None` if it never was.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        self.state().freshness.age(now)
    }

    /// Returns whether the copy was known to be the newest at most `max_age` ago.
    pub(crate) fn is_within(&self, max_age: Duration, now: Timestamp) -> bool {
        self.state().freshness.is_within(max_age, now)
    }

    /// Records that the whole configuration was read by a request sent at `sent_at`.
    pub(crate) fn record_read(&self, at: Revision, sent_at: Timestamp) {
        let mut state = self.state();
        state.position = state.position.max(Some(at));
        state.freshness.confirm(sent_at);
    }

    /// Records that all changes up to `at` were read by a request sent at `sent_at`.
    pub(crate) fn record_changes(&self, at: Revision, sent_at: Timestamp) {
        let mut state = self.state();
        state.position = state.position.map(|known| known.max(at));
        state.freshness.confirm(sent_at);
    }

    /// Records a failed request for the configuration.
    ///
    /// A request that the store refused or answered too late says nothing about what is known. After
    /// any other failure the whole configuration is read again: the store cuts its watches when it
    /// drops the history, and a watch may have missed a change just before that.
    pub(crate) fn record_fault(&self, fault: &StoreFault) {
        let keeps_position = matches!(
            fault,
            StoreFault::Refused(_) | StoreFault::Call(CallError::TimedOut(_))
        );
        if !keeps_position {
            self.state().position = None;
        }
    }

    /// Records what a peer said in its answer to a request sent at `sent_at`, if the copy here, whose
    /// version is `version`, includes all that the peer knew. Otherwise wakes the task that follows
    /// the configuration.
    pub(crate) fn record_confirmation(
        &self,
        peer: CatalogConfirmation,
        version: u64,
        sent_at: Timestamp,
    ) {
        if version < peer.version {
            self.report_missed_change();
            return;
        }
        let age = Duration::from_millis(peer.age_ms);
        if let Some(confirmed_at) = sent_at.checked_sub(age) {
            self.state().freshness.confirm(confirmed_at);
        }
    }

    /// Waits for the turn to ask the store to confirm the copy.
    pub(crate) async fn confirming(&self) -> AsyncMutexGuard<'_, ()> {
        self.confirming.lock().await
    }

    /// Wakes the task that follows the configuration, whose open watch has missed a change.
    pub(crate) fn report_missed_change(&self) {
        self.missed_change.notify_waiters();
    }

    /// Waits until the open watch is known to have missed a change.
    pub(crate) async fn wait_for_missed_change(&self) {
        self.missed_change.notified().await;
    }
}
