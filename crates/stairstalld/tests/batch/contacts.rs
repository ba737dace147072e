//! How many workers a new planner asks at once whether they answer.

use std::time::{Duration, Instant};

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
