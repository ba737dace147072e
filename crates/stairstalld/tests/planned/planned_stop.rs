//! What callers see of a planned stop when the daemon has not run for a moment.

use std::time::{Duration, Instant};

use futures::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;

use crate::cluster::{Cluster, Daemon};
use crate::planned_work::open_connection::{Exchange, OpenConnection};

/// How long the daemon takes new calls after SIGTERM.
const DRAIN_DELAY: Duration = Duration::from_millis(800);
/// When the daemon stops running, counted from SIGTERM.
const STALL_AT: Duration = Duration::from_millis(600);
/// How long it does not run; longer than the rest of the drain delay and than the users allow a
/// request to wait for the end of its connection.
const STALL: Duration = Duration::from_millis(700);
/// A stall that ends after the drain limit of 3 s.
const LONG_STALL: Duration = Duration::from_millis(3_400);
const PATIENCE: Duration = Duration::from_secs(3);
/// Number of daemons that are started one after the other.
const STARTS: usize = 5;
/// Number of connections of a kind.
const CONNECTIONS: usize = 16;

/// A cluster of two whose second daemon is asked to stop and then does not run across the end of its
/// drain delay.
struct StalledStop {
    cluster: Cluster,
}

impl StalledStop {
    async fn start() -> Self {
        let mut cluster = Cluster::start(1, 1).await;
        let flags = ["--drain-delay-ms", "800"];
        let daemon = Daemon::start_with("vm-stops", &cluster.store, &flags).await;
        cluster.daemons.push(daemon);
        cluster.wait_until_planned().await;
        Self { cluster }
    }

    fn daemon(&self) -> &Daemon {
        &self.cluster.daemons[1]
    }

    /// Opens a connection on which a first request has been answered.
    async fn used_connection(&self) -> OpenConnection {
        let mut connection = self.fresh_connection().await;
        let answered = ask(&mut connection).await;
        assert!(matches!(answered, Exchange::Answered(_)), "{answered:?}");
        connection
    }

    /// Opens a connection on which nothing has been sent.
    async fn fresh_connection(&self) -> OpenConnection {
        let opened = OpenConnection::open(self.daemon().address).await;
        opened.expect("the system completes connections")
    }

    /// Opens connections of both kinds.
    async fn open_connections(&self) -> Vec<OpenConnection> {
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            connections.push(self.used_connection().await);
            connections.push(self.fresh_connection().await);
        }
        connections
    }

    /// Sends a request on each of some connections that are opened now.
    async fn ask_on_new_connections(&self) -> Vec<Exchange> {
        let calls = (0..CONNECTIONS).map(|_| async {
            let mut waiting = self.fresh_connection().await;
            ask(&mut waiting).await
        });
        join_all(calls).await
    }

    /// Asks the daemon to stop, and keeps it from running from a moment before its drain delay ends.
    async fn stop_and_stall(&self) {
        self.daemon().signal(Signal::SIGTERM);
        self.daemon().wait_for_line("stop requested").await;
        tokio::time::sleep(STALL_AT).await;
        self.daemon().signal(Signal::SIGSTOP);
    }

    /// Lets the daemon run again.
    async fn resume(&self) {
        tokio::time::sleep(STALL).await;
        self.daemon().signal(Signal::SIGCONT);
    }

    async fn assert_ends_well(mut self) {
        let code = self.cluster.daemons[1].wait().await;
        assert_eq!(code, Some(0), "a planned stop ends well");
    }
}

async fn ask(connection: &mut OpenConnection) -> Exchange {
    let exchange = connection.exchange("GET", "/q1/", &Value::Null, PATIENCE);
    exchange.await
}

/// Checks that each request has an answer that tells its caller to go elsewhere.
fn assert_answered(exchanges: &[Exchange]) {
    assert_answered_with(&[200], exchanges);
}

/// Checks the same for answers with one of some statuses.
fn assert_answered_with(statuses: &[u16], exchanges: &[Exchange]) {
    let is_answered = |exchange: &Exchange| matches!(exchange, Exchange::Answered(answer) if statuses.contains(&answer.status) && answer.closes);
    let lost: Vec<&Exchange> = exchanges.iter().filter(|e| !is_answered(e)).collect();
    assert!(
        lost.is_empty(),
        "{} of {}: {lost:?}",
        lost.len(),
        exchanges.len()
    );
}

