use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::CallError;

/// Body of an outgoing request.
pub type Body = Full<Bytes>;

/// Longest JSON answer that is read, in bytes.
const MAX_JSON_BYTES: usize = 64 * 1024 * 1024;
/// How long an unused connection is kept; shorter than servers keep theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A whole answer with its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JsonResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl JsonResponse {
    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::InvalidFormat`] where it is not what was expected.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::InvalidFormat(e.to_string()))
    }
}

/// One request to a service that speaks JSON.
#[derive(Debug, Clone)]
pub struct JsonRequest<'a> {
    /// Method.
    pub method: Method,
    /// Where the service listens, as `IP:PORT`.
    pub address: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Headers beside the content type.
    pub headers: &'a [(&'static str, &'a str)],
    /// Body; empty for none.
    pub body: Vec<u8>,
}

/// Connections to hosts, kept while they are unused.
type Pool = Client<HttpConnector, Body>;

/// A client with pooled connections; clones share them.
///
/// Connections may go silent without a reset, all of a host at once. After a call without an
/// answer in time the host's unused connections are closed, so that one call pays for the
/// silence and not one for each of them.
#[derive(Debug, Clone)]
pub struct HttpClient {
    connector: HttpConnector,
    idle_per_host: usize,
    pool: Pool,
    /// Pools of hosts that lately left a call without an answer, by `IP:PORT`.
    renewed: Arc<Mutex<HashMap<String, RenewedPool>>>,
}

/// A pool that took the place of one whose connections may be silent.
#[derive(Debug, Clone)]
struct RenewedPool {
    pool: Pool,
    since: Instant,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_per_host` unused connections to each host.
    #[must_use]
    pub fn new(connect_timeout: Duration, idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        Self {
            pool: make_pool(connector.clone(), idle_per_host),
            connector,
            idle_per_host,
            renewed: Arc::default(),
        }
    }

    fn renewed(&self) -> MutexGuard<'_, HashMap<String, RenewedPool>> {
        self.renewed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connections to a host, and since when they were renewed.
    fn pool_of(&self, host: &str) -> (Pool, Option<Instant>) {
        match self.renewed().get(host) {
            Some(renewed) => (renewed.pool.clone(), Some(renewed.since)),
            None => (self.pool.clone(), None),
        }
    }

    /// Closes the unused connections to a host, unless another call has done so since `used`.
    ///
    /// A host's entry goes once the connections that it replaced have gone by age.
    fn renew(&self, host: &str, used: Option<Instant>) {
        let mut renewed = self.renewed();
        let now = Instant::now();
        renewed.retain(|_, entry| now - entry.since < IDLE_TIMEOUT);
        if renewed.get(host).map(|entry| entry.since) > used {
            return;
        }
        let pool = make_pool(self.connector.clone(), self.idle_per_host);
        renewed.insert(host.to_owned(), RenewedPool { pool, since: now });
    }

    /// Waits for what is done through a host's connections; closes the unused ones where it takes
    /// too long.
    async fn in_time<T, F>(
        &self,
        host: &str,
        timeout: Duration,
        call: impl FnOnce(Pool) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, CallError>>,
    {
        let (pool, used) = self.pool_of(host);
        let Ok(result) = tokio::time::timeout(timeout, call(pool)).await else {
            self.renew(host, used);
            return Err(CallError::TimedOut(timeout));
        };
        result
    }

    /// Sends a request and returns the answer as soon as its head is there.
    ///
    /// # Errors
    ///
    /// Returns what went wrong, with its verdict.
    pub async fn send(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let host = request.uri().authority().map(ToString::to_string);
        let call = |pool: Pool| async move { Ok(pool.request(request).await?) };
        self.in_time(&host.unwrap_or_default(), timeout, call).await
    }

    /// Sends a JSON body and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns what went wrong, with its verdict.
    pub async fn json<T: Serialize + Sync>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Option<&T>,
        timeout: Duration,
    ) -> Result<JsonResponse, CallError> {
        let bytes = match body {
            Some(body) => {
                serde_json::to_vec(body).map_err(|e| CallError::InvalidFormat(e.to_string()))?
            }
            None => Vec::new(),
        };
        let address = address.to_string();
        let call = JsonRequest {
            method,
            address: &address,
            path,
            headers: &[],
            body: bytes,
        };
        self.exchange(call, timeout).await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns what went wrong, with its verdict.
    pub async fn exchange(
        &self,
        call: JsonRequest<'_>,
        timeout: Duration,
    ) -> Result<JsonResponse, CallError> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = Request::builder().method(call.method).uri(uri);
        if !call.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Body::from(call.body))
            .map_err(|e| CallError::InvalidFormat(e.to_string()))?;
        let whole = |pool: Pool| async move {
            let response = pool.request(request).await?;
            let status = response.status();
            let body = read_limited(response.into_body(), MAX_JSON_BYTES).await?;
            Ok(JsonResponse { status, body })
        };
        self.in_time(call.address, timeout, whole).await
    }
}

fn make_pool(connector: HttpConnector, idle_per_host: usize) -> Pool {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_per_host)
        .build(connector)
}

/// Reads a whole body of at most `limit` bytes.
async fn read_limited(body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, limit).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| match error.downcast::<hyper::Error>() {
            Ok(error) => CallError::Truncated(*error),
            Err(_) => CallError::BodyTooLarge(limit),
        })
}
