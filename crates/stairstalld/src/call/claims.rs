//! Claims in the store for not-repeatable requests.

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
use crate::answer::{Failure, set};
use crate::daemon::Daemon;
use crate::keys;
use crate::retention::KEPT_FOR;

/// Longest answer that is kept for callers that lost theirs, in bytes.
const MAX_KEPT_BYTES: usize = 32 * 1024;
/// Pause between two writes of the same claim.
const WRITE_PAUSE: Duration = Duration::from_millis(50);
/// How often a record that is no longer needed is tried to be removed.
const RELEASE_TRIES: u32 = 40;
/// Longest pause between two of these tries.
const RELEASE_PAUSE: Duration = Duration::from_secs(5);
/// How often an answer is tried to be kept.
const KEEP_TRIES: u32 = 5;
/// How soon it is worth asking again for a request that is under way.
const UNDER_WAY_RETRY: Duration = Duration::from_secs(1);

/// A claim that this daemon holds.
#[derive(Debug)]
pub(super) struct Claim {
    key: String,
    revision: u64,
    lease: LeaseId,
    attempt: ClaimAttempt,
}

/// What became of an attempt to claim.
pub(super) enum Claimed {
    /// The request may be sent.
    Held(Claim),
    /// It may not; this is the answer.
    Answered(Response),
}

/// Claims the request's id before its first byte leaves.
pub(super) async fn claim(daemon: &Arc<Daemon>, call: &Call) -> Claimed {
    let key = keys::claim(&call.flow.customer, &call.id);
    let attempt = ClaimAttempt::new(daemon.next_mark(), daemon.clock.now(), KEPT_FOR);
    let mark = attempt.mark().clone();
    let deadline = daemon.clock.instant(call.deadline);
    let writing = write(daemon, call, key.clone(), attempt);
    if let Ok(claimed) = tokio::time::timeout_at(deadline, writing).await {
        return claimed;
    }
    release_later(daemon.store.clone(), key, mark);
    let status = StatusCode::GATEWAY_TIMEOUT;
    let error = "the deadline passed while the request was being claimed";
    let failure = Failure::new(status, Verdict::NotRun, error);
    Claimed::Answered(failure.with_request(&call.id).into())
}

async fn write(
    daemon: &Arc<Daemon>,
    call: &Call,
    key: String,
    mut attempt: ClaimAttempt,
) -> Claimed {
    loop {
        let lease = match daemon.retention.lease().await {
            Ok(lease) => lease,
            Err(error) => {
                daemon.note_store(false);
                return no_claim(call, &error.to_string());
            }
        };
        let swapped = daemon
            .store
            .swap(&key, Expect::Absent, &attempt.record(), Some(lease))
            .await;
        daemon.note_answer(&swapped);
        if matches!(swapped, Err(StoreError::Status(_))) {
            daemon.retention.forget(lease).await;
        }
        let (answer, revision) = read_answer(swapped);
        match attempt.handle_write_result(answer) {
            ClaimStep::Held => {
                log::info!(target: "decision", request:% = call.id, customer:% = call.flow.customer;
                    "claimed: nobody else may run it");
                return Claimed::Held(Claim {
                    key,
                    revision,
                    lease,
                    attempt,
                });
            }
            ClaimStep::RetryWrite => tokio::time::sleep(WRITE_PAUSE).await,
            ClaimStep::Taken(record) => return Claimed::Answered(taken(call, &record)),
            ClaimStep::GaveUp {
                record_may_exist: may_stand,
            } => {
                if may_stand {
                    release_later(daemon.store.clone(), key, attempt.mark().clone());
                }
                return no_claim(call, "the platform's store does not answer");
            }
        }
    }
}

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

fn no_claim(call: &Call, why: &str) -> Claimed {
    let error = format!("a not-repeatable request can't be claimed now: {why}");
    log::info!(target: "decision", request:% = call.id, verdict:% = Verdict::NotRun;
        "given up: {error}");
    let failure = Failure::unavailable(error, UNDER_WAY_RETRY).with_request(&call.id);
    Claimed::Answered(failure.into())
}

