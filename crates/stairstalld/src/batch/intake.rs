//! Feeds jobs and cancellations from the store to the planner, in case daemons did not notify it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::JobId;
use stairstall_core::batch::{AcceptedJob, LearnedEstimates, Progress};
use stairstall_ports::{Change, Item, Revision, StoreFault};

use super::kept;
use super::kept_job::KeptJob;
use super::keys::{self, JobKeyKind};
use super::node::Node;
use super::tenure::Tenure;
use super::writer::Revisions;

/// Interval between polls of the store. Daemons usually notify the planner sooner.
const INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the store is asked again after a failure. It is short because starts may wait for
/// the answer.
const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Delays before the first polls of a tenure. Until every daemon knows the new planner, it is not
/// notified of jobs that they accept. Without these early polls, jobs accepted during the 0.1 s of
/// a takeover became known 1.0 to 1.1 s later, half the run time of an urgent job.
const FIRST_PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];

/// Longest read of the learned estimates. They are useful but optional, so the takeover waits no
/// longer for them.
const LEARNT_TIMEOUT: Duration = Duration::from_millis(400);

/// Everything that the store holds about jobs.
#[derive(Debug)]
pub(crate) struct KeptJobs {
    /// Estimates learned by an earlier planner, if they can be read.
    learnt: Option<LearnedEstimates>,
    jobs: Vec<Item>,
    progress: Vec<Item>,
    /// Revision from which to watch for changes.
    at: Revision,
}

/// Reads all stored jobs.
pub(crate) async fn read(node: &Node) -> Result<KeptJobs, StoreFault> {
    let jobs = node.read_all("list jobs", keys::JOBS);
    let progress = node.read_all("list progress", keys::PROGRESS);
    let listings = node.listings(jobs, progress);
    let (listed, learnt) = futures::join!(listings, read_learnt(node));
    let ((jobs, at), (progress, _)) = listed?;
    Ok(KeptJobs {
        learnt,
        jobs,
        progress,
        at,
    })
}

/// Reads the estimates learned by an earlier planner. Planning works without them.
async fn read_learnt(node: &Node) -> Option<LearnedEstimates> {
    if !node.settings.policy.run_times.is_stored {
        return None;
    }
    let read = node.read_at("read learnt", keys::LEARNT, LEARNT_TIMEOUT);
    let read = read.await.inspect_err(|fault| {
        log::warn!(target: "intake", why:% = fault; "could not read learned estimates from the store");
    });
    let (item, _) = read.ok()?;
    let learnt = kept::read(&item?.value).inspect_err(|error| {
        log::warn!(target: "intake", why:% = error; "can't decode learned estimates");
    });
    learnt.ok()
}

/// Loads all stored jobs into the planner. Returns the revision from which to watch for changes,
/// and the revisions of the progress keys.
pub(crate) fn load(kept: KeptJobs, tenure: &Tenure) -> (Revision, Revisions) {
    if let Some(learnt) = kept.learnt {
        log::info!(target: "intake", token = tenure.token(), run_times = learnt.run_times.len(),
            paces = learnt.paces.len(); "read learned estimates");
        tenure.with(|planner, now| planner.restore_learned_estimates(learnt, now));
    }
    let mut revisions = Revisions::new();
    let mut progress: BTreeMap<JobId, Progress> = BTreeMap::new();
    for item in kept.progress {
        let Some(id) = keys::read_progress(&item.key) else {
            continue;
        };
        revisions.insert(id.clone(), item.revision);
        match kept::read(&item.value) {
            Ok(found) => {
                progress.insert(id, found);
            }
            Err(error) => {
                log::error!(target: "intake", job:% = id, why:% = error; "can't decode the job's progress");
            }
        }
    }
    let cancelled: BTreeSet<JobId> = kept
        .jobs
        .iter()
        .filter_map(|item| match keys::read_job(&item.key) {
            Some(JobKeyKind::Cancel(id)) => Some(id),
            _ => None,
        })
        .collect();
    for job in kept.jobs.iter().filter_map(read_job) {
        let id = job.id.clone();
        tenure.with(|planner, now| {
            planner.restore_job(job, progress.get(&id), cancelled.contains(&id), now);
        });
    }
    (kept.at, revisions)
}

/// Returns the accepted job that an item holds, or `None` if the item is a cancellation, a refusal
/// record or unreadable.
fn read_job(item: &Item) -> Option<AcceptedJob> {
    let Some(JobKeyKind::Accepted(id)) = keys::read_job(&item.key) else {
        return None;
    };
    KeptJob::read(&item.value)
        .inspect_err(|error| {
            log::error!(target: "intake", job:% = id, why:% = error; "can't decode the job");
        })
        .ok()?
        .accepted()
}

/// Polls for changes for as long as the tenure lasts.
pub(crate) async fn follow(node: Arc<Node>, tenure: Arc<Tenure>, mut at: Revision) {
    let mut first_pauses = FIRST_PAUSES.into_iter();
    let mut pause = Duration::ZERO;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = tenure.resumed.notified() => {}
        }
        // A poll sent before the lease was restored may hang on its connection until its own
        // timeout.
        pause = tokio::select! {
            biased;
            () = tenure.resumed.notified() => Duration::ZERO,
            found = ask(&node, &tenure, at) => {
                let failed = found.is_err();
                at = found.unwrap_or(at);
                let next = first_pauses.next().unwrap_or(INTERVAL);
                if failed { next.min(STORE_PAUSE) } else { next }
            }
        };
    }
}

/// Polls for changes once and passes them to the planner. Returns the revision from which to poll
/// next.
async fn ask(node: &Node, tenure: &Tenure, at: Revision) -> Result<Revision, StoreFault> {
    let asked_at = node.clock.now();
    let watched = node.store.watch(keys::JOBS, at, Duration::ZERO);
    let at = match node.stored("watch jobs", watched).await {
        Ok(watched) => {
            for change in &watched.changes {
                take(tenure, change);
            }
            watched.at
        }
        Err(StoreFault::HistoryGone) => reread(node, tenure).await?,
        Err(fault) => return Err(fault),
    };
    tenure.with(|planner, _| planner.confirm_jobs_current(asked_at));
    Ok(at)
}

/// Reads all jobs again after the store has compacted the history that the watch needs.
async fn reread(node: &Node, tenure: &Tenure) -> Result<Revision, StoreFault> {
    let (items, at) = node.read_all("list jobs", keys::JOBS).await?;
    for item in items {
        take(tenure, &Change::Written(item));
    }
    Ok(at)
}

fn take(tenure: &Tenure, change: &Change) {
    let Change::Written(item) = change else {
        return;
    };
    match keys::read_job(&item.key) {
        Some(JobKeyKind::Accepted(_)) => {
            if let Some(job) = read_job(item) {
                tenure.with(|planner, now| planner.submit(job, now));
            }
        }
        Some(JobKeyKind::Cancel(id)) => {
            tenure.with(|planner, now| planner.cancel(&id, now));
        }
        None => {}
    }
}
