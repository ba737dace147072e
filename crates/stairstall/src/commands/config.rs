//! Reads and changes the configuration.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use hyper::Method;
use serde::{Deserialize, Serialize};
use stairstall_core::config::{
    Assignment, Change, Operation, Resource, ResourceKind, Revision, Rule, RuleEffect,
};
use stairstall_core::protocol::ConfigReply;
use stairstall_core::{ChangeId, Labels, Selector};

use super::read_file;
use crate::cli::{ChangeOptions, Output};
use crate::client::Client;
use crate::exit::Trouble;
use crate::render;

/// One resource or several.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Resources {
    Several(Vec<Resource>),
    One(Box<Resource>),
}

/// What became of a change.
#[derive(Debug, Serialize, Deserialize)]
struct Applied {
    revision: Revision,
    dry_run: bool,
}

pub async fn apply(
    client: &Client,
    output: Output,
    options: &ChangeOptions,
    file: &Path,
) -> Result<(), Trouble> {
    let resources = match read_file(file)? {
        Resources::Several(resources) => resources,
        Resources::One(resource) => vec![*resource],
    };
    let operations = resources
        .into_iter()
        .map(|resource| Operation::Put { resource })
        .collect();
    send(client, output, options, operations).await
}

pub async fn get(
    client: &Client,
    output: Output,
    kind: ResourceKind,
    selector: &Selector,
) -> Result<(), Trouble> {
    let reply: ConfigReply = client
        .get(&path(&format!("/v1/config/{kind}"), selector))
        .await?;
    match output {
        Output::Json => render::json(&reply),
        Output::Human => render::resources(&reply),
    }
}

pub async fn set(
    client: &Client,
    output: Output,
    options: &ChangeOptions,
    kind: ResourceKind,
    selector: &Selector,
    assignment: &str,
) -> Result<(), Trouble> {
    let assignment: Assignment = assignment.parse().map_err(Trouble::Usage)?;
    let operation = Operation::Set {
        kind,
        selector: selector.clone(),
        assignment,
    };
    send(client, output, options, vec![operation]).await
}

/// Changes a group of jobs: a rule that selects them, whatever their number.
pub async fn set_jobs(
    client: &Client,
    output: Output,
    options: &ChangeOptions,
    selector: &Selector,
    assignment: &str,
) -> Result<(), Trouble> {
    let rules: ConfigReply = client.get("/v1/config/rule").await?;
    let (field, effect) = job_effect(assignment)?;
    let number = xxhash_rust::xxh3::xxh3_64(format!("{field} {selector}").as_bytes());
    let name = format!("set-{field}-{number:016x}");
    let rule = Rule {
        name: name
            .parse()
            .map_err(|e| Trouble::Local(format!("{name}: {e}")))?,
        labels: Labels::default(),
        // Later rules win over earlier ones.
        order: u32::try_from(rules.revision.0)
            .unwrap_or(u32::MAX)
            .saturating_add(1),
        selector: selector.clone(),
        effect,
    };
    send(
        client,
        output,
        options,
        vec![Operation::Put {
            resource: Resource::Rule(rule),
        }],
    )
    .await
}

fn job_effect(assignment: &str) -> Result<(&'static str, RuleEffect), Trouble> {
    let usage = |text: String| Trouble::Usage(text);
    let (field, value) = assignment
        .split_once('=')
        .ok_or_else(|| usage(format!("{assignment:?} is not 'field=value'")))?;
    let effect = RuleEffect::default();
    match field {
        "class" => {
            let class = value.parse().map_err(|e| usage(format!("class: {e}")))?;
            Ok((
                "class",
                RuleEffect {
                    class: Some(class),
                    ..effect
                },
            ))
        }
        "zones" => {
            let zones = value.split('+').map(str::parse).collect::<Result<_, _>>();
            let zones = zones.map_err(|e| usage(format!("zones: {e}")))?;
            Ok((
                "zones",
                RuleEffect {
                    zones: Some(zones),
                    ..effect
                },
            ))
        }
        "hold" => {
            let hold = value
                .parse()
                .map_err(|_| usage("hold is true or false".to_owned()))?;
            Ok((
                "hold",
                RuleEffect {
                    hold: Some(hold),
                    ..effect
                },
            ))
        }
        _ => Err(usage(format!(
            "{field:?} can't be set for jobs; class, zones and hold can"
        ))),
    }
}

pub async fn delete(
    client: &Client,
    output: Output,
    options: &ChangeOptions,
    kind: ResourceKind,
    name: &str,
) -> Result<(), Trouble> {
    let operation = Operation::Delete {
        kind,
        name: name.to_owned(),
    };
    send(client, output, options, vec![operation]).await
}

async fn send(
    client: &Client,
    output: Output,
    options: &ChangeOptions,
    operations: Vec<Operation>,
) -> Result<(), Trouble> {
    let id = match &options.id {
        Some(id) => id.clone(),
        None => made_up_id()?,
    };
    let change = Change {
        id,
        base: options.base,
        operations,
    };
    let path = if options.dry_run {
        "/v1/config?dry-run=true"
    } else {
        "/v1/config"
    };
    let applied: Applied = client.json(Method::POST, path, Some(&change)).await?;
    match output {
        Output::Json => render::json(&applied),
        Output::Human if applied.dry_run => {
            render::line(&format!("would make revision {}", applied.revision))
        }
        Output::Human => render::line(&format!("revision {}", applied.revision)),
    }
}

fn made_up_id() -> Result<ChangeId, Trouble> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let text = format!("cli-{}-{}", now.as_nanos(), std::process::id());
    text.parse()
        .map_err(|e| Trouble::Local(format!("{text}: {e}")))
}

/// Returns a path with a selector in its query.
pub fn path(base: &str, selector: &Selector) -> String {
    let text = selector.to_string();
    if text.is_empty() {
        return base.to_owned();
    }
    let encoded: String = form_urlencoded::byte_serialize(text.as_bytes()).collect();
    format!("{base}?selector={encoded}")
}
