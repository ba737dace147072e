//! Makes the records of ended jobs short.

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::batch::AcceptedJob;
use stairstall_ports::{Commit, Committed};

use super::node::Node;
use super::tenure::Tenure;
use super::{kept, keys};

/// How often ended jobs are looked for.
const INTERVAL: Duration = Duration::from_secs(1);
/// Jobs in one write: the store takes 32 entries, up to two a job and one for the role.
const JOBS_PER_WRITE: usize = 15;

/// Shortens records for as long as the tenure lasts.
pub(crate) async fn run(node: Arc<Node>, tenure: Arc<Tenure>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if !tenure.is_in_force() {
            continue;
        }
        let trims = tenure.with(|planner, _| planner.take_trims(JOBS_PER_WRITE));
        if !trims.is_empty() {
            write(&node, &tenure, &trims).await;
        }
    }
}

async fn write(node: &Node, tenure: &Tenure, trims: &[AcceptedJob]) {
    let mut commit = Commit::default().when(keys::PLANNER, tenure.role_revision);
    for job in trims {
        match kept::write(job) {
            Ok(value) => commit = commit.put(keys::job(&job.id), value),
            Err(error) => {
                log::error!(target: "upkeep", job:% = job.id, why:% = error; "its record can't be written");
            }
        }
    }
    let written = node.stored("trim", node.store.commit(commit)).await;
    let is_done = matches!(written, Ok(Committed::Done(_)));
    tenure.with(|planner, _| {
        for job in trims {
            if is_done {
                planner.trimmed(&job.id);
            } else {
                planner.not_trimmed(&job.id);
            }
        }
    });
    log::info!(target: "upkeep", jobs = trims.len(), done = is_done; "records of ended jobs are shortened");
}
