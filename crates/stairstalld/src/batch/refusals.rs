//! What one daemon keeps of its refusals: the lease of their marks, and when callers return.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use stairstall_core::admission::{RetryAfterBounds, RetryAfterSchedule};
use stairstall_core::batch::AdmissionPolicy;
use stairstall_core::{Lease, Timestamp};
use stairstall_ports::LeaseId;

use crate::daemon::lock;

/// A lease that marks go with.
#[derive(Debug, Clone, Copy)]
struct MarkLease {
    id: LeaseId,
    lease: Lease,
}

/// What one daemon keeps of its refusals.
#[derive(Debug)]
pub(crate) struct Refusals {
    policy: AdmissionPolicy,
    lease: Mutex<Option<MarkLease>>,
    /// Held while a lease is asked for, so that many refusals at once take one.
    pub(crate) granting: tokio::sync::Mutex<()>,
    /// By the queue's priority.
    returns: Mutex<BTreeMap<u8, RetryAfterSchedule>>,
}

impl Refusals {
    pub(crate) const fn new(policy: &AdmissionPolicy) -> Self {
        Self {
            policy: *policy,
            lease: Mutex::new(None),
            granting: tokio::sync::Mutex::const_new(()),
            returns: Mutex::new(BTreeMap::new()),
        }
    }

    /// Returns a lease under which a mark lasts long enough.
    pub(crate) fn lease(&self, now: Timestamp) -> Option<LeaseId> {
        let held = *lock(&self.lease);
        let lasts = |held: &MarkLease| held.lease.ends_at() - now >= self.policy.min_mark_lifetime;
        held.filter(lasts).map(|held| held.id)
    }

    /// Takes a lease that was granted.
    pub(crate) fn take_lease(&self, id: LeaseId, lease: Lease) {
        *lock(&self.lease) = Some(MarkLease { id, lease });
    }

    /// Forgets a lease that the store says is over.
    pub(crate) fn drop_lease(&self, id: LeaseId) {
        lock(&self.lease).take_if(|held| held.id == id);
    }

    /// Returns when a caller should come back whose job would likely wait so long.
    pub(crate) fn return_after(&self, priority: u8, wait: Duration, now: Timestamp) -> Duration {
        let bounds = RetryAfterBounds {
            shortest: self.policy.min_retry_after,
            longest: self.policy.max_retry_after,
        };
        let spacing = self.policy.retry_after_spacing;
        let mut returns = lock(&self.returns);
        let returns = returns.entry(priority);
        let returns = returns.or_insert_with(|| RetryAfterSchedule::new(bounds, spacing));
        returns.next(wait, now, rand::random_range(0.0..1.0))
    }
}
