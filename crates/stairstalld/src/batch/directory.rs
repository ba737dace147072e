//! Keeps the planner's list of workers up to date with the worker directory in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::WorkerId;
use stairstall_ports::{Change, Item, Revision, StoreFault};

use super::node::Node;
use super::tenure::Tenure;

/// Longest time for one watch call. If a watch misses a change, the change is seen after this time
/// at the latest. From 2 s after a worker has announced in the store that it is leaving, it must get
/// no new work.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between watch calls, which collects changes into batches: every heartbeat of a worker is a
/// change.
const BATCH_DELAY: Duration = Duration::from_millis(400);
/// Number of changes in one response from which the next watch call follows without delay. The
/// store returns a limited number of changes at a time; with 3,000 workers a planner that delayed
/// each call would fall further and further behind.
const LARGE_BATCH: usize = 200;
/// Number of entries that are applied before other tasks run. Applying thousands at once would delay
/// the renewal of the planner's lease.
const ENTRIES_PER_TURN: usize = 200;
/// Delay before a failed store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the whole directory and removes workers from the planner that are no longer listed.
pub(crate) async fn load(node: &Node, tenure: &Tenure) -> Result<Revision, StoreFault> {
    let prefix = node.dialect.directory_prefix();
    let (items, at) = node.read_all("list workers", prefix).await?;
    let mut listed: BTreeSet<WorkerId> = BTreeSet::new();
    for entries in items.chunks(ENTRIES_PER_TURN) {
        listed.extend(
            entries
                .iter()
                .filter_map(|item| apply_item(node, tenure, item)),
        );
        tokio::task::yield_now().await;
    }
    tenure.with_planner(|planner, now| {
        let known: Vec<WorkerId> = planner.workers().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            planner.handle_unlisted_worker(id, now);
        }
    });
    Ok(at)
}

fn parse_worker_id(node: &Node, key: &str) -> Option<WorkerId> {
    key.strip_prefix(node.dialect.directory_prefix())?
        .parse()
        .ok()
}

fn apply_item(node: &Node, tenure: &Tenure, item: &Item) -> Option<WorkerId> {
    let id = parse_worker_id(node, &item.key)?;
    match node.dialect.read_worker(id.clone(), &item.value) {
        Ok(listed) => {
            tenure.with_planner(|planner, now| planner.handle_listed_worker(listed, now));
            Some(id)
        }
        Err(error) => {
            // Other programs can write any value here. An entry that can't be read lists no usable
            // worker.
            log::warn!(target: "directory", worker:% = id, why:% = error; "directory entry lists no usable worker");
            tenure.with_planner(|planner, now| planner.handle_unlisted_worker(&id, now));
            None
        }
    }
}

/// Follows the directory for as long as the tenure lasts.
pub(crate) async fn follow(node: Arc<Node>, tenure: Arc<Tenure>, mut at: Revision) {
    loop {
        if let Err(fault) = watch(&node, &tenure, at).await {
            log::debug!(target: "directory", why:% = fault; "reading the worker directory again");
        }
        at = loop {
            match load(&node, &tenure).await {
                Ok(at) => break at,
                Err(_) => node.back_off(STORE_RETRY_DELAY).await,
            }
        };
    }
}

/// Watches the directory until the changes since `at` can't be read.
///
/// A watch is opened again where it began if it is answered too late, and when the store recovers
/// from an outage: its connection may have become silent.
async fn watch(node: &Node, tenure: &Tenure, mut at: Revision) -> Result<(), StoreFault> {
    let prefix = node.dialect.directory_prefix();
    loop {
        let watched = node.store.watch(prefix, at, WATCH_TIMEOUT);
        let watched = tokio::select! {
            watched = node.store_call("watch workers", watched) => watched,
            () = node.store_health.wait_for_recovery() => continue,
        };
        let watched = match watched {
            Err(fault) if fault.is_timeout() => continue,
            watched => watched?,
        };
        at = watched.revision;
        for change in &watched.changes {
            match change {
                Change::Written(item) => {
                    apply_item(node, tenure, item);
                }
                Change::Deleted { key, .. } => {
                    if let Some(id) = parse_worker_id(node, key) {
                        tenure
                            .with_planner(|planner, now| planner.handle_unlisted_worker(&id, now));
                    }
                }
            }
        }
        if watched.changes.len() < LARGE_BATCH {
            tokio::time::sleep(BATCH_DELAY).await;
        }
    }
}
