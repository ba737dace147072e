//! Keeps the planner's list of evacuated availability zones up to date.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::ZoneId;
use stairstall_ports::StoreFault;

use super::node::Node;
use super::tenure::Tenure;

/// Number of polls within the time limit for an evacuation to take effect. At the default limit of
/// 5 s this is one poll per second. The store is polled because a watch may receive nothing for a
/// while and then fail because the history that it needs has been compacted.
const POLLS_PER_LIMIT: u32 = 5;
/// Delay before a failed store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads which zones are evacuated and passes them to the planner.
pub(crate) async fn load(node: &Node, tenure: &Tenure) -> Result<(), StoreFault> {
    let prefix = node.dialect.evacuated_zone_prefix();
    let requested_at = node.clock.now();
    let (items, _) = node.read_all("list evacuations", prefix).await?;
    let zones: BTreeSet<ZoneId> = items
        .iter()
        .filter_map(|item| parse_zone(prefix, &item.key))
        .collect();
    tenure.with_planner(|planner, now| planner.set_evacuated_zones(zones, requested_at, now));
    Ok(())
}

fn parse_zone(prefix: &str, key: &str) -> Option<ZoneId> {
    let name = key.strip_prefix(prefix)?;
    match name.parse() {
        Ok(zone) => Some(zone),
        Err(error) => {
            log::error!(target: "zone", key, why:% = error; "evacuation entry names no valid zone");
            None
        }
    }
}

/// Polls for as long as the tenure lasts; [`load`] has done the first read.
pub(crate) async fn follow(node: Arc<Node>, tenure: Arc<Tenure>) {
    let interval = node.settings.bounds.evacuation_limit / POLLS_PER_LIMIT;
    loop {
        tokio::time::sleep(interval).await;
        while let Err(fault) = load(&node, &tenure).await {
            log::debug!(target: "zone", why:% = fault; "reading the evacuated zones again");
            node.back_off(STORE_RETRY_DELAY).await;
        }
    }
}
