//! Writes accepted jobs and cancellations to the store before the caller gets its answer.

use serde::{Deserialize, Serialize};
use stairstall_core::batch::AcceptedJob;
use stairstall_core::{CustomerId, JobId, Timestamp, Verdict};
use stairstall_ports::{Commit, CommitOutcome, Item, Revision};

use super::admission::{self, RefusalOutcome};
use super::node::Node;
use super::open_call::{CallProgress, CallStage};
use super::rpc::{PeerClient, may_have_run};
use super::stored_job::StoredJob;
use super::{encoding, queries};
use crate::daemon::lock;
use crate::keys;

/// Outcome of submitting a job. Sent between daemons and logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Acceptance {
    /// The job is stored.
    Accepted,
    /// An earlier request stored the same customer's job under this name.
    Known,
    /// The name belongs to another customer's job.
    Foreign,
    /// This request did not store the job and will not do so later.
    NotKept,
    /// The job may be stored already, or may be later by a write that is still in flight.
    MayBeKept,
}

/// Outcome of cancelling a job. Sent between daemons and logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Cancellation {
    /// The cancellation is stored.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// The job belongs to another customer.
    Foreign,
    /// It is not known whether the cancellation is stored.
    Unsettled,
}

/// What to do when the job's key holds the record of an earlier refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OnRefusal {
    /// Overwrite it: the caller has submitted the job again.
    Replace,
    /// Leave it: another daemon may have refused the caller after this request was sent.
    Keep,
}

impl Acceptance {
    const fn is_settled(self) -> bool {
        !matches!(self, Self::NotKept | Self::MayBeKept)
    }
}

/// Accepts a job; relays it to peers if the store does not serve this daemon.
///
/// The write is idempotent, since the name identifies the job. A peer can therefore be tried even
/// after a write that may have succeeded.
pub(crate) async fn accept(
    node: &Node,
    job: &mut AcceptedJob,
    called_at: Timestamp,
    progress: &CallProgress,
) -> Acceptance {
    progress.enter(CallStage::StoreWrite);
    let fail_fast = node.store_health.should_fail_fast(node.clock.now());
    let mut outcome = if fail_fast {
        Acceptance::NotKept
    } else {
        write_job(node, job, OnRefusal::Replace, called_at).await
    };
    if outcome.is_settled() {
        return outcome;
    }
    progress.enter(CallStage::Relay);
    for rpc in relays(node) {
        let Some(client) = node.peer_clients.client(&rpc) else {
            continue;
        };
        match client.accept(job.clone()).await {
            Ok(Acceptance::NotKept) => lock(&node.peer_table).record_failure(&rpc),
            Ok(Acceptance::MayBeKept) => outcome = Acceptance::MayBeKept,
            Ok(outcome) => return outcome,
            Err(error) => {
                let may_have_run = may_have_run(&error);
                log::info!(target: "accept", job:% = job.id, rpc, left = may_have_run, why:% = error;
                    "peer did not accept the job");
                node.peer_failed(&rpc);
                if may_have_run {
                    outcome = Acceptance::MayBeKept;
                }
            }
        }
    }
    outcome
}

/// Returns the RPC addresses of the daemons that can reach the store on behalf of this one: peers
/// that the store served recently. Without any, returns the planner, unless its last call failed.
fn relays(node: &Node) -> Vec<String> {
    let planner = node.remote_planner().map(|planner| planner.rpc);
    if !node.settings.policy.peers.probes_peers {
        return planner.into_iter().collect();
    }
    let peer_table = lock(&node.peer_table);
    let relays = peer_table.relays(node.clock.now());
    if relays.is_empty() {
        return planner
            .into_iter()
            .filter(|rpc| peer_table.may_answer(rpc))
            .collect();
    }
    relays
}

