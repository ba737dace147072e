//! Passes requests on to another zone when this one is full or has no minion.

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
use crate::dispatch::Wanted;
use crate::response::{ErrorResponse, set};

/// A shorter wait in this zone is better than the way to another.
const WORTH_WAITING: Duration = Duration::from_millis(50);

/// Passes a request on if it would wait here and need not elsewhere.
///
/// None says that this zone serves it: nothing ran elsewhere, or it may run again.
pub(super) async fn before_waiting(
    daemon: &Arc<Daemon>,
    call: &Arc<Call>,
    wanted: &Wanted,
) -> Option<Response> {
    if call.hopped {
        return None;
    }
    let wait = daemon.dispatcher.expected_wait(wanted);
    if wait.is_some_and(|wait| wait < WORTH_WAITING) {
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
        "passed on to another zone: this one is full or has no minion");
    daemon.metrics.count("call.spilled");
    pass_on(daemon, call, peer).await
}

async fn pass_on(daemon: &Arc<Daemon>, call: &Arc<Call>, peer: &Heartbeat) -> Option<Response> {
    let left = call.deadline.since(daemon.clock.now());
    let mut request = hyper::Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", peer.address, call.full_path))
        .body(RequestBody::from(call.body.clone()))
        .ok()?;
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    headers.remove(CONTENT_LENGTH);
    set(headers, header::HOP, "1");
    set(headers, header::REQUEST_ID, call.id.as_str());
    set(
        headers,
        header::DEADLINE_MS,
        &millis(left).max(1).to_string(),
    );
    let error = match daemon.http.send(request, left).await {
        Ok(response) => {
            let says = response.headers().get(header::VERDICT);
            if says.is_some_and(|v| v == Verdict::NotRun.as_str()) && !call.is_last_resort(daemon) {
                return None;
            }
            let (head, body) = response.into_parts();
            let mut answer = Response::new(viz::Body::Incoming(body));
            *answer.status_mut() = head.status;
            *answer.headers_mut() = end_to_end(&head.headers);
            return Some(answer);
        }
        Err(error) => error,
    };
    if error.verdict().allows_retry(call.repeatable) {
        return None;
    }
    let status = viz::StatusCode::BAD_GATEWAY;
    let failure = ErrorResponse::new(status, error.verdict(), format!("{}: {error}", peer.zone));
    Some(failure.with_request(&call.id).into())
}

impl Call {
    /// Tells whether this zone can't serve the request either.
    fn is_last_resort(&self, daemon: &Daemon) -> bool {
        let service = &self.service;
        !daemon.dispatcher.serves(service)
    }
}
