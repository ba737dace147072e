//! What the planner writes about jobs, when a write fails or is slow.

use std::time::Duration;

use stairstall_platform_standin::WriteFault;
use stairstall_standin::LinkMode;

use crate::cluster::{Cluster, Daemon, job};

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
