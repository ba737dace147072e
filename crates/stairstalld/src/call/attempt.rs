//! One attempt at one minion, with its verdict.

use std::sync::Arc;

use hyper::body::Incoming;
use stairstall_core::Verdict;
use stairstall_core::protocol::header;
use stairstall_core::routing::Outcome;
use stairstall_http::Body as RequestBody;
use viz::header::CONTENT_LENGTH;
use viz::{Response, StatusCode};

use super::body::Tracked;
use super::claims::Claim;
use super::parse::{Call, end_to_end};
use crate::daemon::Daemon;
use crate::dispatch::Permit;
use crate::response::set;

/// What became of an attempt.
pub(super) enum Attempted {
    /// The head of the answer is there; the body follows.
    Answered(Box<Response>),
    /// There is no answer.
    Failed(Failed),
}

/// An attempt without an answer.
pub(super) struct Failed {
    pub(super) verdict: Verdict,
    pub(super) error: String,
    /// The claim, still held.
    pub(super) claim: Option<Claim>,
}

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
        permit.finish(Outcome::Answered);
        return failed(
            Verdict::NotRun,
            "the claim is too old to act on".to_owned(),
            claim,
        );
    }
    let left = call.deadline.since(daemon.clock.now());
    if left.is_zero() {
        permit.finish(Outcome::Abandoned);
        let error = "the deadline passed before it was sent".to_owned();
        return failed(Verdict::NotRun, error, claim);
    }
    let request = match request_to(call, &permit) {
        Ok(request) => request,
        Err(error) => {
            permit.finish(Outcome::Answered);
            return failed(
                Verdict::NotRun,
                format!("the request can't be passed on: {error}"),
                claim,
            );
        }
    };
    match daemon.http.send(request, left).await {
        Ok(response) => match refusal(&response) {
            Some(outcome) => {
                permit.finish(outcome);
                failed(
                    Verdict::NotRun,
                    "the minion refused it before starting".to_owned(),
                    claim,
                )
            }
            None => Attempted::Answered(Box::new(pass_on(daemon, call, response, permit, claim))),
        },
        Err(error) => {
            permit.finish(Outcome::Fault);
            failed(error.verdict(), error.to_string(), claim)
        }
    }
}

fn request_to(
    call: &Call,
    permit: &Permit,
) -> Result<hyper::Request<RequestBody>, hyper::http::Error> {
    let mut request = hyper::Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", permit.pick.address, call.path))
        .body(RequestBody::from(call.body.clone()))?;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().remove(CONTENT_LENGTH);
    set(request.headers_mut(), header::REQUEST_ID, call.id.as_str());
    Ok(request)
}

/// Tells whether the minion said that it did not start the request.
fn refusal(response: &hyper::Response<Incoming>) -> Option<Outcome> {
    let says = |name: &str, value: &str| response.headers().get(name).is_some_and(|v| v == value);
    let refused = response.status() == StatusCode::SERVICE_UNAVAILABLE
        && says(header::VERDICT, Verdict::NotRun.as_str());
    if !refused {
        return None;
    }
    Some(if says(header::LEAVING, "1") {
        Outcome::Leaving
    } else {
        Outcome::Busy
    })
}

/// Passes the minion's answer on; the slot is held until its end.
fn pass_on(
    daemon: &Arc<Daemon>,
    call: &Arc<Call>,
    response: hyper::Response<Incoming>,
    permit: Permit,
    claim: Option<Claim>,
) -> Response {
    let (head, body) = response.into_parts();
    let minion = permit.pick.minion.clone();
    let deadline = daemon.clock.instant(call.deadline);
    let keeper = claim.map(|claim| claim.keeper(daemon, head.status.as_u16(), &head.headers));
    let tracked = Tracked::new(body, permit, deadline, call.id.clone());
    let body = match keeper {
        None => viz::Body::wrap(tracked),
        Some(keeper) => tracked.seen_to_the_end(keeper),
    };
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = end_to_end(&head.headers);
    set(answer.headers_mut(), header::VERDICT, Verdict::Ran.as_str());
    set(answer.headers_mut(), header::MINION, minion.as_str());
    answer
}
