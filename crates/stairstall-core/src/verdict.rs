//! Verdicts on whether work may have run.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether a request or job may have run.
///
/// Every error that crosses a layer carries a verdict. Non-repeatable work may be
/// retried only after [`Verdict::NotRun`].
///
/// # Examples
///
/// ```
/// use stairstall_core::Verdict;
///
/// assert!(Verdict::NotRun.allows_retry(false));
/// assert!(!Verdict::MayHaveRun.allows_retry(false));
/// assert!(Verdict::MayHaveRun.allows_retry(true));
/// assert_eq!(Verdict::NotRun.and(Verdict::MayHaveRun), Verdict::MayHaveRun);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It is certain that the work did not run anywhere.
    NotRun,
    /// The work ran, and the complete response is available.
    Ran,
    /// It is unknown whether the work ran; it may have run in part or completely.
    MayHaveRun,
}

impl Verdict {
    /// Returns whether work with this verdict may be retried.
    #[must_use]
    pub const fn allows_retry(self, repeatable: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => repeatable,
            Self::Ran => false,
        }
    }

    /// Combines the verdicts of two attempts at the same work.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// Returns the name used in headers, bodies and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        [Self::NotRun, Self::Ran, Self::MayHaveRun]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
            .ok_or(())
    }
}
