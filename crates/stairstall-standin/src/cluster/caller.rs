use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use stairstall_core::protocol::header;

/// Longest call.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns a header's value.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the verdict.
    #[must_use]
    pub fn verdict(&self) -> Option<&str> {
        self.header(header::VERDICT)
    }

    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, null where it is none.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Why a caller has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerError {
    /// The call failed before the head of an answer.
    Failed(String),
    /// The answer broke off.
    Truncated(String),
    /// Nothing came in time.
    TimedOut,
}

/// Makes calls as callers and operators do.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    numbers: Arc<AtomicU64>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a caller with connections of its own.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            client,
            numbers: Arc::default(),
        }
    }

    /// Returns a number that it did not return before.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends any request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, CallerError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()));
        let request = request.map_err(|e| CallerError::Failed(e.to_string()))?;
        let whole = async {
            let sent = self.client.request(request).await;
            let response = sent.map_err(|e| CallerError::Failed(format!("{e:?}")))?;
            let (head, body) = response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|e| CallerError::Truncated(e.to_string()))?;
            Ok(Reply {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(TIMEOUT, whole)
            .await
            .map_err(|_| CallerError::TimedOut)?
    }

    /// Posts JSON.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<Reply, CallerError> {
        self.send(Method::POST, address, path, &[], body.to_string())
            .await
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// Returns why there is no whole answer.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, CallerError> {
        self.send(Method::GET, address, path, &[], Bytes::new())
            .await
    }

    /// Returns a daemon's status.
    pub async fn status(&self, address: SocketAddr) -> Option<serde_json::Value> {
        let get = self.get(address, "/v1/status");
        let reply = tokio::time::timeout(Duration::from_secs(2), get)
            .await
            .ok()?
            .ok()?;
        Some(reply.json())
    }
}
