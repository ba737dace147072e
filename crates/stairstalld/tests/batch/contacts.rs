//! How many workers a planner asks at once, and how many it can hold connections to.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde_json::json;
use stairstall_standin::LinkMode;

use crate::cluster::{Cluster, Daemon, PATIENCE, job};

/// Processor of a weak VM, as a part of a core: within 0.1 s it handles ten calls.
const WEAK_CPU: &str = "0.01";
/// How many workers a planner there asks at once.
const WEAK_WINDOW: u64 = 10;
/// How long a worker that does not answer is waited for.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
const WORKERS: usize = 40;

/// Guards against a planner that asks all workers of a large fleet at once and then handles their
/// answers too late to count.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_planner_asks_no_more_workers_at_once_than_its_machine_can_handle() {
    let mut cluster = Cluster::start(0, WORKERS).await;
    for index in 0..WORKERS {
        cluster.workers.set_link(index, LinkMode::Silent);
    }
    let flags = ["--cpu-percent", WEAK_CPU];
    let daemon = Daemon::start_with("weak", &cluster.store, &flags).await;
    cluster.daemons.push(daemon);
    let patience = Instant::now() + PATIENCE;
    while cluster.workers.connections_opened() == 0 {
        assert!(Instant::now() < patience, "no worker is asked");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let first = Instant::now();
    tokio::time::sleep(REPORT_TIMEOUT / 2).await;
    let opened = cluster.workers.connections_opened();
    let rounds = first.elapsed().as_millis() / REPORT_TIMEOUT.as_millis() + 1;
    let most = WEAK_WINDOW * u64::try_from(rounds).expect("a count");
    assert!(opened <= most, "{opened} workers are asked at once");

    // All of them are asked in the end, and work runs there.
    for index in 0..WORKERS {
        cluster.workers.set_link(index, LinkMode::Pass);
    }
    cluster.wait_until_planned().await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(8 * 40, "ms=200")).await;
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

/// Guards against a small machine that plans for a fleet it can't hold and says nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_on_a_small_machine_plans_for_a_part_and_hands_over_to_a_stronger_one() {
    const HELD: usize = 10;
    let mut cluster = Cluster::start(0, 2 * HELD).await;
    let flags = ["--cpu-percent", "0.1", "--open-files", "16"];
    let small = Daemon::start_with("small", &cluster.store, &flags).await;
    cluster.daemons.push(small);
    cluster.wait_until_planned().await;
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(160, "ms=200")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
    let limited = cluster.daemons[0].log_lines("can't hold links to all workers");
    assert_eq!(limited.len(), 1, "{limited:?}");
    let records = cluster.workers.records();
    let used: BTreeSet<&str> = records.iter().map(|run| run.worker.as_str()).collect();
    assert_eq!(used.len(), HELD);

    let strong = Daemon::start("strong", &cluster.store).await;
    cluster.daemons.push(strong);
    cluster.daemons[1]
        .wait_for_line("acquired the planner role")
        .await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(1, &path, &job(160, "ms=500")).await;
    cluster.wait_for(&path, "completed").await;
    let records = cluster.workers.records();
    let used: BTreeSet<&str> = records.iter().map(|run| run.worker.as_str()).collect();
    assert!(used.len() > HELD, "{} workers are used", used.len());
    cluster.assert_no_violations();
}

/// Returns how many reports a daemon's planner has got.
async fn reports(cluster: &Cluster) -> u64 {
    let lines = cluster.metric(0, "stairstall_holds_total").await;
    let counted = lines.iter().find(|line| line.contains("\"ok\""));
    let count = counted.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    count.unwrap_or_else(|| panic!("no count in {lines:?}"))
}

/// Guards against a planner that asks each worker again after every write while the worker's own run
/// end waits to be stored: the more ends there are, the more often each of them is listed.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_end_is_not_stored_yet_is_not_asked_after_each_write() {
    /// Delay of each direction to the store.
    const DELAY: Duration = Duration::from_millis(10);
    const MAX_REPORTS_PER_END: u64 = 8;
    let mut cluster = Cluster::start(0, WORKERS).await;
    let one_by_one = [
        "--policy",
        "writing.max_under_way=1",
        "--policy",
        "writing.jobs_per_write=1",
        "--role-lease-ms",
        "20000",
    ];
    let daemon = Daemon::start_with("vm-0", &cluster.store, &one_by_one).await;
    cluster.daemons.push(daemon);
    cluster.wait_until_planned().await;
    let whole_worker = json!({"spec": "ms=4000", "steps": [
        {"count": 1, "cpu": 1000, "memMb": 500, "gpu": 8, "estimateMs": 4000}]});
    let ids: Vec<String> = (0..WORKERS).map(|_| cluster.new_id()).collect();
    let paths: Vec<String> = ids.iter().map(|id| format!("/q2/{id}")).collect();
    for path in &paths {
        cluster.submit(0, path, &whole_worker).await;
    }
    for path in &paths {
        cluster.wait_for(path, "running").await;
    }
    cluster.daemons[0].store.set(LinkMode::Delay(DELAY));
    cluster.daemons[0].wait_for_line(" end token=").await;
    let before = reports(&cluster).await;
    for path in &paths {
        cluster.wait_for(path, "completed").await;
    }
    let reports = reports(&cluster).await - before;
    let workers = u64::try_from(WORKERS).expect("a count");
    println!("{reports} reports of {workers} ends");
    assert!(
        reports <= workers * MAX_REPORTS_PER_END,
        "{reports} reports of {workers} ends"
    );
}
