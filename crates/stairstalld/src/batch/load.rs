//! The planner's latest load summary as one daemon knows it, and its age.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use stairstall_core::Timestamp;
use stairstall_core::batch::{AdmissionPolicy, LoadSummary};

use crate::daemon::lock;

/// A load summary and the time when it was requested.
#[derive(Debug, Clone)]
struct Word {
    summary: Arc<LoadSummary>,
    asked_at: Timestamp,
}

/// Caches the planner's latest load summary.
#[derive(Debug)]
pub(crate) struct HeldLoad {
    policy: AdmissionPolicy,
    word: Mutex<Option<Word>>,
    /// Shortest interval between two calls to the planner, as set by the planner.
    pause: Mutex<Duration>,
}

impl HeldLoad {
    pub(crate) const fn new(policy: &AdmissionPolicy) -> Self {
        Self {
            policy: *policy,
            word: Mutex::new(None),
            pause: Mutex::new(Duration::ZERO),
        }
    }

    /// Sets the interval between two calls to the planner. The planner makes it longer the more
    /// daemons there are.
    pub(crate) fn set_pause(&self, pause: Duration) {
        *lock(&self.pause) = pause;
    }

    /// Returns whether it is time to request a new summary from the planner.
    pub(crate) fn is_wanted(&self, now: Timestamp) -> bool {
        let policy = &self.policy;
        if !policy.refuses_impossible && !policy.refuses_too_late {
            return false;
        }
        let pause = *lock(&self.pause);
        let every = pause
            .max(policy.min_refresh_interval)
            .min(policy.max_refresh_interval);
        let word = lock(&self.word);
        word.as_ref()
            .is_none_or(|word| now - word.asked_at >= every)
    }

    /// Stores a summary unless a later one is known.
    pub(crate) fn take(&self, summary: LoadSummary, asked_at: Timestamp) {
        let mut word = lock(&self.word);
        let is_later = |known: &Word| summary.is_later_than(&known.summary);
        if word.as_ref().is_none_or(is_later) {
            let summary = Arc::new(summary);
            *word = Some(Word { summary, asked_at });
        }
    }

    /// Returns the latest summary and an upper bound of its age.
    pub(crate) fn known(&self, now: Timestamp) -> Option<(Arc<LoadSummary>, Duration)> {
        let word = lock(&self.word).clone()?;
        let age = now - word.asked_at + self.policy.summary_interval;
        Some((word.summary, age))
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
