use std::collections::BTreeMap;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::{
    Assignment, Change, Customer, Guarantee, Operation, PriorityClass, Resource, ResourceKind,
    Revision, Rule, RuleEffect, Service,
};
use crate::{ClassId, CustomerId, GuaranteeId, Labels, RuleId, ServiceId, ZoneId};

quick_error! {
    /// Why a change can't be applied.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum InvalidChange {
        /// The resource does not exist.
        Missing(kind: ResourceKind, name: String) {
            display("there is no {kind} {name:?}")
        }
        /// The name is not a valid identifier.
        Name(name: String) {
            display("{name:?} is not an allowed name or value")
        }
        /// The kind has no such field.
        Field(kind: ResourceKind, assignment: String) {
            display("{assignment}: a {kind} has no such field")
        }
        /// A value is out of range.
        Value(what: String) {
            display("{what}")
        }
        /// Another resource refers to a resource that would not exist after the change.
        InUse(kind: ResourceKind, name: String, by: String) {
            display("{kind} {name:?} is still named by {by}")
        }
    }
}

/// The complete configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision of the last applied change.
    pub revision: Revision,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Priority classes by name.
    pub classes: BTreeMap<ClassId, PriorityClass>,
    /// Guarantees by name.
    pub guarantees: BTreeMap<GuaranteeId, Guarantee>,
    /// Rules by name.
    pub rules: BTreeMap<RuleId, Rule>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Configuration {
    /// Returns the configuration of the next revision: this one with `change` applied.
    ///
    /// # Errors
    ///
    /// Returns why the change is invalid.
    pub fn apply(&self, change: &Change) -> Result<Self, InvalidChange> {
        let mut next = self.clone();
        for operation in &change.operations {
            next.apply_operation(operation)?;
        }
        next.check()?;
        next.revision = self.revision.next();
        Ok(next)
    }

    /// Returns the resources of one kind, sorted by name.
    #[must_use]
    pub fn resources(&self, kind: ResourceKind) -> Vec<Resource> {
        match kind {
            ResourceKind::Customer => self
                .customers
                .values()
                .cloned()
                .map(Resource::Customer)
                .collect(),
            ResourceKind::PriorityClass => self
                .classes
                .values()
                .cloned()
                .map(Resource::PriorityClass)
                .collect(),
            ResourceKind::Guarantee => self
                .guarantees
                .values()
                .cloned()
                .map(Resource::Guarantee)
                .collect(),
            ResourceKind::Rule => self.rules.values().cloned().map(Resource::Rule).collect(),
            ResourceKind::Service => self
                .services
                .values()
                .cloned()
                .map(Resource::Service)
                .collect(),
        }
    }

    /// Returns the combined effect of all rules that match `labels`.
    ///
    /// Where several rules set the same value, the rule with the highest order wins; among rules of
    /// equal order, the last by name.
    #[must_use]
    pub fn effect_on(&self, labels: &Labels) -> RuleEffect {
        let mut rules: Vec<&Rule> = self
            .rules
            .values()
            .filter(|rule| rule.selector.matches(labels))
            .collect();
        rules.sort_by_key(|rule| rule.order);
        rules
            .into_iter()
            .fold(RuleEffect::default(), |effect, rule| RuleEffect {
                class: rule.effect.class.clone().or(effect.class),
                zones: rule.effect.zones.clone().or(effect.zones),
                hold: rule.effect.hold.or(effect.hold),
            })
    }

    /// Returns the guarantees in `zone`.
    #[must_use]
    pub fn guarantees_in(&self, zone: &ZoneId) -> Vec<Guarantee> {
        self.guarantees
            .values()
            .filter(|g| g.zone == *zone)
            .cloned()
            .collect()
    }

    fn apply_operation(&mut self, operation: &Operation) -> Result<(), InvalidChange> {
        match operation {
            Operation::Put { resource } => {
                self.put(resource.clone());
                Ok(())
            }
            Operation::Delete { kind, name } => self.delete(*kind, name),
            Operation::Set {
                kind,
                selector,
                assignment,
            } => {
                for mut resource in self.resources(*kind) {
                    if selector.matches(resource.labels()) {
                        assign(&mut resource, assignment)?;
                        self.put(resource);
                    }
                }
                Ok(())
            }
        }
    }

    fn put(&mut self, resource: Resource) {
        match resource {
            Resource::Customer(r) => drop(self.customers.insert(r.name.clone(), r)),
            Resource::PriorityClass(r) => drop(self.classes.insert(r.name.clone(), r)),
            Resource::Guarantee(r) => drop(self.guarantees.insert(r.name.clone(), r)),
            Resource::Rule(r) => drop(self.rules.insert(r.name.clone(), r)),
            Resource::Service(r) => drop(self.services.insert(r.name.clone(), r)),
        }
    }

    fn delete(&mut self, kind: ResourceKind, name: &str) -> Result<(), InvalidChange> {
        let bad_name = |_| InvalidChange::Name(name.to_owned());
        let found = match kind {
            ResourceKind::Customer => self
                .customers
                .remove(&name.parse().map_err(bad_name)?)
                .is_some(),
            ResourceKind::PriorityClass => self
                .classes
                .remove(&name.parse().map_err(bad_name)?)
                .is_some(),
            ResourceKind::Guarantee => self
                .guarantees
                .remove(&name.parse().map_err(bad_name)?)
                .is_some(),
            ResourceKind::Rule => self
                .rules
                .remove(&name.parse().map_err(bad_name)?)
                .is_some(),
            ResourceKind::Service => self
                .services
                .remove(&name.parse().map_err(bad_name)?)
                .is_some(),
        };
        if found {
            Ok(())
        } else {
            Err(InvalidChange::Missing(kind, name.to_owned()))
        }
    }

    /// Checks the values of all resources and their references to one another.
    fn check(&self) -> Result<(), InvalidChange> {
        for customer in self.customers.values() {
            check_weight("customer", customer.name.as_str(), customer.weight)?;
        }
        for class in self.classes.values() {
            check_weight("priority-class", class.name.as_str(), class.weight)?;
        }
        for guarantee in self.guarantees.values() {
            if !self.customers.contains_key(&guarantee.customer) {
                let by = format!("guarantee {:?}", guarantee.name.as_str());
                return Err(InvalidChange::InUse(
                    ResourceKind::Customer,
                    guarantee.customer.to_string(),
                    by,
                ));
            }
            guarantee
                .shape
                .check()
                .map_err(|e| InvalidChange::Value(format!("guarantee {}: {e}", guarantee.name)))?;
        }
        for rule in self.rules.values() {
            if let Some(class) = rule
                .effect
                .class
                .as_ref()
                .filter(|c| !self.classes.contains_key(*c))
            {
                let by = format!("rule {:?}", rule.name.as_str());
                return Err(InvalidChange::InUse(
                    ResourceKind::PriorityClass,
                    class.to_string(),
                    by,
                ));
            }
        }
        for service in self.services.values() {
            if service.slots == 0 || service.deadline_ms == 0 {
                let what = format!(
                    "service {}: slots and deadline-ms are at least 1",
                    service.name
                );
                return Err(InvalidChange::Value(what));
            }
        }
        Ok(())
    }
}

