//! What the planner writes about jobs, when a write fails or is slow.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use stairstall_platform_standin::WriteFault;
use stairstall_standin::LinkMode;

use crate::cluster::{Cluster, Daemon, PATIENCE, job};

/// Key of the planner's role.
const ROLE: &str = "stairstall/role/planner";

/// Delay of each direction; a write with both takes longer than one may that leaves no line.
const SLOW: Duration = Duration::from_millis(300);

/// Returns the lines of the writer about a job.
fn writer_lines(cluster: &Cluster, id: &str) -> Vec<String> {
    let lines = cluster.daemons[0].log_lines("WARN writer ").into_iter();
    lines.filter(|line| line.contains(id)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_progress_write_that_fails_is_logged_and_one_that_is_stored_is_not() {
    let mut cluster = Cluster::start(1, 1).await;
    let (calm, failing) = (cluster.new_id(), cluster.new_id());
    let path = format!("/q0/{calm}");
    cluster.submit(0, &path, &job(1, "ms=50")).await;
    cluster.wait_for(&path, "completed").await;
    let key = format!("stairstall/progress/{failing}");
    cluster.store.fail_write(&key, 0, WriteFault::LoseAnswer);
    let path = format!("/q0/{failing}");
    cluster.submit(0, &path, &job(1, "ms=50")).await;
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.store.faults_left(), 0, "it was met");
    let lines = writer_lines(&cluster, &failing);
    let told = format!(" jobs=1 job={failing} ms=");
    let fails = |line: &&String| line.contains(&told) && !line.ends_with(": done");
    // It was carried out, so that the next try may conflict with it, which is another line.
    assert!(lines.iter().any(|line| fails(&line)), "{lines:?}");
    // On a machine that is busy a write may be slow, and is logged as that.
    let calm = writer_lines(&cluster, &calm);
    assert!(calm.iter().all(|line| is_slow(line)), "{calm:?}");
}

/// Returns whether a line is about a write that was stored, but took longer than one may that leaves
/// no line.
fn is_slow(line: &str) -> bool {
    let ms = line
        .split_once(" ms=")
        .and_then(|(_, rest)| rest.split(' ').next());
    let ms: u64 = ms.and_then(|ms| ms.parse().ok()).expect("its time");
    line.ends_with(" progress write: done") && ms > 500
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_progress_write_is_logged() {
    let mut cluster = Cluster::start(0, 1).await;
    let patient = ["--store-timeout-ms", "5000", "--role-lease-ms", "20000"];
    let daemon = Daemon::start_with("vm-0", &cluster.store, &patient).await;
    cluster.daemons.push(daemon);
    cluster.wait_until_planned().await;
    let path = format!("/q0/{}", cluster.new_id());
    cluster.submit(0, &path, &job(1, "ms=1000")).await;
    cluster.wait_for(&path, "running").await;
    cluster.daemons[0].store.set(LinkMode::Delay(SLOW));
    cluster.wait_for(&path, "completed").await;
    let lines = writer_lines(&cluster, &path[4..]);
    assert!(lines.iter().any(|line| is_slow(line)), "{lines:?}");
}

/// A cluster of one daemon whose jobs are removed a second after their end, and whose role outlasts an
/// outage; a job that has ended, and its path.
async fn ended_job() -> (Cluster, String, String) {
    let mut cluster = Cluster::start(0, 1).await;
    let flags = ["--keep-ended-s", "1", "--role-lease-ms", "20000"];
    let daemon = Daemon::start_with("vm-0", &cluster.store, &flags).await;
    cluster.daemons.push(daemon);
    cluster.wait_until_planned().await;
    let id = cluster.new_id();
    let path = format!("/q0/{id}");
    cluster.submit(0, &path, &job(1, "ms=50")).await;
    cluster.wait_for(&path, "completed").await;
    (cluster, path, format!("stairstall/job/{id}"))
}

async fn wait_until_removed(cluster: &Cluster, key: &str) {
    let until = Instant::now() + PATIENCE;
    while cluster.store.has(key) {
        assert!(Instant::now() < until, "its records are never removed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Before, a job whose removal had failed was forgotten by its planner and stayed in the store until
/// the next one.
#[tokio::test(flavor = "multi_thread")]
async fn a_removal_that_fails_is_tried_again() {
    let (cluster, _, key) = ended_job().await;
    let daemon = &cluster.daemons[0];
    cluster.store.set_down(true);
    daemon.wait_for_line(" forget jobs=1 done=false ").await;
    assert!(cluster.store.has(&key));
    cluster.store.set_down(false);
    wait_until_removed(&cluster, &key).await;
    daemon.wait_for_line(" forget jobs=1 done=true ").await;
    assert_eq!(daemon.log_lines("acquired the planner role").len(), 1);
}

/// Before, a conflict counted as a removal that was done.
#[tokio::test(flavor = "multi_thread")]
async fn a_removal_that_conflicts_is_not_done_and_follows_in_the_next_tenure() {
    let (cluster, _, key) = ended_job().await;
    let daemon = &cluster.daemons[0];
    let role = cluster.store.get_bytes(ROLE).expect("the role's record");
    // Another planner's record, which the daemon has not heard of.
    cluster.store.put_bytes(ROLE, &role);
    daemon.wait_for_line(" forget jobs=1 ").await;
    let told = daemon.log_lines(" forget jobs=1 ");
    assert!(told[0].contains(" done=false "), "{told:?}");
    assert!(cluster.store.has(&key));
    cluster.store.remove(ROLE);
    wait_until_removed(&cluster, &key).await;
}

/// The removal is carried out, but its answer is lost: the next try must not take the records of a job
/// that was handed in under the same name since.
#[tokio::test(flavor = "multi_thread")]
async fn a_removal_that_is_tried_again_spares_the_next_job_of_the_name() {
    let (cluster, path, key) = ended_job().await;
    cluster.store.fail_removal(&key, WriteFault::LoseAnswer);
    wait_until_removed(&cluster, &key).await;
    let next = cluster.submit(0, &path, &job(1, "ms=8000")).await;
    assert_eq!(next, Some(StatusCode::OK));
    let tries = || cluster.daemons[0].log_lines(" forget jobs=1 ").len();
    let until = Instant::now() + PATIENCE;
    while tries() < 2 {
        assert!(Instant::now() < until, "there is no second try");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(cluster.store.has(&key), "the next job is kept");
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.runs_of(&path[4..]), 2);
}
