//! Answers that arrive while the caller's process does not run, past the call's timeout.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::Method;
use stairstall_http::HttpClient;

const TIMEOUT: Duration = Duration::from_millis(300);

/// Answers each request on each connection after a moment with a body of this length, and counts the
/// requests that it has read.
fn start_server(body: usize, read: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let read = Arc::clone(read);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let read = Arc::clone(&read);
            std::thread::spawn(move || {
                let mut part = [0; 4096];
                while stream.read(&mut part).is_ok_and(|length| length > 0) {
                    read.fetch_add(1, Ordering::SeqCst);
                    std::thread::sleep(TIMEOUT / 10);
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {body}\r\n\r\n");
                    let answer = [head.into_bytes(), vec![b'7'; body]].concat();
                    stream.write_all(&answer).expect("an answer");
                }
            });
        }
    });
    address
}

/// Calls a server, by a connection that is open, that answers soon, and does not run from when the
/// server has read the request until the timeout has passed.
async fn call_across_a_stall(body: usize) -> Result<usize, String> {
    let read = Arc::default();
    let address = start_server(body, &read);
    let client = HttpClient::new(TIMEOUT, 4);
    let warm = client.json::<()>(Method::GET, address, "/", None, TIMEOUT);
    warm.await.expect("an answer to a caller that runs");
    // In a task of its own, as calls of a daemon are.
    let call = tokio::spawn(async move {
        let call = client.json::<()>(Method::GET, address, "/", None, TIMEOUT);
        call.await
    });
    while read.load(Ordering::SeqCst) < 2 {
        tokio::task::yield_now().await;
    }
    std::thread::sleep(TIMEOUT * 2);
    let answer = call.await.expect("no panic");
    answer
        .map(|answer| answer.body.len())
        .map_err(|error| error.to_string())
}

#[tokio::test]
async fn a_short_answer_that_has_arrived_counts_after_a_stall() {
    assert_eq!(call_across_a_stall(100).await, Ok(100));
}

#[tokio::test]
async fn a_long_answer_that_has_arrived_counts_after_a_stall() {
    assert_eq!(call_across_a_stall(12_000).await, Ok(12_000));
}
