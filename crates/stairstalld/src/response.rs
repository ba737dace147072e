//! Answers to callers and operators; each error names its verdict.

use std::time::Duration;

use http_body_util::Full;
use serde::Serialize;
use stairstall_core::protocol::{ErrorBody, header};
use stairstall_core::{RequestId, Verdict};
use viz::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use viz::{Body, Response, StatusCode};

use crate::clock::millis;

/// How soon it is worth coming back while the store is silent.
pub(crate) const STORE_RETRY: Duration = Duration::from_secs(2);

/// An error as a caller sees it.
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

    /// A request that was refused for its form; nothing ran.
    pub(crate) fn bad_request(field: &str, error: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, Verdict::NotRun, error).with_field(field)
    }

    /// Something that is not there; nothing ran.
    pub(crate) fn not_found(error: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, Verdict::NotRun, error)
    }

    /// Nothing ran; it is worth coming back.
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
    fn from(failure: ErrorResponse) -> Self {
        let mut response = json(failure.status, &failure.body);
        let headers = response.headers_mut();
        if leaves_body_unread(failure.status) {
            // The connection closes with the answer: a caller that is not told sends its next
            // request over it and can't know whether that ran.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        set(headers, header::VERDICT, failure.body.verdict.as_str());
        if let Some(after) = failure.body.retry_after_ms {
            headers.insert(RETRY_AFTER, after.div_ceil(1000).max(1).into());
        }
        if let Some(request) = &failure.body.request {
            set(headers, header::REQUEST_ID, request.as_str());
        }
        response
    }
}

/// Tells whether a request is refused before its body was read to the end.
fn leaves_body_unread(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT
    )
}

/// Sets a header to a value that is known to be allowed.
pub(crate) fn set(headers: &mut viz::header::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Makes a JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(Full::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
