//! Looks up job states: asks the planner first, then the store.

use stairstall_core::JobId;
use stairstall_core::batch::{AcceptedJob, CallerState, JobExplanation, Progress};
use stairstall_ports::{Item, StoreFault};

use super::encoding;
use super::node::Node;
use super::open_call::{CallProgress, CallStage};
use super::rpc::{JobAnswer, PeerClient, SubmitAnswer};
use super::stored_job::StoredJob;
use crate::keys;

/// What the planner said when it was asked for a job. Logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlannerReply {
    /// It knows the job.
    Known,
    /// It does not know the job.
    Unknown,
    /// No other daemon is known to hold the role, and this one doesn't.
    NoPlanner,
    /// The daemon that was asked does not hold the role, has not loaded the jobs, is without a valid
    /// lease, or holds the job back.
    NotPlanner,
    /// The same of this daemon, which holds the role.
    NotServing,
    /// It did not answer.
    NoAnswer,
}

impl PlannerReply {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Unknown => "unknown",
            Self::NoPlanner => "no-planner",
            Self::NotPlanner => "not-planner",
            Self::NotServing => "not-serving",
            Self::NoAnswer => "no-answer",
        }
    }

    /// Returns what an answer says; `otherwise` where it is that of no planner.
    const fn from_answer(answer: &JobAnswer, otherwise: Self) -> Self {
        match answer {
            JobAnswer::Known { .. } => Self::Known,
            JobAnswer::Unknown => Self::Unknown,
            JobAnswer::NotPlanner => otherwise,
        }
    }
}

/// What the store had of a job that was asked for. Logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreFinding {
    /// It was not asked.
    NotAsked,
    /// The job.
    Job,
    /// Nothing under the job's key.
    Absent,
    /// The record of a refusal, or of the cancellation of an ID that no job had.
    Refused,
    /// The shortened record of an ended job without its progress: its removal is under way.
    Trimmed,
    /// It did not answer, or has what can't be read.
    Unreadable,
}

impl StoreFinding {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotAsked => "not-asked",
            Self::Job => "job",
            Self::Absent => "absent",
            Self::Refused => "refused",
            Self::Trimmed => "trimmed",
            Self::Unreadable => "unreadable",
        }
    }
}

/// Whom a lookup asked for a job, and what they said.
#[derive(Debug)]
pub(crate) struct Lookup {
    pub(crate) planner: PlannerReply,
    pub(crate) store: StoreFinding,
    /// The outcome; [`JobAnswer::Unknown`] only if the store has no such job.
    pub(crate) answer: Result<JobAnswer, StoreFault>,
}

/// Looks a job up.
pub(crate) async fn job(node: &Node, id: &JobId, call: &CallProgress) -> Lookup {
    call.enter(CallStage::Planner);
    let (planner, answer) = from_planner(node, id).await;
    if planner == PlannerReply::Known {
        return Lookup {
            planner,
            store: StoreFinding::NotAsked,
            answer: Ok(answer),
        };
    }
    let found = from_store(node, id, planner == PlannerReply::Unknown, call).await;
    let (store, answer) = match found {
        Ok((store, answer)) => (store, Ok(answer)),
        Err(fault) => (StoreFinding::Unreadable, Err(fault)),
    };
    Lookup {
        planner,
        store,
        answer,
    }
}

async fn from_planner(node: &Node, id: &JobId) -> (PlannerReply, JobAnswer) {
    if let Some(tenure) = node.tenure() {
        let answer = tenure.job(id);
        let reply = PlannerReply::from_answer(&answer, PlannerReply::NotServing);
        return (reply, answer);
    }
    let Some(planner) = node.remote_planner() else {
        return (PlannerReply::NoPlanner, JobAnswer::NotPlanner);
    };
    let Some(client) = node.peer_clients.client(&planner.rpc) else {
        return (PlannerReply::NoPlanner, JobAnswer::NotPlanner);
    };
    let sent_at = node.clock.now();
    let answer = client.job(id.clone()).await;
    node.peer_clients.record_call(&planner.rpc, &answer);
    let Ok(answer) = answer else {
        return (PlannerReply::NoAnswer, JobAnswer::NotPlanner);
    };
    if let JobAnswer::Known {
        catalog_confirmation,
        ..
    } = &answer
    {
        node.record_catalog_confirmation(*catalog_confirmation, sent_at);
    }
    let reply = PlannerReply::from_answer(&answer, PlannerReply::NotPlanner);
    (reply, answer)
}

