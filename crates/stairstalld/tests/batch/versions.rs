//! Daemons of two versions side by side, as in a rolling upgrade and back.
//!
//! Ignored, since it needs the other version's program:
//! `STAIRSTALL_OTHER_DAEMON=PATH cargo test -p stairstalld --test batch -- --ignored versions`.

use std::time::Duration;

use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use stairstall_standin::LinkMode;

use crate::cluster::{Cluster, Daemon, gang, job};

/// Longer than the planner's lease.
const LEASE_ENDS: Duration = Duration::from_millis(1_500);
/// Longer than a test.
const FOR_GOOD: Duration = Duration::from_secs(3_600);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Version {
    Other,
    This,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    Stop,
    Kill,
}

async fn start(cluster: &Cluster, version: Version, name: &str) -> Daemon {
    let other = std::env::var("STAIRSTALL_OTHER_DAEMON").expect("the other version's program");
    match version {
        Version::Other => Daemon::start_program(&other, name, &cluster.store).await,
        Version::This => Daemon::start(name, &cluster.store).await,
    }
}

async fn state_of(cluster: &Cluster, daemon: usize, path: &str) -> Option<String> {
    let answer = cluster.call(daemon, Method::GET, path, &Value::Null).await;
    let body = answer?.read::<Value>().ok()?;
    body["state"].as_str().map(str::to_owned)
}

/// Two steps, the second of which waits for the first.
fn chain() -> Value {
    let step = |after: Value| json!({"count": 2, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": 400, "after": after});
    json!({"spec": "ms=400", "steps": [step(json!([])), step(json!([0]))]})
}

/// Each version in turn takes the role from the one before, with work of every kind under way.
async fn roll(order: &[Version], departure: Departure) {
    let mut cluster = Cluster::start(0, 4).await;
    let first = start(&cluster, order[0], "vm-0").await;
    cluster.daemons.push(first);
    cluster.wait_until_planned().await;
    let mut ended = Vec::new();
    for (number, version) in (1..).zip(&order[1..]) {
        let next = start(&cluster, *version, &format!("vm-{number}")).await;
        cluster.daemons.push(next);
        cluster.wait_until_planned().await;
        // Daemons are introduced to the planner once a second.
        tokio::time::sleep(LEASE_ENDS).await;
        assert_eq!(cluster.planner(), 0);
        let running = format!("/q1/{}", cluster.new_id());
        let chained = format!("/q2/{}", cluster.new_id());
        let cancelled = format!("/q2/{}", cluster.new_id());
        let waiting = format!("/q2/{}", cluster.new_id());
        let bodies = [
            (&running, gang(4, 2_500)),
            (&chained, chain()),
            (&cancelled, job(2, "ms=60000")),
            (&waiting, job(40, "ms=100")),
        ];
        for (daemon, (path, body)) in (0..2).cycle().zip(&bodies) {
            let status = cluster.submit(daemon, path, body).await;
            assert_eq!(status, Some(StatusCode::OK), "{path}");
        }
        cluster.wait_for(&running, "running").await;
        cluster.wait_for(&cancelled, "running").await;
        let answer = cluster
            .call(1, Method::DELETE, &cancelled, &Value::Null)
            .await;
        assert_eq!(answer.map(|answer| answer.status), Some(StatusCode::OK));
        let mut leaving = cluster.daemons.remove(0);
        match departure {
            Departure::Stop => {
                assert_eq!(leaving.stop().await, Some(0));
            }
            Departure::Kill => leaving.kill().await,
        }
        for path in [&running, &chained, &waiting] {
            cluster.wait_for(path, "completed").await;
            ended.push((path.clone(), "completed"));
        }
        cluster.wait_for(&cancelled, "cancelled").await;
        ended.push((cancelled, "cancelled"));
        assert_eq!(cluster.runs_of(&running[4..]), 4, "nothing ran again");
        // Records of ended jobs are shortened within a second or two.
        tokio::time::sleep(LEASE_ENDS).await;
        for (path, state) in &ended {
            let shown = state_of(&cluster, 0, path).await;
            assert_eq!(shown.as_deref(), Some(*state), "{path} at {version:?}");
        }
        let log = &cluster.daemons[0];
        for words in ["can't decode", "panicked"] {
            assert!(log.log_lines(words).is_empty(), "{words} at {version:?}");
        }
    }
    cluster.assert_no_violations();
}

const THERE_AND_BACK: [Version; 5] = [
    Version::Other,
    Version::This,
    Version::Other,
    Version::This,
    Version::This,
];

#[tokio::test(flavor = "multi_thread")]
#[ignore = "needs the program of another version"]
async fn versions_take_over_from_each_other_as_they_are_stopped() {
    roll(&THERE_AND_BACK, Departure::Stop).await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "needs the program of another version"]
async fn versions_take_over_from_each_other_as_they_are_killed() {
    roll(&THERE_AND_BACK, Departure::Kill).await;
}

/// What one version hears while the store is down, and the other takes over: each is told of its successor.
async fn take_over_after_an_outage(planner: Version, successor: Version) -> usize {
    let mut cluster = Cluster::start(0, 2).await;
    for (version, name) in [(planner, "vm-0"), (successor, "vm-1")] {
        let daemon = start(&cluster, version, name).await;
        cluster.daemons.push(daemon);
        cluster.wait_until_planned().await;
    }
    let path = format!("/q1/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(1, "ms=700")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "running").await;
    cluster.store.set_down(true);
    cluster.daemons[0].wait_for_line(" done; ").await;
    let ran_at = &cluster.workers.records()[0].worker;
    let index = ran_at.strip_prefix("i-").and_then(|n| n.parse().ok());
    cluster.workers.crash(index.expect("a worker"), FOR_GOOD);
    tokio::time::sleep(LEASE_ENDS).await;
    cluster.daemons[0].store.set(LinkMode::Cut);
    cluster.store.set_down(false);
    let superseded = "another daemon has acquired the role";
    cluster.daemons[0].wait_for_line(superseded).await;
    cluster.wait_for(&path, "completed").await;
    assert!(!cluster.daemons[1].log_lines("told=true").is_empty());
    cluster.daemons[0].signal(Signal::SIGTERM);
    cluster.runs_of(&path[4..])
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "needs the program of another version"]
async fn versions_tell_each_other_who_plans() {
    use Version::{Other, This};
    assert_eq!(take_over_after_an_outage(This, This).await, 1);
    for (planner, successor) in [(Other, This), (This, Other)] {
        let runs = take_over_after_an_outage(planner, successor).await;
        // One where both tell what could not be stored.
        assert!((1..=2).contains(&runs), "{runs} runs");
    }
}
