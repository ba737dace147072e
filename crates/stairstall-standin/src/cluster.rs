//! Daemons as real processes among stand-ins.

mod caller;
mod daemon;
mod plan;

use std::net::SocketAddr;
use std::time::Duration;

use stairstall_core::placement::Capacity;
use stairstall_core::protocol::{VmEntry, VmRole, VmState};
use tokio::time::Instant;

use crate::fixtures::named;
use crate::{Link, MinionStandin, StoreStandin, VmListStandin, WorkerStandin};
pub use caller::{Caller, CallerError, Reply};
pub use daemon::DaemonProcess;
pub use plan::ClusterPlan;

/// How long anything waited for may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// How often it is looked for.
const GLANCE: Duration = Duration::from_millis(20);

/// A minion in a cluster.
#[derive(Debug)]
pub struct ClusterMinion {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// The stand-in; none once killed.
    pub standin: Option<MinionStandin>,
}

/// A worker in a cluster.
#[derive(Debug)]
pub struct ClusterWorker {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// The stand-in; none once killed.
    pub standin: Option<WorkerStandin>,
    /// The way from the daemons to it.
    pub link: Link,
    rack: String,
    position: u16,
}

/// Daemons, a store, a VM list, minions and workers; dropping it kills every process.
#[derive(Debug)]
pub struct Cluster {
    /// What it was made from.
    pub plan: ClusterPlan,
    /// The platform's store.
    pub store: StoreStandin,
    /// The platform's list of VMs.
    pub vm_list: VmListStandin,
    /// Daemons, in order of zone; killed ones stay in place.
    pub daemons: Vec<DaemonProcess>,
    /// Minions.
    pub minions: Vec<ClusterMinion>,
    /// Workers.
    pub workers: Vec<ClusterWorker>,
    /// Makes calls.
    pub caller: Caller,
}

