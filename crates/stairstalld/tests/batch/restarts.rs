//! Workers that crash and start again under the id that they had, among daemons as processes.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;

use crate::cluster::{Cluster, gang, job};

const WORKERS: usize = 12;
/// In which round which third of the workers crash, and how long they are away: shorter and longer
/// than their entries last.
const CRASHES: [(usize, usize, Duration); 3] = [
    (4, 0, Duration::from_millis(100)),
    (12, 1, Duration::from_millis(800)),
    (20, 2, Duration::from_millis(2_500)),
];

#[tokio::test(flavor = "multi_thread")]
async fn jobs_end_though_many_workers_start_again_under_their_ids() {
    let mut cluster = Cluster::start(1, WORKERS).await;
    let mut paths = Vec::new();
    for round in 0..24_usize {
        for number in 0..6 {
            let path = format!("/q{}/{}", number % 3, cluster.new_id());
            let body = if number % 2 == 0 {
                gang(4, 900)
            } else {
                job(3, "ms=700")
            };
            let status = cluster.submit(0, &path, &body).await;
            assert_eq!(status, Some(StatusCode::OK));
            paths.push(path);
        }
        if let Some((_, part, away)) = CRASHES.iter().find(|(at, ..)| *at == round) {
            for index in (0..WORKERS).filter(|index| index % 3 == *part) {
                cluster.workers.crash(index, *away);
            }
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    for path in &paths {
        cluster.wait_for(path, "completed").await;
    }
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_of_other_writers_name_no_worker_and_the_others_hold() {
    let mut cluster = Cluster::start(1, 2).await;
    let address = cluster.workers.address(0).to_string();
    let strange = [
        json!(null),
        json!("text"),
        json!({}),
        json!({"service": "desk", "address": address}),
        json!({"service": 7, "address": address, "zone": "zone-a", "state": "ready",
            "capacity": {"cpu": 32_000, "memMb": 64_000, "gpu": 8}, "labels": ["a", "r1"]}),
        json!({"service": "desk", "address": address, "zone": "zone-a", "state": "asleep",
            "capacity": {"cpu": 32_000, "memMb": 64_000, "gpu": 8}, "labels": ["a", "r1"]}),
        json!({"service": "desk", "address": "nowhere", "zone": "zone-a", "state": "ready",
            "capacity": {"cpu": 32_000, "memMb": 64_000, "gpu": 8}, "labels": ["a", "r1"]}),
        json!({"service": "desk", "address": address, "zone": "zone-a", "state": "ready",
            "capacity": {"cpu": 32_000, "memMb": 64_000, "gpu": 8}, "labels": ["a", "r1"],
            "born": "yesterday"}),
    ];
    for (number, entry) in strange.iter().enumerate() {
        cluster.store.put(&format!("servers/x-{number}"), entry);
    }
    cluster
        .store
        .put_bytes("servers/x-bytes", &[0xff, 0x00, 0xfe]);
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(16, "ms=300")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
    let placed = cluster.daemons[0].log_lines(" place ");
    assert!(placed.iter().all(|line| !line.contains("worker=x-")));
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_another_writer_has_spoilt_names_a_worker_no_longer() {
    let mut cluster = Cluster::start(1, 2).await;
    cluster
        .store
        .put("servers/i-0", &json!({"service": "desk"}));
    let spoilt = "directory entry lists no usable worker";
    while cluster.daemons[0].log_lines(spoilt).is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(6, "ms=50")).await;
    cluster.wait_for(&path, "completed").await;
    let records = cluster.workers.records();
    assert!(records.iter().all(|record| record.worker == "i-1"));
}
