//! Writes accepted jobs and cancellations to the store before the caller gets its answer.

use serde::{Deserialize, Serialize};
use stairstall_core::batch::AcceptedJob;
use stairstall_core::{CustomerId, JobId, Timestamp, Verdict};
use stairstall_ports::{Commit, Committed, Item, Revision};

use super::kept_job::KeptJob;
use super::node::Node;
use super::rpc::{PeerClient, may_have_left};
use super::{kept, keys};
use crate::daemon::lock;

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
pub(crate) enum Marks {
    /// Overwrite it: the caller has submitted the job again.
    GiveWay,
    /// Leave it: the caller may have been refused elsewhere after it sent this request.
    Stand,
}

impl Acceptance {
    const fn is_settled(self) -> bool {
        !matches!(self, Self::NotKept | Self::MayBeKept)
    }
}

/// Accepts a job; relays it to peers if the store does not serve this daemon.
///
/// The name identifies the job however many daemons write it, so a peer can be tried even after a
/// write that may have succeeded.
pub(crate) async fn accept(node: &Node, job: &mut AcceptedJob, called_at: Timestamp) -> Acceptance {
    let held_back = node.store_health.holds_back(node.clock.now());
    let mut found = if held_back {
        Acceptance::NotKept
    } else {
        write_job(node, job, Marks::GiveWay, called_at).await
    };
    if found.is_settled() {
        return found;
    }
    for rpc in helpers(node) {
        let Some(client) = node.peers.client(&rpc) else {
            continue;
        };
        match client.accept(job.clone()).await {
            Ok(Acceptance::NotKept) => lock(&node.reach).record_failure(&rpc),
            Ok(Acceptance::MayBeKept) => found = Acceptance::MayBeKept,
            Ok(settled) => return settled,
            Err(error) => {
                let left = may_have_left(&error);
                log::info!(target: "accept", job:% = job.id, rpc, left, why:% = error;
                    "peer did not accept the job");
                node.peer_failed(&rpc);
                if left {
                    found = Acceptance::MayBeKept;
                }
            }
        }
    }
    found
}

/// Returns the RPC addresses of the daemons that can reach the store on behalf of this one: peers
/// that the store served recently. Without any, returns the planner, unless its last call failed.
fn helpers(node: &Node) -> Vec<String> {
    let planner = node.other_planner().map(|planner| planner.rpc);
    if !node.settings.policy.reach.probes_peers {
        return planner.into_iter().collect();
    }
    let reach = lock(&node.reach);
    let helpers = reach.relays(node.clock.now());
    if helpers.is_empty() {
        return planner
            .into_iter()
            .filter(|rpc| reach.may_answer(rpc))
            .collect();
    }
    helpers
}

/// Writes a job to the store if its key is free or still holds the expected refusal record. If the
/// customer has already stored a job under this name, replaces `job` by that one.
pub(crate) async fn write_job(
    node: &Node,
    job: &mut AcceptedJob,
    mut marks: Marks,
    called_at: Timestamp,
) -> Acceptance {
    let key = keys::job(&job.id);
    let started = node.clock.now();
    let mut expected = Revision(0);
    let mut may_be_kept = false;
    loop {
        let Ok(value) = kept::write(job) else {
            return Acceptance::NotKept;
        };
        let commit = Commit::default()
            .when(key.clone(), expected)
            .put(key.clone(), value);
        match node.stored("accept", node.store.commit(commit)).await {
            Ok(Committed::Done(_)) => return Acceptance::Accepted,
            Ok(Committed::Conflict(items)) => match found(job, items.first()) {
                Found::Settled(settled) => return settled,
                Found::Known(kept) => {
                    if !kept.is_trimmed() {
                        *job = *kept;
                    }
                    return Acceptance::Known;
                }
                Found::Mark(first_asked_unix_ms, revision) => {
                    let may_replace = marks == Marks::GiveWay && !may_be_kept;
                    if !may_replace || !still_waits(node, called_at) {
                        log::info!(target: "accept", job:% = job.id; "the refusal record stays in place");
                        // A write that got no answer may still take effect once the lease of the
                        // refusal record ends.
                        return if may_be_kept {
                            Acceptance::MayBeKept
                        } else {
                            Acceptance::NotKept
                        };
                    }
                    marks = Marks::Stand;
                    job.first_asked_unix_ms = first_asked_unix_ms;
                    expected = revision;
                    continue;
                }
                Found::Nothing if expected == Revision(0) => return Acceptance::MayBeKept,
                Found::Nothing => {
                    expected = Revision(0);
                    continue;
                }
            },
            Ok(Committed::NoLease) => return Acceptance::NotKept,
            Err(fault) if fault.verdict() == Verdict::NotRun && !may_be_kept => {
                return Acceptance::NotKept;
            }
            Err(fault) => may_be_kept |= fault.verdict() != Verdict::NotRun,
        }
        if is_time_to_give_up(node, started) {
            return Acceptance::MayBeKept;
        }
        node.pause(node.settings.policy.acceptance.retry_pause)
            .await;
    }
}

