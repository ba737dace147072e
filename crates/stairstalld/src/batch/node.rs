//! State shared by the parts of one daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::batch::{
    Catalog, LeaseEnds, Now, PeerAddress, PeerTable, Planner, RecentLateness, Strength,
    UnstoredTasks,
};
use stairstall_core::claim::Mark;
use stairstall_core::{Timestamp, VmId};
use stairstall_ports::{Adviser, Dialect, Item, Revision, SharedStore, StoreFault, WorkerCalls};
use tokio::sync::watch;

use super::known_catalog::{CatalogConfirmation, KnownCatalog};
use super::load::LoadCache;
use super::refusals::Refusals;
use super::role;
use super::rpc::PeerClients;
use super::settings::BatchSettings;
use super::store_health::StoreHealth;
use super::telemetry::Telemetry;
use super::tenure::Tenure;
use crate::background::{EndedTask, TaskOwner};
use crate::clock::{Clock, unix_millis};
use crate::daemon::lock;
use crate::intake::Intake;

/// Slowest link, in megabits per second, on which two listings are read concurrently. At this rate
/// the TCP windows of two connections, about 130 kB, are transferred in 0.1 s, well below the time
/// allowed for a lease renewal.
const CONCURRENT_LISTING_MIN_MBPS: u32 = 10;

/// Timeout for reading one page of a listing, which may be 1 MB over a slow link.
pub(crate) const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait of a watch of a key that seldom changes. It may be long because nothing relies on the
/// watch alone: its connection may become silent. It is shorter than stores keep their history.
pub(crate) const IDLE_WATCH_WAIT: Duration = Duration::from_secs(15);

/// The holder of the planner role, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannerRecord {
    /// The VM of the planner.
    pub(crate) vm: VmId,
    /// Address for RPC calls from other daemons, as `IP:PORT`.
    pub(crate) rpc: String,
    /// The fencing token: the number of tenures so far.
    pub(crate) token: u64,
    /// Identifies the write, so that a daemon whose write got no answer recognizes it in the store.
    pub(crate) mark: Mark,
}

impl PlannerRecord {
    /// Returns whether the token is one that tenures count up to. A record with another one names
    /// no planner: no later planner could supersede it.
    pub(crate) const fn is_plausible(&self) -> bool {
        self.token < Planner::MAX_TOKEN
    }
}

/// Offers the role of a planner to another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoleOffer {
    /// The record of the planner.
    pub(crate) record: PlannerRecord,
    /// Revision of the write by which the planner acquired the role.
    pub(crate) revision: u64,
    /// The highest capacity shortfall, in percent, with which a daemon should accept, if it has been
    /// running for a while and is not late. Absent if any daemon should accept, since the planner is
    /// leaving and nobody else wants the role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) max_shortfall_percent: Option<u32>,
}

/// Shared state of one daemon.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: BatchSettings,
    pub(crate) clock: Clock,
    pub(crate) store: Arc<dyn SharedStore>,
    pub(crate) store_health: StoreHealth,
    /// How current the configuration in `catalog` is.
    pub(crate) known_catalog: KnownCatalog,
    pub(crate) workers: Arc<dyn WorkerCalls>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) adviser: Option<Arc<dyn Adviser>>,
    pub(crate) peer_clients: PeerClients,
    /// The other daemons that this one knows.
    pub(crate) peer_table: Mutex<PeerTable>,
    /// How late this process has been in the last seconds.
    pub(crate) lateness: Mutex<RecentLateness>,
    /// The latest summary of the fleet's load.
    pub(crate) load: LoadCache,
    /// The lease of refusal records, and the retry times given to refused callers.
    pub(crate) refusals: Refusals,
    pub(crate) telemetry: Telemetry,
    /// What callers hold.
    pub(crate) intake: Arc<Intake>,
    pub(crate) catalog: watch::Sender<Option<Arc<Catalog>>>,
    /// The latest known planner.
    pub(crate) planner: watch::Sender<Option<PlannerRecord>>,
    /// The offer of a planner to hand its role to this daemon.
    pub(crate) offer: watch::Sender<Option<RoleOffer>>,
    /// Tasks that were done at the end of this daemon's last tenure although that may not be stored.
    pub(crate) unstored_tasks: Mutex<Vec<UnstoredTasks>>,
    /// Until when runs may go on that were started up to the end of this daemon's last tenure, or up
    /// to the one before it if that tenure lasts.
    pub(crate) lease_ends: Mutex<LeaseEnds>,
    /// The tenure of this daemon, while it holds the planner role.
    tenure: Mutex<Option<Arc<Tenure>>>,
    pub(crate) leaving: watch::Sender<bool>,
    rpc_address: OnceLock<SocketAddr>,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    instance: u64,
    /// Number of marks created so far.
    serial: AtomicU64,
}

