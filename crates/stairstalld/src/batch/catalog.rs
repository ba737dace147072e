//! Follows the operators' configuration in the store; never replaces it by an older version.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use stairstall_core::batch::Catalog;
use stairstall_http::CallError;
use stairstall_ports::{Change, Item, Revision, StoreFault};

use super::node::{LIST_TIMEOUT, Node};
use crate::daemon::lock;

/// Longest time for one watch call. If a watch misses a change, the change is seen after this time
/// at the latest.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Wait of a watch call that only asks for the changes so far.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
/// Delay before a failed store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Follows the configuration for as long as the daemon runs.
///
/// The whole configuration is read at first and after a connection broke. After calls that the store
/// refused or answered too late, only changes are asked for: when a slow store recovers, all daemons
/// come back to it together, and if each of them read the whole configuration, a large fleet would
/// fill the store's link with it. The answers to other calls would then be late, which looks like
/// the next outage.
///
/// The first call has the timeout of a listing. After a restart of the whole fleet, a shorter one
/// would break off most reads, whose answers wait for each other on the store's link, and repeat
/// them. Later calls begin with the store timeout, because the connection may be dead; it is doubled
/// after each call that timed out: on a weak VM a configuration of 500 kB takes longer.
///
/// When the store recovers after a partition, the changes are asked for by a new call. A watch
/// opened before the partition was seen to hang for up to 4.8 s, during which callers were refused
/// by the outdated configuration.
pub(crate) async fn follow(node: Arc<Node>) {
    let min_timeout = node.settings.store_timeout;
    let mut timeout = LIST_TIMEOUT;
    let mut known_at = None;
    loop {
        let followed = tokio::select! {
            biased;
            followed = catch_up_and_watch(&node, &mut known_at, &mut timeout) => Some(followed),
            () = node.store_health.wait_for_recovery() => None,
        };
        node.catalog_confirmed.store(false, Ordering::Release);
        // A recovery is seen by other calls, which does not show how long this one takes, so the
        // timeout then stays as it is.
        if let Some(Err(fault)) = followed {
            log::debug!(target: "config", why:% = fault; "asking for the configuration again");
            timeout = if fault.is_timeout() {
                (timeout * 2).min(LIST_TIMEOUT)
            } else {
                min_timeout
            };
        }
        if node.store_health.is_failing() {
            node.back_off(STORE_RETRY_DELAY).await;
        }
    }
}

/// Finds out about the newest configuration within `timeout`, which is then reset, and watches it
/// until the watch ends.
///
/// `known_at` is the store's revision up to which the configuration is known, `None` before it was
/// read.
///
/// # Errors
///
/// Returns why the newest configuration is not known. The end of a watch is not an error: the caller
/// catches up at once.
async fn catch_up_and_watch(
    node: &Node,
    known_at: &mut Option<Revision>,
    timeout: &mut Duration,
) -> Result<(), StoreFault> {
    let min_timeout = node.settings.store_timeout;
    let caught_up = match *known_at {
        None => read(node, *timeout).await,
        Some(at) => {
            let wait = timeout.saturating_sub(min_timeout);
            watch_once(node, at, wait.clamp(SHORTEST_WAIT, WATCH_TIMEOUT)).await
        }
    };
    *known_at = known_after(*known_at, &caught_up);
    let mut at = caught_up?;
    *timeout = min_timeout;
    node.catalog_confirmed.store(true, Ordering::Release);
    loop {
        let sent_at = node.clock.now();
        let watched = watch_once(node, at, WATCH_TIMEOUT).await;
        *known_at = known_after(*known_at, &watched);
        match watched {
            Ok(revision) => at = revision,
            Err(fault) => {
                let open_ms = crate::clock::millis(node.clock.now() - sent_at);
                if fault.is_timeout() {
                    log::warn!(target: "config", open_ms; "a configuration watch was not answered");
                } else {
                    log::debug!(target: "config", open_ms, why:% = fault; "configuration watch ended");
                }
                return Ok(());
            }
        }
    }
}

/// Returns the revision up to which the configuration is known after a call.
///
/// A call that the store refused or answered too late says nothing about what is known. After any
/// other failure the configuration is read again: the store cuts its watches when it drops the
/// history, and a watch may have missed a change just before that.
fn known_after(
    known_at: Option<Revision>,
    answer: &Result<Revision, StoreFault>,
) -> Option<Revision> {
    match answer {
        Ok(at) => Some(*at),
        Err(StoreFault::Refused(_) | StoreFault::Call(CallError::TimedOut(_))) => known_at,
        Err(_) => None,
    }
}

/// Reads the whole configuration; returns the store's revision.
async fn read(node: &Node, timeout: Duration) -> Result<Revision, StoreFault> {
    let key = node.dialect.configuration_key();
    let sent_at = node.clock.now();
    let (item, at) = node.read_at("read config", key, timeout).await?;
    if let Some(item) = item {
        apply_item(node, &item, "read");
    }
    lock(&node.catalog_freshness).confirm(sent_at);
    Ok(at)
}

/// Waits for changes of the configuration after a revision; returns the revision up to which it is
/// then known.
async fn watch_once(node: &Node, at: Revision, wait: Duration) -> Result<Revision, StoreFault> {
    let key = node.dialect.configuration_key();
    let watched = node.store.watch(key, at, wait);
    let sent_at = node.clock.now();
    let watched = node.store_call("watch config", watched).await?;
    for change in &watched.changes {
        if let Change::Written(item) = change {
            apply_item(node, item, "watch");
        }
    }
    lock(&node.catalog_freshness).confirm(sent_at);
    Ok(watched.revision)
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
