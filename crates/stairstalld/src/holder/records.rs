//! Reads and writes the store's records for a holder.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stairstall_core::placement::{Home, JobKey, JobRecord, JobState, WriteAnswer, WriteId};
use stairstall_store::{Entry, Event, Expect, Store, StoreError, Swap};
use tokio::sync::mpsc;

use crate::daemon::{Daemon, lock};
use crate::keys;

/// Pause between two tries of a write.
const WRITE_PAUSE: Duration = Duration::from_millis(300);
/// How long the watch may be silent before the jobs are listed again.
const WATCH_PATIENCE: Duration = Duration::from_secs(60);
/// Pause before a broken watch is opened again.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Home blocks as the store keeps them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct HomesRecord {
    homes: Vec<Home>,
}

/// A write that the scheduler asked for.
#[derive(Debug, Clone)]
pub(super) struct Write {
    pub(super) id: WriteId,
    pub(super) job: JobKey,
    pub(super) state: JobState,
    pub(super) saved_ms: u64,
    pub(super) started: bool,
    pub(super) crashes: u32,
}

/// What is known of one job's record.
#[derive(Debug, Clone)]
struct Known {
    record: JobRecord,
    revision: u64,
}

/// The job records of one tenure.
#[derive(Debug)]
pub(super) struct Records {
    daemon: Arc<Daemon>,
    token: u64,
    known: Mutex<HashMap<JobKey, Known>>,
    latest: Mutex<HashMap<JobKey, WriteId>>,
    answers: mpsc::Sender<(JobKey, WriteId, WriteAnswer)>,
}

/// Outcome of one try.
enum Tried {
    Done,
    Superseded,
    Again,
}

impl Records {
    pub(super) fn new(
        daemon: Arc<Daemon>,
        token: u64,
        answers: mpsc::Sender<(JobKey, WriteId, WriteAnswer)>,
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

    /// Takes a record from a listing or watch; none where it can't be read or is old.
    fn note(&self, entry: &Entry) -> Option<JobRecord> {
        let Some(record) = entry.read::<JobRecord>() else {
            log::error!(target: "holder", key:% = entry.key; "a job's record can't be read");
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
            Known {
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
            .filter_map(|entry| self.note(entry))
            .collect();
        Ok((records, listing.revision + 1))
    }

    /// Passes on every later change of a job, for as long as anybody listens.
    pub(super) async fn watch(self: Arc<Self>, mut next: u64, jobs: mpsc::Sender<JobRecord>) {
        loop {
            if self.watch_once(&mut next, &jobs).await.is_ok() || jobs.is_closed() {
                return;
            }
            tokio::time::sleep(WATCH_PAUSE).await;
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
            let Some(event) = watch.next(WATCH_PATIENCE).await? else {
                return Err(StoreError::WatchEnded);
            };
            let Event::Put(entry) = event else { continue };
            *next = (*next).max(entry.revision + 1);
            let Some(record) = self.note(&entry) else {
                continue;
            };
            if jobs.send(record).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Writes a job's state until it stands, a later write replaces it, or it is superseded.
    pub(super) fn write(self: &Arc<Self>, write: Write) {
        lock(&self.latest).insert(write.job.clone(), write.id);
        let records = Arc::clone(self);
        tokio::spawn(async move {
            while records.is_latest(&write) {
                let answer = match records.try_write(&write).await {
                    Ok(Tried::Done) => WriteAnswer::Done,
                    Ok(Tried::Superseded) => WriteAnswer::Superseded,
                    Ok(Tried::Again) => continue,
                    Err(_) => WriteAnswer::Unreachable,
                };
                let sent = records
                    .answers
                    .send((write.job.clone(), write.id, answer))
                    .await;
                if sent.is_err() || answer != WriteAnswer::Unreachable {
                    return;
                }
                tokio::time::sleep(WRITE_PAUSE).await;
            }
        });
    }

    fn is_latest(&self, write: &Write) -> bool {
        lock(&self.latest).get(&write.job) == Some(&write.id)
    }

    async fn try_write(&self, write: &Write) -> Result<Tried, StoreError> {
        let tried = self.swap(write).await;
        self.daemon.record_store_result(&tried);
        tried
    }

    async fn swap(&self, write: &Write) -> Result<Tried, StoreError> {
        let Some(known) = lock(&self.known).get(&write.job).cloned() else {
            return self.read_again(write).await;
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
                lock(&self.known).insert(write.job.clone(), Known { record, revision });
                Ok(Tried::Done)
            }
            Swap::Conflict(Some(entry)) => Ok(self.conflict(write, &entry)),
            Swap::Conflict(None) => Ok(Tried::Done),
        }
    }

    async fn read_again(&self, write: &Write) -> Result<Tried, StoreError> {
        match self.store().get(&keys::job(&write.job)).await? {
            Some(entry) => Ok(self.conflict(write, &entry)),
            None => Ok(Tried::Done),
        }
    }

    /// Looks at what stands in place of what was expected.
    fn conflict(&self, write: &Write, entry: &Entry) -> Tried {
        let Some(found) = entry.read::<JobRecord>() else {
            return Tried::Superseded;
        };
        if found.state == write.state && found.saved_ms == write.saved_ms {
            // An earlier try took effect and its answer was lost.
            let known = Known {
                record: found,
                revision: entry.revision,
            };
            lock(&self.known).insert(write.job.clone(), known);
            return Tried::Done;
        }
        let by_later = match &found.state {
            JobState::Placed { attempt, .. } => attempt.token > self.token,
            state => state.is_final(),
        };
        if by_later {
            return Tried::Superseded;
        }
        let known = Known {
            record: found,
            revision: entry.revision,
        };
        lock(&self.known).insert(write.job.clone(), known);
        Tried::Again
    }

    /// Reads the home blocks that the last holder kept.
    pub(super) async fn read_homes(&self) -> Result<Vec<Home>, StoreError> {
        let entry = self
            .store()
            .get(&keys::homes(&self.daemon.settings.zone))
            .await?;
        Ok(entry
            .and_then(|e| e.read::<HomesRecord>())
            .unwrap_or_default()
            .homes)
    }

    /// Keeps the home blocks for the next holder; a failure is made good by the next change.
    pub(super) fn write_homes(self: &Arc<Self>, homes: Vec<Home>) {
        let records = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(error) = records.try_write_homes(HomesRecord { homes }).await {
                log::warn!(target: "holder", error:% = error; "home blocks could not be kept");
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

/// Returns the record with the write's news; what callers set meanwhile stays.
fn updated(record: JobRecord, write: &Write) -> JobRecord {
    JobRecord {
        state: write.state.clone(),
        saved_ms: write.saved_ms,
        started: write.started,
        crashes: write.crashes,
        ..record
    }
}
