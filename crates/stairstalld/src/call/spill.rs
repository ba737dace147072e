//! Forwards requests to another zone when this one is full or has no minion of the service.

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::Verdict;
use stairstall_core::protocol::{Heartbeat, header};
use stairstall_http::Body as RequestBody;
use viz::Response;
use viz::header::CONTENT_LENGTH;

use super::parse::{Call, end_to_end};
use crate::clock::millis;
use crate::daemon::Daemon;
use crate::dispatch::SlotRequest;
use crate::response::{ErrorResponse, set_header};

/// Shortest expected wait for which a request is forwarded: a shorter wait costs less than
/// forwarding to another zone.
const MIN_WAIT_TO_SPILL: Duration = Duration::from_millis(50);

/// Forwards a request if it would have to wait in this zone but not in another.
///
/// Returns none if this zone is to serve the request: it was not forwarded, the other daemon did
/// not run it, or the attempt failed in a way that allows a retry.
pub(super) async fn forward_instead_of_waiting(
    daemon: &Arc<Daemon>,
    call: &Arc<Call>,
    slot_request: &SlotRequest,
) -> Option<Response> {
    if call.is_forwarded {
        return None;
    }
    let wait = daemon.dispatcher.expected_wait(slot_request);
    if wait.is_some_and(|wait| wait < MIN_WAIT_TO_SPILL) {
        return None;
    }
    let free = |h: &Heartbeat| {
        h.services
            .iter()
            .find(|s| s.service == call.service && s.waiting == 0)
            .map_or(0, |s| s.free)
    };
    let peers = daemon.other_zones();
    let peer = peers
        .values()
        .max_by_key(|h| free(h))
        .filter(|h| free(h) > 0)?;
    log::info!(target: "decision", request:% = call.id, service:% = call.service,
        zone:% = peer.zone, daemon:% = peer.daemon, free = free(peer),
        passed_over:? = wait;
        "forwarded to another zone: this one is full or has no minion");
    daemon.metrics.count("call.spilled");
    forward(daemon, call, peer).await
}

async fn forward(daemon: &Arc<Daemon>, call: &Arc<Call>, peer: &Heartbeat) -> Option<Response> {
    let remaining = call.deadline.since(daemon.clock.now());
    let mut request = hyper::Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", peer.address, call.full_path))
        .body(RequestBody::from(call.body.clone()))
        .ok()?;
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    headers.remove(CONTENT_LENGTH);
    set_header(headers, header::HOP, "1");
    set_header(headers, header::REQUEST_ID, call.id.as_str());
    set_header(
        headers,
        header::DEADLINE_MS,
        &millis(remaining).max(1).to_string(),
    );
    let error = match daemon.http.send(request, remaining).await {
        Ok(response) => {
            let verdict = response.headers().get(header::VERDICT);
            if verdict.is_some_and(|v| v == Verdict::NotRun.as_str()) && !call.lacks_minion(daemon)
            {
                return None;
            }
            let (head, body) = response.into_parts();
            let mut forwarded = Response::new(viz::Body::Incoming(body));
            *forwarded.status_mut() = head.status;
            *forwarded.headers_mut() = end_to_end(&head.headers);
            return Some(forwarded);
        }
        Err(error) => error,
    };
    if error.verdict().allows_retry(call.repeatable) {
        return None;
    }
    let status = viz::StatusCode::BAD_GATEWAY;
    let error_response =
        ErrorResponse::new(status, error.verdict(), format!("{}: {error}", peer.zone));
    Some(error_response.with_request(&call.id).into())
}

impl Call {
    /// Returns whether this zone has no minion of the service.
    fn lacks_minion(&self, daemon: &Daemon) -> bool {
        let service = &self.service;
        !daemon.dispatcher.serves(service)
    }
}