/// Writes a job to the store if its key is free or, depending on `on_refusal`, holds a refusal
/// record. If the customer has already stored a job under this name, replaces `job` by that one, so
/// that the planner is notified of what is stored.
pub(crate) async fn write_job(
    node: &Node,
    job: &mut AcceptedJob,
    mut on_refusal: OnRefusal,
    called_at: Timestamp,
) -> Acceptance {
    let key = keys::batch_job(&job.id);
    let started = node.clock.now();
    let mut expected = Revision(0);
    let mut may_be_stored = false;
    loop {
        let Ok(value) = encoding::encode(job) else {
            return Acceptance::NotKept;
        };
        let commit = Commit::default()
            .when(key.clone(), expected)
            .put(key.clone(), value);
        match node.store_call("accept", node.store.commit(commit)).await {
            Ok(CommitOutcome::Done(_)) => return Acceptance::Accepted,
            Ok(CommitOutcome::Conflict(items)) => match existing_entry(job, items.first()) {
                ExistingEntry::Decisive(outcome) => return outcome,
                ExistingEntry::Known(stored) => {
                    *job = *stored;
                    return Acceptance::Known;
                }
                ExistingEntry::Refusal(first_asked_unix_ms, revision) => {
                    let may_replace = on_refusal == OnRefusal::Replace && !may_be_stored;
                    if !may_replace || !caller_still_waits(node, called_at) {
                        log::info!(target: "accept", job:% = job.id; "the refusal record stays in place");
                        // A write that got no answer may still take effect once the lease of the
                        // refusal record ends.
                        return if may_be_stored {
                            Acceptance::MayBeKept
                        } else {
                            Acceptance::NotKept
                        };
                    }
                    on_refusal = OnRefusal::Keep;
                    job.first_requested_unix_ms = first_asked_unix_ms;
                    expected = revision;
                    continue;
                }
                ExistingEntry::Missing if expected == Revision(0) => return Acceptance::MayBeKept,
                ExistingEntry::Missing => {
                    expected = Revision(0);
                    continue;
                }
            },
            Ok(CommitOutcome::LeaseExpired) => return Acceptance::NotKept,
            Err(fault) if fault.verdict() == Verdict::NotRun && !may_be_stored => {
                return Acceptance::NotKept;
            }
            Err(fault) => may_be_stored |= fault.verdict() != Verdict::NotRun,
        }
        if is_settle_limit_over(node, started) {
            return Acceptance::MayBeKept;
        }
        node.back_off(node.settings.policy.acceptance.retry_pause)
            .await;
    }
}

/// Returns whether the caller that sent its request at `called_at` is certain to still wait for the
/// answer.
///
/// A caller that has given up on this request may have submitted the job again and been refused by
/// another daemon. If this daemon was delayed, it would mistake that new refusal for an older one
/// and overwrite it.
fn caller_still_waits(node: &Node, called_at: Timestamp) -> bool {
    node.clock.now() - called_at <= node.settings.policy.admission.replaces_within
}

/// Returns whether a write that began at `started` has reached the time limit for finding out its
/// outcome.
fn is_settle_limit_over(node: &Node, started: Timestamp) -> bool {
    let policy = &node.settings.policy.acceptance;
    let now = node.clock.now();
    let limit = if node.store_health.should_fail_fast(now) {
        policy.outage_settle_limit
    } else {
        policy.settle_limit
    };
    now - started >= limit
}

/// What the job's key holds if the conditional write found something unexpected.
enum ExistingEntry {
    /// An entry that decides the outcome.
    Decisive(Acceptance),
    /// A job of the same customer, stored by an earlier request.
    Known(Box<AcceptedJob>),
    /// A refusal record: its first-request time if it belongs to the same customer, and the
    /// revision of the key.
    Refusal(Option<u64>, Revision),
    /// No entry.
    Missing,
}

fn existing_entry(job: &AcceptedJob, item: Option<&Item>) -> ExistingEntry {
    let Some(item) = item else {
        return ExistingEntry::Missing;
    };
    ExistingEntry::Decisive(match StoredJob::read(&item.value) {
        Ok(StoredJob::Refused(record)) => {
            let is_same_customer = record.customer == job.customer;
            let first = is_same_customer.then_some(record.first_asked_unix_ms);
            return ExistingEntry::Refusal(first, item.revision);
        }
        Ok(StoredJob::Accepted(stored)) if stored.mark == job.mark => Acceptance::Accepted,
        Ok(StoredJob::Accepted(stored)) if stored.customer == job.customer => {
            return ExistingEntry::Known(stored);
        }
        Ok(StoredJob::Accepted(_)) => Acceptance::Foreign,
        Err(error) => {
            log::error!(target: "accept", job:% = job.id, why:% = error;
                "can't decode the entry under the job's key");
            Acceptance::MayBeKept
        }
    })
}

