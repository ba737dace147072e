use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{
    AcceptedJob, CallerState, Catalog, CustomerUsage, Decision, DecisionKind, GroupKey, JobSummary,
    Outcome, Policy, Progress, RunTimes, UrgentDemand, WorkerPaces,
};
use crate::{JobId, Timestamp, WorkerId};

mod adopt;
mod advice;
mod bounds;
mod candidate;
mod candidate_worker;
mod contact;
mod crashes;
mod directory;
mod draining;
mod evacuation;
mod explain;
mod fencing;
mod flow;
mod headroom;
mod incarnations;
mod job;
mod job_sync;
mod learned;
mod load;
mod orders;
mod paces;
mod pass;
mod placement;
mod pool;
mod progress;
mod queue;
mod resend;
mod restarts;
mod run_ends;
mod run_times;
mod runs;
mod start_outcomes;
mod starts;
mod stops;
mod stuck;
mod timelines;
mod timing;
mod usage;
mod victims;
mod waiting;

pub use advice::AdviceRequest;
pub use bounds::{Bounds, Now, VmLimits};
pub use flow::ContactLag;
use job::Job;
pub use orders::{Order, OrderKind};
use pool::Worker;
pub use progress::ProgressWrite;

/// How often everything is looked through for what time alone changes.
const HOUSEKEEPING: Duration = Duration::from_millis(25);

/// How often it looks whether it may.
const REPORTS_INTERVAL: Duration = Duration::from_millis(10);

/// Decides for one tenure which tasks start, wait and give way.
///
/// Feed it records, reports and the time; call [`Planner::tick`] after each of
/// them and carry out the orders it returns.
#[derive(Debug, Clone)]
pub struct Planner {
    token: u64,
    /// Lives of workers that have begun, each of which has a token of its own.
    incarnations_started: u64,
    bounds: Bounds,
    flow: flow::FlowControl,
    policy: Policy,
    catalog: Arc<Catalog>,
    jobs: BTreeMap<JobId, Job>,
    /// Until when jobs may have been cancelled without its knowledge; none once that was read.
    jobs_doubted_at: Option<Timestamp>,
    workers: BTreeMap<WorkerId, Worker>,
    run_index: runs::RunIndex,
    planned: BTreeSet<GroupKey>,
    /// Workers whose room is kept for waiting gangs.
    reservations: BTreeMap<GroupKey, placement::Reservation>,
    orders: Vec<Order>,
    advice_requests: Vec<AdviceRequest>,
    decisions: Vec<Decision>,
    changed: BTreeSet<JobId>,
    /// Jobs that something happened to since their accounts were brought up to date.
    changed_timelines: BTreeSet<JobId>,
    summaries: Vec<JobSummary>,
    demand: UrgentDemand,
    evacuation: evacuation::EvacuatedZones,
    paces: WorkerPaces,
    run_times: RunTimes,
    usage: CustomerUsage,
    /// When the oldest aged step last had its turn.
    aged_turn_at: Option<Timestamp>,
    load: load::LoadWatch,
    replan: bool,
    /// When everything was last looked through for what time alone changes.
    kept_house_at: Option<Timestamp>,
    /// When runs that stand still were last looked for.
    looked_for_stuck_at: Option<Timestamp>,
    /// When it first ticked.
    first_tick_at: Option<Timestamp>,
    /// When a worker last reported for the first time.
    last_new_report_at: Option<Timestamp>,
    /// Workers that should be asked now.
    workers_to_poll: Vec<WorkerId>,
    /// Claims that the ranks of runs were last set by; none where a run came from elsewhere since.
    ranked_guaranteed_jobs: Option<BTreeSet<JobId>>,
    /// Counts changes of the set of workers.
    worker_set_version: u64,
    /// Whether urgent work has arrived since the last pass.
    hurries: bool,
    /// When the last pass was.
    planned_at: Option<Timestamp>,
    /// When to plan again although nothing has happened: patience runs out with time.
    replan_at: Option<Timestamp>,
    /// Whether a planned start may have become possible.
    starts_due: bool,
    superseded: bool,
}

