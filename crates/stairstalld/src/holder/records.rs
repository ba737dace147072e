//! Reads and writes the records of jobs and home blocks in the store during one tenure.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::placement::{HomeBlock, JobKey, JobRecord, JobState, WriteId, WriteResult};
use stairstall_store::{Entry, Event, Expect, Store, StoreError, Swap};
use tokio::sync::mpsc;

use crate::background::catch_panic;
use crate::daemon::{Daemon, lock};
use crate::keys;

/// Delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long the watch may be silent before the jobs are listed again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a failed watch is opened again.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Home blocks as they are stored.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct HomesRecord {
    homes: Vec<HomeBlock>,
}

/// A write of a job's state that the scheduler requested.
#[derive(Debug, Clone)]
pub(super) struct Write {
    pub(super) id: WriteId,
    pub(super) job: JobKey,
    pub(super) state: JobState,
    pub(super) saved_ms: u64,
    pub(super) started: bool,
    pub(super) crashes: u32,
}

/// Last known record of a job, and its revision in the store.
#[derive(Debug, Clone)]
struct KnownRecord {
    record: JobRecord,
    revision: u64,
}

/// Access to the records during one tenure.
#[derive(Debug)]
pub(super) struct Records {
    daemon: Arc<Daemon>,
    token: u64,
    known: Mutex<HashMap<JobKey, KnownRecord>>,
    /// Latest write of each job; older writes are dropped.
    latest: Mutex<HashMap<JobKey, WriteId>>,
    answers: mpsc::Sender<(JobKey, WriteId, WriteResult)>,
}

/// Outcome of one attempt to write.
enum WriteOutcome {
    /// The state is stored, or the job's record no longer exists.
    Done,
    /// A holder with a higher token wrote the record, or the job has ended.
    Superseded,
    /// The record had changed; the write is retried against its new revision.
    Retry,
}

impl Records {
    pub(super) fn new(
        daemon: Arc<Daemon>,
        token: u64,
        answers: mpsc::Sender<(JobKey, WriteId, WriteResult)>,
    ) -> Arc<Self> {
        let (known, latest) = (Mutex::default(), Mutex::default());
        Arc::new(Self {
            daemon,
            token,
            known,
            latest,
            answers,
        })
    }

    fn store(&self) -> &Store {
        &self.daemon.store
    }

    /// Remembers a record from a listing or watch; returns none if it can't be parsed or is
    /// outdated.
    fn update_known(&self, entry: &Entry) -> Option<JobRecord> {
        let Some(record) = entry.read::<JobRecord>() else {
            log::error!(target: "holder", key:% = entry.key; "could not parse the record of a job");
            return None;
        };
        let mut known = lock(&self.known);
        let key = record.spec.key();
        if record.state.is_final() {
            known.remove(&key);
            return Some(record);
        }
        if known
            .get(&key)
            .is_some_and(|k| k.revision >= entry.revision)
        {
            return None;
        }
        known.insert(
            key,
            KnownRecord {
                record: record.clone(),
                revision: entry.revision,
            },
        );
        Some(record)
    }

    /// Lists every job, and returns the revision to watch from.
    pub(super) async fn list(&self) -> Result<(Vec<JobRecord>, u64), StoreError> {
        let listing = self.store().list(keys::JOBS).await?;
        let records = listing
            .entries
            .iter()
            .filter_map(|entry| self.update_known(entry))
            .collect();
        Ok((records, listing.revision + 1))
    }

    /// Sends every later change of a job to the channel, until the channel is closed.
    pub(super) async fn watch(self: Arc<Self>, mut next: u64, jobs: mpsc::Sender<JobRecord>) {
        loop {
            if self.watch_once(&mut next, &jobs).await.is_ok() || jobs.is_closed() {
                return;
            }
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
            let Ok((records, from)) = self.list().await else {
                continue;
            };
            next = from;
            for record in records {
                if jobs.send(record).await.is_err() {
                    return;
                }
            }
        }
    }

