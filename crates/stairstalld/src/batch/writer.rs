//! Writes the jobs' progress to the store, many at a time, as long as the role is held.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::JobId;
use stairstall_core::batch::{Planner, Write};
use stairstall_ports::{Commit, Committed, Item, Revision};

use super::keys;
use super::node::Node;
use super::tenure::Tenure;

/// Revisions of the progress keys, by job.
pub(crate) type Revisions = BTreeMap<JobId, Revision>;

/// Jobs in one write: the store takes 32 entries, two a job and one for the role.
const JOBS_PER_WRITE: usize = 15;
/// How long ends are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(3);
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(80);
/// How often ended jobs are looked through for those to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Jobs that are forgotten in one write.
const JOBS_PER_FORGET: usize = 9;

/// Writes for as long as the tenure lasts.
pub(crate) async fn run(node: Arc<Node>, tenure: Arc<Tenure>, mut revisions: Revisions) {
    loop {
        let woken = tokio::time::timeout(FORGET_INTERVAL, tenure.dirty.notified()).await;
        if woken.is_err() {
            forget(&node, &tenure, &mut revisions).await;
            continue;
        }
        tokio::time::sleep(GATHER).await;
        loop {
            let writes = tenure.with(|planner, _| planner.take_writes(JOBS_PER_WRITE));
            if writes.is_empty() {
                break;
            }
            if !write(&node, &tenure, &mut revisions, &writes).await {
                tenure.with(|planner, _| {
                    for write in &writes {
                        planner.not_written(&write.job);
                    }
                });
                node.pause(PAUSE).await;
            }
        }
    }
}

/// Writes some jobs' progress; true where it lasts.
async fn write(node: &Node, tenure: &Tenure, revisions: &mut Revisions, writes: &[Write]) -> bool {
    let mut commit = Commit::default().when(keys::PLANNER, tenure.role_revision);
    for write in writes {
        let key = keys::progress(&write.job);
        let revision = revisions.get(&write.job).copied().unwrap_or_default();
        let Ok(value) = serde_json::to_vec(&write.progress) else {
            continue;
        };
        commit = commit.when(key.clone(), revision).put(key, value);
    }
    match node
        .stored("write progress", node.store.commit(commit))
        .await
    {
        Ok(Committed::Done(revision)) => {
            tenure.with(|planner, _| {
                for write in writes {
                    planner.written(&write.job, write.change);
                    revisions.insert(write.job.clone(), revision);
                }
            });
            tenure.written.notify_waiters();
            true
        }
        Ok(Committed::Conflict(items)) => {
            take_conflict(tenure, revisions, writes, &items);
            false
        }
        Ok(Committed::NoLease) | Err(_) => false,
    }
}

/// Learns from the keys as they are who holds the role and what was written after all.
fn take_conflict(tenure: &Tenure, revisions: &mut Revisions, writes: &[Write], items: &[Item]) {
    let holds = items
        .iter()
        .any(|item| item.key == keys::PLANNER && item.revision == tenure.role_revision);
    if !holds {
        tenure.give_up("the store has another planner");
        return;
    }
    for write in writes {
        let key = keys::progress(&write.job);
        let found = items.iter().find(|item| item.key == key);
        let revision = found.map(|item| item.revision).unwrap_or_default();
        revisions.insert(write.job.clone(), revision);
    }
}

/// Removes jobs that ended long ago.
async fn forget(node: &Node, tenure: &Tenure, revisions: &mut Revisions) {
    let expired = tenure.with(Planner::take_expired);
    for ids in expired.chunks(JOBS_PER_FORGET) {
        let mut commit = Commit::default().when(keys::PLANNER, tenure.role_revision);
        for id in ids {
            revisions.remove(id);
            commit = commit
                .remove(keys::job(id))
                .remove(keys::cancel(id))
                .remove(keys::progress(id));
        }
        let removed = node.stored("forget", node.store.commit(commit)).await;
        log::info!(target: "forget", jobs = ids.len(), done = removed.is_ok(); "ended long ago");
    }
}
