use std::net::SocketAddr;
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

use crate::CallError;

/// Body of an outgoing request.
pub type Body = Full<Bytes>;

/// Longest JSON answer that is read, in bytes.
const MAX_JSON_BYTES: usize = 64 * 1024 * 1024;
/// How long an unused connection is kept; shorter than servers keep theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A whole answer with its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JsonAnswer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl JsonAnswer {
    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Form`] where it is not what was expected.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::Form(e.to_string()))
    }
}

/// One request to a service that speaks JSON.
#[derive(Debug, Clone)]
pub struct JsonCall<'a> {
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

/// A client with pooled connections; clones share them.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Body>,
}

impl HttpClient {
    /// Creates a client that keeps up to `idle_per_host` unused connections to each host.
    #[must_use]
    pub fn new(connect_timeout: Duration, idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(idle_per_host)
            .build(connector);
        Self { client }
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
        let answer = tokio::time::timeout(timeout, self.client.request(request)).await;
        Ok(answer.map_err(|_| CallError::TimedOut(timeout))??)
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
    ) -> Result<JsonAnswer, CallError> {
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).map_err(|e| CallError::Form(e.to_string()))?,
            None => Vec::new(),
        };
        let address = address.to_string();
        let call = JsonCall {
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
        call: JsonCall<'_>,
        timeout: Duration,
    ) -> Result<JsonAnswer, CallError> {
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
            .map_err(|e| CallError::Form(e.to_string()))?;
        let whole = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = read_limited(response.into_body(), MAX_JSON_BYTES).await?;
            Ok(JsonAnswer { status, body })
        };
        tokio::time::timeout(timeout, whole)
            .await
            .map_err(|_| CallError::TimedOut(timeout))?
    }
}

/// Reads a whole body of at most `limit` bytes.
async fn read_limited(body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, limit).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| match error.downcast::<hyper::Error>() {
            Ok(error) => CallError::Truncated(*error),
            Err(_) => CallError::TooLong(limit),
        })
}
