//! Decides whether to admit a job, and stores a refusal before reporting it to the caller.
//!
//! The refusal record is written under the job's own key. It makes the conditional write of any
//! earlier request for the same name fail, even if that write reaches the store late.

use std::time::Duration;

use stairstall_core::batch::{AcceptedJob, Admission, AdmissionRefusal, KnownLoad};
use stairstall_core::{Lease, Verdict};
use stairstall_ports::{Commit, Committed, Item, LeaseId, Revision};

use super::kept_job::{KeptJob, RefusalMark};
use super::node::Node;
use super::{kept, keys};
use crate::clock::millis;

/// Outcome of storing a refusal. Logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Settled {
    /// The refusal is stored: no request for this name has stored a job or will do so later.
    Refused,
    /// The customer's job is already stored.
    Known,
    /// The name belongs to another customer's job.
    Foreign,
    /// The store did not carry out the write.
    NotKept,
    /// It is not known what the job's key holds.
    Unsettled,
}

/// Decides whether to admit a job, using the planner's latest load summary.
pub(crate) fn decide(node: &Node, job: &AcceptedJob) -> Admission {
    let now = node.clock.now();
    // A refusal has to be stored, which needs the store.
    let can_refuse = node.knows_newest_catalog() && node.store_health.serves(now);
    let policy = &node.settings.policy.admission;
    if !can_refuse || !policy.refuses_impossible && !policy.refuses_too_late {
        return Admission::Accept;
    }
    if let Some(summary) = node.tenure().and_then(|tenure| tenure.load_summary()) {
        node.load.take(summary, now);
    }
    let Some((summary, age)) = node.load.known(now) else {
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
pub(crate) async fn settle(node: &Node, job: &AcceptedJob) -> Settled {
    let key = keys::job(&job.id);
    let started = node.clock.now();
    let mut mark = RefusalMark::of(job);
    let mut expected = Revision(0);
    let mut is_in_doubt = false;
    let mut lost_a_lease = false;
    while node.clock.now() - started < node.settings.policy.acceptance.settle_limit {
        let (Some(lease), Ok(value)) = (mark_lease(node).await, kept::write(&mark)) else {
            break;
        };
        let commit =
            Commit::default()
                .when(key.clone(), expected)
                .put_leased(key.clone(), value, lease);
        match node.stored("refuse", node.store.commit(commit)).await {
            Ok(Committed::Done(_)) => return Settled::Refused,
            Ok(Committed::Conflict(items)) => match found(job, &mark, items.first()) {
                Found::Settled(settled) => return settled,
                Found::Free if expected == Revision(0) => {
                    node.pause(node.settings.policy.acceptance.retry_pause)
                        .await;
                }
                Found::Free => expected = Revision(0),
                Found::Mark(earlier, revision) => {
                    mark.follow(&earlier);
                    expected = revision;
                }
            },
            Ok(Committed::NoLease) => {
                node.refusals.drop_lease(lease);
                if std::mem::replace(&mut lost_a_lease, true) {
                    break;
                }
            }
            Err(fault) => {
                is_in_doubt |= fault.verdict() != Verdict::NotRun;
                if !is_in_doubt {
                    break;
                }
                node.pause(node.settings.policy.acceptance.retry_pause)
                    .await;
            }
        }
    }
    if is_in_doubt {
        Settled::Unsettled
    } else {
        Settled::NotKept
    }
}

/// What the job's key holds if the conditional write found something unexpected.
enum Found {
    /// An entry that decides the outcome.
    Settled(Settled),
    /// No entry: the lease of a refusal record has ended.
    Free,
    /// Another refusal record. The caller may be submitting the job again at the same time.
    Mark(RefusalMark, Revision),
}

fn found(job: &AcceptedJob, mark: &RefusalMark, item: Option<&Item>) -> Found {
    let Some(item) = item else {
        return Found::Free;
    };
    match KeptJob::read(&item.value) {
        Ok(KeptJob::Refused(found)) if found.refused_by == mark.refused_by => {
            Found::Settled(Settled::Refused)
        }
        Ok(KeptJob::Refused(found)) => Found::Mark(found, item.revision),
        Ok(KeptJob::Accepted(kept)) if kept.customer == job.customer => {
            Found::Settled(Settled::Known)
        }
        Ok(KeptJob::Accepted(_)) => Found::Settled(Settled::Foreign),
        Err(error) => {
            log::error!(target: "admission", job:% = job.id, why:% = error;
                "can't decode the entry under the job's key");
            Found::Settled(Settled::Unsettled)
        }
    }
}

/// Returns a lease that keeps a refusal record for long enough, or `None` if the store grants none.
async fn mark_lease(node: &Node) -> Option<LeaseId> {
    let _one_at_a_time = node.refusals.granting.lock().await;
    let requested_at = node.clock.now();
    if let Some(lease) = node.refusals.lease(requested_at) {
        return Some(lease);
    }
    let grant = node
        .store
        .grant(node.settings.policy.admission.max_mark_lifetime);
    match node.stored("grant", grant).await {
        Ok((id, ttl)) => node.refusals.take_lease(id, Lease::new(requested_at, ttl)),
        Err(fault) => {
            log::warn!(target: "admission", why:% = fault; "could not get a lease for refusal records");
        }
    }
    node.refusals.lease(requested_at)
}

/// Logs a stored refusal and returns the delay after which the caller should retry.
pub(crate) fn tell(node: &Node, job: &AcceptedJob, refusal: &AdmissionRefusal) -> Duration {
    let longest = node.settings.policy.admission.max_retry_after;
    let wait = refusal.forecast.map_or(longest, |forecast| forecast.likely);
    let priority = job.queue.priority;
    let now = node.clock.now();
    let retry_after = node.refusals.return_after(priority, wait, now);
    let earliest = refusal.forecast.map(|forecast| millis(forecast.earliest));
    let likely = refusal.forecast.map(|forecast| millis(forecast.likely));
    log::info!(target: "admission", job:% = job.id, queue:% = job.queue.name, priority,
        reason = refusal.reason.as_str(), earliest_ms:? = earliest, likely_ms:? = likely,
        start_by_ms = millis(refusal.latest_start), age_ms = millis(refusal.age),
        retry_after_ms = millis(retry_after); "refused");
    node.telemetry.admission(priority, refusal.reason.as_str());
    retry_after
}
