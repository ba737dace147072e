//! Writes the progress of jobs to the store in batches, for as long as this daemon holds the role.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use stairstall_core::JobId;
use stairstall_core::batch::{Planner, ProgressWrite};
use stairstall_ports::{Commit, Committed, Item, Revision, StoreFault};
use tokio::time::Instant;

use super::node::Node;
use super::tenure::Tenure;
use super::{kept, keys};

/// Revisions of the progress keys by job.
pub(crate) type Revisions = BTreeMap<JobId, Revision>;

/// Delay after a failure.
const PAUSE: Duration = Duration::from_millis(40);
/// Interval at which expired jobs are removed.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Number of expired jobs removed by one write.
const JOBS_PER_FORGET: usize = 9;

/// A completed write and its outcome.
struct Sent {
    writes: Vec<ProgressWrite>,
    /// Total length of the written values.
    bytes: usize,
    outcome: Result<Committed, StoreFault>,
}

/// The progress writes of one tenure.
struct Writer {
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    revisions: Revisions,
    /// Jobs whose progress is being written.
    busy: BTreeSet<JobId>,
    /// Total length of the values that are being written.
    bytes_under_way: usize,
    /// When expired jobs were last removed.
    forgot_at: Instant,
    under_way: FuturesUnordered<BoxFuture<'static, Sent>>,
}

/// Writes progress for as long as the tenure lasts.
///
/// While the store is fast there is one write at a time, so that more changes are collected in
/// each. While it is slow, the progress of further jobs is written concurrently.
pub(crate) async fn run(node: Arc<Node>, tenure: Arc<Tenure>, revisions: Revisions) {
    let mut writer = Writer {
        node,
        tenure,
        revisions,
        busy: BTreeSet::new(),
        bytes_under_way: 0,
        forgot_at: Instant::now(),
        under_way: FuturesUnordered::new(),
    };
    loop {
        if writer.under_way.is_empty() {
            writer.wait_for_work().await;
        }
        if writer.may_send_more() {
            writer.send_next();
        }
        writer.take_answer().await;
    }
}

impl Writer {
    fn may_send_more(&self) -> bool {
        let most = self.node.settings.policy.writing.max_in_flight;
        self.under_way.len() < usize::from(most) && self.bytes_under_way < self.window()
    }

    /// Returns the largest number of bytes in flight. More bytes would only queue on the link,
    /// ahead of orders.
    fn window(&self) -> usize {
        let per_s = self.node.settings.vm_limits().link_bytes_per_s;
        let window = self.node.settings.policy.writing.link_window;
        usize::try_from(u128::from(per_s) * window.as_millis() / 1000).unwrap_or(usize::MAX)
    }

    async fn wait_for_work(&mut self) {
        if self.forgot_at.elapsed() >= FORGET_INTERVAL {
            self.forgot_at = Instant::now();
            forget(&self.node, &self.tenure, &mut self.revisions).await;
        }
        if self.tenure.with(|planner, _| planner.has_writes()) {
            return;
        }
        let dirty = self.tenure.dirty.notified();
        let woken = tokio::time::timeout(FORGET_INTERVAL, dirty).await;
        if woken.is_ok() {
            tokio::time::sleep(self.node.settings.policy.writing.batch_delay).await;
        }
    }

    /// Writes the progress of jobs that have changes and no write in flight.
    fn send_next(&mut self) {
        let busy = &self.busy;
        let jobs = usize::from(self.node.settings.policy.writing.jobs_per_write);
        let writes = self
            .tenure
            .with(|planner, now| planner.take_writes(jobs, busy, now));
        if writes.is_empty() {
            return;
        }
        let (commit, writes, bytes) = self.fill(writes);
        self.busy.extend(writes.iter().map(|w| w.job.clone()));
        self.bytes_under_way += bytes;
        let node = Arc::clone(&self.node);
        let sent = async move {
            let call = node.store.commit(commit);
            let outcome = node.stored("write progress", call).await;
            Sent {
                writes,
                bytes,
                outcome,
            }
        };
        self.under_way.push(sent.boxed());
    }

    /// Adds writes to a commit up to the byte window, at least one, and returns the others to the
    /// planner. Returns the commit, the writes in it, and the total length of their values.
    fn fill(&self, writes: Vec<ProgressWrite>) -> (Commit, Vec<ProgressWrite>, usize) {
        let left = self.window().saturating_sub(self.bytes_under_way);
        let mut commit = Commit::default().when(keys::PLANNER, self.tenure.role_revision);
        let mut sent = Vec::new();
        let mut bytes = 0;
        for write in writes {
            if bytes > left {
                self.tenure
                    .with(|planner, _| planner.progress_write_failed(&write.job));
                continue;
            }
            match kept::write(&write.progress) {
                Ok(value) => {
                    let key = keys::progress(&write.job);
                    let revision = self.revisions.get(&write.job).copied().unwrap_or_default();
                    bytes += value.len();
                    commit = commit.when(key.clone(), revision).put(key, value);
                    sent.push(write);
                }
                Err(error) => {
                    log::error!(target: "writer", job:% = write.job, why:% = error; "can't encode the job's progress");
                }
            }
        }
        (commit, sent, bytes)
    }

    /// Waits for the next write to complete. Stops waiting after a while if another write can be
    /// sent.
    async fn take_answer(&mut self) {
        let may_send_more = self.may_send_more();
        let next = self.under_way.next();
        let sent = if may_send_more {
            tokio::time::timeout(self.node.settings.policy.writing.pipeline_after, next).await
        } else {
            Ok(next.await)
        };
        let Ok(Some(sent)) = sent else {
            return;
        };
        self.bytes_under_way -= sent.bytes;
        for write in &sent.writes {
            self.busy.remove(&write.job);
        }
        if !self.lasts(&sent) {
            self.tenure.with(|planner, _| {
                for write in &sent.writes {
                    planner.progress_write_failed(&write.job);
                }
            });
            self.node.pause(PAUSE).await;
        }
    }

    /// Handles the outcome of a write; returns whether it was stored.
    fn lasts(&mut self, sent: &Sent) -> bool {
        match &sent.outcome {
            Ok(Committed::Done(revision)) => {
                let revisions = &mut self.revisions;
                self.tenure.with(|planner, _| {
                    for write in &sent.writes {
                        planner.progress_written(&write.job, write.change);
                        revisions.insert(write.job.clone(), *revision);
                    }
                });
                self.tenure.written.notify_waiters();
                true
            }
            Ok(Committed::Conflict(items)) => {
                take_conflict(&self.tenure, &mut self.revisions, &sent.writes, items);
                false
            }
            Ok(Committed::NoLease) | Err(_) => false,
        }
    }
}

/// Handles a failed condition: ends the tenure if another planner holds the role, else takes over
/// the current revisions of the progress keys.
fn take_conflict(
    tenure: &Tenure,
    revisions: &mut Revisions,
    writes: &[ProgressWrite],
    items: &[Item],
) {
    let holds = items
        .iter()
        .any(|item| item.key == keys::PLANNER && item.revision == tenure.role_revision);
    if !holds {
        tenure.give_up("another planner holds the role in the store");
        return;
    }
    for write in writes {
        let key = keys::progress(&write.job);
        let found = items.iter().find(|item| item.key == key);
        let revision = found.map(|item| item.revision).unwrap_or_default();
        revisions.insert(write.job.clone(), revision);
    }
}

/// Removes the records of expired jobs.
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
        log::info!(target: "forget", jobs = ids.len(), done = removed.is_ok(); "removing expired jobs");
    }
}
