//! HTTP responses to callers and operators; every error response carries a verdict.

use std::time::Duration;

use http_body_util::Full;
use serde::Serialize;
use stairstall_core::protocol::{ErrorBody, header};
use stairstall_core::{RequestId, Verdict};
use viz::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use viz::{Body, Response, StatusCode};

use crate::clock::millis;

/// Retry-after while the store does not answer.
pub(crate) const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// An HTTP error response: its status and its JSON body.
#[derive(Debug, Clone)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: ErrorBody,
}

impl ErrorResponse {
    pub(crate) fn new(status: StatusCode, verdict: Verdict, error: impl Into<String>) -> Self {
        let body = ErrorBody {
            verdict,
            error: error.into(),
            field: None,
            retry_after_ms: None,
            request: None,
        };
        Self { status, body }
    }

    /// Refuses a malformed request with status 400 and names the invalid `field`; nothing ran.
    pub(crate) fn bad_request(field: &str, error: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, Verdict::NotRun, error).with_field(field)
    }

    /// Responds with status 404; nothing ran.
    pub(crate) fn not_found(error: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, Verdict::NotRun, error)
    }

    /// Responds with status 503 and a retry-after; nothing ran.
    pub(crate) fn unavailable(error: impl Into<String>, retry_after: Duration) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, Verdict::NotRun, error)
            .with_retry_after(retry_after)
    }

    pub(crate) fn with_field(mut self, field: &str) -> Self {
        self.body.field = Some(field.to_owned());
        self
    }

    pub(crate) fn with_retry_after(mut self, after: Duration) -> Self {
        self.body.retry_after_ms = Some(millis(after));
        self
    }

    pub(crate) fn with_request(mut self, request: &RequestId) -> Self {
        self.body.request = Some(request.clone());
        self
    }

    pub(crate) fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.body.verdict = verdict;
        self
    }
}

impl From<ErrorResponse> for Response {
    fn from(error: ErrorResponse) -> Self {
        let mut response = json(error.status, &error.body);
        let headers = response.headers_mut();
        if leaves_body_unread(error.status) {
            // The server closes the connection after this response. Without the header a caller
            // may send its next request over it and can't know whether that request ran.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        set_header(headers, header::VERDICT, error.body.verdict.as_str());
        if let Some(after) = error.body.retry_after_ms {
            headers.insert(RETRY_AFTER, after.div_ceil(1000).max(1).into());
        }
        if let Some(request) = &error.body.request {
            set_header(headers, header::REQUEST_ID, request.as_str());
        }
        response
    }
}

/// Returns whether this status refuses a request before its body was read to the end.
fn leaves_body_unread(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT
    )
}

/// Sets a header; a value that is not allowed in a header is left out.
pub(crate) fn set_header(headers: &mut viz::header::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(Full::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
