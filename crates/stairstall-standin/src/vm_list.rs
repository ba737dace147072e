use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::StatusCode;
use stairstall_core::protocol::{VmEntry, VmList, VmState};
use tokio::time::Instant;

use crate::server::{Server, answer};

/// A list as it will be from some time on.
#[derive(Debug, Clone)]
struct Version {
    visible_at: Instant,
    list: VmList,
}

/// The platform's list of VMs; changes show after a lag.
#[derive(Debug)]
pub struct VmListStandin {
    server: Server,
    versions: Arc<Mutex<Vec<Version>>>,
    /// Entries of any form as JSON text, as another writer may leave them.
    odd: Arc<Mutex<Vec<String>>>,
    lag: Duration,
    reads: Arc<Reads>,
}

/// How the list is read.
#[derive(Debug, Default)]
struct Reads {
    count: AtomicUsize,
    /// How long an answer takes, in milliseconds.
    delay_ms: AtomicU64,
}

impl VmListStandin {
    /// Starts a list that lags by `lag`.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn start(lag: Duration) -> std::io::Result<Self> {
        let first = Version {
            visible_at: Instant::now(),
            list: VmList::default(),
        };
        let versions = Arc::new(Mutex::new(vec![first]));
        let shown = Arc::clone(&versions);
        let odd = Arc::<Mutex<Vec<String>>>::default();
        let shown_odd = Arc::clone(&odd);
        let reads = Arc::<Reads>::default();
        let counted = Arc::clone(&reads);
        let server = Server::start(move |_| {
            let list = with_odd(&visible(&shown), &shown_odd);
            counted.count.fetch_add(1, Ordering::SeqCst);
            let delay = Duration::from_millis(counted.delay_ms.load(Ordering::SeqCst));
            Box::pin(async move {
                tokio::time::sleep(delay).await;
                Some(answer(StatusCode::OK, list))
            })
        });
        Ok(Self {
            server: server.await?,
            versions,
            odd,
            lag,
            reads,
        })
    }

    /// Makes each answer take so long from now on.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.reads.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Returns how often the list was read.
    #[must_use]
    pub fn reads(&self) -> usize {
        self.reads.count.load(Ordering::SeqCst)
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a VM or replaces the one of its name; shows at once.
    pub fn put(&self, vm: VmEntry) {
        self.change(Duration::ZERO, |list| {
            list.vms.retain(|other| other.id != vm.id);
            list.vms.push(vm);
        });
    }

    /// Lists an entry of any form, given as JSON text, before the others; shows at once.
    pub fn put_odd(&self, entry: &str) {
        let mut odd = self.odd.lock().unwrap_or_else(PoisonError::into_inner);
        odd.push(entry.to_owned());
    }

    /// Takes all entries of any form from the list; shows at once.
    pub fn remove_odd(&self) {
        let mut odd = self.odd.lock().unwrap_or_else(PoisonError::into_inner);
        odd.clear();
    }

    /// Says that a VM leaves; shows after the lag.
    pub fn set_leaving(&self, id: &str) {
        self.change(self.lag, |list| {
            for vm in list.vms.iter_mut().filter(|vm| vm.id.as_str() == id) {
                vm.state = VmState::Leaving;
            }
        });
    }

    /// Takes a VM from the list; shows after the lag.
    pub fn remove(&self, id: &str) {
        self.change(self.lag, |list| list.vms.retain(|vm| vm.id.as_str() != id));
    }

    fn change(&self, lag: Duration, change: impl FnOnce(&mut VmList)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut list = versions.last().map(|v| v.list.clone()).unwrap_or_default();
        change(&mut list);
        versions.push(Version {
            visible_at: Instant::now() + lag,
            list,
        });
    }
}

/// Returns the list as JSON text, with the entries of any form first.
fn with_odd(list: &VmList, odd: &Mutex<Vec<String>>) -> String {
    let odd = odd.lock().unwrap_or_else(PoisonError::into_inner);
    let mut entries = odd.clone();
    let typed = list.vms.iter().map(serde_json::to_string);
    entries.extend(typed.filter_map(Result::ok));
    format!("{{\"vms\":[{}]}}", entries.join(","))
}

fn visible(versions: &Mutex<Vec<Version>>) -> VmList {
    let now = Instant::now();
    let versions = versions.lock().unwrap_or_else(PoisonError::into_inner);
    let shown = versions.iter().rev().find(|v| v.visible_at <= now);
    shown.map(|v| v.list.clone()).unwrap_or_default()
}
