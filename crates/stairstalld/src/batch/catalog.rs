//! Keeps the operators' configuration up to date; never back to an older one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stairstall_core::batch::Catalog;
use stairstall_ports::{Change, Item, StoreFault};

use super::node::{LIST_TIMEOUT, Node};

/// How long one watch waits. A watch that dies without a word holds a change back for no longer.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause before the store is asked again after a failure.
const STORE_PAUSE: Duration = Duration::from_millis(250);

/// Follows the configuration for as long as the daemon runs.
///
/// A read that took too long is given twice the time at the next try: a configuration of half a
/// megabyte takes a weak VM longer than other calls may, and no number of tries would bring it.
/// The first try stays short, since connections may be silent. Once the store serves again after a
/// cut, it reads anew: a watch from before hung for up to 4.8 s, and callers were refused by what was
/// in force before the cut.
pub(crate) async fn follow(node: Arc<Node>) {
    let shortest = node.settings.store_timeout;
    let mut patience = shortest;
    loop {
        let followed = tokio::select! {
            biased;
            followed = follow_store(&node, patience) => Some(followed),
            () = node.store_health.recovers() => None,
        };
        node.catalog_confirmed.store(false, Ordering::Release);
        match followed {
            Some(Ok(())) => patience = shortest,
            // The store's other answers show that it serves, not how long this one takes.
            None => {}
            Some(Err(fault)) => {
                log::debug!(target: "config", why:% = fault; "following the configuration again");
                patience = if fault.is_time_out() {
                    (patience * 2).min(LIST_TIMEOUT)
                } else {
                    shortest
                };
            }
        }
        if node.store_health.is_failing() {
            node.pause(STORE_PAUSE).await;
        }
    }
}

/// Reads the configuration within `patience`, then watches it until the watch ends.
///
/// # Errors
///
/// Returns why it could not be read; a watch that ended is read on from at once.
async fn follow_store(node: &Node, patience: Duration) -> Result<(), StoreFault> {
    let key = node.dialect.configuration_key();
    let (item, mut at) = node.read_at("read config", key, patience).await?;
    if let Some(item) = item {
        take(node, &item, "read");
    }
    node.catalog_confirmed.store(true, Ordering::Release);
    loop {
        let watched = node.store.watch(key, at, WATCH_WAIT);
        let watched = match node.stored("watch config", watched).await {
            Ok(watched) => watched,
            Err(fault) => {
                log::debug!(target: "config", why:% = fault; "the watch ended");
                return Ok(());
            }
        };
        at = watched.at;
        for change in &watched.changes {
            if let Change::Written(item) = change {
                take(node, item, "watch");
            }
        }
    }
}

fn take(node: &Node, item: &Item, source: &str) {
    match node.dialect.read_catalog(&item.value) {
        Ok(catalog) => put_in_force(node, catalog, source),
        Err(error) => {
            log::error!(target: "config", revision:% = item.revision, why:% = error;
                "the configuration can't be read; the one before stays in force");
        }
    }
}

/// Puts a configuration in force unless a newer one is.
pub(crate) fn put_in_force(node: &Node, catalog: Catalog, source: &str) {
    let version = catalog.version;
    let catalog = Arc::new(catalog);
    let newer = node.catalog.send_if_modified(|current| {
        let is_newer = current.as_ref().is_none_or(|c| c.version < version);
        if is_newer {
            *current = Some(Arc::clone(&catalog));
        }
        is_newer
    });
    if newer {
        node.telemetry.catalog(version);
        log::info!(target: "config", version, source;
            "in force: {} routes, {} customers", catalog.routes.len(), catalog.customers.len());
        if let Some(tenure) = node.tenure() {
            tenure.set_catalog(catalog);
        }
    }
}
