use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use tokio::time::Instant;

use super::Deployment;
use super::deployment::PlannedJob;
use crate::Caller;

/// How often a submission is tried, at the next daemon.
const TRIES: usize = 8;
/// Pause between two looks at a job.
const GLANCE: Duration = Duration::from_millis(250);

/// What became of a job.
#[derive(Debug, Clone)]
pub struct JobOutcome {
    /// The job.
    pub key: String,
    /// Whether it was said to be accepted.
    pub accepted: bool,
    /// Its last state: `finished`, `ended` or what it was when patience ended.
    pub state: String,
    /// Its verdict.
    pub verdict: String,
    /// From submission to the end.
    pub took: Duration,
    /// Whether it claims a guarantee.
    pub claims: bool,
}

/// Submits every job at its time and waits for its end.
pub(super) async fn run_all(
    caller: &Caller,
    daemons: &[SocketAddr],
    deployment: &Deployment,
    patience: Duration,
) -> Vec<JobOutcome> {
    let started = Instant::now();
    let until = started + deployment.length + patience;
    let runs = deployment
        .jobs
        .iter()
        .enumerate()
        .map(|(number, job)| async move {
            tokio::time::sleep_until(started + job.at).await;
            run_one(caller, daemons, number, job, until).await
        });
    join_all(runs).await
}

async fn run_one(
    caller: &Caller,
    daemons: &[SocketAddr],
    number: usize,
    job: &PlannedJob,
    until: Instant,
) -> JobOutcome {
    let started = Instant::now();
    let accepted = submit(caller, daemons, number, job).await;
    let mut outcome = JobOutcome {
        key: job.key.clone(),
        accepted,
        state: "unknown".to_owned(),
        verdict: String::new(),
        took: Duration::ZERO,
        claims: job.claims,
    };
    let mut attempt = number;
    while accepted && Instant::now() < until {
        attempt += 1;
        let daemon = daemons[attempt % daemons.len()];
        let path = format!("/v1/jobs/{}", job.key);
        if let Ok(reply) = caller.get(daemon, &path).await
            && reply.status.is_success()
        {
            let record = reply.json();
            let state = text(&record, "state");
            reply
                .verdict()
                .unwrap_or_default()
                .clone_into(&mut outcome.verdict);
            outcome.state.clone_from(&state);
            if ["finished", "ended"].contains(&state.as_str()) {
                break;
            }
        }
        tokio::time::sleep(GLANCE).await;
    }
    outcome.took = started.elapsed();
    outcome
}

async fn submit(caller: &Caller, daemons: &[SocketAddr], number: usize, job: &PlannedJob) -> bool {
    for attempt in 0..TRIES {
        let daemon = daemons[(number + attempt) % daemons.len()];
        if let Ok(reply) = caller.post(daemon, "/v1/jobs", &job.body).await
            && reply.status.is_success()
        {
            return true;
        }
        tokio::time::sleep(GLANCE).await;
    }
    false
}

fn text(record: &Value, field: &str) -> String {
    record[field].as_str().unwrap_or_default().to_owned()
}
