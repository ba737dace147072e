use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::{Resource, ResourceKind, Revision};
use crate::{ChangeId, Selector, ZoneId};

/// A field to set on a group of resources, and its new value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "field", content = "value", rename_all = "kebab-case")]
pub enum Assignment {
    /// Sets the label of this name to this value.
    Label(String, String),
    /// Sets the weight of customers or priority classes.
    Weight(u32),
    /// Sets the quota of customers; `None` removes the limit.
    Quota(Option<u32>),
    /// Sets the level of priority classes.
    Level(u8),
    /// Sets whether jobs of priority classes preempt jobs of lower levels.
    Preempts(bool),
    /// Sets the zone of guarantees.
    Zone(ZoneId),
    /// Sets the number of members in the shape of guarantees.
    Members(u16),
    /// Sets the order in which rules apply.
    Order(u32),
    /// Sets whether rules keep the jobs that they select from starting.
    Hold(bool),
    /// Sets the slots per minion of services.
    Slots(u16),
    /// Sets the default deadline of services, in milliseconds.
    DeadlineMs(u64),
}

impl FromStr for Assignment {
    type Err = String;

    /// Parses `field=value`, as in `weight=3` or `label.team=web`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (field, value) = text
            .split_once('=')
            .ok_or_else(|| format!("{text:?} is not 'field=value'"))?;
        if let Some(label) = field.strip_prefix("label.") {
            return Ok(Self::Label(label.to_owned(), value.to_owned()));
        }
        let number = |max: u64| {
            let number = value.parse::<u64>().ok().filter(|n| *n <= max);
            number.ok_or_else(|| format!("{field}: {value:?} is not a number up to {max}"))
        };
        let number_u32 = |max: u32| number(u64::from(max)).map(|n| u32::try_from(n).unwrap_or(max));
        let number_u16 =
            || number_u32(u32::from(u16::MAX)).map(|n| u16::try_from(n).unwrap_or(u16::MAX));
        let flag = || {
            value
                .parse()
                .map_err(|_| format!("{field}: {value:?} is neither true nor false"))
        };
        match field {
            "weight" => number_u32(u32::MAX).map(Self::Weight),
            "quota" if value == "none" => Ok(Self::Quota(None)),
            "quota" => number_u32(u32::MAX).map(|n| Self::Quota(Some(n))),
            "level" => number_u32(255).map(|n| Self::Level(u8::try_from(n).unwrap_or(u8::MAX))),
            "preempts" => flag().map(Self::Preempts),
            "zone" => value
                .parse()
                .map(Self::Zone)
                .map_err(|e| format!("zone: {e}")),
            "members" => number_u16().map(Self::Members),
            "order" => number_u32(u32::MAX).map(Self::Order),
            "hold" => flag().map(Self::Hold),
            "slots" => number_u16().map(Self::Slots),
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

/// One operation of a [`Change`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "operation", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Adds a resource, or replaces the resource of the same kind and name.
    Put {
        /// Resource to store.
        resource: Resource,
    },
    /// Removes a resource.
    Delete {
        /// Kind of the resource.
        #[serde(rename = "of")]
        kind: ResourceKind,
        /// Name of the resource.
        name: String,
    },
    /// Sets a field of every resource of a kind whose labels match a selector.
    Set {
        /// Kind of the resources.
        #[serde(rename = "of")]
        kind: ResourceKind,
        /// Condition on the labels of the resources.
        selector: Selector,
        /// Field and its new value.
        assignment: Assignment,
    },
}

/// An atomic change of the configuration: either all of its operations take effect or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change, so that a repeated request doesn't apply it again.
    pub id: ChangeId,
    /// Revision that the change is based on; `None` applies it to the current one, whichever it is.
    #[serde(default)]
    pub base: Option<Revision>,
    /// Operations, applied in this order.
    pub operations: Vec<Operation>,
}
