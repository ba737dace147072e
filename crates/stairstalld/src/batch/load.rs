//! The planner's latest load summary as one daemon knows it, and its age.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use stairstall_core::Timestamp;
use stairstall_core::batch::{AdmissionPolicy, LoadSummary};

use crate::daemon::lock;

/// A load summary and the time when it was requested.
#[derive(Debug, Clone)]
struct CachedSummary {
    summary: Arc<LoadSummary>,
    requested_at: Timestamp,
}

/// Caches the planner's latest load summary.
#[derive(Debug)]
pub(crate) struct LoadCache {
    policy: AdmissionPolicy,
    cached: Mutex<Option<CachedSummary>>,
    /// Interval between two calls to the planner, as set by the planner.
    call_interval: Mutex<Duration>,
}

impl LoadCache {
    pub(crate) const fn new(policy: &AdmissionPolicy) -> Self {
        Self {
            policy: *policy,
            cached: Mutex::new(None),
            call_interval: Mutex::new(Duration::ZERO),
        }
    }

    /// Sets the interval between two calls to the planner, which grows with the number of daemons.
    pub(crate) fn set_call_interval(&self, call_interval: Duration) {
        *lock(&self.call_interval) = call_interval;
    }

    /// Returns whether it is time to request a new summary from the planner.
    pub(crate) fn should_request(&self, now: Timestamp) -> bool {
        let policy = &self.policy;
        if !policy.refuses_impossible && !policy.refuses_too_late {
            return false;
        }
        let call_interval = *lock(&self.call_interval);
        let interval = call_interval
            .max(policy.min_refresh_interval)
            .min(policy.max_refresh_interval);
        let cached = lock(&self.cached);
        cached
            .as_ref()
            .is_none_or(|cached| now - cached.requested_at >= interval)
    }

    /// Caches a summary unless a later one is known.
    pub(crate) fn update(&self, summary: LoadSummary, requested_at: Timestamp) {
        let mut cached = lock(&self.cached);
        let is_later = |known: &CachedSummary| summary.is_later_than(&known.summary);
        if cached.as_ref().is_none_or(is_later) {
            let summary = Arc::new(summary);
            *cached = Some(CachedSummary {
                summary,
                requested_at,
            });
        }
    }

    /// Returns the latest summary and an upper bound of its age.
    pub(crate) fn latest(&self, now: Timestamp) -> Option<(Arc<LoadSummary>, Duration)> {
        let cached = lock(&self.cached).clone()?;
        let age = now - cached.requested_at + self.policy.summary_interval;
        Some((cached.summary, age))
    }
}

/// Deserializes a summary that another version of the daemon may have sent. Returns `None` if it
/// can't be read, so that the rest of the message stays usable.
pub(crate) fn read_leniently<'de, D>(from: D) -> Result<Option<LoadSummary>, D::Error>
where
    D: Deserializer<'de>,
{
    let value = Option::<serde_json::Value>::deserialize(from)?;
    Ok(value.and_then(|value| {
        serde_json::from_value(value)
            .inspect_err(
                |error| log::warn!(target: "admission", why:% = error; "can't decode the planner's load summary"),
            )
            .ok()
    }))
}

/// Like [`read_leniently`], for a summary in a message that is mostly sent without one.
pub(crate) fn read_boxed_leniently<'de, D>(from: D) -> Result<Option<Box<LoadSummary>>, D::Error>
where
    D: Deserializer<'de>,
{
    read_leniently(from).map(|summary| summary.map(Box::new))
}
