//! A call that ends without an answer leaves a line and a count: none goes unseen.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use stairstall_standin::LinkMode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::cluster::{Cluster, job};

/// How long the store's answers take, so that a call is still open when its caller leaves.
const SLOW: Duration = Duration::from_millis(600);

/// Sends a request that hands a job in on a connection of its own; the last bytes of its body are left
/// out.
async fn send(cluster: &Cluster, path: &str, left_out: usize) -> TcpStream {
    let body = job(1, "ms=50").to_string();
    let sent = &body[..body.len() - left_out];
    let opened = TcpStream::connect(cluster.daemons[0].address).await;
    let mut stream = opened.expect("a connection");
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer key-mesa\r\n\
         Content-Length: {}\r\n\r\n{sent}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// Returns the one line of a call.
async fn call_line(cluster: &Cluster, path: &str) -> String {
    let text = format!("{path} status=0 ");
    cluster.daemons[0].wait_for_line(&text).await;
    let lines = cluster.daemons[0].log_lines(&text);
    assert_eq!(lines.len(), 1, "{lines:?}");
    lines[0].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_caller_leaves_is_logged_with_its_stage_and_counted() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = format!("/q0/{}", cluster.new_id());
    cluster.daemons[0].store.set(LinkMode::Delay(SLOW));
    let stream = send(&cluster, &path, 0).await;
    let caller = stream.local_addr().expect("an address");
    tokio::time::sleep(SLOW / 4).await;
    drop(stream);
    let line = call_line(&cluster, &path).await;
    assert!(line.contains(" call call=POST "), "{line}");
    let stages = ["catalog", "store-write"].map(|stage| format!(" stage={stage} "));
    assert!(stages.iter().any(|stage| line.contains(stage)), "{line}");
    assert!(line.contains(&format!(" caller={caller} ")), "{line}");
    let counted = cluster.metric(0, "stairstall_calls_total").await;
    let dropped = "stairstall_calls_total{kind=\"submit\",status=\"dropped\"} 1";
    assert!(counted.iter().any(|line| line == dropped), "{counted:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_is_open_at_the_drain_limit_is_logged_before_the_process_ends() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = format!("/q0/{}", cluster.new_id());
    let flags = ["--drain-limit-ms", "300"];
    let daemon = crate::cluster::Daemon::start_with("vm-stops", &cluster.store, &flags).await;
    cluster.daemons[0] = daemon;
    cluster.daemons[0].wait_for_line("in force").await;
    let _stream = send(&cluster, &path, 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    cluster.daemons[0].stop().await;
    let line = call_line(&cluster, &path).await;
    assert!(line.contains(" stage=body "), "{line}");
    let daemon = &cluster.daemons[0];
    for text in [
        "connections as the stop is requested",
        "the drain limit is reached",
    ] {
        let lines = daemon.log_lines(text);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(lines[0].contains(" reading_bodies=1 "), "{lines:?}");
    }
    let named = daemon.log_lines("a request without an answer at the drain limit");
    assert_eq!(named.len(), 1, "{named:?}");
    assert!(named[0].contains(" phase=reading-body "), "{named:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_call_names_its_stage_and_caller_and_a_success_does_not() {
    let mut cluster = Cluster::start(1, 1).await;
    let known = format!("/q0/{}", cluster.new_id());
    cluster.submit(0, &known, &job(1, "ms=50")).await;
    let unknown = format!("/q0/{}", cluster.new_id());
    let asked = cluster.call(0, Method::GET, &unknown, &Value::Null).await;
    assert_eq!(asked.map(|answer| answer.status.as_u16()), Some(410));
    let refused = format!("call=GET {unknown} status=410 ");
    cluster.daemons[0].wait_for_line(&refused).await;
    let line = &cluster.daemons[0].log_lines(&refused)[0];
    assert!(
        line.contains(" stage=store-job caller=127.0.0.1:"),
        "{line}"
    );
    let accepted = format!("call=POST {known} status=200 ");
    cluster.daemons[0].wait_for_line(&accepted).await;
    let line = &cluster.daemons[0].log_lines(&accepted)[0];
    assert!(
        !line.contains("stage=") && !line.contains("caller="),
        "{line}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_breaks_during_a_request_leaves_a_line() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = format!("/q0/{}", cluster.new_id());
    cluster.daemons[0].store.set(LinkMode::Delay(SLOW));
    let stream = send(&cluster, &path, 0).await;
    let caller = stream.local_addr().expect("an address");
    tokio::time::sleep(SLOW / 4).await;
    drop(stream);
    cluster.daemons[0].wait_for_line(" closed cause=").await;
    let lines = cluster.daemons[0].log_lines(" closed cause=");
    assert_eq!(lines.len(), 1, "{lines:?}");
    let said = " closed cause=broke-off phase=handling phase_ms=";
    assert!(lines[0].contains(said), "{lines:?}");
    let caller = format!(" unanswered=1 caller={caller} ");
    assert!(lines[0].contains(&caller), "{lines:?}");
}
