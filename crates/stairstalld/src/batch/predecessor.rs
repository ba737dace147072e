//! Between a new planner and the daemon that held the role before: who plans now, and what that
//! daemon knows to be done but could not store.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::client::Error as RpcError;
use serde::{Deserialize, Serialize};
use stairstall_core::JobId;
use stairstall_core::batch::{TaskKey, UnstoredTasks};
use stairstall_core::claim::Mark;

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

/// What a superseded planner answers to its successor.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Superseded {
    /// Jobs with tasks that are done, although the store may not say so.
    #[serde(default)]
    unstored: Vec<UnstoredJob>,
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
/// store.
pub(crate) fn handle_superseded(node: &Node, planner: PlannerRecord) -> Superseded {
    role::record_planner(node, Some(planner));
    let unstored = node
        .tenure()
        .and_then(|tenure| tenure.unstored_tasks())
        .unwrap_or_else(|| lock(&node.unstored_tasks).clone());
    Superseded {
        unstored: unstored.iter().map(UnstoredJob::from).collect(),
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

/// Takes over what the previous planner could not store.
fn take_over(node: &Node, tenure: &Tenure, superseded: Superseded) {
    let found = superseded.unstored.into_iter();
    let unstored: Vec<UnstoredTasks> = found.map(UnstoredTasks::from).collect();
    if unstored.is_empty() {
        return;
    }
    log::info!(target: "role", token = tenure.token(), jobs = unstored.len(),
        tasks = unstored.iter().map(|job| job.done.len()).sum::<usize>();
        "previous planner told which tasks are done");
    // Kept as well: the stored jobs may not be loaded yet, and this tenure may end before they are.
    lock(&node.unstored_tasks).extend(unstored.iter().cloned());
    tenure.with_planner(|planner, now| planner.restore_done_tasks(&unstored, now));
}
