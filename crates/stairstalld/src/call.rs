//! The request path: routes a caller's request to a minion and returns the minion's response.

mod attempt;
mod body;
mod claims;
mod parse;
mod spill;

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::Verdict;
use stairstall_core::protocol::header;
use viz::{Request, Response, StatusCode};

use crate::clock::millis;
use crate::daemon::{Daemon, lock};
use crate::dispatch::{NoSlot, Permit, SlotRequest};
use crate::incoming::read_body;
use crate::response::{ErrorResponse, set_header};
use attempt::Attempted;
use claims::ClaimOutcome;
use parse::Call;

/// Maximum number of minions that one request is sent to.
const MAX_ATTEMPTS: usize = 4;
/// How long the store may go without answering before not-repeatable requests are refused at once.
const STORE_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Retry-after for requests that failed or got no slot.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves one request of a caller.
pub(crate) async fn serve(daemon: Arc<Daemon>, mut request: Request) -> Response {
    let started = daemon.clock.now();
    let call = match parse::parse(&daemon, &request) {
        Ok(call) => call,
        Err(error) => return error.into(),
    };
    let body = match read_body(&daemon, &mut request).await {
        Ok(body) => body,
        Err(error) => return error.with_request(&call.id).into(),
    };
    let call = Arc::new(call.with_body(body));
    lock(&daemon.retries).record_request();
    let mut response = if call.repeatable {
        route(&daemon, &call).await
    } else {
        // The attempts run in a task of their own, so that a not-repeatable request completes even
        // if its caller disconnects.
        let (daemon, call) = (Arc::clone(&daemon), Arc::clone(&call));
        let task = tokio::spawn(async move { route(&daemon, &call).await });
        task.await.unwrap_or_else(|_| task_failed().into())
    };
    set_header(response.headers_mut(), header::REQUEST_ID, call.id.as_str());
    set_header(response.headers_mut(), header::DAEMON, daemon.vm().as_str());
    daemon
        .metrics
        .time("call.head", daemon.clock.now() - started);
    response
}

fn task_failed() -> ErrorResponse {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    ErrorResponse::new(
        status,
        Verdict::MayHaveRun,
        "the request's task ended without an answer",
    )
}

/// Sends a request to minions until one responds, or the verdict or the retry budget forbids
/// another attempt.
async fn route(daemon: &Arc<Daemon>, call: &Arc<Call>) -> Response {
    if !call.repeatable
        && let Some(silent) = daemon
            .store_silent_for()
            .filter(|silent| *silent >= STORE_SILENCE_LIMIT)
    {
        // A claim would fail, and would occupy a slot until then.
        let error = format!(
            "the store has been silent for {} ms: no claim can be made",
            millis(silent)
        );
        return give_up(
            daemon,
            call,
            None,
            Verdict::NotRun,
            ErrorResponse::unavailable(error, RETRY_AFTER),
        );
    }
    let mut slot_request = call.slot_request();
    let mut verdict = Verdict::NotRun;
    let mut claimed = None;
    for attempt in 1..=MAX_ATTEMPTS {
        if attempt == 1
            && let Some(response) =
                spill::forward_instead_of_waiting(daemon, call, &slot_request).await
        {
            return response;
        }
        let permit = match daemon.dispatcher.acquire(slot_request.clone()).await {
            Ok(permit) => permit,
            Err(no_slot) => {
                return give_up(daemon, call, claimed, verdict, no_slot_error(no_slot));
            }
        };
        log_route(daemon, call, &permit, attempt);
        if !call.repeatable && claimed.is_none() {
            match claims::claim(daemon, call).await {
                ClaimOutcome::Held(claim) => claimed = Some(claim),
                ClaimOutcome::Answered(response) => {
                    permit.finish(stairstall_core::routing::RequestOutcome::Answered);
                    return response;
                }
            }
        }
        slot_request.avoid.push(permit.pick.minion.clone());
        let failed = match attempt::attempt(daemon, call, permit, claimed.take()).await {
            Attempted::Answered(response) => return *response,
            Attempted::Failed(failed) => failed,
        };
        claimed = failed.claim;
        verdict = verdict.and(failed.verdict);
        log::info!(target: "decision", request:% = call.id, verdict:% = failed.verdict, attempt;
            "attempt failed: {}", failed.error);
        let may_retry = failed.verdict.allows_retry(call.repeatable)
            && attempt < MAX_ATTEMPTS
            && lock(&daemon.retries).try_retry(daemon.clock.now());
        if !may_retry {
            return give_up(
                daemon,
                call,
                claimed,
                verdict,
                attempts_failed(failed.error),
            );
        }
        daemon.metrics.count("call.retry");
    }
    give_up(
        daemon,
        call,
        claimed,
        verdict,
        attempts_failed("no minion took it".to_owned()),
    )
}

fn log_route(daemon: &Daemon, call: &Call, permit: &Permit, attempt: usize) {
    let pick = &permit.pick;
    log::info!(target: "decision",
        request:% = call.id, customer:% = call.flow.customer, class:% = call.flow.class,
        service:% = call.service, minion:% = pick.minion, zone:% = daemon.settings.zone, attempt,
        in_flight = pick.in_flight, share = pick.share, passed_over = pick.passed_over;
        "routed to the minion with the fewest requests in flight for its share");
}

fn no_slot_error(no_slot: NoSlot) -> ErrorResponse {
    match no_slot {
        NoSlot::Refused(refusal) => {
            let error = refusal.to_string();
            let status = StatusCode::TOO_MANY_REQUESTS;
            ErrorResponse::new(status, refusal.verdict(), error)
                .with_retry_after(refusal.retry_after())
        }
        NoSlot::Expired => {
            let error = "the deadline passed while waiting for a slot";
            ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, Verdict::NotRun, error)
                .with_retry_after(RETRY_AFTER)
        }
        NoSlot::NoMinion => ErrorResponse::unavailable("no minion takes work now", RETRY_AFTER),
    }
}

fn attempts_failed(error: String) -> ErrorResponse {
    ErrorResponse::new(StatusCode::BAD_GATEWAY, Verdict::MayHaveRun, error)
        .with_retry_after(RETRY_AFTER)
}

/// Ends a request with an error response. If the request did not run, its claim is released.
fn give_up(
    daemon: &Arc<Daemon>,
    call: &Call,
    claimed: Option<claims::Claim>,
    verdict: Verdict,
    error: ErrorResponse,
) -> Response {
    if verdict == Verdict::NotRun
        && let Some(claim) = claimed
    {
        claim.release(daemon);
    }
    let mut error = error.with_verdict(verdict).with_request(&call.id);
    if verdict == Verdict::NotRun && error.status == StatusCode::BAD_GATEWAY {
        error.status = StatusCode::SERVICE_UNAVAILABLE;
    }
    daemon.metrics.count(match verdict {
        Verdict::NotRun => "call.gave_up.not_run",
        _ => "call.gave_up.may_have_run",
    });
    log::info!(target: "decision", request:% = call.id, verdict:% = verdict,
        status = error.status.as_u16(); "request ended without a response: {}", error.body.error);
    error.into()
}

impl Call {
    /// Returns what the dispatcher needs to know to assign a slot.
    fn slot_request(&self) -> SlotRequest {
        SlotRequest {
            service: self.service.clone(),
            slots: self.slots,
            flow: self.flow.clone(),
            weight: self.weight,
            deadline: self.deadline,
            avoid: Vec::new(),
        }
    }
}
