//! A question about a job that is answered by 410 or 503 leaves a line that says why.

use hyper::Method;
use serde_json::Value;

use crate::cluster::{Cluster, job};

/// Asks for a job, which must get this status; returns the answer's text and the line of its lookup.
async fn ask(cluster: &Cluster, key: &str, daemon: usize, path: &str) -> (u16, Value, String) {
    let answer = cluster.call_as(key, daemon, Method::GET, path, &Value::Null);
    let answer = answer.await.expect("an answer");
    let text = format!(" lookup job={} ", &path[4..]);
    cluster.daemons[daemon].wait_for_line(&text).await;
    let line = cluster.daemons[daemon].log_lines(&text).pop();
    let body = answer.read().expect("a body");
    (answer.status.as_u16(), body, line.expect("a line"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_is_not_found_is_logged_with_what_the_planner_and_the_store_said() {
    let mut cluster = Cluster::start(2, 1).await;
    let (planner, other) = (cluster.planner(), 1 - cluster.planner());
    let unknown = format!("/q0/{}", cluster.new_id());
    for daemon in [planner, other] {
        let (status, _, line) = ask(&cluster, "key-mesa", daemon, &unknown).await;
        assert_eq!(status, 410);
        let says = " planner=unknown store=absent foreign=false ";
        assert!(line.contains(says), "{line}");
    }
    let refused = format!("/q0/{}", cluster.new_id());
    // The mark of a cancellation is kept like a refusal.
    let cancelled = cluster.call(other, Method::DELETE, &refused, &Value::Null);
    let cancelled = cancelled.await.expect("an answer");
    assert_eq!(cancelled.status, 410);
    let (status, _, line) = ask(&cluster, "key-mesa", other, &refused).await;
    assert_eq!(status, 410);
    assert!(line.contains(" planner=unknown store=refused "), "{line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_customers_job_is_named_in_the_line_alone() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = format!("/q0/{}", cluster.new_id());
    cluster.submit(0, &path, &job(1, "ms=50")).await;
    let unknown = format!("/q0/{}", cluster.new_id());
    let (foreign_status, foreign_body, line) = ask(&cluster, "key-fonts", 0, &path).await;
    assert!(
        line.contains(" planner=known ") && line.contains(" foreign=true "),
        "{line}"
    );
    let (status, body, line) = ask(&cluster, "key-fonts", 0, &unknown).await;
    assert!(line.contains(" foreign=false "), "{line}");
    assert_eq!((foreign_status, foreign_body), (status, body));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_cant_be_read_is_logged_as_unreadable() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = format!("/q0/{}", cluster.new_id());
    let key = format!("stairstall/job/{}", &path[4..]);
    cluster.store.put_bytes(&key, b"no job");
    let (status, _, line) = ask(&cluster, "key-mesa", 0, &path).await;
    assert_eq!(status, 503);
    assert!(line.contains(" store=unreadable "), "{line}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_is_known_leaves_no_such_line() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = format!("/q0/{}", cluster.new_id());
    cluster.submit(0, &path, &job(1, "ms=50")).await;
    cluster.wait_for(&path, "completed").await;
    assert!(cluster.daemons[0].log_lines(" lookup ").is_empty());
}
