use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{BodyBuffer, CallError};

/// Body of an outgoing request.
pub type Body = Full<Bytes>;

/// Largest JSON response body that is read, in bytes.
const MAX_JSON_BYTES: usize = 64 * 1024 * 1024;
/// Idle time after which a pooled connection is closed; shorter than the idle timeout of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest delay of a timer in a process that runs. A longer one shows that the process stood still.
const TIMER_DELAY: Duration = Duration::from_millis(25);

/// A complete HTTP response: status and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JsonResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Complete body, not decoded.
    pub body: Bytes,
}

impl JsonResponse {
    /// Deserializes the JSON body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::InvalidFormat`] if the body is not valid JSON for `T`.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::InvalidFormat(e.to_string()))
    }
}

/// A request to a service with a JSON interface.
#[derive(Debug, Clone)]
pub struct JsonRequest<'a> {
    /// HTTP method.
    pub method: Method,
    /// Address of the service, as `IP:PORT`.
    pub address: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers in addition to the content type.
    pub headers: &'a [(&'static str, &'a str)],
    /// JSON body; empty if the request has none.
    pub body: Vec<u8>,
}

/// What becomes of a call if this process stood still when its time was over.
///
/// While a process stands still, as on a small VM at its processor limit, its requests do not leave,
/// and answers arrive without being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterStall {
    /// It gets as much time again, once.
    WaitAgain,
    /// It has timed out: somebody else has given the time limit.
    GiveUp,
}

/// Pool of HTTP connections.
type Pool = Client<HttpConnector, Body>;

/// HTTP client with pooled connections; clones share the pool.
///
/// All connections to a host may stop responding at once without a reset. When a call times out,
/// later calls to its host use a new pool, so that only this call runs into the timeout and
/// not one further call for each pooled connection.
#[derive(Debug, Clone)]
pub struct HttpClient {
    connector: HttpConnector,
    idle_per_host: usize,
    pool: Pool,
    /// Replacement pools of hosts with a recent timed-out call, by `IP:PORT`.
    replaced_pools: Arc<Mutex<HashMap<String, ReplacementPool>>>,
}

/// Replacement for a pool whose connections may be unresponsive.
#[derive(Debug, Clone)]
struct ReplacementPool {
    pool: Pool,
    created: Instant,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_per_host` idle connections to each host.
    #[must_use]
    pub fn new(connect_timeout: Duration, idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        Self {
            pool: make_pool(connector.clone(), idle_per_host),
            connector,
            idle_per_host,
            replaced_pools: Arc::default(),
        }
    }

    fn replaced_pools(&self) -> MutexGuard<'_, HashMap<String, ReplacementPool>> {
        self.replaced_pools
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the pool of a host and, if it is a replacement, when it was created.
    fn pool_of(&self, host: &str) -> (Pool, Option<Instant>) {
        match self.replaced_pools().get(host) {
            Some(replacement) => (replacement.pool.clone(), Some(replacement.created)),
            None => (self.pool.clone(), None),
        }
    }

    /// Replaces the pool of a host, unless another call has replaced it since `pool_created`.
    ///
    /// `pool_created` is when the pool of the timed-out call was created, or `None` for the
    /// original pool. Also removes the entries older than [`IDLE_TIMEOUT`], since the idle
    /// connections that they replaced have been closed.
    fn replace_pool(&self, host: &str, pool_created: Option<Instant>) {
        let mut pools = self.replaced_pools();
        let now = Instant::now();
        pools.retain(|_, entry| now - entry.created < IDLE_TIMEOUT);
        if pools.get(host).map(|entry| entry.created) > pool_created {
            return;
        }
        let pool = make_pool(self.connector.clone(), self.idle_per_host);
        pools.insert(host.to_owned(), ReplacementPool { pool, created: now });
    }

    /// Runs a call with the pool of a host; replaces the pool if the call times out.
    async fn with_timeout<T, F>(
        &self,
        host: &str,
        timeout: Duration,
        after_stall: AfterStall,
        call: impl FnOnce(Pool) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, CallError>>,
    {
        let (pool, pool_created) = self.pool_of(host);
        let Some(result) = within(timeout, after_stall, call(pool)).await else {
            self.replace_pool(host, pool_created);
            return Err(CallError::TimedOut(timeout));
        };
        result
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`], whose verdict says whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Body>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let host = request.uri().authority().map(ToString::to_string);
        let call = |pool: Pool| async move { Ok(pool.request(request).await?) };
        let host = host.unwrap_or_default();
        self.with_timeout(&host, timeout, AfterStall::GiveUp, call)
            .await
    }

    /// Sends an optional JSON body and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`], whose verdict says whether the request may have run.
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

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`], whose verdict says whether the request may have run.
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
        let exchange = |pool: Pool| async move {
            let response = pool.request(request).await?;
            let status = response.status();
            let body = read_limited(response.into_body(), MAX_JSON_BYTES).await?;
            Ok(JsonResponse { status, body })
        };
        self.with_timeout(call.address, timeout, AfterStall::WaitAgain, exchange)
            .await
    }
}

fn make_pool(connector: HttpConnector, idle_per_host: usize) -> Pool {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_per_host)
        .build(connector)
}

/// Reads a complete body of at most `limit` bytes.
async fn read_limited(mut body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    let too_large = |_| CallError::BodyTooLarge(limit);
    let mut buffer = BodyBuffer::new(limit);
    while let Some(frame) = body.frame().await {
        if let Ok(piece) = frame.map_err(CallError::Truncated)?.into_data() {
            buffer.push(&piece).map_err(too_large)?;
        }
    }
    Ok(buffer.into_bytes())
}

/// Awaits a call for `timeout`; `None` if it takes longer.
async fn within<T>(
    timeout: Duration,
    after_stall: AfterStall,
    call: impl Future<Output = T>,
) -> Option<T> {
    let mut call = pin!(call);
    let due = Instant::now() + timeout;
    if let Ok(output) = tokio::time::timeout_at(due, call.as_mut()).await {
        return Some(output);
    }
    if after_stall == AfterStall::GiveUp || due.elapsed() <= TIMER_DELAY {
        return None;
    }
    tokio::time::timeout(timeout, call).await.ok()
}
