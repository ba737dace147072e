//! Overrides of single policy values by name.

use serde_json::Value;
use stairstall_core::batch::Policy;

use crate::settings::{InvalidSetting, Validator};

/// Applies overrides such as `reports.shortest_wait=500` to the default policy.
pub(super) fn read(changes: &[String], checks: &mut Validator) -> Option<Policy> {
    let mut policy = Policy::default();
    let mut is_valid = true;
    for change in changes {
        match apply(&policy, change) {
            Ok(changed) => policy = changed,
            Err(allowed) => {
                is_valid = false;
                add_mistake(checks, change, allowed);
            }
        }
    }
    if let Err(error) = policy.check() {
        is_valid = false;
        add_mistake(checks, &changes.join(" "), error.to_string());
    }
    is_valid.then_some(policy)
}

fn add_mistake(checks: &mut Validator, value: &str, allowed: String) {
    checks.0.push(InvalidSetting {
        flag: "--policy",
        value: value.to_owned(),
        allowed,
    });
}

/// Returns the policy with one value overridden, or a description of what is allowed.
fn apply(policy: &Policy, change: &str) -> Result<Policy, String> {
    let (path, value) = change
        .split_once('=')
        .ok_or("a change as GROUP.FIELD=VALUE")?;
    let (group, field) = path
        .split_once('.')
        .ok_or("a change as GROUP.FIELD=VALUE")?;
    let value: Value = serde_json::from_str(value).map_err(|_| "a number, true or false")?;
    let mut values = serde_json::to_value(policy).map_err(|error| error.to_string())?;
    let target = values
        .get_mut(group)
        .and_then(|group| group.get_mut(field))
        .ok_or_else(|| format!("{path} to be a value of the policy"))?;
    *target = value;
    serde_json::from_value(values).map_err(|error| format!("{path} to hold {error}"))
}
