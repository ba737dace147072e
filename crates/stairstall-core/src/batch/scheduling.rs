//! Scheduling order of steps that compete for capacity.

use serde::{Deserialize, Serialize};

use super::{GroupKey, SchedulingPolicy};

mod usage;
mod waiting;

pub use usage::{CustomerUsage, CustomerUsageTotal, FleetCapacity};
pub use waiting::{WaitReason, WaitStatus};

/// Whether work that starts now can still end in time for its caller.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Timeliness {
    /// It can still end by its objective.
    #[default]
    InTime,
    /// It can only end after its objective, but by its late bound.
    Late,
    /// It can only end after its late bound, when the result is of no use any more.
    Overdue,
}

impl Timeliness {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::Late => "late",
            Self::Overdue => "overdue",
        }
    }
}

/// Sort key of a step among the steps of its rank; the smallest key is scheduled first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SchedulingKey {
    /// Whether the step can still end in time.
    pub timeliness: Timeliness,
    /// Level of the customer's recent usage relative to its weight; 0 if customers are not
    /// compared.
    pub usage_level: u64,
    /// Latest start at which the step keeps its timeliness, in milliseconds since the Unix epoch.
    pub latest_start_unix_ms: u64,
    /// Objective of the step, in milliseconds since the Unix epoch.
    pub objective_unix_ms: u64,
}

impl SchedulingKey {
    /// Key of the oldest aged step; it sorts before all other work that is not urgent.
    #[must_use]
    pub const fn aged() -> Self {
        Self {
            timeliness: Timeliness::InTime,
            usage_level: 0,
            latest_start_unix_ms: 0,
            objective_unix_ms: 0,
        }
    }

    /// Returns whether this is the key of the oldest aged step.
    #[must_use]
    pub const fn is_aged(&self) -> bool {
        self.latest_start_unix_ms == 0
    }
}

/// When work becomes eligible, and how long after that its result should be there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletionObjective {
    /// When the work may first start, in milliseconds since the Unix epoch.
    pub eligible_unix_ms: u64,
    /// Time from then to the objective, in milliseconds.
    pub span_ms: u64,
}

impl CompletionObjective {
    /// Returns the objective, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn objective_unix_ms(&self) -> u64 {
        self.eligible_unix_ms.saturating_add(self.span_ms)
    }

    /// Returns the latest time at which a result is still of use, in milliseconds since the Unix
    /// epoch.
    #[must_use]
    pub const fn late_bound_unix_ms(&self, policy: &SchedulingPolicy) -> u64 {
        self.after_spans(policy.late_bound)
    }

    /// Returns the time from which the work counts as aged, in milliseconds since the Unix epoch;
    /// `None` if aging is switched off.
    #[must_use]
    pub const fn aged_unix_ms(&self, policy: &SchedulingPolicy) -> Option<u64> {
        if policy.aged_after == 0 {
            return None;
        }
        Some(self.after_spans(policy.aged_after))
    }

    const fn after_spans(&self, spans: u32) -> u64 {
        let wait_ms = self.span_ms.saturating_mul(spans as u64);
        self.eligible_unix_ms.saturating_add(wait_ms)
    }

    /// Returns the scheduling key of work that takes another `remaining_ms` and would start at
    /// `at_unix_ms`.
    #[must_use]
    pub const fn scheduling_key(
        &self,
        remaining_ms: u64,
        at_unix_ms: u64,
        policy: &SchedulingPolicy,
    ) -> SchedulingKey {
        let objective_unix_ms = self.objective_unix_ms();
        let late_bound_unix_ms = self.late_bound_unix_ms(policy);
        let end_unix_ms = at_unix_ms.saturating_add(remaining_ms);
        let (timeliness, latest_start_unix_ms) =
            if !policy.by_timeliness || end_unix_ms <= objective_unix_ms {
                let latest_start = objective_unix_ms.saturating_sub(remaining_ms);
                (Timeliness::InTime, latest_start)
            } else if end_unix_ms <= late_bound_unix_ms {
                let latest_start = late_bound_unix_ms.saturating_sub(remaining_ms);
                (Timeliness::Late, latest_start)
            } else {
                (Timeliness::Overdue, self.eligible_unix_ms)
            };
        SchedulingKey {
            timeliness,
            usage_level: 0,
            latest_start_unix_ms,
            objective_unix_ms,
        }
    }
}

/// A step that has waited past its aging limit, longer than any caller would wait. Sorts the oldest
/// first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AgedStep {
    /// Since when it has been aged, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Key of the step.
    pub key: GroupKey,
}