impl TaskOwner for Node {
    fn task_ended(&self, ended: EndedTask) {
        self.telemetry.task_ended(ended.name);
    }

    fn is_over(&self) -> bool {
        self.is_leaving()
    }
}

impl Node {
    pub(crate) fn new(
        settings: BatchSettings,
        store: Arc<dyn SharedStore>,
        workers: Arc<dyn WorkerCalls>,
        dialect: Arc<dyn Dialect>,
        adviser: Option<Arc<dyn Adviser>>,
    ) -> Self {
        Self {
            clock: Clock::new(),
            store,
            known_catalog: KnownCatalog::default(),
            store_health: StoreHealth::new(
                settings.policy.acceptance.silent_after,
                settings.policy.peers.silent_after,
            ),
            workers,
            dialect,
            adviser,
            peer_clients: PeerClients::new(settings.policy.acceptance.peer_timeout),
            peer_table: Mutex::new(PeerTable::new(settings.zone.clone(), settings.policy.peers)),
            lateness: Mutex::new(RecentLateness::new(settings.policy.role.late_from)),
            load: LoadCache::new(&settings.policy.admission),
            refusals: Refusals::new(&settings.policy.admission),
            telemetry: Telemetry::new(),
            intake: Intake::new(settings.intake),
            catalog: watch::channel(None).0,
            planner: watch::channel(None).0,
            offer: watch::channel(None).0,
            unstored_tasks: Mutex::default(),
            lease_ends: Mutex::default(),
            tenure: Mutex::new(None),
            leaving: watch::channel(false).0,
            rpc_address: OnceLock::new(),
            instance: rand::random(),
            serial: AtomicU64::new(0),
            settings,
        }
    }

    /// Reads two listings. On a fast link they are read concurrently, so that a slow store adds its
    /// latency once. On a slow link they are read one after the other, so that renewals of the
    /// planner's lease don't queue behind both.
    pub(crate) async fn read_both<A, B>(
        &self,
        first: impl Future<Output = Result<A, StoreFault>>,
        second: impl Future<Output = Result<B, StoreFault>>,
    ) -> Result<(A, B), StoreFault> {
        if self.settings.link_mbps >= CONCURRENT_LISTING_MIN_MBPS {
            futures::try_join!(first, second)
        } else {
            Ok((first.await?, second.await?))
        }
    }

    pub(crate) const fn vm(&self) -> &VmId {
        &self.settings.vm
    }

    /// Sets the address on which this daemon listens for other daemons.
    pub(crate) fn set_rpc_address(&self, address: SocketAddr) {
        // Called once, before any task starts.
        let _ = self.rpc_address.set(address);
    }

    /// Returns the address at which other daemons reach this one.
    pub(crate) fn rpc_address(&self) -> SocketAddr {
        let listens_on = self.rpc_address.get();
        let advertised = self.settings.rpc_advertise.as_ref();
        *advertised
            .or(listens_on)
            .unwrap_or(&self.settings.rpc_listen)
    }

    /// Returns the entry of this daemon for the peer tables of other daemons.
    pub(crate) fn peer_address(&self) -> PeerAddress {
        PeerAddress {
            vm: self.vm().clone(),
            zone: self.settings.zone.clone(),
            rpc: self.rpc_address().to_string(),
            capacity_shortfall_percent: role::capacity_shortfall_percent(&self.settings),
        }
    }

    /// Returns how well this daemon can hold the planner role.
    pub(crate) fn strength(&self) -> Strength {
        Strength {
            capacity_shortfall_percent: role::capacity_shortfall_percent(&self.settings),
            is_late: lock(&self.lateness).is_mostly_late(),
        }
    }

    /// Records that a peer did not answer. Its connections are dropped, since the other end may
    /// have disappeared without closing them.
    pub(crate) fn peer_failed(&self, rpc: &str) {
        self.peer_clients.drop_client(rpc);
        if self
            .remote_planner()
            .is_some_and(|planner| planner.rpc == rpc)
        {
            self.peer_clients.report_planner_failure();
        }
        lock(&self.peer_table).record_failure(rpc);
    }

