//! What a daemon knows of the configuration after it was cut off from the store.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use stairstall_standin::{Link, LinkMode};

use crate::cluster::{Cluster, Daemon, configuration, configuration_with_q9, job};

/// How long a change may take to be in force after a cut: half of what the users allow.
const SOON: Duration = Duration::from_secs(1);
/// How long the cut is.
const CUT: Duration = Duration::from_millis(1_200);

async fn wait_for_version(cluster: &Cluster, version: u64) {
    let in_force = format!("version={version} ");
    cluster.daemons[0].wait_for_line(&in_force).await;
}

/// The watch from before the cut hangs on its connection, as does what would bring it up to date.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_made_during_a_cut_is_in_force_soon_after_it() {
    let mut cluster = Cluster::start(1, 1).await;
    // A change makes the daemon watch anew just before the cut.
    cluster.store.put("op/config", &configuration(2));
    wait_for_version(&cluster, 2).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    cluster.daemons[0].store.set(LinkMode::Silent);
    cluster.store.put("op/config", &configuration_with_q9(3));
    tokio::time::sleep(CUT).await;
    let path = format!("/q9/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(1, "ms=10")).await;
    assert_eq!(
        status,
        Some(StatusCode::SERVICE_UNAVAILABLE),
        "it can't know that there is no such queue"
    );
    cluster.daemons[0].store.set(LinkMode::Pass);
    let healed = Instant::now();
    wait_for_version(&cluster, 3).await;
    let took = healed.elapsed();
    assert!(took < SOON, "it was in force after {took:?}");
    let unknown = format!("/q8/{}", cluster.new_id());
    let status = cluster.submit(0, &unknown, &job(1, "ms=10")).await;
    assert_eq!(status, Some(StatusCode::NOT_FOUND));
}

/// Guards against a store whose link is filled by all daemons that read the whole configuration
/// again because its answers came too late.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_asks_for_changes_alone_when_the_store_serves_it_again() {
    let mut cluster = Cluster::start(3, 1).await;
    let read = cluster.store.listings("op/config");
    assert_eq!(read, 3, "each daemon reads it once");
    for _ in 0..2 {
        for daemon in &cluster.daemons {
            daemon.store.set(LinkMode::Silent);
        }
        tokio::time::sleep(CUT).await;
        for daemon in &cluster.daemons {
            daemon.store.set(LinkMode::Pass);
        }
        tokio::time::sleep(CUT).await;
    }
    assert_eq!(cluster.store.listings("op/config"), read);
    // It knows that what it has is the newest.
    let unknown = format!("/q9/{}", cluster.new_id());
    let status = cluster.submit(0, &unknown, &job(1, "ms=10")).await;
    assert_eq!(status, Some(StatusCode::NOT_FOUND));
}

/// Guards against a daemon that misses a change because the store no longer has it, or because its
/// watch was cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_reads_the_configuration_again_where_changes_may_be_missing() {
    for mode in [LinkMode::Silent, LinkMode::Cut] {
        let mut cluster = Cluster::start(1, 1).await;
        cluster.daemons[0].store.set(mode);
        cluster.store.put("op/config", &configuration_with_q9(2));
        cluster.store.forget_history();
        tokio::time::sleep(CUT).await;
        cluster.daemons[0].store.set(LinkMode::Pass);
        wait_for_version(&cluster, 2).await;
        assert!(cluster.store.listings("op/config") >= 2, "{mode:?}");
        let path = format!("/q9/{}", cluster.new_id());
        let status = cluster.submit(0, &path, &job(1, "ms=10")).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
}

/// Guards against reads that are broken off and repeated while a restarted fleet waits for the
/// answers of the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_daemon_waits_for_a_configuration_that_comes_late() {
    const LATE: Duration = Duration::from_millis(400);
    let cluster = Cluster::start(0, 1).await;
    let store = Link::start(cluster.store.address()).await.expect("a link");
    store.set(LinkMode::Delay(LATE));
    let daemon = Daemon::start_behind(store, "zone-a", "late", &[]).await;
    daemon.wait_for_line("in force").await;
    assert_eq!(cluster.store.listings("op/config"), 1);
}
