//! A run that ends just before its worker leaves, while an earlier end is being stored.
//!
//! Such an end was heard by nobody where the store was slow: the next report was asked for only once
//! the earlier end was stored, and the worker had gone by then. Its task started again.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::FutureExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use stairstall_standin::LinkMode;
use stairstall_standin::server::{Answer, Server, json as json_answer, read_json};

use crate::cluster::{Cluster, Daemon, job};
use crate::leaving::{STEP, entry, until};

/// How long a message to the store or from it takes.
const STORE_DELAY: Duration = Duration::from_millis(100);
/// How long after the first end was reported the second run ends.
const SECOND_END: Duration = Duration::from_millis(40);
/// How long after that the worker is gone: an end that is listed for so long must be heard.
const GONE_AFTER: Duration = Duration::from_millis(140);

/// A worker that is about to leave.
#[derive(Debug, Default)]
struct Leaver {
    born: Option<Instant>,
    tasks: Vec<Value>,
    may_end: bool,
    /// When the end of the first task was reported for the first time.
    first_reported: Option<Instant>,
    /// Whether the end of the second one was.
    has_reported_both: bool,
}

type Shared = Arc<Mutex<Leaver>>;

fn lock(shared: &Shared) -> MutexGuard<'_, Leaver> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Leaver {
    fn is_gone(&self) -> bool {
        self.first_reported
            .is_some_and(|at| at.elapsed() > GONE_AFTER)
    }

    fn clock_ms(&mut self) -> u64 {
        let born = *self.born.get_or_insert_with(Instant::now);
        u64::try_from(born.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns how many of its runs have ended, in the order of their starts.
    fn ended(&self) -> usize {
        let second = self
            .first_reported
            .is_some_and(|at| at.elapsed() >= SECOND_END);
        usize::from(self.may_end) + usize::from(second)
    }

    fn report(&mut self) -> Value {
        let ended = self.ended();
        if ended > 0 {
            self.first_reported.get_or_insert_with(Instant::now);
        }
        self.has_reported_both |= ended == 2;
        let row = |(number, task): (usize, &Value)| json!([number + 1, task, 1, "done", ""]);
        let finished: Vec<Value> = self.tasks.iter().take(ended).enumerate().map(row).collect();
        let running: Vec<Value> = self
            .tasks
            .iter()
            .skip(ended)
            .map(|task| json!([task, 1, "", 50]))
            .collect();
        json!({"clockMs": self.clock_ms(), "running": running, "finished": finished})
    }
}

async fn handle(shared: Shared, request: Request<Incoming>) -> Option<Answer> {
    let path = request.uri().path().to_owned();
    let body: Value = read_json(request).await?;
    if path == "/v1/run-start" {
        lock(&shared).tasks.push(body["task"].clone());
    }
    if path != "/v1/hold" {
        let clock_ms = lock(&shared).clock_ms();
        return Some(json_answer(StatusCode::OK, &json!({"clockMs": clock_ms})));
    }
    let wait_ms = body["waitMs"].as_u64().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    while lock(&shared).ended() == 0 && Instant::now() < until {
        tokio::time::sleep(STEP).await;
    }
    let mut leaver = lock(&shared);
    let is_gone = leaver.is_gone();
    (!is_gone).then(|| json_answer(StatusCode::OK, &leaver.report()))
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_end_before_a_worker_leaves_is_heard_while_the_store_is_slow() {
    let mut cluster = Cluster::start(0, 0).await;
    let shared = Shared::default();
    let told = Arc::clone(&shared);
    let server = Server::start(move |request| handle(Arc::clone(&told), request).boxed()).await;
    let server = server.expect("a server");
    let mut entry = entry(server.address(), "desk");
    cluster.store.put("servers/i-leaves", &entry);
    let daemon = Daemon::start_with("vm-0", &cluster.store, &[]).await;
    cluster.daemons.push(daemon);
    cluster.wait_until_planned().await;
    let path = format!("/q0/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(2, "ms=100")).await;
    assert_eq!(status, Some(StatusCode::OK));
    until("both tasks start", || lock(&shared).tasks.len() == 2).await;
    entry["state"] = json!("draining");
    entry["remainingMs"] = json!(4_500);
    entry["seq"] = json!(2);
    cluster.store.put("servers/i-leaves", &entry);
    let daemon = &cluster.daemons[0];
    let leaves = || !daemon.log_lines("it is leaving").is_empty();
    until("it is known to leave", leaves).await;
    daemon.store.set(LinkMode::Delay(STORE_DELAY));
    lock(&shared).may_end = true;
    until("it is gone", || lock(&shared).is_gone()).await;
    assert!(
        lock(&shared).has_reported_both,
        "an end was listed and nobody asked"
    );
    cluster.wait_for(&path, "completed").await;
}
