//! The HTTP interface for callers, described in docs/INTERFACE.md.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http_body_util::Full;
use stairstall_core::batch::{
    AcceptedJob, Access, Admission, AdmissionRefusal, AdmissionRefusalReason, BatchSpec,
    CallerState, Catalog, Route,
};
use stairstall_core::{CustomerId, JobId, Verdict};
use stairstall_ports::StoreFault;
use viz::header::{AUTHORIZATION, CONNECTION, CONTENT_TYPE, HOST, HeaderValue};
use viz::{Body, Method, Request, Response, Result, Router, StatusCode};

use super::accept::{self, Acceptance, Cancellation};
use super::admission::{self, RefusalOutcome};
use super::catalog;
use super::node::Node;
use super::open_call::{CallProgress, CallStage, OpenCall};
use super::queries;
use super::rpc::JobAnswer;
use crate::incoming::{BODY_RETRY_AFTER, GAVE_WAY};
use crate::request_body::{BodyError, read_whole};
use crate::response::ErrorResponse;

/// `Retry-After` delay for callers while the store does not serve this daemon.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a caller may take to send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the router for the address that serves callers.
pub(crate) fn router(node: &Arc<Node>) -> Router {
    let node = Arc::clone(node);
    let handler = move |request: Request| {
        let node = Arc::clone(&node);
        async move { Result::Ok(serve(&node, request).await) }
    };
    Router::new().any("/", handler.clone()).any("/*", handler)
}

/// A request on a route that the caller may use.
struct Call<'a> {
    node: &'a Node,
    catalog: &'a Catalog,
    route: &'a Route,
    customer: Option<CustomerId>,
    /// The path after the route's prefix.
    rest: String,
    progress: &'a CallProgress,
}

async fn serve(node: &Node, request: Request) -> Response {
    let open = OpenCall::new(node, &request);
    // Also a task that leaves because a tenure is over, which `catch_panic` lets pass.
    let outcome = AssertUnwindSafe(respond(node, request, open.progress()))
        .catch_unwind()
        .await;
    let outcome = outcome.unwrap_or_else(|_| Err(internal_failure()));
    let (response, why) = match outcome {
        Ok(response) => (response, String::new()),
        Err(failure) => {
            let why = failure.body.error.clone();
            (failure.into(), why)
        }
    };
    let response = close_if_not_ready(node, response);
    open.answered(response.status(), &why);
    response
}

