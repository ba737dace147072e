use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{Resource, ResourceKind, Revision};
use crate::{ChangeId, Selector, ZoneId};

/// One field of a group of resources and its new value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "field", content = "value", rename_all = "kebab-case")]
pub enum Assignment {
    /// Sets a label.
    Label(String, String),
    /// Sets the weight of customers and priority classes.
    Weight(u32),
    /// Sets the quota of customers; none lifts it.
    Quota(Option<u32>),
    /// Sets the level of priority classes.
    Level(u8),
    /// Sets whether priority classes preempt.
    Preempts(bool),
    /// Moves guarantees to a zone.
    Zone(ZoneId),
    /// Sets the number of members of guarantees.
    Members(u16),
    /// Sets the order of rules.
    Order(u32),
    /// Sets whether rules hold the jobs they select.
    Hold(bool),
    /// Sets the slots of services.
    Slots(u16),
    /// Sets the default deadline of services, in milliseconds.
    DeadlineMs(u64),
}

impl FromStr for Assignment {
    type Err = String;

    /// Reads `field=value`, as in `weight=3` or `label.team=web`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (field, value) = text
            .split_once('=')
            .ok_or_else(|| format!("{text:?} is not 'field=value'"))?;
        if let Some(label) = field.strip_prefix("label.") {
            return Ok(Self::Label(label.to_owned(), value.to_owned()));
        }
        let number = |most: u64| {
            let number = value.parse::<u64>().ok().filter(|n| *n <= most);
            number.ok_or_else(|| format!("{field}: {value:?} is not a number up to {most}"))
        };
        let small = |most: u32| number(u64::from(most)).map(|n| u32::try_from(n).unwrap_or(most));
        let short = || small(u32::from(u16::MAX)).map(|n| u16::try_from(n).unwrap_or(u16::MAX));
        let flag = || {
            value
                .parse()
                .map_err(|_| format!("{field}: {value:?} is neither true nor false"))
        };
        match field {
            "weight" => small(u32::MAX).map(Self::Weight),
            "quota" if value == "none" => Ok(Self::Quota(None)),
            "quota" => small(u32::MAX).map(|n| Self::Quota(Some(n))),
            "level" => small(255).map(|n| Self::Level(u8::try_from(n).unwrap_or(u8::MAX))),
            "preempts" => flag().map(Self::Preempts),
            "zone" => value
                .parse()
                .map(Self::Zone)
                .map_err(|e| format!("zone: {e}")),
            "members" => short().map(Self::Members),
            "order" => small(u32::MAX).map(Self::Order),
            "hold" => flag().map(Self::Hold),
            "slots" => short().map(Self::Slots),
            "deadline-ms" => number(u64::MAX).map(Self::DeadlineMs),
            _ => Err(format!(
                "{field:?} is not a field that can be set; the fields are label.NAME, weight, \
                 quota, level, preempts, zone, members, order, hold, slots, deadline-ms"
            )),
        }
    }
}

impl fmt::Display for Assignment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Label(name, value) => write!(f, "label.{name}={value}"),
            Self::Weight(n) => write!(f, "weight={n}"),
            Self::Quota(Some(n)) => write!(f, "quota={n}"),
            Self::Quota(None) => write!(f, "quota=none"),
            Self::Level(n) => write!(f, "level={n}"),
            Self::Preempts(b) => write!(f, "preempts={b}"),
            Self::Zone(zone) => write!(f, "zone={zone}"),
            Self::Members(n) => write!(f, "members={n}"),
            Self::Order(n) => write!(f, "order={n}"),
            Self::Hold(b) => write!(f, "hold={b}"),
            Self::Slots(n) => write!(f, "slots={n}"),
            Self::DeadlineMs(n) => write!(f, "deadline-ms={n}"),
        }
    }
}

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "operation", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Adds a resource or replaces the one of its kind and name.
    Put {
        /// The resource.
        resource: Resource,
    },
    /// Removes a resource.
    Delete {
        /// Its kind.
        #[serde(rename = "of")]
        kind: ResourceKind,
        /// Its name.
        name: String,
    },
    /// Sets a field of every resource of a kind that a selector matches.
    Set {
        /// The kind.
        #[serde(rename = "of")]
        kind: ResourceKind,
        /// Which resources.
        selector: Selector,
        /// The new value.
        assignment: Assignment,
    },
}

/// A change that takes effect as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Names the change; the same id never takes effect twice.
    pub id: ChangeId,
    /// The revision that the operator saw; none applies to whatever stands.
    #[serde(default)]
    pub base: Option<Revision>,
    /// What is done, in order.
    pub operations: Vec<Operation>,
}