/// A connection counts as idle as long as its daemon has not read the request that has arrived on it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_on_open_connections_before_their_end_are_answered() {
    let stop = StalledStop::start().await;
    let mut connections = stop.open_connections().await;
    stop.stop_and_stall().await;
    let exchanges = connections.iter_mut().map(ask);
    let (exchanges, ()) = tokio::join!(join_all(exchanges), stop.resume());
    assert_answered(&exchanges);
    stop.assert_ends_well().await;
}

/// The system completes connections that the daemon has not accepted yet.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_to_be_accepted_when_the_drain_delay_ends_are_served() {
    let stop = StalledStop::start().await;
    stop.stop_and_stall().await;
    let (exchanges, ()) = tokio::join!(stop.ask_on_new_connections(), stop.resume());
    assert_answered(&exchanges);
    stop.assert_ends_well().await;
}

/// The drain limit passes while the daemon does not run. What has arrived meanwhile was not read.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_while_the_drain_limit_passes_in_a_stall_are_answered() {
    let stop = StalledStop::start().await;
    let mut connections = stop.open_connections().await;
    stop.stop_and_stall().await;
    let asking = connections
        .iter_mut()
        .map(|connection| connection.exchange("GET", "/q1/", &Value::Null, LONG_STALL + PATIENCE));
    let resume = async {
        tokio::time::sleep(LONG_STALL).await;
        stop.daemon().signal(Signal::SIGCONT);
    };
    let (exchanges, ()) = tokio::join!(join_all(asking), resume);
    assert_answered(&exchanges);
}

/// A daemon at its limit of open files can't accept the connections that wait, until its stop closes
/// idle ones.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_for_open_files_are_served_at_a_stop() {
    let stop = StalledStop::start().await;
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        open.push(stop.used_connection().await);
    }
    let id = stop.daemon().id().expect("it has not ended");
    let files = std::fs::read_dir(format!("/proc/{id}/fd"));
    let files = files.expect("it is our own process").count();
    let limited = std::process::Command::new("prlimit")
        .args([
            "--pid",
            &id.to_string(),
            &format!("--nofile={files}:{files}"),
        ])
        .status();
    assert!(limited.is_ok_and(|status| status.success()));
    stop.daemon().signal(Signal::SIGTERM);
    let exchanges = stop.ask_on_new_connections().await;
    // Without files for a connection to the store, a true answer is that it can't be asked.
    assert_answered_with(&[200, 503], &exchanges);
}

/// An idle connection must not keep a stopping daemon from ending.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_hold_up_a_stop() {
    let mut stop = StalledStop::start().await;
    let _used = stop.used_connection().await;
    let _fresh = stop.fresh_connection().await;
    let stopping = stop.cluster.daemons[1].stop();
    let code = tokio::time::timeout(DRAIN_DELAY * 2, stopping).await;
    assert_eq!(code, Ok(Some(0)));
}

/// A small VM at its processor limit runs for a part of each period only, so that every wait is late.
/// Its stop has to end all the same.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_hold_up_a_stop_at_the_processor_limit() {
    let mut stop = StalledStop::start().await;
    let _used = stop.used_connection().await;
    let _fresh = stop.fresh_connection().await;
    let started = Instant::now();
    stop.daemon().signal(Signal::SIGTERM);
    stop.daemon().wait_for_line("stop requested").await;
    while !stop.cluster.daemons[1].has_ended() {
        stop.daemon().signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_millis(110)).await;
        stop.daemon().signal(Signal::SIGCONT);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let took = started.elapsed();
    let code = stop.cluster.daemons[1].wait().await;
    assert_eq!(code, Some(0), "after {took:?}");
    assert!(took < DRAIN_DELAY + DRAIN_DELAY, "{took:?}");
}

/// A signal whose handler is not installed yet ends a process.
#[tokio::test(flavor = "multi_thread")]
async fn signals_that_come_as_a_daemon_starts_to_serve_are_handled() {
    let cluster = Cluster::start(0, 1).await;
    for number in 0..STARTS {
        let mut daemon = Daemon::start(&format!("vm-{number}"), &cluster.store).await;
        daemon.signal(Signal::SIGHUP);
        daemon.wait_for_line("hold until the next start").await;
        assert_eq!(daemon.stop().await, Some(0), "start {number}");
        let mut daemon = Daemon::start(&format!("vm-{number}"), &cluster.store).await;
        assert_eq!(
            daemon.stop().await,
            Some(0),
            "start {number}, SIGTERM alone"
        );
    }
}
