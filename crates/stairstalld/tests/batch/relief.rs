//! A planner on a weak or late VM is relieved by a daemon that can hold the role better.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use nix::sys::signal::Signal;

use crate::cluster::{Cluster, Daemon, PATIENCE, job};

/// Flags of a VM that falls short of what planning for many workers needs.
const WEAK: [&str; 4] = ["--cpu-percent", "12", "--link-mbps", "20"];
/// How soon after the start of strong daemons one of them plans.
const RELIEVED_WITHIN: Duration = Duration::from_secs(10);
/// Interval at which jobs are handed in meanwhile.
const JOB_INTERVAL: Duration = Duration::from_millis(100);

/// Returns whether a daemon holds the planner role, by its log.
fn plans(daemon: &Daemon) -> bool {
    let acquired = daemon.log_lines("acquired the planner role").len();
    acquired > daemon.log_lines("released the planner role").len()
}

/// Hands in a short job.
async fn submit_short(cluster: &mut Cluster) -> String {
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(1, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    path
}

/// Guards against a weak VM that became planner while all strong ones were down and stays it.
#[tokio::test(flavor = "multi_thread")]
async fn a_weak_planner_is_relieved_by_a_strong_daemon_that_starts_later_and_work_goes_on() {
    let mut cluster = Cluster::start(0, 4).await;
    let weak = Daemon::start_with("weak", &cluster.store, &WEAK).await;
    cluster.daemons.push(weak);
    cluster.wait_until_planned().await;
    let lasting = cluster.new_id();
    let lasting_path = format!("/q2/{lasting}");
    let status = cluster.submit(0, &lasting_path, &job(1, "ms=12000")).await;
    assert_eq!(status, Some(StatusCode::OK));
    for (zone, name) in [("zone-b", "strong-b"), ("zone-c", "strong-c")] {
        let strong = Daemon::start_in(zone, name, &cluster.store, &[]).await;
        cluster.daemons.push(strong);
    }
    let began = Instant::now();
    let mut handed_in = Vec::new();
    while !cluster.daemons[1..].iter().any(plans) {
        let waited = began.elapsed();
        assert!(waited < RELIEVED_WITHIN, "the weak VM still plans");
        handed_in.push(submit_short(&mut cluster).await);
        tokio::time::sleep(JOB_INTERVAL).await;
    }
    handed_in.push(submit_short(&mut cluster).await);
    for path in &handed_in {
        cluster.wait_for(path, "completed").await;
    }
    cluster.wait_for(&lasting_path, "completed").await;
    assert_eq!(cluster.runs_of(&lasting), 1, "its run outlives the change");
    let taken = cluster.daemons.iter();
    let taken = taken.map(|daemon| daemon.log_lines("acquired the planner role").len());
    assert_eq!(taken.sum::<usize>(), 2, "the role changes hands once");
    cluster.assert_no_violations();
}

/// Guards against a VM that is announced strong, is slowed, and stays planner.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_whose_process_is_mostly_late_is_relieved_by_an_equal_one() {
    const STOPPED: Duration = Duration::from_millis(300);
    const RUNS: Duration = Duration::from_millis(30);
    let flags = [
        "--role-lease-ms",
        "6000",
        "--policy",
        "role.late_min_tenure=1000",
    ];
    let mut cluster = Cluster::start(0, 2).await;
    for (zone, name) in [("zone-a", "vm-0"), ("zone-b", "vm-1")] {
        let daemon = Daemon::start_in(zone, name, &cluster.store, &flags).await;
        cluster.daemons.push(daemon);
        cluster.wait_until_planned().await;
    }
    assert_eq!(cluster.planner(), 0);
    let began = Instant::now();
    while !plans(&cluster.daemons[1]) {
        assert!(began.elapsed() < PATIENCE, "the late planner still plans");
        cluster.daemons[0].signal(Signal::SIGSTOP);
        tokio::time::sleep(STOPPED).await;
        cluster.daemons[0].signal(Signal::SIGCONT);
        tokio::time::sleep(RUNS).await;
    }
    let offered = cluster.daemons[1].log_lines("planner offers the role to this daemon");
    assert_eq!(offered.len(), 1, "it was relieved, not lost");
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(1, &path, &job(1, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

/// Guards against a planner that leaves without a successor since all others have just started.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_planner_hands_its_role_to_a_daemon_that_relieves_nobody_yet() {
    let mut cluster = Cluster::start(1, 1).await;
    let flags = ["--policy", "role.min_uptime=60000"];
    let fresh = Daemon::start_with("fresh", &cluster.store, &flags).await;
    cluster.daemons.push(fresh);
    cluster.wait_until_planned().await;
    // It is introduced once a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cluster.planner(), 0);
    assert_eq!(cluster.daemons[0].stop().await, Some(0));
    let offered = cluster.daemons[1].log_lines("planner offers the role to this daemon");
    assert_eq!(offered.len(), 1, "it got the role from the planner");
    cluster.assert_no_violations();
}
