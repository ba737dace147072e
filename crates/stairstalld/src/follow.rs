//! Keeps the configuration and the VM list up to date.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use stairstall_core::config::{Configuration, Head, OfferOutcome, Revision};
use stairstall_core::protocol::{VmList, VmRole};
use stairstall_core::routing::MinionInfo;
use stairstall_store::{Event, StoreError};

use crate::daemon::{Daemon, lock};
use crate::keys;

/// How long a watch may be silent before the head is read again: a watch that
/// died without a word must not keep a change back for longer than this.
const WATCH_PATIENCE: Duration = Duration::from_secs(3);
/// Pause before the store is asked again after a failure.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// How often the platform's list of VMs is read.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest call to the list.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows the configuration's head for as long as the daemon runs.
pub(crate) async fn follow_configuration(daemon: Arc<Daemon>) {
    loop {
        if let Err(error) = follow_once(&daemon).await {
            daemon.note_store(!matches!(error, StoreError::Call(_)));
            log::debug!(target: "config", error:% = error; "following the configuration again");
        }
        tokio::time::sleep(STORE_PAUSE).await;
    }
}

/// Reads the head, then watches it until the watch ends or is silent for too long.
async fn follow_once(daemon: &Daemon) -> Result<(), StoreError> {
    let head = daemon.store.get(keys::CONFIG_HEAD).await?;
    daemon.note_store(true);
    let mut next = 1;
    if let Some(entry) = head {
        next = entry.revision + 1;
        offer_entry(daemon, &entry).await?;
    }
    let mut watch = daemon.store.watch(keys::CONFIG_HEAD, false, next).await?;
    loop {
        match watch.next(WATCH_PATIENCE).await? {
            Some(Event::Put(entry)) => offer_entry(daemon, &entry).await?,
            Some(Event::Delete(_)) => {}
            None => check_head(daemon).await?,
        }
    }
}

/// Reads the head while the watch is silent, in case it died.
async fn check_head(daemon: &Daemon) -> Result<(), StoreError> {
    let head = daemon.store.get(keys::CONFIG_HEAD).await?;
    daemon.note_store(true);
    let Some(entry) = head else { return Ok(()) };
    let newer = entry
        .read::<Head>()
        .is_some_and(|h| h.revision > daemon.configuration().revision);
    if newer {
        return Err(StoreError::WatchEnded);
    }
    Ok(())
}

async fn offer_entry(daemon: &Daemon, entry: &stairstall_store::Entry) -> Result<(), StoreError> {
    let Some(head) = entry.read::<Head>() else {
        log::error!(target: "config", key = keys::CONFIG_HEAD; "the head can't be read");
        return Ok(());
    };
    take_head(daemon, &head).await
}

/// Brings a head into force, with the snapshot it starts from where changes are missing.
pub(crate) async fn take_head(daemon: &Daemon, head: &Head) -> Result<(), StoreError> {
    let offer = lock(&daemon.follower).offer_head(head);
    if let OfferOutcome::NeedsSnapshot(revision) = offer {
        if let Some(snapshot) = read_snapshot(daemon, revision).await? {
            lock(&daemon.follower).offer_configuration(snapshot);
        }
        lock(&daemon.follower).offer_head(head);
    }
    note_revision(daemon);
    Ok(())
}

async fn read_snapshot(
    daemon: &Daemon,
    revision: Revision,
) -> Result<Option<Configuration>, StoreError> {
    let entry = daemon.store.get(&keys::config_snapshot(revision)).await?;
    Ok(entry.and_then(|entry| entry.read()))
}

/// Tells the rest of the daemon which revision is in force.
pub(crate) fn note_revision(daemon: &Daemon) {
    let revision = daemon.configuration().revision;
    let changed = daemon.revision_changed.send_if_modified(|known| {
        let newer = revision.0 > *known;
        *known = (*known).max(revision.0);
        newer
    });
    if changed {
        daemon.metrics.gauge("config.revision", revision.0);
        log::info!(target: "config", revision = revision.0; "configuration in force");
    }
}

/// Reads the platform's list of VMs for as long as the daemon runs.
pub(crate) async fn follow_vms(daemon: Arc<Daemon>) {
    loop {
        match read_vms(&daemon).await {
            Ok(list) => take_vms(&daemon, list),
            Err(error) => {
                log::debug!(target: "vms", error:% = error; "the list of VMs can't be read");
            }
        }
        tokio::time::sleep(VM_LIST_INTERVAL).await;
    }
}

async fn read_vms(daemon: &Daemon) -> Result<VmList, stairstall_http::CallError> {
    let address = daemon.settings.vm_list;
    let answer = daemon
        .http
        .json::<()>(Method::GET, address, "/vms", None, VM_LIST_TIMEOUT);
    answer.await?.read()
}

fn take_vms(daemon: &Daemon, list: VmList) {
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
    daemon.vms.send_if_modified(|known| {
        let changed = **known != list;
        if changed {
            *known = Arc::new(list);
        }
        changed
    });
}
