//! Decides whether a job is accepted, or refused at once because waiting would be in vain.
//!
//! A job is refused if no worker can ever run it, or if there is so much other work that it would
//! start too late for its result to be of use.

use std::time::Duration;

use super::{AcceptedJob, AdmissionPolicy, LoadSummary, ResourceRequest, StartForecast, StepSpec};

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdmissionRefusalReason {
    /// A task is larger than every worker, or a gang is larger than all workers together.
    TooLarge,
    /// No worker has a label that a task requires.
    NoSuchLabel,
    /// The job would certainly start too late to be of use.
    TooLate,
}

impl AdmissionRefusalReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::NoSuchLabel => "no-such-label",
            Self::TooLate => "too-late",
        }
    }
}

/// A refusal, and the figures that it is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why the job is refused.
    pub reason: AdmissionRefusalReason,
    /// When the job would start; none where it never could.
    pub forecast: Option<StartForecast>,
    /// Time from now until the latest start at which the job is of use.
    pub latest_start: Duration,
    /// Age of the load summary that the refusal is based on.
    pub age: Duration,
}

/// Decision on a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The job is accepted.
    Accept,
    /// The job is refused.
    Refuse(AdmissionRefusal),
}

/// The planner's latest load summary, and its age.
#[derive(Debug, Clone, Copy)]
pub struct KnownLoad<'a> {
    /// The load summary.
    pub summary: &'a LoadSummary,
    /// Maximum age of the summary.
    pub age: Duration,
}

impl Admission {
    /// Decides on a job by the load known at this moment. Without a load summary, every job is
    /// accepted.
    #[must_use]
    pub fn decide(
        job: &AcceptedJob,
        load: Option<KnownLoad<'_>>,
        policy: &AdmissionPolicy,
    ) -> Self {
        let Some(load) = load else {
            return Self::Accept;
        };
        let refusal =
            refuse_impossible(job, load, policy).or_else(|| refuse_too_late(job, load, policy));
        refusal.map_or(Self::Accept, Self::Refuse)
    }
}

/// Returns a refusal if no worker can ever run the job.
fn refuse_impossible(
    job: &AcceptedJob,
    load: KnownLoad<'_>,
    policy: &AdmissionPolicy,
) -> Option<AdmissionRefusal> {
    let observed = Duration::from_millis(load.summary.observed_ms);
    let is_known =
        load.age <= policy.impossible_max_age && observed >= policy.impossible_min_observed;
    if !policy.refuses_impossible || !is_known {
        return None;
    }
    let mut steps = job.spec.steps.iter();
    if !is_steady(job, load.summary, policy) {
        return None;
    }
    let reason = steps.find_map(|step| impossible_reason(step, job, load.summary))?;
    Some(AdmissionRefusal {
        reason,
        forecast: None,
        latest_start: Duration::ZERO,
        age: load.age,
    })
}

/// Returns whether the workers of a job's service are known, and no further ones have appeared
/// recently.
fn is_steady(job: &AcceptedJob, summary: &LoadSummary, policy: &AdmissionPolicy) -> bool {
    let kinds = summary.workers.iter();
    let kinds = kinds.filter(|kind| kind.service == job.queue.service);
    let is_long_enough = |ms| Duration::from_millis(ms) >= policy.impossible_min_observed;
    let shortest_ms = kinds.map(|kind| kind.steady_ms).min();
    shortest_ms.is_some_and(is_long_enough)
}

/// Returns why a step can never run, or none where it can.
fn impossible_reason(
    step: &StepSpec,
    job: &AcceptedJob,
    summary: &LoadSummary,
) -> Option<AdmissionRefusalReason> {
    let service = &job.queue.service;
    let kinds = || {
        summary
            .workers
            .iter()
            .filter(|kind| kind.service == *service)
    };
    let max_per_worker = step.max_per_worker.unwrap_or(u32::MAX);
    let reserved = step.reserved_resources();
    let copies = kinds().fold(0, |sum: u32, kind| {
        let per_worker = reserved.copies_in(&kind.capacity, max_per_worker);
        sum.saturating_add(kind.count.saturating_mul(per_worker))
    });
    let needed = if step.gang { step.count } else { 1 };
    if copies < needed {
        return Some(AdmissionRefusalReason::TooLarge);
    }
    let label = step.required_label.as_ref()?;
    let labels = summary.labels.as_ref()?;
    (!labels.contains(label)).then_some(AdmissionRefusalReason::NoSuchLabel)
}

/// Returns a refusal if the job would certainly start too late to be of use.
fn refuse_too_late(
    job: &AcceptedJob,
    load: KnownLoad<'_>,
    policy: &AdmissionPolicy,
) -> Option<AdmissionRefusal> {
    let observed = Duration::from_millis(load.summary.observed_ms);
    let is_known = load.age <= policy.too_late_max_age && observed >= policy.too_late_min_observed;
    let long_running = job.spec.steps.iter().any(|step| step.long_running);
    // Urgent work may be within its customer's guaranteed share, which the summary excludes.
    let is_judged = job.queue.priority > 0 && job.spec.schedule.is_none() && !long_running;
    if !policy.refuses_too_late || !is_known || !is_judged {
        return None;
    }
    let late_bound = job.objective_span().saturating_mul(policy.late_objectives);
    if late_bound > policy.max_judged_span {
        return None;
    }
    let margin = policy.margin.max(late_bound * policy.margin_percent / 100);
    first_steps(job).find_map(|(step, path)| {
        let typical = load.summary.typical_run_time(&job.queue.name, path);
        // If the work takes longer than its late bound by itself, its start is not what makes it
        // late, and submitting it again later would not help.
        let latest_start = late_bound.checked_sub(typical)?;
        let forecast = load
            .summary
            .forecast(&ResourceRequest::for_step(step, job))?;
        let is_too_late = forecast.earliest.saturating_sub(load.age) > latest_start + margin;
        is_too_late.then_some(AdmissionRefusal {
            reason: AdmissionRefusalReason::TooLate,
            forecast: Some(forecast),
            latest_start,
            age: load.age,
        })
    })
}

/// Returns the steps without dependencies, each with the critical path that begins with it.
fn first_steps(job: &AcceptedJob) -> impl Iterator<Item = (&StepSpec, Duration)> {
    let paths = job.spec.critical_paths_ms(|step| step.estimate_ms);
    let steps = job.spec.steps.iter().zip(paths);
    let first = steps.filter(|(step, _)| step.depends_on.is_empty());
    first.map(|(step, path_ms)| (step, Duration::from_millis(path_ms)))
}
