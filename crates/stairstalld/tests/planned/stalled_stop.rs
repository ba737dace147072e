//! Requests that reach a daemon while it stands still for a moment at the end of its drain delay, as a
//! small VM does: it has not read them when the delay ends.

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;
use stairstall_platform_standin::StandinStore;

use crate::cluster::{Daemon, configuration};
use crate::planned_work::open_connection::{Exchange, OpenConnection};

const DRAIN_DELAY: Duration = Duration::from_millis(800);
/// Part of the drain delay after which the daemon stands still.
const RUNS_FOR: Duration = Duration::from_millis(200);
/// From then until a little after the drain delay.
const STANDS_STILL_FOR: Duration = Duration::from_millis(700);
const CONNECTIONS: usize = 8;
const PATIENCE: Duration = Duration::from_secs(3);

async fn ask(connection: &mut OpenConnection) -> Exchange {
    let path = "/q0/0000000000000001";
    let answer = connection.exchange("GET", path, &Value::Null, PATIENCE);
    answer.await
}

/// Starts a planned stop of a daemon that stands still when its drain delay ends, and asks it meanwhile;
/// returns what became of the requests that got no answer.
async fn ask_while_it_stands_still(opened_before: bool) -> Vec<Exchange> {
    let store = StandinStore::start().await.expect("a store");
    store.put("op/config", &configuration(1));
    let delay = DRAIN_DELAY.as_millis().to_string();
    let flags = ["--drain-delay-ms", &delay];
    let daemon = Daemon::start_with("vm-0", &store, &flags).await;
    daemon.wait_for_line("jobs and workers loaded").await;
    let open = || OpenConnection::open(daemon.address);
    let mut connections = Vec::new();
    if opened_before {
        for _ in 0..CONNECTIONS {
            let mut connection = open().await.expect("it listens");
            let exchange = ask(&mut connection).await;
            assert!(matches!(exchange, Exchange::Answered(_)), "{exchange:?}");
            connections.push(connection);
        }
    }
    daemon.signal(Signal::SIGTERM);
    daemon.wait_for_line("stop requested").await;
    tokio::time::sleep(RUNS_FOR).await;
    daemon.signal(Signal::SIGSTOP);
    while connections.len() < CONNECTIONS {
        connections.push(open().await.expect("it listens"));
    }
    let going_on = async {
        tokio::time::sleep(STANDS_STILL_FOR).await;
        daemon.signal(Signal::SIGCONT);
    };
    let (exchanges, ()) = tokio::join!(join_all(connections.iter_mut().map(ask)), going_on);
    let lost = exchanges.into_iter();
    lost.filter(|exchange| !matches!(exchange, Exchange::Answered(_)))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_on_open_connections_are_answered_where_a_daemon_stalls_at_its_stop() {
    let lost = ask_while_it_stands_still(true).await;
    assert!(lost.is_empty(), "{lost:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_on_new_connections_are_answered_where_a_daemon_stalls_at_its_stop() {
    let lost = ask_while_it_stands_still(false).await;
    assert!(lost.is_empty(), "{lost:?}");
}
