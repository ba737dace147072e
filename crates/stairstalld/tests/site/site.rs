//! The site: unequal VMs in three zones, and its workers.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{Value, json};
use stairstall_platform_standin::{Capacity, Deployment, StandinStore, StandinWorkers};

use crate::cluster::Daemon;
use crate::jobs::KINDS;
use crate::processor_limit;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const CUSTOMERS: usize = 10;
const WORKERS: usize = 350;
const RACK: usize = 12;
/// Share of the accelerators that customers are guaranteed, in percent.
const GUARANTEED_PERCENT: usize = 62;
const STRONG_PER_ZONE: usize = 2;
const SMALL_PER_ZONE: usize = 10;

/// A kind of VM.
#[derive(Debug, Clone, Copy)]
struct Vm {
    core_percent: u32,
    memory_mb: u32,
    open_files: u32,
    link_mbps: u32,
}

const STRONG: Vm = Vm {
    core_percent: 50,
    memory_mb: 512,
    open_files: 8_192,
    link_mbps: 200,
};
const SMALL: Vm = Vm {
    core_percent: 12,
    memory_mb: 160,
    open_files: 4_100,
    link_mbps: 10,
};

pub struct Site {
    _store: StandinStore,
    pub workers: Arc<StandinWorkers>,
    pub daemons: Vec<Daemon>,
}

pub fn racks() -> usize {
    WORKERS.div_ceil(RACK)
}

pub fn key(customer: usize) -> String {
    format!("key-{customer}")
}

fn configuration() -> Value {
    let routes = KINDS.iter().map(|kind| {
        json!({"name": kind.name, "host": "jobs.example", "pathPrefix": format!("/{}/", kind.name),
            "timeoutMs": 3000, "targetLatencyMs": kind.objective_ms, "priority": kind.priority,
            "service": "desk", "attempts": kind.attempts, "stretch": kind.stretch})
    });
    let routes: Vec<Value> = routes.collect();
    let parts: usize = (1..=CUSTOMERS).sum();
    let guaranteed = WORKERS * 8 * GUARANTEED_PERCENT / 100;
    let tenants = (0..CUSTOMERS).map(|customer| {
        let gpu = guaranteed * (CUSTOMERS - customer) / parts;
        json!({"name": format!("customer-{customer}"), "apiKeys": [key(customer)], "guaranteed": {"gpu": gpu}})
    });
    let tenants: Vec<Value> = tenants.collect();
    json!({"version": 1, "routes": routes, "services": [], "limits": {"maxBodyBytes": 262_144},
        "tenants": tenants})
}

impl Site {
    pub async fn start(limits_processors: bool) -> Self {
        let store = StandinStore::start().await.expect("a store");
        store.put("op/config", &configuration());
        let deployment = Deployment {
            count: WORKERS,
            rack: RACK,
            zones: ZONES.to_vec(),
            capacity: Capacity {
                cpu: 32_000,
                mem_mb: 131_072,
                gpu: 8,
            },
            hold_max: Duration::from_secs(6),
            gang_wait: Duration::from_secs(4),
            stop: Duration::from_millis(400),
            far_factor: 3,
            shares_ids: false,
            has_links: true,
        };
        let workers = StandinWorkers::start_deployment(&store, "desk", &deployment).await;
        let vms = ZONES.iter().flat_map(|zone| {
            let vms = [vec![STRONG; STRONG_PER_ZONE], vec![SMALL; SMALL_PER_ZONE]].concat();
            vms.into_iter().map(|vm| (*zone, vm))
        });
        let starting = vms
            .enumerate()
            .map(|(number, (zone, vm))| start_daemon(zone, number, vm, &store, limits_processors));
        let daemons = join_all(starting).await;
        Self {
            _store: store,
            workers: Arc::new(workers.expect("workers")),
            daemons,
        }
    }
}

async fn start_daemon(
    zone: &str,
    number: usize,
    vm: Vm,
    store: &StandinStore,
    limits_processors: bool,
) -> Daemon {
    let cpu = vm.core_percent.to_string();
    let link = vm.link_mbps.to_string();
    let memory = vm.memory_mb.to_string();
    let files = vm.open_files.to_string();
    let flags = [
        "--hold-max-ms",
        "6000",
        "--stop-max-ms",
        "400",
        "--reclaim-ms",
        "2900",
        "--config-apply-ms",
        "3000",
        "--evacuate-ms",
        "5000",
        "--drain-delay-ms",
        "2500",
        "--far-factor",
        "3",
        "--cpu-percent",
        &cpu,
        "--link-mbps",
        &link,
        "--memory-mb",
        &memory,
        "--open-files",
        &files,
    ];
    let daemon = Daemon::start_in(zone, &format!("vm-{number}"), store, &flags).await;
    if let Some(id) = daemon.id().filter(|_| limits_processors) {
        let share = processor_limit::PERIOD * vm.core_percent / 100;
        tokio::spawn(processor_limit::limit(id, share, || {}));
    }
    daemon
}
