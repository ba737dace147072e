//! The refusals of one daemon: the lease of their records, and when refused callers should retry.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;

use stairstall_core::admission::{RetryAfterBounds, RetryAfterSchedule};
use stairstall_core::batch::AdmissionPolicy;
use stairstall_core::{CustomerId, Lease, Timestamp};
use stairstall_ports::LeaseId;

use crate::daemon::lock;

/// A lease to which refusal records are attached.
#[derive(Debug, Clone, Copy)]
struct RefusalLease {
    id: LeaseId,
    lease: Lease,
}

/// The refusals of one daemon.
#[derive(Debug)]
pub(crate) struct Refusals {
    policy: AdmissionPolicy,
    lease: Mutex<Option<RefusalLease>>,
    /// Held while a lease is requested, so that concurrent refusals share one lease.
    pub(crate) grant_lock: tokio::sync::Mutex<()>,
    /// Retry times by queue priority.
    retry_times: Mutex<BTreeMap<u8, RetryAfterSchedule>>,
    /// When marks of cancelled IDs were written that may still be in the store, oldest first.
    cancel_marks: Mutex<VecDeque<(Timestamp, Option<CustomerId>)>>,
}

impl Refusals {
    pub(crate) const fn new(policy: &AdmissionPolicy) -> Self {
        Self {
            policy: *policy,
            lease: Mutex::new(None),
            grant_lock: tokio::sync::Mutex::const_new(()),
            retry_times: Mutex::new(BTreeMap::new()),
            cancel_marks: Mutex::new(VecDeque::new()),
        }
    }

    /// Counts one more mark of a cancelled ID that no job has. Returns `false` if the customer, or
    /// all customers together, have as many marks in the store already as they may.
    pub(crate) fn take_cancel_mark(&self, customer: Option<&CustomerId>, now: Timestamp) -> bool {
        let mut marks = lock(&self.cancel_marks);
        let lifetime = self.policy.max_mark_lifetime;
        while marks.front().is_some_and(|(at, _)| now - *at > lifetime) {
            marks.pop_front();
        }
        let of_customer = marks.iter().filter(|(_, other)| other.as_ref() == customer);
        let has_room = of_customer.count() < self.policy.max_cancel_marks_per_customer
            && marks.len() < self.policy.max_cancel_marks;
        if has_room {
            marks.push_back((now, customer.cloned()));
        }
        has_room
    }

    /// Returns the current lease if it lasts long enough for a refusal record.
    pub(crate) fn lease(&self, now: Timestamp) -> Option<LeaseId> {
        let current = *lock(&self.lease);
        let is_long_enough =
            |current: &RefusalLease| current.lease.ends_at() - now >= self.policy.min_mark_lifetime;
        current.filter(is_long_enough).map(|current| current.id)
    }

    /// Sets a lease that was granted.
    pub(crate) fn set_lease(&self, id: LeaseId, lease: Lease) {
        *lock(&self.lease) = Some(RefusalLease { id, lease });
    }

    /// Drops a lease that the store no longer has.
    pub(crate) fn remove_lease(&self, id: LeaseId) {
        lock(&self.lease).take_if(|current| current.id == id);
    }

    /// Returns the delay after which a caller should retry if its job would likely wait for `wait`.
    pub(crate) fn retry_after(&self, priority: u8, wait: Duration, now: Timestamp) -> Duration {
        let bounds = RetryAfterBounds {
            shortest: self.policy.min_retry_after,
            longest: self.policy.max_retry_after,
        };
        let spacing = self.policy.retry_after_spacing;
        let mut retry_times = lock(&self.retry_times);
        let retry_times = retry_times.entry(priority);
        let retry_times = retry_times.or_insert_with(|| RetryAfterSchedule::new(bounds, spacing));
        retry_times.next(wait, now, rand::random_range(0.0..1.0))
    }
}
