use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::SelectorError;
use crate::id::{IdError, check_name};

/// Maximum number of labels in a set that is parsed or deserialized.
pub const MAX_LABELS: usize = 32;

/// A set of labels, each a name with one value, sorted by name.
///
/// # Examples
///
/// ```
/// use stairstall_core::Labels;
///
/// let labels: Labels = "team=web,class=batch".parse().unwrap();
/// assert_eq!(labels.get("team"), Some("web"));
/// assert_eq!(labels.to_string(), "class=batch,team=web");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(
    try_from = "BTreeMap<String, String>",
    into = "BTreeMap<String, String>"
)]
pub struct Labels(BTreeMap<String, String>);

impl Labels {
    /// Returns the value of the label `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Returns these labels with one label added or replaced.
    ///
    /// # Errors
    ///
    /// Returns why the name or the value is invalid.
    pub fn with(mut self, name: &str, value: &str) -> Result<Self, IdError> {
        check_name(name)?;
        check_name(value)?;
        self.0.insert(name.to_owned(), value.to_owned());
        Ok(self)
    }

    /// Iterates over the pairs of name and value, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(k, v)| (k.as_str(), v.as_str()))
    }

    /// Returns whether there are no labels.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl TryFrom<BTreeMap<String, String>> for Labels {
    type Error = SelectorError;

    fn try_from(map: BTreeMap<String, String>) -> Result<Self, SelectorError> {
        if map.len() > MAX_LABELS {
            return Err(SelectorError::TooMany(map.len()));
        }
        for (name, value) in &map {
            check_name(name).map_err(|e| SelectorError::Name(name.clone(), e))?;
            check_name(value).map_err(|e| SelectorError::Name(value.clone(), e))?;
        }
        Ok(Self(map))
    }
}

impl From<Labels> for BTreeMap<String, String> {
    fn from(labels: Labels) -> Self {
        labels.0
    }
}

impl FromStr for Labels {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, SelectorError> {
        let mut map = BTreeMap::new();
        for part in text.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            let (name, value) = part
                .split_once('=')
                .ok_or_else(|| SelectorError::Form(part.to_owned()))?;
            map.insert(name.trim().to_owned(), value.trim().to_owned());
        }
        Self::try_from(map)
    }
}

impl fmt::Display for Labels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{name}={value}")?;
        }
        Ok(())
    }
}
