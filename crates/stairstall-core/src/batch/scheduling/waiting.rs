//! Why a job waits, as operators and callers may be told.

use std::time::Duration;

use super::Timeliness;

/// What a job waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// Its time has not come.
    ScheduledTime,
    /// An earlier step of its own.
    EarlierStep,
    /// Room: others come before it.
    Capacity,
    /// Room that is kept for it, expected to be free after so long.
    ReservedCapacity(Duration),
    /// Room that is kept for urgent work.
    UrgentReserve,
    /// Its places are kept; what they still hold is being stopped, or the record is being written.
    PendingStart,
}

impl WaitReason {
    /// Returns the words used for operators.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ScheduledTime => "its time",
            Self::EarlierStep => "an earlier step",
            Self::Capacity => "room, behind others",
            Self::ReservedCapacity(_) => "room that is kept for it",
            Self::UrgentReserve => "room that is kept for urgent work",
            Self::PendingStart => "its start",
        }
    }
}

/// Where a waiting job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitStatus {
    /// 0 for a claim on its customer's own share, 1 for other urgent work, then by priority.
    pub rank: u8,
    /// What a start now would still be worth.
    pub timeliness: Timeliness,
    /// What its customer has used lately and is committed to, as time of the whole fleet.
    pub customer_usage: Duration,
    /// What each customer would have used if all had used alike.
    pub mean_usage: Duration,
    /// For how long it could have started.
    pub eligible_for: Duration,
    /// What it waits for.
    pub reason: WaitReason,
}