/// Answers a request whose id was claimed before.
fn taken(call: &Call, record: &ClaimRecord) -> Response {
    log::info!(target: "decision", request:% = call.id, claimed_by:% = record.mark.daemon,
        finished = record.finished; "not routed: its id was claimed before");
    if let Some(response) = record.answer.as_ref().and_then(replay) {
        return response;
    }
    let (error, retry) = if record.finished {
        ("it ran to its end; its answer is not kept", None)
    } else {
        (
            "a request of this id is under way, or its daemon was lost",
            Some(UNDER_WAY_RETRY),
        )
    };
    let mut failure = Failure::new(StatusCode::CONFLICT, Verdict::MayHaveRun, error)
        .with_field(header::REQUEST_ID)
        .with_request(&call.id);
    if let Some(after) = retry {
        failure = failure.with_retry_after(after);
    }
    failure.into()
}

/// Gives the kept answer again.
fn replay(kept: &StoredResponse) -> Option<Response> {
    let body = STANDARD.decode(&kept.body).ok()?;
    let mut response = Response::new(Body::from(Full::from(body)));
    *response.status_mut() = StatusCode::from_u16(kept.status).ok()?;
    if let Some(kind) = kept.content_type.as_ref().and_then(|t| t.parse().ok()) {
        response.headers_mut().insert(CONTENT_TYPE, kind);
    }
    set(
        response.headers_mut(),
        header::VERDICT,
        Verdict::Ran.as_str(),
    );
    set(response.headers_mut(), header::REPLAYED, "1");
    Some(response)
}

impl Claim {
    /// Tells whether the request may leave now; the process may have been paused since.
    pub(super) fn may_send(&self, now: Timestamp) -> bool {
        self.attempt.may_send(now)
    }

    /// Removes the record of a request that did not run, so that it may be tried again.
    pub(super) fn release(self, daemon: &Daemon) {
        release_later(daemon.store.clone(), self.key, self.attempt.mark().clone());
    }

    /// Returns what keeps the answer once it is whole.
    pub(super) fn keeper(self, daemon: &Daemon, status: u16, headers: &HeaderMap) -> Keeper {
        let content_type = headers.get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
        Keeper {
            store: daemon.store.clone(),
            claim: self,
            status,
            content_type: content_type.map(str::to_owned),
            body: Some(Vec::new()),
        }
    }
}

/// Removes a record with our mark, however long the store takes to answer.
fn release_later(store: Store, key: String, mark: Mark) {
    tokio::spawn(async move {
        let mut pause = WRITE_PAUSE;
        for _ in 0..RELEASE_TRIES {
            if let Ok(true) = try_release(&store, &key, &mark).await {
                return;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(RELEASE_PAUSE);
        }
        log::warn!(target: "claim", key:% = key; "a claim of a request that did not run stays");
    });
}

/// Returns true once no record with our mark stands.
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

/// Collects an answer, and keeps it for callers that lost theirs.
#[derive(Debug)]
pub(super) struct Keeper {
    store: Store,
    claim: Claim,
    status: u16,
    content_type: Option<String>,
    /// None once the answer is too long to keep.
    body: Option<Vec<u8>>,
}

impl Keeper {
    pub(super) fn add(&mut self, data: &[u8]) {
        if let Some(body) = &mut self.body {
            body.extend_from_slice(data);
        }
        if self
            .body
            .as_ref()
            .is_some_and(|body| body.len() > MAX_KEPT_BYTES)
        {
            self.body = None;
        }
    }

    /// Writes the answer into the claim's record; without the store it stays unfinished.
    pub(super) async fn keep(self) {
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
        for _ in 0..KEEP_TRIES {
            let (key, lease) = (&self.claim.key, Some(self.claim.lease));
            if self.store.swap(key, expect, &record, lease).await.is_ok() {
                return;
            }
            tokio::time::sleep(UNDER_WAY_RETRY).await;
        }
        log::warn!(target: "claim", key:% = self.claim.key; "an answer could not be kept");
    }
}
