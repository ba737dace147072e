//! Takes the placement role: from the store, or from the workers while it is silent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::claim::Mark;
use stairstall_core::membership::Members;
use stairstall_core::{Lease, Timestamp};
use stairstall_store::{Expect, LeaseId, StoreError, Swap};

use crate::daemon::{Daemon, lock};
use crate::keys;

/// Lease of the role in the store.
pub(super) const ROLE_TTL: Duration = Duration::from_secs(5);
/// How long the store and the holder must both be silent before the role is taken without it.
const SILENCE: Duration = Duration::from_secs(4);
/// Room below each store revision for tokens of tenures without the store.
const TOKENS_PER_REVISION: u64 = 1 << 16;

/// What the store keeps of the holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct HolderRecord {
    mark: Mark,
}

/// A lease of the role.
#[derive(Debug, Clone, Copy)]
pub(super) struct RoleLease {
    pub(super) id: LeaseId,
    pub(super) lease: Lease,
}

/// The role, as it was taken.
#[derive(Debug, Clone, Copy)]
pub(super) struct Taken {
    /// Fencing token of the tenure.
    pub(super) token: u64,
    /// None for a tenure without the store.
    pub(super) lease: Option<RoleLease>,
}

/// Takes the role from the store; none where somebody else has it.
pub(super) async fn from_store(daemon: &Daemon) -> Result<Option<Taken>, StoreError> {
    let taken = try_store(daemon).await;
    daemon.record_store_result(&taken);
    taken
}

async fn try_store(daemon: &Daemon) -> Result<Option<Taken>, StoreError> {
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
        // The answer is lost; the mark tells whose write stands.
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
    Ok(Some(Taken {
        token: revision * TOKENS_PER_REVISION,
        lease: Some(lease),
    }))
}

fn own_revision(entry: &stairstall_store::Entry, record: &HolderRecord) -> Option<u64> {
    (entry.read::<HolderRecord>().as_ref() == Some(record)).then_some(entry.revision)
}

/// Takes the role without the store, where it and the holder have both been silent
/// for long and this daemon is the first of the zone's live ones.
pub(super) fn from_workers(
    daemon: &Daemon,
    highest_token: u64,
    not_before: Timestamp,
) -> Option<Taken> {
    let now = daemon.clock.now();
    let zone = &daemon.settings.zone;
    if now < not_before || daemon.store_silent_for()? < SILENCE {
        return None;
    }
    let members = lock(&daemon.members);
    let silent = members
        .holder_silent_for(zone, now)
        .unwrap_or(now - Timestamp::default());
    let first = members.in_zone(zone, daemon.vm(), now).into_iter().next();
    if silent < SILENCE.max(Members::TIMEOUT) || first.as_ref() != Some(daemon.vm()) {
        return None;
    }
    let known = members.last_token(zone).unwrap_or(0).max(highest_token);
    Some(Taken {
        token: known + 1,
        lease: None,
    })
}
