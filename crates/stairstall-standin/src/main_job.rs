//! Both deployments' work against daemons as processes, with a check of what really ran.
//!
//! The work is drawn from a seed: the same requests and jobs are sent in the
//! same order. How long each takes, which minion serves it and how often a
//! busy minion is passed over depend on the machine and do not repeat.

mod deployment;
mod jobs;
mod report;
mod requests;

use std::time::Duration;

use tokio::time::Instant;

use crate::{Cluster, ClusterPlan};
pub use deployment::Deployment;
pub use jobs::JobOutcome;
pub use report::Report;
pub use requests::RequestOutcome;

/// How long jobs may take after the last request.
const JOB_PATIENCE: Duration = Duration::from_secs(40);
/// How often fragmentation is sampled.
const SAMPLE: Duration = Duration::from_millis(250);

/// A fault in the middle of the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// Kills one daemon, counted over all zones.
    KillDaemon(usize),
}

/// Runs a deployment's work and reports on it.
///
/// # Errors
///
/// Returns why the cluster did not start.
///
/// # Panics
///
/// Panics where the cluster's own parts do not get ready in time.
pub async fn run(
    plan: ClusterPlan,
    deployment: &Deployment,
    fault: Fault,
) -> std::io::Result<Report> {
    let mut cluster = Cluster::start(plan).await?;
    cluster
        .apply(&deployment.resources(&cluster.plan.zones))
        .await;
    cluster.wait_for_slots().await;
    let started = Instant::now();
    let addresses: Vec<_> = cluster
        .daemons
        .iter()
        .map(crate::DaemonProcess::address)
        .collect();
    let caller = cluster.caller.clone();
    let work = async {
        let requests = requests::send_all(&caller, &addresses, deployment);
        let jobs = jobs::run_all(&caller, &addresses, deployment, JOB_PATIENCE);
        tokio::join!(requests, jobs)
    };
    let sampling = report::sample_fragmentation(&caller, &addresses, SAMPLE);
    let faulting = async {
        if let Fault::KillDaemon(index) = fault {
            tokio::time::sleep(deployment.length / 2).await;
            if let Some(daemon) = cluster.daemons.get_mut(index) {
                daemon.kill().await;
            }
        }
        std::future::pending::<()>().await;
    };
    let samples = std::sync::Mutex::new(Vec::new());
    let (requests, jobs) = tokio::select! {
        done = work => done,
        () = sampling.into(&samples) => unreachable!("sampling goes on until the work is done"),
        () = faulting => unreachable!("the fault waits for the end of the work"),
    };
    let took = started.elapsed();
    let samples = samples.into_inner().unwrap_or_default();
    Ok(Report::of(
        &cluster, deployment, &requests, &jobs, &samples, took,
    ))
}
