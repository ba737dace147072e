//! Validated names of the things the system handles.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
pub const MAX_ID_BYTES: usize = 64;

quick_error! {
    /// A name that is not allowed.
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
        /// The name has a character outside `a-z A-Z 0-9 . _ -`.
        Character(found: char) {
            display("a name consists of letters, digits, '.', '_' and '-', not {found:?}")
        }
    }
}

/// Checks `name` against the rules that all names share.
///
/// # Errors
///
/// Returns what is wrong with the name.
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
            /// Returns the name that stands for one that is not known.
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
    /// Names an availability zone.
    ZoneId
);
id!(
    /// Names a VM.
    VmId
);
id!(
    /// Names a worker: a VM with accelerators.
    WorkerId
);
id!(
    /// Names a minion.
    MinionId
);
id!(
    /// Names a rack of workers.
    RackId
);
id!(
    /// Names a customer.
    CustomerId
);
id!(
    /// Names a job within its customer.
    JobId
);
id!(
    /// Names a request within its customer; a caller repeats it when it tries again.
    RequestId
);
id!(
    /// Names a priority class.
    ClassId
);
id!(
    /// Names a guarantee.
    GuaranteeId
);
id!(
    /// Names a placement rule.
    RuleId
);
id!(
    /// Names a service that minions answer for.
    ServiceId
);
id!(
    /// Names one operator's change, so that a lost answer can be resolved.
    ChangeId
);
