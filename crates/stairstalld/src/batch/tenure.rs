//! Runs the planner while this daemon holds the planner role.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use stairstall_core::batch::{
    AcceptedJob, Catalog, ContactLag, CustomerUsageTotal, Decision, JobExplanation, JobPhase,
    JobSummary, LeaseEnds, LoadSummary, Now, OldestWait, PaceSummary, Planner, UnstoredTasks,
};
use stairstall_core::{JobId, Lease, WorkerId};
use stairstall_ports::Revision;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::evacuated_zones::OperatorKeys;
use super::node::Node;
use super::role::AcquiredRole;
use super::rpc::JobAnswer;
use super::worker_links::WorkerLinks;
use super::{directory, evacuated_zones, job_watch, maintenance, writer};
use crate::background::{BackgroundTasks, EndedTask, TaskOwner, leave_task};
use crate::clock::{Clock, unix_millis};
use crate::daemon::lock;

/// Interval at which the lease is checked again while it is not valid.
const SUSPENDED_DELAY: Duration = Duration::from_millis(50);
/// Delay before the initial load is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a tenure has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TenureEnd {
    /// The role is over.
    RoleOver(&'static str),
    /// A task without which the tenure can't go on has ended.
    TaskEnded(EndedTask),
    /// A panic left the planner half changed.
    PlannerPanicked,
}

impl TenureEnd {
    /// Returns whether the tenure ended by a fault of this program, which the next one may meet too.
    pub(crate) const fn is_fault(&self) -> bool {
        !matches!(self, Self::RoleOver(_))
    }
}

impl fmt::Display for TenureEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RoleOver(why) => f.write_str(why),
            Self::TaskEnded(ended) => ended.fmt(f),
            Self::PlannerPanicked => f.write_str("a panic left the planner half changed"),
        }
    }
}

/// One tenure: the time during which this daemon holds the planner role.
#[derive(Debug)]
pub(crate) struct Tenure {
    token: u64,
    clock: Clock,
    planner: Mutex<Planner>,
    lease: Mutex<Lease>,
    /// Revision of the role's key.
    pub(crate) role_revision: Revision,
    /// Whether the stored jobs and workers have been loaded.
    loaded: AtomicBool,
    /// Wakes the planning loop.
    wake: Notify,
    /// Wakes the writer.
    pub(crate) writes_pending: Notify,
    /// Notifies waiters that a write has succeeded.
    pub(crate) write_done: Notify,
    /// Notifies the job watch that the lease is valid again after it had lapsed.
    pub(crate) lease_restored: Notify,
    /// Why the tenure has ended, once it has.
    ended: watch::Sender<Option<TenureEnd>>,
}

impl Tenure {
    pub(crate) fn new(node: &Node, acquired: &AcquiredRole) -> Self {
        let token = acquired.record.token;
        let mut planner = Planner::new(token, node.settings.bounds)
            .with_policy(node.settings.policy)
            .with_limits(node.settings.vm_limits());
        if let Some(catalog) = node.current_catalog() {
            planner.set_catalog(catalog);
        }
        Self {
            token,
            clock: node.clock,
            planner: Mutex::new(planner),
            lease: Mutex::new(acquired.lease),
            role_revision: acquired.revision,
            loaded: AtomicBool::new(false),
            wake: Notify::new(),
            writes_pending: Notify::new(),
            write_done: Notify::new(),
            lease_restored: Notify::new(),
            ended: watch::channel(None).0,
        }
    }

    pub(crate) const fn token(&self) -> u64 {
        self.token
    }

    fn now(&self) -> Now {
        Now::new(self.clock.now(), unix_millis())
    }

    /// Extends the lease by a renewal; ignores answers that arrive out of order.
    ///
    /// While the lease had lapsed, daemons may have stored cancellations without notifying the
    /// planner. Stored jobs and cancellations are therefore read again before anything starts.
    pub(crate) fn extend_lease(&self, renewed: Lease) {
        let mut lease = lock(&self.lease);
        if renewed.ends_at() <= lease.ends_at() {
            return;
        }
        if !lease.is_valid(self.clock.now()) {
            self.with_planner(Planner::mark_jobs_stale);
            self.lease_restored.notify_one();
        }
        *lease = renewed;
    }

    /// Returns whether the planner may give orders: the tenure has not ended and its lease is
    /// valid.
    pub(crate) fn is_active(&self) -> bool {
        self.ended.borrow().is_none()
            && !self.is_poisoned()
            && lock(&self.lease).is_valid(self.clock.now())
    }

    /// Ends the tenure, unless it has ended already.
    pub(crate) fn end(&self, why: &'static str) {
        self.end_for(TenureEnd::RoleOver(why));
    }

