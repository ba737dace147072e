//! Bad input gets a clear answer that names the field, and the daemon goes on serving.

mod common;

use std::time::Duration;

use common::{TestCall, job, plan, start};
use serde_json::{Value, json};
use stairstall_standin::{Cluster, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn cluster() -> Cluster {
    start(plan().with_sizes(1, 1, 1)).await
}

fn assert_refused(reply: &Reply, status: u16, field: &str) {
    assert_eq!(reply.status, status, "{}", reply.text());
    let body = reply.json();
    assert_eq!(body["verdict"], "not-run", "{body}");
    assert_eq!(body["field"], field, "{body}");
    assert!(
        body["error"].as_str().is_some_and(|e| !e.is_empty()),
        "{body}"
    );
    assert_eq!(reply.verdict(), Some("not-run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_jobs_are_refused_and_named() {
    let cluster = cluster().await;
    let at = cluster.daemons[0].address();
    let good = job(
        "fonts",
        "good",
        &json!({"members": 1, "accelerators": 8}),
        100,
    );
    let with = |path: &str, value: Value| {
        let mut body = good.clone();
        *body.pointer_mut(path).expect("a field") = value;
        body
    };
    let extra = |path: &str| {
        let mut body = good.clone();
        body.pointer_mut(path)
            .and_then(Value::as_object_mut)
            .expect("an object")
            .insert("colour".to_owned(), json!("red"));
        body
    };
    let long = "x".repeat(65);
    let cases = [
        (extra(""), 400, "colour"),
        (extra("/shape"), 400, "shape.colour"),
        (with("/id", json!(long)), 400, "id"),
        (with("/id", json!("a/b")), 400, "id"),
        (with("/shape/members", json!(-1)), 400, "shape.members"),
        (with("/shape/members", json!(0)), 400, "shape.members"),
        (with("/shape/members", json!(65)), 400, "shape.members"),
        (
            with("/shape/accelerators", json!(200)),
            400,
            "shape.accelerators",
        ),
        (with("/expected_ms", json!(0)), 400, "expected_ms"),
        (with("/payload", json!("x".repeat(70_000))), 400, "payload"),
        (with("/customer", json!("nobody")), 403, "customer"),
        (with("/class", json!("nothing")), 400, "class"),
    ];
    for (body, status, field) in cases {
        let reply = cluster
            .caller
            .post(at, "/v1/jobs", &body)
            .await
            .expect("an answer");
        assert_refused(&reply, status, field);
    }
    let mut labelled = good.clone();
    labelled["labels"] = json!({"team": long});
    let reply = cluster
        .caller
        .post(at, "/v1/jobs", &labelled)
        .await
        .expect("an answer");
    assert_refused(&reply, 400, "labels");
    let sent = cluster
        .caller
        .send(hyper::Method::POST, at, "/v1/jobs", &[], "{ no")
        .await;
    assert_refused(&sent.expect("an answer"), 400, "body");
    assert!(
        cluster.store.dump("stairstall/job/").is_empty(),
        "nothing was accepted"
    );
    let reply = cluster
        .caller
        .post(at, "/v1/jobs", &good)
        .await
        .expect("an answer");
    assert_eq!(reply.status, 201, "{}", reply.text());
    let mut other = good.clone();
    other["expected_ms"] = json!(101);
    let reply = cluster
        .caller
        .post(at, "/v1/jobs", &other)
        .await
        .expect("an answer");
    assert_refused(&reply, 409, "id");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_and_named() {
    let cluster = cluster().await;
    cluster.wait_for_slots().await;
    let at = cluster.daemons[0].address();
    let long = "x".repeat(65);
    let cases = [
        ("stairstall-customer", "nobody", 403),
        ("stairstall-customer", "", 400),
        ("stairstall-class", "nothing", 400),
        ("stairstall-request-id", long.as_str(), 400),
        ("stairstall-labels", "team", 400),
        ("stairstall-deadline-ms", "-5", 400),
        ("stairstall-deadline-ms", "0", 400),
        ("stairstall-repeatable", "perhaps", 400),
    ];
    for (name, value, status) in cases {
        let call = TestCall::new("bad").with_header(name, value);
        let reply = call.send(&cluster.caller, at).await.expect("an answer");
        assert_refused(&reply, status, name);
    }
    let headers = [("stairstall-customer", "mesa"), ("stairstall-class", "web")];
    let post = hyper::Method::POST;
    let missing = cluster
        .caller
        .send(post.clone(), at, "/call/nothing/x", &headers, "")
        .await;
    assert_refused(&missing.expect("an answer"), 404, "service");
    let large = vec![b'x'; 2 * 1024 * 1024];
    let reply = cluster
        .caller
        .send(post, at, "/call/triage/run", &headers, large)
        .await;
    // The daemon may close the connection before the whole body is sent.
    if let Ok(reply) = reply {
        assert_refused(&reply, 413, "body");
    }
    let good = TestCall::new("good")
        .send(&cluster.caller, at)
        .await
        .expect("an answer");
    assert_eq!(good.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_changes_are_refused_and_named() {
    let cluster = cluster().await;
    let at = cluster.daemons[0].address();
    let change = |operation: Value| json!({"id": "bad", "operations": [operation]});
    let cases = [
        (
            change(json!({"operation": "delete", "of": "customer", "name": "nobody"})),
            "operations",
        ),
        (
            change(json!({"operation": "set", "of": "customer", "selector": "",
            "assignment": {"field": "weight", "value": 0}})),
            "operations",
        ),
        (
            change(json!({"operation": "set", "of": "customer", "selector": "",
            "assignment": {"field": "slots", "value": 1}})),
            "operations",
        ),
        (
            change(
                json!({"operation": "put", "resource": {"kind": "guarantee", "name": "g",
            "customer": "nobody", "zone": "zone-a",
            "shape": {"members": 1, "accelerators": 1}}}),
            ),
            "operations",
        ),
        (
            json!({"id": "bad", "operations": [], "when": "now"}),
            "when",
        ),
    ];
    for (body, field) in cases {
        let reply = cluster
            .caller
            .post(at, "/v1/config", &body)
            .await
            .expect("an answer");
        assert_refused(&reply, 400, field);
    }
    let unknown = cluster
        .caller
        .get(at, "/v1/config/planets")
        .await
        .expect("an answer");
    assert_refused(&unknown, 404, "kind");
    let selector = cluster
        .caller
        .get(at, "/v1/config/customer?selector=%3D")
        .await;
    assert_refused(&selector.expect("an answer"), 400, "selector");
    let status = cluster.caller.status(at).await.expect("a status");
    assert_eq!(status["daemon"]["revision"], 1, "nothing was accepted");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_sender_is_cut_off_and_holds_up_nobody() {
    let cluster = cluster().await;
    cluster.wait_for_slots().await;
    let at = cluster.daemons[0].address();
    let mut slow = tokio::net::TcpStream::connect(at).await.expect("connected");
    let head = "POST /call/triage/run HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\
                stairstall-customer: mesa\r\nstairstall-class: web\r\n\r\nhalf";
    slow.write_all(head.as_bytes()).await.expect("sent");
    let good = TestCall::new("meanwhile")
        .send(&cluster.caller, at)
        .await
        .expect("an answer");
    assert_eq!(good.status, 200);
    let mut answer = vec![0; 1024];
    let read = tokio::time::timeout(Duration::from_secs(15), slow.read(&mut answer)).await;
    let length = read.expect("cut off in time").expect("an answer");
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("\"field\":\"body\""), "{text}");
}

/// A caller that sent its next request over the connection would lose it without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_not_read_to_its_end_ends_its_connection() {
    let cluster = cluster().await;
    let at = cluster.daemons[0].address();
    let mut caller = tokio::net::TcpStream::connect(at).await.expect("connected");
    let head = "POST /call/triage/run HTTP/1.1\r\nhost: x\r\ncontent-length: 2097152\r\n\
                stairstall-customer: mesa\r\nstairstall-class: web\r\n\r\n";
    caller.write_all(head.as_bytes()).await.expect("sent");
    // As much as is allowed and a little more; the rest is still to come.
    let part = vec![b'x'; 1024 * 1024 + 64 * 1024];
    caller.write_all(&part).await.expect("sent");
    let mut answer = vec![0; 1024];
    let read = tokio::time::timeout(Duration::from_secs(5), caller.read(&mut answer)).await;
    let length = read.expect("answered in time").expect("an answer");
    let text = String::from_utf8_lossy(&answer[..length]).to_lowercase();
    assert!(text.starts_with("http/1.1 413"), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

#[test]
fn settings_name_every_mistake_at_once() {
    let arguments = [
        "--vm",
        "a/b",
        "--zone",
        "",
        "--listen",
        "nowhere",
        "--rpc-listen",
        "127.0.0.1:1",
        "--store",
        "127.0.0.1",
        "--vm-list",
        "127.0.0.1:2",
        "--store-timeout-ms",
        "0",
    ];
    let mistakes = stairstalld::settings::Settings::from_arguments(&arguments).unwrap_err();
    let flags: Vec<&str> = mistakes.0.iter().map(|m| m.flag).collect();
    assert_eq!(
        flags,
        [
            "--vm",
            "--zone",
            "--listen",
            "--store",
            "--store-timeout-ms"
        ]
    );
    assert!(
        mistakes
            .to_string()
            .contains("a whole number from 10 to 10000"),
        "{mistakes}"
    );
}
