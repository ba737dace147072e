//! Reads the bodies of callers' and operators' requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, LengthLimitError, Limited};
use stairstall_core::Verdict;
use viz::{Request, StatusCode};

use crate::daemon::Daemon;
use crate::response::ErrorResponse;

/// Timeout for reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a request's whole body, up to the maximum size and within [`BODY_TIMEOUT`].
pub(crate) async fn read_body(
    daemon: &Daemon,
    request: &mut Request,
) -> Result<Bytes, ErrorResponse> {
    let limit = daemon.settings.max_body_bytes;
    let body = std::mem::take(request.body_mut());
    let refuse =
        |status, error| ErrorResponse::new(status, Verdict::NotRun, error).with_field("body");
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    let collected = collected.map_err(|_| {
        let error = format!("the body took longer than {} ms", BODY_TIMEOUT.as_millis());
        refuse(StatusCode::REQUEST_TIMEOUT, error)
    })?;
    collected.map(Collected::to_bytes).map_err(|error| {
        if error.is::<LengthLimitError>() {
            let error = format!("the body is longer than {limit} bytes");
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, error);
        }
        ErrorResponse::bad_request("body", "the body broke off")
    })
}
