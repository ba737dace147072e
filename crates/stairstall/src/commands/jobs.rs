//! Submits jobs and tells where they stand.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use stairstall_core::batch::JobExplanation;
use stairstall_core::placement::{JobKey, JobRecord, JobSpec, JobState};
use stairstall_core::protocol::{Explanation, JobList};
use stairstall_core::{JobId, Selector};
use tokio::time::Instant;

use super::config::path;
use super::read_file;
use crate::cli::Output;
use crate::client::Client;
use crate::exit::Trouble;
use crate::render;

/// How often a job that is waited for is looked at.
const WAIT_INTERVAL: Duration = Duration::from_millis(500);

pub async fn submit(client: &Client, output: Output, file: &Path) -> Result<(), Trouble> {
    let spec: JobSpec = read_file(file)?;
    let record: JobRecord = client.json(Method::POST, "/v1/jobs", Some(&spec)).await?;
    print(output, &record)
}

pub async fn get(client: &Client, output: Output, selector: &Selector) -> Result<(), Trouble> {
    let page: JobList = client.get(&path("/v1/jobs", selector)).await?;
    match output {
        Output::Json => render::json(&page),
        Output::Human => render::jobs(&page),
    }
}

async fn read(client: &Client, job: &JobKey) -> Result<JobRecord, Trouble> {
    client.get(&format!("/v1/jobs/{job}")).await
}

pub async fn job(client: &Client, output: Output, job: &JobKey) -> Result<(), Trouble> {
    print(output, &read(client, job).await?)
}

pub async fn wait(
    client: &Client,
    output: Output,
    job: &JobKey,
    timeout_ms: u64,
) -> Result<(), Trouble> {
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    loop {
        let record = read(client, job).await?;
        match &record.state {
            JobState::Finished { success: true, .. } => return print(output, &record),
            state if state.is_final() => {
                print(output, &record)?;
                return Err(Trouble::JobFailed(format!("job {job} did not succeed")));
            }
            _ if Instant::now() >= until => {
                let state = record.state.as_str();
                return Err(Trouble::JobFailed(format!("job {job} is still {state}")));
            }
            _ => tokio::time::sleep(WAIT_INTERVAL).await,
        }
    }
}

pub async fn cancel(client: &Client, output: Output, job: &JobKey) -> Result<(), Trouble> {
    let path = format!("/v1/jobs/{job}");
    let record: JobRecord = client.json::<(), _>(Method::DELETE, &path, None).await?;
    print(output, &record)
}

pub async fn explain(client: &Client, output: Output, job: &JobKey) -> Result<(), Trouble> {
    let explanation: Explanation = client.get(&format!("/v1/jobs/{job}/explain")).await?;
    match output {
        Output::Json => render::json(&explanation),
        Output::Human => render::explanation(&explanation),
    }
}

pub async fn explain_batch(client: &Client, output: Output, job: &JobId) -> Result<(), Trouble> {
    let explanation: JobExplanation = client.get(&format!("/v1/jobs/{job}/explain")).await?;
    match output {
        Output::Json => render::json(&explanation),
        Output::Human => render::job_explanation(&explanation),
    }
}

fn print(output: Output, record: &JobRecord) -> Result<(), Trouble> {
    match output {
        Output::Json => render::json(record),
        Output::Human => render::job(record),
    }
}
