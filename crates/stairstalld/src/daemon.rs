//! State that the modules of one daemon share.

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

use crate::background::{EndedTask, TaskOwner};
use crate::clock::Clock;
use crate::dispatch::Dispatcher;
use crate::holder::Query;
use crate::intake::Intake;
use crate::metrics::Metrics;
use crate::retention::Retention;
use crate::settings::Settings;

/// Timeout for opening a connection to a minion, worker or peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to each minion, worker or peer.
const IDLE_CONNECTIONS: usize = 8;

/// State of this daemon's placement role, published by its tenure.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Role {
    /// Fencing token while the role is held.
    pub(crate) token: Option<u64>,
    /// Whether the role's lease is valid.
    pub(crate) confirmed: bool,
    /// Free capacity and load of the zone.
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
    /// What callers hold.
    pub(crate) intake: Arc<Intake>,
    /// Sends queries to this daemon's placement role.
    pub(crate) holder_queries: mpsc::Sender<Query>,
    /// True once the daemon was asked to stop.
    pub(crate) leaving: watch::Sender<bool>,
    /// When the store last answered.
    store_answered_at: Mutex<Option<Timestamp>>,
    store_failing: AtomicBool,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    instance: u64,
    /// Number of the next mark.
    serial: AtomicU64,
}

/// Locks a mutex, also after a panic in another task. For data that no change leaves inconsistent half
/// way: single values and entries of tables. A planner is not: see `batch::tenure`.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TaskOwner for Daemon {
    fn task_ended(&self, ended: EndedTask) {
        self.metrics.count(&format!("task.ended.{}", ended.name));
    }

    fn is_over(&self) -> bool {
        self.is_leaving()
    }
}

impl Daemon {
    pub(crate) fn new(
        settings: Settings,
        address: SocketAddr,
        metrics: Metrics,
        holder_queries: mpsc::Sender<Query>,
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
            intake: Intake::new(settings.intake),
            holder_queries,
            leaving: watch::channel(false).0,
            store_answered_at: Mutex::new(None),
            store_failing: AtomicBool::new(false),
            instance: rand::random(),
            serial: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the name of this daemon's VM.
    pub(crate) const fn vm(&self) -> &VmId {
        &self.settings.vm
    }

    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(lock(&self.follower).current())
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns a mark that is unique among all writes of all daemons.
    pub(crate) fn next_mark(&self) -> Mark {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Mark::new(self.vm().clone(), self.instance, serial)
    }

    /// Records whether the store answered, for [`store_silent_for`](Self::store_silent_for), and
    /// logs a change.
    pub(crate) fn record_store_answer(&self, answered: bool) {
        if answered {
            *lock(&self.store_answered_at) = Some(self.clock.now());
        }
        let was_failing = self.store_failing.swap(!answered, Ordering::Relaxed);
        if was_failing == answered {
            let state = if answered {
                "answers"
            } else {
                "does not answer"
            };
            log::warn!(target: "store", answered; "the store {state}");
        }
    }

    /// Records whether the store answered a call, even with an error.
    pub(crate) fn record_store_result<T>(&self, result: &Result<T, StoreError>) {
        self.record_store_answer(!matches!(result, Err(StoreError::Call(_))));
    }

    /// Returns how long the store has not answered; none while calls to it succeed.
    pub(crate) fn store_silent_for(&self) -> Option<Duration> {
        if !self.store_failing.load(Ordering::Relaxed) {
            return None;
        }
        let answered_at = lock(&self.store_answered_at).unwrap_or_default();
        Some(self.clock.now() - answered_at)
    }

    /// Returns the last heartbeats of live daemons in other zones that are not leaving.
    pub(crate) fn other_zones(&self) -> BTreeMap<VmId, stairstall_core::protocol::Heartbeat> {
        let now = self.clock.now();
        lock(&self.members)
            .live(now)
            .filter(|h| h.zone != self.settings.zone && !h.leaving)
            .map(|h| (h.daemon.clone(), h.clone()))
            .collect()
    }
}
