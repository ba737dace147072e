//! Whether a job is taken, or refused at once because waiting would be in vain.
//!
//! The load it answers: more is asked than there is room for, for longer than results are wanted;
//! and jobs that no worker can run at all.

use std::time::Duration;

use super::{AcceptedJob, AdmissionPolicy, LoadSummary, ResourceRequest, StartForecast, StepSpec};

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AdmissionRefusalReason {
    /// A task is larger than every worker, or a gang than all of them.
    TooLarge,
    /// No worker has a label that a task must have.
    NoSuchLabel,
    /// It would surely start too late to be of use.
    TooLate,
}

impl AdmissionRefusalReason {
    /// Returns the word used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::NoSuchLabel => "no-such-label",
            Self::TooLate => "too-late",
        }
    }
}

/// A refusal, and the figures that it was decided by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: AdmissionRefusalReason,
    /// When it would start; none where it never could.
    pub forecast: Option<StartForecast>,
    /// When it would have to start to be of any use.
    pub latest_start: Duration,
    /// How old the word is that this is decided by.
    pub age: Duration,
}

/// What is decided of a job that is handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is taken.
    Accept,
    /// It is refused.
    Refuse(AdmissionRefusal),
}

/// The last word on the load, and how old it is.
#[derive(Debug, Clone, Copy)]
pub struct KnownLoad<'a> {
    /// What the planner said.
    pub summary: &'a LoadSummary,
    /// How long ago, at most.
    pub age: Duration,
}

impl Admission {
    /// Decides by what is known of the load at this moment.
    #[must_use]
    pub fn decide(
        job: &AcceptedJob,
        load: Option<KnownLoad<'_>>,
        policy: &AdmissionPolicy,
    ) -> Self {
        let Some(load) = load else {
            return Self::Accept;
        };
        let refusal = impossible(job, load, policy).or_else(|| hopeless(job, load, policy));
        refusal.map_or(Self::Accept, Self::Refuse)
    }
}

fn impossible(
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
    let reason = steps.find_map(|step| obstacle(step, job, load.summary))?;
    Some(AdmissionRefusal {
        reason,
        forecast: None,
        latest_start: Duration::ZERO,
        age: load.age,
    })
}

/// Tells whether the workers of a job's service are known, and no more of them are just coming.
fn is_steady(job: &AcceptedJob, summary: &LoadSummary, policy: &AdmissionPolicy) -> bool {
    let kinds = summary.workers.iter();
    let kinds = kinds.filter(|kind| kind.service == job.queue.service);
    let is_steady = |ms| Duration::from_millis(ms) >= policy.impossible_min_observed;
    let least = kinds.map(|kind| kind.steady_ms).min();
    least.is_some_and(is_steady)
}

/// Returns why a step can never run, where that is so.
fn obstacle(
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
    let most = step.max_per_worker.unwrap_or(u32::MAX);
    let room = step.reserved_resources();
    let places = kinds().fold(0, |sum: u32, kind| {
        let each = room.copies_in(&kind.capacity, most);
        sum.saturating_add(kind.count.saturating_mul(each))
    });
    let needed = if step.gang { step.count } else { 1 };
    if places < needed {
        return Some(AdmissionRefusalReason::TooLarge);
    }
    let label = step.required_label.as_ref()?;
    let labels = summary.labels.as_ref()?;
    (!labels.contains(label)).then_some(AdmissionRefusalReason::NoSuchLabel)
}

fn hopeless(
    job: &AcceptedJob,
    load: KnownLoad<'_>,
    policy: &AdmissionPolicy,
) -> Option<AdmissionRefusal> {
    let observed = Duration::from_millis(load.summary.observed_ms);
    let is_known = load.age <= policy.too_late_max_age && observed >= policy.too_late_min_observed;
    let lasts = job.spec.steps.iter().any(|step| step.long_running);
    // Urgent work may be its customer's own share, of which the summary says nothing.
    let is_judged = job.queue.priority > 0 && job.spec.schedule.is_none() && !lasts;
    if !policy.refuses_too_late || !is_known || !is_judged {
        return None;
    }
    let late_bound = job.objective_span().saturating_mul(policy.late_objectives);
    if late_bound > policy.max_judged_span {
        return None;
    }
    let margin = policy.margin.max(late_bound * policy.margin_percent / 100);
    first_steps(job).find_map(|(step, chain)| {
        let typical = load.summary.typical_run_time(&job.queue.name, chain);
        // Where the work alone takes longer than that, coming back would not help.
        let start_by = late_bound.checked_sub(typical)?;
        let forecast = load
            .summary
            .forecast(&ResourceRequest::for_step(step, job))?;
        let is_hopeless = forecast.earliest.saturating_sub(load.age) > start_by + margin;
        is_hopeless.then_some(AdmissionRefusal {
            reason: AdmissionRefusalReason::TooLate,
            forecast: Some(forecast),
            latest_start: start_by,
            age: load.age,
        })
    })
}

/// Returns the steps that wait for no others, each with the longest chain of estimates that begins
/// with it.
fn first_steps(job: &AcceptedJob) -> impl Iterator<Item = (&StepSpec, Duration)> {
    let chains = job.spec.critical_paths_ms(|step| step.estimate_ms);
    let steps = job.spec.steps.iter().zip(chains);
    let first = steps.filter(|(step, _)| step.depends_on.is_empty());
    first.map(|(step, chain_ms)| (step, Duration::from_millis(chain_ms)))
}
