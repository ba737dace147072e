//! What the parts of one daemon share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use stairstall_core::admission::RetryBudget;
use stairstall_core::claim::Mark;
use stairstall_core::config::{Configuration, Follower};
use stairstall_core::membership::MemberTable;
use stairstall_core::protocol::{PlacementLoad, VmList};
use stairstall_core::{Timestamp, VmId};
use stairstall_http::HttpClient;
use stairstall_store::{Store, StoreError};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::dispatch::Dispatcher;
use crate::holder::Query;
use crate::metrics::Metrics;
use crate::retention::Retention;
use crate::settings::Settings;

/// How long a connection to a minion, worker or peer may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Unused connections kept to each minion, worker or peer.
const IDLE_CONNECTIONS: usize = 8;

/// The placement role as the rest of the daemon sees it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Role {
    /// Fencing token while the role is held.
    pub(crate) token: Option<u64>,
    /// Whether its lease is in force.
    pub(crate) confirmed: bool,
    /// What the zone could take on.
    pub(crate) load: PlacementLoad,
}

/// Shared state of one daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    pub(crate) http: HttpClient,
    pub(crate) metrics: Metrics,
    pub(crate) retention: Retention,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) follower: Mutex<Follower>,
    pub(crate) revision_changed: watch::Sender<u64>,
    pub(crate) vms: watch::Sender<Arc<VmList>>,
    pub(crate) role: Mutex<Role>,
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) holder: mpsc::Sender<Query>,
    pub(crate) leaving: watch::Sender<bool>,
    store_seen: Mutex<Option<Timestamp>>,
    store_failing: AtomicBool,
    instance: u64,
    serial: AtomicU64,
}

/// Locks a mutex; a panic elsewhere leaves plain data that is still whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Daemon {
    pub(crate) fn new(
        settings: Settings,
        address: SocketAddr,
        metrics: Metrics,
        holder: mpsc::Sender<Query>,
    ) -> Self {
        let clock = Clock::new();
        let store = Store::new(settings.store, settings.store_timeout);
        let dispatcher = Arc::new(Dispatcher::new(
            settings.vm.clone(),
            clock,
            settings.max_waiting,
        ));
        Self {
            address,
            clock,
            http: HttpClient::new(CONNECT_TIMEOUT, IDLE_CONNECTIONS),
            metrics,
            retention: Retention::new(store.clone(), clock),
            store,
            dispatcher,
            members: Mutex::new(MemberTable::new()),
            follower: Mutex::new(Follower::new()),
            revision_changed: watch::channel(0).0,
            vms: watch::channel(Arc::default()).0,
            role: Mutex::default(),
            retries: Mutex::default(),
            holder,
            leaving: watch::channel(false).0,
            store_seen: Mutex::new(None),
            store_failing: AtomicBool::new(false),
            instance: rand::random(),
            serial: AtomicU64::new(0),
            settings,
        }
    }

    pub(crate) const fn me(&self) -> &VmId {
        &self.settings.vm
    }

    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(lock(&self.follower).current())
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns a mark that no other write of any daemon carries.
    pub(crate) fn next_mark(&self) -> Mark {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Mark::new(self.me().clone(), self.instance, serial)
    }

    /// Notes whether the store answered, for those who act differently without it.
    pub(crate) fn note_store(&self, answered: bool) {
        if answered {
            *lock(&self.store_seen) = Some(self.clock.now());
        }
        let was_failing = self.store_failing.swap(!answered, Ordering::Relaxed);
        if was_failing == answered {
            let word = if answered {
                "answers"
            } else {
                "does not answer"
            };
            log::warn!(target: "store", answered; "the store {word}");
        }
    }

    /// Notes whether the store answered a call at all, be it with an error.
    pub(crate) fn note_answer<T>(&self, answer: &Result<T, StoreError>) {
        self.note_store(!matches!(answer, Err(StoreError::Call(_))));
    }

    /// Returns how long the store has not answered, while calls to it fail.
    pub(crate) fn store_silent_for(&self) -> Option<Duration> {
        if !self.store_failing.load(Ordering::Relaxed) {
            return None;
        }
        let seen = lock(&self.store_seen).unwrap_or_default();
        Some(self.clock.now() - seen)
    }

    /// Returns the free slots of live daemons in other zones, by where they listen.
    pub(crate) fn other_zones(&self) -> BTreeMap<VmId, stairstall_core::protocol::Heartbeat> {
        let now = self.clock.now();
        lock(&self.members)
            .live(now)
            .filter(|h| h.zone != self.settings.zone && !h.leaving)
            .map(|h| (h.daemon.clone(), h.clone()))
            .collect()
    }
}