impl Cluster {
    /// Starts everything and waits until each zone has a placement holder.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub async fn start(plan: ClusterPlan) -> std::io::Result<Self> {
        let mut cluster = Self {
            store: StoreStandin::start().await?,
            vm_list: VmListStandin::start(plan.vm_list_lag).await?,
            daemons: Vec::new(),
            minions: Vec::new(),
            workers: Vec::new(),
            caller: Caller::new(),
            plan,
        };
        let zones = cluster.plan.zones.clone();
        for zone in &zones {
            for index in 0..cluster.plan.minions_per_zone {
                cluster
                    .add_minion(&format!("{zone}-minion-{index}"), zone)
                    .await?;
            }
            for index in 0..cluster.plan.workers_per_zone {
                cluster.add_worker(zone, index).await?;
            }
            for index in 0..cluster.plan.daemons_per_zone {
                cluster
                    .add_daemon(&format!("{zone}-vm-{index}"), zone)
                    .await?;
            }
        }
        cluster.wait_for_holders().await;
        Ok(cluster)
    }

    /// Starts a minion and lists it.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub async fn add_minion(&mut self, name: &str, zone: &str) -> std::io::Result<()> {
        let standin = MinionStandin::start(self.plan.slots).await?;
        let role = VmRole::Minion {
            service: named(&self.plan.service),
        };
        self.list(name, zone, standin.address(), role);
        let (name, zone) = (name.to_owned(), zone.to_owned());
        self.minions.push(ClusterMinion {
            name,
            zone,
            standin: Some(standin),
        });
        Ok(())
    }

    async fn add_worker(&mut self, zone: &str, index: u16) -> std::io::Result<()> {
        let name = format!("{zone}-worker-{index:03}");
        let rack = format!("{zone}-rack-{}", index / self.plan.workers_per_rack);
        let position = index % self.plan.workers_per_rack;
        let standin =
            WorkerStandin::start(u64::from(index) + 1, self.plan.capacity, self.plan.speed).await?;
        let link = Link::start(standin.address()).await?;
        let role = VmRole::Worker {
            rack: named(&rack),
            position,
        };
        self.list(&name, zone, link.address(), role);
        let zone = zone.to_owned();
        self.workers.push(ClusterWorker {
            name,
            zone,
            standin: Some(standin),
            link,
            rack,
            position,
        });
        Ok(())
    }

    /// Kills a worker and starts a new process in its place.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub async fn restart_worker(&mut self, index: usize, incarnation: u64) -> std::io::Result<()> {
        let (capacity, speed) = (self.plan.capacity, self.plan.speed);
        let standin = WorkerStandin::start(incarnation, capacity, speed).await?;
        let link = Link::start(standin.address()).await?;
        let worker = &mut self.workers[index];
        let role = VmRole::Worker {
            rack: named(&worker.rack),
            position: worker.position,
        };
        let (name, zone) = (worker.name.clone(), worker.zone.clone());
        worker.standin = Some(standin);
        worker.link = link;
        let address = self.workers[index].link.address();
        self.list(&name, &zone, address, role);
        Ok(())
    }

    /// Starts a daemon with a store link of its own and lists it.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub async fn add_daemon(&mut self, name: &str, zone: &str) -> std::io::Result<usize> {
        let store = Link::start(self.store.address()).await?;
        let daemon =
            DaemonProcess::start(&self.plan, name, zone, store, self.vm_list.address()).await?;
        self.list(
            name,
            zone,
            daemon.address(),
            VmRole::Entry {
                rpc: daemon.rpc_address(),
            },
        );
        self.daemons.push(daemon);
        Ok(self.daemons.len() - 1)
    }

    fn list(&self, name: &str, zone: &str, address: SocketAddr, role: VmRole) {
        let state = VmState::Live;
        self.vm_list.put(VmEntry {
            id: named(name),
            zone: named(zone),
            address,
            state,
            born_unix_ms: None,
            role,
        });
    }

    /// Returns the daemons of a zone that were not killed.
    #[must_use]
    pub fn daemons_of(&self, zone: &str) -> Vec<usize> {
        let of_zone = |d: &DaemonProcess| d.zone() == zone && d.is_running();
        (0..self.daemons.len())
            .filter(|i| of_zone(&self.daemons[*i]))
            .collect()
    }

    /// Returns the running daemon that holds placement in a zone.
    pub async fn holder_of(&self, zone: &str) -> Option<usize> {
        let mut best = None;
        for index in self.daemons_of(zone) {
            let status = self.caller.status(self.daemons[index].address()).await;
            let token = status.as_ref().and_then(|s| s["daemon"]["token"].as_u64());
            best = best.max(token.map(|token| (token, index)));
        }
        best.map(|(_, index)| index)
    }

    /// Waits until every zone has a holder that knows all of its workers.
    pub async fn wait_for_holders(&self) {
        for zone in self.plan.zones.clone() {
            let ready = async || {
                let Some(holder) = self.holder_of(&zone).await else {
                    return false;
                };
                let status = self.caller.status(self.daemons[holder].address()).await;
                let total =
                    status.and_then(|s| s["daemon"]["placement"]["total_accelerators"].as_u64());
                total == Some(u64::from(self.plan.accelerators_per_zone()))
            };
            wait_until(&format!("a holder of zone {zone}"), ready).await;
        }
    }

    /// Applies resources as one change and waits until every running daemon has it.
    ///
    /// # Panics
    ///
    /// Panics where the change is refused.
    pub async fn apply(&self, resources: &[serde_json::Value]) -> u64 {
        let operations: Vec<serde_json::Value> = resources
            .iter()
            .map(|r| serde_json::json!({"operation": "put", "resource": r}))
            .collect();
        let id = format!("change-{}", self.caller.next_number());
        let change = serde_json::json!({"id": id, "operations": operations});
        let first = self
            .daemons
            .iter()
            .find(|d| d.is_running())
            .map(DaemonProcess::address);
        let Some(first) = first else { return 0 };
        let started = Instant::now();
        let revision = loop {
            let reply = self.caller.post(first, "/v1/config", &change).await;
            let reply = reply.unwrap_or_else(|error| panic!("no answer: {error:?}"));
            let body = reply.json();
            if let Some(revision) = body["revision"].as_u64().filter(|_| reply.status == 200) {
                break revision;
            }
            // An operator comes back when it is told that that is worth it.
            let again = body["retry_after_ms"]
                .as_u64()
                .filter(|_| started.elapsed() < PATIENCE);
            let Some(after) = again else {
                panic!("the change is refused: {body}")
            };
            tokio::time::sleep(Duration::from_millis(after).min(GLANCE * 10)).await;
        };
        self.wait_for_revision(revision).await;
        revision
    }

    /// Waits until every running daemon has at least this revision in force.
    pub async fn wait_for_revision(&self, revision: u64) {
        for daemon in self.daemons.iter().filter(|d| d.is_running()) {
            let reached = async || {
                let status = self.caller.status(daemon.address()).await;
                status.and_then(|s| s["daemon"]["revision"].as_u64()) >= Some(revision)
            };
            wait_until(
                &format!("revision {revision} at {}", daemon.name()),
                reached,
            )
            .await;
        }
    }

    /// Waits until every daemon of every zone may use slots of its minions.
    pub async fn wait_for_slots(&self) {
        for daemon in self.daemons.iter().filter(|d| d.is_running()) {
            let free = async || {
                let status = self.caller.status(daemon.address()).await;
                let services = status.map(|s| s["daemon"]["services"].clone());
                let services = services
                    .and_then(|s| s.as_array().cloned())
                    .unwrap_or_default();
                services.iter().any(|s| s["free"].as_u64() > Some(0))
            };
            wait_until(&format!("slots at {}", daemon.name()), free).await;
        }
    }

    /// Returns every start of a task that any worker recorded, killed ones left out.
    #[must_use]
    pub fn starts(&self) -> Vec<crate::StartRecord> {
        let standins = self.workers.iter().filter_map(|w| w.standin.as_ref());
        standins.flat_map(WorkerStandin::starts).collect()
    }

    /// Returns the capacity of each worker.
    #[must_use]
    pub const fn capacity(&self) -> Capacity {
        self.plan.capacity
    }
}

/// Waits until `test` holds; panics with `what` if it never does.
///
/// # Panics
///
/// Panics after half a minute.
pub async fn wait_until(what: &str, test: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !test().await {
        assert!(started.elapsed() < PATIENCE, "waited in vain for {what}");
        tokio::time::sleep(GLANCE).await;
    }
}
