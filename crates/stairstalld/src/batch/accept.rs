//! Acceptance and cancellation: durable before the caller hears of it.

use serde::{Deserialize, Serialize};
use stairstall_core::batch::AcceptedJob;
use stairstall_core::{CustomerId, JobId, Timestamp, Verdict};
use stairstall_ports::{Commit, Committed, Item, Revision};

use super::kept_job::KeptJob;
use super::node::Node;
use super::rpc::{PeerClient, may_have_left};
use super::{kept, keys};
use crate::daemon::lock;

/// What became of handing a job in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Acceptance {
    /// It is kept.
    Accepted,
    /// The same name was kept before; it is the same job.
    Known,
    /// The name is another customer's job.
    Foreign,
    /// It is not kept and never will be by this try.
    NotKept,
    /// It may be kept now or later.
    MayBeKept,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Cancellation {
    /// It is kept.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// The job is another customer's.
    Foreign,
    /// It is not known whether it is kept.
    Unsettled,
}

/// What an acceptance does with the mark of a refusal that stands under the job's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Marks {
    /// It takes its place: the caller has come back.
    GiveWay,
    /// It leaves it: the caller may have been refused after it called here.
    Stand,
}

impl Acceptance {
    const fn is_settled(self) -> bool {
        !matches!(self, Self::NotKept | Self::MayBeKept)
    }
}

/// Accepts a job, by way of peers where the store does not serve this daemon.
///
/// The job's name makes it one job however many daemons write it, so that a
/// peer may be asked after a try that may have been kept.
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
                    "a peer did not take it");
                node.peer_failed(&rpc);
                if left {
                    found = Acceptance::MayBeKept;
                }
            }
        }
    }
    found
}

/// Returns where daemons answer that may do for this one what the store does not: those that the
/// store served a moment ago, or else the planner, unless it failed when it was asked last.
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

/// Writes a job to the store under the condition that its name is free, or that the mark of its
/// refusal stands there still. A job that was kept before under its name takes the place of `job`.
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
                        log::info!(target: "accept", job:% = job.id; "its refusal stands");
                        // A write without an answer may take effect once the refusal's lease is over.
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

/// Tells whether a caller that called at that time surely waits for its answer still.
///
/// One that does not may have been refused elsewhere meanwhile; a daemon that was held up would take
/// that mark for an older one.
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

/// What stands under a job's name instead of what was expected.
enum Found {
    /// Something that decides.
    Settled(Acceptance),
    /// The same customer's job, by an earlier try.
    Known(Box<AcceptedJob>),
    /// The mark of a refusal: when the job was asked for first, where it was the same customer's,
    /// and its revision.
    Mark(Option<u64>, Revision),
    /// Nothing.
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
                "what stands under its name can't be read");
            Acceptance::MayBeKept
        }
    })
}

/// Cancels a job, by way of peers where the store does not serve this daemon.
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
                log::info!(target: "cancel", job:% = id, rpc, why:% = error; "a peer did not answer");
                node.peer_failed(&rpc);
            }
        }
    }
    own
}

/// Writes a cancellation to the store.
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

/// Returns what became of it, once that is known.
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
                "what stands under its name can't be read");
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
