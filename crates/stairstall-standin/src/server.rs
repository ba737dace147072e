//! A loopback HTTP server for stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// How long after a connection could not be accepted the next is tried.
const ACCEPT_AGAIN_AFTER: Duration = Duration::from_millis(10);

/// Body of a stand-in's answer.
pub type Answer = Response<BoxBody<Bytes, std::io::Error>>;

/// What a handler makes of a request; none closes the connection without an answer.
pub type Handled = BoxFuture<'static, Option<Answer>>;

/// A loopback HTTP server; dropping it kills every connection.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns why no port could be bound.
    pub async fn start<H>(handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> Handled + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, Arc::new(handler)));
        Ok(Self { address, task })
    }

    /// Returns where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts the next connection. Without a free file, whoever waits is accepted later.
pub(crate) async fn accept_next(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        tokio::time::sleep(ACCEPT_AGAIN_AFTER).await;
    }
}

async fn accept<H>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> Handled + Send + Sync + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let stream = accept_next(&listener).await;
        while connections.try_join_next().is_some() {}
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let reply = handler(request);
                async move {
                    reply
                        .await
                        .ok_or_else(|| std::io::Error::other("no answer"))
                }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Makes an answer with a whole body.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let body = Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Makes a JSON answer.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    answer(status, serde_json::to_vec(value).unwrap_or_default())
}

/// Reads a JSON request.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
