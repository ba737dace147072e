//! Claims in the store, which make a not-repeatable request run at most once.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_body_util::Full;
use stairstall_core::claim::{
    ClaimAttempt, ClaimRecord, ClaimStep, ClaimWriteResult, Mark, StoredResponse,
};
use stairstall_core::protocol::header;
use stairstall_core::{Timestamp, Verdict};
use stairstall_store::{Entry, Expect, LeaseId, Store, StoreError, Swap};
use viz::header::{CONTENT_TYPE, HeaderMap};
use viz::{Body, Response, StatusCode};

use super::parse::Call;
use crate::daemon::Daemon;
use crate::keys;
use crate::response::{ErrorResponse, set_header};
use crate::retention::RETENTION;

/// Longest response body that is stored for callers that lost their connection, in bytes.
const MAX_STORED_BYTES: usize = 32 * 1024;
/// Delay before a claim is written again, and the first delay between attempts to remove one.
const WRITE_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts to remove a claim that is no longer needed.
const RELEASE_ATTEMPTS: u32 = 40;
/// Maximum delay between two of these attempts.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(5);
/// Maximum number of attempts to store a response.
const STORE_ATTEMPTS: u32 = 5;
/// Retry-after for requests that are in progress or could not be claimed, and the delay between
/// two attempts to store a response.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// A claim that this daemon holds.
#[derive(Debug)]
pub(super) struct Claim {
    key: String,
    revision: u64,
    lease: LeaseId,
    attempt: ClaimAttempt,
}

/// Outcome of claiming a request.
pub(super) enum ClaimOutcome {
    /// The request may be sent.
    Held(Claim),
    /// The request may not be sent; this is the response.
    Answered(Response),
}

/// Claims the request's id before any of the request is sent to a minion.
pub(super) async fn claim(daemon: &Arc<Daemon>, call: &Call) -> ClaimOutcome {
    let key = keys::claim(&call.flow.customer, &call.id);
    let attempt = ClaimAttempt::new(daemon.next_mark(), daemon.clock.now(), RETENTION);
    let mark = attempt.mark().clone();
    let deadline = daemon.clock.instant(call.deadline);
    let write = write_claim(daemon, call, key.clone(), attempt);
    if let Ok(claimed) = tokio::time::timeout_at(deadline, write).await {
        return claimed;
    }
    release_in_background(daemon.store.clone(), key, mark);
    let status = StatusCode::GATEWAY_TIMEOUT;
    let error = "the deadline passed while the request was being claimed";
    let error_response = ErrorResponse::new(status, Verdict::NotRun, error);
    ClaimOutcome::Answered(error_response.with_request(&call.id).into())
}

/// Writes the claim, and retries until it is held, refused or given up.
async fn write_claim(
    daemon: &Arc<Daemon>,
    call: &Call,
    key: String,
    mut attempt: ClaimAttempt,
) -> ClaimOutcome {
    loop {
        let lease = match daemon.retention.lease().await {
            Ok(lease) => lease,
            Err(error) => {
                daemon.record_store_answer(false);
                return claim_failed(call, &error.to_string());
            }
        };
        let swapped = daemon
            .store
            .swap(&key, Expect::Absent, &attempt.record(), Some(lease))
            .await;
        daemon.record_store_result(&swapped);
        if matches!(swapped, Err(StoreError::Status(_))) {
            daemon.retention.discard(lease).await;
        }
        let (answer, revision) = read_answer(swapped);
        match attempt.handle_write_result(answer) {
            ClaimStep::Held => {
                log::info!(target: "decision", request:% = call.id, customer:% = call.flow.customer;
                    "claimed: no other daemon may run this request");
                return ClaimOutcome::Held(Claim {
                    key,
                    revision,
                    lease,
                    attempt,
                });
            }
            ClaimStep::RetryWrite => tokio::time::sleep(WRITE_DELAY).await,
            ClaimStep::Taken(record) => {
                return ClaimOutcome::Answered(already_claimed(call, &record));
            }
            ClaimStep::GaveUp { record_may_exist } => {
                if record_may_exist {
                    release_in_background(daemon.store.clone(), key, attempt.mark().clone());
                }
                return claim_failed(call, "the platform's store does not answer");
            }
        }
    }
}

/// Returns what the store's answer means for the claim, and the revision of the record.
fn read_answer(swapped: Result<Swap, StoreError>) -> (ClaimWriteResult, u64) {
    match swapped {
        Ok(Swap::Applied(revision)) => (ClaimWriteResult::Applied, revision),
        Ok(Swap::Conflict(Some(entry))) => match entry.read::<ClaimRecord>() {
            Some(record) => (ClaimWriteResult::Conflict(record), entry.revision),
            None => (ClaimWriteResult::NotApplied, 0),
        },
        Ok(Swap::Conflict(None)) => (ClaimWriteResult::NotApplied, 0),
        Err(error) if error.verdict() == Verdict::NotRun => (ClaimWriteResult::NotApplied, 0),
        Err(_) => (ClaimWriteResult::Lost, 0),
    }
}

