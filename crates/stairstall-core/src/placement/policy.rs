use super::Fit;

/// In which order waiting jobs are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrder {
    /// By time of acceptance.
    Fifo,
    /// By level, then by time of acceptance.
    Level,
    /// By level, then by the customers' shares, then by time of acceptance.
    Fair,
}

/// The choices that make a placement policy; the baselines are other choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How a block is chosen.
    pub fit: Fit,
    /// Who comes first.
    pub order: JobOrder,
    /// Whether the first job that finds no block gets one reserved ahead of time.
    pub reserves: bool,
    /// Whether small movable jobs are moved to open a block.
    pub moves: bool,
    /// Whether classes may preempt.
    pub preempts: bool,
}

impl Policy {
    /// The policy of the daemon.
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

    /// First come, first served, at the first block that fits.
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

    /// First come, first served, at the block that leaves the smallest rest.
    #[must_use]
    pub const fn best_fit() -> Self {
        Self {
            fit: Fit::Best,
            ..Self::first_fit()
        }
    }

    /// Highest level first, at the first block that fits, preempting lower levels.
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
