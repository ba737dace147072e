//! Between a new planner and the daemon that held the role before: who plans now, what that daemon
//! knows to be done but could not store, and until when what it has started may go on.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::Error as RpcError;
use serde::{Deserialize, Serialize};
use stairstall_core::batch::{LeaseEnds, TaskKey, UnstoredTasks};
use stairstall_core::claim::Mark;
use stairstall_core::{JobId, Timestamp, WorkerId};

use super::node::{Node, PlannerRecord};
use super::role;
use super::rpc::PeerClient;
use super::tenure::Tenure;
use crate::daemon::lock;

/// Number of calls to a predecessor that does not answer. With the delay between them they take
/// about as long as workers keep the leases that it gave them; after that the work runs again.
const ATTEMPTS: u32 = 20;
/// Delay between two of these calls.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// A time for which no lease runs, above which none is believed.
const LONGEST_LEFT: Duration = Duration::from_secs(3_600);

/// What a superseded planner answers to its successor.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Superseded {
    /// Jobs with tasks that are done, although the store may not say so.
    #[serde(default)]
    unstored: Vec<UnstoredJob>,
    /// Until when runs may go on. Older daemons don't say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    lease_ends: Option<LeasesLeft>,
}

/// How long runs that were started up to the end of a tenure may still go on. No clock is compared
/// with another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct LeasesLeft {
    token: u64,
    /// The longest time at each worker, in milliseconds; 0 if nothing goes on there.
    left_ms: Vec<(WorkerId, u64)>,
}

impl LeasesLeft {
    fn new(ends: &LeaseEnds, at: Timestamp) -> Self {
        let left = ends.left(at).into_iter();
        Self {
            token: ends.token,
            left_ms: left.map(|(id, left)| (id, rounded_up_ms(left))).collect(),
        }
    }

    fn into_lease_ends(self, at: Timestamp) -> LeaseEnds {
        let left = self.left_ms.into_iter();
        let left = left.map(|(id, ms)| (id, Duration::from_millis(ms).min(LONGEST_LEFT)));
        LeaseEnds::from_left(self.token, left.collect(), at)
    }
}

/// Returns a time in milliseconds, with one more for the clock of the process that hears of it, which
/// counts whole ones. No time stays none.
fn rounded_up_ms(left: Duration) -> u64 {
    let ms = crate::clock::millis(left);
    if ms == 0 { 0 } else { ms.saturating_add(1) }
}

/// Tasks of one job that are done, each by occurrence, step and index.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct UnstoredJob {
    job: JobId,
    mark: Mark,
    done: Vec<(u32, u32, u32)>,
}

impl From<&UnstoredTasks> for UnstoredJob {
    fn from(tasks: &UnstoredTasks) -> Self {
        let position = |task: &TaskKey| (task.group.occurrence, task.group.step, task.index);
        Self {
            job: tasks.job.clone(),
            mark: tasks.mark.clone(),
            done: tasks.done.iter().map(position).collect(),
        }
    }
}

impl From<UnstoredJob> for UnstoredTasks {
    fn from(found: UnstoredJob) -> Self {
        let UnstoredJob { job, mark, done } = found;
        let task = |(occurrence, step, index)| TaskKey::new(job.clone(), occurrence, step, index);
        Self {
            done: done.into_iter().map(task).collect(),
            mark,
            job,
        }
    }
}

/// Handles the notice of a new planner: ends this daemon's tenure, and returns what it could not
/// store, and until when what it has started may go on.
pub(crate) fn handle_superseded(node: &Node, planner: PlannerRecord) -> Superseded {
    role::record_planner(node, Some(planner));
    let kept = lock(&node.lease_ends).clone();
    let ends = node.tenure().and_then(|tenure| tenure.retire(&kept));
    let left = LeasesLeft::new(&ends.unwrap_or(kept), node.clock.now());
    let unstored = node
        .tenure()
        .and_then(|tenure| tenure.unstored_tasks())
        .unwrap_or_else(|| lock(&node.unstored_tasks).clone());
    Superseded {
        unstored: unstored.iter().map(UnstoredJob::from).collect(),
        lease_ends: Some(left),
    }
}

/// Keeps until when what was started up to the end of a tenure may go on, for the next planner.
pub(super) fn keep_lease_ends(node: &Node, tenure: &Tenure) {
    let mut kept = lock(&node.lease_ends);
    if let Some(ends) = tenure.retire(&kept) {
        *kept = ends;
    }
}

/// Notifies the previous planner, which may not reach the store, that it is superseded, and takes
/// over what it could not store.
pub(super) async fn supersede(
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    predecessor: PlannerRecord,
    own: PlannerRecord,
) {
    for _ in 0..ATTEMPTS {
        let Some(client) = node.peer_clients.client(&predecessor.rpc) else {
            return;
        };
        let answer = client.superseded(own.clone()).await;
        let is_told = match answer {
            Ok(superseded) => {
                take_over(&node, &tenure, superseded);
                true
            }
            // An older daemon does not know this call.
            Err(RpcError::Call(_)) => client.planner_changed(own.clone()).await.is_ok(),
            Err(_) => false,
        };
        log::info!(target: "role", predecessor:% = predecessor.vm, told = is_told;
            "notifying the previous planner");
        if is_told {
            return;
        }
        node.peer_clients.drop_client(&predecessor.rpc);
        node.back_off(RETRY_DELAY).await;
    }
}

/// Takes over what the previous planner could not store, and what it knows of leases.
///
/// The planner learns of both at once, of tasks that are done first: a run whose lease is told to be
/// over may have finished its task.
fn take_over(node: &Node, tenure: &Tenure, superseded: Superseded) {
    let found = superseded.unstored.into_iter();
    let unstored: Vec<UnstoredTasks> = found.map(UnstoredTasks::from).collect();
    let ends = superseded
        .lease_ends
        .map(|left| left.into_lease_ends(node.clock.now()));
    // Kept as well: the stored jobs may not be loaded yet, and this tenure may end before they are.
    lock(&node.unstored_tasks).extend(unstored.iter().cloned());
    let is_used = tenure.with_planner(|planner, now| {
        planner.restore_done_tasks(&unstored, now);
        ends.as_ref()
            .is_some_and(|ends| planner.restore_lease_ends(ends))
    });
    log::info!(target: "role", token = tenure.token(), jobs = unstored.len(),
        tasks = unstored.iter().map(|job| job.done.len()).sum::<usize>();
        "previous planner told which tasks are done");
    let Some(ends) = ends else {
        return;
    };
    let left = ends.left(node.clock.now());
    let over = left.iter().filter(|(_, left)| left.is_zero()).count();
    let longest = left.iter().map(|(_, left)| *left).max();
    log::info!(target: "role", token = tenure.token(), told_by = ends.token, used = is_used,
        workers = left.len(), over,
        longest_ms = crate::clock::millis(longest.unwrap_or_default());
        "previous planner told until when runs may go on at workers that don't answer");
    if is_used {
        *lock(&node.lease_ends) = ends;
    }
}

#[cfg(test)]
mod tests;
