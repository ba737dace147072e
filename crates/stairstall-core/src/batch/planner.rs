use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{
    AcceptedJob, CallerState, Catalog, ClockReading, CustomerUsage, Decision, DecisionKind,
    GroupKey, JobSummary, Outcome, Policy, Progress, RunTimes, UrgentDemand, WorkerPaces,
};
use crate::{JobId, Timestamp, WorkerId, ZoneId};

mod activity;
mod addresses;
mod adopt;
mod advice;
mod availability;
mod bounds;
mod candidate;
mod candidate_worker;
mod carry_over;
mod contact;
mod crashes;
mod directory;
mod draining;
mod end_listing;
mod evacuation;
mod explain;
mod fencing;
mod flow;
mod guarantees;
mod headroom;
mod held_back;
mod idle_jobs;
mod idle_time;
mod incarnations;
mod job;
mod job_sync;
mod learned;
mod lease_ends;
mod load;
mod orders;
mod own_load;
mod paces;
mod pacing;
mod pass;
mod placement;
mod pool;
mod progress;
mod queue;
mod reach;
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
mod write_queue;

pub use activity::Activity;
pub use advice::AdviceRequest;
pub use bounds::{Bounds, Now, VmLimits};
pub use carry_over::UnstoredTasks;
pub use flow::ContactLag;
use job::Job;
pub use lease_ends::LeaseEnds;
pub use orders::{Order, OrderKind};
use pool::Worker;
pub use progress::ProgressWrite;
pub use waiting::OldestWait;

/// Interval between checks of time-dependent state, such as leases and scheduled occurrences.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which a new planner rechecks whether enough workers have reported for it to plan.
const REPORTS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Decides which tasks start, wait and are preempted during one tenure of the planner role.
///
/// The planner does no I/O. Pass it job records, worker reports and the current time, call
/// [`Planner::tick`] after each input, and carry out the orders that it returns.
#[derive(Debug, Clone)]
pub struct Planner {
    token: u64,
    /// Number of worker incarnations seen so far; each gets a fencing token of its own.
    incarnations_started: u64,
    bounds: Bounds,
    flow: flow::FlowControl,
    policy: Policy,
    catalog: Arc<Catalog>,
    jobs: BTreeMap<JobId, Job>,
    /// Latest time up to which jobs may have been submitted or cancelled without the planner being
    /// notified. `None` once the job records stored by then have been read.
    jobs_stale_at: Option<Timestamp>,
    workers: BTreeMap<WorkerId, Worker>,
    addresses: addresses::AddressIndex,
    /// Jobs that are stored but can't be read.
    held_back: BTreeSet<JobId>,
    /// Until when unanswered acknowledgements to IDs of removed workers may be carried out.
    late_acknowledgements: BTreeMap<WorkerId, Timestamp>,
    /// Until when calls of an earlier planner may be carried out. `None` if there was none.
    earlier_calls_until: Option<Timestamp>,
    run_index: runs::RunIndex,
    /// Steps that have planned runs.
    planned: BTreeSet<GroupKey>,
    /// Workers reserved for waiting gangs.
    reservations: BTreeMap<GroupKey, placement::Reservation>,
    orders: Vec<Order>,
    advice_requests: Vec<AdviceRequest>,
    decisions: Vec<Decision>,
    /// Jobs with changes that are not being written to the store yet.
    changed_jobs: write_queue::WriteQueue,
    /// Jobs that have changed since their timelines were last updated.
    changed_timelines: BTreeSet<JobId>,
    summaries: Vec<JobSummary>,
    demand: UrgentDemand,
    evacuated_zones: evacuation::EvacuatedZones,
    paces: WorkerPaces,
    run_times: RunTimes,
    usage: CustomerUsage,
    /// When a step was last moved to the front because of its age.
    last_aged_at: Option<Timestamp>,
    load: load::LoadTracker,
    /// Whether an input requires a scheduling pass.
    replan: bool,
    /// When the time-dependent state was last checked.
    last_housekeeping_at: Option<Timestamp>,
    /// When the runs were last checked for stalled ones.
    last_stall_check_at: Option<Timestamp>,
    /// Time of the first tick.
    first_tick_at: Option<Timestamp>,
    /// When the first report of a worker incarnation last arrived.
    last_new_report_at: Option<Timestamp>,
    /// Workers to ask for a report immediately.
    workers_to_poll: Vec<WorkerId>,
    /// Zones in which a worker has become unresponsive since they were last checked.
    zones_to_check: BTreeSet<ZoneId>,
    /// The guaranteed jobs when the ranks of runs were last set. `None` if a run was adopted or
    /// restored since then.
    ranked_guaranteed_jobs: Option<BTreeSet<JobId>>,
    /// Incremented whenever the set of workers or a worker's address changes.
    worker_set_version: u64,
    /// Whether an urgent job has arrived since the last scheduling pass.
    has_urgent_arrival: bool,
    /// Time of the last scheduling pass.
    last_pass_at: Option<Timestamp>,
    own_load: own_load::OwnLoad,
    activity: activity::ActivityCounts,
    pacing: pacing::Pacing,
    /// When to run the next scheduling pass even if nothing changes, because wait limits expire.
    replan_at: Option<Timestamp>,
    /// Whether the start of a planned run may have become possible since the last tick.
    starts_due: bool,
    /// Whether the planner must give up its role.
    superseded: bool,
    /// Workers at which runs have ended in this tenure.
    releases: lease_ends::Releases,
    /// Until when runs of earlier tenures may go on at workers, as the last of these has told.
    told_lease_ends: BTreeMap<WorkerId, Timestamp>,
    /// Whether the next planner was told what this one knows, so that it gives no more orders.
    is_retired: bool,
}

