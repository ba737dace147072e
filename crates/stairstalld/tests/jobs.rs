//! Gangs and the placement role under faults.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{
    gang, job, job_state, plan, running, start, starts_of, submit, wait_for_confirmed, wait_for_end,
};
use serde_json::{Value, json};
use stairstall_standin::{Cluster, LinkMode, StartRecord, wait_until};

/// Starts of a job's members, by attempt.
fn attempts(cluster: &Cluster, job: &str) -> BTreeMap<String, Vec<StartRecord>> {
    let mut attempts: BTreeMap<String, Vec<StartRecord>> = BTreeMap::new();
    for start in starts_of(cluster, job) {
        attempts
            .entry(start.task.attempt.to_string())
            .or_default()
            .push(start);
    }
    attempts
}

async fn wait_for_state(cluster: &Cluster, job: &str, state: &str) -> Value {
    let record = wait_for_end(cluster, running(cluster), job).await;
    assert_eq!(record["state"], state, "{record}");
    record
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_holder_costs_no_job_and_starts_none_twice() {
    let mut cluster = start(plan()).await;
    submit(&cluster, &job("fonts", "running", &gang(3), 6_000)).await;
    wait_for_confirmed(&cluster, "fonts/running", 3).await;
    submit(&cluster, &job("fonts", "waiting", &gang(3), 500)).await;
    let holder = cluster.holder_of("zone-a").await.expect("a holder");
    cluster.daemons[holder].kill().await;
    for id in ["fonts/running", "fonts/waiting"] {
        let record = wait_for_state(&cluster, id, "finished").await;
        assert_eq!(record["success"], true);
        let attempts = attempts(&cluster, id);
        assert_eq!(attempts.len(), 1, "{id} started once: {attempts:?}");
        assert!(attempts.values().all(|a| a.len() == 3));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_frozen_past_its_lease_starts_nothing_when_it_thaws() {
    let cluster = start(plan()).await;
    let holder = cluster.holder_of("zone-a").await.expect("a holder");
    let other = 1 - holder;
    submit(&cluster, &job("fonts", "long", &gang(2), 9_000)).await;
    wait_for_confirmed(&cluster, "fonts/long", 2).await;
    cluster.daemons[holder].freeze();
    let body = job("fonts", "late", &gang(2), 300);
    let at = cluster.daemons[other].address();
    let reply = cluster
        .caller
        .post(at, "/v1/jobs", &body)
        .await
        .expect("an answer");
    assert_eq!(reply.status, 201, "{}", reply.text());
    wait_until("a successor", async || {
        let status = cluster.caller.status(at).await;
        status.is_some_and(|s| s["daemon"]["token"].is_u64())
    })
    .await;
    cluster.daemons[holder].thaw();
    for id in ["fonts/late", "fonts/long"] {
        wait_until(id, async || {
            job_state(&cluster, at, id).await["state"] == "finished"
        })
        .await;
        let attempts = attempts(&cluster, id);
        assert_eq!(attempts.len(), 1, "{id}: {attempts:?}");
        assert_eq!(attempts.values().next().expect("one").len(), 2);
    }
    wait_until("the old holder to step down", async || {
        let status = cluster
            .caller
            .status(cluster.daemons[holder].address())
            .await;
        status.is_some_and(|s| s["daemon"]["token"].is_null())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_member_stops_the_gang_and_paid_work_is_not_tried_again() {
    for repeatable in [false, true] {
        let mut cluster = start(plan()).await;
        let mut body = job("fonts", "package", &gang(2), 4_000);
        body["repeatable"] = json!(repeatable);
        submit(&cluster, &body).await;
        wait_for_confirmed(&cluster, "fonts/package", 2).await;
        let first = attempts(&cluster, "fonts/package")
            .into_keys()
            .next()
            .expect("an attempt");
        let victim = cluster
            .workers
            .iter()
            .position(|w| w.standin.as_ref().is_some_and(|s| s.running() > 0));
        cluster
            .restart_worker(victim.expect("a worker that runs it"), 1_000)
            .await
            .expect("started");
        if repeatable {
            wait_for_state(&cluster, "fonts/package", "finished").await;
            assert_eq!(attempts(&cluster, "fonts/package").len(), 2);
        } else {
            let record = wait_for_state(&cluster, "fonts/package", "ended").await;
            assert_eq!(record["verdict"], "may-have-run");
            let attempts = attempts(&cluster, "fonts/package");
            assert_eq!(attempts.len(), 1, "never started again: {attempts:?}");
            let left = &attempts[&first];
            assert!(
                left.iter().all(|s| s.ended.is_some()),
                "the other member was stopped"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_that_can_not_be_reserved_whole_starts_nowhere_and_moves_on() {
    let cluster = start(plan().with_sizes(2, 1, 4)).await;
    // The next reservation on this worker is lost: it answers nothing.
    cluster.workers[0].link.set(LinkMode::Silent);
    let body = job("fonts", "package", &gang(3), 500);
    submit(&cluster, &body).await;
    let record = wait_for_state(&cluster, "fonts/package", "finished").await;
    assert_eq!(record["success"], true);
    let attempts = attempts(&cluster, "fonts/package");
    let partial: Vec<_> = attempts.values().filter(|a| a.len() != 3).collect();
    assert!(partial.is_empty(), "a part of a gang ran: {partial:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_outage_of_the_store_stops_nothing_that_runs() {
    let cluster = start(plan()).await;
    submit(&cluster, &job("fonts", "running", &gang(2), 27_000)).await;
    wait_for_confirmed(&cluster, "fonts/running", 2).await;
    let mut draft = job("mesa", "draft", &gang(2), 500);
    draft["repeatable"] = json!(true);
    cluster.store.faults().set_down(true);
    let at = cluster.daemons[0].address();
    let refused = cluster
        .caller
        .post(at, "/v1/jobs", &draft)
        .await
        .expect("an answer");
    assert_eq!(
        refused.status,
        503,
        "not accepted without the store: {}",
        refused.text()
    );
    // Longer than the lease of tasks.
    tokio::time::sleep(Duration::from_secs(23)).await;
    cluster.store.faults().set_down(false);
    let record = wait_for_state(&cluster, "fonts/running", "finished").await;
    assert_eq!(record["success"], true);
    assert_eq!(attempts(&cluster, "fonts/running").len(), 1);
    submit(&cluster, &draft).await;
    wait_for_state(&cluster, "mesa/draft", "finished").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_dies_while_the_store_is_down_takes_no_gang_with_it() {
    let mut cluster = start(plan()).await;
    submit(&cluster, &job("fonts", "running", &gang(2), 34_000)).await;
    wait_for_confirmed(&cluster, "fonts/running", 2).await;
    let holder = cluster.holder_of("zone-a").await.expect("a holder");
    cluster.store.faults().set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.daemons[holder].kill().await;
    // Longer than the lease of tasks.
    tokio::time::sleep(Duration::from_secs(26)).await;
    let running = attempts(&cluster, "fonts/running");
    assert!(
        running.values().flatten().all(|s| s.ended.is_none()),
        "still runs: {running:?}"
    );
    cluster.store.faults().set_down(false);
    let record = wait_for_state(&cluster, "fonts/running", "finished").await;
    assert_eq!(record["success"], true, "{record}");
    assert_eq!(attempts(&cluster, "fonts/running").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guarantee_is_reclaimed_in_time_however_busy_the_racks_are() {
    let cluster = start(plan().with_sizes(2, 1, 8)).await;
    let shape = json!({"members": 4, "accelerators": 8, "processors": 8, "adjacent": true});
    let guarantee = json!({"kind": "guarantee", "name": "mesa-rack", "customer": "mesa",
        "zone": "zone-a", "shape": shape});
    cluster.apply(&[guarantee]).await;
    for number in 0..64 {
        let mut small = job(
            "tenant",
            &format!("small-{number}"),
            &json!({"members": 1, "accelerators": 1}),
            600_000,
        );
        small["repeatable"] = json!(true);
        small["checkpoint_ms"] = json!(1_500);
        submit(&cluster, &small).await;
    }
    let running = || {
        cluster
            .starts()
            .iter()
            .filter(|s| s.ended.is_none())
            .count()
    };
    wait_until("every accelerator taken", async || running() == 64).await;
    let asked = Instant::now();
    submit(&cluster, &job("mesa", "draft", &shape, 1_000)).await;
    wait_for_confirmed(&cluster, "mesa/draft", 4).await;
    let took = asked.elapsed();
    assert!(
        took < Duration::from_millis(4_400),
        "reclaimed after {took:?}"
    );
    wait_for_state(&cluster, "mesa/draft", "finished").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paid_work_never_borrows_a_guaranteed_block() {
    let cluster = start(plan().with_sizes(1, 1, 2)).await;
    let shape = json!({"members": 1, "accelerators": 8, "adjacent": true});
    let guarantee = json!({"kind": "guarantee", "name": "half", "customer": "mesa",
        "zone": "zone-a", "shape": shape});
    cluster.apply(&[guarantee]).await;
    for number in 0..2 {
        submit(
            &cluster,
            &job("fonts", &format!("paid-{number}"), &gang(1), 600_000),
        )
        .await;
    }
    wait_until("one of them", async || !cluster.starts().is_empty()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        cluster.starts().len(),
        1,
        "the other waits: its block is guaranteed"
    );
    submit(&cluster, &job("mesa", "claim", &shape, 300)).await;
    wait_for_state(&cluster, "mesa/claim", "finished").await;
    // A second guarantee finds no block beside the first and the paid work.
    let second = json!({"id": "second", "operations": [{"operation": "put", "resource": {
        "kind": "guarantee", "name": "other-half", "customer": "tenant", "zone": "zone-a",
        "shape": shape}}]});
    let at = cluster.daemons[0].address();
    let reply = cluster
        .caller
        .post(at, "/v1/config", &second)
        .await
        .expect("an answer");
    assert_eq!(reply.status, 409, "{}", reply.text());
    assert!(reply.text().contains("other-half"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_acceptance_whose_answer_is_lost_makes_one_job() {
    let cluster = start(plan().with_sizes(2, 1, 2)).await;
    let body = job("fonts", "once", &gang(1), 300);
    cluster.store.faults().lose_answers(1);
    submit(&cluster, &body).await;
    submit(&cluster, &body).await;
    wait_for_state(&cluster, "fonts/once", "finished").await;
    assert_eq!(attempts(&cluster, "fonts/once").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_placement_whose_record_is_lost_starts_once() {
    let cluster = start(plan().with_sizes(2, 1, 2)).await;
    for number in 0..6 {
        let id = format!("lost-{number}");
        submit(&cluster, &job("fonts", &id, &gang(1), 200)).await;
        cluster.store.faults().lose_answers(2);
        wait_for_state(&cluster, &format!("fonts/{id}"), "finished").await;
        assert_eq!(attempts(&cluster, &format!("fonts/{id}")).len(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_ends_with_what_is_known() {
    let cluster = start(plan().with_sizes(2, 1, 1)).await;
    submit(&cluster, &job("fonts", "first", &gang(1), 600_000)).await;
    wait_for_confirmed(&cluster, "fonts/first", 1).await;
    submit(&cluster, &job("fonts", "second", &gang(1), 600_000)).await;
    let at = cluster.daemons[0].address();
    for (id, verdict) in [("second", "not-run"), ("first", "may-have-run")] {
        let path = format!("/v1/jobs/fonts/{id}");
        let sent = cluster
            .caller
            .send(hyper::Method::DELETE, at, &path, &[], "")
            .await;
        assert_eq!(sent.expect("an answer").status, 202);
        let record = wait_for_state(&cluster, &format!("fonts/{id}"), "ended").await;
        assert_eq!(record["verdict"], verdict, "{record}");
    }
    assert_eq!(attempts(&cluster, "fonts/second").len(), 0);
}
