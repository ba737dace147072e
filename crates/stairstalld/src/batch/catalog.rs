//! Follows the operators' configuration in the store; never replaces it by an older version.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stairstall_core::batch::Catalog;
use stairstall_ports::{Change, Item, StoreFault};

use super::node::{LIST_TIMEOUT, Node};

/// Longest time for one watch call. If a watch misses a change, the change is seen after this time
/// at the latest.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a failed store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Follows the configuration for as long as the daemon runs.
///
/// After a read that timed out, the timeout is doubled: on a weak VM a configuration of 500 kB
/// takes longer than the store timeout, and every further read with that timeout would fail too.
/// The first read has the short timeout because the connection may be dead.
///
/// When the store recovers after a partition, the configuration is read again. A watch opened
/// before the partition was seen to hang for up to 4.8 s, during which callers were refused by the
/// outdated configuration.
pub(crate) async fn follow(node: Arc<Node>) {
    let min_timeout = node.settings.store_timeout;
    let mut read_timeout = min_timeout;
    loop {
        let followed = tokio::select! {
            biased;
            followed = read_and_watch(&node, read_timeout) => Some(followed),
            () = node.store_health.wait_for_recovery() => None,
        };
        node.catalog_confirmed.store(false, Ordering::Release);
        match followed {
            Some(Ok(())) => read_timeout = min_timeout,
            // The recovery was seen by other calls, which does not show how long this read takes,
            // so the timeout stays as it is.
            None => {}
            Some(Err(fault)) => {
                log::debug!(target: "config", why:% = fault; "reading the configuration again");
                read_timeout = if fault.is_timeout() {
                    (read_timeout * 2).min(LIST_TIMEOUT)
                } else {
                    min_timeout
                };
            }
        }
        if node.store_health.is_failing() {
            node.back_off(STORE_RETRY_DELAY).await;
        }
    }
}

/// Reads the configuration within `read_timeout`, then watches it until the watch ends.
///
/// # Errors
///
/// Returns why the configuration could not be read. The end of a watch is not an error: the caller
/// reads again at once.
async fn read_and_watch(node: &Node, read_timeout: Duration) -> Result<(), StoreFault> {
    let key = node.dialect.configuration_key();
    let (item, mut at) = node.read_at("read config", key, read_timeout).await?;
    if let Some(item) = item {
        apply_item(node, &item, "read");
    }
    node.catalog_confirmed.store(true, Ordering::Release);
    loop {
        let watched = node.store.watch(key, at, WATCH_TIMEOUT);
        let watched = match node.store_call("watch config", watched).await {
            Ok(watched) => watched,
            Err(fault) => {
                log::debug!(target: "config", why:% = fault; "configuration watch ended");
                return Ok(());
            }
        };
        at = watched.revision;
        for change in &watched.changes {
            if let Change::Written(item) = change {
                apply_item(node, item, "watch");
            }
        }
    }
}

fn apply_item(node: &Node, item: &Item, source: &str) {
    match node.dialect.read_catalog(&item.value) {
        Ok(catalog) => activate(node, catalog, source),
        Err(error) => {
            log::error!(target: "config", revision:% = item.revision, why:% = error;
                "can't decode the configuration; the previous one stays active");
        }
    }
}

/// Activates a configuration unless a newer one is already active.
pub(crate) fn activate(node: &Node, catalog: Catalog, source: &str) {
    let version = catalog.version;
    let catalog = Arc::new(catalog);
    let is_activated = node.catalog.send_if_modified(|current| {
        let is_newer = current.as_ref().is_none_or(|c| c.version < version);
        if is_newer {
            *current = Some(Arc::clone(&catalog));
        }
        is_newer
    });
    if is_activated {
        node.telemetry.catalog(version);
        log::info!(target: "config", version, source;
            "configuration in force: {} routes, {} customers", catalog.routes.len(), catalog.customers.len());
        if let Some(tenure) = node.tenure() {
            tenure.set_catalog(catalog);
        }
    }
}
