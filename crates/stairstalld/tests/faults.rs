//! Cuts, freezes and several faults at once; the checks read what workers and minions recorded.

mod common;

use std::time::Duration;

use common::{
    TestCall, gang, job, plan, runs_of, start, starts_of, submit_at, wait_for_confirmed,
    wait_for_end,
};
use futures::future::join_all;
use serde_json::json;
use stairstall_standin::{LinkMode, WorkerStandin, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_answers_are_lost_stops_its_member_before_the_place_is_used_again() {
    let cluster = start(plan().with_sizes(2, 1, 3)).await;
    let mut body = job("fonts", "draft", &gang(2), 40_000);
    body["repeatable"] = json!(true);
    submit_at(&cluster, cluster.daemons[0].address(), &body).await;
    wait_for_confirmed(&cluster, "fonts/draft", 2).await;
    let cut = cluster
        .workers
        .iter()
        .position(|w| w.standin.as_ref().is_some_and(|s| s.running() > 0));
    let cut = &cluster.workers[cut.expect("a worker that runs it")];
    cut.link.set(LinkMode::LoseAnswers);
    // Its leases end although requests still reach it, and only then is the gang given up.
    tokio::time::sleep(Duration::from_secs(15)).await;
    let running = cut.standin.as_ref().expect("it runs").running();
    assert_eq!(running, 1, "the lease has not ended yet");
    wait_until("a second attempt", async || {
        let attempts: std::collections::BTreeSet<_> = starts_of(&cluster, "fonts/draft")
            .iter()
            .map(|s| s.task.attempt)
            .collect();
        attempts.len() == 2
    })
    .await;
    let starts = starts_of(&cluster, "fonts/draft");
    let first = starts
        .iter()
        .map(|s| s.task.attempt)
        .min()
        .expect("an attempt");
    let old = starts.iter().filter(|s| s.task.attempt == first);
    assert!(
        old.clone().all(|s| s.ended.is_some()),
        "the first attempt is over: {starts:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_cut_off_from_the_store_hands_over_and_starts_nothing_twice() {
    let cluster = start(plan()).await;
    let holder = cluster.holder_of("zone-a").await.expect("a holder");
    let other = 1 - holder;
    submit_at(
        &cluster,
        cluster.daemons[other].address(),
        &job("fonts", "running", &gang(2), 12_000),
    )
    .await;
    wait_for_confirmed(&cluster, "fonts/running", 2).await;
    cluster.daemons[holder].store.set(LinkMode::Silent);
    submit_at(
        &cluster,
        cluster.daemons[other].address(),
        &job("fonts", "waiting", &gang(2), 500),
    )
    .await;
    for id in ["fonts/waiting", "fonts/running"] {
        let record = wait_for_end(&cluster, cluster.daemons[other].address(), id).await;
        assert_eq!(record["success"], true, "{record}");
        assert_eq!(starts_of(&cluster, id).len(), 2, "{id} started once");
    }
    cluster.daemons[holder].store.set(LinkMode::Pass);
    let holders = async || {
        let mut tokens = 0;
        for daemon in &cluster.daemons {
            let status = cluster.caller.status(daemon.address()).await;
            tokens += usize::from(status.is_some_and(|s| s["daemon"]["token"].is_u64()));
        }
        tokens
    };
    wait_until("one holder", async || holders().await == 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_and_a_worker_that_die_together_leave_no_part_of_a_gang() {
    let mut cluster = start(plan()).await;
    submit_at(
        &cluster,
        cluster.daemons[0].address(),
        &job("fonts", "paid", &gang(2), 20_000),
    )
    .await;
    let mut draft = job("mesa", "draft", &gang(2), 3_000);
    draft["repeatable"] = json!(true);
    submit_at(&cluster, cluster.daemons[0].address(), &draft).await;
    wait_for_confirmed(&cluster, "fonts/paid", 2).await;
    wait_for_confirmed(&cluster, "mesa/draft", 2).await;
    let paid = starts_of(&cluster, "fonts/paid");
    let victim = cluster.workers.iter().position(|w| {
        let starts = w
            .standin
            .as_ref()
            .map(WorkerStandin::starts)
            .unwrap_or_default();
        starts.iter().any(|s| s.task == paid[0].task)
    });
    let holder = cluster.holder_of("zone-a").await.expect("a holder");
    cluster
        .restart_worker(victim.expect("it runs there"), 500)
        .await
        .expect("started");
    cluster.daemons[holder].kill().await;
    let survivor = 1 - holder;
    let record = wait_for_end(&cluster, cluster.daemons[survivor].address(), "fonts/paid").await;
    assert_eq!(
        (&record["state"], &record["verdict"]),
        (&json!("ended"), &json!("may-have-run"))
    );
    let left = starts_of(&cluster, "fonts/paid");
    assert!(
        left.iter().all(|s| s.ended.is_some()),
        "no part runs on: {left:?}"
    );
    let record = wait_for_end(&cluster, cluster.daemons[survivor].address(), "mesa/draft").await;
    assert_eq!(record["success"], true, "{record}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_zone_goes_on_serving_what_it_can() {
    let cluster = start(plan().with_zones(2)).await;
    cluster.wait_for_slots().await;
    let zone_b = cluster.daemons_of("zone-b");
    let mut body = job("fonts", "running", &gang(2), 26_000);
    body["zone"] = json!("zone-b");
    submit_at(&cluster, cluster.daemons[zone_b[0]].address(), &body).await;
    wait_for_confirmed(&cluster, "fonts/running", 2).await;
    for index in &zone_b {
        cluster.daemons[*index].store.set(LinkMode::Cut);
    }
    for number in 0..40 {
        let id = format!("cut-{number}");
        let at = cluster.daemons[zone_b[number % 2]].address();
        let reply = TestCall::new(&id)
            .send(&cluster.caller, at)
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.text());
        tokio::time::sleep(Duration::from_millis(550)).await;
    }
    let at = cluster.daemons[zone_b[0]].address();
    let paid = TestCall::new("paid")
        .not_repeatable()
        .send(&cluster.caller, at)
        .await;
    let paid = paid.expect("an answer");
    assert_eq!(
        (paid.status.as_u16(), paid.verdict()),
        (503, Some("not-run"))
    );
    assert_eq!(runs_of(&cluster, "paid"), 0);
    for index in &zone_b {
        cluster.daemons[*index].store.set(LinkMode::Pass);
    }
    let record = wait_for_end(
        &cluster,
        cluster.daemons[zone_b[0]].address(),
        "fonts/running",
    )
    .await;
    assert_eq!(record["success"], true, "{record}");
    assert_eq!(starts_of(&cluster, "fonts/running").len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_breaks_no_promise_when_it_thaws() {
    let cluster = start(plan().with_sizes(3, 2, 1)).await;
    cluster.wait_for_slots().await;
    let ids: Vec<String> = (0..240).map(|i| format!("freeze-{i}")).collect();
    let calls: Vec<TestCall<'_>> = ids
        .iter()
        .enumerate()
        .map(|(i, id)| {
            let mut call = TestCall::new(id).with_work_ms(40);
            call.repeatable = i % 3 != 0;
            call.with_header("stairstall-deadline-ms", "20000")
        })
        .collect();
    let sends = calls.iter().enumerate().map(|(i, call)| {
        let cluster = &cluster;
        async move {
            tokio::time::sleep(Duration::from_millis(30 * i as u64)).await;
            call.send(&cluster.caller, cluster.daemons[i % 3].address())
                .await
        }
    });
    let freezing = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        cluster.daemons[1].freeze();
        tokio::time::sleep(Duration::from_secs(4)).await;
        cluster.daemons[1].thaw();
    };
    let (replies, ()) = tokio::join!(join_all(sends), freezing);
    for ((id, call), reply) in ids.iter().zip(&calls).zip(&replies) {
        let reply = reply.as_ref().expect("an answer");
        let ran = runs_of(&cluster, id);
        assert!(call.repeatable || ran <= 1, "{id} ran {ran} times");
        if reply.verdict() == Some("not-run") {
            assert_eq!(ran, 0, "{id} was said not to have run");
        }
    }
    for minion in &cluster.minions {
        let most = minion.standin.as_ref().expect("it runs").most_busy();
        assert!(most <= 8, "{} ran {most}", minion.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_is_replaced_under_load_without_one_cut_request() {
    let mut cluster = start(plan().with_sizes(2, 2, 4)).await;
    cluster.wait_for_slots().await;
    submit_at(
        &cluster,
        cluster.daemons[0].address(),
        &job("fonts", "running", &gang(4), 12_000),
    )
    .await;
    wait_for_confirmed(&cluster, "fonts/running", 4).await;
    for round in 0..2 {
        let name = format!("zone-a-vm-new-{round}");
        let new = cluster.add_daemon(&name, "zone-a").await.expect("started");
        cluster.wait_for_revision(1).await;
        cluster.wait_for_slots().await;
        let (old, fresh) = (
            cluster.daemons[round].address(),
            cluster.daemons[new].address(),
        );
        let ids: Vec<String> = (0..60).map(|i| format!("round-{round}-{i}")).collect();
        let caller = cluster.caller.clone();
        let sends = join_all(ids.iter().enumerate().map(|(i, id)| {
            let caller = caller.clone();
            async move {
                tokio::time::sleep(Duration::from_millis(20 * i as u64)).await;
                // The balancer notices the failing health check after a while.
                let to = if i < 30 { old } else { fresh };
                let mut call = TestCall::new(id).with_work_ms(500);
                call.repeatable = i % 2 == 0;
                call.send(&caller, to).await
            }
        }));
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            cluster.daemons[round].ask_to_stop();
        };
        let (replies, ()) = tokio::join!(sends, stopping);
        for (id, reply) in ids.iter().zip(replies) {
            let reply = reply.unwrap_or_else(|e| panic!("{id} was cut off: {e:?}"));
            assert_eq!(reply.status, 200, "{id}: {}", reply.text());
        }
        assert_eq!(cluster.daemons[round].stop().await, Some(0));
        cluster.vm_list.remove(&format!("zone-a-vm-{round}"));
    }
    let record = wait_for_end(&cluster, cluster.daemons[2].address(), "fonts/running").await;
    assert_eq!(record["success"], true, "{record}");
    assert_eq!(starts_of(&cluster, "fonts/running").len(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_with_lost_answers_and_a_killed_holder_starts_nothing_twice() {
    let mut cluster = start(plan().with_sizes(3, 1, 4)).await;
    cluster.store.faults().set_delay(Duration::from_millis(150));
    for number in 0..12 {
        let body = job("fonts", &format!("paid-{number}"), &gang(1), 400);
        cluster.store.faults().lose_answers(1);
        submit_at(&cluster, cluster.daemons[number % 3].address(), &body).await;
    }
    let holder = cluster.holder_of("zone-a").await.expect("a holder");
    cluster.daemons[holder].kill().await;
    cluster.store.faults().lose_answers(4);
    let survivor = (holder + 1) % 3;
    for number in 0..12 {
        let id = format!("fonts/paid-{number}");
        let record = wait_for_end(&cluster, cluster.daemons[survivor].address(), &id).await;
        let starts = starts_of(&cluster, &id).len();
        assert!(starts <= 1, "{id} started {starts} times");
        if record["state"] == "finished" {
            assert_eq!(starts, 1);
        } else {
            assert_eq!(record["verdict"] == "not-run", starts == 0, "{record}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leases_that_the_store_lost_are_taken_anew() {
    let cluster = start(plan()).await;
    cluster.wait_for_slots().await;
    let at = cluster.daemons[0].address();
    let warm = TestCall::new("warm")
        .not_repeatable()
        .send(&cluster.caller, at)
        .await;
    assert_eq!(warm.expect("an answer").status, 200);
    submit_at(&cluster, at, &job("fonts", "before", &gang(1), 4_000)).await;
    wait_for_confirmed(&cluster, "fonts/before", 1).await;
    cluster.store.drop_leases();
    let paid = TestCall::new("paid")
        .not_repeatable()
        .send(&cluster.caller, at)
        .await;
    let paid = paid.expect("an answer");
    assert_eq!(paid.status, 200, "{}", paid.text());
    submit_at(&cluster, at, &job("fonts", "after", &gang(1), 300)).await;
    for id in ["fonts/after", "fonts/before"] {
        let record = wait_for_end(&cluster, at, id).await;
        assert_eq!(record["success"], true, "{record}");
        assert_eq!(starts_of(&cluster, id).len(), 1, "{id} started once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_off_nothing_while_the_store_is_down_and_a_peer_dies() {
    let mut cluster = start(plan().with_sizes(3, 2, 2)).await;
    cluster.wait_for_slots().await;
    submit_at(
        &cluster,
        cluster.daemons[0].address(),
        &job("fonts", "running", &gang(2), 9_000),
    )
    .await;
    wait_for_confirmed(&cluster, "fonts/running", 2).await;
    let at = cluster.daemons[0].address();
    let ids: Vec<String> = (0..8).map(|i| format!("in-flight-{i}")).collect();
    let calls: Vec<TestCall<'_>> = ids
        .iter()
        .map(|id| TestCall::new(id).with_work_ms(3_000))
        .collect();
    let caller = cluster.caller.clone();
    let sends = join_all(calls.iter().map(|call| call.send(&caller, at)));
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.store.faults().set_down(true);
        cluster.daemons[0].ask_to_stop();
        cluster.daemons[1].kill().await;
    };
    let (replies, ()) = tokio::join!(sends, stopping);
    for reply in replies {
        assert_eq!(reply.expect("a whole answer").status, 200);
    }
    assert_eq!(cluster.daemons[0].stop().await, Some(0));
    cluster.store.faults().set_down(false);
    let at = cluster.daemons[2].address();
    let record = wait_for_end(&cluster, at, "fonts/running").await;
    assert_eq!(record["success"], true, "{record}");
    assert_eq!(starts_of(&cluster, "fonts/running").len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_gets_no_new_member_though_the_holder_dies() {
    let mut cluster = start(plan()).await;
    cluster.vm_list.set_leaving(&cluster.workers[0].name);
    // The list lags by 5 s and is read each second.
    tokio::time::sleep(Duration::from_millis(6_500)).await;
    let holder = cluster.holder_of("zone-a").await.expect("a holder");
    cluster.daemons[holder].kill().await;
    let at = cluster.daemons[1 - holder].address();
    for number in 0..6 {
        submit_at(
            &cluster,
            at,
            &job("fonts", &format!("job-{number}"), &gang(1), 500),
        )
        .await;
    }
    for number in 0..6 {
        wait_for_end(&cluster, at, &format!("fonts/job-{number}")).await;
    }
    let leaving = cluster.workers[0].standin.as_ref().expect("it runs");
    assert!(leaving.starts().is_empty(), "{:?}", leaving.starts());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_survives_the_daemon_that_took_it() {
    let mut cluster = start(plan().with_zones(2)).await;
    for round in 0..2_usize {
        let at = cluster.daemons[round].address();
        let change = json!({"id": format!("weight-{round}"), "operations": [{
            "operation": "set", "of": "customer", "selector": "",
            "assignment": {"field": "weight", "value": round + 5}}]});
        let reply = cluster
            .caller
            .post(at, "/v1/config", &change)
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.text());
        cluster.daemons[round].kill().await;
        // The other zone's daemons, and one of them frozen meanwhile.
        cluster.daemons[2].freeze();
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        cluster.daemons[2].thaw();
        cluster.wait_for_revision(round as u64 + 2).await;
        let get = cluster
            .caller
            .get(cluster.daemons[2].address(), "/v1/config/customer")
            .await;
        let weight = get.expect("an answer").json()["resources"][0]["weight"].clone();
        assert_eq!(weight, round + 5);
    }
}
