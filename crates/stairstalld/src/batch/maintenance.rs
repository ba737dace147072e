//! Periodic work of the planner: shortens the records of ended jobs, stores learned estimates, offers
//! the role to a daemon that can hold it better and logs status lines.

use std::sync::Arc;
use std::time::Duration;

use stairstall_core::batch::{AcceptedJob, LearnedEstimates, OldestWait, Planner, RoleRelief};
use stairstall_ports::{Commit, CommitOutcome};

use super::node::Node;
use super::tenure::Tenure;
use super::{encoding, role};
use crate::clock::{ProcessorUse, millis};
use crate::keys;

/// Interval between rounds of maintenance.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Number of rounds between status lines.
const ROUNDS_PER_STATUS: u64 = 5;
/// Number of rounds between two writes of learned estimates.
const ROUNDS_PER_LEARNED: u64 = 2;
/// Number of customers whose usage is logged.
const CUSTOMERS_LOGGED: usize = 5;
/// Number of jobs whose records are shortened by one write. The store accepts 32 entries in a write;
/// 15 jobs stay below that even with two entries each and one for the role.
const JOBS_PER_WRITE: usize = 15;

/// Does the periodic work for as long as the tenure lasts.
pub(crate) async fn run(node: Arc<Node>, tenure: Arc<Tenure>) {
    let mut stored = LearnedEstimates::default();
    let mut processor = ProcessorUse::default();
    let mut relief = RoleRelief::new(node.settings.policy.role, node.clock.now());
    for round in 1_u64.. {
        tokio::time::sleep(ROUND_INTERVAL).await;
        if !tenure.is_active() {
            continue;
        }
        if round.is_multiple_of(ROUNDS_PER_STATUS) {
            log_contact_lag(&tenure);
            log_activity(&node, &tenure, &mut processor);
            log_oldest_waits(&tenure);
            log_paces(&tenure);
            log_usage(&tenure);
        }
        role::offer_relief(&node, &tenure, &mut relief).await;
        if node.settings.policy.run_times.is_stored && round.is_multiple_of(ROUNDS_PER_LEARNED) {
            store_learned(&node, &tenure, &mut stored).await;
        }
        let trimmed = tenure.with_planner(|planner, _| planner.take_jobs_to_trim(JOBS_PER_WRITE));
        if !trimmed.is_empty() {
            store_trimmed(&node, &tenure, &trimmed).await;
        }
    }
}

/// Logs how current the planner's contact with its workers is.
fn log_contact_lag(tenure: &Tenure) {
    let lag = tenure.contact_lag();
    let (evacuated, evacuated_age) = tenure.evacuated_zones();
    log::info!(target: "contact", token = tenure.token(), silent = lag.unresponsive,
        unverified = lag.unverified, oldest_report_ms = millis(lag.oldest_report),
        report_wait_ms = millis(lag.report_wait),
        starts_under_way = lag.starts_in_flight, unselected = lag.unselected,
        free_accelerators = lag.free_accelerators, unusable_accelerators = lag.unusable_accelerators,
        clock_drift_ms = millis(lag.clock_drift),
        late_ms = millis(lag.lateness), pass_ms = millis(lag.pass),
        busy_percent = lag.busy_percent, poll_pause_ms = millis(lag.poll_pause), evacuated_zones = evacuated,
        evacuations_age_ms = millis(evacuated_age.unwrap_or_default()); "worker contact of this planner");
}

/// Logs what the planner did since the last round, and the bounds that it kept to.
fn log_activity(node: &Node, tenure: &Tenure, processor: &mut ProcessorUse) {
    let done = tenure.with_planner(Planner::take_activity);
    let period_ms = millis(done.period).max(1);
    let used_ms = millis(processor.take());
    log::info!(target: "activity", token = tenure.token(), period_ms,
        cpu_percent = node.settings.cpu_percent, used_percent = used_ms * 100 / period_ms,
        passes = done.passes, tick_ms = millis(done.tick_time), limited_passes = done.limited_passes,
        reports = done.reports, immediate_reports = done.immediate_reports,
        ends = done.ends, repeated_ends = done.repeated_ends, starts = done.starts, start_outcomes = done.start_outcomes,
        starts_per_s = done.completed_starts_per_s.unwrap_or(0),
        start_window = done.start_window, reports_per_s = done.affordable_reports_per_s,
        contact_window = done.contact_window; "what this planner did, and its bounds");
}

