//! Store leases under which finished work is kept for a day.

use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_store::{LeaseId, Store, StoreError};
use tokio::sync::Mutex;

use crate::clock::Clock;

/// How long claims and finished jobs are kept.
pub(crate) const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// How long one lease takes on new keys.
const SHARED_FOR: Duration = Duration::from_secs(3600);

/// Hands out a lease that still lasts [`RETENTION`]; a new one is taken each hour.
#[derive(Debug)]
pub(crate) struct Retention {
    store: Store,
    clock: Clock,
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

    pub(crate) async fn lease(&self) -> Result<LeaseId, StoreError> {
        let mut current = self.current.lock().await;
        let now = self.clock.now();
        if let Some((lease, taken_at)) = *current
            && now - taken_at < SHARED_FOR
        {
            return Ok(lease);
        }
        let lease = self.store.grant(RETENTION + SHARED_FOR).await?;
        *current = Some((lease, now));
        Ok(lease)
    }

    /// Forgets a lease that the store no longer has, so that the next call takes another.
    pub(crate) async fn discard(&self, lease: LeaseId) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|(known, _)| known == lease) {
            *current = None;
        }
    }
}
