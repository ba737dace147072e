//! Whose turn it is where there is too little room for all.

use serde::{Deserialize, Serialize};

use super::{GroupKey, TurnPolicy};

mod usage;
mod waiting;

pub use usage::{CustomerUsage, CustomerUsageTotal, FleetCapacity};
pub use waiting::{WaitReason, WaitStatus};

/// What a start now would still be worth to its caller.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Timeliness {
    /// It can still be done by its objective.
    #[default]
    InTime,
    /// It can still be done by its late bound.
    Late,
    /// Nobody waits for it any more.
    Overdue,
}

impl Timeliness {
    /// Returns the word used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::Late => "late",
            Self::Overdue => "overdue",
        }
    }
}

/// What decides between steps of one rank: the smaller comes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchedulingKey {
    /// What it would still be worth.
    pub timeliness: Timeliness,
    /// How much its customer has had lately beside its weight; 0 where customers are not compared.
    pub usage_level: u64,
    /// Until when it has to start to be worth that, in milliseconds since the Unix epoch.
    pub start_by_unix_ms: u64,
    /// Until when it should be done, in milliseconds since the Unix epoch.
    pub objective_unix_ms: u64,
}

impl SchedulingKey {
    /// The turn of the oldest aged step: nothing that is not urgent comes before it.
    #[must_use]
    pub const fn aged() -> Self {
        Self {
            timeliness: Timeliness::InTime,
            usage_level: 0,
            start_by_unix_ms: 0,
            objective_unix_ms: 0,
        }
    }

    /// Tells whether it is the turn of the oldest aged step.
    #[must_use]
    pub const fn is_aged(&self) -> bool {
        self.start_by_unix_ms == 0
    }
}

/// Until when a caller wants a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletionObjective {
    /// When it could first be worked on, in milliseconds since the Unix epoch.
    pub eligible_unix_ms: u64,
    /// From then to the objective, in milliseconds.
    pub span_ms: u64,
}

impl CompletionObjective {
    /// Returns the objective, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn objective_unix_ms(&self) -> u64 {
        self.eligible_unix_ms.saturating_add(self.span_ms)
    }

    /// Returns until when a late result is still of use, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn late_bound_unix_ms(&self, policy: &TurnPolicy) -> u64 {
        self.after_spans(policy.late_bound)
    }

    /// Returns from when on it is aged, in milliseconds since the Unix epoch; none where nothing ages.
    #[must_use]
    pub const fn aged_unix_ms(&self, policy: &TurnPolicy) -> Option<u64> {
        if policy.aged_after == 0 {
            return None;
        }
        Some(self.after_spans(policy.aged_after))
    }

    const fn after_spans(&self, spans: u32) -> u64 {
        let wait_ms = self.span_ms.saturating_mul(spans as u64);
        self.eligible_unix_ms.saturating_add(wait_ms)
    }

    /// Returns the turn of work that still takes `left_ms`, as if it started at `at_unix_ms`.
    #[must_use]
    pub const fn scheduling_key(
        &self,
        left_ms: u64,
        at_unix_ms: u64,
        policy: &TurnPolicy,
    ) -> SchedulingKey {
        let objective_unix_ms = self.objective_unix_ms();
        let late_bound_unix_ms = self.late_bound_unix_ms(policy);
        let ends_unix_ms = at_unix_ms.saturating_add(left_ms);
        let (timeliness, start_by_unix_ms) =
            if !policy.by_timeliness || ends_unix_ms <= objective_unix_ms {
                let start_by = objective_unix_ms.saturating_sub(left_ms);
                (Timeliness::InTime, start_by)
            } else if ends_unix_ms <= late_bound_unix_ms {
                let start_by = late_bound_unix_ms.saturating_sub(left_ms);
                (Timeliness::Late, start_by)
            } else {
                (Timeliness::Overdue, self.eligible_unix_ms)
            };
        SchedulingKey {
            timeliness,
            usage_level: 0,
            start_by_unix_ms,
            objective_unix_ms,
        }
    }
}

/// A step that has waited for longer than its caller ever would.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgedStep {
    /// Since when, in milliseconds since the Unix epoch; the oldest has its turn first.
    pub since_unix_ms: u64,
    /// The step.
    pub key: GroupKey,
}
