//! The whole path on a calm day.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};

use crate::cluster::{Cluster, PATIENCE, configuration, gang, job};

#[tokio::test(flavor = "multi_thread")]
async fn jobs_gangs_and_steps_run_through_any_daemon() {
    let mut cluster = Cluster::start(3, 4).await;
    let plain = format!("/q2/{}", cluster.new_id());
    let gangs = format!("/q1/{}", cluster.new_id());
    let steps = format!("/q0/{}", cluster.new_id());
    let two_steps = json!({"spec": "ms=50", "steps": [
        {"count": 2, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": 50},
        {"count": 2, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": 50, "dependsOn": [0]}]});
    let all = [
        (&plain, job(5, "ms=80")),
        (&gangs, gang(6, 150)),
        (&steps, two_steps),
    ];
    for (daemon, (path, body)) in all.iter().enumerate() {
        let status = cluster.submit(daemon, path, body).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
    // The same name again is the same job.
    let again = cluster.submit(2, &plain, &job(5, "ms=80")).await;
    assert_eq!(again, Some(StatusCode::OK));
    for (path, _) in &all {
        cluster.wait_for(path, "completed").await;
    }
    assert_eq!(cluster.runs_of(&plain[4..]), 5);
    assert_eq!(cluster.runs_of(&gangs[4..]), 6);
    assert_eq!(cluster.runs_of(&steps[4..]), 4);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_ended_job_is_known_to_the_next_planner_after_its_record_is_shortened() {
    let mut cluster = Cluster::start(2, 2).await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(3, "ms=50")).await;
    cluster.wait_for(&path, "completed").await;
    let planner = cluster.planner();
    cluster.daemons[planner]
        .wait_for_line("shortening records of ended jobs")
        .await;
    cluster.daemons[planner].kill().await;
    cluster.daemons.remove(planner);
    let again = cluster.submit(0, &path, &job(3, "ms=50")).await;
    assert_eq!(again, Some(StatusCode::OK), "it is the same job");
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.runs_of(&path[4..]), 3, "nothing was started again");
    cluster.assert_no_violations();
}

/// Returns the key-values of a log line.
fn key_values(line: &str) -> BTreeMap<&str, &str> {
    let words = line.split_whitespace();
    words.filter_map(|word| word.split_once('=')).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_jobs_decisions_and_its_end_are_logged_with_keys() {
    let mut cluster = Cluster::start(1, 2).await;
    let id = cluster.new_id();
    let path = format!("/q1/{id}");
    cluster.submit(0, &path, &gang(2, 300)).await;
    cluster.wait_for(&path, "completed").await;
    let daemon = &cluster.daemons[0];
    for target in ["INFO place ", "INFO start ", "INFO end "] {
        let lines = daemon.log_lines(target);
        let lines: Vec<_> = lines.iter().filter(|line| line.contains(&id)).collect();
        assert_eq!(lines.len(), 2, "{target}: one a member");
        for line in lines {
            let values = key_values(line);
            assert_eq!(values.get("job"), Some(&id.as_str()), "{line}");
            for key in ["token", "task", "run", "worker"] {
                assert!(values.contains_key(key), "{key} is missing in {line}");
            }
        }
    }
    // Its end is shown as soon as it is kept; the line follows with the planner's next look at the job.
    let until = Instant::now() + PATIENCE;
    let mut lines = daemon.log_lines("job end stored");
    while lines.is_empty() && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(10)).await;
        lines = daemon.log_lines("job end stored");
    }
    let [line] = lines.as_slice() else {
        panic!("one line of its end: {lines:?}");
    };
    let values = key_values(line);
    assert_eq!(values.get("job"), Some(&id.as_str()));
    assert_eq!(values.get("outcome"), Some(&"Completed"));
    assert_eq!(values.get("setbacks"), Some(&"none"));
    assert_eq!(values.get("starts"), Some(&"2"));
    let ms = |key: &str| values[key].parse::<u64>().expect("milliseconds");
    let spans = [
        "known", "room", "stops", "record", "start", "run", "rerun", "silent", "write",
    ];
    let told: u64 = spans.iter().map(|span| ms(&format!("{span}_ms"))).sum();
    assert!(ms("run_ms") >= 200, "{line}");
    assert!(
        told.abs_diff(ms("whole_ms")) <= 100,
        "its spans make up the whole: {line}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_fails_is_tried_as_often_as_allowed() {
    let mut cluster = Cluster::start(1, 4).await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(1, "ms=30 fail")).await;
    cluster.wait_for(&path, "failed").await;
    assert_eq!(cluster.runs_of(&path[4..]), 3);
}

/// Ends that are not `done` have a log target of their own, which those of a busy fleet can't fill.
#[tokio::test(flavor = "multi_thread")]
async fn ends_that_are_not_done_are_logged_as_setbacks() {
    let mut cluster = Cluster::start(1, 4).await;
    let (fails, ends) = (cluster.new_id(), cluster.new_id());
    let work = [
        (&fails, "ms=30 fail", "failed"),
        (&ends, "ms=30", "completed"),
    ];
    for (id, payload, state) in work {
        let path = format!("/q2/{id}");
        cluster.submit(0, &path, &job(1, payload)).await;
        cluster.wait_for(&path, state).await;
    }
    let lines_of = |target: &str, id: &str| {
        let lines = cluster.daemons[0].log_lines(target).into_iter();
        lines.filter(|line| line.contains(id)).collect::<Vec<_>>()
    };
    let setbacks = lines_of("INFO setback ", &fails);
    assert_eq!(setbacks.len(), 3, "{setbacks:?}");
    for line in &setbacks {
        let values = key_values(line);
        for key in ["token", "job", "task", "run", "worker"] {
            assert!(values.contains_key(key), "{key} is missing in {line}");
        }
    }
    assert!(lines_of("INFO end ", &fails).is_empty());
    assert!(lines_of("INFO setback ", &ends).is_empty());
    assert_eq!(lines_of("INFO end ", &ends).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops_and_starts_nothing_more() {
    let mut cluster = Cluster::start(2, 2).await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(30, "ms=60000")).await;
    cluster.wait_for(&path, "running").await;
    let answer = cluster.call(1, Method::DELETE, &path, &Value::Null).await;
    assert_eq!(answer.map(|a| a.status), Some(StatusCode::OK));
    cluster.workers.note_cancelled(&path[4..]);
    cluster.wait_for(&path, "cancelled").await;
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    let records = cluster.workers.records();
    assert!(
        records.iter().all(|record| record.how == Some("stopped")),
        "{records:?}"
    );
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_refusal() {
    let mut cluster = Cluster::start(1, 1).await;
    let id = cluster.new_id();
    let path = format!("/q2/{id}");
    let status = |answer: Option<stairstall_http::JsonResponse>| answer.map(|a| a.status);
    let post = |key: &'static str, path: String, body: Value| {
        let cluster = &cluster;
        async move { status(cluster.call_as(key, 0, Method::POST, &path, &body).await) }
    };
    let good = job(1, "ms=10");
    assert_eq!(
        post("nobody", path.clone(), good.clone()).await,
        Some(StatusCode::UNAUTHORIZED)
    );
    assert_eq!(
        post("key-mesa", "/other/1".into(), good.clone()).await,
        Some(StatusCode::NOT_FOUND)
    );
    let wrong = [
        json!({"spec": "x", "steps": []}),
        json!({"spec": "x", "steps": [{"count": 0}]}),
        json!({"spec": "x", "steps": [{"count": 1, "dependsOn": [0]}]}),
        json!({"spec": "x".repeat(4_001), "steps": [{"count": 1}]}),
        json!([1, 2]),
    ];
    for body in wrong {
        let found = post("key-mesa", path.clone(), body.clone()).await;
        assert_eq!(found, Some(StatusCode::BAD_REQUEST), "{body}");
    }
    let long = json!({"spec": "x", "pad": "y".repeat(30_000), "steps": [{"count": 1}]});
    assert_eq!(
        post("key-mesa", path.clone(), long).await,
        Some(StatusCode::PAYLOAD_TOO_LARGE)
    );
    let unknown = cluster.call(0, Method::GET, &path, &Value::Null).await;
    assert_eq!(status(unknown), Some(StatusCode::GONE));
    assert_eq!(
        post("key-mesa", path.clone(), good.clone()).await,
        Some(StatusCode::OK)
    );
    let foreign = cluster
        .call_as("key-fonts", 0, Method::GET, &path, &Value::Null)
        .await;
    // As for a job that does not exist.
    assert_eq!(status(foreign), Some(StatusCode::GONE));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_and_keys_are_taken_away() {
    let mut cluster = Cluster::start(3, 1).await;
    let mut next = configuration(2);
    next["tenants"][0]["apiKeys"] = json!(["key-new"]);
    cluster.store.put("op/config", &next);
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let path = format!("/q2/{}", cluster.new_id());
    for daemon in 0..3 {
        let old = cluster.call(daemon, Method::GET, &path, &Value::Null).await;
        assert_eq!(old.map(|a| a.status), Some(StatusCode::UNAUTHORIZED));
        let new = cluster
            .call_as("key-new", daemon, Method::GET, &path, &Value::Null)
            .await;
        assert_eq!(new.map(|a| a.status), Some(StatusCode::GONE));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_jobs_are_counted() {
    let mut cluster = Cluster::start(2, 1).await;
    let first = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &first, &job(8, "ms=60000")).await;
    cluster.wait_for(&first, "running").await;
    let second = format!("/q2/{}", cluster.new_id());
    cluster.submit(1, &second, &job(1, "ms=10")).await;
    for daemon in 0..2 {
        let answer = cluster
            .call(daemon, Method::GET, "/q2/", &Value::Null)
            .await;
        let body: Value = answer.expect("an answer").read().expect("a body");
        assert_eq!(body["pending"], 1);
    }
}

/// Guards against a job under `ID.cancel`, which was the cancellation of another customer's job.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_of_another_form_is_refused_in_every_call() {
    let mut cluster = Cluster::start(2, 1).await;
    let planner = cluster.planner();
    let id = cluster.new_id();
    let path = format!("/q2/{id}");
    let status = cluster.submit(planner, &path, &job(1, "ms=3000")).await;
    assert_eq!(status, Some(StatusCode::OK));
    let wrong = [
        "x",
        "1",
        "5c0e7a21d94b36f",
        "5c0e7a21d94b36f8a",
        "5c0e7a21d94b36fg",
    ];
    let wrong = wrong.map(str::to_owned).into_iter();
    for named in wrong.chain([format!("{id}.cancel"), format!("{id}/cancel")]) {
        let path = format!("/q2/{named}");
        for (method, body) in [
            (Method::POST, job(1, "ms=10")),
            (Method::GET, Value::Null),
            (Method::DELETE, Value::Null),
        ] {
            for daemon in 0..2 {
                let answer = cluster
                    .call_as("key-fonts", daemon, method.clone(), &path, &body)
                    .await;
                let status = answer.map(|answer| answer.status);
                assert_eq!(status, Some(StatusCode::BAD_REQUEST), "{method} {named}");
            }
        }
    }
    cluster.wait_for(&path, "completed").await;
}

/// Guards against an answer that tells a customer of another's job, by its status, its text or its reads.
#[tokio::test(flavor = "multi_thread")]
async fn another_customers_job_is_answered_as_no_job() {
    let mut cluster = Cluster::start(2, 1).await;
    let path = format!("/q2/{}", cluster.new_id());
    let unknown = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(1, "ms=3000")).await;
    assert_eq!(status, Some(StatusCode::OK));
    for daemon in 0..2 {
        for method in [Method::GET, Method::DELETE] {
            let mut answers = Vec::new();
            for path in [&path, &unknown] {
                let answer = cluster
                    .call_as("key-fonts", daemon, method.clone(), path, &Value::Null)
                    .await;
                let answer = answer.expect("an answer");
                answers.push((answer.status, answer.body));
            }
            assert_eq!(answers[0], answers[1], "{method} at daemon {daemon}");
            assert_eq!(answers[0].0, StatusCode::GONE);
        }
        let taken = cluster
            .call_as("key-fonts", daemon, Method::POST, &path, &job(1, "ms=10"))
            .await
            .expect("an answer");
        assert_eq!(taken.status, StatusCode::TOO_MANY_REQUESTS);
    }
    cluster.wait_for(&path, "completed").await;
}
