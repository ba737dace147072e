use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::Labels;
use crate::id::{IdError, check_name};

quick_error! {
    /// Why labels or a selector are invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SelectorError {
        /// A part has none of the supported forms.
        Form(part: String) {
            display("{part:?} is none of 'name=value', 'name!=value', 'name in (a,b)', 'name'")
        }
        /// A label name or value is invalid.
        Name(name: String, source: IdError) {
            display("{name:?}: {source}")
            source(source)
        }
        /// There are more labels than allowed in one set.
        TooMany(count: usize) {
            display("{count} labels are more than {}", super::set::MAX_LABELS)
        }
    }
}

/// One condition on one label.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Requirement {
    /// The label is present and has one of these values.
    In(String, Vec<String>),
    /// The label is absent or has a different value.
    NotEqual(String, String),
    /// The label is present.
    Exists(String),
}

impl Requirement {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::In(name, values) => labels
                .get(name)
                .is_some_and(|found| values.iter().any(|v| v == found)),
            Self::NotEqual(name, value) => labels.get(name) != Some(value.as_str()),
            Self::Exists(name) => labels.get(name).is_some(),
        }
    }

    fn parse(part: &str) -> Result<Self, SelectorError> {
        if let Some((name, rest)) = part.split_once(" in ") {
            let list = rest
                .trim()
                .strip_prefix('(')
                .and_then(|r| r.strip_suffix(')'));
            let list = list.ok_or_else(|| SelectorError::Form(part.to_owned()))?;
            let values = list.split(',').map(parse_name).collect::<Result<_, _>>()?;
            return Ok(Self::In(parse_name(name)?, values));
        }
        if let Some((name, value)) = part.split_once("!=") {
            return Ok(Self::NotEqual(parse_name(name)?, parse_name(value)?));
        }
        if let Some((name, value)) = part.split_once('=') {
            return Ok(Self::In(parse_name(name)?, vec![parse_name(value)?]));
        }
        Ok(Self::Exists(parse_name(part)?))
    }
}

/// Returns `text` without surrounding whitespace, if it is a valid label name or value.
fn parse_name(text: &str) -> Result<String, SelectorError> {
    let text = text.trim();
    check_name(text).map_err(|e| SelectorError::Name(text.to_owned(), e))?;
    Ok(text.to_owned())
}

/// A condition on [`Labels`], which matches if all of its comma-separated parts do.
///
/// A part has one of the forms `name=value`, `name!=value`, `name in (a,b)` and `name`.
/// The empty selector matches everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector(Vec<Requirement>);

impl Selector {
    /// Returns whether `labels` satisfy every part of the selector.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.0.iter().all(|r| r.matches(labels))
    }
}

/// Splits at commas outside of parentheses.
fn split_parts(text: &str) -> Vec<&str> {
    let mut depth = 0_usize;
    text.split(move |c| {
        match c {
            '(' => depth += 1,
            ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        c == ',' && depth == 0
    })
    .collect()
}

impl FromStr for Selector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, SelectorError> {
        split_parts(text)
            .into_iter()
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(Requirement::parse)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

impl TryFrom<String> for Selector {
    type Error = SelectorError;

    fn try_from(text: String) -> Result<Self, SelectorError> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> Self {
        selector.to_string()
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            match requirement {
                Requirement::In(name, values) if values.len() == 1 => {
                    write!(f, "{comma}{name}={}", values[0])?;
                }
                Requirement::In(name, values) => {
                    write!(f, "{comma}{name} in ({})", values.join(","))?;
                }
                Requirement::NotEqual(name, value) => write!(f, "{comma}{name}!={value}")?,
                Requirement::Exists(name) => write!(f, "{comma}{name}")?,
            }
        }
        Ok(())
    }
}
