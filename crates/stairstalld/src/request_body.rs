//! Reads request bodies into one piece of memory that counts.

use bytes::Bytes;
use http_body_util::BodyExt;
use stairstall_http::BodyBuffer;
use viz::{Body, Request};

use crate::intake::ConnectionHandle;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// The connection broke, or the body is not well-formed.
    BrokeOff,
    /// It was unfinished for so long that it gives way to others.
    GaveWay,
}

/// Reads the whole body of a request, of at most `limit` bytes. Its memory counts as held by the
/// request's connection until the request is answered.
///
/// The pieces in which it comes are copied together: each would keep alive more memory than its own
/// bytes.
pub(crate) async fn read_whole(request: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let handle = request.extensions().get::<ConnectionHandle>().cloned();
    let body = std::mem::take(request.body_mut());
    if let Some(handle) = &handle {
        handle.begin_body();
    }
    let read = collect(body, limit, handle.as_ref()).await;
    if let Some(handle) = &handle {
        handle.end_body();
    }
    read
}

async fn collect(
    mut body: Body,
    limit: usize,
    handle: Option<&ConnectionHandle>,
) -> Result<Bytes, BodyError> {
    let too_long = |_| BodyError::TooLong;
    let mut buffer = BodyBuffer::new(limit);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::BrokeOff)?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let growth = buffer.growth_for(piece.len()).map_err(too_long)?;
        if let Some(handle) = handle {
            let reserved = handle.reserve(growth).await;
            reserved.map_err(|_| BodyError::GaveWay)?;
        }
        buffer.push(&piece).map_err(too_long)?;
    }
    Ok(buffer.into_bytes())
}
