//! Decides whether to admit a job, and stores a refusal before reporting it to the caller.
//!
//! The refusal record is written under the job's own key. It makes the conditional write of any
//! earlier request for the same name fail, even if that write reaches the store late.

use std::time::Duration;

use stairstall_core::batch::{AcceptedJob, Admission, AdmissionRefusal, KnownLoad};
use stairstall_core::{CustomerId, JobId, Lease, Verdict};
use stairstall_ports::{Commit, CommitOutcome, Item, LeaseId, Revision};

use super::encoding;
use super::node::Node;
use super::stored_job::{RefusalRecord, StoredJob};
use crate::clock::millis;
use crate::keys;

/// Outcome of storing a refusal. Logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalOutcome {
    /// The refusal is stored: no request for this name has stored a job or will do so later.
    Refused,
    /// The customer's job is already stored.
    Known,
    /// The name belongs to another customer's job.
    Foreign,
    /// The refusal is not stored and will not be.
    NotKept,
    /// It is not known what the job's key holds.
    Unsettled,
}

/// Decides whether to admit a job, using the planner's latest load summary.
pub(crate) fn decide(node: &Node, job: &AcceptedJob) -> Admission {
    let now = node.clock.now();
    // A refusal has to be stored, which needs the store.
    let can_refuse = node.is_catalog_current() && node.store_health.serves(now);
    let policy = &node.settings.policy.admission;
    if !can_refuse || !policy.refuses_impossible && !policy.refuses_too_late {
        return Admission::Accept;
    }
    if let Some(summary) = node.tenure().and_then(|tenure| tenure.load_summary()) {
        node.load.update(summary, now);
    }
    let Some((summary, age)) = node.load.latest(now) else {
        return Admission::Accept;
    };
    node.telemetry.load_age(age);
    let load = KnownLoad {
        summary: &summary,
        age,
    };
    Admission::decide(job, Some(load), policy)
}

/// Writes the refusal record of a job, unless the store already holds a job under its name.
pub(crate) async fn store_refusal(node: &Node, job: &AcceptedJob) -> RefusalOutcome {
    let (mark, customer) = (job.mark.clone(), job.customer.clone());
    let record = RefusalRecord::new(mark, customer, job.accepted_unix_ms);
    store_record(node, &job.id, record).await
}

/// Marks an ID that no job has as cancelled, like a refusal: a write of a job under it that is still
/// in flight then has no effect. The number of such marks is bounded for each customer.
pub(crate) async fn store_cancel_mark(
    node: &Node,
    id: &JobId,
    customer: Option<&CustomerId>,
) -> RefusalOutcome {
    if !node.refusals.take_cancel_mark(customer, node.clock.now()) {
        log::warn!(target: "cancel", job:% = id;
            "too many cancellations of IDs that no job has; this one is not marked");
        return RefusalOutcome::NotKept;
    }
    let unix_ms = node.now().unix_ms;
    let record = RefusalRecord::new(node.next_mark(), customer.cloned(), unix_ms);
    store_record(node, id, record).await
}

/// Writes a refusal record, unless the store already holds a job under the ID.
async fn store_record(node: &Node, id: &JobId, mut record: RefusalRecord) -> RefusalOutcome {
    let key = keys::batch_job(id);
    let started = node.clock.now();
    let mut expected = Revision(0);
    let mut is_outcome_unknown = false;
    let mut has_lost_lease = false;
    while node.clock.now() - started < node.settings.policy.acceptance.settle_limit {
        let (Some(lease), Ok(value)) = (refusal_lease(node).await, encoding::encode(&record))
        else {
            break;
        };
        let commit =
            Commit::default()
                .when(key.clone(), expected)
                .put_leased(key.clone(), value, lease);
        match node.store_call("refuse", node.store.commit(commit)).await {
            Ok(CommitOutcome::Done(_)) => return RefusalOutcome::Refused,
            Ok(CommitOutcome::Conflict(items)) => {
                match existing_entry(id, &record, items.first()) {
                    ExistingEntry::Decisive(outcome) => return outcome,
                    ExistingEntry::Missing if expected == Revision(0) => {
                        node.back_off(node.settings.policy.acceptance.retry_pause)
                            .await;
                    }
                    ExistingEntry::Missing => expected = Revision(0),
                    ExistingEntry::Refusal(earlier, revision) => {
                        record.inherit_first_request(&earlier);
                        expected = revision;
                    }
                }
            }
            Ok(CommitOutcome::LeaseExpired) => {
                node.refusals.remove_lease(lease);
                if std::mem::replace(&mut has_lost_lease, true) {
                    break;
                }
            }
            Err(fault) => {
                is_outcome_unknown |= fault.verdict() != Verdict::NotRun;
                if !is_outcome_unknown {
                    break;
                }
                node.back_off(node.settings.policy.acceptance.retry_pause)
                    .await;
            }
        }
    }
    if is_outcome_unknown {
        RefusalOutcome::Unsettled
    } else {
        RefusalOutcome::NotKept
    }
}