/// Reads what the store has under a job's own key.
pub(crate) async fn read_stored(node: &Node, id: &JobId) -> Result<Option<Item>, StoreFault> {
    let key = keys::batch_job(id);
    node.store_call("read job", node.store.get(&key)).await
}

async fn from_store(
    node: &Node,
    id: &JobId,
    is_unknown_to_planner: bool,
    call: &CallProgress,
) -> Result<(StoreFinding, JobAnswer), StoreFault> {
    call.enter(CallStage::StoreJob);
    let Some(item) = read_stored(node, id).await? else {
        return Ok((StoreFinding::Absent, JobAnswer::Unknown));
    };
    let undecodable = |e: encoding::EncodingError| StoreFault::Unexpected(e.to_string());
    let found = StoredJob::read(&item.value).map_err(undecodable)?;
    let Some(accepted) = found.accepted() else {
        return Ok((StoreFinding::Refused, JobAnswer::Unknown));
    };
    let customer = accepted.customer.clone();
    let key = keys::batch_progress(id);
    call.enter(CallStage::StoreProgress);
    let item = node
        .store_call("read progress", node.store.get(&key))
        .await?;
    let progress: Progress = match item {
        Some(item) => encoding::decode(&item.value).map_err(undecodable)?,
        None => Progress::default(),
    };
    let mut state = progress.caller_state();
    // The planner drops a job that has ended before the store has removed its records.
    if is_unknown_to_planner && progress.outcome.is_none() {
        if accepted.is_trimmed() {
            // They were removed between the two reads.
            return Ok((StoreFinding::Trimmed, JobAnswer::Unknown));
        }
        state = CallerState::Queued;
        call.enter(CallStage::Notice);
        notify_accepted(node, accepted).await;
    }
    let answer = JobAnswer::Known {
        customer,
        state,
        catalog_confirmation: None,
    };
    Ok((StoreFinding::Job, answer))
}

/// Notifies the planner of an accepted job. If the call fails, the planner finds the job when it
/// next polls the store.
pub(crate) async fn notify_accepted(node: &Node, job: AcceptedJob) {
    if let Some(tenure) = node.tenure() {
        tenure.submit(job);
        return;
    }
    let Some(planner) = node.remote_planner() else {
        return;
    };
    if let Some(client) = node.peer_clients.client(&planner.rpc) {
        let requested_at = node.clock.now();
        let wants_load = node.load.should_request(requested_at);
        let answer = client.job_accepted(job, Some(wants_load)).await;
        node.peer_clients.record_call(&planner.rpc, &answer);
        if let Ok(SubmitAnswer::WithLoad {
            load,
            catalog_confirmation,
            ..
        }) = answer
        {
            node.record_catalog_confirmation(catalog_confirmation, requested_at);
            if let Some(load) = load {
                node.load.update(*load, requested_at);
            }
        }
    }
}

/// Notifies the planner of a cancellation. If the call fails, the planner finds it when it next
/// polls the store.
pub(crate) async fn notify_cancelled(node: &Node, id: JobId) {
    if let Some(tenure) = node.tenure() {
        tenure.cancel(&id);
        return;
    }
    let Some(planner) = node.remote_planner() else {
        return;
    };
    if let Some(client) = node.peer_clients.client(&planner.rpc) {
        node.peer_clients
            .record_call(&planner.rpc, &client.job_cancelled(id).await);
    }
}

/// Returns the planner's explanation of a job, or `None` if the planner can't be reached or does
/// not know the job.
pub(crate) async fn explain(node: &Node, id: &JobId) -> Option<JobExplanation> {
    if let Some(tenure) = node.tenure() {
        return tenure.explain(id);
    }
    let planner = node.remote_planner()?;
    let client = node.peer_clients.client(&planner.rpc)?;
    let answer = client.explain(id.clone()).await;
    node.peer_clients.record_call(&planner.rpc, &answer);
    answer.ok().flatten()
}

/// Returns the number of waiting jobs in a queue, or `None` if the planner can't be reached.
pub(crate) async fn pending(node: &Node, queue: &str) -> Option<u64> {
    if let Some(tenure) = node.tenure() {
        return tenure.pending(queue);
    }
    let planner = node.remote_planner()?;
    let client = node.peer_clients.client(&planner.rpc)?;
    let answer = client.pending(queue.to_owned()).await;
    node.peer_clients.record_call(&planner.rpc, &answer);
    answer.ok().flatten()
}
