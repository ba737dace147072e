//! What is known about whether work ran.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Says whether a request or job may have run.
///
/// Every error that crosses a layer carries one. Only [`Verdict::NotRun`] is
/// grounds for trying not-repeatable work again.
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
    /// Proved: nothing ran anywhere.
    NotRun,
    /// It ran, and the whole answer is at hand.
    Ran,
    /// Nothing is proved: it may have run, in part or in whole.
    MayHaveRun,
}

impl Verdict {
    /// Tells whether the work may be tried again under this verdict.
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

    /// Returns the form used in headers, bodies and logs.
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