/// What the job's key holds if the conditional write found something unexpected.
enum ExistingEntry {
    /// An entry that decides the outcome.
    Decisive(RefusalOutcome),
    /// No entry: the lease of a refusal record has ended.
    Missing,
    /// Another refusal record. The caller may be submitting the job again at the same time.
    Refusal(RefusalRecord, Revision),
}

fn existing_entry(id: &JobId, record: &RefusalRecord, item: Option<&Item>) -> ExistingEntry {
    let Some(item) = item else {
        return ExistingEntry::Missing;
    };
    match StoredJob::read(&item.value) {
        Ok(StoredJob::Refused(found)) if found.refused_by == record.refused_by => {
            ExistingEntry::Decisive(RefusalOutcome::Refused)
        }
        Ok(StoredJob::Refused(found)) => ExistingEntry::Refusal(found, item.revision),
        Ok(StoredJob::Accepted(stored)) if stored.customer == record.customer => {
            ExistingEntry::Decisive(RefusalOutcome::Known)
        }
        Ok(StoredJob::Accepted(_)) => ExistingEntry::Decisive(RefusalOutcome::Foreign),
        Err(error) => {
            log::error!(target: "admission", job:% = id, why:% = error;
                "can't decode the entry under the job's key");
            ExistingEntry::Decisive(RefusalOutcome::Unsettled)
        }
    }
}

/// Returns a lease that lasts long enough for a refusal record, or `None` if the store grants none.
async fn refusal_lease(node: &Node) -> Option<LeaseId> {
    let _guard = node.refusals.grant_lock.lock().await;
    let requested_at = node.clock.now();
    if let Some(lease) = node.refusals.lease(requested_at) {
        return Some(lease);
    }
    let grant = node
        .store
        .grant_lease(node.settings.policy.admission.max_mark_lifetime);
    match node.store_call("grant", grant).await {
        Ok((id, ttl)) => node.refusals.set_lease(id, Lease::new(requested_at, ttl)),
        Err(fault) => {
            log::warn!(target: "admission", why:% = fault; "could not get a lease for refusal records");
        }
    }
    node.refusals.lease(requested_at)
}

/// Logs a stored refusal and returns the delay after which the caller should retry.
pub(crate) fn log_refusal(node: &Node, job: &AcceptedJob, refusal: &AdmissionRefusal) -> Duration {
    let longest = node.settings.policy.admission.max_retry_after;
    let wait = refusal.forecast.map_or(longest, |forecast| forecast.likely);
    let priority = job.queue.priority;
    let now = node.clock.now();
    let retry_after = node.refusals.retry_after(priority, wait, now);
    let earliest = refusal.forecast.map(|forecast| millis(forecast.earliest));
    let likely = refusal.forecast.map(|forecast| millis(forecast.likely));
    log::info!(target: "admission", job:% = job.id, queue:% = job.queue.name, priority,
        reason = refusal.reason.as_str(), earliest_ms:? = earliest, likely_ms:? = likely,
        start_by_ms = millis(refusal.latest_start), age_ms = millis(refusal.age),
        retry_after_ms = millis(retry_after); "refused");
    node.telemetry.admission(priority, refusal.reason.as_str());
    retry_after
}
