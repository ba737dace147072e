use super::Fit;

/// Order in which waiting jobs are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrder {
    /// By time of acceptance.
    Fifo,
    /// By level of the priority class, highest first, then by time of acceptance.
    Level,
    /// By level, then by weighted usage of the customer, work left and time waited, then by
    /// time of acceptance.
    Fair,
}

/// A placement policy. The daemon uses [`Policy::standard`]; the others serve as baselines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How a block is chosen among the free ones.
    pub fit: Fit,
    /// Order in which waiting jobs are considered.
    pub order: JobOrder,
    /// Whether a block is reserved ahead of time for the first job that finds none.
    pub reserves: bool,
    /// Whether small movable jobs are moved to free a block.
    pub moves: bool,
    /// Whether jobs of preempting classes may stop preemptible jobs of lower levels.
    pub preempts: bool,
}

impl Policy {
    /// Returns the policy of the daemon.
    #[must_use]
    pub const fn standard() -> Self {
        Self {
            fit: Fit::Aligned,
            order: JobOrder::Fair,
            reserves: true,
            moves: true,
            preempts: true,
        }
    }

    /// Returns a baseline: first come, first served, at the first block that fits.
    #[must_use]
    pub const fn first_fit() -> Self {
        Self {
            fit: Fit::First,
            order: JobOrder::Fifo,
            reserves: false,
            moves: false,
            preempts: false,
        }
    }

    /// Returns a baseline: first come, first served, at the block that leaves the fewest free
    /// accelerators beside it.
    #[must_use]
    pub const fn best_fit() -> Self {
        Self {
            fit: Fit::Best,
            ..Self::first_fit()
        }
    }

    /// Returns a baseline: highest level first, at the first block that fits, preempting lower
    /// levels.
    #[must_use]
    pub const fn strict_priority() -> Self {
        Self {
            order: JobOrder::Level,
            preempts: true,
            ..Self::first_fit()
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::standard()
    }
}
