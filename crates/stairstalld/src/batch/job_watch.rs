//! Polls the store for jobs and cancellations and passes them to the planner, in case the daemons
//! that accepted them did not notify it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::JobId;
use stairstall_core::batch::{AcceptedJob, LearnedEstimates, Progress};
use stairstall_ports::{Change, Item, Revision, StoreFault};

use super::encoding;
use super::node::Node;
use super::stored_job::StoredJob;
use super::tenure::Tenure;
use super::writer::Revisions;
use crate::keys::{self, StoreKey};

/// Interval between polls of the store. Daemons usually notify the planner sooner.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a failed poll is retried. It is short because starts wait for a poll after the
/// lease was restored.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delays before the first polls of a tenure. Until every daemon knows the new planner, it is not
/// notified of jobs that they accept. Without these early polls, jobs accepted during a takeover,
/// which lasts 0.1 s, became known 1.0 to 1.1 s later. This is half the run time of an urgent job.
const INITIAL_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];

/// Number of stored jobs that are handled before other tasks run. Handling thousands at once would
/// delay the renewal of the planner's lease.
const JOBS_PER_TURN: usize = 50;

/// Timeout for reading the learned estimates. They are optional, so the takeover waits no longer
/// for them.
const LEARNED_READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Everything that the store holds about jobs.
#[derive(Debug)]
pub(crate) struct StoredJobs {
    /// Estimates learned by an earlier planner, if they can be read.
    learned: Option<LearnedEstimates>,
    jobs: Vec<Item>,
    progress: Vec<Item>,
    /// Revision from which to poll for changes.
    at: Revision,
}

/// Reads all stored jobs.
pub(crate) async fn read(node: &Node) -> Result<StoredJobs, StoreFault> {
    let jobs = node.read_all("list jobs", keys::JOBS);
    let progress = node.read_all("list progress", keys::PROGRESS);
    let listings = node.read_both(jobs, progress);
    let (listed, learned) = futures::join!(listings, read_learned(node));
    let ((jobs, at), (progress, _)) = listed?;
    Ok(StoredJobs {
        learned,
        jobs,
        progress,
        at,
    })
}

/// Reads the estimates learned by an earlier planner. Planning works without them.
async fn read_learned(node: &Node) -> Option<LearnedEstimates> {
    if !node.settings.policy.run_times.is_stored {
        return None;
    }
    let read = node.read_at("read learnt", keys::LEARNED, LEARNED_READ_TIMEOUT);
    let read = read.await.inspect_err(|fault| {
        log::warn!(target: "intake", why:% = fault; "could not read learned estimates from the store");
    });
    let (item, _) = read.ok()?;
    let learned = encoding::decode(&item?.value).inspect_err(|error| {
        log::warn!(target: "intake", why:% = error; "can't decode learned estimates");
    });
    learned.ok()
}

/// Loads all stored jobs into the planner. Returns the revision from which to poll for changes,
/// and the revisions of the progress keys.
///
/// Other tasks run in between. The planner must not plan until this has returned.
pub(crate) async fn load(stored: StoredJobs, tenure: &Tenure) -> (Revision, Revisions) {
    if let Some(learned) = stored.learned {
        log::info!(target: "intake", token = tenure.token(), run_times = learned.run_times.len(),
            paces = learned.paces.len(); "read learned estimates");
        tenure.with_planner(|planner, now| planner.restore_learned_estimates(learned, now));
    }
    let mut progress = read_progress(stored.progress).await;
    let jobs = read_jobs(stored.jobs, &mut progress).await;
    let unreadable = progress.unreadable;
    tenure.with_planner(|planner, _| planner.hold_back_jobs(unreadable));
    for (number, job) in (1..).zip(jobs.accepted) {
        let found = progress.by_job.get(&job.id);
        let is_cancelled = jobs.cancelled.contains(&job.id);
        tenure.with_planner(|planner, now| planner.restore_job(job, found, is_cancelled, now));
        yield_after_turn(number).await;
    }
    (stored.at, progress.revisions)
}

/// Lets other tasks run after every [`JOBS_PER_TURN`] jobs.
async fn yield_after_turn(handled: usize) {
    if handled.is_multiple_of(JOBS_PER_TURN) {
        tokio::task::yield_now().await;
    }
}

/// The stored progress of all jobs.
#[derive(Debug, Default)]
struct StoredProgress {
    by_job: BTreeMap<JobId, Progress>,
    revisions: Revisions,
    /// Jobs of which something can't be read.
    unreadable: BTreeSet<JobId>,
}

/// Decodes the progress of all jobs.
async fn read_progress(items: Vec<Item>) -> StoredProgress {
    let mut read = StoredProgress::default();
    for (number, item) in (1..).zip(items) {
        read.add(&item);
        yield_after_turn(number).await;
    }
    read
}

impl StoredProgress {
    fn add(&mut self, item: &Item) {
        let Ok(StoreKey::BatchProgress(id)) = item.key.parse() else {
            return;
        };
        self.revisions.insert(id.clone(), item.revision);
        match encoding::decode(&item.value) {
            Ok(found) => {
                self.by_job.insert(id, found);
            }
            Err(error) => {
                log::error!(target: "intake", job:% = id, why:% = error;
                    "can't decode the job's progress; none of its tasks is started in this tenure");
                self.unreadable.insert(id);
            }
        }
    }

