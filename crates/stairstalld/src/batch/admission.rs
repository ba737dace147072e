//! Decides whether a job is taken, and makes a refusal true before it is said.
//!
//! A refusal is written down under the job's own key first: from then on no earlier try of that name,
//! of which a write may be late, can take effect.

use std::time::Duration;

use stairstall_core::batch::{AcceptedJob, Admission, AdmissionRefusal, KnownLoad};
use stairstall_core::{Lease, Verdict};
use stairstall_ports::{Commit, Committed, Item, LeaseId, Revision};

use super::kept_job::{KeptJob, RefusalMark};
use super::node::Node;
use super::{kept, keys};
use crate::clock::millis;

/// What became of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Settled {
    /// It stands: no try of that name is kept or will be.
    Refused,
    /// The job is kept already.
    Known,
    /// The name is another customer's job.
    Foreign,
    /// The store did nothing.
    NotKept,
    /// It is not known what stands under the name.
    Unsettled,
}

/// Decides by the planner's last word whether a job is taken.
pub(crate) fn decide(node: &Node, job: &AcceptedJob) -> Admission {
    let now = node.clock.now();
    // Without the store a refusal can't be made true.
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

/// Writes the mark of a refusal, or finds out that there is a job to answer for.
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

/// What stands under the name instead of what was expected.
enum Found {
    /// Something that decides.
    Settled(Settled),
    /// Nothing any more: a mark's lease is over.
    Free,
    /// Another refusal, under which a return may be under way.
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
                "what stands under its name can't be read");
            Found::Settled(Settled::Unsettled)
        }
    }
}

/// Returns a lease under which a mark lasts long enough; none where the store grants none.
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
            log::warn!(target: "admission", why:% = fault; "no lease for the marks of refusals");
        }
    }
    node.refusals.lease(requested_at)
}

/// Writes the line of a refusal that stands; returns when its caller should come back.
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