fn check_weight(kind: &str, name: &str, weight: u32) -> Result<(), InvalidChange> {
    if (1..=1_000).contains(&weight) {
        return Ok(());
    }
    Err(InvalidChange::Value(format!(
        "{kind} {name}: weight is from 1 to 1000, not {weight}"
    )))
}

fn assign(resource: &mut Resource, assignment: &Assignment) -> Result<(), InvalidChange> {
    let kind = resource.kind();
    if let Assignment::Label(name, value) = assignment {
        let labels = resource.labels_mut();
        let changed = std::mem::take(labels).with(name, value);
        *labels =
            changed.map_err(|e| InvalidChange::Value(format!("label.{name}={value}: {e}")))?;
        return Ok(());
    }
    match (resource, assignment) {
        (Resource::Customer(r), Assignment::Weight(n)) => r.weight = *n,
        (Resource::Customer(r), Assignment::Quota(n)) => r.quota = *n,
        (Resource::PriorityClass(r), Assignment::Weight(n)) => r.weight = *n,
        (Resource::PriorityClass(r), Assignment::Level(n)) => r.level = *n,
        (Resource::PriorityClass(r), Assignment::Preempts(b)) => r.preempts = *b,
        (Resource::Guarantee(r), Assignment::Zone(zone)) => r.zone = zone.clone(),
        (Resource::Guarantee(r), Assignment::Members(n)) => r.shape.members = *n,
        (Resource::Rule(r), Assignment::Order(n)) => r.order = *n,
        (Resource::Rule(r), Assignment::Hold(b)) => r.effect.hold = Some(*b),
        (Resource::Service(r), Assignment::Slots(n)) => r.slots = *n,
        (Resource::Service(r), Assignment::DeadlineMs(n)) => r.deadline_ms = *n,
        _ => return Err(InvalidChange::Field(kind, assignment.to_string())),
    }
    Ok(())
}
