//! Keeps the configuration and the list of VMs up to date.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use serde::Deserialize;
use serde_json::value::RawValue;
use stairstall_core::config::{Configuration, Head, OfferOutcome, Revision};
use stairstall_core::protocol::{VmEntry, VmList, VmRole};
use stairstall_core::routing::MinionInfo;
use stairstall_store::{Event, StoreError};

use tokio::time::MissedTickBehavior;

use crate::daemon::{Daemon, lock};
use crate::keys;

/// How long a watch may be silent before the head is read again. A watch whose connection died
/// unnoticed must not delay a change for longer than this.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay before the watch is opened again after a failure.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How often the platform's list of VMs is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for reading the list of VMs.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the configuration's head for as long as the daemon runs.
pub(crate) async fn follow_configuration(daemon: Arc<Daemon>) {
    loop {
        if let Err(error) = follow_once(&daemon).await {
            daemon.record_store_answer(!matches!(error, StoreError::Call(_)));
            log::debug!(target: "config", error:% = error; "watch of the configuration ended; opening it again");
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
}

/// Reads the head, then watches it until the watch ends or is silent for too long.
async fn follow_once(daemon: &Daemon) -> Result<(), StoreError> {
    let head = daemon.store.get(keys::CONFIG_HEAD).await?;
    daemon.record_store_answer(true);
    let mut next = 1;
    if let Some(entry) = head {
        next = entry.revision + 1;
        apply_entry(daemon, &entry).await?;
    }
    let mut watch = daemon.store.watch(keys::CONFIG_HEAD, false, next).await?;
    loop {
        match watch.next(WATCH_TIMEOUT).await? {
            Some(Event::Put(entry)) => apply_entry(daemon, &entry).await?,
            Some(Event::Delete(_)) => {}
            None => check_head(daemon).await?,
        }
    }
}

/// Reads the head while the watch is silent; returns an error if the watch missed a change.
async fn check_head(daemon: &Daemon) -> Result<(), StoreError> {
    let head = daemon.store.get(keys::CONFIG_HEAD).await?;
    daemon.record_store_answer(true);
    let Some(entry) = head else { return Ok(()) };
    let newer = entry
        .read::<Head>()
        .is_some_and(|h| h.revision > daemon.configuration().revision);
    if newer {
        return Err(StoreError::WatchEnded);
    }
    Ok(())
}

async fn apply_entry(daemon: &Daemon, entry: &stairstall_store::Entry) -> Result<(), StoreError> {
    let Some(head) = entry.read::<Head>() else {
        log::error!(target: "config", key = keys::CONFIG_HEAD; "could not parse the head of the configuration");
        return Ok(());
    };
    apply_head(daemon, &head).await
}

/// Applies the head of the configuration. If changes before it are missing here, reads the snapshot
/// that it starts from.
pub(crate) async fn apply_head(daemon: &Daemon, head: &Head) -> Result<(), StoreError> {
    let offer = lock(&daemon.follower).offer_head(head);
    if let OfferOutcome::NeedsSnapshot(revision) = offer {
        if let Some(snapshot) = read_snapshot(daemon, revision).await? {
            lock(&daemon.follower).offer_configuration(snapshot);
        }
        lock(&daemon.follower).offer_head(head);
    }
    publish_revision(daemon);
    Ok(())
}

async fn read_snapshot(
    daemon: &Daemon,
    revision: Revision,
) -> Result<Option<Configuration>, StoreError> {
    let entry = daemon.store.get(&keys::config_snapshot(revision)).await?;
    Ok(entry.and_then(|entry| entry.read()))
}

/// Notifies the rest of the daemon of the revision in effect.
pub(crate) fn publish_revision(daemon: &Daemon) {
    let revision = daemon.configuration().revision;
    let changed = daemon.revision_changed.send_if_modified(|current| {
        let newer = revision.0 > *current;
        *current = (*current).max(revision.0);
        newer
    });
    if changed {
        daemon.metrics.gauge("config.revision", revision.0);
        log::info!(target: "config", revision = revision.0; "configuration in effect");
    }
}

/// Reads the platform's list of VMs for as long as the daemon runs.
pub(crate) async fn follow_vms(daemon: Arc<Daemon>) {
    let mut due = tokio::time::interval(VM_LIST_INTERVAL);
    due.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        due.tick().await;
        match read_vms(&daemon).await {
            Ok(list) => apply_vms(&daemon, list),
            Err(error) => {
                log::debug!(target: "vms", error:% = error; "could not read the list of VMs");
            }
        }
    }
}

async fn read_vms(daemon: &Daemon) -> Result<VmList, stairstall_http::CallError> {
    let address = daemon.settings.vm_list;
    let answer = daemon
        .http
        .json::<()>(Method::GET, address, "/vms", None, VM_LIST_TIMEOUT);
    let raw: RawVmList = answer.await?.read()?;
    Ok(VmList {
        vms: raw.vms.iter().filter_map(|entry| read_vm(entry)).collect(),
    })
}

/// The list of VMs with entries that are not decoded yet, so that one odd entry hides no other.
#[derive(Debug, Deserialize)]
struct RawVmList {
    vms: Vec<Box<RawValue>>,
}

/// Reads an entry of the list; an entry that can't be read names no VM.
fn read_vm(entry: &RawValue) -> Option<VmEntry> {
    let read = serde_json::from_str(entry.get());
    read.inspect_err(|error| {
        log::debug!(target: "vms", error:% = error; "an entry in the list of VMs can't be read");
    })
    .ok()
}

/// Passes a new list of VMs to the dispatcher and to the rest of the daemon.
fn apply_vms(daemon: &Daemon, list: VmList) {
    let minions = list.vms.iter().filter(|vm| vm.zone == daemon.settings.zone);
    let minions = minions.filter_map(|vm| {
        let VmRole::Minion { service } = &vm.role else {
            return None;
        };
        Some(MinionInfo {
            id: vm.id.as_str().parse().ok()?,
            address: vm.address,
            service: service.clone(),
            state: vm.state,
            born_unix_ms: vm.born_unix_ms,
        })
    });
    daemon.dispatcher.set_minions(minions.collect());
    daemon.vms.send_if_modified(|current| {
        let changed = **current != list;
        if changed {
            *current = Arc::new(list);
        }
        changed
    });
}
