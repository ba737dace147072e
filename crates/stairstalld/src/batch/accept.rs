//! Acceptance and cancellation: durable before the caller hears of it.

use serde::{Deserialize, Serialize};
use stairstall_core::batch::AcceptedJob;
use stairstall_core::{CustomerId, JobId, Timestamp, Verdict};
use stairstall_ports::{Commit, Committed, Item, Revision};

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

impl Acceptance {
    const fn is_settled(self) -> bool {
        !matches!(self, Self::NotKept | Self::MayBeKept)
    }
}

/// Accepts a job, by way of peers where the store does not serve this daemon.
///
/// The job's name makes it one job however many daemons write it, so that a
/// peer may be asked after a try that may have been kept.
pub(crate) async fn accept(node: &Node, job: &AcceptedJob) -> Acceptance {
    let held_back = node.store_health.holds_back(node.clock.now());
    let mut found = if held_back {
        Acceptance::NotKept
    } else {
        write_job(node, job).await
    };
    if found.is_settled() {
        return found;
    }
    for rpc in helpers(node) {
        let Some(client) = node.peers.client(&rpc) else {
            continue;
        };
        match client.accept(job.clone()).await {
            Ok(Acceptance::NotKept) => lock(&node.reach).failed(&rpc),
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
    if !node.settings.policy.reach.asks_peers {
        return planner.into_iter().collect();
    }
    let reach = lock(&node.reach);
    let helpers = reach.helpers(node.clock.now());
    if helpers.is_empty() {
        return planner
            .into_iter()
            .filter(|rpc| reach.may_answer(rpc))
            .collect();
    }
    helpers
}

/// Writes a job to the store under the condition that its name is free.
pub(crate) async fn write_job(node: &Node, job: &AcceptedJob) -> Acceptance {
    let Ok(value) = kept::write(job) else {
        return Acceptance::NotKept;
    };
    let key = keys::job(&job.id);
    let started = node.clock.now();
    let mut may_be_kept = false;
    loop {
        let commit = Commit::default()
            .when(key.clone(), Revision(0))
            .put(key.clone(), value.clone());
        match node.stored("accept", node.store.commit(commit)).await {
            Ok(Committed::Done(_)) => return Acceptance::Accepted,
            Ok(Committed::Conflict(items)) => return known(job, &items),
            Ok(Committed::NoLease) => return Acceptance::NotKept,
            Err(fault) if fault.verdict() == Verdict::NotRun && !may_be_kept => {
                return Acceptance::NotKept;
            }
            Err(fault) => may_be_kept |= fault.verdict() != Verdict::NotRun,
        }
        if is_time_to_give_up(node, started) {
            return Acceptance::MayBeKept;
        }
        node.pause(node.settings.policy.acceptance.try_again).await;
    }
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

fn known(job: &AcceptedJob, items: &[Item]) -> Acceptance {
    let kept = items
        .first()
        .and_then(|item| kept::read::<AcceptedJob>(&item.value).ok());
    match kept {
        Some(kept) if kept.mark == job.mark => Acceptance::Accepted,
        Some(kept) if kept.customer == job.customer => Acceptance::Known,
        Some(_) => Acceptance::Foreign,
        None => Acceptance::MayBeKept,
    }
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
        node.pause(node.settings.policy.acceptance.try_again).await;
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
    let kept: AcceptedJob = kept::read(&item.value).ok()?;
    if kept.customer.as_ref() != customer {
        return Some(Cancellation::Foreign);
    }
    let commit = Commit::default().put(keys::cancel(id), Vec::new());
    match node.stored("cancel", node.store.commit(commit)).await {
        Ok(Committed::Done(_)) => Some(Cancellation::Cancelled),
        _ => None,
    }
}
