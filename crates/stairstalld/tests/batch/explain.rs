//! Where a job stands, asked at the metrics address of any daemon.

use hyper::{Method, StatusCode};
use stairstall_core::batch::JobExplanation;
use stairstall_http::JsonRequest;

use crate::cluster::{CALL_TIMEOUT, Cluster, job};

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_explains_a_job_that_waits_for_room() {
    let mut cluster = Cluster::start(2, 1).await;
    cluster.wait_until_planned().await;
    let name = cluster.new_id();
    let path = format!("/q2/{name}");
    // The one worker runs some of the tasks, and the others wait for its room.
    let status = cluster.submit(0, &path, &job(40, "ms=60000")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "running").await;
    for daemon in 0..2 {
        let (status, body) = ask(&cluster, daemon, &name).await;
        assert_eq!(status, StatusCode::OK);
        let told: JobExplanation = serde_json::from_slice(&body).expect("an explanation");
        assert_eq!(told.job.as_str(), name);
        assert!(told.steps[0].waiting > 0, "{told:?}");
    }
    let (status, _) = ask(&cluster, 0, "0123456789abcdef").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

async fn ask(cluster: &Cluster, daemon: usize, name: &str) -> (StatusCode, Vec<u8>) {
    let address = cluster.daemons[daemon].metrics.to_string();
    let path = format!("/v1/jobs/{name}/explain");
    let call = JsonRequest {
        method: Method::GET,
        address: &address,
        path: &path,
        headers: &[],
        body: Vec::new(),
    };
    let answer = cluster.http.exchange(call, CALL_TIMEOUT).await;
    let answer = answer.expect("an answer");
    (answer.status, answer.body.to_vec())
}
