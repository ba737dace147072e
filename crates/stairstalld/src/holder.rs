//! The placement role of a zone: how a daemon acquires it, and what its holder does.
//!
//! The role is a key in the store under a lease. The fencing token that workers check is derived
//! from the revision of that key. While the store does not answer, the holder goes on under its
//! token. If the holder is silent too, another daemon acquires the role without the store, with a
//! token higher than any that it knows: such a tenure keeps running gangs alive and starts nothing.

mod acquire;
mod records;
mod tenure;
mod workers;

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_core::placement::JobKey;
use stairstall_core::protocol::{Explanation, GuaranteeCheckReply, GuaranteeCheckRequest};
use tokio::sync::{mpsc, oneshot};

use crate::daemon::{Daemon, Role, lock};
use acquire::AcquiredRole;
use tenure::{End, Tenure};

/// How often a daemon without the role checks whether the role is free.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a new daemon waits for heartbeats of a holder before it tries to acquire the role.
const STARTUP_DELAY: Duration = Duration::from_millis(1_500);
/// Delay after a tenure ended or the role could not be acquired.
const ACQUIRE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Back-off after a tenure without the store was fenced; it doubles each time.
const FENCED_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum back-off after a tenure without the store was fenced.
const MAX_FENCED_BACKOFF: Duration = Duration::from_secs(300);

/// A query to the daemon's own placement role.
#[derive(Debug)]
pub(crate) enum Query {
    /// Asks whether all of these guarantees can be satisfied at once.
    CheckGuarantees {
        request: GuaranteeCheckRequest,
        reply: oneshot::Sender<GuaranteeCheckReply>,
    },
    /// Asks for an explanation of a job's state.
    Explain {
        job: JobKey,
        reply: oneshot::Sender<Option<Explanation>>,
    },
}

impl Query {
    /// Replies for a daemon that does not hold the role.
    fn reply_as_non_holder(self) {
        match self {
            Self::CheckGuarantees { reply, .. } => drop(reply.send(GuaranteeCheckReply::NotHolder)),
            Self::Explain { reply, .. } => drop(reply.send(None)),
        }
    }
}

/// State that a daemon keeps between its tenures.
#[derive(Debug, Default)]
struct History {
    /// Highest token by which a tenure of this daemon was fenced.
    highest_token: u64,
    /// Earliest time of the next tenure without the store.
    not_before: Timestamp,
    /// Number of tenures without the store that were fenced.
    fenced: u32,
}

/// Acquires the role, serves a tenure and releases the role, for as long as the daemon runs.
pub(crate) async fn run(daemon: Arc<Daemon>, queries: &mut mpsc::Receiver<Query>) {
    // A tenure that a panic ended has left its role published.
    *lock(&daemon.role) = Role::default();
    let mut history = History::default();
    loop {
        let role = wait_for_role(&daemon, queries, &history).await;
        let token = role.token;
        let without_store = role.lease.is_none();
        log::info!(target: "holder", zone:% = daemon.settings.zone, token, without_store;
            "placement role acquired");
        daemon.metrics.count("holder.taken");
        let end = Tenure::new(Arc::clone(&daemon), role).serve(queries).await;
        *lock(&daemon.role) = Role::default();
        log::info!(target: "holder", zone:% = daemon.settings.zone, token; "placement role ended: {end}");
        record_end(&daemon, &mut history, end, without_store);
        tokio::time::sleep(ACQUIRE_RETRY_DELAY).await;
    }
}

/// Records a higher token, and after a tenure without the store the back-off until the next.
fn record_end(daemon: &Daemon, history: &mut History, end: End, without_store: bool) {
    let End::Fenced { highest } = end else { return };
    history.highest_token = history.highest_token.max(highest);
    if without_store {
        let backoff = FENCED_BACKOFF * 2_u32.pow(history.fenced.min(8));
        history.not_before = daemon.clock.now() + backoff.min(MAX_FENCED_BACKOFF);
        history.fenced += 1;
    }
}

/// Waits until this daemon has acquired the role.
async fn wait_for_role(
    daemon: &Arc<Daemon>,
    queries: &mut mpsc::Receiver<Query>,
    history: &History,
) -> AcquiredRole {
    loop {
        let delay = match try_acquire(daemon, history).await {
            Ok(role) => return role,
            Err(delay) => delay,
        };
        let wake = tokio::time::sleep(delay);
        tokio::pin!(wake);
        loop {
            tokio::select! {
                () = &mut wake => break,
                Some(query) = queries.recv() => query.reply_as_non_holder(),
            }
        }
    }
}

/// Acquires the role if no daemon holds it; otherwise returns the delay until the next attempt.
async fn try_acquire(daemon: &Arc<Daemon>, history: &History) -> Result<AcquiredRole, Duration> {
    let now = daemon.clock.now();
    let is_starting = now < Timestamp::default() + STARTUP_DELAY;
    let held = lock(&daemon.members).has_confirmed_holder(&daemon.settings.zone, now);
    if daemon.is_leaving() || is_starting || held {
        return Err(IDLE_INTERVAL);
    }
    match acquire::from_store(daemon).await {
        Ok(Some(role)) => Ok(role),
        Ok(None) => Err(ACQUIRE_RETRY_DELAY),
        Err(_) => acquire::without_store(daemon, history.highest_token, history.not_before)
            .ok_or(ACQUIRE_RETRY_DELAY),
    }
}