    /// Marks a job as unreadable if the stored progress is not that of the job.
    fn check(&mut self, job: &AcceptedJob) {
        let found = self.by_job.get(&job.id);
        if found.is_some_and(|found| !found.fits(job)) {
            log::error!(target: "intake", job:% = job.id;
                "the job's progress is not that of the job; none of its tasks is started in this tenure");
            self.unreadable.insert(job.id.clone());
        }
    }
}

/// All jobs that were accepted, and those that were cancelled.
#[derive(Debug, Default)]
struct ReadJobs {
    accepted: Vec<AcceptedJob>,
    cancelled: BTreeSet<JobId>,
}

/// Decodes the records of all jobs. Marks those as unreadable that can't be planned.
async fn read_jobs(items: Vec<Item>, progress: &mut StoredProgress) -> ReadJobs {
    let mut read = ReadJobs::default();
    for (number, item) in (1..).zip(items) {
        yield_after_turn(number).await;
        if let Ok(StoreKey::BatchCancellation(id)) = item.key.parse() {
            read.cancelled.insert(id);
            continue;
        }
        match StoredItem::read(&item) {
            StoredItem::Job(job) => {
                progress.check(&job);
                read.accepted.push(*job);
            }
            StoredItem::Unreadable(id) => {
                progress.unreadable.insert(id);
            }
            StoredItem::Other => {}
        }
    }
    read
}

/// What the store has under a key.
enum StoredItem {
    Job(Box<AcceptedJob>),
    /// A job that can't be read, or not planned as it is stored.
    Unreadable(JobId),
    /// No job: a cancellation or the record of a refusal.
    Other,
}

impl StoredItem {
    fn read(item: &Item) -> Self {
        let Ok(StoreKey::BatchJob(id)) = item.key.parse() else {
            return Self::Other;
        };
        let why = match StoredJob::read(&item.value) {
            Err(error) => error.to_string(),
            Ok(StoredJob::Refused(_)) => return Self::Other,
            Ok(StoredJob::Accepted(job)) if job.id != id => {
                format!("{} is stored under its key", job.id)
            }
            Ok(StoredJob::Accepted(job)) => match job.check() {
                Ok(()) => return Self::Job(job),
                Err(error) => error.to_string(),
            },
        };
        log::error!(target: "intake", job:% = id, why; "can't read the job; none of its tasks is started in this tenure");
        Self::Unreadable(id)
    }
}

/// Polls for changes for as long as the tenure lasts.
pub(crate) async fn follow(node: Arc<Node>, tenure: Arc<Tenure>, mut at: Revision) {
    let mut initial_delays = INITIAL_DELAYS.into_iter();
    let mut delay = Duration::ZERO;
    loop {
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = tenure.lease_restored.notified() => {}
        }
        // A poll sent before the lease was restored may hang on its connection until its own
        // timeout.
        delay = tokio::select! {
            biased;
            () = tenure.lease_restored.notified() => Duration::ZERO,
            found = poll(&node, &tenure, at) => {
                let failed = found.is_err();
                at = found.unwrap_or(at);
                let next = initial_delays.next().unwrap_or(POLL_INTERVAL);
                if failed { next.min(STORE_RETRY_DELAY) } else { next }
            }
        };
    }
}

/// Polls for changes once and passes them to the planner. Returns the revision from which to poll
/// next.
async fn poll(node: &Node, tenure: &Tenure, at: Revision) -> Result<Revision, StoreFault> {
    let requested_at = node.clock.now();
    let watched = node.store.watch(keys::JOBS, at, Duration::ZERO);
    let at = match node.store_call("watch jobs", watched).await {
        Ok(watched) => {
            for change in &watched.changes {
                handle_change(tenure, change);
            }
            watched.revision
        }
        Err(StoreFault::Compacted) => reload(node, tenure).await?,
        Err(fault) => return Err(fault),
    };
    tenure.with_planner(|planner, _| planner.confirm_jobs_current(requested_at));
    Ok(at)
}

/// Reads all jobs again after the store has compacted the history that the watch needs.
async fn reload(node: &Node, tenure: &Tenure) -> Result<Revision, StoreFault> {
    let (items, at) = node.read_all("list jobs", keys::JOBS).await?;
    for item in items {
        handle_change(tenure, &Change::Written(item));
    }
    Ok(at)
}

fn handle_change(tenure: &Tenure, change: &Change) {
    let Change::Written(item) = change else {
        return;
    };
    match item.key.parse() {
        Ok(StoreKey::BatchJob(_)) => {
            if let StoredItem::Job(job) = StoredItem::read(item) {
                tenure.with_planner(|planner, now| planner.submit(*job, now));
            }
        }
        Ok(StoreKey::BatchCancellation(id)) => {
            tenure.with_planner(|planner, now| planner.cancel(&id, now));
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests;
