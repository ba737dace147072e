//! Prints answers.

use std::io::Write;

use serde::Serialize;
use stairstall_core::batch::{
    CallerState, JobExplanation, Outcome, StepExplanation, WaitExplanation,
};
use stairstall_core::placement::{JobRecord, JobState};
use stairstall_core::protocol::{ConfigReply, Explanation, JobList};

use crate::exit::Trouble;

/// Prints bytes as they are.
pub fn bytes(bytes: &[u8]) -> Result<(), Trouble> {
    let mut out = std::io::stdout().lock();
    let written = out.write_all(bytes).and_then(|()| out.flush());
    written.map_err(|e| Trouble::Local(format!("standard output: {e}")))
}

/// Prints one line.
pub fn line(line: &str) -> Result<(), Trouble> {
    bytes(format!("{line}\n").as_bytes())
}

/// Prints a value as JSON.
pub fn json<T: Serialize>(value: &T) -> Result<(), Trouble> {
    let text = serde_json::to_string_pretty(value).map_err(|e| Trouble::Local(e.to_string()))?;
    line(&text)
}

/// Prints rows under a head, each column as wide as its widest cell.
fn table(head: &[&str], rows: &[Vec<String>]) -> Result<(), Trouble> {
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let all = || std::iter::once(&head).chain(rows);
    let widths: Vec<usize> = (0..head.len())
        .map(|i| all().map(|row| row[i].len()).max().unwrap_or(0))
        .collect();
    for row in all() {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        line(cells.collect::<Vec<_>>().join("  ").trim_end())?;
    }
    Ok(())
}

/// Prints resources.
pub fn resources(reply: &ConfigReply) -> Result<(), Trouble> {
    let rows: Vec<Vec<String>> = reply
        .resources
        .iter()
        .map(|resource| {
            let mut fields = serde_json::to_value(resource).unwrap_or_default();
            if let Some(fields) = fields.as_object_mut() {
                fields.retain(|key, _| !["kind", "name", "labels"].contains(&key.as_str()));
            }
            vec![
                resource.name().to_owned(),
                resource.labels().to_string(),
                fields.to_string(),
            ]
        })
        .collect();
    table(&["NAME", "LABELS", "FIELDS"], &rows)?;
    line(&format!("revision {}", reply.revision))
}

fn job_row(record: &JobRecord) -> Vec<String> {
    let verdict = record.state.verdict().map_or("-", |v| v.as_str());
    vec![
        record.spec.key().to_string(),
        record.spec.class.to_string(),
        record.spec.shape.to_string(),
        record.zone.to_string(),
        record.state.as_str().to_owned(),
        verdict.to_owned(),
    ]
}

const JOB_HEAD: [&str; 6] = ["JOB", "CLASS", "SHAPE", "ZONE", "STATE", "VERDICT"];

/// Prints jobs.
pub fn jobs(page: &JobList) -> Result<(), Trouble> {
    let rows: Vec<Vec<String>> = page.jobs.iter().map(job_row).collect();
    table(&JOB_HEAD, &rows)
}

/// Prints one job with its result.
pub fn job(record: &JobRecord) -> Result<(), Trouble> {
    table(&JOB_HEAD, &[job_row(record)])?;
    match &record.state {
        JobState::Finished { output, .. } => line(output),
        JobState::Ended { reason, .. } => line(reason),
        _ => Ok(()),
    }
}

/// Prints an explanation, oldest decision first.
pub fn explanation(explanation: &Explanation) -> Result<(), Trouble> {
    line(&format!("{}: {}", explanation.job, explanation.summary))?;
    for stage in &explanation.stages {
        line(&format!("  {:>8} ms ago  {}", stage.age_ms, stage.text))?;
    }
    Ok(())
}
/// Prints where a job of the batch mode stands.
pub fn job_explanation(explanation: &JobExplanation) -> Result<(), Trouble> {
    let customer = explanation
        .customer
        .as_ref()
        .map_or("-", |customer| customer.as_str());
    line(&format!(
        "{}: {}, queue {}, priority {}, customer {customer}, accepted {} ms ago",
        explanation.job,
        state_word(explanation.state),
        explanation.queue,
        explanation.priority,
        explanation.age_ms,
    ))?;
    for (span, ms) in &explanation.spent_ms {
        line(&format!("  {ms:>8} ms  {}", span.as_str()))?;
    }
    line(&format!("  setbacks: {}", explanation.setbacks))?;
    if let Some(waits) = &explanation.wait {
        line(&wait_line(waits))?;
    }
    for step in &explanation.steps {
        line(&step_line(step))?;
    }
    Ok(())
}

fn wait_line(waits: &WaitExplanation) -> String {
    let room = waits.room_in_ms.map_or_else(String::new, |ms| {
        format!(", which should be free in {ms} ms")
    });
    format!(
        "  waits for {}{room}: rank {}, {} if it started now; its customer has used {} ms of the whole fleet lately, a fair part is {} ms",
        waits.reason,
        waits.rank,
        waits.timeliness.as_str(),
        waits.used_ms,
        waits.fair_ms,
    )
}

fn step_line(step: &StepExplanation) -> String {
    let StepExplanation {
        occurrence,
        step: number,
        tasks,
        waiting,
        done,
        waited_ms,
        steps_ahead: behind,
        ..
    } = step;
    let on = step.phase.as_str();
    let place = if *waiting > 0 {
        format!(", waits for {waited_ms} ms behind {behind} steps")
    } else {
        String::new()
    };
    format!(
        "  step {occurrence}.{number} is at {on}: {waiting} of {tasks} tasks have no place, {done} are done{place}"
    )
}

const fn state_word(state: CallerState) -> &'static str {
    match state {
        CallerState::Queued => "queued",
        CallerState::Running => "running",
        CallerState::Ended(Outcome::Completed) => "completed",
        CallerState::Ended(Outcome::Failed) => "failed",
        CallerState::Ended(Outcome::Cancelled) => "cancelled",
    }
}
