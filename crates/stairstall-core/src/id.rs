//! Validated identifiers.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_ID_BYTES: usize = 64;

quick_error! {
    /// Why a name is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum IdError {
        /// The name is empty.
        Empty {
            display("a name must not be empty")
        }
        /// The name is longer than [`MAX_ID_BYTES`].
        TooLong(length: usize) {
            display("a name has at most {MAX_ID_BYTES} bytes, this one has {length}")
        }
        /// The name contains a character outside `a-z A-Z 0-9 . _ -`.
        Character(found: char) {
            display("a name consists of letters, digits, '.', '_' and '-', not {found:?}")
        }
    }
}

/// Checks that `name` is a valid identifier, label name or label value.
///
/// # Errors
///
/// Returns why the name is invalid.
pub fn check_name(name: &str) -> Result<(), IdError> {
    if name.is_empty() {
        return Err(IdError::Empty);
    }
    if name.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong(name.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match name.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::Character(found)),
        None => Ok(()),
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the identifier `unknown`, a placeholder for a missing name.
            #[must_use]
            pub fn unknown() -> Self {
                Self("unknown".into())
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.as_str().to_owned()
            }
        }
    };
}

id!(
    /// Identifies an availability zone.
    ZoneId
);
id!(
    /// Identifies a VM.
    VmId
);
id!(
    /// Identifies a worker: a VM with accelerators.
    WorkerId
);
id!(
    /// Identifies a minion: a VM that answers the requests of a service.
    MinionId
);
id!(
    /// Identifies a rack of workers.
    RackId
);
id!(
    /// Identifies a customer.
    CustomerId
);
id!(
    /// Identifies a job among the jobs of its customer.
    JobId
);
id!(
    /// Identifies a request among the requests of its customer; a retry carries the same id.
    RequestId
);
id!(
    /// Identifies a priority class.
    ClassId
);
id!(
    /// Identifies a guarantee.
    GuaranteeId
);
id!(
    /// Identifies a configuration rule.
    RuleId
);
id!(
    /// Identifies a service whose requests are answered by minions.
    ServiceId
);
id!(
    /// Identifies a configuration change, so that it can be repeated safely after a lost response.
    ChangeId
);