    fn end_for(&self, why: TenureEnd) {
        self.ended.send_if_modified(|ended| {
            let first = ended.is_none();
            if first {
                *ended = Some(why);
            }
            first
        });
    }

    /// Returns whether a panic has left the planner half changed. It is then not used again, neither
    /// for orders and writes nor for answers.
    pub(crate) fn is_poisoned(&self) -> bool {
        self.planner.is_poisoned()
    }

    /// Locks the planner. If it is poisoned, the tenure is over, and the calling task ends.
    fn planner(&self) -> MutexGuard<'_, Planner> {
        self.planner.lock().unwrap_or_else(|_| leave_task())
    }

    /// Calls `act` with the planner, then wakes the planning loop and the writer if they have work
    /// to do. Ends the tenure if a worker has seen a higher fencing token, and if `act` panics.
    pub(crate) fn with_planner<T>(&self, act: impl FnOnce(&mut Planner, Now) -> T) -> T {
        let now = self.now();
        let mut planner = self.planner();
        let _end_on_panic = EndOnPanic(self);
        let result = act(&mut planner, now);
        if planner.needs_tick() {
            self.wake.notify_one();
        }
        if planner.has_writes() {
            self.writes_pending.notify_one();
        }
        if planner.is_superseded() {
            self.end("a worker has seen a higher fencing token");
        }
        result
    }

    /// Returns whether the stored state is loaded and the tenure is active.
    fn is_serving(&self) -> bool {
        self.loaded.load(Ordering::Acquire) && self.is_active()
    }

    /// Adds an accepted job; returns false if this tenure is not serving.
    pub(crate) fn submit(&self, job: AcceptedJob) -> bool {
        let is_serving = self.is_serving();
        if is_serving {
            self.with_planner(|planner, now| planner.submit(job, now));
        }
        is_serving
    }

    /// Cancels a job; returns false if this tenure is not serving or does not know the job.
    pub(crate) fn cancel(&self, id: &JobId) -> bool {
        self.is_serving() && self.with_planner(|planner, now| planner.cancel(id, now))
    }

    pub(crate) fn set_catalog(&self, catalog: Arc<Catalog>) {
        self.with_planner(|planner, _| planner.set_catalog(catalog));
    }

    pub(crate) fn job(&self, id: &JobId) -> JobAnswer {
        if !self.is_serving() {
            return JobAnswer::NotPlanner;
        }
        let planner = self.planner();
        // The store has what callers are told of a job that is held back: that it can't be read.
        if planner.is_held_back(id) {
            return JobAnswer::NotPlanner;
        }
        match (planner.accepted(id), planner.caller_state(id)) {
            (Some(accepted), Some(state)) => JobAnswer::Known {
                customer: accepted.customer.clone(),
                state,
                catalog_confirmation: None,
            },
            _ => JobAnswer::Unknown,
        }
    }

    /// Explains the state of a job. Returns `None` if this tenure is not serving or does not know
    /// the job.
    pub(crate) fn explain(&self, id: &JobId) -> Option<JobExplanation> {
        let is_serving = self.is_serving();
        is_serving
            .then(|| self.planner().explain(id, self.now()))
            .flatten()
    }

    pub(crate) fn pending(&self, queue: &str) -> Option<u64> {
        self.is_serving().then(|| self.planner().pending(queue))
    }

    /// Returns a summary of the fleet's load, or `None` if this tenure is not serving.
    pub(crate) fn load_summary(&self) -> Option<LoadSummary> {
        let now = self.now();
        self.is_serving().then(|| self.planner().load_summary(now))
    }

    /// Returns the tasks that are done although that may not be stored, or `None` if the stored state
    /// was not loaded in this tenure or a panic left the planner half changed.
    pub(crate) fn unstored_tasks(&self) -> Option<Vec<UnstoredTasks>> {
        let is_loaded = self.loaded.load(Ordering::Acquire);
        let is_known = is_loaded && !self.is_poisoned();
        is_known.then(|| self.planner().unstored_tasks())
    }

    /// Returns until when runs may go on at workers that the planner can't ask; from then on the
    /// planner is not used any more. If the stored state was not loaded in this tenure, nothing was
    /// started in it, and `before` is still true. Returns `None` if the tenure has not ended, or a
    /// panic left the planner half changed.
    pub(crate) fn retire(&self, before: &LeaseEnds) -> Option<LeaseEnds> {
        if self.ended.borrow().is_none() || self.is_poisoned() {
            return None;
        }
        let ends = self.planner().retire(self.now());
        if self.loaded.load(Ordering::Acquire) {
            return Some(ends);
        }
        let is_of_last_tenure = before.token.checked_add(1) == Some(self.token);
        is_of_last_tenure.then(|| LeaseEnds {
            token: self.token,
            until: before.until.clone(),
        })
    }

    /// Returns how many jobs have had nothing running for a while although a step fits.
    pub(crate) fn idle_jobs(&self) -> usize {
        self.planner().idle_jobs()
    }

    /// Returns the step that has waited longest although its tasks fit, if there is one.
    pub(crate) fn oldest_fitting_wait(&self) -> Option<OldestWait> {
        self.planner().oldest_fitting_wait(self.now())
    }

    /// Returns the step of a guaranteed job that has waited longest for placements, if one does.
    pub(crate) fn oldest_guaranteed_wait(&self) -> Option<OldestWait> {
        self.planner().oldest_guaranteed_wait(self.now())
    }

    /// Returns how long to wait before a worker that has answered is polled again.
    pub(crate) fn poll_pause(&self, id: &WorkerId) -> Duration {
        self.planner().poll_pause(id)
    }

    /// Returns how current the planner's contact with its workers is.
    pub(crate) fn contact_lag(&self) -> ContactLag {
        self.planner().contact_lag(self.now())
    }

    /// Returns the number of evacuated zones, and the age of the list of them if it is known.
    pub(crate) fn evacuated_zones(&self) -> (usize, Option<Duration>) {
        let planner = self.planner();
        (
            planner.evacuated_zone_count(),
            planner.evacuated_zones_age(self.now()),
        )
    }

    /// Returns a summary of the known paces of workers.
    pub(crate) fn pace_summary(&self) -> PaceSummary {
        self.planner().pace_summary()
    }

    /// Returns the customers with the highest usage, at most `most`, and the fair usage of each
    /// customer, in milliseconds of the whole fleet.
    pub(crate) fn customer_usage(&self, most: usize) -> (Vec<CustomerUsageTotal>, u64) {
        self.planner().customer_usage(most, self.now())
    }

    /// Returns the number of open jobs and the number of runs.
    pub(crate) fn load_counts(&self) -> (usize, usize) {
        let planner = self.planner();
        (planner.open_jobs(), planner.runs())
    }
}

