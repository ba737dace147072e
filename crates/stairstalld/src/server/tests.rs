//! Connections that end other than cleanly are counted by cause.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use viz::{Request, Result, Router};

use super::Server;
use crate::intake::{Intake, IntakeLimits, IntakeSummary, IntakeUse, Phase};

const HEAD_TIMEOUT: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(10);

/// Starts a server whose requests are never answered.
async fn start(connections: usize) -> (SocketAddr, Arc<Intake>) {
    let intake = Intake::new(IntakeLimits {
        connections,
        body_bytes: 1_000,
        head_bytes: 8_192,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let router = Router::new().get("/", |_: Request| pending::<Result<&'static str>>());
    let server = Server::new(listener, router, HEAD_TIMEOUT, Arc::clone(&intake));
    tokio::spawn(server.run_until(pending()));
    (address, intake)
}

async fn open(to: SocketAddr, sent: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    stream.write_all(sent.as_bytes()).await.expect("sent");
    stream
}

async fn wait_until(intake: &Intake, test: impl Fn(IntakeUse, IntakeSummary) -> bool) {
    let until = Instant::now() + PATIENCE;
    while !test(intake.in_use(), intake.summary()) {
        assert!(Instant::now() < until, "{:?}", intake.in_use());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_head_that_stays_unfinished_is_counted_and_an_idle_connection_is_not() {
    let (address, intake) = start(8).await;
    let idle = open(address, "").await;
    let half = open(address, "GET / HTTP/1.1\r\nHost:").await;
    for mut stream in [idle, half] {
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
    wait_until(&intake, |held, _| held.connections == 0).await;
    let held = intake.in_use();
    assert_eq!((held.head_timeouts, held.broke_off), (1, 0));
}

#[tokio::test]
async fn a_caller_that_leaves_during_its_request_is_counted() {
    let (address, intake) = start(8).await;
    let stream = open(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    wait_until(&intake, |_, doing| doing.handling == 1).await;
    let caller = stream.local_addr().expect("an address");
    let requests = intake.open_requests(20);
    assert_eq!(requests.len(), 1);
    assert_eq!(
        (requests[0].caller, requests[0].phase),
        (caller, Phase::Handling)
    );
    drop(stream);
    wait_until(&intake, |held, _| held.connections == 0).await;
    let held = intake.in_use();
    assert_eq!((held.head_timeouts, held.broke_off, held.closed), (0, 1, 0));
}

#[tokio::test]
async fn a_connection_that_gives_way_is_counted_once() {
    let (address, intake) = start(1).await;
    let _first = open(address, "GET / HTTP/1.1\r\nHost:").await;
    wait_until(&intake, |held, _| held.connections == 1).await;
    let _second = open(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    wait_until(&intake, |_, doing| doing.handling == 1 && doing.open == 1).await;
    let held = intake.in_use();
    assert_eq!((held.closed, held.head_timeouts, held.broke_off), (1, 0, 0));
}
