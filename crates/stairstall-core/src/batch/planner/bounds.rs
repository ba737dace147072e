use std::time::Duration;

use crate::Timestamp;

/// Both clocks at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// The process's monotonic clock.
    pub at: Timestamp,
    /// The time of day, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Now {
    /// Creates a moment.
    #[must_use]
    pub const fn new(at: Timestamp, unix_ms: u64) -> Self {
        Self { at, unix_ms }
    }
}

/// What the VM that plans can carry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLimits {
    /// Bytes a second in each direction of its link.
    pub link_bytes_per_s: u64,
    /// Processor, in percent of a core.
    pub cpu_percent: u32,
}

impl Default for VmLimits {
    /// A whole core and a link of a gigabit a second.
    fn default() -> Self {
        Self {
            link_bytes_per_s: 125_000_000,
            cpu_percent: 100,
        }
    }
}

/// Times that the workers keep to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Longest time that a worker runs on without being renewed.
    pub hold_max: Duration,
    /// Longest time that a stop takes.
    pub stop_max: Duration,
    /// Within what time of its acceptance a customer's claim on its own share has to begin.
    pub reclaim: Duration,
    /// Within what time of an operator's word nothing starts any more in an evacuated zone.
    pub evacuate: Duration,
    /// How many times as long a task takes away from its rack.
    pub far_factor: u32,
    /// How long an ended job is answered for.
    pub keep_ended: Duration,
}
