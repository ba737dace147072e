//! What the parts of one daemon share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::VmId;
use stairstall_core::batch::{Catalog, Now, PeerAddress, PeerTable};
use stairstall_core::claim::Mark;
use stairstall_ports::{Adviser, Dialect, Item, Revision, SharedStore, StoreFault, WorkerCalls};
use tokio::sync::watch;

use super::load::HeldLoad;
use super::refusals::Refusals;
use super::role;
use super::rpc::Peers;
use super::settings::BatchSettings;
use super::store_health::StoreHealth;
use super::telemetry::Telemetry;
use super::tenure::Tenure;
use crate::clock::{Clock, unix_millis};
use crate::daemon::lock;

/// Link from which listings are read beside each other, in megabits a second: the windows of two
/// connections, some 130 kB, then take 0.1 s, well below a renewal's time.
const WIDE_LINK_MBPS: u32 = 10;

/// Longest wait for a page of a listing, which may be a megabyte over a slow link.
pub(crate) const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Who holds the planner's role, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlannerRecord {
    /// The daemon.
    pub(crate) vm: VmId,
    /// Where it answers other daemons, as `IP:PORT`.
    pub(crate) rpc: String,
    /// Counts tenures; the fencing token.
    pub(crate) token: u64,
    /// Names the write, so that a lost answer can be resolved.
    pub(crate) mark: Mark,
}

/// What a planner that leaves offers another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoleOffer {
    /// Its record.
    pub(crate) record: PlannerRecord,
    /// Revision of the write that took the role.
    pub(crate) revision: u64,
}

