//! Reads the bodies of callers' and operators' requests.

use std::time::Duration;

use bytes::Bytes;
use stairstall_core::Verdict;
use viz::{Request, StatusCode};

use crate::daemon::Daemon;
use crate::request_body::{BodyError, read_whole};
use crate::response::ErrorResponse;

/// Timeout for reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What a caller is told whose body was unfinished for too long.
pub(crate) const GAVE_WAY: &str = "the body was unfinished for so long that it gave way to others";
/// Retry-after of such a caller.
pub(crate) const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a request's whole body, up to the maximum size and within [`BODY_TIMEOUT`].
pub(crate) async fn read_body(
    daemon: &Daemon,
    request: &mut Request,
) -> Result<Bytes, ErrorResponse> {
    let limit = daemon.settings.max_body_bytes;
    let refuse =
        |status, error| ErrorResponse::new(status, Verdict::NotRun, error).with_field("body");
    let read = tokio::time::timeout(BODY_TIMEOUT, read_whole(request, limit)).await;
    let read = read.map_err(|_| {
        let error = format!("the body took longer than {} ms", BODY_TIMEOUT.as_millis());
        refuse(StatusCode::REQUEST_TIMEOUT, error)
    })?;
    read.map_err(|error| match error {
        BodyError::TooLong => {
            let error = format!("the body is longer than {limit} bytes");
            refuse(StatusCode::PAYLOAD_TOO_LARGE, error)
        }
        BodyError::BrokeOff => ErrorResponse::bad_request("body", "the body broke off"),
        BodyError::GaveWay => ErrorResponse::unavailable(GAVE_WAY, BODY_RETRY_AFTER),
    })
}