/// Ends a tenure when a panic unwinds past it.
struct EndOnPanic<'a>(&'a Tenure);

impl Drop for EndOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.end_for(TenureEnd::PlannerPanicked);
        }
    }
}

/// Ends a tenure when one of its tasks ends.
#[derive(Debug)]
struct TenureTasks {
    node: Arc<Node>,
    tenure: Arc<Tenure>,
}

impl TaskOwner for TenureTasks {
    fn task_ended(&self, ended: EndedTask) {
        self.node.telemetry.task_ended(ended.name);
        self.tenure.end_for(TenureEnd::TaskEnded(ended));
    }

    fn is_over(&self) -> bool {
        self.tenure.ended.borrow().is_some()
    }
}

/// Returns the set for tasks that live and die with a tenure.
pub(crate) fn tasks(node: &Arc<Node>, tenure: &Arc<Tenure>) -> BackgroundTasks {
    BackgroundTasks::new(Arc::new(TenureTasks {
        node: Arc::clone(node),
        tenure: Arc::clone(tenure),
    }))
}

/// Runs the planner and the `renewal` of the role until the tenure ends; returns why it ended.
pub(crate) async fn run(
    node: &Arc<Node>,
    tenure: &Arc<Tenure>,
    renewal: impl Future<Output = ()> + Send + 'static,
) -> TenureEnd {
    let mut ended = tenure.ended.subscribe();
    let mut tasks = tasks(node, tenure);
    tasks.spawn("renewal", renewal);
    tasks.spawn(
        "planning",
        run_planner(Arc::clone(node), Arc::clone(tenure)),
    );
    let ended = ended.wait_for(Option::is_some).await;
    let why = ended.ok().and_then(|why| why.clone());
    why.unwrap_or(TenureEnd::RoleOver("the daemon is shutting down"))
}