/// Closes the connection after this response if callers should use another daemon.
fn close_if_not_ready(node: &Node, mut response: Response) -> Response {
    if !node.is_ready() {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(
    node: &Node,
    request: Request,
    progress: &CallProgress,
) -> std::result::Result<Response, ErrorResponse> {
    let called_at = node.clock.now();
    if node.current_catalog().is_none() {
        return Err(no_catalog());
    }
    let is_current = confirm_catalog(node, &request).await?;
    let catalog = node.current_catalog().ok_or_else(no_catalog)?;
    let may_refuse = is_current && !node.store_health.should_fail_fast(node.clock.now());
    let access_failure = |failure| access_failure(may_refuse, failure);
    let path = request.uri().path();
    let host = requested_host(&request);
    let route = catalog
        .route(&host, path)
        .ok_or_else(|| access_failure(ErrorResponse::not_found("there is no such queue")))?;
    let key = api_key(&request, node.dialect.key_scheme());
    let customer = match catalog.access(route, key.as_deref()) {
        Access::Customer(customer) => Some(customer),
        Access::Anonymous => None,
        Access::Unknown => {
            let why = "there is no such key";
            let failure = ErrorResponse::new(StatusCode::UNAUTHORIZED, Verdict::NotRun, why);
            return Err(access_failure(failure));
        }
    };
    let rest = path[route.path_prefix.len()..].to_owned();
    let call = Call {
        node,
        catalog: &catalog,
        route,
        customer,
        rest,
        progress,
    };
    let limit = time_limit(&call, &request).saturating_sub(node.clock.now() - called_at);
    let response = tokio::time::timeout(limit, call.dispatch(request)).await;
    response.unwrap_or_else(|_| {
        Err(ErrorResponse::new(
            StatusCode::GATEWAY_TIMEOUT,
            Verdict::MayHaveRun,
            "no answer within the time allowed",
        ))
    })
}

/// Makes sure that the configuration is current before a call is handled by it; returns whether it
/// is.
///
/// A question is answered by an older configuration only in an outage: when the store, asked again,
/// has not answered for the timeout of a call. A call that changes something needs the store anyway
/// and is refused as soon as the store counts as failing.
///
/// # Errors
///
/// Returns the response to a call that changes something if the configuration can't be confirmed.
async fn confirm_catalog(
    node: &Node,
    request: &Request,
) -> std::result::Result<bool, ErrorResponse> {
    let is_question = request.method() == Method::GET;
    let is_outage = || {
        let now = node.clock.now();
        if is_question {
            let timeout = node.settings.store_timeout;
            node.store_health.has_failed_for(timeout, now)
        } else {
            node.store_health.should_fail_fast(now)
        }
    };
    let confirmed = catalog::confirm(node, is_outage);
    let confirmed = tokio::time::timeout(caller_limit(node, request), confirmed);
    let is_current = confirmed.await.unwrap_or(false);
    if is_current || is_question {
        return Ok(is_current);
    }
    Err(outdated_catalog())
}

/// Returns the response to a request that the configuration does not allow. If that may not be the
/// newest, tells the caller to retry instead.
fn access_failure(may_refuse: bool, failure: ErrorResponse) -> ErrorResponse {
    if may_refuse {
        return failure;
    }
    outdated_catalog()
}

fn no_catalog() -> ErrorResponse {
    ErrorResponse::unavailable("no configuration is known yet", STORE_RETRY_AFTER)
}

fn outdated_catalog() -> ErrorResponse {
    ErrorResponse::unavailable("a newer configuration may be in force", STORE_RETRY_AFTER)
}

/// Returns the time within which a call must be answered: a fraction of the shorter of the caller's
/// deadline and the route's timeout.
fn time_limit(call: &Call<'_>, request: &Request) -> Duration {
    let route_limit = Duration::from_millis(call.route.timeout_ms);
    caller_limit(call.node, request).min(share_for_response(call.node, route_limit))
}

/// Returns the time within which the caller's deadline allows an answer.
fn caller_limit(node: &Node, request: &Request) -> Duration {
    let deadline = request
        .headers()
        .get(node.dialect.deadline_header())
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .unwrap_or(u64::MAX);
    share_for_response(node, Duration::from_millis(deadline))
}

/// Returns the part of a time limit that a call may take, so that its answer still arrives in time.
fn share_for_response(node: &Node, limit: Duration) -> Duration {
    limit.mul_f64(node.settings.policy.acceptance.response_time_fraction)
}

impl Call<'_> {
    async fn dispatch(&self, request: Request) -> std::result::Result<Response, ErrorResponse> {
        let method = request.method().clone();
        if self.rest.is_empty() && method == Method::GET {
            return self.pending().await;
        }
        let id = self.node.dialect.read_job_id(&self.rest);
        let id = id.map_err(|error| ErrorResponse::bad_request("id", error.to_string()))?;
        match method {
            Method::POST => self.submit(id, request).await,
            Method::GET => self.state(&id).await,
            Method::DELETE => self.cancel(&id).await,
            _ => Err(ErrorResponse::new(
                StatusCode::METHOD_NOT_ALLOWED,
                Verdict::NotRun,
                "a job is handed in by POST, asked for by GET, cancelled by DELETE",
            )),
        }
    }

    async fn submit(
        &self,
        id: JobId,
        request: Request,
    ) -> std::result::Result<Response, ErrorResponse> {
        let called_at = self.node.clock.now();
        self.progress.enter(CallStage::Body);
        let spec = self.read_spec(request).await?;
        self.progress.enter(CallStage::Admission);
        let mut job = AcceptedJob {
            id,
            customer: self.customer.clone(),
            queue: self.route.queue.clone(),
            accepted_unix_ms: self.node.now().unix_ms,
            spec,
            mark: self.node.next_mark(),
            zone: Some(self.node.settings.zone.clone()),
            first_requested_unix_ms: None,
        };
        if let Admission::Refuse(refusal) = admission::decide(self.node, &job) {
            return self.refuse(job, &refusal).await;
        }
        let acceptance = accept::accept(self.node, &mut job, called_at, self.progress).await;
        log::info!(target: "accept", job:% = job.id, queue:% = job.queue.name,
            tasks = job.spec.steps.iter().map(|s| s.count).sum::<u32>();
            "{acceptance:?}");
        match acceptance {
            Acceptance::Accepted | Acceptance::Known => {
                self.node
                    .telemetry
                    .admission(job.queue.priority, "accepted");
                self.progress.enter(CallStage::Notice);
                queries::notify_accepted(self.node, job).await;
                Ok(empty_response(StatusCode::OK))
            }
            Acceptance::Foreign => Err(unusable_id()),
            Acceptance::NotKept => Err(ErrorResponse::unavailable(
                "the store does not serve; the job was not taken",
                STORE_RETRY_AFTER,
            )),
            Acceptance::MayBeKept => Err(outcome_unknown(
                "the store did not answer; hand the job in again under the same name",
            )),
        }
    }

    /// Refuses a job, unless it is already stored.
    async fn refuse(
        &self,
        job: AcceptedJob,
        refusal: &AdmissionRefusal,
    ) -> std::result::Result<Response, ErrorResponse> {
        self.progress.enter(CallStage::StoreWrite);
        let outcome = admission::store_refusal(self.node, &job).await;
        if outcome != RefusalOutcome::Refused {
            log::info!(target: "admission", job:% = job.id, queue:% = job.queue.name;
                "job not refused: {outcome:?}");
        }
        match outcome {
            RefusalOutcome::Refused => {
                let retry_after = admission::log_refusal(self.node, &job, refusal);
                Err(refusal_failure(refusal.reason).with_retry_after(retry_after))
            }
            // The daemon that accepted the job has notified the planner, or the planner finds the
            // job when it next polls the store.
            RefusalOutcome::Known => Ok(empty_response(StatusCode::OK)),
            RefusalOutcome::Foreign => Err(unusable_id()),
            RefusalOutcome::NotKept => Err(ErrorResponse::unavailable(
                "its refusal could not be written; the job was not taken",
                STORE_RETRY_AFTER,
            )),
            RefusalOutcome::Unsettled => Err(outcome_unknown(
                "it is not known whether the job is kept: hand it in again under its name",
            )),
        }
    }

    async fn read_spec(
        &self,
        mut request: Request,
    ) -> std::result::Result<BatchSpec, ErrorResponse> {
        let limit = self.catalog.max_body_bytes;
        let read = tokio::time::timeout(BODY_TIMEOUT, read_whole(&mut request, limit)).await;
        let read =
            read.map_err(|_| ErrorResponse::bad_request("body", "the body took too long"))?;
        let body = read.map_err(|error| match error {
            BodyError::TooLong => ErrorResponse::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                Verdict::NotRun,
                format!("the body is longer than {limit} bytes"),
            ),
            BodyError::BrokeOff => ErrorResponse::bad_request("body", "the body broke off"),
            BodyError::GaveWay => ErrorResponse::unavailable(GAVE_WAY, BODY_RETRY_AFTER),
        })?;
        let spec = self
            .node
            .dialect
            .read_job(&body)
            .map_err(|e| ErrorResponse::bad_request("body", e.to_string()))?;
        spec.check()
            .map_err(|e| ErrorResponse::bad_request("body", e.to_string()))?;
        Ok(spec)
    }

    async fn state(&self, id: &JobId) -> std::result::Result<Response, ErrorResponse> {
        let lookup = queries::job(self.node, id, self.progress).await;
        let is_foreign = matches!(&lookup.answer,
            Ok(JobAnswer::Known { customer, .. }) if *customer != self.customer);
        let (planner, store) = (lookup.planner, lookup.store);
        let response = match lookup.answer {
            Ok(JobAnswer::Known { .. }) if is_foreign => self.no_job_like_unknown(id).await,
            Ok(JobAnswer::Known { state, .. }) => return Ok(self.state_response(state)),
            Ok(JobAnswer::Unknown | JobAnswer::NotPlanner) => Err(no_such_job()),
            Err(fault) => Err(unreadable_job(&fault)),
        };
        if let Err(failure) = &response {
            log::info!(target: "lookup", job:% = id, planner = planner.as_str(),
                store = store.as_str(), foreign = is_foreign; "{}", failure.body.error);
        }
        response
    }

    /// Answers a question about another customer's job as one about a job that does not exist, after
    /// the same reads: neither the status nor the time tells that there is such a job.
    async fn no_job_like_unknown(
        &self,
        id: &JobId,
    ) -> std::result::Result<Response, ErrorResponse> {
        self.progress.enter(CallStage::StoreJob);
        queries::read_stored(self.node, id)
            .await
            .map_err(|fault| unreadable_job(&fault))?;
        Err(no_such_job())
    }

    fn state_response(&self, state: CallerState) -> Response {
        json_response(self.node.dialect.write_state(state))
    }

    async fn cancel(&self, id: &JobId) -> std::result::Result<Response, ErrorResponse> {
        let outcome = accept::cancel(self.node, id, self.customer.as_ref(), self.progress).await;
        log::info!(target: "cancel", job:% = id; "{outcome:?}");
        match outcome {
            Cancellation::Cancelled => {
                self.progress.enter(CallStage::Notice);
                queries::notify_cancelled(self.node, id.clone()).await;
                Ok(empty_response(StatusCode::OK))
            }
            Cancellation::NoJob | Cancellation::Foreign => Err(no_such_job()),
            Cancellation::Unsettled => Err(ErrorResponse::new(
                StatusCode::SERVICE_UNAVAILABLE,
                Verdict::MayHaveRun,
                "the store does not serve; the job may not be cancelled",
            )
            .with_retry_after(STORE_RETRY_AFTER)),
        }
    }

    async fn pending(&self) -> std::result::Result<Response, ErrorResponse> {
        self.progress.enter(CallStage::Planner);
        let pending = queries::pending(self.node, &self.route.queue.name).await;
        let pending = pending.ok_or_else(|| {
            ErrorResponse::unavailable("the planner can't be asked", STORE_RETRY_AFTER)
        })?;
        Ok(json_response(self.node.dialect.write_pending(pending)))
    }
}

