//! The whole path through real processes: request, job and operator.

mod common;

use common::{TestCall, job, job_state, runs_of, start};
use serde_json::json;
use stairstall_standin::wait_until;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_a_minion_and_its_answer_the_caller() {
    let cluster = start(common::plan()).await;
    cluster.wait_for_slots().await;
    for (index, daemon) in cluster.daemons.iter().enumerate() {
        let id = format!("request-{index}");
        let call = TestCall::new(&id).with_header(stairstall_standin::ANSWER_BYTES, "100000");
        let reply = call
            .send(&cluster.caller, daemon.address())
            .await
            .expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.verdict(), Some("ran"));
        assert_eq!(reply.header("stairstall-request-id"), Some(id.as_str()));
        assert_eq!(reply.body.len(), 100_000);
        assert!(
            reply
                .text()
                .starts_with(&format!("answer to {id}: body of {id}"))
        );
        assert_eq!(runs_of(&cluster, &id), 1);
        let lines = daemon.log_lines(&id);
        assert!(
            lines
                .iter()
                .any(|l| l.contains("minion=") && l.contains("share=")),
            "{lines:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_accepted_runs_as_a_gang_and_is_told_by_any_daemon() {
    let cluster = start(common::plan().with_speed(10)).await;
    let shape = json!({"members": 4, "accelerators": 8, "processors": 4, "adjacent": true});
    let body = job("fonts", "package-1", &shape, 5_000);
    let first = cluster.daemons[0].address();
    let reply = cluster
        .caller
        .post(first, "/v1/jobs", &body)
        .await
        .expect("an answer");
    assert_eq!(reply.status, 201, "{}", reply.text());
    // The same submission again is the same job.
    let second = cluster.daemons[1].address();
    let reply = cluster
        .caller
        .post(second, "/v1/jobs", &body)
        .await
        .expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    wait_until("the job's end", async || {
        job_state(&cluster, second, "fonts/package-1").await["state"] == "finished"
    })
    .await;
    let record = job_state(&cluster, second, "fonts/package-1").await;
    assert_eq!(record["success"], true);
    assert_eq!(record["output"], "done by member 0 of fonts/package-1");
    let starts = cluster.starts();
    assert_eq!(starts.len(), 4, "{starts:?}");
    assert!(starts.iter().all(|s| s.confirmed && s.gang == 4));
    let explained = cluster
        .caller
        .get(second, "/v1/jobs/fonts/package-1/explain")
        .await;
    assert_eq!(explained.expect("an answer").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_selector_changes_a_group_in_one_step_and_is_in_force_everywhere() {
    let cluster = start(common::plan().with_zones(2)).await;
    let set = |id: &str, base: Option<u64>| {
        json!({"id": id, "base": base, "operations": [{
            "operation": "set", "of": "priority-class", "selector": "",
            "assignment": {"field": "weight", "value": 3},
        }]})
    };
    let at = cluster.daemons[0].address();
    let dry = cluster
        .caller
        .post(at, "/v1/config?dry-run=true", &set("dry", None))
        .await;
    assert_eq!(dry.expect("an answer").json()["revision"], 2);
    let reply = cluster
        .caller
        .post(at, "/v1/config", &set("all-three", Some(1)))
        .await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.json()["revision"], 2, "{}", reply.text());
    cluster.wait_for_revision(2).await;
    for daemon in &cluster.daemons {
        let get = cluster
            .caller
            .get(daemon.address(), "/v1/config/priority-class")
            .await;
        let resources = get.expect("an answer").json()["resources"].clone();
        let weights: Vec<u64> = resources
            .as_array()
            .unwrap()
            .iter()
            .map(|r| r["weight"].as_u64().unwrap())
            .collect();
        assert_eq!(weights, [3, 3, 3]);
    }
    // The operator who saw revision 1 is told what changed; the same change again is the same.
    let late = cluster
        .caller
        .post(at, "/v1/config", &set("late", Some(1)))
        .await
        .unwrap();
    assert_eq!(late.status, 409);
    assert_eq!(late.json()["changes"][0]["change"]["id"], "all-three");
    let again = cluster
        .caller
        .post(at, "/v1/config", &set("all-three", Some(1)))
        .await
        .unwrap();
    assert_eq!(again.json()["revision"], 2, "{}", again.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_does_not_end_the_daemon() {
    let mut cluster = start(common::plan()).await;
    let daemon = &mut cluster.daemons[0];
    daemon.hang_up();
    wait_until("the line about it", async || {
        !daemon.log_lines("hold until the next start").is_empty()
    })
    .await;
    assert_eq!(daemon.stop().await, Some(0), "it stops when it is asked to");
}
