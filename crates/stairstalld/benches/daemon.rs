//! What a daemon costs: `cargo bench -p stairstalld --bench daemon`.
//!
//! Idle cost of six to 24 daemons in three zones, then the request path against
//! calls straight to a stand-in minion, in one run.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream;
use hyper::Method;
use serde_json::json;
use stairstall_standin::{Caller, Cluster, ClusterPlan, WORK_MS};

/// How long the idle cluster is watched.
const IDLE: Duration = Duration::from_secs(15);
/// Requests of each measurement.
const REQUESTS: usize = 4_000;
/// Ticks of the processor-time counter in a second.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() {
    for (daemons, workers, minions) in [(2, 4, 4), (2, 16, 17), (2, 48, 17), (4, 4, 4), (8, 4, 4)] {
        idle(daemons, workers, minions).await;
    }
    request_path().await;
}

async fn start(daemons: u16, minions: u16, workers: u16, zones: u8) -> Cluster {
    let small = ClusterPlan::small(env!("CARGO_BIN_EXE_stairstalld"));
    let plan = ClusterPlan {
        workers_per_rack: 8,
        flags: vec!["--log".into(), "warn,start=info".into()],
        ..small
    };
    let plan = plan.with_zones(zones).with_sizes(daemons, minions, workers);
    let cluster = Cluster::start(plan).await.expect("the cluster starts");
    cluster
        .apply(&[
            json!({"kind": "customer", "name": "mesa"}),
            json!({"kind": "priority-class", "name": "web", "level": 100}),
            json!({"kind": "service", "name": "triage", "slots": 8, "deadline_ms": 20_000}),
        ])
        .await;
    cluster.wait_for_slots().await;
    cluster
}

/// Returns processor time in seconds and resident memory in megabytes.
fn cost(daemon: &stairstall_standin::DaemonProcess) -> (f64, f64) {
    let id = daemon.process_id().unwrap_or(0);
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kb: f64 = resident
        .split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0);
    ((ticks(11) + ticks(12)) / TICKS_PER_SECOND, kb / 1024.0)
}

async fn idle(daemons: u16, workers: u16, minions: u16) {
    let cluster = start(daemons, minions, workers, 3).await;
    let before: Vec<f64> = cluster.daemons.iter().map(|d| cost(d).0).collect();
    let calls = cluster.store.calls();
    let syncs: u64 = sync_count(&cluster);
    tokio::time::sleep(IDLE).await;
    let seconds = IDLE.as_secs_f64();
    let now = cluster.store.calls();
    println!(
        "\nidle, 3 zones, each with {daemons} daemons, {workers} workers and {minions} minions"
    );
    println!(
        "  store calls a second: {:.2} reads, {:.2} writes, {:.2} new watches; syncs a second: {:.1}",
        per_second(now.0 - calls.0, seconds),
        per_second(now.1 - calls.1, seconds),
        per_second(now.2 - calls.2, seconds),
        per_second(sync_count(&cluster) - syncs, seconds),
    );
    for (daemon, before) in cluster.daemons.iter().zip(before) {
        let (used, resident) = cost(daemon);
        let status = cluster
            .caller
            .status(daemon.address())
            .await
            .unwrap_or_default();
        let role = if status["daemon"]["token"].is_u64() {
            "holder"
        } else {
            "router"
        };
        let heartbeat = status["daemon"].to_string().len();
        println!(
            "  {:<12} {role}: {:.2}% of a core, {resident:.1} MB resident, heartbeat {heartbeat} bytes",
            daemon.name(),
            (used - before) * 100.0 / seconds
        );
    }
}

fn sync_count(cluster: &Cluster) -> u64 {
    cluster
        .workers
        .iter()
        .filter_map(|w| w.standin.as_ref())
        .map(|s| s.syncs().0)
        .sum()
}

fn per_second(count: u64, seconds: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds
}

