//! Takes, renews and gives up the planner's role.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use stairstall_core::Lease;
use stairstall_ports::{Change, Commit, Committed, LeaseId, Revision, StoreFault};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::keys;
use super::node::{Node, PlannerRecord};
use super::rpc::PeerClient;
use super::tenure::{self, Tenure};

/// How long one watch of the role waits.
const WATCH_WAIT: Duration = Duration::from_secs(15);
/// Pause before the store is asked again after a failure.
const STORE_PAUSE: Duration = Duration::from_millis(200);

/// The role as it was taken.
#[derive(Debug, Clone)]
pub(crate) struct Taken {
    pub(crate) record: PlannerRecord,
    /// Revision of the role's key, which each write of this tenure depends on.
    pub(crate) revision: Revision,
    pub(crate) lease_id: LeaseId,
    pub(crate) lease: Lease,
}

/// Takes the role whenever it is free, for as long as the daemon runs.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        match try_role(&node).await {
            Ok(Some(taken)) => hold(&node, taken).await,
            Ok(None) => {}
            Err(fault) => {
                log::debug!(target: "role", why:% = fault; "the role can't be looked at");
                node.pause(STORE_PAUSE).await;
            }
        }
    }
}

/// Returns how long to wait before trying to take the role: strong VMs go first.
fn put_off(node: &Node) -> Duration {
    let settings = &node.settings;
    let policy = &settings.policy.role;
    let lacking =
        |has: u32, strong: u32| 1.0 - f64::from(has.min(strong)) / f64::from(strong.max(1));
    let weakness = lacking(settings.cpu_percent, policy.strong_cpu_percent)
        .max(lacking(settings.link_mbps, policy.strong_link_mbps));
    policy.spread.mul_f64(rand::random_range(0.0..1.0)) + policy.weak_delay.mul_f64(weakness)
}

/// Waits while another daemon has the role; returns it once it is this daemon's.
async fn try_role(node: &Node) -> Result<Option<Taken>, StoreFault> {
    let (item, mut at) = node.read_at("read role", keys::PLANNER).await?;
    let Some(item) = item else {
        if node.is_leaving() {
            node.pause(STORE_PAUSE).await;
            return Ok(None);
        }
        tokio::time::sleep(put_off(node)).await;
        return take(node).await;
    };
    if let Ok(record) = serde_json::from_slice(&item.value) {
        note_planner(node, Some(record));
    }
    loop {
        let watched = node.store.watch(keys::PLANNER, at, WATCH_WAIT);
        let watched = node.stored("watch role", watched).await?;
        at = watched.at;
        for change in watched.changes {
            match change {
                Change::Written(item) => {
                    if let Ok(record) = serde_json::from_slice(&item.value) {
                        note_planner(node, Some(record));
                    }
                }
                Change::Gone { .. } => return Ok(None),
            }
        }
    }
}

/// Notes who plans, unless a later planner is known; an own tenure that it ends is given up.
pub(crate) fn note_planner(node: &Node, record: Option<PlannerRecord>) {
    let Some(record) = record else {
        return;
    };
    let changed = node.planner.send_if_modified(|known| {
        let is_later = known.as_ref().is_none_or(|k| k.token < record.token);
        if is_later {
            *known = Some(record.clone());
        }
        is_later
    });
    if !changed {
        return;
    }
    log::info!(target: "role", planner:% = record.vm, token = record.token; "the planner is known");
    if let Some(tenure) = node.tenure().filter(|own| own.token() < record.token) {
        tenure.give_up("another daemon has taken the role");
    }
}

/// Tells the planner before this one, which the store may not serve.
async fn tell_predecessor(node: &Node, predecessor: Option<PlannerRecord>, own: PlannerRecord) {
    let Some(predecessor) = predecessor.filter(|p| p.vm != own.vm) else {
        return;
    };
    if let Some(client) = node.peers.client(&predecessor.rpc) {
        let told = client.taken(own).await;
        log::info!(target: "role", predecessor:% = predecessor.vm, told = told.is_ok();
            "the planner before this one is told");
    }
}

/// Takes the role; none where another daemon was faster.
async fn take(node: &Node) -> Result<Option<Taken>, StoreFault> {
    let tenures = node
        .stored("read tenures", node.store.get(keys::TENURE))
        .await?;
    let (count, counted_at) = tenures.map_or((0, Revision(0)), |item| {
        let count = std::str::from_utf8(&item.value).ok();
        (
            count.and_then(|c| c.parse().ok()).unwrap_or(0),
            item.revision,
        )
    });
    let requested_at = node.clock.now();
    let grant = node.store.grant(node.settings.role_lease);
    let (lease_id, ttl) = node.stored("grant", grant).await?;
    let record = PlannerRecord {
        vm: node.me().clone(),
        rpc: node.rpc_address().to_string(),
        token: count + 1,
        mark: node.next_mark(),
    };
    let Ok(value) = serde_json::to_vec(&record) else {
        return Ok(None);
    };
    let commit = Commit::default()
        .when(keys::PLANNER, Revision(0))
        .when(keys::TENURE, counted_at)
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

/// Plans for as long as the role is held.
async fn hold(node: &Arc<Node>, taken: Taken) {
    log::info!(target: "role", token = taken.record.token, lease_ms = crate::clock::millis(node.settings.role_lease);
        "the planner's role is taken");
    let predecessor = node.planner.borrow().clone();
    note_planner(node, Some(taken.record.clone()));
    let told = Arc::clone(node);
    let record = taken.record.clone();
    tokio::spawn(async move { tell_predecessor(&told, predecessor, record).await });
    let lease_id = taken.lease_id;
    let tenure = Arc::new(Tenure::new(node, &taken));
    let renewing = tokio::spawn(renew(
        Arc::clone(node),
        Arc::clone(&tenure),
        lease_id,
        node.leaving.subscribe(),
    ));
    let why = tenure::run(node, &tenure).await;
    renewing.abort();
    node.set_tenure(None);
    let token = tenure.token();
    log::info!(target: "role", token, why; "the planner's role is given up");
    if let Err(fault) = node.stored("release", node.store.release(lease_id)).await {
        log::warn!(target: "role", token, why:% = fault; "the lease was not ended; it runs out");
    }
}

/// Renews the lease until it is over or the daemon leaves.
///
/// A renewal that is slow or lost does not hold the next one up.
async fn renew(
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    lease_id: LeaseId,
    mut leaving: watch::Receiver<bool>,
) {
    let renewals = node.settings.policy.role.renewals_per_lease;
    let mut ticks = tokio::time::interval(node.settings.role_lease / renewals);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut under_way = FuturesUnordered::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => under_way.push(renew_once(&node, &tenure, lease_id)),
            Some(is_over) = under_way.next() => {
                if is_over {
                    tenure.give_up("its lease is over");
                    return;
                }
            }
            _ = leaving.wait_for(|leaving| *leaving) => {
                tenure.give_up("the daemon is leaving");
                return;
            }
        }
    }
}

/// Renews the lease once; true where it is over.
async fn renew_once(node: &Node, tenure: &Tenure, lease_id: LeaseId) -> bool {
    let requested_at = node.clock.now();
    let token = tenure.token();
    match node.store.keep(lease_id).await {
        Ok(ttl) => tenure.extend_lease(Lease::new(requested_at, ttl)),
        Err(StoreFault::LeaseOver) => return true,
        Err(fault) => {
            log::warn!(target: "role", token, why:% = fault; "the lease was not renewed");
        }
    }
    false
}
