//! Why tenures end.

use std::fmt;

/// Why a tenure ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// A worker or peer has seen a higher token.
    Fenced { highest: u64 },
    /// The store no longer has the lease.
    LeaseGone,
    /// The store answers again, so the role can be taken properly.
    StoreBack,
    /// The store could not be read at the start.
    NoStart,
    /// The daemon is about to stop.
    Leaving,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced { highest } => write!(f, "a higher token was seen: {highest}"),
            Self::LeaseGone => write!(f, "the store no longer has its lease"),
            Self::StoreBack => write!(f, "the store answers again"),
            Self::NoStart => write!(f, "the store could not be read at its start"),
            Self::Leaving => write!(f, "this daemon is about to stop"),
        }
    }
}
