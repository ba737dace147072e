//! Leases in the store under which claims and finished jobs are retained for a day.

use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_store::{LeaseId, Store, StoreError};
use tokio::sync::Mutex;

use crate::clock::Clock;

/// How long claims and finished jobs are retained.
pub(crate) const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// How long new keys are attached to the same lease.
const LEASE_SHARING: Duration = Duration::from_secs(3600);

/// Provides leases that are valid for at least [`RETENTION`]. Keys share a lease for an hour, then
/// a new one is granted.
#[derive(Debug)]
pub(crate) struct Retention {
    store: Store,
    clock: Clock,
    /// The lease in use, and when it was granted.
    current: Mutex<Option<(LeaseId, Timestamp)>>,
}

impl Retention {
    pub(crate) fn new(store: Store, clock: Clock) -> Self {
        Self {
            store,
            clock,
            current: Mutex::new(None),
        }
    }

    /// Returns a lease that is valid for at least [`RETENTION`].
    pub(crate) async fn lease(&self) -> Result<LeaseId, StoreError> {
        let mut current = self.current.lock().await;
        let now = self.clock.now();
        if let Some((lease, granted_at)) = *current
            && now - granted_at < LEASE_SHARING
        {
            return Ok(lease);
        }
        let lease = self.store.grant(RETENTION + LEASE_SHARING).await?;
        *current = Some((lease, now));
        Ok(lease)
    }

    /// Discards a lease that the store no longer has, so that the next call grants another.
    pub(crate) async fn discard(&self, lease: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(current, _)| current == lease) {
            *current = None;
        }
    }
}