async fn run_planner(node: Arc<Node>, tenure: Arc<Tenure>) {
    let (node, tenure) = (&node, &tenure);
    let started = node.clock.now();
    let LoadedState {
        directory_at,
        jobs_at,
        revisions,
        operator_keys,
    } = load_state(node, tenure).await;
    tenure.loaded.store(true, Ordering::Release);
    node.set_tenure(Some(Arc::clone(tenure)));
    // A configuration that came into force while this was loading found no tenure to tell.
    if let Some(catalog) = node.current_catalog() {
        tenure.set_catalog(catalog);
    }
    let took = node.clock.now() - started;
    node.telemetry.takeover(took);
    let (open_jobs, _) = tenure.load_counts();
    log::info!(target: "role", token = tenure.token, open_jobs, ms = crate::clock::millis(took);
        "jobs and workers loaded");
    let mut tasks = tasks(node, tenure);
    tasks.spawn(
        "directory",
        directory::follow(Arc::clone(node), Arc::clone(tenure), directory_at),
    );
    tasks.spawn(
        "operator keys",
        evacuated_zones::follow(Arc::clone(node), Arc::clone(tenure), operator_keys),
    );
    tasks.spawn(
        "jobs",
        job_watch::follow(Arc::clone(node), Arc::clone(tenure), jobs_at),
    );
    tasks.spawn(
        "writer",
        writer::run(Arc::clone(node), Arc::clone(tenure), revisions),
    );
    tasks.spawn("load", measure_load(Arc::clone(tenure)));
    tasks.spawn(
        "maintenance",
        maintenance::run(Arc::clone(node), Arc::clone(tenure)),
    );
    let mut links = WorkerLinks::new(Arc::clone(node), Arc::clone(tenure));
    loop {
        let next = tenure.with_planner(|planner, now| planner.next_tick(now));
        let _ = tokio::time::timeout(next, tenure.wake.notified()).await;
        if !tenure.is_active() {
            tokio::time::sleep(SUSPENDED_DELAY).await;
            tenure.wake.notify_one();
            continue;
        }
        let (orders, decisions, summaries) = tenure.with_planner(|planner, now| {
            let began = Instant::now();
            let orders = planner.tick(now);
            planner.record_tick_duration(began.elapsed());
            (orders, planner.take_decisions(), planner.take_summaries())
        });
        for summary in &summaries {
            log_job_summary(node, tenure.token, summary);
        }
        for decision in &decisions {
            log_decision(node, tenure.token, decision);
        }
        ask_adviser(node, tenure, &mut tasks);
        links.update();
        links.send(orders);
    }
}

/// Interval at which the process measures how late and how busy it is.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Measures how late this process runs what is due, and how busy it is, for as long as the tenure
/// lasts.
async fn measure_load(tenure: Arc<Tenure>) {
    let mut busy = BusyMeter::start();
    loop {
        let due = Instant::now() + LOAD_INTERVAL;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed();
        let busy_percent = busy.take();
        // Neither the planning loop nor the writer has to wake for it.
        let now = tenure.now();
        let mut planner = tenure.planner();
        planner.record_lateness(late);
        planner.record_busy(busy_percent, now);
    }
}

/// Measures for which share of the time this process has had something to do.
///
/// A process that has used up its share of the processor, and waits for more, counts as busy: so
/// this says how much more the VM can do, whatever it announces.
#[derive(Debug)]
struct BusyMeter {
    measured_at: Instant,
    /// Time for which the runtime had been busy by then.
    busy: Duration,
}

impl BusyMeter {
    fn start() -> Self {
        Self {
            measured_at: Instant::now(),
            busy: runtime_busy_time(),
        }
    }

    /// Returns the share of the time since the last call, in percent.
    fn take(&mut self) -> u32 {
        let next = Self::start();
        let elapsed_us = next
            .measured_at
            .duration_since(self.measured_at)
            .as_micros();
        let busy_us = next.busy.saturating_sub(self.busy).as_micros();
        *self = next;
        let percent = busy_us * 100 / elapsed_us.max(1);
        u32::try_from(percent).map_or(100, |percent| percent.min(100))
    }
}

/// Returns for how long the runtime's threads have been busy since it was started.
fn runtime_busy_time() -> Duration {
    let metrics = tokio::runtime::Handle::current().metrics();
    let threads = 0..metrics.num_workers();
    threads
        .map(|thread| metrics.worker_total_busy_duration(thread))
        .sum()
}

/// Timeout of a call to the adviser.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Sends the planner's requests to the adviser, each in its own task.
fn ask_adviser(node: &Arc<Node>, tenure: &Arc<Tenure>, tasks: &mut BackgroundTasks) {
    let requests = tenure.with_planner(|planner, _| planner.take_advice_requests());
    for request in requests {
        let Some(adviser) = node.adviser.clone() else {
            log::warn!(target: "advice", step:% = request.group; "no adviser configured");
            tenure.with_planner(|planner, _| planner.handle_advice_failure(&request));
            continue;
        };
        let tenure = Arc::clone(tenure);
        tasks.spawn_until_done("advice", async move {
            let advice = adviser.advise(&request, ADVICE_TIMEOUT).await;
            match advice {
                Ok(good) => {
                    log::info!(target: "advice", step:% = request.group,
                        asked = request.workers.len(), good = good.len(); "adviser answered");
                    tenure.with_planner(|planner, now| planner.handle_advice(&request, good, now));
                }
                Err(error) => {
                    log::warn!(target: "advice", step:% = request.group, why:% = error; "adviser did not answer");
                    tenure.with_planner(|planner, _| planner.handle_advice_failure(&request));
                }
            }
        });
    }
}