impl Planner {
    /// Allowance for the delivery of a message, added to a lease.
    const MESSAGE_MARGIN: Duration = Duration::from_millis(300);

    /// Creates the planner of one tenure, with `token` as its fencing token.
    ///
    /// Runs that an earlier planner may have started are restored from the progress passed to
    /// [`Planner::restore_job`]: a placement is stored before its start is sent.
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
            jobs_stale_at: None,
            workers: BTreeMap::new(),
            addresses: addresses::AddressIndex::default(),
            held_back: BTreeSet::new(),
            late_acknowledgements: BTreeMap::new(),
            earlier_calls_until: None,
            run_index: runs::RunIndex::default(),
            planned: BTreeSet::new(),
            reservations: BTreeMap::new(),
            orders: Vec::new(),
            advice_requests: Vec::new(),
            decisions: Vec::new(),
            changed_jobs: write_queue::WriteQueue::default(),
            changed_timelines: BTreeSet::new(),
            summaries: Vec::new(),
            demand: UrgentDemand::default(),
            evacuated_zones: evacuation::EvacuatedZones::default(),
            paces: WorkerPaces::default(),
            run_times: RunTimes::default(),
            usage: CustomerUsage::default(),
            last_aged_at: None,
            load: load::LoadTracker::default(),
            replan: true,
            last_housekeeping_at: None,
            last_stall_check_at: None,
            first_tick_at: None,
            last_new_report_at: None,
            workers_to_poll: Vec::new(),
            zones_to_check: BTreeSet::new(),
            ranked_guaranteed_jobs: None,
            worker_set_version: 0,
            has_urgent_arrival: false,
            last_pass_at: None,
            own_load: own_load::OwnLoad::default(),
            activity: activity::ActivityCounts::default(),
            pacing: pacing::Pacing::default(),
            replan_at: None,
            starts_due: false,
            superseded: false,
            releases: lease_ends::Releases::default(),
            told_lease_ends: BTreeMap::new(),
            is_retired: false,
        }
    }

    /// Returns the longest real time, counted from the request, that a lease of `granted` on a
    /// worker's clock can last.
    fn max_lease_duration(granted: Duration) -> Duration {
        ClockReading::longest_duration(granted) + Self::MESSAGE_MARGIN
    }

    /// Sets the scheduling policy. Any learned paces, run times and usage are discarded.
    #[must_use]
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self.paces = WorkerPaces::new(policy.worker_pace);
        self.run_times = RunTimes::new(policy.run_times);
        self.usage = CustomerUsage::new(policy.scheduling);
        self
    }

    /// Sets the limits of the VM that the planner runs on.
    #[must_use]
    pub const fn with_limits(mut self, limits: VmLimits) -> Self {
        self.flow.set_limits(limits);
        self
    }

    /// Returns the fencing token of this tenure.
    #[must_use]
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Returns whether the planner must give up its role: another planner has taken over, because a
    /// worker has seen a higher fencing token, or the tokens of this tenure are used up.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Applies a configuration, unless it is older than the current one.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        if catalog.version >= self.catalog.version {
            self.catalog = catalog;
            self.replan = true;
        }
    }

    /// Restores a job from the records of an earlier planner. A job that is already known or held
    /// back is ignored.
    pub fn restore_job(
        &mut self,
        accepted: AcceptedJob,
        progress: Option<&Progress>,
        cancelled: bool,
        now: Now,
    ) {
        let id = accepted.id.clone();
        if self.jobs.contains_key(&id) || self.is_held_back(&id) {
            return;
        }
        let mut job = Job::new(Arc::new(accepted), now);
        job.timeline.taken_over = true;
        if let Some(progress) = progress {
            job.restore(progress, now);
            let late_start = self.policy.orders.late_start;
            self.earlier_calls_until.get_or_insert(now.at + late_start);
        }
        job.restore_idle_time(progress, now);
        if job.outcome.is_some() {
            // An earlier planner has already published this job's summary, as far as it knew it.
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

    /// Adds a newly accepted job. A job that is already known or held back is ignored, and so is a
    /// shortened record: it is what is left of a job that has ended and was dropped since.
    pub fn submit(&mut self, accepted: AcceptedJob, now: Now) {
        let is_known = self.jobs.contains_key(&accepted.id) || self.is_held_back(&accepted.id);
        if is_known || accepted.is_trimmed() {
            return;
        }
        let id = accepted.id.clone();
        self.record_forecast(&accepted, now);
        self.mark_timeline_changed(&id);
        self.has_urgent_arrival |= accepted.queue.priority == 0;
        let mut job = Job::new(Arc::new(accepted), now);
        job.restore_idle_time(None, now);
        self.jobs.insert(id.clone(), job);
        self.record_demand(&id, now);
        self.replan = true;
    }

    /// Cancels a job on behalf of its caller. Returns `false` if the job is not known.
    pub fn cancel(&mut self, id: &JobId, now: Now) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if job.outcome.is_none() {
            self.end_job(id, Outcome::Cancelled, "its caller cancelled it", now);
        }
        true
    }

    /// Runs the checks and the scheduling pass that are due, and returns the orders to send to
    /// workers.
    pub fn tick(&mut self, now: Now) -> Vec<Order> {
        if self.is_retired {
            return Vec::new();
        }
        if self
            .last_housekeeping_at
            .is_none_or(|at| now.at - at >= HOUSEKEEPING_INTERVAL)
        {
            self.last_housekeeping_at = Some(now.at);
            self.check_suspect_zones(now);
            self.end_departed_incarnations(now);
            self.end_vanished_incarnations(now);
            self.expire_leases(now);
            self.check_unsettled_runs(now);
            self.add_eligible_occurrences(now);
            self.charge_customers(now);
            self.learn_from_running(now);
            self.move_stalled_runs(now);
        }
        if self.is_pass_due(now) {
            self.replan = false;
            self.has_urgent_arrival = false;
            self.last_pass_at = Some(now.at);
            self.own_load.has_run_pass = true;
            self.check_suspect_zones(now);
            self.replan_at = if self.has_enough_reports(now) {
                let waits = self.plan(now);
                self.activity.record_pass(self.flow.are_starts_limited());
                waits.then(|| now.at + Self::MAX_TICK_INTERVAL)
            } else {
                Some(now.at + REPORTS_CHECK_INTERVAL)
            };
        }
        self.starts_due = false;
        self.send_starts(now);
        self.update_timelines(now);
        std::mem::take(&mut self.orders)
    }

    /// Returns whether an input since the last tick requires another tick.
    #[must_use]
    pub fn needs_tick(&self) -> bool {
        !self.is_retired && (self.replan || self.starts_due || !self.orders.is_empty())
    }

    /// Returns the state of a job as reported to its caller. An end is reported only once it is
    /// stored.
    #[must_use]
    pub fn caller_state(&self, id: &JobId) -> Option<CallerState> {
        let job = self.jobs.get(id)?;
        Some(match job.outcome {
            Some(outcome) if job.is_stored() => CallerState::Ended(outcome),
            _ if job.has_started => CallerState::Running,
            _ => CallerState::Queued,
        })
    }

    /// Returns the accepted job, or `None` if the job is not known. The customer in it is `None`
    /// for a job that belongs to no customer.
    #[must_use]
    pub fn accepted(&self, id: &JobId) -> Option<&AcceptedJob> {
        self.jobs.get(id).map(|job| job.accepted.as_ref())
    }

    /// Returns the number of open jobs in a queue of which no task has begun.
    #[must_use]
    pub fn pending(&self, queue: &str) -> u64 {
        let waiting = self
            .jobs
            .values()
            .filter(|job| job.accepted.queue.name == queue)
            .filter(|job| job.outcome.is_none() && !job.has_started);
        waiting.count() as u64
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| job.outcome.is_none())
            .count()
    }

    /// Returns the number of runs on all workers, including planned ones.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.workers.values().map(|w| w.runs.len()).sum()
    }

    /// Removes and returns the decisions made since the last call, oldest first.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Removes the jobs whose retention period after their end is over, and returns their IDs.
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

    /// Ends a job. Its runs are stopped; those of a completed job are only marked redundant.
    fn end_job(&mut self, id: &JobId, outcome: Outcome, why: &str, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.end(outcome, now);
        self.drop_forecast(id);
        self.changed_timelines.insert(id.clone());
        self.changed_jobs.insert(id.clone());
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
                self.mark_redundant(&worker, &task, now);
            } else {
                self.stop_run(&worker, &task, reason, now);
            }
        }
        self.replan = true;
    }
}
