//! Validated identifiers.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};

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
        /// The name is longer than [`MAX_ID_BYTES`], or than 4,096 bytes with escapes.
        TooLong(length: usize) {
            display("a name has at most {MAX_ID_BYTES} bytes, {MAX_ESCAPED_BYTES} with escapes; this one has {length}")
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

/// Starts an escape in a name from outside: two hexadecimal digits follow, the value of a byte.
const ESCAPE: char = '~';

/// Maximum length of an escaped name, in bytes.
const MAX_ESCAPED_BYTES: usize = 4_096;

/// Returns whether a character stands for itself in an escaped name.
const fn is_plain(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
}

/// Escapes a name that a platform chose, so that it consists of the characters of a valid name and
/// escapes. A name without other characters stays as it is; no two names are escaped alike.
fn escape_name(name: &str) -> Result<String, IdError> {
    use std::fmt::Write;
    let mut escaped = String::with_capacity(name.len());
    for c in name.chars() {
        if is_plain(c) {
            escaped.push(c);
            continue;
        }
        let mut bytes = [0; 4];
        for byte in c.encode_utf8(&mut bytes).bytes() {
            let _ = write!(escaped, "{ESCAPE}{byte:02x}");
        }
    }
    check_escaped_name(&escaped)?;
    Ok(escaped)
}

/// Checks that `name` is one that [`escape_name`] may return.
fn check_escaped_name(name: &str) -> Result<(), IdError> {
    if name.is_empty() {
        return Err(IdError::Empty);
    }
    if name.len() > MAX_ESCAPED_BYTES {
        return Err(IdError::TooLong(name.len()));
    }
    match name.chars().find(|c| !is_plain(*c) && *c != ESCAPE) {
        Some(found) => Err(IdError::Character(found)),
        None => Ok(()),
    }
}

/// Deserializes a name that must have no escapes, because it becomes a part of a store key.
pub(crate) fn plain<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: FromStr<Err = IdError>,
{
    let name = String::deserialize(deserializer)?;
    name.parse().map_err(D::Error::custom)
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        id!($(#[$doc])* $name, check_name);
    };
    ($(#[$doc:meta])* $name:ident, escaped) => {
        id!($(#[$doc])* $name, check_escaped_name);

        impl $name {
            /// Creates the identifier of something that a platform named, with any characters.
            ///
            /// # Errors
            ///
            /// Returns an error if the name is empty, or longer than 4,096 bytes when
            /// other characters than those of a valid name are escaped.
            pub fn from_platform(name: &str) -> Result<Self, IdError> {
                Ok(Self(escape_name(name)?.into()))
            }
        }
    };
    ($(#[$doc:meta])* $name:ident, $check_stored:ident) => {
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
                $check_stored(&text)?;
                Ok(Self(text.into()))
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
    ZoneId,
    escaped
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
    RackId,
    escaped
);
id!(
    /// Identifies a customer.
    CustomerId,
    escaped
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
    ServiceId,
    escaped
);
id!(
    /// Identifies a configuration change, so that it can be repeated safely after a lost response.
    ChangeId
);
