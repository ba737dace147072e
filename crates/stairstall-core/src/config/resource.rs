use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::placement::Shape;
use crate::{ClassId, CustomerId, GuaranteeId, Labels, RuleId, Selector, ServiceId, ZoneId};

/// A customer: who pays, and how its work weighs against others'.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name.
    pub name: CustomerId,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// Share among customers of one class; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Most accelerators in use at a time outside of its guarantees; none means no bound.
    #[serde(default)]
    pub quota: Option<u32>,
}

/// A priority class of requests and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityClass {
    /// Name.
    pub name: ClassId,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// Rank of jobs: higher levels are placed first.
    pub level: u8,
    /// Share of request slots among classes; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// Whether waiting jobs of the class make jobs of lower levels give way.
    #[serde(default)]
    pub preempts: bool,
}

/// A shape of adjacent accelerators that a customer can always reclaim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Name.
    pub name: GuaranteeId,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// Who holds the guarantee.
    pub customer: CustomerId,
    /// Where the shape is kept.
    pub zone: ZoneId,
    /// What is kept.
    pub shape: Shape,
}

/// What a rule does to the jobs and requests that it selects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleEffect {
    /// Puts them in this class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassId>,
    /// Places them in these zones only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zones: Option<Vec<ZoneId>>,
    /// Keeps waiting jobs from starting while true.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<bool>,
}

/// A placement rule over a group of jobs and requests, told by their labels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name.
    pub name: RuleId,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// Rules apply in rising order; later ones win.
    #[serde(default)]
    pub order: u32,
    /// Which jobs and requests.
    pub selector: Selector,
    /// What it does.
    pub effect: RuleEffect,
}

/// A service that minions answer for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Labels.
    #[serde(default)]
    pub labels: Labels,
    /// Requests that one minion runs at a time, over all daemons.
    pub slots: u16,
    /// Deadline of requests that carry none, in milliseconds.
    pub deadline_ms: u64,
}

const fn one() -> u32 {
    1
}

/// The kinds of resource.
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
    /// All kinds, in the order in which they depend on one another.
    pub const ALL: [Self; 5] = [
        Self::Customer,
        Self::PriorityClass,
        Self::Guarantee,
        Self::Rule,
        Self::Service,
    ];

    /// Returns the name used in documents and on the command line.
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

/// One piece of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Resource {
    /// A customer.
    Customer(Customer),
    /// A priority class.
    PriorityClass(PriorityClass),
    /// A guarantee.
    Guarantee(Guarantee),
    /// A placement rule.
    Rule(Rule),
    /// A service.
    Service(Service),
}

impl Resource {
    /// Returns the kind.
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

    /// Returns the name.
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

    /// Returns the labels.
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

    /// Returns the labels for a change.
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
