//! What a daemon knows of the fleet's load: the planner's last word, and how old it is.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Deserializer};
use stairstall_core::Timestamp;
use stairstall_core::batch::{AdmissionPolicy, LoadSummary};

use crate::daemon::lock;

/// The planner's word and when it was asked for.
#[derive(Debug, Clone)]
struct Word {
    summary: Arc<LoadSummary>,
    asked_at: Timestamp,
}

/// What a daemon holds.
#[derive(Debug)]
pub(crate) struct HeldLoad {
    policy: AdmissionPolicy,
    word: Mutex<Option<Word>>,
    /// How long the planner wants daemons to wait between two calls.
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

    /// Notes how long the planner wants daemons to wait between two calls: the more there are, the
    /// longer.
    pub(crate) fn set_pause(&self, pause: Duration) {
        *lock(&self.pause) = pause;
    }

    /// Tells whether it is time to ask the planner for its word.
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

    /// Takes the planner's word, unless a later one is known.
    pub(crate) fn take(&self, summary: LoadSummary, asked_at: Timestamp) {
        let mut word = lock(&self.word);
        let is_later = |known: &Word| summary.is_later_than(&known.summary);
        if word.as_ref().is_none_or(is_later) {
            let summary = Arc::new(summary);
            *word = Some(Word { summary, asked_at });
        }
    }

    /// Returns the last word, and how old it is at most.
    pub(crate) fn known(&self, now: Timestamp) -> Option<(Arc<LoadSummary>, Duration)> {
        let word = lock(&self.word).clone()?;
        let age = now - word.asked_at + self.policy.summary_interval;
        Some((word.summary, age))
    }
}

/// Reads a summary that a daemon of another version may have written: one that can't be read is none.
pub(crate) fn read_leniently<'de, D>(from: D) -> Result<Option<LoadSummary>, D::Error>
where
    D: Deserializer<'de>,
{
    let value = Option::<serde_json::Value>::deserialize(from)?;
    Ok(value.and_then(|value| {
        serde_json::from_value(value)
            .inspect_err(
                |error| log::warn!(target: "admission", why:% = error; "the planner's word on the load can't be read"),
            )
            .ok()
    }))
}
