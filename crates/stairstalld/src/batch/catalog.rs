//! Follows the operators' configuration in the store; never replaces it by an older version.

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::batch::Catalog;
use stairstall_ports::{Change, Item, RefusedEntry, Revision, StoreFault};

use super::node::{IDLE_WATCH_WAIT, LIST_TIMEOUT, Node};
use crate::clock::millis;

/// Wait of a watch call that only asks for the changes so far.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
/// How often the store is asked to confirm the configuration before a call is handled without that.
/// The first attempt may meet a silent connection, the next one then opens another.
const CONFIRM_ATTEMPTS: u32 = 2;
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
/// The changes are asked for by a new call when the store recovers from an outage, and when a change
/// is known that the open watch has not shown: its connection may be silent.
pub(crate) async fn follow(node: Arc<Node>) {
    let min_timeout = node.settings.store_timeout;
    let mut timeout = LIST_TIMEOUT;
    loop {
        let followed = tokio::select! {
            biased;
            followed = catch_up_and_watch(&node, &mut timeout) => Some(followed),
            () = node.store_health.wait_for_recovery() => None,
            () = node.known_catalog.wait_for_missed_change() => None,
        };
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
/// # Errors
///
/// Returns why the newest configuration is not known. The end of a watch is not an error: the caller
/// catches up at once.
async fn catch_up_and_watch(node: &Node, timeout: &mut Duration) -> Result<(), StoreFault> {
    let mut at = catch_up(node, *timeout).await?;
    *timeout = node.settings.store_timeout;
    loop {
        let opened_at = node.clock.now();
        match read_changes(node, at, IDLE_WATCH_WAIT).await {
            Ok(revision) => at = revision,
            Err(fault) => {
                let open_ms = millis(node.clock.now() - opened_at);
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

/// Asks the store for the newest configuration, or for the changes alone where that suffices.
/// Returns the revision up to which it is then known.
async fn catch_up(node: &Node, timeout: Duration) -> Result<Revision, StoreFault> {
    let Some(at) = node.known_catalog.position() else {
        return read(node, timeout).await;
    };
    let wait = timeout.saturating_sub(node.settings.store_timeout);
    read_changes(node, at, wait.max(SHORTEST_WAIT)).await
}

/// Makes sure that the configuration is current before something is decided by it, and asks the store
/// where that is not known, unless `is_outage`. Returns whether it is current.
pub(crate) async fn confirm(node: &Node, is_outage: impl Fn() -> bool) -> bool {
    let max_age = node.settings.bounds.max_configuration_age();
    confirm_within(node, max_age, is_outage).await
}

/// Like [`confirm`], for a copy that must have been the newest at most `max_age` ago.
async fn confirm_within(node: &Node, max_age: Duration, is_outage: impl Fn() -> bool) -> bool {
    let is_current = || node.known_catalog.is_within(max_age, node.clock.now());
    for _ in 0..CONFIRM_ATTEMPTS {
        // The first read is left to `follow`, so that a new daemon reads the configuration once.
        if is_current() || node.current_catalog().is_none() {
            break;
        }
        let _turn = node.known_catalog.confirming().await;
        if is_current() || is_outage() {
            break;
        }
        let version = node.catalog_version();
        if let Err(fault) = catch_up(node, node.settings.store_timeout).await {
            log::debug!(target: "config", why:% = fault; "the configuration could not be confirmed");
        }
        if node.catalog_version() > version {
            node.known_catalog.report_missed_change();
        }
    }
    is_current()
}

/// Confirms the configuration for a peer that the store does not serve. Takes a part of the time for
/// which the peer waits.
pub(crate) async fn confirm_for_peers(node: &Node) {
    // A peer can rely on it for the rest of that time.
    let max_age = node.settings.bounds.max_configuration_age() / 2;
    let is_outage = || node.store_health.should_fail_fast(node.clock.now());
    let limit = node.settings.policy.peers.probe_timeout / 2;
    let _ = tokio::time::timeout(limit, confirm_within(node, max_age, is_outage)).await;
}

/// Reads the whole configuration; returns the store's revision.
async fn read(node: &Node, timeout: Duration) -> Result<Revision, StoreFault> {
    let key = node.dialect.configuration_key();
    let sent_at = node.clock.now();
    let read = node.read_at("read config", key, timeout).await;
    let (item, at) = read.inspect_err(|fault| node.known_catalog.record_fault(fault))?;
    if let Some(item) = item {
        apply_item(node, &item, "read");
    }
    node.known_catalog.record_read(at, sent_at);
    Ok(at)
}

/// Waits for changes of the configuration after a revision; returns the revision up to which it is
/// then known.
async fn read_changes(node: &Node, at: Revision, wait: Duration) -> Result<Revision, StoreFault> {
    let key = node.dialect.configuration_key();
    let sent_at = node.clock.now();
    let watched = node.store.watch(key, at, wait);
    let watched = node.store_call("watch config", watched).await;
    let watched = watched.inspect_err(|fault| node.known_catalog.record_fault(fault))?;
    for change in &watched.changes {
        if let Change::Written(item) = change {
            apply_item(node, item, "watch");
        }
    }
    node.known_catalog.record_changes(watched.revision, sent_at);
    Ok(watched.revision)
}

/// Activates a configuration as it is stored; returns whether it is newer than the active one.
pub(crate) fn apply_item(node: &Node, item: &Item, source: &str) -> bool {
    match node.dialect.read_catalog(&item.value) {
        Ok(read) => {
            report_refused(node, read.catalog.version, &read.refused);
            activate(node, read.catalog, source)
        }
        Err(error) => {
            log::error!(target: "config", revision:% = item.revision, why:% = error;
                "can't decode the configuration; the previous one stays active");
            false
        }
    }
}

/// Reports the entries of a configuration that could not be read, once for each version.
fn report_refused(node: &Node, version: u64, refused: &[RefusedEntry]) {
    if !node.telemetry.refused_entries(version, refused) {
        return;
    }
    for entry in refused {
        log::error!(target: "config", version, entry = entry.entry, why = entry.why;
            "an entry of the configuration can't be read; the rest is in force");
    }
}

/// Activates a configuration unless a newer one is already active; returns whether it was activated.
pub(crate) fn activate(node: &Node, catalog: Catalog, source: &str) -> bool {
    let version = catalog.version;
    if version > Catalog::MAX_VERSION {
        log::error!(target: "config", version, source;
            "no later version could follow this one; the previous one stays active");
        return false;
    }
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
    is_activated
}