fn claim_failed(call: &Call, reason: &str) -> ClaimOutcome {
    let error = format!("a not-repeatable request can't be claimed now: {reason}");
    log::info!(target: "decision", request:% = call.id, verdict:% = Verdict::NotRun;
        "request ended without a response: {error}");
    let error_response = ErrorResponse::unavailable(error, RETRY_DELAY).with_request(&call.id);
    ClaimOutcome::Answered(error_response.into())
}

/// Returns the response to a request whose id was claimed before.
fn already_claimed(call: &Call, record: &ClaimRecord) -> Response {
    log::info!(target: "decision", request:% = call.id, claimed_by:% = record.mark.daemon,
        finished = record.finished; "not routed: the request id was claimed before");
    if let Some(response) = record.answer.as_ref().and_then(replay) {
        return response;
    }
    let (error, retry) = if record.finished {
        ("it ran to its end; its answer is not kept", None)
    } else {
        (
            "a request of this id is under way, or its daemon was lost",
            Some(RETRY_DELAY),
        )
    };
    let mut error_response = ErrorResponse::new(StatusCode::CONFLICT, Verdict::MayHaveRun, error)
        .with_field(header::REQUEST_ID)
        .with_request(&call.id);
    if let Some(after) = retry {
        error_response = error_response.with_retry_after(after);
    }
    error_response.into()
}

/// Returns the stored response for a repeated request.
fn replay(stored: &StoredResponse) -> Option<Response> {
    let body = STANDARD.decode(&stored.body).ok()?;
    let mut response = Response::new(Body::from(Full::from(body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).ok()?;
    if let Some(content_type) = stored.content_type.as_ref().and_then(|t| t.parse().ok()) {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    set_header(
        response.headers_mut(),
        header::VERDICT,
        Verdict::Ran.as_str(),
    );
    set_header(response.headers_mut(), header::REPLAYED, "1");
    Some(response)
}

impl Claim {
    /// Returns whether the request may still be sent: the claim may be too old, for example after
    /// a pause of the process.
    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        self.attempt.may_send(now)
    }

    /// Removes the claim of a request that did not run, so that the caller may retry it.
    pub(super) fn release(self, daemon: &Daemon) {
        release_in_background(daemon.store.clone(), self.key, self.attempt.mark().clone());
    }

    /// Returns a recorder that stores the response with the claim once it is complete.
    pub(super) fn response_recorder(
        self,
        daemon: &Daemon,
        status: u16,
        headers: &HeaderMap,
    ) -> ResponseRecorder {
        let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        ResponseRecorder {
            store: daemon.store.clone(),
            claim: self,
            status,
            content_type: content_type.map(str::to_owned),
            body: Some(Vec::new()),
        }
    }
}

/// Removes the record with this mark in the background, and retries while the store fails.
fn release_in_background(store: Store, key: String, mark: Mark) {
    tokio::spawn(async move {
        let mut delay = WRITE_DELAY;
        for _ in 0..RELEASE_ATTEMPTS {
            if let Ok(true) = try_release(&store, &key, &mark).await {
                return;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RELEASE_DELAY);
        }
        log::warn!(target: "claim", key:% = key; "could not remove the claim of a request that did not run");
    });
}

/// Returns true once no record with this mark is stored.
async fn try_release(store: &Store, key: &str, mark: &Mark) -> Result<bool, StoreError> {
    let Some(entry) = store.get(key).await? else {
        return Ok(true);
    };
    let ours = |entry: &Entry| entry.read::<ClaimRecord>().is_some_and(|r| r.mark == *mark);
    if !ours(&entry) {
        return Ok(true);
    }
    let deleted = store.delete(key, Expect::Revision(entry.revision)).await?;
    Ok(matches!(deleted, Swap::Applied(_)))
}

/// Collects a response and stores it with the claim, for callers that lost their connection.
#[derive(Debug)]
pub(super) struct ResponseRecorder {
    store: Store,
    claim: Claim,
    status: u16,
    content_type: Option<String>,
    /// None once the response is longer than [`MAX_STORED_BYTES`].
    body: Option<Vec<u8>>,
}

impl ResponseRecorder {
    pub(super) fn add(&mut self, data: &[u8]) {
        if let Some(body) = &mut self.body {
            body.extend_from_slice(data);
        }
        if self
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_STORED_BYTES)
        {
            self.body = None;
        }
    }

    /// Writes the response into the claim's record. If the store does not answer, the record stays
    /// unfinished.
    pub(super) async fn store(self) {
        let answer = self.body.as_ref().map(|body| StoredResponse {
            status: self.status,
            content_type: self.content_type.clone(),
            body: STANDARD.encode(body),
        });
        let record = ClaimRecord {
            answer,
            finished: true,
            ..self.claim.attempt.record()
        };
        let expect = Expect::Revision(self.claim.revision);
        for _ in 0..STORE_ATTEMPTS {
            let (key, lease) = (&self.claim.key, Some(self.claim.lease));
            if self.store.swap(key, expect, &record, lease).await.is_ok() {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        log::warn!(target: "claim", key:% = self.claim.key; "could not store a response");
    }
}
