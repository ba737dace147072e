//! Takes the role by one conditional write.

use std::time::Duration;

use stairstall_core::Lease;
use stairstall_ports::{Commit, Committed, LeaseId, Revision, StoreFault};

use super::super::keys;
use super::super::node::{Node, PlannerRecord};
use super::super::settings::BatchSettings;

/// The role as it was taken.
#[derive(Debug, Clone)]
pub(crate) struct Taken {
    pub(crate) record: PlannerRecord,
    /// Revision of the role's key, which each write of this tenure depends on.
    pub(crate) revision: Revision,
    pub(crate) lease_id: LeaseId,
    pub(crate) lease: Lease,
}

/// The last tenure that is known of.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastTenure {
    /// How many there were with it.
    pub(super) count: u64,
    /// Revision of the write that took the role: it also counted the tenure.
    pub(super) revision: Revision,
}

/// Returns how much a VM lacks to plan for many workers, in percent.
pub(crate) fn weakness_percent(settings: &BatchSettings) -> u32 {
    let policy = &settings.policy.role;
    let lacking = |has: u32, strong: u32| 100 - has.min(strong) * 100 / strong.max(1);
    lacking(settings.cpu_percent, policy.strong_cpu_percent)
        .max(lacking(settings.link_mbps, policy.strong_link_mbps))
}

/// Returns how long to wait before trying to take the role: strong VMs go first.
pub(super) fn put_off(node: &Node) -> Duration {
    let policy = &node.settings.policy.role;
    let weakness = f64::from(weakness_percent(&node.settings)) / 100.0;
    policy.max_jitter.mul_f64(rand::random_range(0.0..1.0)) + policy.weak_delay.mul_f64(weakness)
}

/// Reads how many tenures there were.
async fn read_last_tenure(node: &Node) -> Result<LastTenure, StoreFault> {
    let item = node
        .stored("read tenures", node.store.get(keys::TENURE))
        .await?;
    let none = LastTenure {
        count: 0,
        revision: Revision(0),
    };
    Ok(item.map_or(none, |item| {
        let count = std::str::from_utf8(&item.value).ok();
        LastTenure {
            count: count.and_then(|count| count.parse().ok()).unwrap_or(0),
            revision: item.revision,
        }
    }))
}

/// Takes the role; none where another daemon was faster.
///
/// `last` is the last tenure where that is known without asking, and
/// `replaces` the revision of the role's key where its holder offers it.
pub(super) async fn take(
    node: &Node,
    last: Option<LastTenure>,
    replaces: Option<Revision>,
) -> Result<Option<Taken>, StoreFault> {
    let last = match last {
        Some(last) => last,
        None => read_last_tenure(node).await?,
    };
    let requested_at = node.clock.now();
    let grant = node.store.grant(node.settings.role_lease);
    let (lease_id, ttl) = node.stored("grant", grant).await?;
    let record = PlannerRecord {
        vm: node.me().clone(),
        rpc: node.rpc_address().to_string(),
        token: last.count + 1,
        mark: node.next_mark(),
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return Ok(None);
    };
    let commit = Commit::default()
        .when(keys::PLANNER, replaces.unwrap_or_default())
        .when(keys::TENURE, last.revision)
        .put_leased(keys::PLANNER, value, lease_id)
        .put(keys::TENURE, record.token.to_string().into_bytes());
    let taken = |revision| Taken {
        record: record.clone(),
        revision,
        lease_id,
        lease: Lease::new(requested_at, ttl),
    };
    match node.stored("take role", node.store.commit(commit)).await {
        Ok(Committed::Done(revision)) => Ok(Some(taken(revision))),
        Ok(Committed::Conflict(_) | Committed::NoLease) => {
            let _ = node.stored("release", node.store.release(lease_id)).await;
            Ok(None)
        }
        Err(fault) => {
            log::warn!(target: "role", why:% = fault; "it is not known whether the role was taken");
            let found = node
                .stored("read role", node.store.get(keys::PLANNER))
                .await?;
            let own = found.filter(|item| {
                serde_json::from_slice::<PlannerRecord>(&item.value)
                    .is_ok_and(|found| found.mark == record.mark)
            });
            Ok(own.map(|item| taken(item.revision)))
        }
    }
}
