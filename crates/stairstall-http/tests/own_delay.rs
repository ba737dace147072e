//! Calls of a process that stands still for a moment, as on a small VM, while the host answers at once.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use futures::FutureExt;
use hyper::{Method, StatusCode};
use stairstall_http::{CallError, HttpClient, JsonRequest};
use stairstall_standin::server::{Server, json};

const TIMEOUT: Duration = Duration::from_millis(300);
/// How long the process stands still: longer than a call may take.
const STALL: Duration = Duration::from_millis(400);

/// Starts a host that goes on answering while the test's own thread stands still.
fn start_host() -> SocketAddr {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let server = Server::start(|_| async { Some(json(StatusCode::OK, &"answer")) }.boxed());
            let server = server.await.expect("a server");
            sender.send(server.address()).expect("a receiver");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("a host")
}

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

#[tokio::test]
async fn a_call_outlasts_a_stall_of_its_own_process() {
    let address = start_host().to_string();
    let http = HttpClient::new(TIMEOUT, 4);
    let stall = async {
        tokio::task::yield_now().await;
        thread::sleep(STALL);
    };
    let (answered, ()) = tokio::join!(call(&http, &address), stall);
    answered.expect("the host answers at once");
}