    /// Returns whether neither the store nor any peer can take work from this daemon.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        self.store_health.should_fail_fast(now) && lock(&self.peer_table).is_cut_off(now)
    }

    /// Returns whether callers should use this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        let is_cut_off = self.settings.policy.peers.unready_when_cut_off && self.is_cut_off();
        !self.is_leaving() && self.current_catalog().is_some() && !is_cut_off
    }

    pub(crate) fn now(&self) -> Now {
        Now::new(self.clock.now(), unix_millis())
    }

    pub(crate) fn current_catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns the version of the configuration, or 0 if none is known.
    pub(crate) fn catalog_version(&self) -> u64 {
        let catalog = self.catalog.borrow();
        catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Returns what to tell a peer of how current the configuration is.
    pub(crate) fn catalog_confirmation(&self) -> Option<CatalogConfirmation> {
        // The age is read first: a version that is activated in between is newer than it says.
        let age = self.known_catalog.age(self.clock.now())?;
        Some(CatalogConfirmation {
            version: self.catalog_version(),
            age_ms: crate::clock::millis(age),
        })
    }

    /// Records what a peer said of its configuration in its answer to a request sent at `sent_at`.
    pub(crate) fn record_catalog_confirmation(
        &self,
        confirmation: Option<CatalogConfirmation>,
        sent_at: Timestamp,
    ) {
        if let Some(confirmation) = confirmation {
            self.known_catalog
                .record_confirmation(confirmation, self.catalog_version(), sent_at);
        }
    }

    /// Returns whether the configuration was known to be the newest so recently that callers may be
    /// refused, and their jobs accepted, by it.
    pub(crate) fn is_catalog_current(&self) -> bool {
        let max_age = self.settings.bounds.max_configuration_age();
        self.known_catalog.is_within(max_age, self.clock.now())
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns the tenure of this daemon while it holds the planner role. A tenure that a panic made
    /// unusable is not returned.
    pub(crate) fn tenure(&self) -> Option<Arc<Tenure>> {
        let tenure = lock(&self.tenure).clone();
        tenure.filter(|tenure| !tenure.is_poisoned())
    }

    /// Returns whether this daemon holds the planner role, even if it can't plan any more.
    pub(crate) fn holds_role(&self) -> bool {
        lock(&self.tenure).is_some()
    }

    pub(crate) fn set_tenure(&self, tenure: Option<Arc<Tenure>>) {
        *lock(&self.tenure) = tenure;
    }

    /// Returns the planner if it is another daemon.
    pub(crate) fn remote_planner(&self) -> Option<PlannerRecord> {
        self.planner
            .borrow()
            .clone()
            .filter(|record| record.vm != *self.vm())
    }

    /// Returns a mark that is unique among all writes of all daemons.
    pub(crate) fn next_mark(&self) -> Mark {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Mark::new(self.vm().clone(), self.instance, serial)
    }

    /// Makes a call to the store and records its outcome and latency.
    pub(crate) async fn store_call<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let started = self.clock.now();
        let result = call.await;
        let now = self.clock.now();
        self.store_health.record_result(&result, now);
        let outcome = match &result {
            Ok(_) => "ok",
            Err(fault) if fault.is_outage() => "outage",
            Err(_) => "refused",
        };
        let took = now - started;
        log::debug!(target: "store", kind, outcome, ms = crate::clock::millis(took); "");
        self.telemetry.store_call(kind, outcome, took);
        result
    }

    /// Reads a key within `timeout`, together with the store's revision from which a watch can
    /// continue.
    pub(crate) async fn read_at(
        &self,
        kind: &'static str,
        key: &str,
        timeout: Duration,
    ) -> Result<(Option<Item>, Revision), StoreFault> {
        let range = self.store.range(key, "", timeout);
        let page = self.store_call(kind, range).await?;
        let item = page.items.into_iter().find(|item| item.key == key);
        Ok((item, page.revision))
    }

    /// Reads all keys with a prefix, and the store's revision at the first page.
    pub(crate) async fn read_all(
        &self,
        kind: &'static str,
        prefix: &str,
    ) -> Result<(Vec<Item>, Revision), StoreFault> {
        let mut items: Vec<Item> = Vec::new();
        let mut at = None;
        loop {
            let after = items
                .last()
                .map_or_else(String::new, |item| item.key.clone());
            let range = self.store.range(prefix, &after, LIST_TIMEOUT);
            let page = self.store_call(kind, range).await?;
            at.get_or_insert(page.revision);
            let is_last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok((items, at.unwrap_or_default()));
            }
        }
    }

    /// Sleeps for about the given time after a failure, with 25 % of jitter.
    pub(crate) async fn back_off(&self, delay: Duration) {
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(delay.mul_f64(jitter)).await;
    }
}
