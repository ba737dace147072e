//! Carries out the commands.

mod call;
mod config;
mod jobs;

use crate::cli::{Command, NamedJob, Options, Subject};
use crate::client::Client;
use crate::exit::Trouble;
use crate::render;

/// Carries out one command line.
pub async fn run(options: &Options) -> Result<(), Trouble> {
    let client = Client::new(&options.servers);
    let output = options.output;
    match &options.command {
        Command::Apply { change, file } => config::apply(&client, output, change, file).await,
        Command::Get {
            selector,
            subject: Subject::Config(kind),
        } => config::get(&client, output, *kind, selector).await,
        Command::Get {
            selector,
            subject: Subject::Jobs,
        } => jobs::get(&client, output, selector).await,
        Command::Set {
            change,
            selector,
            subject: Subject::Config(kind),
            assignment,
        } => config::set(&client, output, change, *kind, selector, assignment).await,
        Command::Set {
            change,
            selector,
            subject: Subject::Jobs,
            assignment,
        } => config::set_jobs(&client, output, change, selector, assignment).await,
        Command::Delete { change, kind, name } => {
            config::delete(&client, output, change, *kind, name).await
        }
        Command::Submit { file } => jobs::submit(&client, output, file).await,
        Command::Job { job } => jobs::job(&client, output, job).await,
        Command::Wait { timeout_ms, job } => jobs::wait(&client, output, job, *timeout_ms).await,
        Command::Cancel { job } => jobs::cancel(&client, output, job).await,
        Command::Explain {
            job: NamedJob::Native(job),
        } => jobs::explain(&client, output, job).await,
        Command::Explain {
            job: NamedJob::Batch(job),
        } => jobs::explain_batch(&client, output, job).await,
        Command::Call(options) => call::call(&client, options).await,
        Command::Status => {
            let status: serde_json::Value = client.get("/v1/status").await?;
            render::json(&status)
        }
    }
}

/// Reads a JSON file; `-` is standard input.
fn read_file<T: serde::de::DeserializeOwned>(file: &std::path::Path) -> Result<T, Trouble> {
    let name = file.display();
    let text = if file.as_os_str() == "-" {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(file)
    };
    let text = text.map_err(|e| Trouble::Local(format!("{name}: {e}")))?;
    serde_json::from_str(&text).map_err(|e| Trouble::Usage(format!("{name}: {e}")))
}