/// Where the tasks that follow the store continue after the initial load.
struct LoadedState {
    directory_at: Revision,
    jobs_at: Revision,
    revisions: writer::Revisions,
    operator_keys: OperatorKeys,
}

/// Loads what earlier planners have stored; retries until everything is read.
async fn load_state(node: &Node, tenure: &Tenure) -> LoadedState {
    loop {
        let loaded = async {
            let workers = directory::load(node, tenure);
            let listings = node.read_both(workers, job_watch::read(node));
            // A short response, read concurrently so that a slow store adds its latency only once.
            let zones = evacuated_zones::load(node, tenure);
            let ((directory_at, stored), operator_keys) = futures::try_join!(listings, zones)?;
            let (jobs_at, revisions) = job_watch::load(stored, tenure).await;
            let unstored = lock(&node.unstored_tasks).clone();
            let lease_ends = lock(&node.lease_ends).clone();
            tenure.with_planner(|planner, now| {
                planner.restore_done_tasks(&unstored, now);
                planner.restore_lease_ends(&lease_ends);
            });
            Ok::<_, stairstall_ports::StoreFault>(LoadedState {
                directory_at,
                jobs_at,
                revisions,
                operator_keys,
            })
        };
        match loaded.await {
            Ok(loaded) => return loaded,
            Err(fault) => {
                log::warn!(target: "role", token = tenure.token, why:% = fault; "could not load the stored state; retrying");
                node.back_off(LOAD_RETRY_DELAY).await;
            }
        }
    }
}

/// Logs and counts where the time of an ended job went.
fn log_job_summary(node: &Node, token: u64, summary: &JobSummary) {
    for phase in JobPhase::ALL {
        let spent = summary.phases.get(&phase).copied().unwrap_or_default();
        node.telemetry
            .phase(summary.priority, phase.as_str(), spent);
    }
    let name = |name: Option<String>| name.unwrap_or_else(|| "-".to_owned());
    log::info!(target: "job", token, job:% = summary.job, queue:% = summary.queue,
        priority = summary.priority,
        customer:% = name(summary.customer.as_ref().map(ToString::to_string)),
        zone:% = name(summary.zone.as_ref().map(ToString::to_string)),
        outcome:? = summary.outcome, whole_ms = crate::clock::millis(summary.total),
        known_ms = summary.phase_ms(JobPhase::Accepted), room_ms = summary.phase_ms(JobPhase::WaitingForCapacity),
        stops_ms = summary.phase_ms(JobPhase::WaitingForPreemption), record_ms = summary.phase_ms(JobPhase::RecordingPlacement),
        start_ms = summary.phase_ms(JobPhase::Starting), run_ms = summary.phase_ms(JobPhase::Running),
        rerun_ms = summary.phase_ms(JobPhase::Rerunning), silent_ms = summary.phase_ms(JobPhase::WorkerSilent),
        write_ms = summary.phase_ms(JobPhase::RecordingOutcome),
        work_ms = crate::clock::millis(summary.work), aim_ms = crate::clock::millis(summary.target),
        estimate_ms = crate::clock::millis(summary.estimate),
        starts = summary.starts, setbacks:% = summary.setbacks,
        taken_over = summary.taken_over; "job end stored");
}

/// Logs and counts one decision.
fn log_decision(node: &Node, token: u64, decision: &Decision) {
    node.telemetry.decision(decision.kind.as_str());
    if let Some(waited) = decision.waited {
        node.telemetry.first_start(waited);
    }
    let target = decision.kind.as_str();
    let why = &decision.why;
    match (
        &decision.task,
        &decision.job,
        &decision.worker,
        &decision.zone,
    ) {
        (Some(task), _, Some(worker), _) => log::info!(target: target, token,
            job:% = task.group.job, task:% = task, run = decision.run, worker:% = worker; "{why}"),
        (_, Some(job), ..) => log::info!(target: target, token, job:% = job; "{why}"),
        (_, _, Some(worker), _) => log::info!(target: target, token, worker:% = worker; "{why}"),
        (.., Some(zone)) => log::info!(target: target, token, zone:% = zone; "{why}"),
        _ => log::info!(target: target, token; "{why}"),
    }
}
