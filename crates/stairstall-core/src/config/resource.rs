use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::placement::Shape;
use crate::{ClassId, CustomerId, GuaranteeId, Labels, RuleId, Selector, ServiceId, ZoneId};

/// A customer, with its weight against other customers and its quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name among the resources of this kind.
    #[serde(deserialize_with = "crate::id::plain")]
    pub name: CustomerId,
    /// Labels, which selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Weight in the division of request slots and accelerators among customers, from 1 to 1000.
    #[serde(default = "one")]
    pub weight: u32,
    /// Maximum number of accelerators in use at a time outside of its guarantees; `None` means no
    /// limit.
    #[serde(default)]
    pub quota: Option<u32>,
}

/// A priority class of requests and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityClass {
    /// Unique name among the resources of this kind.
    pub name: ClassId,
    /// Labels, which selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Jobs of higher levels are placed first.
    pub level: u8,
    /// Weight in the division of request slots among classes, from 1 to 1000.
    #[serde(default = "one")]
    pub weight: u32,
    /// Whether waiting jobs of the class preempt jobs of lower levels.
    #[serde(default)]
    pub preempts: bool,
}

/// A group of adjacent accelerators that a customer can always reclaim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Unique name among the resources of this kind.
    pub name: GuaranteeId,
    /// Labels, which selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Customer that the guarantee belongs to.
    #[serde(deserialize_with = "crate::id::plain")]
    pub customer: CustomerId,
    /// Zone in which the accelerators are guaranteed.
    #[serde(deserialize_with = "crate::id::plain")]
    pub zone: ZoneId,
    /// Number and arrangement of the guaranteed accelerators.
    pub shape: Shape,
}

/// What a rule sets for the jobs and requests that it selects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleEffect {
    /// Assigns them to this priority class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassId>,
    /// Restricts them to these zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<ZoneId>>,
    /// While `true`, keeps waiting jobs from starting.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<bool>,
}

/// A rule that applies to all jobs and requests whose labels match a selector.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique name among the resources of this kind.
    pub name: RuleId,
    /// Labels of the rule itself.
    #[serde(default)]
    pub labels: Labels,
    /// Rules apply in ascending order; later ones override earlier ones.
    #[serde(default)]
    pub order: u32,
    /// Condition on the labels of jobs and requests that the rule applies to.
    pub selector: Selector,
    /// Settings that the rule applies.
    pub effect: RuleEffect,
}

/// A service whose requests are answered by minions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name among the resources of this kind.
    #[serde(deserialize_with = "crate::id::plain")]
    pub name: ServiceId,
    /// Labels, which selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Maximum number of concurrent requests per minion, over all daemons.
    pub slots: u16,
    /// Default deadline of requests that don't specify one, in milliseconds.
    pub deadline_ms: u64,
}

const fn one() -> u32 {
    1
}

/// The kind of a configuration resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// [`Customer`].
    Customer,
    /// [`PriorityClass`].
    PriorityClass,
    /// [`Guarantee`].
    Guarantee,
    /// [`Rule`].
    Rule,
    /// [`Service`].
    Service,
}

impl ResourceKind {
    /// All kinds, in dependency order: a kind refers only to kinds before it.
    pub const ALL: [Self; 5] = [
        Self::Customer,
        Self::PriorityClass,
        Self::Guarantee,
        Self::Rule,
        Self::Service,
    ];

    /// Returns the name used in JSON documents and on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Customer => "customer",
            Self::PriorityClass => "priority-class",
            Self::Guarantee => "guarantee",
            Self::Rule => "rule",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for ResourceKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let singular = text.strip_suffix("es").filter(|s| s.ends_with("ss"));
        let singular = singular.or_else(|| text.strip_suffix('s')).unwrap_or(text);
        Self::ALL
            .into_iter()
            .find(|kind| [singular, text].contains(&kind.as_str()))
            .ok_or_else(|| {
                let names = Self::ALL.map(Self::as_str).join(", ");
                format!("{text:?} is not a kind of resource; the kinds are {names}")
            })
    }
}

/// A configuration resource of any kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Resource {
    /// A customer.
    Customer(Customer),
    /// A priority class.
    PriorityClass(PriorityClass),
    /// A guarantee.
    Guarantee(Guarantee),
    /// A rule.
    Rule(Rule),
    /// A service.
    Service(Service),
}

impl Resource {
    /// Returns the kind of the resource.
    #[must_use]
    pub const fn kind(&self) -> ResourceKind {
        match self {
            Self::Customer(_) => ResourceKind::Customer,
            Self::PriorityClass(_) => ResourceKind::PriorityClass,
            Self::Guarantee(_) => ResourceKind::Guarantee,
            Self::Rule(_) => ResourceKind::Rule,
            Self::Service(_) => ResourceKind::Service,
        }
    }

    /// Returns the name of the resource.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Customer(r) => r.name.as_str(),
            Self::PriorityClass(r) => r.name.as_str(),
            Self::Guarantee(r) => r.name.as_str(),
            Self::Rule(r) => r.name.as_str(),
            Self::Service(r) => r.name.as_str(),
        }
    }

    /// Returns the labels of the resource.
    #[must_use]
    pub const fn labels(&self) -> &Labels {
        match self {
            Self::Customer(r) => &r.labels,
            Self::PriorityClass(r) => &r.labels,
            Self::Guarantee(r) => &r.labels,
            Self::Rule(r) => &r.labels,
            Self::Service(r) => &r.labels,
        }
    }

    /// Returns the labels for modification.
    pub const fn labels_mut(&mut self) -> &mut Labels {
        match self {
            Self::Customer(r) => &mut r.labels,
            Self::PriorityClass(r) => &mut r.labels,
            Self::Guarantee(r) => &mut r.labels,
            Self::Rule(r) => &mut r.labels,
            Self::Service(r) => &mut r.labels,
        }
    }
}
