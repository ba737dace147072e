//! Acquires the planner role by one conditional write.

use std::time::Duration;

use stairstall_core::Lease;
use stairstall_core::batch::Planner;
use stairstall_ports::{Commit, CommitOutcome, Item, LeaseId, Revision, StoreFault};

use super::super::node::{Node, PlannerRecord};
use super::super::settings::BatchSettings;
use crate::keys;

/// The role after it was acquired.
#[derive(Debug, Clone)]
pub(crate) struct AcquiredRole {
    pub(crate) record: PlannerRecord,
    /// Revision of the role's key, a condition of every write in this tenure.
    pub(crate) revision: Revision,
    pub(crate) lease_id: LeaseId,
    pub(crate) lease: Lease,
}

/// The latest known tenure.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastTenure {
    /// The number of tenures up to and including this one.
    pub(super) count: u64,
    /// Revision of the write that acquired the role and increased the tenure count.
    pub(super) revision: Revision,
}

/// Returns the capacity that a VM lacks to plan for a large fleet, in percent.
pub(crate) fn capacity_shortfall_percent(settings: &BatchSettings) -> u32 {
    let policy = &settings.policy.role;
    let lacking = |has: u32, strong: u32| 100 - has.min(strong) * 100 / strong.max(1);
    lacking(settings.cpu_percent, policy.strong_cpu_percent)
        .max(lacking(settings.link_mbps, policy.strong_link_mbps))
}

/// Returns a random delay before trying to acquire the role. Strong VMs get shorter delays.
pub(super) fn acquire_delay(node: &Node) -> Duration {
    let policy = &node.settings.policy.role;
    let shortfall = f64::from(capacity_shortfall_percent(&node.settings)) / 100.0;
    policy.max_jitter.mul_f64(rand::random_range(0.0..1.0)) + policy.weak_delay.mul_f64(shortfall)
}

/// Reads the tenure count.
async fn read_last_tenure(node: &Node) -> Result<LastTenure, StoreFault> {
    let item = node
        .store_call("read tenures", node.store.get(keys::TENURE_COUNT))
        .await?;
    let none = LastTenure {
        count: 0,
        revision: Revision(0),
    };
    Ok(item.map_or(none, |item| LastTenure {
        count: read_count(&item),
        revision: item.revision,
    }))
}

/// Returns the tenure count that an item holds. If that can't be read, returns the item's revision,
/// which is at least as high: each tenure began with a write of its own.
fn read_count(item: &Item) -> u64 {
    let text = std::str::from_utf8(&item.value).ok();
    let count = text.and_then(|count| count.parse().ok());
    count
        .filter(|count| *count < Planner::MAX_TOKEN)
        .unwrap_or_else(|| {
            log::error!(target: "role", revision:% = item.revision;
                "can't read the tenure count; the store's revision is gone on from");
            item.revision.0
        })
}

/// Acquires the role; returns `None` if another daemon was faster.
///
/// `last` is the latest tenure, if it is known without reading it. `replaces` is the revision of
/// the role's key if its holder has offered the role.
pub(super) async fn acquire(
    node: &Node,
    last: Option<LastTenure>,
    replaces: Option<Revision>,
) -> Result<Option<AcquiredRole>, StoreFault> {
    let last = match last {
        Some(last) => last,
        None => read_last_tenure(node).await?,
    };
    let requested_at = node.clock.now();
    let grant = node.store.grant_lease(node.settings.role_lease);
    let (lease_id, ttl) = node.store_call("grant", grant).await?;
    let record = PlannerRecord {
        vm: node.vm().clone(),
        rpc: node.rpc_address().to_string(),
        token: last.count.saturating_add(1),
        mark: node.next_mark(),
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return Ok(None);
    };
    let commit = Commit::default()
        .when(keys::PLANNER_ROLE, replaces.unwrap_or_default())
        .when(keys::TENURE_COUNT, last.revision)
        .put_leased(keys::PLANNER_ROLE, value, lease_id)
        .put(keys::TENURE_COUNT, record.token.to_string().into_bytes());
    let acquired = |revision| AcquiredRole {
        record: record.clone(),
        revision,
        lease_id,
        lease: Lease::new(requested_at, ttl),
    };
    match node
        .store_call("take role", node.store.commit(commit))
        .await
    {
        Ok(CommitOutcome::Done(revision)) => Ok(Some(acquired(revision))),
        Ok(CommitOutcome::Conflict(_) | CommitOutcome::LeaseExpired) => {
            let _ = node
                .store_call("release", node.store.revoke_lease(lease_id))
                .await;
            Ok(None)
        }
        Err(fault) => {
            log::warn!(target: "role", why:% = fault; "unknown whether the planner role was acquired");
            let found = node
                .store_call("read role", node.store.get(keys::PLANNER_ROLE))
                .await?;
            let own = found.filter(|item| {
                serde_json::from_slice::<PlannerRecord>(&item.value)
                    .is_ok_and(|found| found.mark == record.mark)
            });
            Ok(own.map(|item| acquired(item.revision)))
        }
    }
}