/// Shared state of one daemon.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) settings: BatchSettings,
    pub(crate) clock: Clock,
    pub(crate) store: Arc<dyn SharedStore>,
    pub(crate) store_health: StoreHealth,
    /// Whether the store has shown since the last failure that the configuration is the newest.
    pub(crate) catalog_confirmed: AtomicBool,
    pub(crate) workers: Arc<dyn WorkerCalls>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) adviser: Option<Arc<dyn Adviser>>,
    pub(crate) peers: Peers,
    /// What is known of other daemons.
    pub(crate) reach: Mutex<PeerTable>,
    /// What is known of the fleet's load.
    pub(crate) load: HeldLoad,
    /// What is kept of refusals.
    pub(crate) refusals: Refusals,
    pub(crate) telemetry: Telemetry,
    pub(crate) catalog: watch::Sender<Option<Arc<Catalog>>>,
    /// The planner that was last heard of.
    pub(crate) planner: watch::Sender<Option<PlannerRecord>>,
    /// A planner that leaves and offers its role to this daemon.
    pub(crate) offer: watch::Sender<Option<RoleOffer>>,
    /// This daemon's own tenure, while it holds the role.
    tenure: Mutex<Option<Arc<Tenure>>>,
    pub(crate) leaving: watch::Sender<bool>,
    rpc_address: OnceLock<SocketAddr>,
    instance: u64,
    serial: AtomicU64,
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
            catalog_confirmed: AtomicBool::new(false),
            store_health: StoreHealth::new(
                settings.policy.acceptance.silent_after,
                settings.policy.reach.silent_after,
            ),
            workers,
            dialect,
            adviser,
            peers: Peers::new(settings.policy.acceptance.peer_timeout),
            reach: Mutex::new(PeerTable::new(settings.zone.clone(), settings.policy.reach)),
            load: HeldLoad::new(&settings.policy.admission),
            refusals: Refusals::new(&settings.policy.admission),
            telemetry: Telemetry::new(),
            catalog: watch::channel(None).0,
            planner: watch::channel(None).0,
            offer: watch::channel(None).0,
            tenure: Mutex::new(None),
            leaving: watch::channel(false).0,
            rpc_address: OnceLock::new(),
            instance: rand::random(),
            serial: AtomicU64::new(0),
            settings,
        }
    }

    /// Reads two listings: beside each other where the link is wide, so that a slow store costs
    /// its delay once, and one after the other where it is narrow, so that the renewals of the
    /// planner's lease need not wait behind both.
    pub(crate) async fn listings<A, B>(
        &self,
        first: impl Future<Output = Result<A, StoreFault>>,
        second: impl Future<Output = Result<B, StoreFault>>,
    ) -> Result<(A, B), StoreFault> {
        if self.settings.link_mbps >= WIDE_LINK_MBPS {
            futures::try_join!(first, second)
        } else {
            Ok((first.await?, second.await?))
        }
    }

    pub(crate) const fn me(&self) -> &VmId {
        &self.settings.vm
    }

    /// Notes where other daemons reach this one.
    pub(crate) fn set_rpc_address(&self, address: SocketAddr) {
        // It is set once, before anything else starts.
        let _ = self.rpc_address.set(address);
    }

    /// Returns where other daemons reach this one.
    pub(crate) fn rpc_address(&self) -> SocketAddr {
        *self.rpc_address.get().unwrap_or(&self.settings.rpc_listen)
    }

    /// Returns how other daemons know this one.
    pub(crate) fn address(&self) -> PeerAddress {
        PeerAddress {
            vm: self.me().clone(),
            zone: self.settings.zone.clone(),
            rpc: self.rpc_address().to_string(),
            capacity_shortfall_percent: role::weakness_percent(&self.settings),
        }
    }

    /// Notes that a peer did not answer: its connections are dropped, since the other end may be
    /// dead without a word.
    pub(crate) fn peer_failed(&self, rpc: &str) {
        self.peers.drop_client(rpc);
        lock(&self.reach).record_failure(rpc);
    }

    /// Tells whether neither the store nor any peer can take work from this daemon.
    pub(crate) fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        self.store_health.holds_back(now) && lock(&self.reach).is_cut_off(now)
    }

    /// Tells whether callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        let is_cut_off = self.settings.policy.reach.says_cut_off && self.is_cut_off();
        !self.is_leaving() && self.current_catalog().is_some() && !is_cut_off
    }

    pub(crate) fn now(&self) -> Now {
        Now::new(self.clock.now(), unix_millis())
    }

    pub(crate) fn current_catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Tells whether the configuration is known to be the newest, so that callers may be refused by it.
    pub(crate) fn knows_newest_catalog(&self) -> bool {
        let is_confirmed = self.catalog_confirmed.load(Ordering::Acquire);
        is_confirmed && !self.store_health.holds_back(self.clock.now())
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Returns this daemon's tenure, while it holds the planner's role.
    pub(crate) fn tenure(&self) -> Option<Arc<Tenure>> {
        lock(&self.tenure).clone()
    }

    pub(crate) fn set_tenure(&self, tenure: Option<Arc<Tenure>>) {
        *lock(&self.tenure) = tenure;
    }

    /// Returns the planner where it is another daemon.
    pub(crate) fn other_planner(&self) -> Option<PlannerRecord> {
        self.planner
            .borrow()
            .clone()
            .filter(|record| record.vm != *self.me())
    }

    /// Returns a mark that no other write of any daemon carries.
    pub(crate) fn next_mark(&self) -> Mark {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Mark::new(self.me().clone(), self.instance, serial)
    }

    /// Carries out a call to the store, with its figures.
    pub(crate) async fn stored<T>(
        &self,
        kind: &'static str,
        call: impl Future<Output = Result<T, StoreFault>>,
    ) -> Result<T, StoreFault> {
        let started = self.clock.now();
        let result = call.await;
        let now = self.clock.now();
        self.store_health.note(&result, now);
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

    /// Reads a key within `timeout` together with the store's revision, from which a watch can go
    /// on.
    pub(crate) async fn read_at(
        &self,
        kind: &'static str,
        key: &str,
        timeout: Duration,
    ) -> Result<(Option<Item>, Revision), StoreFault> {
        let range = self.store.range(key, "", timeout);
        let page = self.stored(kind, range).await?;
        let item = page.items.into_iter().find(|item| item.key == key);
        Ok((item, page.at))
    }

    /// Reads all keys of a prefix; returns them with the revision of the first page.
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
            let page = self.stored(kind, range).await?;
            at.get_or_insert(page.at);
            let is_last = !page.more || page.items.is_empty();
            items.extend(page.items);
            if is_last {
                return Ok((items, at.unwrap_or_default()));
            }
        }
    }

    /// Pauses after a failure, a little differently each time.
    pub(crate) async fn pause(&self, about: Duration) {
        let spread = rand::random_range(0.75..1.25);
        tokio::time::sleep(about.mul_f64(spread)).await;
    }
}
