//! Writes the jobs' progress to the store, many at a time, as long as the role is held.

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

/// Revisions of the progress keys, by job.
pub(crate) type Revisions = BTreeMap<JobId, Revision>;

/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(40);
/// How often ended jobs are looked through for those to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// Jobs that are forgotten in one write.
const JOBS_PER_FORGET: usize = 9;

/// A write that was sent, and what became of it.
struct Sent {
    writes: Vec<ProgressWrite>,
    /// Length of its values.
    bytes: usize,
    outcome: Result<Committed, StoreFault>,
}

/// The writes of one tenure.
struct Writer {
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    revisions: Revisions,
    /// Jobs whose progress is being written.
    busy: BTreeSet<JobId>,
    /// Length of the values that are being written.
    bytes_under_way: usize,
    /// When ended jobs were last looked through for those to forget.
    forgot_at: Instant,
    under_way: FuturesUnordered<BoxFuture<'static, Sent>>,
}

/// Writes for as long as the tenure lasts.
///
/// One write at a time, as long as the store is quick: more gathers in each.
/// While it is slow, further jobs' progress is sent beside.
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

    /// Returns how many bytes may be under way: more would only wait for the link, before orders.
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

    /// Sends what waits and is not being written already.
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

    /// Puts as many writes into a commit as the window lets, one at least, and gives the others
    /// back; returns the commit, what is in it, and the length of its values.
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
                    log::error!(target: "writer", job:% = write.job, why:% = error; "its progress can't be written");
                }
            }
        }
        (commit, sent, bytes)
    }

    /// Takes the next answer, or gives it up for now where it is time to send more beside.
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

    /// Takes what became of a write; true where it lasts.
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

/// Learns from the keys as they are who holds the role and what was written after all.
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