/// Returns whether the caller that sent its request at `called_at` is certain to still wait for the
/// answer.
///
/// A caller that has given up may have been refused by another daemon since. A daemon that was
/// delayed would take that new refusal for an older one and overwrite it.
fn still_waits(node: &Node, called_at: Timestamp) -> bool {
    node.clock.now() - called_at <= node.settings.policy.admission.replaces_within
}

fn is_time_to_give_up(node: &Node, started: Timestamp) -> bool {
    let policy = &node.settings.policy.acceptance;
    let now = node.clock.now();
    let limit = if node.store_health.holds_back(now) {
        policy.outage_settle_limit
    } else {
        policy.settle_limit
    };
    now - started >= limit
}

/// What the job's key holds if the conditional write found something unexpected.
enum Found {
    /// An entry that decides the outcome.
    Settled(Acceptance),
    /// A job of the same customer, stored by an earlier request.
    Known(Box<AcceptedJob>),
    /// A refusal record: its first-request time if it belongs to the same customer, and the
    /// revision of the key.
    Mark(Option<u64>, Revision),
    /// No entry.
    Nothing,
}

fn found(job: &AcceptedJob, item: Option<&Item>) -> Found {
    let Some(item) = item else {
        return Found::Nothing;
    };
    Found::Settled(match KeptJob::read(&item.value) {
        Ok(KeptJob::Refused(mark)) => {
            let is_own = mark.customer == job.customer;
            let first = is_own.then_some(mark.first_asked_unix_ms);
            return Found::Mark(first, item.revision);
        }
        Ok(KeptJob::Accepted(kept)) if kept.mark == job.mark => Acceptance::Accepted,
        Ok(KeptJob::Accepted(kept)) if kept.customer == job.customer => {
            return Found::Known(kept);
        }
        Ok(KeptJob::Accepted(_)) => Acceptance::Foreign,
        Err(error) => {
            log::error!(target: "accept", job:% = job.id, why:% = error;
                "can't decode the entry under the job's key");
            Acceptance::MayBeKept
        }
    })
}

/// Cancels a job; relays the cancellation to peers if the store does not serve this daemon.
pub(crate) async fn cancel(node: &Node, id: &JobId, customer: Option<&CustomerId>) -> Cancellation {
    let held_back = node.store_health.holds_back(node.clock.now());
    let own = if held_back {
        Cancellation::Unsettled
    } else {
        write_cancel(node, id, customer).await
    };
    if own != Cancellation::Unsettled {
        return own;
    }
    for rpc in helpers(node) {
        let Some(client) = node.peers.client(&rpc) else {
            continue;
        };
        match client.cancel(id.clone(), customer.cloned()).await {
            Ok(Cancellation::Unsettled) => {}
            Ok(settled) => return settled,
            Err(error) => {
                log::info!(target: "cancel", job:% = id, rpc, why:% = error; "peer did not answer");
                node.peer_failed(&rpc);
            }
        }
    }
    own
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
        if is_time_to_give_up(node, started) {
            return Cancellation::Unsettled;
        }
        node.pause(node.settings.policy.acceptance.retry_pause)
            .await;
    }
}

/// Tries once to write a cancellation; returns `None` if the outcome is not known yet.
async fn try_cancel(
    node: &Node,
    id: &JobId,
    customer: Option<&CustomerId>,
) -> Option<Cancellation> {
    let key = keys::job(id);
    let found = match node.stored("read job", node.store.get(&key)).await {
        Ok(found) => found,
        Err(fault) if fault.verdict() == Verdict::NotRun => return Some(Cancellation::Unsettled),
        Err(_) => return None,
    };
    let Some(item) = found else {
        return Some(Cancellation::NoJob);
    };
    let kept = match KeptJob::read(&item.value) {
        Ok(kept) => kept,
        Err(error) => {
            log::error!(target: "cancel", job:% = id, why:% = error;
                "can't decode the entry under the job's key");
            return Some(Cancellation::Unsettled);
        }
    };
    let Some(kept) = kept.accepted() else {
        return Some(Cancellation::NoJob);
    };
    if kept.customer.as_ref() != customer {
        return Some(Cancellation::Foreign);
    }
    let commit = Commit::default().put(keys::cancel(id), Vec::new());
    match node.stored("cancel", node.store.commit(commit)).await {
        Ok(Committed::Done(_)) => Some(Cancellation::Cancelled),
        _ => None,
    }
}