impl Planner {
    /// How much slower a worker's clock may run, as a divisor.
    const CLOCK_DRIFT_DIVISOR: u32 = 50;
    /// What a message may take beside.
    const MESSAGE_MARGIN: Duration = Duration::from_millis(300);

    /// Creates the planner of one tenure, which `token` fences.
    ///
    /// What an earlier planner may have started it learns from the progress
    /// that [`Planner::restore_job`] takes: places are written down before a start
    /// is sent.
    #[must_use]
    pub fn new(token: u64, bounds: Bounds) -> Self {
        Self {
            token,
            incarnations_started: 0,
            bounds,
            flow: flow::FlowControl::default(),
            policy: Policy::default(),
            catalog: Arc::default(),
            jobs: BTreeMap::new(),
            jobs_doubted_at: None,
            workers: BTreeMap::new(),
            run_index: runs::RunIndex::default(),
            planned: BTreeSet::new(),
            reservations: BTreeMap::new(),
            orders: Vec::new(),
            advice_requests: Vec::new(),
            decisions: Vec::new(),
            changed: BTreeSet::new(),
            changed_timelines: BTreeSet::new(),
            summaries: Vec::new(),
            demand: UrgentDemand::default(),
            evacuation: evacuation::EvacuatedZones::default(),
            paces: WorkerPaces::default(),
            run_times: RunTimes::default(),
            usage: CustomerUsage::default(),
            aged_turn_at: None,
            load: load::LoadWatch::default(),
            replan: true,
            kept_house_at: None,
            looked_for_stuck_at: None,
            first_tick_at: None,
            last_new_report_at: None,
            workers_to_poll: Vec::new(),
            ranked_guaranteed_jobs: None,
            worker_set_version: 0,
            hurries: false,
            planned_at: None,
            replan_at: None,
            starts_due: false,
            superseded: false,
        }
    }

    /// Longest real time that a lease of `granted` on a worker's clock lasts from the request on.
    fn max_lease_duration(granted: Duration) -> Duration {
        granted + granted / Self::CLOCK_DRIFT_DIVISOR + Self::MESSAGE_MARGIN
    }

