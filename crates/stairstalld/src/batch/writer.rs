//! Writes the progress of jobs to the store in batches, for as long as this daemon holds the role.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use stairstall_core::JobId;
use stairstall_core::batch::{Planner, ProgressWrite};
use stairstall_ports::{Commit, CommitOutcome, Item, Revision, StoreFault};
use tokio::time::Instant;

use super::encoding;
use super::node::Node;
use super::tenure::Tenure;
use crate::clock::millis;
use crate::keys;

/// Revisions of the progress keys by job.
pub(crate) type Revisions = BTreeMap<JobId, Revision>;

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time above which a write is logged as slow.
const SLOW_WRITE: Duration = Duration::from_millis(500);
/// Interval at which jobs are removed whose retention period after their end is over.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Number of expired jobs removed by one write. It has four entries for each job and one for the role;
/// the store accepts 32.
const JOBS_PER_REMOVAL: usize = 7;

/// A completed write and its outcome.
struct CompletedWrite {
    writes: Vec<ProgressWrite>,
    /// Total length of the written values, in bytes.
    bytes: usize,
    /// Time from sending it to its outcome.
    took: Duration,
    outcome: Result<CommitOutcome, StoreFault>,
}

impl CompletedWrite {
    /// Logs a write that failed or was slow: until it is stored, its jobs' ends are shown to nobody
    /// and their workers keep them.
    fn log_trouble(&self, token: u64) {
        let is_stored = matches!(self.outcome, Ok(CommitOutcome::Done(_)));
        if is_stored && self.took <= SLOW_WRITE {
            return;
        }
        let outcome = match &self.outcome {
            Ok(CommitOutcome::Done(_)) => "done".to_owned(),
            Ok(CommitOutcome::Conflict(_)) => "conflict".to_owned(),
            Ok(CommitOutcome::LeaseExpired) => "lease-expired".to_owned(),
            Err(fault) => fault.to_string(),
        };
        let first = self.writes.first().map(|write| write.job.to_string());
        log::warn!(target: "writer", token, jobs = self.writes.len(),
            job:% = first.unwrap_or_default(), ms = millis(self.took); "progress write: {outcome}");
    }
}

/// A job that the planner has dropped because its retention period is over.
#[derive(Debug, Clone)]
struct ExpiredJob {
    id: JobId,
    /// Revision of its progress. If the progress has another one, or none, the records were removed by
    /// an earlier try that got no answer, and those that are there belong to the next job of the name.
    progress: Revision,
}

/// The progress writes of one tenure.
struct Writer {
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    revisions: Revisions,
    /// Jobs whose progress is being written.
    jobs_in_flight: BTreeSet<JobId>,
    /// Total length of the values that are being written, in bytes.
    bytes_in_flight: usize,
    /// Expired jobs whose records are not known to be removed.
    expired: Vec<ExpiredJob>,
    /// When expired jobs were last removed.
    last_removal_at: Instant,
    in_flight: FuturesUnordered<BoxFuture<'static, CompletedWrite>>,
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
        jobs_in_flight: BTreeSet::new(),
        bytes_in_flight: 0,
        expired: Vec::new(),
        last_removal_at: Instant::now(),
        in_flight: FuturesUnordered::new(),
    };
    loop {
        if writer.in_flight.is_empty() {
            writer.wait_for_work().await;
        }
        if writer.can_send() {
            writer.start_write();
        }
        writer.await_completion().await;
    }
}

impl Writer {
    /// Returns whether another write may be sent while those in flight are open.
    fn can_send(&self) -> bool {
        let limit = self.node.settings.policy.writing.max_in_flight;
        self.in_flight.len() < usize::from(limit) && self.bytes_in_flight < self.byte_window()
    }

    /// Returns the number of bytes in flight from which no further write is sent. More bytes would
    /// queue on the link and delay orders.
    fn byte_window(&self) -> usize {
        let per_s = self.node.settings.vm_limits().link_bytes_per_s;
        let window = self.node.settings.policy.writing.link_window;
        usize::try_from(u128::from(per_s) * window.as_millis() / 1000).unwrap_or(usize::MAX)
    }

