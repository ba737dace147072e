//! The planner's list of workers at a size at which changes never stop.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::cluster::Cluster;

/// Workers that are only entries in the directory, of a service without work.
const ENTRIES: usize = 400;
/// How often each of them writes, for so many rounds.
const ROUNDS: usize = 40;
const ROUND: Duration = Duration::from_millis(100);
/// What the planner may take to learn that a worker leaves: half of what the users allow.
const LIMIT: Duration = Duration::from_secs(1);

fn entry(number: usize, round: usize, state: &str) -> Value {
    json!({"service": "other", "address": format!("127.0.0.1:{}", 20_000 + number),
        "zone": "zone-a", "version": "1", "slots": 1, "state": state, "coldLeftMs": 0,
        "seq": round, "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 1},
        "labels": ["a", "r1"], "remainingMs": 5_000})
}

/// Four thousand changes a second in one watch, whose answers hold 500.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_leaves_is_noticed_in_time_while_thousands_of_changes_come() {
    let cluster = Cluster::start(1, 1).await;
    for round in 0..ROUNDS {
        let began = Instant::now();
        for number in 0..ENTRIES {
            let key = format!("servers/i-{number}");
            cluster.store.put(&key, &entry(number, round, "ready"));
        }
        tokio::time::sleep(ROUND.saturating_sub(began.elapsed())).await;
    }
    cluster
        .store
        .put("servers/i-7", &entry(7, ROUNDS, "draining"));
    let said = Instant::now();
    while cluster.daemons[0].log_lines("it is leaving").is_empty() {
        assert!(
            said.elapsed() < LIMIT,
            "the planner lags behind the directory"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
