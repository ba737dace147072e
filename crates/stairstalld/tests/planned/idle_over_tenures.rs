//! A job that waits for room near its data, while planners are stopped one after the other.
//!
//! A planner lets such a job start elsewhere after two seconds. If each planner counted them anew,
//! planned stops would leave the job with nothing running for longer than it may, beside room for it.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use crate::cluster::{Cluster, Daemon, PATIENCE};

/// How long a job may have nothing running beside room for it.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// How long each planner has the job before it is stopped.
const TENURE: Duration = Duration::from_millis(1_500);
const DAEMONS: usize = 4;
/// Three racks of four workers.
const WORKERS: usize = 12;

/// Returns a job whose tasks each need a whole worker and have their data in the first rack.
fn job_near_first_rack(count: u32, ms: u32) -> Value {
    json!({"spec": format!("ms={ms} gpu=8 near=r1-0"), "steps": [
        {"count": count, "cpu": 1000, "memMb": 500, "gpu": 8, "estimateMs": ms, "affinity": "r1-0"}]})
}

async fn start() -> Cluster {
    let mut cluster = Cluster::start(0, WORKERS).await;
    for number in 0..DAEMONS {
        let flags = ["--far-factor", "3", "--drain-delay-ms", "2500"];
        let name = format!("vm-{number}");
        let daemon = Daemon::start_with(&name, &cluster.store, &flags).await;
        cluster.daemons.push(daemon);
    }
    cluster.wait_until_planned().await;
    cluster
}

async fn wait_for_runs(cluster: &Cluster, id: &str, count: usize) {
    let until = Instant::now() + PATIENCE;
    while cluster.runs_of(id) < count {
        assert!(Instant::now() < until, "{id} does not start");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns for how long a job has nothing running while up to so many planners are stopped.
async fn idle_time_over(stops: u32) -> Duration {
    let mut cluster = start().await;
    let filling = cluster.new_id();
    let body = job_near_first_rack(4, 30_000);
    let status = cluster.submit(0, &format!("/q1/{filling}"), &body).await;
    assert_eq!(status, Some(StatusCode::OK));
    wait_for_runs(&cluster, &filling, 4).await;
    let waiting = cluster.new_id();
    let body = job_near_first_rack(1, 20_000);
    let status = cluster.submit(0, &format!("/q1/{waiting}"), &body).await;
    assert_eq!(status, Some(StatusCode::OK));
    let accepted = Instant::now();
    let mut stopped = 0;
    while cluster.runs_of(&waiting) == 0 {
        assert!(accepted.elapsed() < PATIENCE, "{waiting} does not start");
        if stopped < stops && accepted.elapsed() >= TENURE * (stopped + 1) {
            let planner = cluster.wait_for_planner().await;
            cluster.daemons[planner].signal(Signal::SIGTERM);
            stopped += 1;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let idle = accepted.elapsed();
    for line in cluster.daemons.iter().flat_map(|d| d.log_lines(&waiting)) {
        println!("{line}");
    }
    idle
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_starts_beside_room_while_one_planner_plans() {
    let idle = idle_time_over(0).await;
    assert!(idle <= MAX_IDLE, "nothing ran for {idle:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_starts_beside_room_although_the_planner_is_stopped() {
    let idle = idle_time_over(1).await;
    assert!(idle <= MAX_IDLE, "nothing ran for {idle:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_starts_beside_room_although_planners_are_stopped_in_series() {
    let idle = idle_time_over(3).await;
    assert!(idle <= MAX_IDLE, "nothing ran for {idle:?}");
}