    /// Waits until there is progress to write, and removes expired jobs from time to time.
    async fn wait_for_work(&mut self) {
        if self.last_removal_at.elapsed() >= EXPIRY_INTERVAL {
            self.last_removal_at = Instant::now();
            self.remove_expired().await;
        }
        if self.tenure.with_planner(|planner, _| planner.has_writes()) {
            return;
        }
        let woken = self.tenure.writes_pending.notified();
        let woken = tokio::time::timeout(EXPIRY_INTERVAL, woken).await;
        if woken.is_ok() {
            tokio::time::sleep(self.node.settings.policy.writing.batch_delay).await;
        }
    }

    /// Writes the progress of jobs that have changes and no write in flight.
    fn start_write(&mut self) {
        let jobs_in_flight = &self.jobs_in_flight;
        let jobs = usize::from(self.node.settings.policy.writing.jobs_per_write);
        let writes = self
            .tenure
            .with_planner(|planner, now| planner.take_writes(jobs, jobs_in_flight, now));
        if writes.is_empty() {
            return;
        }
        let (commit, writes, bytes) = self.build_commit(writes);
        self.jobs_in_flight
            .extend(writes.iter().map(|w| w.job.clone()));
        self.bytes_in_flight += bytes;
        let node = Arc::clone(&self.node);
        let write = async move {
            let sent_at = Instant::now();
            let call = node.store.commit(commit);
            let outcome = node.store_call("write progress", call).await;
            CompletedWrite {
                writes,
                bytes,
                took: sent_at.elapsed(),
                outcome,
            }
        };
        self.in_flight.push(write.boxed());
    }

    /// Adds writes to a commit up to the byte window, at least one, and returns the others to the
    /// planner. Returns the commit, the writes in it, and the total length of their values.
    fn build_commit(&self, writes: Vec<ProgressWrite>) -> (Commit, Vec<ProgressWrite>, usize) {
        let left = self.byte_window().saturating_sub(self.bytes_in_flight);
        let mut commit = Commit::default().when(keys::PLANNER_ROLE, self.tenure.role_revision);
        let mut included = Vec::new();
        let mut bytes = 0;
        for write in writes {
            if bytes > left {
                self.tenure
                    .with_planner(|planner, _| planner.progress_write_failed(&write.job));
                continue;
            }
            match encoding::encode(&write.progress) {
                Ok(value) => {
                    let key = keys::batch_progress(&write.job);
                    let revision = self.revisions.get(&write.job).copied().unwrap_or_default();
                    bytes += value.len();
                    commit = commit.when(key.clone(), revision).put(key, value);
                    included.push(write);
                }
                Err(error) => {
                    log::error!(target: "writer", job:% = write.job, why:% = error; "can't encode the job's progress");
                }
            }
        }
        (commit, included, bytes)
    }

    /// Waits for the next write to complete and handles its outcome. If another write can be sent,
    /// waits no longer than `pipeline_after`.
    async fn await_completion(&mut self) {
        let can_send = self.can_send();
        let next = self.in_flight.next();
        let completed = if can_send {
            tokio::time::timeout(self.node.settings.policy.writing.pipeline_after, next).await
        } else {
            Ok(next.await)
        };
        let Ok(Some(completed)) = completed else {
            return;
        };
        completed.log_trouble(self.tenure.token());
        self.bytes_in_flight -= completed.bytes;
        for write in &completed.writes {
            self.jobs_in_flight.remove(&write.job);
        }
        if !self.handle_outcome(&completed) {
            self.tenure.with_planner(|planner, _| {
                for write in &completed.writes {
                    planner.progress_write_failed(&write.job);
                }
            });
            self.node.back_off(RETRY_DELAY).await;
        }
    }