    async fn watch_once(
        &self,
        next: &mut u64,
        jobs: &mpsc::Sender<JobRecord>,
    ) -> Result<(), StoreError> {
        let mut watch = self.store().watch(keys::JOBS, true, *next).await?;
        loop {
            let Some(event) = watch.next(WATCH_TIMEOUT).await? else {
                return Err(StoreError::WatchEnded);
            };
            let Event::Put(entry) = event else { continue };
            *next = (*next).max(entry.revision + 1);
            let Some(record) = self.update_known(&entry) else {
                continue;
            };
            if jobs.send(record).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Writes a job's state in the background, and retries until it is stored, a later write
    /// replaces it, or it is superseded.
    pub(super) fn write(self: &Arc<Self>, write: Write) {
        lock(&self.latest).insert(write.job.clone(), write.id);
        let records = Arc::clone(self);
        tokio::spawn(async move {
            while records.is_latest(&write) {
                let answer = match catch_panic(records.try_write(&write)).await {
                    Ok(Ok(WriteOutcome::Done)) => WriteResult::Done,
                    Ok(Ok(WriteOutcome::Superseded)) => WriteResult::Superseded,
                    Ok(Ok(WriteOutcome::Retry)) => continue,
                    // A write that panicked may have been stored, as one without an answer.
                    Ok(Err(_)) | Err(_) => WriteResult::Unreachable,
                };
                let sent = records
                    .answers
                    .send((write.job.clone(), write.id, answer))
                    .await;
                if sent.is_err() || answer != WriteResult::Unreachable {
                    return;
                }
                tokio::time::sleep(WRITE_RETRY_DELAY).await;
            }
        });
    }

    fn is_latest(&self, write: &Write) -> bool {
        lock(&self.latest).get(&write.job) == Some(&write.id)
    }

    async fn try_write(&self, write: &Write) -> Result<WriteOutcome, StoreError> {
        let outcome = self.swap(write).await;
        self.daemon.record_store_result(&outcome);
        outcome
    }

    async fn swap(&self, write: &Write) -> Result<WriteOutcome, StoreError> {
        let Some(known) = lock(&self.known).get(&write.job).cloned() else {
            return self.write_unknown(write).await;
        };
        let record = updated(known.record, write);
        let mut lease = None;
        if write.state.is_final() {
            lease = Some(self.daemon.retention.lease().await?);
        }
        let key = keys::job(&write.job);
        let expect = Expect::Revision(known.revision);
        let swapped = self.store().swap(&key, expect, &record, lease).await;
        if let (Err(StoreError::Status(_)), Some(lease)) = (&swapped, lease) {
            self.daemon.retention.discard(lease).await;
        }
        match swapped? {
            Swap::Applied(revision) => {
                lock(&self.known).insert(write.job.clone(), KnownRecord { record, revision });
                Ok(WriteOutcome::Done)
            }
            Swap::Conflict(Some(entry)) => Ok(self.resolve_conflict(write, &entry)),
            Swap::Conflict(None) => Ok(WriteOutcome::Done),
        }
    }

    /// Settles a write of a job whose record is not known here.
    async fn write_unknown(&self, write: &Write) -> Result<WriteOutcome, StoreError> {
        match self.store().get(&keys::job(&write.job)).await? {
            Some(entry) => Ok(self.resolve_conflict(write, &entry)),
            None => Ok(WriteOutcome::Done),
        }
    }

    /// Compares a write with the record that is stored instead of the expected one.
    fn resolve_conflict(&self, write: &Write, entry: &Entry) -> WriteOutcome {
        let Some(found) = entry.read::<JobRecord>() else {
            return WriteOutcome::Superseded;
        };
        if found.state == write.state && found.saved_ms == write.saved_ms {
            // An earlier attempt took effect, but the store's answer was lost.
            let known = KnownRecord {
                record: found,
                revision: entry.revision,
            };
            lock(&self.known).insert(write.job.clone(), known);
            return WriteOutcome::Done;
        }
        let is_superseded = match &found.state {
            JobState::Placed { attempt, .. } => attempt.token > self.token,
            state => state.is_final(),
        };
        if is_superseded {
            return WriteOutcome::Superseded;
        }
        let known = KnownRecord {
            record: found,
            revision: entry.revision,
        };
        lock(&self.known).insert(write.job.clone(), known);
        WriteOutcome::Retry
    }

    /// Reads the home blocks that the last holder stored.
    pub(super) async fn read_homes(&self) -> Result<Vec<HomeBlock>, StoreError> {
        let entry = self
            .store()
            .get(&keys::homes(&self.daemon.settings.zone))
            .await?;
        Ok(entry
            .and_then(|e| e.read::<HomesRecord>())
            .unwrap_or_default()
            .homes)
    }

    /// Stores the home blocks for the next holder. A failed write is not retried: the next change
    /// writes all of them.
    pub(super) fn write_homes(self: &Arc<Self>, homes: Vec<HomeBlock>) {
        let records = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(error) = records.try_write_homes(HomesRecord { homes }).await {
                log::warn!(target: "holder", error:% = error; "could not store the home blocks");
            }
        });
    }

    async fn try_write_homes(&self, record: HomesRecord) -> Result<(), StoreError> {
        let key = keys::homes(&self.daemon.settings.zone);
        let found = self.store().get(&key).await?;
        let expect = found.map_or(Expect::Absent, |e| Expect::Revision(e.revision));
        self.store()
            .swap(&key, expect, &record, None)
            .await
            .map(drop)
    }
}

/// Returns the record with the written state; fields that callers set in the meantime, such as
/// `cancel`, stay.
fn updated(record: JobRecord, write: &Write) -> JobRecord {
    JobRecord {
        state: write.state.clone(),
        saved_ms: write.saved_ms,
        started: write.started,
        crashes: write.crashes,
        ..record
    }
}
