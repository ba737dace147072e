//! Configuration under races, lost answers and cuts.

mod common;

use std::time::{Duration, Instant};

use common::{plan, start};
use futures::future::join_all;
use serde_json::{Value, json};
use stairstall_standin::{Cluster, LinkMode, wait_until};

fn set_weight(id: &str, base: Option<u64>, weight: u32) -> Value {
    json!({"id": id, "base": base, "operations": [{
        "operation": "set", "of": "customer", "selector": "",
        "assignment": {"field": "weight", "value": weight},
    }]})
}

async fn revision_at(cluster: &Cluster, daemon: usize) -> u64 {
    let status = cluster
        .caller
        .status(cluster.daemons[daemon].address())
        .await;
    status
        .and_then(|s| s["daemon"]["revision"].as_u64())
        .unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins_and_the_others_are_told() {
    let cluster = start(plan().with_zones(2)).await;
    let mut base = 1;
    for round in 0..5 {
        let changes: Vec<Value> = (0..8)
            .map(|i| set_weight(&format!("race-{round}-{i}"), Some(base), i + 1))
            .collect();
        let sends = changes.iter().enumerate().map(|(i, change)| {
            let at = cluster.daemons[i % cluster.daemons.len()].address();
            cluster.caller.post(at, "/v1/config", change)
        });
        let replies: Vec<_> = join_all(sends)
            .await
            .into_iter()
            .map(Result::unwrap)
            .collect();
        let won = replies.iter().filter(|r| r.status == 200).count();
        assert_eq!(won, 1, "round {round}");
        for told in replies.iter().filter(|r| r.status != 200) {
            assert_eq!(told.status, 409, "{}", told.text());
            assert!(!told.json()["changes"].as_array().unwrap().is_empty());
        }
        base += 1;
        cluster.wait_for_revision(base).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_is_lost_takes_effect_once() {
    let cluster = start(plan()).await;
    let at = cluster.daemons[0].address();
    for number in 0..40 {
        cluster.store.faults().lose_answers(1);
        let change = set_weight(&format!("lost-{number}"), None, number % 9 + 1);
        let reply = cluster
            .caller
            .post(at, "/v1/config", &change)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.json()["revision"], number + 2);
        // Writes of snapshots and leases may have taken the fault instead.
        cluster.store.faults().lose_answers(0);
    }
    cluster.wait_for_revision(41).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere_within_six_seconds_and_never_reverts() {
    let cluster = start(plan().with_zones(3)).await;
    cluster.store.faults().set_delay(Duration::from_millis(200));
    // One daemon's way to the store goes silent without a word.
    cluster.daemons[1].store.set(LinkMode::Silent);
    let mut slowest = Duration::ZERO;
    let mut seen = vec![0; cluster.daemons.len()];
    for number in 0..4 {
        let at = cluster.daemons[0].address();
        let change = set_weight(&format!("slow-{number}"), None, number + 1);
        let reply = cluster
            .caller
            .post(at, "/v1/config", &change)
            .await
            .unwrap();
        let revision = reply.json()["revision"].as_u64().expect("a revision");
        let accepted = Instant::now();
        for (daemon, known) in seen.iter_mut().enumerate() {
            loop {
                let now = revision_at(&cluster, daemon).await;
                assert!(now >= *known, "never back: {now} after {known}");
                *known = now;
                if now >= revision {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
                assert!(
                    accepted.elapsed() < Duration::from_secs(6),
                    "in force too late"
                );
            }
        }
        slowest = slowest.max(accepted.elapsed());
    }
    println!("slowest of 4 changes over 6 daemons: {slowest:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_daemon_in_a_cut_zone_takes_the_configuration_from_its_peers() {
    let mut cluster = start(plan()).await;
    cluster.store.faults().set_down(true);
    let index = cluster
        .add_daemon("zone-a-vm-9", "zone-a")
        .await
        .expect("started");
    wait_until("the configuration from a peer", async || {
        revision_at(&cluster, index).await == 1
    })
    .await;
    cluster.wait_for_slots().await;
    let at = cluster.daemons[index].address();
    let reply = common::TestCall::new("new-daemon")
        .send(&cluster.caller, at)
        .await
        .unwrap();
    assert_eq!(reply.status, 200, "{}", reply.text());
    let change = set_weight("refused", None, 2);
    let refused = cluster
        .caller
        .post(at, "/v1/config", &change)
        .await
        .unwrap();
    assert_eq!(
        (refused.status.as_u16(), refused.verdict()),
        (503, Some("not-run"))
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_far_behind_starts_from_a_snapshot() {
    let mut cluster = start(plan()).await;
    let at = cluster.daemons[0].address();
    for number in 0..80 {
        let change = set_weight(&format!("many-{number}"), None, number % 9 + 1);
        let reply = cluster
            .caller
            .post(at, "/v1/config", &change)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    let head = cluster.store.dump("stairstall/config/head").remove(0).1;
    let head: Value = serde_json::from_str(&head).unwrap();
    assert!(
        head["tail"].as_array().unwrap().len() <= 33,
        "the tail is bounded"
    );
    assert!(head["snapshot"].as_u64() > Some(0));
    let index = cluster
        .add_daemon("zone-a-vm-9", "zone-a")
        .await
        .expect("started");
    wait_until("the newest revision", async || {
        revision_at(&cluster, index).await == 81
    })
    .await;
}
