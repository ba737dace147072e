//! A worker that is taken to be gone while its last report is on its way.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::FutureExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use stairstall_standin::server::{Answer, Server, answer, json as json_answer, read_json};

use crate::cluster::{Cluster, Daemon, PATIENCE, job};

pub const STEP: Duration = Duration::from_millis(5);
/// How long the daemon has had to drop its way to the worker when the report comes.
const DROPS_WITHIN: Duration = Duration::from_millis(50);

/// What a worker that tells of its only task when the test says so knows.
#[derive(Debug, Default)]
struct Teller {
    began: Option<Instant>,
    task: Option<Value>,
    /// Whether it was asked for a report since that task began.
    is_asked: bool,
    may_tell: bool,
}

type Shared = Arc<Mutex<Teller>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Teller> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(shared: Shared, request: Request<Incoming>) -> Option<Answer> {
    let meant = request.headers().get("X-Stairstall-Expect-Instance")?;
    if meant != "i-gone" {
        return Some(answer(StatusCode::SERVICE_UNAVAILABLE, ""));
    }
    let path = request.uri().path().to_owned();
    let body: Value = read_json(request).await?;
    if path == "/v1/run-start" {
        lock(&shared).task = Some(body["task"].clone());
    }
    let is_report = path == "/v1/hold";
    while is_report && must_wait(&shared) {
        tokio::time::sleep(STEP).await;
    }
    let mut teller = lock(&shared);
    let began = *teller.began.get_or_insert_with(Instant::now);
    let clock_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    let tasks = teller.task.iter().filter(|_| is_report);
    let finished: Vec<Value> = tasks.map(|task| json!([1, task, 1, "done", ""])).collect();
    let report = json!({"clockMs": clock_ms, "running": [], "finished": finished});
    Some(json_answer(StatusCode::OK, &report))
}

fn must_wait(shared: &Shared) -> bool {
    let mut teller = lock(shared);
    teller.is_asked = teller.task.is_some();
    teller.is_asked && !teller.may_tell
}

/// Returns the directory entry of a worker at an address.
pub fn entry(address: SocketAddr, service: &str) -> Value {
    json!({"service": service, "address": address.to_string(), "zone": "zone-a", "version": "1",
        "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1,
        "capacity": {"cpu": 32_000, "memMb": 64_000, "gpu": 8}, "labels": ["a", "r1"]})
}

/// Waits until something has come true.
pub async fn until(what: &str, test: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !test() {
        assert!(Instant::now() < until, "{what}");
        tokio::time::sleep(STEP).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_report_that_is_on_its_way_is_read_though_its_worker_is_known_no_longer() {
    let mut cluster = Cluster::start(0, 0).await;
    let shared = Shared::default();
    let told = Arc::clone(&shared);
    let server = Server::start(move |request| handle(Arc::clone(&told), request).boxed()).await;
    let server = server.expect("a server");
    let listed = entry(server.address(), "desk");
    cluster.store.put("servers/i-gone", &listed);
    // The report may be on its way for as long as the test takes.
    let flags = ["--policy", "links.hold_timeout=15000"];
    let daemon = Daemon::start_with("vm-0", &cluster.store, &flags).await;
    cluster.daemons.push(daemon);
    cluster.wait_until_planned().await;
    let path = format!("/q0/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(1, "ms=100")).await;
    assert_eq!(status, Some(StatusCode::OK));
    until("it is asked for its report", || lock(&shared).is_asked).await;
    // Another life listens at its address.
    let next = entry(server.address(), "other");
    cluster.store.put("servers/i-next", &next);
    cluster.store.remove("servers/i-gone");
    let daemon = &cluster.daemons[0];
    let is_over = || !daemon.log_lines("its incarnation ended").is_empty();
    until("its incarnation ended", is_over).await;
    tokio::time::sleep(DROPS_WITHIN).await;
    lock(&shared).may_tell = true;
    cluster.wait_for(&path, "completed").await;
}
