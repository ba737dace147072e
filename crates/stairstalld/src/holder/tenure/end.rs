//! Reasons for the end of a tenure.

use std::fmt;

/// Reason for the end of a tenure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// A worker or peer knows a higher token.
    Fenced { highest: u64 },
    /// The store no longer has the lease.
    LeaseLost,
    /// The store answers again, so the role can be acquired through it.
    StoreAvailable,
    /// The store could not be read at the start of the tenure.
    StoreUnreadable,
    /// A task without which the tenure can't go on has ended. Its lease is left to expire, so that a
    /// fault that ends each tenure does not hand the role round at full speed.
    TaskEnded(&'static str),
    /// The daemon was asked to stop.
    Leaving,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced { highest } => write!(f, "a higher token was seen: {highest}"),
            Self::LeaseLost => write!(f, "the store no longer has the lease of the role"),
            Self::StoreAvailable => write!(f, "the store answers again"),
            Self::StoreUnreadable => {
                write!(f, "the store could not be read at the start of the tenure")
            }
            Self::TaskEnded(task) => write!(f, "its task {task} has ended"),
            Self::Leaving => write!(f, "this daemon is leaving"),
        }
    }
}