/// Cancels a job; relays the cancellation to peers if the store does not serve this daemon.
pub(crate) async fn cancel(
    node: &Node,
    id: &JobId,
    customer: Option<&CustomerId>,
    progress: &CallProgress,
) -> Cancellation {
    progress.enter(CallStage::StoreWrite);
    let fail_fast = node.store_health.should_fail_fast(node.clock.now());
    let outcome = if fail_fast {
        Cancellation::Unsettled
    } else {
        write_cancel(node, id, customer).await
    };
    if outcome != Cancellation::Unsettled {
        return outcome;
    }
    progress.enter(CallStage::Relay);
    for rpc in relays(node) {
        let Some(client) = node.peer_clients.client(&rpc) else {
            continue;
        };
        match client.cancel(id.clone(), customer.cloned()).await {
            Ok(Cancellation::Unsettled) => {}
            Ok(outcome) => return outcome,
            Err(error) => {
                log::info!(target: "cancel", job:% = id, rpc, why:% = error; "peer did not answer");
                node.peer_failed(&rpc);
            }
        }
    }
    outcome
}

/// Writes a cancellation to the store, retrying until the settle limit.
pub(crate) async fn write_cancel(
    node: &Node,
    id: &JobId,
    customer: Option<&CustomerId>,
) -> Cancellation {
    let started = node.clock.now();
    loop {
        if let Some(settled) = try_cancel(node, id, customer).await {
            return settled;
        }
        if is_settle_limit_over(node, started) {
            return Cancellation::Unsettled;
        }
        node.back_off(node.settings.policy.acceptance.retry_pause)
            .await;
    }
}

/// Tries once to write a cancellation; returns `None` if the outcome is not known yet.
async fn try_cancel(
    node: &Node,
    id: &JobId,
    customer: Option<&CustomerId>,
) -> Option<Cancellation> {
    let found = match queries::read_stored(node, id).await {
        Ok(found) => found,
        Err(fault) if fault.verdict() == Verdict::NotRun => return Some(Cancellation::Unsettled),
        Err(_) => return None,
    };
    let Some(item) = found else {
        return mark_cancelled(node, id, customer).await;
    };
    let entry = match StoredJob::read(&item.value) {
        Ok(entry) => entry,
        Err(error) => {
            log::error!(target: "cancel", job:% = id, why:% = error;
                "can't decode the entry under the job's key");
            return Some(Cancellation::Unsettled);
        }
    };
    let Some(stored) = entry.accepted() else {
        return Some(Cancellation::NoJob);
    };
    if stored.customer.as_ref() != customer {
        // The same calls as for an ID that no job has, so that the time tells nothing.
        return mark_cancelled(node, id, customer).await;
    }
    // If the job's records are removed meanwhile, the cancellation must not be left for the next job
    // of its name.
    let commit = Commit::default()
        .when(keys::batch_job(id), item.revision)
        .put(keys::batch_cancellation(id), Vec::new());
    match node.store_call("cancel", node.store.commit(commit)).await {
        Ok(CommitOutcome::Done(_)) => Some(Cancellation::Cancelled),
        _ => None,
    }
}

/// Makes sure that no job under an ID is accepted by a request sent so far, since no job is there to
/// cancel. Returns `None` if the customer's job has been stored meanwhile.
async fn mark_cancelled(
    node: &Node,
    id: &JobId,
    customer: Option<&CustomerId>,
) -> Option<Cancellation> {
    match admission::store_cancel_mark(node, id, customer).await {
        RefusalOutcome::Refused => Some(Cancellation::NoJob),
        RefusalOutcome::Foreign => Some(Cancellation::Foreign),
        RefusalOutcome::Known => None,
        RefusalOutcome::NotKept | RefusalOutcome::Unsettled => Some(Cancellation::Unsettled),
    }
}