fn refusal_failure(reason: AdmissionRefusalReason) -> ErrorResponse {
    let error = match reason {
        AdmissionRefusalReason::TooLarge => "no worker is large enough, or there are too few",
        AdmissionRefusalReason::NoSuchLabel => "no worker has the label that is asked for",
        AdmissionRefusalReason::TooLate => "it would start too late to be of use",
    };
    ErrorResponse::new(StatusCode::TOO_MANY_REQUESTS, Verdict::NotRun, error)
}

/// Returns the failure for a request whose handling panicked, which is logged.
fn internal_failure() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        Verdict::MayHaveRun,
        "the request could not be handled; it may have taken effect",
    )
    .with_retry_after(STORE_RETRY_AFTER)
}

fn no_such_job() -> ErrorResponse {
    ErrorResponse::new(StatusCode::GONE, Verdict::NotRun, "there is no such job")
}

fn unreadable_job(fault: &StoreFault) -> ErrorResponse {
    ErrorResponse::unavailable(format!("the job can't be read: {fault}"), STORE_RETRY_AFTER)
}

/// Returns the failure for a request whose outcome is not known.
fn outcome_unknown(why: &str) -> ErrorResponse {
    ErrorResponse::new(StatusCode::GATEWAY_TIMEOUT, Verdict::MayHaveRun, why)
        .with_retry_after(STORE_RETRY_AFTER)
}

/// Returns the failure for a job whose ID another customer's job has. The caller is told no more
/// than that the job was not taken.
fn unusable_id() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::TOO_MANY_REQUESTS,
        Verdict::NotRun,
        "the job was not taken; hand it in under another id",
    )
}

fn empty_response(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

fn json_response(bytes: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(Full::from(bytes)));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Returns the host that a request names, without its port.
fn requested_host(request: &Request) -> String {
    let named = request
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    host.to_lowercase()
}

fn api_key(request: &Request, scheme: &str) -> Option<String> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (given, key) = value.split_once(' ')?;
    given
        .eq_ignore_ascii_case(scheme)
        .then(|| key.trim().to_owned())
}
