//! Keeps the planner's list of evacuated availability zones up to date.
//!
//! One poll reads all that operators have written, so it confirms the configuration as well.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::{Timestamp, ZoneId};
use stairstall_ports::{Change, Revision, StoreFault};

use super::catalog;
use super::node::Node;
use super::tenure::Tenure;

/// Number of polls within the time limit for an evacuation to take effect. At the default limit of
/// 5 s this is one poll per second. The store is polled because a watch may receive nothing for a
/// while and then fail because the history that it needs has been compacted.
const POLLS_PER_LIMIT: u32 = 5;
/// Delay before a failed store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// What was read of the operators' keys.
#[derive(Debug)]
pub(crate) struct OperatorKeys {
    zones: BTreeSet<ZoneId>,
    /// Revision from which changes are still to be read.
    at: Revision,
    /// Whether all changes of the configuration up to `at` are known here.
    includes_catalog: bool,
}

/// Reads which zones are evacuated and passes them to the planner.
pub(crate) async fn load(node: &Node, tenure: &Tenure) -> Result<OperatorKeys, StoreFault> {
    let prefix = node.dialect.evacuated_zone_prefix();
    let requested_at = node.clock.now();
    let (items, listed_at) = node.read_all("list evacuations", prefix).await?;
    let zones: BTreeSet<ZoneId> = items
        .iter()
        .filter_map(|item| parse_zone(prefix, &item.key))
        .collect();
    update_planner(tenure, &zones, requested_at);
    let catalog_at = node.known_catalog.position();
    Ok(OperatorKeys {
        zones,
        at: catalog_at.map_or(listed_at, |at| at.min(listed_at)),
        includes_catalog: catalog_at.is_some(),
    })
}

fn update_planner(tenure: &Tenure, zones: &BTreeSet<ZoneId>, requested_at: Timestamp) {
    let zones = zones.clone();
    tenure.with_planner(|planner, now| planner.set_evacuated_zones(zones, requested_at, now));
}

fn parse_zone(prefix: &str, key: &str) -> Option<ZoneId> {
    let name = key.strip_prefix(prefix)?;
    match ZoneId::from_platform(name) {
        Ok(zone) => Some(zone),
        Err(error) => {
            log::error!(target: "zone", key, why:% = error; "evacuation entry names no valid zone");
            None
        }
    }
}

/// Polls for as long as the tenure lasts; [`load`] has done the first read.
pub(crate) async fn follow(node: Arc<Node>, tenure: Arc<Tenure>, mut keys: OperatorKeys) {
    let interval = node.settings.bounds.evacuation_limit / POLLS_PER_LIMIT;
    loop {
        tokio::time::sleep(interval).await;
        while let Err(fault) = poll(&node, &tenure, &mut keys).await {
            log::debug!(target: "zone", why:% = fault; "reading the evacuated zones again");
            node.back_off(STORE_RETRY_DELAY).await;
        }
    }
}

/// Reads what operators have written since the last poll. Reads the evacuated zones anew if the store
/// no longer has the changes.
async fn poll(node: &Node, tenure: &Tenure, keys: &mut OperatorKeys) -> Result<(), StoreFault> {
    let requested_at = node.clock.now();
    let prefix = node.dialect.operator_prefix();
    let polled = node.store.watch(prefix, keys.at, Duration::ZERO);
    let polled = match node.store_call("poll operators", polled).await {
        Ok(polled) => polled,
        Err(StoreFault::Compacted) => {
            *keys = load(node, tenure).await?;
            return Ok(());
        }
        Err(fault) => return Err(fault),
    };
    for change in &polled.changes {
        apply_change(node, keys, change);
    }
    keys.at = polled.revision;
    if keys.includes_catalog {
        node.known_catalog
            .record_changes(polled.revision, requested_at);
    }
    update_planner(tenure, &keys.zones, requested_at);
    Ok(())
}

fn apply_change(node: &Node, keys: &mut OperatorKeys, change: &Change) {
    let prefix = node.dialect.evacuated_zone_prefix();
    match change {
        Change::Written(item) if item.key == node.dialect.configuration_key() => {
            if catalog::apply_item(node, item, "poll") {
                node.known_catalog.report_missed_change();
            }
        }
        Change::Written(item) => {
            if item.key.starts_with(prefix) {
                keys.zones.extend(parse_zone(prefix, &item.key));
            }
        }
        Change::Deleted { key, .. } => {
            if key.starts_with(prefix)
                && let Some(zone) = parse_zone(prefix, key)
            {
                keys.zones.remove(&zone);
            }
        }
    }
}
