//! The placement role of the zone: who holds it, and what its holder does.
//!
//! The role is a lease in the store; the revision of its key makes the fencing
//! token that workers check. While the store is silent a holder goes on under
//! its token, and a daemon that finds the holder dead takes the role from the
//! workers alone: it keeps running gangs alive and starts nothing.

mod records;
mod take;
mod tenure;
mod workers;

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_core::placement::JobKey;
use stairstall_core::protocol::{Explanation, GuaranteeCheckReply, GuaranteeCheckRequest};
use tokio::sync::{mpsc, oneshot};

use crate::daemon::{Daemon, Role, lock};
use take::Taken;
use tenure::{End, Tenure};

/// How often a daemon without the role looks whether it is free.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a new daemon listens for a holder before it tries to be one.
const LISTEN_FIRST: Duration = Duration::from_millis(1_500);
/// Pause after the role could not be taken.
const TAKEN_PAUSE: Duration = Duration::from_millis(500);
/// Pause after workers refused a tenure without the store; it doubles each time.
const FENCED_PAUSE: Duration = Duration::from_secs(5);
/// Longest such pause.
const MAX_FENCED_PAUSE: Duration = Duration::from_secs(300);

/// A question to the holder.
#[derive(Debug)]
pub(crate) enum Query {
    /// Whether guarantees could all be kept.
    Witness {
        question: GuaranteeCheckRequest,
        answer: oneshot::Sender<GuaranteeCheckReply>,
    },
    /// Why a job is where it is.
    Explain {
        job: JobKey,
        answer: oneshot::Sender<Option<Explanation>>,
    },
}

impl Query {
    /// Answers for a daemon that does not hold the role.
    fn answer_as_bystander(self) {
        match self {
            Self::Witness { answer, .. } => drop(answer.send(GuaranteeCheckReply::NotHolder)),
            Self::Explain { answer, .. } => drop(answer.send(None)),
        }
    }
}

/// What a daemon remembers between tenures.
#[derive(Debug, Default)]
struct Memory {
    /// The highest token that a worker told of.
    highest_token: u64,
    /// No tenure without the store before then.
    not_before: Timestamp,
    fenced: u32,
}

/// Takes, serves and gives up the role for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>, mut queries: mpsc::Receiver<Query>) {
    let mut memory = Memory::default();
    loop {
        let role = wait_for_role(&daemon, &mut queries, &memory).await;
        let token = role.token;
        let without_store = role.lease.is_none();
        log::info!(target: "holder", zone:% = daemon.settings.zone, token, without_store;
            "placement role taken");
        daemon.metrics.count("holder.taken");
        let end = Tenure::new(Arc::clone(&daemon), role)
            .serve(&mut queries)
            .await;
        *lock(&daemon.role) = Role::default();
        log::info!(target: "holder", zone:% = daemon.settings.zone, token; "placement role ended: {end}");
        remember(&daemon, &mut memory, end, without_store);
        tokio::time::sleep(TAKEN_PAUSE).await;
    }
}

fn remember(daemon: &Daemon, memory: &mut Memory, end: End, without_store: bool) {
    let End::Fenced { highest } = end else { return };
    memory.highest_token = memory.highest_token.max(highest);
    if without_store {
        let pause = FENCED_PAUSE * 2_u32.pow(memory.fenced.min(8));
        memory.not_before = daemon.clock.now() + pause.min(MAX_FENCED_PAUSE);
        memory.fenced += 1;
    }
}

/// Waits until the role is free and this daemon has taken it.
async fn wait_for_role(
    daemon: &Arc<Daemon>,
    queries: &mut mpsc::Receiver<Query>,
    memory: &Memory,
) -> Taken {
    loop {
        let pause = match look(daemon, memory).await {
            Ok(taken) => return taken,
            Err(pause) => pause,
        };
        let wake = tokio::time::sleep(pause);
        tokio::pin!(wake);
        loop {
            tokio::select! {
                () = &mut wake => break,
                Some(query) = queries.recv() => query.answer_as_bystander(),
            }
        }
    }
}

/// Takes the role if nobody holds it; else says when to look again.
async fn look(daemon: &Arc<Daemon>, memory: &Memory) -> Result<Taken, Duration> {
    let now = daemon.clock.now();
    let listening = now < Timestamp::default() + LISTEN_FIRST;
    let held = lock(&daemon.members).has_confirmed_holder(&daemon.settings.zone, now);
    if daemon.is_leaving() || listening || held {
        return Err(IDLE_INTERVAL);
    }
    match take::from_store(daemon).await {
        Ok(Some(taken)) => Ok(taken),
        Ok(None) => Err(TAKEN_PAUSE),
        Err(_) => {
            take::from_workers(daemon, memory.highest_token, memory.not_before).ok_or(TAKEN_PAUSE)
        }
    }
}
