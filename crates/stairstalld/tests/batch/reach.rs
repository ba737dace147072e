//! Daemons that the store does not serve: who calls itself ready, and who passes work on.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use nix::sys::signal::Signal;
use stairstall_standin::LinkMode;

use crate::cluster::{Cluster, Daemon, PATIENCE, job};

async fn wait_for_health(cluster: &Cluster, daemon: usize, status: StatusCode) -> Duration {
    let began = Instant::now();
    while cluster.health(&cluster.daemons[daemon]).await != Some(status) {
        assert!(began.elapsed() < PATIENCE, "it never answers {status}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    began.elapsed()
}

/// A planner in one zone, and a daemon of another zone that has been introduced to it.
async fn two_zones() -> Cluster {
    let mut cluster = Cluster::start(1, 1).await;
    let other = Daemon::start_in("zone-b", "vm-b", &cluster.store, &[]).await;
    cluster.daemons.push(other);
    wait_for_health(&cluster, 1, StatusCode::OK).await;
    // It is introduced once a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_reaches_neither_the_store_nor_a_peer_says_so_until_it_does() {
    let mut cluster = two_zones().await;
    cluster.daemons[1].store.set(LinkMode::Silent);
    cluster.daemons[0].signal(Signal::SIGSTOP);
    wait_for_health(&cluster, 1, StatusCode::SERVICE_UNAVAILABLE).await;
    let path = format!("/q2/{}", cluster.new_id());
    let began = Instant::now();
    let refused = cluster.submit(1, &path, &job(1, "ms=10")).await;
    assert_eq!(
        refused,
        Some(StatusCode::SERVICE_UNAVAILABLE),
        "it is surely not kept"
    );
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "and that is said at once"
    );
    cluster.daemons[0].signal(Signal::SIGCONT);
    wait_for_health(&cluster, 1, StatusCode::OK).await;
    let taken = cluster.submit(1, &path, &job(1, "ms=10")).await;
    assert_eq!(taken, Some(StatusCode::OK), "its peer passes work on");
    cluster.wait_for(&path, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_stays_ready_while_the_store_serves_nobody() {
    let cluster = two_zones().await;
    cluster.store.set_down(true);
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        assert_eq!(
            cluster.health(&cluster.daemons[1]).await,
            Some(StatusCode::OK)
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_peer_passes_work_on_when_the_planner_is_gone() {
    let mut cluster = two_zones().await;
    let helper = Daemon::start_in("zone-c", "vm-c", &cluster.store, &[]).await;
    cluster.daemons.push(helper);
    wait_for_health(&cluster, 2, StatusCode::OK).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    cluster.daemons[1].store.set(LinkMode::Cut);
    let planner = cluster.planner();
    assert_eq!(planner, 0);
    cluster.daemons[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let path = format!("/q2/{}", cluster.new_id());
    let taken = cluster.submit(1, &path, &job(1, "ms=10")).await;
    assert_eq!(taken, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
    cluster.daemons[0].signal(Signal::SIGCONT);
}