    /// Replaces the policy by another one.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self.paces = WorkerPaces::new(policy.worker_pace);
        self.run_times = RunTimes::new(policy.run_times);
        self.usage = CustomerUsage::new(policy.turns);
        self
    }

    /// Says what this VM can carry.
    #[must_use]
    pub const fn with_limits(mut self, limits: VmLimits) -> Self {
        self.flow.set_limits(limits);
        self
    }

    /// Returns the fencing token.
    #[must_use]
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Tells whether a worker has seen a higher token: another planner has taken over.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Takes a newer configuration.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        if catalog.version >= self.catalog.version {
            self.catalog = catalog;
            self.replan = true;
        }
    }

    /// Takes a job as an earlier planner left it.
    pub fn restore_job(
        &mut self,
        accepted: AcceptedJob,
        progress: Option<&Progress>,
        cancelled: bool,
        now: Now,
    ) {
        let id = accepted.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = Job::new(Arc::new(accepted), now);
        job.timeline.taken_over = true;
        if let Some(progress) = progress {
            job.restore(progress, now);
        }
        if job.outcome.is_some() {
            // An earlier planner has told its story, or the part that it knew.
            job.timeline.mark_reported();
        }
        self.jobs.insert(id.clone(), job);
        if let Some(progress) = progress {
            self.restore_runs(&id, progress, now);
            self.restore_losses(&id, progress, now);
        }
        self.mark_timeline_changed(&id);
        if cancelled {
            self.cancel(&id, now);
        }
        self.replan = true;
    }

    /// Takes a job that was accepted just now; a known one changes nothing.
    pub fn submit(&mut self, accepted: AcceptedJob, now: Now) {
        if self.jobs.contains_key(&accepted.id) {
            return;
        }
        let id = accepted.id.clone();
        self.foresee(&accepted, now);
        self.mark_timeline_changed(&id);
        self.hurries |= accepted.queue.priority == 0;
        let job = Job::new(Arc::new(accepted), now);
        self.jobs.insert(id.clone(), job);
        self.note_demand(&id, now);
        self.replan = true;
    }

    /// Ends a job for its caller; false where it is not known.
    pub fn cancel(&mut self, id: &JobId, now: Now) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.outcome.is_none() {
            self.end_job(id, Outcome::Cancelled, "its caller cancelled it", now);
        }
        true
    }

    /// Decides what is to be done now.
    pub fn tick(&mut self, now: Now) -> Vec<Order> {
        if self
            .kept_house_at
            .is_none_or(|at| now.at - at >= HOUSEKEEPING)
        {
            self.kept_house_at = Some(now.at);
            self.end_lives_of_the_left(now);
            self.end_lives_of_the_vanished(now);
            self.expire_leases(now);
            self.resend(now);
            self.start_due_occurrences(now);
            self.charge_customers(now);
            self.learn_from_running(now);
            self.find_stuck(now);
        }
        if self.may_plan(now) {
            self.replan = false;
            self.hurries = false;
            self.planned_at = Some(now.at);
            self.replan_at = if self.knows_enough(now) {
                let waits = self.plan(now);
                waits.then(|| now.at + Self::IDLE_TICK)
            } else {
                Some(now.at + REPORTS_INTERVAL)
            };
        }
        self.starts_due = false;
        self.emit_starts(now);
        self.update_timelines(now);
        std::mem::take(&mut self.orders)
    }

    /// Tells whether something happened that asks for a tick.
    #[must_use]
    pub fn needs_tick(&self) -> bool {
        self.replan || self.starts_due || !self.orders.is_empty()
    }

    /// Returns what a caller is told of a job; an end only once it is written down.
    #[must_use]
    pub fn caller_state(&self, id: &JobId) -> Option<CallerState> {
        let job = self.jobs.get(id)?;
        Some(match job.outcome {
            Some(outcome) if job.is_stored() => CallerState::Ended(outcome),
            _ if job.has_started => CallerState::Running,
            _ => CallerState::Queued,
        })
    }

    /// Returns whose job it is; none inside where it is nobody's.
    #[must_use]
    pub fn accepted(&self, id: &JobId) -> Option<&AcceptedJob> {
        self.jobs.get(id).map(|job| job.accepted.as_ref())
    }

    /// Counts the open jobs of a queue of which no task has begun.
    #[must_use]
    pub fn pending(&self, queue: &str) -> u64 {
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.accepted.queue.name == queue)
            .filter(|job| job.outcome.is_none() && !job.has_started);
        waiting.count() as u64
    }

    /// Counts jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| job.outcome.is_none())
            .count()
    }

    /// Counts the runs at workers.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.workers.values().map(|w| w.runs.len()).sum()
    }

    /// Takes the decisions since the last call, oldest first.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Forgets jobs that ended longer ago than they are answered for, and names them.
    pub fn take_expired(&mut self, now: Now) -> Vec<JobId> {
        let keep = self.bounds.keep_ended;
        let expired: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.ended_at.is_some_and(|ended| now.at - ended > keep))
            .filter(|job| job.is_stored() && !self.run_index.has_job(&job.accepted.id))
            .map(|job| job.accepted.id.clone())
            .collect();
        for id in &expired {
            self.jobs.remove(id);
        }
        expired
    }

    /// Ends a job: what runs of it is stopped.
    fn end_job(&mut self, id: &JobId, outcome: Outcome, why: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.end(outcome, now);
        self.drop_forecast(id);
        self.changed_timelines.insert(id.clone());
        self.changed.insert(id.clone());
        self.decisions.push(Decision::of_job(
            DecisionKind::Outcome,
            id,
            format!("{outcome:?}: {why}").to_lowercase(),
        ));
        self.planned.retain(|group| group.job != *id);
        let running = self.run_index.of_job(id);
        let reason = if outcome == Outcome::Failed {
            "its job has failed"
        } else {
            "its job was cancelled"
        };
        for (worker, task) in running {
            if outcome == Outcome::Completed {
                self.note_unwanted(&worker, &task, now);
            } else {
                self.stop_run(&worker, &task, reason, now);
            }
        }
        self.replan = true;
    }
}
