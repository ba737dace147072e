//! Acquires the placement role through the store, or without it while it does not answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::claim::Mark;
use stairstall_core::membership::MemberTable;
use stairstall_core::{Lease, Timestamp};
use stairstall_store::{Expect, LeaseId, StoreError, Swap};

use crate::daemon::{Daemon, lock};
use crate::keys;

/// Time to live of the role's lease in the store.
pub(super) const ROLE_TTL: Duration = Duration::from_secs(5);
/// How long the store and the holder must both be silent before the role is acquired without the
/// store.
const MIN_SILENCE: Duration = Duration::from_secs(4);
/// Token numbers per store revision: tenures without the store increment the token by one, and must
/// not reach the token of the next revision.
const TOKENS_PER_REVISION: u64 = 1 << 16;

/// Record of the holder in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct HolderRecord {
    mark: Mark,
}

/// The lease of the role in the store, and how long it is valid here.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoleLease {
    pub(super) id: LeaseId,
    pub(super) lease: Lease,
}

/// The role at the start of a tenure.
#[derive(Debug, Clone, Copy)]
pub(super) struct AcquiredRole {
    /// Fencing token of the tenure.
    pub(super) token: u64,
    /// None for a tenure without the store.
    pub(super) lease: Option<RoleLease>,
}

/// Acquires the role through the store; returns none if another daemon holds it.
pub(super) async fn from_store(daemon: &Daemon) -> Result<Option<AcquiredRole>, StoreError> {
    let acquired = try_store(daemon).await;
    daemon.record_store_result(&acquired);
    acquired
}

async fn try_store(daemon: &Daemon) -> Result<Option<AcquiredRole>, StoreError> {
    let key = keys::holder(&daemon.settings.zone);
    if daemon.store.get(&key).await?.is_some() {
        return Ok(None);
    }
    let requested_at = daemon.clock.now();
    let id = daemon.store.grant(ROLE_TTL).await?;
    let record = HolderRecord {
        mark: daemon.next_mark(),
    };
    let swapped = daemon
        .store
        .swap(&key, Expect::Absent, &record, Some(id))
        .await;
    let revision = match swapped {
        Ok(Swap::Applied(revision)) => Some(revision),
        Ok(Swap::Conflict(entry)) => entry.and_then(|e| own_revision(&e, &record)),
        // The store's answer was lost. The mark in the record shows whether this write took effect.
        Err(_) => daemon
            .store
            .get(&key)
            .await?
            .and_then(|e| own_revision(&e, &record)),
    };
    let Some(revision) = revision else {
        let _ = daemon.store.revoke(id).await;
        return Ok(None);
    };
    let lease = RoleLease {
        id,
        lease: Lease::new(requested_at, ROLE_TTL),
    };
    Ok(Some(AcquiredRole {
        token: revision * TOKENS_PER_REVISION,
        lease: Some(lease),
    }))
}

/// Returns the revision of the entry if it holds this record.
fn own_revision(entry: &stairstall_store::Entry, record: &HolderRecord) -> Option<u64> {
    (entry.read::<HolderRecord>().as_ref() == Some(record)).then_some(entry.revision)
}

/// Acquires the role without the store, if the store and the holder have both been silent for at
/// least [`MIN_SILENCE`] and this daemon is the first of the zone's live daemons. Workers fence the
/// tenure if they know a higher token.
pub(super) fn without_store(
    daemon: &Daemon,
    highest_token: u64,
    not_before: Timestamp,
) -> Option<AcquiredRole> {
    let now = daemon.clock.now();
    let zone = &daemon.settings.zone;
    if now < not_before || daemon.store_silent_for()? < MIN_SILENCE {
        return None;
    }
    let members = lock(&daemon.members);
    let silent = members
        .time_since_holder_heartbeat(zone, now)
        .unwrap_or(now - Timestamp::default());
    let first_live = members.in_zone(zone, daemon.vm(), now).into_iter().next();
    if silent < MIN_SILENCE.max(MemberTable::TIMEOUT) || first_live.as_ref() != Some(daemon.vm()) {
        return None;
    }
    let last_token = members.highest_token(zone).unwrap_or(0).max(highest_token);
    Some(AcquiredRole {
        token: last_token + 1,
        lease: None,
    })
}
