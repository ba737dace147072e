//! Faults from outside: signals, outages, cuts.

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::Value;
use stairstall_standin::{LinkMode, Silence};

use crate::cluster::{Cluster, Daemon, PATIENCE, configuration, gang, job};

/// Longer than the planner's lease.
const LEASE_ENDS: Duration = Duration::from_millis(1_500);
/// Longer than a test.
const FOR_GOOD: Duration = Duration::from_secs(3_600);

#[tokio::test(flavor = "multi_thread")]
async fn a_hang_up_ends_nothing() {
    let mut cluster = Cluster::start(1, 1).await;
    cluster.daemons[0].signal(Signal::SIGHUP);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!cluster.daemons[0].has_ended());
    assert_eq!(cluster.daemons[0].log_lines(" reload ").len(), 1);
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(1, "ms=10")).await;
    assert_eq!(status, Some(StatusCode::OK));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_the_role_over_and_runs_go_on() {
    let mut cluster = Cluster::start(2, 2).await;
    let path = format!("/q1/{}", cluster.new_id());
    cluster.submit(0, &path, &gang(4, 2_500)).await;
    cluster.wait_for(&path, "running").await;
    let planner = cluster.planner();
    assert_eq!(
        cluster.health(&cluster.daemons[planner]).await,
        Some(StatusCode::OK)
    );
    assert_eq!(cluster.daemons[planner].stop().await, Some(0));
    cluster.daemons.remove(planner);
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.runs_of(&path[4..]), 4, "nothing was started again");
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_leaves_plans_until_its_successor_has_the_role() {
    let mut cluster = Cluster::start(3, 2).await;
    // Daemons are introduced to the planner once a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let planner = cluster.planner();
    for daemon in &cluster.daemons {
        daemon
            .store
            .set(LinkMode::Delay(Duration::from_millis(100)));
    }
    assert_eq!(cluster.daemons[planner].stop().await, Some(0));
    let old = &cluster.daemons[planner];
    assert!(old.log_lines("the daemon is leaving").is_empty());
    assert_eq!(
        old.log_lines("another daemon has acquired the role").len(),
        1
    );
    cluster.daemons.remove(planner);
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(2, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn what_runs_goes_on_when_the_planner_is_killed() {
    let mut cluster = Cluster::start(3, 2).await;
    let path = format!("/q1/{}", cluster.new_id());
    cluster.submit(0, &path, &gang(4, 3_000)).await;
    let later = format!("/q2/{}", cluster.new_id());
    cluster.wait_for(&path, "running").await;
    let planner = cluster.planner();
    cluster.daemons[planner].kill().await;
    cluster.daemons.remove(planner);
    cluster.submit(0, &later, &job(3, "ms=50")).await;
    cluster.wait_for(&later, "completed").await;
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.runs_of(&path[4..]), 4, "nothing was started again");
    cluster.assert_no_violations();
}

/// A job as a daemon keeps it that can't tell any planner.
fn kept_job(id: &str) -> Value {
    serde_json::json!({"id": id, "customer": "mesa",
        "queue": {"name": "q0", "service": "desk", "priority": 0, "attempts": 3, "stretch": 2.0,
            "target_ms": 500, "ticket_valid_ms": null},
        "accepted_unix_ms": 1_800_000_000_000_u64,
        "spec": {"payload": "ms=50", "steps": [{"count": 1,
            "needs": {"cpu_millis": 1000, "memory_mb": 500, "accelerators": 1}}]},
        "mark": {"daemon": "vm-9", "instance": 1, "serial": 1}})
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_planner_finds_soon_what_was_accepted_while_it_took_over() {
    // Well below the second between two looks for news, and well above what a start takes.
    const SOON: Duration = Duration::from_millis(800);
    let mut cluster = Cluster::start(2, 2).await;
    let planner = cluster.planner();
    cluster.daemons[planner].kill().await;
    cluster.daemons.remove(planner);
    let loaded = "jobs and workers loaded";
    while cluster.daemons[0].log_lines(loaded).is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let id = cluster.new_id();
    let kept_at = std::time::Instant::now();
    let key = format!("stairstall/job/{id}");
    cluster.store.put(&key, &kept_job(&id));
    while cluster.runs_of(&id) == 0 {
        assert!(
            kept_at.elapsed() < crate::cluster::PATIENCE,
            "it is not found"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let took = kept_at.elapsed();
    assert!(took < SOON, "it began after {took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_stood_still_starts_nothing_under_its_old_token() {
    let mut cluster = Cluster::start(3, 2).await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(6, "ms=3000")).await;
    cluster.wait_for(&path, "running").await;
    let planner = cluster.planner();
    cluster.daemons[planner].signal(Signal::SIGSTOP);
    let frozen = cluster.daemons.remove(planner);
    let later = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &later, &job(20, "ms=400")).await;
    cluster.wait_for(&later, "running").await;
    frozen.signal(Signal::SIGCONT);
    cluster.daemons.push(frozen);
    cluster.wait_for(&later, "completed").await;
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_store_is_down_jobs_are_refused_at_once_and_what_runs_goes_on() {
    let mut cluster = Cluster::start(2, 2).await;
    let path = format!("/q1/{}", cluster.new_id());
    cluster.submit(0, &path, &gang(2, 3_000)).await;
    cluster.wait_for(&path, "running").await;
    cluster.store.set_down(true);
    let refused = format!("/q2/{}", cluster.new_id());
    let began = std::time::Instant::now();
    let answer = cluster
        .call(0, Method::POST, &refused, &job(1, "ms=10"))
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(began.elapsed() < Duration::from_secs(1));
    let body: Value = answer.read().expect("a body");
    assert_eq!(body["verdict"], "not-run");
    assert!(body["retry_after_ms"].as_u64() > Some(0));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    cluster.store.set_down(false);
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.runs_of(&refused[4..]), 0);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_costs_no_place_that_was_found() {
    let mut cluster = Cluster::start(1, 2).await;
    cluster.daemons[0]
        .store
        .set(LinkMode::Delay(Duration::from_millis(150)));
    let paths: Vec<String> = (0..40)
        .map(|_| format!("/q2/{}", cluster.new_id()))
        .collect();
    let body = job(1, "ms=50");
    let handed_in = paths.iter().map(|path| cluster.submit(0, path, &body));
    for status in futures::future::join_all(handed_in).await {
        assert_eq!(status, Some(StatusCode::OK));
    }
    for path in &paths {
        cluster.wait_for(path, "completed").await;
    }
    let places = cluster.daemons[0].log_lines(" place ");
    assert_eq!(places.len(), paths.len(), "{places:#?}");
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_the_store_turns_away_still_takes_jobs() {
    let mut cluster = Cluster::start(2, 2).await;
    let other = 1 - cluster.planner();
    cluster.daemons[other].store.set(LinkMode::Cut);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(other, &path, &job(2, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_loses_the_store_gives_way() {
    let mut cluster = Cluster::start(3, 2).await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(4, "ms=2500")).await;
    cluster.wait_for(&path, "running").await;
    let planner = cluster.planner();
    cluster.daemons[planner].store.set(LinkMode::Silent);
    let later = format!("/q2/{}", cluster.new_id());
    let other = (planner + 1) % 3;
    cluster.submit(other, &later, &job(3, "ms=50")).await;
    cluster.wait_for(&later, "completed").await;
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_and_of_workers_double_nothing() {
    let mut cluster = Cluster::start(2, 3).await;
    for round in 0..6 {
        cluster.store.lose_answers(2);
        if round % 2 == 0 {
            cluster.workers.set_link(0, LinkMode::LoseAnswers);
        }
        let path = format!("/q2/{}", cluster.new_id());
        let mut status = None;
        for _ in 0..5 {
            status = cluster.submit(round % 2, &path, &job(4, "ms=60")).await;
            if status == Some(StatusCode::OK) {
                break;
            }
        }
        assert_eq!(status, Some(StatusCode::OK));
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.workers.set_link(0, LinkMode::Pass);
        cluster.wait_for(&path, "completed").await;
    }
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_is_cut_off_runs_on_and_nothing_runs_twice() {
    let mut cluster = Cluster::start(2, 2).await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(12, "ms=1500")).await;
    cluster.wait_for(&path, "running").await;
    cluster.workers.set_link(0, LinkMode::Cut);
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.workers.set_link(0, LinkMode::Pass);
    cluster.wait_for(&path, "completed").await;
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn figures_are_served_as_text() {
    let mut cluster = Cluster::start(1, 1).await;
    let path = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &path, &job(1, "ms=10")).await;
    cluster.wait_for(&path, "completed").await;
    let address = cluster.daemons[0].metrics.to_string();
    let call = stairstall_http::JsonRequest {
        method: Method::GET,
        address: &address,
        path: "/metrics",
        headers: &[],
        body: Vec::new(),
    };
    let answer = cluster.http.exchange(call, Duration::from_secs(2)).await;
    let text = String::from_utf8(answer.expect("an answer").body.to_vec()).expect("text");
    for name in [
        "stairstall_calls_total{kind=\"submit\",status=\"200\"} 1",
        "stairstall_orders_total{kind=\"start\",outcome=\"started\"} 1",
        "stairstall_first_start_seconds_count 1",
        "stairstall_store_seconds_bucket",
        "stairstall_silent_workers 0",
        "stairstall_report_wait_milliseconds 300",
    ] {
        assert!(text.contains(name), "{name} is missing in\n{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_the_store_turns_away_learns_its_successor_and_still_takes_jobs() {
    let mut cluster = Cluster::start(3, 2).await;
    let planner = cluster.planner();
    cluster.daemons[planner].store.set(LinkMode::Cut);
    cluster.daemons[planner]
        .wait_for_line("another daemon has acquired the role")
        .await;
    let path = format!("/q2/{}", cluster.new_id());
    let status = cluster.submit(planner, &path, &job(2, "ms=50")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_strong_machine_takes_the_role_before_weak_ones() {
    let mut cluster = Cluster::start(1, 1).await;
    for number in 0..3 {
        let name = format!("weak-{number}");
        let flags = ["--cpu-percent", "0.01", "--link-mbps", "1"];
        let weak = Daemon::start_with(&name, &cluster.store, &flags).await;
        cluster.daemons.push(weak);
    }
    let strong = Daemon::start("strong", &cluster.store).await;
    cluster.daemons.push(strong);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.daemons[0].kill().await;
    cluster.daemons[4]
        .wait_for_line("acquired the planner role")
        .await;
    for weak in &cluster.daemons[1..4] {
        assert!(weak.log_lines("acquired the planner role").is_empty());
    }
}

/// Guards against a daemon that does not start where a platform writes its limits with decimals.
#[test]
fn limits_of_the_machine_may_have_decimals() {
    let local = "127.0.0.1:1";
    let settings = |memory_mb, open_files| {
        stairstalld::batch::settings::BatchSettings::from_arguments(&[
            "--vm",
            "vm-1",
            "--zone",
            "a",
            "--listen",
            local,
            "--health-listen",
            local,
            "--rpc-listen",
            local,
            "--metrics-listen",
            local,
            "--store",
            local,
            "--hold-max-ms",
            "6000",
            "--stop-max-ms",
            "400",
            "--memory-mb",
            memory_mb,
            "--open-files",
            open_files,
        ])
    };
    let read = settings("159.5", "4100.0").expect("they are right");
    assert_eq!((read.memory_mb, read.open_files), (160, 4_100));
    let unlimited = settings("0", "").expect("they are right");
    assert_eq!((unlimited.memory_mb, unlimited.open_files), (0, 0));
    assert!(settings("-1", "many").is_err());
}

#[test]
fn all_wrong_settings_are_named_at_once() {
    let flags = [
        "--vm",
        "bad name",
        "--listen",
        "nowhere",
        "--link-mbps",
        "none",
    ];
    let mistakes = stairstalld::batch::settings::BatchSettings::from_arguments(&flags)
        .expect_err("they are wrong")
        .to_string();
    for flag in [
        "--vm",
        "--listen",
        "--link-mbps",
        "--zone",
        "--store",
        "--hold-max-ms",
    ] {
        assert!(
            mistakes.contains(flag),
            "{flag} is not named in\n{mistakes}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_when_all_open_connections_go_silent() {
    let mut cluster = Cluster::start(3, 4).await;
    for silence in [Silence::Both, Silence::Answers] {
        // Several connections to each worker are open and unused when they go silent.
        let before = format!("/q1/{}", cluster.new_id());
        cluster.submit(0, &before, &job(16, "ms=100")).await;
        cluster.wait_for(&before, "completed").await;
        let running = format!("/q1/{}", cluster.new_id());
        cluster.submit(0, &running, &gang(4, 2_500)).await;
        cluster.wait_for(&running, "running").await;
        cluster.silence_open(silence);
        let asked = std::time::Instant::now();
        let path = format!("/q0/{}", cluster.new_id());
        while cluster.submit(0, &path, &job(4, "ms=50")).await != Some(StatusCode::OK) {
            assert!(asked.elapsed() < PATIENCE, "nothing is accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        cluster.wait_for(&path, "completed").await;
        cluster.wait_for(&running, "completed").await;
        assert_eq!(cluster.runs_of(&running[4..]), 4, "nothing ran again");
    }
    cluster.assert_no_violations();
}

/// Configurations of thousands of routes take a weak VM longer than other answers may.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_is_in_force_in_time_although_it_arrives_slowly() {
    let cluster = Cluster::start(1, 1).await;
    let slow = &cluster.daemons[0];
    // Nobody brings it but a read: no peer is there, and the watch is cut.
    slow.store.set(LinkMode::Cut);
    let mut large = configuration(2);
    let routes = large["routes"].as_array_mut().expect("routes");
    let route = routes[0].clone();
    for index in 0..3_000 {
        let mut further = route.clone();
        further["name"] = format!("idle{index}").into();
        further["pathPrefix"] = format!("/idle{index}/").into();
        routes.push(further);
    }
    cluster.store.put("op/config", &large);
    cluster.store.forget_history();
    slow.store.set(LinkMode::Delay(Duration::from_millis(30)));
    let put = std::time::Instant::now();
    while slow.log_lines("version=2 ").is_empty() {
        assert!(put.elapsed() < PATIENCE, "it is never in force");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_crashes_its_workers_is_given_up_and_what_ran_beside_it_completes() {
    let mut cluster = Cluster::start(2, 6).await;
    let beside = format!("/q2/{}", cluster.new_id());
    cluster.submit(0, &beside, &job(30, "ms=1500")).await;
    let crashes = format!("/q1/{}", cluster.new_id());
    cluster
        .submit(1, &crashes, &job(1, "ms=1000 crash=0"))
        .await;
    cluster.wait_for(&crashes, "failed").await;
    cluster.wait_for(&beside, "completed").await;
    let last_words = cluster.daemons.iter();
    let outcomes = last_words.flat_map(|daemon| daemon.log_lines("workers crashed under it"));
    assert!(outcomes.count() >= 1, "the log says why");
    cluster.assert_no_violations();
}

/// A job whose cancellation had been acknowledged ran, and was shown as completed. Its planner had no answers from the
/// store for two seconds; the store kept its lease. Once it was answered again its lease was in force within 0.3 s,
/// and what it next asked about jobs came up to 1.6 s later: "cancelled: its caller cancelled it" at 52.360 stood after
/// "completed: every task is done" of the job before at 51.180, whose room the cancelled one had taken meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_had_no_answers_from_the_store_starts_nothing_that_was_cancelled_meanwhile()
{
    // The planner asks once a second: after one of these the next question is far.
    let moments = [0, 250, 500, 750].map(Duration::from_millis);
    futures::future::join_all(moments.map(cancel_behind_lost_answers)).await;
}

async fn cancel_behind_lost_answers(later: Duration) {
    let mut cluster = Cluster::start(2, 1).await;
    let planner = cluster.planner();
    let other = 1 - planner;
    let before = format!("/q1/{}", cluster.new_id());
    cluster.submit(other, &before, &job(8, "ms=2000")).await;
    cluster.wait_for(&before, "running").await;
    let cancelled = format!("/q1/{}", cluster.new_id());
    cluster.submit(other, &cancelled, &job(3, "ms=50")).await;
    cluster.wait_for(&cancelled, "queued").await;
    tokio::time::sleep(later).await;
    cluster.daemons[planner].store.set(LinkMode::LoseAnswers);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let answer = cluster
        .call(other, Method::DELETE, &cancelled, &Value::Null)
        .await;
    assert_eq!(answer.map(|answer| answer.status), Some(StatusCode::OK));
    tokio::time::sleep(Duration::from_secs(1)).await;
    cluster.daemons[planner].store.set(LinkMode::Pass);
    cluster.wait_for(&before, "completed").await;
    cluster.wait_for(&cancelled, "cancelled").await;
    assert_eq!(cluster.runs_of(&cancelled[4..]), 0, "{later:?} later");
    assert_eq!(cluster.planner(), planner, "it kept the role");
}

/// Ends that a tenure hears while the store is down can't be stored; the next tenure of the same
/// daemon must not run that work again, though its worker is gone by then.
#[tokio::test(flavor = "multi_thread")]
async fn what_ended_while_the_store_was_down_does_not_run_again_under_the_next_tenure() {
    let mut cluster = Cluster::start(1, 2).await;
    let path = format!("/q1/{}", cluster.new_id());
    let status = cluster.submit(0, &path, &job(1, "ms=700")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "running").await;
    cluster.store.set_down(true);
    cluster.daemons[0].wait_for_line(" done; ").await;
    let ran_at = &cluster.workers.records()[0].worker;
    let index = ran_at.strip_prefix("i-").and_then(|n| n.parse().ok());
    cluster.workers.crash(index.expect("a worker"), FOR_GOOD);
    tokio::time::sleep(LEASE_ENDS).await;
    cluster.store.set_down(false);
    cluster.wait_for(&path, "completed").await;
    let tenures = cluster.daemons[0].log_lines("acquired the planner role");
    assert!(tenures.len() > 1, "its lease has ended meanwhile");
    assert_eq!(cluster.runs_of(&path[4..]), 1);
}

/// The next planner is another daemon: the one that heard the end is still cut off from the store.
#[tokio::test(flavor = "multi_thread")]
async fn what_ended_while_the_store_was_down_does_not_run_again_under_another_daemon() {
    // Well below the lease of the worker, which is 3 s.
    const SOON: Duration = Duration::from_millis(1_500);
    let mut cluster = Cluster::start(2, 2).await;
    let planner = cluster.planner();
    let other = 1 - planner;
    let path = format!("/q1/{}", cluster.new_id());
    let status = cluster.submit(planner, &path, &job(1, "ms=700")).await;
    assert_eq!(status, Some(StatusCode::OK));
    cluster.wait_for(&path, "running").await;
    cluster.store.set_down(true);
    cluster.daemons[planner].wait_for_line(" done; ").await;
    let ran_at = &cluster.workers.records()[0].worker;
    let index = ran_at.strip_prefix("i-").and_then(|n| n.parse().ok());
    cluster.workers.crash(index.expect("a worker"), FOR_GOOD);
    tokio::time::sleep(LEASE_ENDS).await;
    cluster.daemons[planner].store.set(LinkMode::Cut);
    cluster.store.set_down(false);
    let loaded = "jobs and workers loaded";
    cluster.daemons[other].wait_for_line(loaded).await;
    let since = std::time::Instant::now();
    cluster.wait_for(&path, "completed").await;
    assert_eq!(cluster.runs_of(&path[4..]), 1);
    assert!(since.elapsed() < SOON, "it took {:?}", since.elapsed());
}

/// Each new planner would wait for the whole lease of a run at a worker that no planner reaches.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_in_series_lengthen_no_wait_for_a_lease() {
    /// The longest lease, and what a job may stand still.
    const LIMIT: Duration = Duration::from_millis(3_400 + 3_000);
    /// Time between two stops.
    const INTERVAL: Duration = Duration::from_millis(1_500);
    let mut cluster = Cluster::start(4, 2).await;
    // Daemons are introduced to the planner once a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let id = cluster.new_id();
    let path = format!("/q2/{id}");
    cluster.submit(0, &path, &job(1, "ms=60000")).await;
    cluster.wait_for(&path, "running").await;
    let ran_at = cluster.workers.records()[0].worker.clone();
    let index = usize::from(ran_at == "i-1");
    cluster.workers.set_link(index, LinkMode::Cut);
    let since = Instant::now();
    for _ in 0..3 {
        tokio::time::sleep(INTERVAL).await;
        let planner = cluster.wait_for_planner().await;
        assert_eq!(cluster.daemons[planner].stop().await, Some(0));
        cluster.daemons.remove(planner);
    }
    while cluster.runs_of(&id) < 2 {
        let waited = since.elapsed();
        assert!(waited < LIMIT, "it waits for {waited:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let told = "previous planner told until when runs may go on";
    assert_eq!(cluster.daemons[0].log_lines(told).len(), 1);
    cluster.assert_no_violations();
}
