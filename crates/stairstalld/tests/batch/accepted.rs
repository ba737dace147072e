//! What was accepted and answered stays, and what has ended stays ended.

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use stairstall_platform_standin::WriteFault;
use stairstall_standin::LinkMode;

use crate::cluster::{Cluster, Daemon, PATIENCE, job};

/// More records than one page of a listing, or one answer to a watch, holds.
const RECORDS: u32 = 700;
const POLL: Duration = Duration::from_millis(20);

/// A job as a daemon stores it that can't tell any planner.
fn stored_job(id: &str) -> Value {
    json!({"id": id, "customer": "mesa",
        "queue": {"name": "q0", "service": "desk", "priority": 0, "attempts": 3, "stretch": 2.0,
            "target_ms": 500, "ticket_valid_ms": null},
        "accepted_unix_ms": 1_800_000_000_000_u64,
        "spec": {"payload": "ms=50", "steps": [{"count": 1,
            "needs": {"cpu_millis": 1000, "memory_mb": 500, "accelerators": 1}}]},
        "mark": {"daemon": "vm-9", "instance": 1, "serial": 1}})
}

fn job_key(id: &str) -> String {
    format!("stairstall/job/{id}")
}

/// Stores records of refusals under the names from `first` on: the planner has to pass over them.
fn store_refusals(cluster: &Cluster, first: u32) {
    let mark = json!({"daemon": "vm-9", "instance": 1, "serial": 2});
    let record = json!({"refused_by": mark, "customer": "mesa", "first_asked_unix_ms": 1});
    for number in first..first + RECORDS {
        let key = job_key(&format!("{number:016x}"));
        cluster.store.put_bytes(&key, record.to_string().as_bytes());
    }
}

async fn wait_until_run(cluster: &Cluster, id: &str) {
    let until = Instant::now() + PATIENCE;
    while cluster.runs_of(id) == 0 {
        assert!(Instant::now() < until, "{id} never runs");
        tokio::time::sleep(POLL).await;
    }
}

