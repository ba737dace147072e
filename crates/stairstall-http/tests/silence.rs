//! Connections that go silent without a reset, while new ones work.

use std::time::Duration;

use futures::FutureExt;
use futures::future::join_all;
use hyper::{Method, StatusCode};
use stairstall_http::{CallError, HttpClient, JsonRequest};
use stairstall_standin::server::{Server, json};
use stairstall_standin::{Link, Silence};

/// Connections that are kept while they are unused.
const KEPT: usize = 4;
const TIMEOUT: Duration = Duration::from_millis(300);

async fn call(http: &HttpClient, address: &str) -> Result<(), CallError> {
    let call = JsonRequest {
        method: Method::GET,
        address,
        path: "/",
        headers: &[],
        body: Vec::new(),
    };
    http.exchange(call, TIMEOUT).await.map(|_| ())
}

/// Opens as many connections as are kept, all of which go silent.
async fn silenced(silence: Silence) -> (Server, Link, HttpClient, String) {
    let server = Server::start(|_| {
        async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            Some(json(StatusCode::OK, &"answer"))
        }
        .boxed()
    });
    let server = server.await.expect("a server");
    let link = Link::start(server.address()).await.expect("a link");
    let address = link.address().to_string();
    let http = HttpClient::new(TIMEOUT, KEPT);
    let calls = (0..KEPT).map(|_| call(&http, &address));
    for answered in join_all(calls).await {
        answered.expect("an answer");
    }
    assert_eq!(link.opened(), KEPT as u64, "each call had its own");
    link.silence_open(silence);
    (server, link, http, address)
}

#[tokio::test]
async fn one_call_pays_for_all_silent_connections_to_a_host() {
    for silence in [Silence::Both, Silence::Answers] {
        let (_server, link, http, address) = silenced(silence).await;
        let first = call(&http, &address).await;
        assert!(matches!(first, Err(CallError::TimedOut(_))), "{first:?}");
        call(&http, &address).await.expect("a new connection");
        call(&http, &address).await.expect("the same connection");
        assert_eq!(link.opened(), KEPT as u64 + 1, "it is kept");
    }
}

#[tokio::test]
async fn calls_that_time_out_beside_each_other_close_connections_once() {
    let (_server, link, http, address) = silenced(Silence::Both).await;
    let calls = (0..KEPT).map(|_| call(&http, &address));
    assert!(join_all(calls).await.iter().all(Result::is_err));
    let calls = (0..KEPT).map(|_| call(&http, &address));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(link.opened(), 2 * KEPT as u64);
}

#[tokio::test]
async fn connections_to_other_hosts_are_kept() {
    let (_server, _link, http, address) = silenced(Silence::Both).await;
    let (_other_server, other, _, other_address) = silenced(Silence::Both).await;
    call(&http, &other_address).await.expect("an answer");
    let before = other.opened();
    assert!(call(&http, &address).await.is_err());
    call(&http, &other_address).await.expect("an answer");
    assert_eq!(other.opened(), before);
}