async fn request_path() {
    let cluster = start(1, 50, 1, 1).await;
    let minion = cluster.minions[0]
        .standin
        .as_ref()
        .expect("it runs")
        .address();
    let daemon = cluster.daemons[0].address();
    println!("\nrequest path, one daemon, 50 minions, answers without work");
    for concurrency in [1, 8, 64] {
        let direct = load(
            &cluster.caller,
            minion,
            "/run",
            concurrency.min(8),
            true,
            "direct",
        )
        .await;
        let through = load(
            &cluster.caller,
            daemon,
            "/call/triage/run",
            concurrency,
            true,
            "through",
        )
        .await;
        print_load(
            &format!("straight to a minion, {} at a time", concurrency.min(8)),
            &direct,
        );
        print_load(
            &format!("through the daemon, {concurrency} at a time"),
            &through,
        );
        println!(
            "    ratio: latency p50 {:.2}, p99 {:.2}; throughput {:.2}",
            through.p50.as_secs_f64() / direct.p50.as_secs_f64(),
            through.p99.as_secs_f64() / direct.p99.as_secs_f64(),
            through.rate / direct.rate
        );
    }
    let calls = cluster.store.calls();
    let paid = load(
        &cluster.caller,
        daemon,
        "/call/triage/run",
        8,
        false,
        "paid",
    )
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let now = cluster.store.calls();
    print_load("not repeatable, through the daemon, 8 at a time", &paid);
    println!(
        "    store calls per not-repeatable request: {:.3} reads, {:.3} writes",
        per_second(now.0 - calls.0, as_float(REQUESTS)),
        per_second(now.1 - calls.1, as_float(REQUESTS))
    );
    let (_, before) = cost(&cluster.daemons[0]);
    burst(&cluster.caller, daemon).await;
    let (_, after) = cost(&cluster.daemons[0]);
    println!(
        "  memory with 400 in flight and 250 waiting, the rest refused: {before:.1} MB before, {after:.1} MB after"
    );
}

/// Fills every slot of every minion, with more waiting.
async fn burst(caller: &Caller, daemon: SocketAddr) {
    let sends = (0..1_000).map(|number| async move {
        let id = format!("burst-{number}");
        let headers = [
            ("stairstall-customer", "mesa"),
            ("stairstall-class", "web"),
            ("stairstall-request-id", id.as_str()),
            (WORK_MS, "200"),
        ];
        let body = vec![b'x'; 4_096];
        let reply = caller
            .send(Method::POST, daemon, "/call/triage/run", &headers, body)
            .await;
        reply.is_ok_and(|r| r.status == 200)
    });
    let served = stream::iter(sends)
        .buffer_unordered(1_000)
        .filter(|ok| futures::future::ready(*ok));
    println!(
        "  burst of 1000 requests of 200 ms work: {} served",
        served.count().await
    );
}

struct Load {
    p50: Duration,
    p99: Duration,
    rate: f64,
}

async fn load(
    caller: &Caller,
    to: SocketAddr,
    path: &str,
    concurrency: usize,
    repeatable: bool,
    prefix: &str,
) -> Load {
    let started = Instant::now();
    let run = caller.next_number();
    let sends = (0..REQUESTS).map(|number| {
        let id = format!("{prefix}-{run}-{number}");
        async move {
            let headers = [
                ("stairstall-customer", "mesa"),
                ("stairstall-class", "web"),
                ("stairstall-request-id", id.as_str()),
                (
                    "stairstall-repeatable",
                    if repeatable { "yes" } else { "no" },
                ),
            ];
            let asked = Instant::now();
            let reply = caller.send(Method::POST, to, path, &headers, "hello").await;
            assert!(reply.as_ref().is_ok_and(|r| r.status == 200), "{reply:?}");
            asked.elapsed()
        }
    });
    let mut times: Vec<Duration> = stream::iter(sends)
        .buffer_unordered(concurrency)
        .collect()
        .await;
    let rate = as_float(REQUESTS) / started.elapsed().as_secs_f64();
    times.sort_unstable();
    Load {
        p50: times[times.len() / 2],
        p99: times[times.len() * 99 / 100],
        rate,
    }
}

fn as_float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn print_load(name: &str, load: &Load) {
    println!(
        "  {name:<48} p50 {:>6} us, p99 {:>6} us, {:>6.0} a second",
        load.p50.as_micros(),
        load.p99.as_micros(),
        load.rate
    );
}
