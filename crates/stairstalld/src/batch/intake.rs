//! Brings the planner the jobs and cancellations that it was not told of.

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

/// How often news are asked for; daemons tell the planner sooner.
const INTERVAL: Duration = Duration::from_secs(1);
/// Pause before the store is asked again after a failure: starts may wait for the answer.
const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Pauses before the first questions of a tenure: until every daemon knows of the new planner, it
/// is told nothing of what they accept. Without these, what comes in the 0.1 s of a takeover is
/// known 1.0 to 1.1 s later, as long as half of an urgent job's work.
const FIRST_PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
];

/// How long the read of what was learnt may take: it is of use, and nothing waits for it longer.
const LEARNT_TIMEOUT: Duration = Duration::from_millis(400);

/// What is kept of all jobs.
#[derive(Debug)]
pub(crate) struct KeptJobs {
    /// What an earlier planner had learnt, where that can be read.
    learnt: Option<LearnedEstimates>,
    jobs: Vec<Item>,
    progress: Vec<Item>,
    /// Where news begin.
    at: Revision,
}

/// Reads every job that is kept.
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

/// Reads what an earlier planner had learnt; a planner can do without.
async fn read_learnt(node: &Node) -> Option<LearnedEstimates> {
    if !node.settings.policy.run_times.is_stored {
        return None;
    }
    let read = node.read_at("read learnt", keys::LEARNT, LEARNT_TIMEOUT);
    let read = read.await.inspect_err(|fault| {
        log::warn!(target: "intake", why:% = fault; "what was learnt was not read");
    });
    let (item, _) = read.ok()?;
    let learnt = kept::read(&item?.value).inspect_err(|error| {
        log::warn!(target: "intake", why:% = error; "what was learnt can't be read");
    });
    learnt.ok()
}

/// Loads every job that is kept; returns where news begin, and the revisions of progress.
pub(crate) fn load(kept: KeptJobs, tenure: &Tenure) -> (Revision, Revisions) {
    if let Some(learnt) = kept.learnt {
        log::info!(target: "intake", token = tenure.token(), run_times = learnt.run_times.len(),
            paces = learnt.paces.len(); "what was learnt is read");
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
                log::error!(target: "intake", job:% = id, why:% = error; "its progress can't be read");
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

/// Returns the job that an item keeps; none where it is another key, or the mark of a refusal.
fn read_job(item: &Item) -> Option<AcceptedJob> {
    let Some(JobKeyKind::Accepted(id)) = keys::read_job(&item.key) else {
        return None;
    };
    KeptJob::read(&item.value)
        .inspect_err(|error| {
            log::error!(target: "intake", job:% = id, why:% = error; "the job can't be read");
        })
        .ok()?
        .accepted()
}

/// Asks for news for as long as the tenure lasts.
pub(crate) async fn follow(node: Arc<Node>, tenure: Arc<Tenure>, mut at: Revision) {
    let mut first_pauses = FIRST_PAUSES.into_iter();
    let mut pause = Duration::ZERO;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = tenure.resumed.notified() => {}
        }
        // A question from before may hang on its connection for as long as its own time-out.
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

/// Asks for news once and tells the planner; returns where the next begin.
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

/// Reads all jobs again after the history was lost.
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
