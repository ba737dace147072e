//! Asks daemons in turn; only what certainly did not run is asked again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use stairstall_core::Verdict;
use stairstall_core::protocol::ErrorBody;
use stairstall_http::{Body, CallError, HttpClient};

use crate::exit::Trouble;

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest call that is not a request to a service.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A client of several daemons.
#[derive(Debug)]
pub struct Client {
    http: HttpClient,
    servers: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client of these daemons.
    pub fn new(servers: &[SocketAddr]) -> Self {
        Self {
            http: HttpClient::new(CONNECT_TIMEOUT, 1),
            servers: servers.to_vec(),
        }
    }

    /// Sends a request to the first daemon that can be reached.
    pub async fn send(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &str,
        timeout: Duration,
    ) -> Result<Answer, Trouble> {
        let mut last = "no daemon is named".to_owned();
        for server in &self.servers {
            match self
                .send_to(*server, method, path, headers, body, timeout)
                .await
            {
                Ok(answer) => return Ok(answer),
                Err(error) if error.verdict() == Verdict::NotRun => {
                    last = format!("{server}: {error}");
                }
                Err(error) => return Err(Trouble::Broken(format!("{server}: {error}"))),
            }
        }
        Err(Trouble::Unreachable(last))
    }

    async fn send_to(
        &self,
        server: SocketAddr,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: &str,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let mut request = Request::builder()
            .method(method.clone())
            .uri(format!("http://{server}{path}"))
            .body(Body::from(body.to_owned()))
            .map_err(|e| CallError::InvalidFormat(e.to_string()))?;
        request.headers_mut().extend(headers.clone());
        let response = self.http.send(request, timeout).await?;
        let (head, body) = response.into_parts();
        let body = tokio::time::timeout(timeout, body.collect()).await;
        let body = body.map_err(|_| CallError::TimedOut(timeout))?;
        let body = body.map_err(CallError::Truncated)?.to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a JSON body, if any, and reads the JSON answer.
    pub async fn json<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<A, Trouble> {
        let body = match body {
            Some(body) => serde_json::to_string(body).map_err(|e| Trouble::Local(e.to_string()))?,
            None => String::new(),
        };
        let answer = self
            .send(&method, path, &HeaderMap::new(), &body, CALL_TIMEOUT)
            .await?;
        answer.read()
    }

    /// Reads a JSON answer.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Trouble> {
        self.json::<(), A>(Method::GET, path, None).await
    }
}

impl Answer {
    /// Reads the body of a success, or the error.
    pub fn read<A: DeserializeOwned>(&self) -> Result<A, Trouble> {
        if !self.status.is_success() {
            return Err(self.trouble());
        }
        let form = |e: serde_json::Error| Trouble::Local(format!("unexpected answer: {e}"));
        serde_json::from_slice(&self.body).map_err(form)
    }

    /// Returns the error that the answer tells.
    pub fn trouble(&self) -> Trouble {
        let body = serde_json::from_slice(&self.body).unwrap_or_else(|_| ErrorBody {
            verdict: Verdict::MayHaveRun,
            error: String::from_utf8_lossy(&self.body).into_owned(),
            field: None,
            retry_after_ms: None,
            request: None,
        });
        Trouble::Refused(self.status.as_u16(), Box::new(body))
    }
}