/// Returns what state a daemon shows of a job, if it knows it.
async fn state_of(cluster: &Cluster, daemon: usize, path: &str) -> Option<String> {
    let answer = cluster.call(daemon, Method::GET, path, &Value::Null).await;
    let body = answer?.read::<Value>().ok()?;
    body["state"].as_str().map(str::to_owned)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_change_the_store_has_forgotten_is_found_by_listing() {
    let mut cluster = Cluster::start(1, 1).await;
    store_refusals(&cluster, 0x1000);
    let id = cluster.new_id();
    cluster.store.put(&job_key(&id), &stored_job(&id));
    cluster.store.forget_history();
    wait_until_run(&cluster, &id).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_behind_more_changes_than_one_answer_holds_is_found() {
    let mut cluster = Cluster::start(1, 1).await;
    store_refusals(&cluster, 0x1000);
    let id = cluster.new_id();
    cluster.store.put(&job_key(&id), &stored_job(&id));
    wait_until_run(&cluster, &id).await;
}

/// The pages of a listing are no snapshot: the job comes before the page that is read next.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_is_stored_between_the_pages_of_a_listing_is_found() {
    let mut cluster = Cluster::start(2, 1).await;
    let id = cluster.new_id();
    store_refusals(&cluster, 0x1000);
    let planner = cluster.planner();
    let other = 1 - planner;
    cluster.daemons[planner].kill().await;
    let listed = cluster.store.listings("stairstall/job/");
    let slow = LinkMode::Delay(Duration::from_millis(100));
    cluster.daemons[other].store.set(slow);
    let until = Instant::now() + PATIENCE;
    while cluster.store.listings("stairstall/job/") == listed {
        assert!(Instant::now() < until, "nothing is listed");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    cluster.store.put(&job_key(&id), &stored_job(&id));
    assert_eq!(
        cluster.store.listings("stairstall/job/"),
        listed + 1,
        "between the pages"
    );
    wait_until_run(&cluster, &id).await;
    assert!(cluster.store.listings("stairstall/job/") > listed + 1);
}

/// The planner drops an ended job before the store has taken the removal of its records.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_has_ended_is_not_shown_as_waiting_while_its_records_are_removed() {
    let mut cluster = Cluster::start(0, 1).await;
    for name in ["vm-0", "vm-1"] {
        let flags = ["--keep-ended-s", "1"];
        let daemon = Daemon::start_with(name, &cluster.store, &flags).await;
        cluster.daemons.push(daemon);
    }
    cluster.wait_until_planned().await;
    let planner = cluster.planner();
    let path = format!("/q2/{}", cluster.new_id());
    let id = path[4..].to_owned();
    let status = cluster.submit(planner, &path, &job(1, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
    // Its removal is this long on its way.
    let slow = LinkMode::Delay(Duration::from_millis(150));
    cluster.daemons[planner].store.set(slow);
    let until = Instant::now() + PATIENCE;
    while cluster.store.has(&job_key(&id)) {
        assert!(Instant::now() < until, "its records are never removed");
        // None: the records were removed meanwhile.
        let shown = state_of(&cluster, 1 - planner, &path).await;
        assert_eq!(shown.as_deref().unwrap_or("completed"), "completed");
        tokio::time::sleep(POLL).await;
    }
    assert_eq!(cluster.planner(), planner);
    assert_eq!(state_of(&cluster, 1 - planner, &path).await, None);
}

/// The planner has dropped the job, and the removal of its records has failed. They are still read: by a caller's
/// request, as the job is handed in again, and from the store's changes.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_left_of_an_ended_job_is_no_new_job() {
    let mut cluster = Cluster::start(2, 1).await;
    let id = cluster.new_id();
    let path = format!("/q0/{id}");
    let progress = json!({"outcome": "completed", "ended_unix_ms": 1_800_000_000_500_u64});
    let progress_key = format!("stairstall/progress/{id}");
    cluster.store.put(&progress_key, &progress);
    let mut trimmed = stored_job(&id);
    trimmed["spec"] = json!({"payload": "", "steps": []});
    cluster.store.put(&job_key(&id), &trimmed);
    // Longer than the planner's poll of the store takes.
    let until = Instant::now() + Duration::from_millis(1_500);
    for daemon in (0..2).cycle() {
        let shown = state_of(&cluster, daemon, &path).await;
        assert_eq!(shown.as_deref(), Some("completed"));
        let status = cluster.submit(daemon, &path, &job(1, "ms=50")).await;
        assert_eq!(status, Some(StatusCode::OK));
        if Instant::now() > until {
            break;
        }
    }
    assert_eq!(cluster.runs_of(&id), 0);
}

/// A cancellation that comes as the job's records are removed must not stay for the next job of that name.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancellation_of_a_job_that_is_gone_meanwhile_is_not_left_for_the_next_of_its_name() {
    let mut cluster = Cluster::start(2, 1).await;
    let planner = cluster.planner();
    let other = 1 - planner;
    let id = cluster.new_id();
    let path = format!("/q0/{id}");
    cluster.store.put(&job_key(&id), &stored_job(&id));
    cluster.wait_for(&path, "completed").await;
    // Its record is shortened within a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let slow = LinkMode::Delay(Duration::from_millis(200));
    cluster.daemons[other].store.set(slow);
    let removal = async {
        // The read has been answered by then, and the write is on its way.
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.store.remove(&job_key(&id));
    };
    let cancelling = cluster.call(other, Method::DELETE, &path, &Value::Null);
    tokio::join!(cancelling, removal);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!cluster.store.has(&format!("{}.cancel", job_key(&id))));
}

/// The write of the acceptance gets no answer, or is carried out late, as the planner ends.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_accepted_as_the_planner_ends_runs_once() {
    let faults = [
        WriteFault::LoseAnswer,
        WriteFault::CarryOutLate(Duration::from_millis(300)),
        WriteFault::CarryOutLate(Duration::from_millis(1_200)),
    ];
    futures::future::join_all(faults.map(accept_as_the_planner_ends)).await;
}

async fn accept_as_the_planner_ends(fault: WriteFault) {
    let mut cluster = Cluster::start(2, 1).await;
    let planner = cluster.planner();
    let id = cluster.new_id();
    let path = format!("/q0/{id}");
    cluster.store.fail_write(&job_key(&id), 0, fault);
    let body = job(1, "ms=50");
    let mut ending = cluster.daemons.remove(planner);
    let submitted = cluster.submit(0, &path, &body);
    let (status, ()) = tokio::join!(submitted, ending.kill());
    assert_eq!(cluster.store.faults_left(), 0, "{fault:?} was met");
    if status != Some(StatusCode::OK) {
        // It may be kept: the caller hands it in again under its name.
        let until = Instant::now() + PATIENCE;
        while cluster.submit(0, &path, &body).await != Some(StatusCode::OK) {
            assert!(Instant::now() < until, "{fault:?}: it is never accepted");
            tokio::time::sleep(POLL).await;
        }
    }
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.runs_of(&id), 1, "{fault:?}");
    cluster.assert_no_violations();
}
