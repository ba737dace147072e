//! Sends a request to one minion and determines the verdict.

use std::sync::Arc;

use hyper::body::Incoming;
use stairstall_core::Verdict;
use stairstall_core::protocol::header;
use stairstall_core::routing::RequestOutcome;
use stairstall_http::Body as RequestBody;
use viz::header::CONTENT_LENGTH;
use viz::{Response, StatusCode};

use super::body::TrackedBody;
use super::claims::Claim;
use super::parse::{Call, end_to_end};
use crate::daemon::Daemon;
use crate::dispatch::Permit;
use crate::response::set_header;

/// Outcome of an attempt.
pub(super) enum Attempted {
    /// The head of the minion's response has arrived; the body is streamed.
    Answered(Box<Response>),
    /// There is no response.
    Failed(Failed),
}

/// An attempt without a response.
pub(super) struct Failed {
    pub(super) verdict: Verdict,
    pub(super) error: String,
    /// The claim, which the daemon still holds.
    pub(super) claim: Option<Claim>,
}

/// Sends a request to the minion whose slot `permit` holds.
pub(super) async fn attempt(
    daemon: &Arc<Daemon>,
    call: &Arc<Call>,
    permit: Permit,
    claim: Option<Claim>,
) -> Attempted {
    let failed = |verdict, error: String, claim| {
        Attempted::Failed(Failed {
            verdict,
            error,
            claim,
        })
    };
    if claim
        .as_ref()
        .is_some_and(|c| !c.may_send(daemon.clock.now()))
    {
        permit.finish(RequestOutcome::Answered);
        return failed(
            Verdict::NotRun,
            "the claim is too old to act on".to_owned(),
            claim,
        );
    }
    let remaining = call.deadline.since(daemon.clock.now());
    if remaining.is_zero() {
        permit.finish(RequestOutcome::Abandoned);
        let error = "the deadline passed before it was sent".to_owned();
        return failed(Verdict::NotRun, error, claim);
    }
    let request = match build_request(call, &permit) {
        Ok(request) => request,
        Err(error) => {
            permit.finish(RequestOutcome::Answered);
            return failed(
                Verdict::NotRun,
                format!("the request can't be passed on: {error}"),
                claim,
            );
        }
    };
    match daemon.http.send(request, remaining).await {
        Ok(response) => match refusal(&response) {
            Some(outcome) => {
                permit.finish(outcome);
                failed(
                    Verdict::NotRun,
                    "the minion refused it before starting".to_owned(),
                    claim,
                )
            }
            None => Attempted::Answered(Box::new(forward_response(
                daemon, call, response, permit, claim,
            ))),
        },
        Err(error) => {
            permit.finish(RequestOutcome::Fault);
            failed(error.verdict(), error.to_string(), claim)
        }
    }
}

fn build_request(
    call: &Call,
    permit: &Permit,
) -> Result<hyper::Request<RequestBody>, hyper::http::Error> {
    let mut request = hyper::Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", permit.pick.address, call.path))
        .body(RequestBody::from(call.body.clone()))?;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().remove(CONTENT_LENGTH);
    set_header(request.headers_mut(), header::REQUEST_ID, call.id.as_str());
    Ok(request)
}

/// Returns why the minion refused the request, if it says that it did not start it.
fn refusal(response: &hyper::Response<Incoming>) -> Option<RequestOutcome> {
    let has = |name: &str, value: &str| response.headers().get(name).is_some_and(|v| v == value);
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && has(header::VERDICT, Verdict::NotRun.as_str());
    if !refused {
        return None;
    }
    Some(if has(header::LEAVING, "1") {
        RequestOutcome::Leaving
    } else {
        RequestOutcome::Busy
    })
}

/// Forwards the minion's response; the slot is held until the end of its body.
fn forward_response(
    daemon: &Arc<Daemon>,
    call: &Arc<Call>,
    response: hyper::Response<Incoming>,
    permit: Permit,
    claim: Option<Claim>,
) -> Response {
    let (head, body) = response.into_parts();
    let minion = permit.pick.minion.clone();
    let deadline = daemon.clock.instant(call.deadline);
    let recorder =
        claim.map(|claim| claim.response_recorder(daemon, head.status.as_u16(), &head.headers));
    let tracked = TrackedBody::new(body, permit, deadline, call.id.clone());
    let body = match recorder {
        None => viz::Body::wrap(tracked),
        Some(recorder) => tracked.read_to_end(recorder),
    };
    let mut forwarded = Response::new(body);
    *forwarded.status_mut() = head.status;
    *forwarded.headers_mut() = end_to_end(&head.headers);
    set_header(
        forwarded.headers_mut(),
        header::VERDICT,
        Verdict::Ran.as_str(),
    );
    set_header(forwarded.headers_mut(), header::MINION, minion.as_str());
    forwarded
}