    /// Handles the outcome of a write; returns whether it was stored.
    fn handle_outcome(&mut self, completed: &CompletedWrite) -> bool {
        match &completed.outcome {
            Ok(CommitOutcome::Done(revision)) => {
                let revisions = &mut self.revisions;
                self.tenure.with_planner(|planner, _| {
                    for write in &completed.writes {
                        planner.progress_written(&write.job, write.change);
                        revisions.insert(write.job.clone(), *revision);
                    }
                });
                self.tenure.write_done.notify_waiters();
                true
            }
            Ok(CommitOutcome::Conflict(items)) => {
                handle_conflict(&self.tenure, &mut self.revisions, &completed.writes, items);
                false
            }
            Ok(CommitOutcome::LeaseExpired) | Err(_) => false,
        }
    }

    /// Removes the records of expired jobs. What fails is tried again at the next call.
    async fn remove_expired(&mut self) {
        for id in self.tenure.with_planner(Planner::take_expired) {
            let progress = self.revisions.remove(&id).unwrap_or_default();
            self.expired.push(ExpiredJob { id, progress });
        }
        while !self.expired.is_empty() {
            let count = self.expired.len().min(JOBS_PER_REMOVAL);
            let commit = self.build_removal(&self.expired[..count]);
            let removed = self
                .node
                .store_call("forget", self.node.store.commit(commit));
            let removed = removed.await;
            let is_done = matches!(removed, Ok(CommitOutcome::Done(_)));
            log::info!(target: "forget", jobs = count, done = is_done; "removing expired jobs");
            match removed {
                Ok(CommitOutcome::Done(_)) => drop(self.expired.drain(..count)),
                Ok(CommitOutcome::Conflict(items)) => {
                    if !self.drop_changed(count, &items) {
                        return;
                    }
                }
                Ok(CommitOutcome::LeaseExpired) | Err(_) => return,
            }
        }
    }

    fn build_removal(&self, jobs: &[ExpiredJob]) -> Commit {
        let commit = Commit::default().when(keys::PLANNER_ROLE, self.tenure.role_revision);
        jobs.iter().fold(commit, |commit, job| {
            commit
                .when(keys::batch_progress(&job.id), job.progress)
                .remove(keys::batch_job(&job.id))
                .remove(keys::batch_cancellation(&job.id))
                .remove(keys::batch_progress(&job.id))
        })
    }

    /// Handles the conflict of a removal of the first `count` expired jobs: drops those whose progress
    /// is not the one that is known. Returns whether there were any; ends the tenure if another planner
    /// holds the role.
    fn drop_changed(&mut self, count: usize, items: &[Item]) -> bool {
        if !holds_role(&self.tenure, items) {
            return false;
        }
        let is_unchanged = |job: &ExpiredJob| {
            let key = keys::batch_progress(&job.id);
            let found = items.iter().find(|item| item.key == key);
            found.is_some_and(|item| item.revision == job.progress)
        };
        let tried: Vec<ExpiredJob> = self.expired.drain(..count).collect();
        let (unchanged, changed): (Vec<_>, Vec<_>) = tried.into_iter().partition(is_unchanged);
        for job in &changed {
            log::info!(target: "forget", job:% = job.id; "its records are gone, or those of another job");
        }
        self.expired.extend(unchanged);
        !changed.is_empty()
    }
}

/// Returns whether this planner still holds the role by the items of a conflict; ends the tenure if
/// not.
fn holds_role(tenure: &Tenure, items: &[Item]) -> bool {
    let holds_role = items
        .iter()
        .any(|item| item.key == keys::PLANNER_ROLE && item.revision == tenure.role_revision);
    if !holds_role {
        tenure.end("another planner holds the role in the store");
    }
    holds_role
}

/// Handles a failed condition: ends the tenure if another planner holds the role, else takes over
/// the current revisions of the progress keys.
fn handle_conflict(
    tenure: &Tenure,
    revisions: &mut Revisions,
    writes: &[ProgressWrite],
    items: &[Item],
) {
    if !holds_role(tenure, items) {
        return;
    }
    for write in writes {
        let key = keys::batch_progress(&write.job);
        let found = items.iter().find(|item| item.key == key);
        let revision = found.map(|item| item.revision).unwrap_or_default();
        revisions.insert(write.job.clone(), revision);
    }
}