/// Logs which step has waited longest although its tasks fit on free capacity, and which of a
/// guaranteed job has waited longest, if there are such steps.
fn log_oldest_waits(tenure: &Tenure) {
    if let Some(oldest) = tenure.oldest_fitting_wait() {
        log_wait(tenure, &oldest, false);
    }
    if let Some(oldest) = tenure.oldest_guaranteed_wait() {
        log_wait(tenure, &oldest, true);
    }
}

fn log_wait(tenure: &Tenure, oldest: &OldestWait, guaranteed: bool) {
    log::info!(target: "waiting", token = tenure.token(), job:% = oldest.group.job,
        step:% = oldest.group, guaranteed, waited_ms = millis(oldest.waited); "{}", oldest.reason);
}

/// Logs how many workers differ in pace.
fn log_paces(tenure: &Tenure) {
    let paces = tenure.pace_summary();
    log::info!(target: "pace", token = tenure.token(), known = paces.known, slow = paces.slow,
        fast = paces.fast, uneven = paces.is_heterogeneous; "paces of workers");
}

/// Logs the recent usage of the customers with the highest usage.
fn log_usage(tenure: &Tenure) {
    let (customers, fair_ms) = tenure.customer_usage(CUSTOMERS_LOGGED);
    for usage in customers {
        let customer = usage
            .customer
            .map_or_else(|| "-".to_owned(), |name| name.to_string());
        log::info!(target: "use", token = tenure.token(), customer:% = customer,
            used_ms = usage.used_ms, fair_ms; "recent usage of a customer, in time of the whole fleet");
    }
}

/// Stores the learned estimates if they would tell the next planner more than those stored before.
/// A failed write is retried in a later round.
async fn store_learned(node: &Node, tenure: &Tenure, stored: &mut LearnedEstimates) {
    let learned = tenure.with_planner(|planner, now| planner.learned_estimates(now));
    if !learned.differs_significantly_from(stored) {
        return;
    }
    let value = match encoding::encode(&learned) {
        Ok(value) => value,
        Err(error) => {
            log::error!(target: "upkeep", why:% = error; "can't encode learned estimates");
            return;
        }
    };
    let bytes = value.len();
    let commit = Commit::default().when(keys::PLANNER_ROLE, tenure.role_revision);
    let commit = commit.put(keys::LEARNED.to_owned(), value);
    let outcome = node
        .store_call("keep learnt", node.store.commit(commit))
        .await;
    let is_done = matches!(outcome, Ok(CommitOutcome::Done(_)));
    if is_done {
        *stored = learned;
    }
    log::info!(target: "upkeep", bytes, done = is_done; "storing learned estimates");
}

/// Stores the shortened records of ended jobs.
async fn store_trimmed(node: &Node, tenure: &Tenure, trimmed: &[AcceptedJob]) {
    let mut commit = Commit::default().when(keys::PLANNER_ROLE, tenure.role_revision);
    for job in trimmed {
        match encoding::encode(job) {
            Ok(value) => commit = commit.put(keys::batch_job(&job.id), value),
            Err(error) => {
                log::error!(target: "upkeep", job:% = job.id, why:% = error; "can't encode the job's record");
            }
        }
    }
    let stored = node.store_call("trim", node.store.commit(commit)).await;
    let is_done = matches!(stored, Ok(CommitOutcome::Done(_)));
    tenure.with_planner(|planner, _| {
        for job in trimmed {
            if is_done {
                planner.job_trimmed(&job.id);
            } else {
                planner.job_trim_failed(&job.id);
            }
        }
    });
    log::info!(target: "upkeep", jobs = trimmed.len(), done = is_done; "shortening records of ended jobs");
}
