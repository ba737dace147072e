//! Established connections that stop responding without a reset, while new ones work.
//!
//! Guards against one timed-out call for each pooled connection to the host.

use std::time::Duration;

use futures::FutureExt;
use futures::future::join_all;
use hyper::{Method, StatusCode};
use stairstall_http::{CallError, HttpClient, JsonRequest};
use stairstall_standin::server::{Server, json};
use stairstall_standin::{Link, Silence};

/// Idle connections that the pool keeps for each host.
const POOL_SIZE: usize = 4;
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

/// Starts a server behind a link, fills the pool with connections and silences them.
async fn silence_pooled_connections(silence: Silence) -> (Server, Link, HttpClient, String) {
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
    let http = HttpClient::new(TIMEOUT, POOL_SIZE);
    let calls = (0..POOL_SIZE).map(|_| call(&http, &address));
    for response in join_all(calls).await {
        response.expect("a response");
    }
    assert_eq!(
        link.opened(),
        POOL_SIZE as u64,
        "each call opened a connection"
    );
    link.silence_open(silence);
    (server, link, http, address)
}

#[tokio::test]
async fn one_timeout_replaces_all_unresponsive_connections_to_a_host() {
    for silence in [Silence::Both, Silence::Answers] {
        let (_server, link, http, address) = silence_pooled_connections(silence).await;
        let first = call(&http, &address).await;
        assert!(matches!(first, Err(CallError::TimedOut(_))), "{first:?}");
        call(&http, &address).await.expect("a new connection");
        call(&http, &address).await.expect("the same connection");
        assert_eq!(
            link.opened(),
            POOL_SIZE as u64 + 1,
            "the new connection is reused"
        );
    }
}

#[tokio::test]
async fn concurrent_timeouts_replace_the_pool_once() {
    let (_server, link, http, address) = silence_pooled_connections(Silence::Both).await;
    let calls = (0..POOL_SIZE).map(|_| call(&http, &address));
    assert!(join_all(calls).await.iter().all(Result::is_err));
    let calls = (0..POOL_SIZE).map(|_| call(&http, &address));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(link.opened(), 2 * POOL_SIZE as u64);
}

#[tokio::test]
async fn connections_to_other_hosts_are_kept() {
    let (_server, _link, http, address) = silence_pooled_connections(Silence::Both).await;
    let (_other_server, other, _, other_address) = silence_pooled_connections(Silence::Both).await;
    call(&http, &other_address).await.expect("a response");
    let before = other.opened();
    assert!(call(&http, &address).await.is_err());
    call(&http, &other_address).await.expect("a response");
    assert_eq!(other.opened(), before);
}
