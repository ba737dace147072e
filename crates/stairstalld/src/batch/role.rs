//! Takes, renews and gives up the planner's role.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::Fuse;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use stairstall_core::Lease;
use stairstall_ports::{Change, Commit, Committed, Item, LeaseId, Revision, StoreFault};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::keys;
use super::node::{Node, PlannerRecord, RoleOffer};
use super::rpc::PeerClient;
use super::settings::BatchSettings;
use super::tenure::{self, Tenure};
use crate::daemon::lock;

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

/// Returns how much a VM lacks to plan for many workers, in percent.
pub(crate) fn weakness_percent(settings: &BatchSettings) -> u32 {
    let policy = &settings.policy.role;
    let lacking = |has: u32, strong: u32| 100 - has.min(strong) * 100 / strong.max(1);
    lacking(settings.cpu_percent, policy.strong_cpu_percent)
        .max(lacking(settings.link_mbps, policy.strong_link_mbps))
}

/// Returns how long to wait before trying to take the role: strong VMs go first.
fn put_off(node: &Node) -> Duration {
    let policy = &node.settings.policy.role;
    let weakness = f64::from(weakness_percent(&node.settings)) / 100.0;
    policy.spread.mul_f64(rand::random_range(0.0..1.0)) + policy.weak_delay.mul_f64(weakness)
}

/// The last tenure that is known of.
#[derive(Debug, Clone, Copy)]
struct LastTenure {
    /// How many there were with it.
    count: u64,
    /// Revision of the write that took the role: it also counted the tenure.
    revision: Revision,
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
        return take(node, None, None).await;
    };
    let mut last = note_item(node, &item);
    let mut offers = node.offer.subscribe();
    loop {
        let watched = node.store.watch(keys::PLANNER, at, WATCH_WAIT);
        let watched = tokio::select! {
            watched = node.stored("watch role", watched) => watched?,
            offer = next_offer(&mut offers) => {
                node.offer.send_replace(None);
                return take_from(node, &offer).await;
            }
        };
        at = watched.at;
        for change in watched.changes {
            match change {
                Change::Written(item) => last = note_item(node, &item),
                Change::Gone { .. } if node.is_leaving() => return Ok(None),
                Change::Gone { .. } => {
                    tokio::time::sleep(put_off(node)).await;
                    return take(node, last, None).await;
                }
            }
        }
    }
}

/// Waits for an offer of the role.
async fn next_offer(offers: &mut watch::Receiver<Option<RoleOffer>>) -> RoleOffer {
    let offer = offers.wait_for(Option::is_some).await;
    let offer = offer.ok().and_then(|offer| offer.clone());
    match offer {
        Some(offer) => offer,
        // The daemon ends.
        None => std::future::pending().await,
    }
}

/// Notes who plans by the role's key; returns which tenure that is.
fn note_item(node: &Node, item: &Item) -> Option<LastTenure> {
    let record: PlannerRecord = serde_json::from_slice(&item.value).ok()?;
    let count = record.token;
    note_planner(node, Some(record));
    Some(LastTenure {
        count,
        revision: item.revision,
    })
}

/// Keeps an offer of the role in mind; false where this daemon does not want it.
pub(crate) fn take_offer(node: &Node, offer: RoleOffer) -> bool {
    let wants = !node.is_leaving()
        && node.tenure().is_none()
        && node.current_catalog().is_some()
        && node.store_health.serves(node.clock.now());
    if wants {
        node.offer.send_replace(Some(offer));
    }
    wants
}

/// Takes the role from a planner that leaves and holds it until then.
async fn take_from(node: &Node, offer: &RoleOffer) -> Result<Option<Taken>, StoreFault> {
    let revision = Revision(offer.revision);
    let last = LastTenure {
        count: offer.record.token,
        revision,
    };
    log::info!(target: "role", planner:% = offer.record.vm, token = offer.record.token;
        "its role is offered to this daemon");
    take(node, Some(last), Some(revision)).await
}

/// Offers the role to other daemons until one wants it; true where one does.
async fn offer_role(node: &Node, tenure: &Tenure) -> bool {
    let Some(record) = node.planner.borrow().clone() else {
        return false;
    };
    let offer = RoleOffer {
        record,
        revision: tenure.role_revision.0,
    };
    let successors = lock(&node.reach).successors(node.clock.now());
    for successor in successors {
        let Some(client) = node.peers.client(&successor.rpc) else {
            continue;
        };
        let timeout = node.settings.policy.reach.ask_timeout;
        let asked = tokio::time::timeout(timeout, client.offer(offer.clone())).await;
        let wants = matches!(asked, Ok(Ok(true)));
        log::info!(target: "role", token = tenure.token(), successor:% = successor.vm, wants;
            "the role is offered");
        if wants {
            return true;
        }
    }
    false
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
async fn take(
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

/// How often a daemon that is done with its callers looks whether the role is given up.
const GIVEN_UP_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a daemon that leaves no longer plans, for as long as a handover may take.
pub(crate) async fn wait_until_given_up(node: &Node) {
    let settings = &node.settings;
    let limit = settings.policy.role.handover_wait + settings.store_timeout;
    let given_up = async {
        while node.tenure().is_some() {
            tokio::time::sleep(GIVEN_UP_INTERVAL).await;
        }
    };
    if tokio::time::timeout(limit, given_up).await.is_err() {
        log::warn!(target: "role", limit_ms = crate::clock::millis(limit);
            "the role is not given up yet; its lease runs out");
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
    let mut is_leaving = false;
    let mut handover = pin!(Fuse::terminated());
    loop {
        tokio::select! {
            _ = ticks.tick() => under_way.push(renew_once(&node, &tenure, lease_id)),
            Some(is_over) = under_way.next() => {
                if is_over {
                    tenure.give_up("its lease is over");
                    return;
                }
            }
            _ = leaving.wait_for(|leaving| *leaving), if !is_leaving => {
                is_leaving = true;
                handover.set(hand_over(&node, &tenure).fuse());
            }
            () = &mut handover, if is_leaving => {
                tenure.give_up("the daemon is leaving");
                return;
            }
        }
    }
}

/// Returns when a daemon that leaves should give the role up: once nobody wants it, or nobody has
/// taken it in time. Who takes it says so, which ends the tenure sooner.
async fn hand_over(node: &Node, tenure: &Tenure) {
    let wait = node.settings.policy.role.handover_wait;
    if !wait.is_zero() && offer_role(node, tenure).await {
        tokio::time::sleep(wait).await;
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
