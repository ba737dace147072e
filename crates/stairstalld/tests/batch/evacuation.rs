//! An availability zone that operators evacuate, with daemons as processes.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;

use crate::cluster::{Cluster, Daemon, job};

const KEY: &str = "op/evacuate/zone-a";
/// Longest time that the word may take here; the planner asks five times as often.
const BOUND: &str = "1500";
/// After this the planner has asked at least once more.
const ASKED: Duration = Duration::from_millis(600);

/// A cluster of daemons that ask for evacuated zones every 0.3 s.
async fn cluster(daemons: usize) -> Cluster {
    let mut cluster = Cluster::start(0, 2).await;
    for number in 0..daemons {
        let name = format!("vm-{number}");
        let flags = ["--evacuate-ms", BOUND];
        let daemon = Daemon::start_with(&name, &cluster.store, &flags).await;
        cluster.daemons.push(daemon);
    }
    cluster.wait_until_planned().await;
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_there_until_it_is_restored() {
    let mut cluster = cluster(1).await;
    cluster.store.put(KEY, &json!({}));
    tokio::time::sleep(ASKED).await;
    let path = format!("/q0/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(2, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK), "it is accepted and waits");
    tokio::time::sleep(ASKED).await;
    assert_eq!(cluster.runs_of(&path[4..]), 0);
    assert_eq!(
        cluster.daemons[0].log_lines(" zone=zone-a evacuated").len(),
        1
    );
    cluster.store.remove(KEY);
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_planner_knows_it_before_it_places_anything() {
    let mut cluster = cluster(2).await;
    cluster.store.put(KEY, &json!({}));
    let path = format!("/q0/{}", cluster.new_id());
    let planner = cluster.planner();
    cluster.daemons[planner].kill().await;
    cluster.daemons.remove(planner);
    let status = cluster.submit(0, &path, &job(2, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_until_planned().await;
    tokio::time::sleep(ASKED).await;
    assert_eq!(cluster.runs_of(&path[4..]), 0);
    cluster.store.remove(KEY);
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn it_is_known_although_the_store_forgets_its_history() {
    let mut cluster = cluster(1).await;
    cluster.store.put(KEY, &json!({}));
    cluster.store.forget_history();
    tokio::time::sleep(ASKED).await;
    let path = format!("/q0/{}", cluster.new_id());
    cluster.submit(0, &path, &job(2, "ms=50")).await;
    tokio::time::sleep(ASKED).await;
    assert_eq!(cluster.runs_of(&path[4..]), 0);
    cluster.assert_no_violations();
}
