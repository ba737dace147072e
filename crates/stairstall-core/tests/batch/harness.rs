//! A planner with workers that do as they are told, on a clock that the test moves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::batch::{
    AcceptedJob, GroupKey, Incarnation, ListedWorker, Now, Order, OrderKind, Planner, Progress,
    ReportRequest, Resources, RunEndKind, RunningTask, StartOutcome, StopOutcome, TaskKey,
    WorkerReport,
};
use stairstall_core::{JobId, Timestamp, WorkerId, ZoneId};

// Where this file is included by its path, these would be looked for beside it.
#[path = "harness/worker.rs"]
mod fake_worker;
#[path = "harness/fixtures.rs"]
mod fixtures;

pub use fake_worker::FakeWorker;
#[allow(unused_imports, reason = "the benchmark needs a part of them")]
pub use fixtures::{bounds, catalog, gang, id, job, step, task, worker};

/// Longest lease of the workers here.
pub const HOLD_MAX: Duration = Duration::from_secs(6);
/// Longest stop of the workers here.
pub const STOP_MAX: Duration = Duration::from_millis(200);
/// Within what time nothing starts any more in an evacuated zone.
pub const EVACUATE: Duration = Duration::from_secs(5);
/// Within what time of its acknowledgement a configuration is in force.
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// How long a task's work takes at a worker that is sound, in milliseconds.
pub const SPAN_MS: u64 = 20_000;
/// How long a worker that has crashed is away.
pub const CRASH_MS: u64 = 3_200;
/// How long the directory keeps the entry of a worker that says nothing.
const ENTRY_MS: u64 = 4_500;
/// Time of day at the start, in milliseconds since the Unix epoch.
pub const START_UNIX_MS: u64 = 1_800_000_000_000;

/// A worker that does not answer: it has crashed, or is cut off.
#[derive(Debug, Clone)]
struct Crashed {
    worker: WorkerId,
    /// When another life of it listens; none where it never comes back.
    back_at_ms: Option<u64>,
    /// When the directory drops its entry, where it is away for so long and will have the same id.
    lapses_at_ms: Option<u64>,
}

/// The planner and its workers.
#[derive(Debug)]
pub struct Fleet {
    pub planner: Planner,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub at_ms: u64,
    /// Orders that were given, oldest first.
    pub given: Vec<Order>,
    /// Whether the store takes writes.
    pub writes: bool,
    /// Whether the store says which zones are evacuated.
    pub tells_evacuations: bool,
    /// Which zones are evacuated.
    pub evacuated: BTreeSet<ZoneId>,
    /// What the store has of each job.
    pub kept: BTreeMap<JobId, Progress>,
    /// Tasks whose start crashes the worker.
    pub crashing: BTreeSet<TaskKey>,
    /// Tasks whose start crashes the worker before it can answer.
    pub crashes_at_once: BTreeSet<TaskKey>,
    /// How the workers are listed.
    pub listed: BTreeMap<WorkerId, ListedWorker>,
    /// Steps whose tasks can't go on alone.
    gangs: BTreeSet<GroupKey>,
    /// Steps that have lost a run just now.
    broken: Vec<GroupKey>,
    crashed: Vec<Crashed>,
    lives: u32,
    /// Whether a worker that comes back after a crash has the id that it had.
    pub keeps_ids: bool,
    /// Whether directory entries and reports include an incarnation.
    reports_incarnations: bool,
    /// Whether workers look at each request for ends to forget.
    pub forgets_at_once: bool,
    /// Workers whose life was over before the directory says so: another one answers at their address.
    pub replaced: BTreeSet<WorkerId>,
    /// Ends as done that a worker was told to forget: such a task must not start again.
    noted_done: BTreeSet<TaskKey>,
    /// Tasks that started although such an end was taken note of.
    pub started_after_done: Vec<TaskKey>,
}

impl Fleet {
    /// Creates a planner of the first tenure with workers of 8 accelerators.
    pub fn new(workers: &[(&str, &str)]) -> Self {
        Self::of_tenure(1, workers)
    }

    /// Creates a fleet whose workers get a new ID on every restart and report no incarnation.
    pub fn with_unique_ids(workers: &[(&str, &str)]) -> Self {
        Self::create(1, workers, false)
    }

    pub fn of_tenure(token: u64, workers: &[(&str, &str)]) -> Self {
        Self::create(token, workers, true)
    }

    fn create(token: u64, workers: &[(&str, &str)], reports_incarnations: bool) -> Self {
        let now = Now::new(Timestamp::from_millis(0), START_UNIX_MS);
        let mut planner = Planner::new(token, bounds());
        planner.set_catalog(Arc::new(catalog(0)));
        let mut fleet = Self {
            planner,
            workers: BTreeMap::new(),
            at_ms: 0,
            given: Vec::new(),
            writes: true,
            tells_evacuations: true,
            evacuated: BTreeSet::new(),
            kept: BTreeMap::new(),
            crashing: BTreeSet::new(),
            crashes_at_once: BTreeSet::new(),
            listed: BTreeMap::new(),
            gangs: BTreeSet::new(),
            broken: Vec::new(),
            crashed: Vec::new(),
            lives: 0,
            keeps_ids: false,
            reports_incarnations,
            forgets_at_once: true,
            replaced: BTreeSet::new(),
            noted_done: BTreeSet::new(),
            started_after_done: Vec::new(),
        };
        for (name, rack) in workers {
            let listed = worker(name, rack, Resources::new(32_000, 64_000, 8));
            fleet.add(listed, now);
        }
        fleet.tell_evacuations();
        fleet
    }

    /// Begins a worker's life; the directory lists it so.
    #[allow(dead_code, reason = "the benchmark needs a part of this")]
    pub fn begin(&mut self, listed: ListedWorker) {
        let now = self.now();
        self.add(listed, now);
    }

    fn add(&mut self, mut listed: ListedWorker, now: Now) {
        let life = FakeWorker::born(self.at_ms);
        listed.incarnation = self.reports_incarnations.then(|| life.incarnation());
        self.workers.insert(listed.id.clone(), life);
        self.listed.insert(listed.id.clone(), listed.clone());
        self.planner.handle_listed_worker(listed, now);
    }

    /// Ends a worker's life without a word; another life comes to its address after a while.
    pub fn crash(&mut self, id: &WorkerId) {
        self.crash_for(id, CRASH_MS);
    }

    /// Ends a worker's life without a word; another life comes to its address so much later.
    pub fn crash_for(&mut self, id: &WorkerId, away_ms: u64) {
        let lost = self.workers.remove(id).expect("a worker").running;
        self.broken.extend(lost.into_keys().map(|task| task.group));
        let lapses_at_ms = self.at_ms + ENTRY_MS;
        self.crashed.push(Crashed {
            worker: id.clone(),
            back_at_ms: Some(self.at_ms + away_ms),
            lapses_at_ms: self.keeps_ids.then_some(lapses_at_ms),
        });
    }

    /// Ends the members of gangs that have lost others.
    fn break_gangs(&mut self) {
        let broken = std::mem::take(&mut self.broken);
        for worker in self.workers.values_mut() {
            let members: Vec<TaskKey> = worker.running.keys().cloned().collect();
            let is_broken =
                |task: &&TaskKey| self.gangs.contains(&task.group) && broken.contains(&task.group);
            for member in members.iter().filter(is_broken) {
                worker.end(member, RunEndKind::GangBroken);
            }
        }
    }

    /// Ends a run, and with a gang's member all members: they end together.
    pub fn end_everywhere(&mut self, task: &TaskKey, kind: RunEndKind) {
        let is_gang = self.gangs.contains(&task.group);
        for worker in self.workers.values_mut() {
            let over = |key: &&TaskKey| *key == task || is_gang && key.group == task.group;
            let over: Vec<TaskKey> = worker.running.keys().filter(over).cloned().collect();
            for key in over {
                worker.end(&key, kind);
            }
        }
    }

    /// Ends everything that runs as done.
    pub fn end_all(&mut self) {
        for worker in self.workers.values_mut() {
            let running: Vec<TaskKey> = worker.running.keys().cloned().collect();
            for key in running {
                worker.end(&key, RunEndKind::Done);
            }
        }
    }

    /// Makes those that have crashed stay away: the directory drops them.
    pub fn lose_crashed(&mut self) {
        let now = self.now();
        for crashed in &mut self.crashed {
            if crashed.back_at_ms.take().is_some() {
                self.listed.remove(&crashed.worker);
                self.planner.handle_unlisted_worker(&crashed.worker, now);
            }
        }
    }

    /// Cuts a worker off; the directory still lists it.
    pub fn cut_off(&mut self, id: &WorkerId) -> FakeWorker {
        let worker = self.workers.remove(id).expect("a worker");
        self.crashed.push(Crashed {
            worker: id.clone(),
            back_at_ms: None,
            lapses_at_ms: None,
        });
        worker
    }

    /// Ends a cut: what ran at the worker has lapsed there.
    pub fn reconnect(&mut self, id: &WorkerId, mut worker: FakeWorker) {
        let lapsed: Vec<TaskKey> = worker.running.keys().cloned().collect();
        for task in lapsed {
            worker.end(&task, RunEndKind::LeaseExpired);
        }
        self.crashed.retain(|crashed| crashed.worker != *id);
        self.workers.insert(id.clone(), worker);
    }

    /// Starts an idle worker again under its id, with its time of day set back.
    pub fn restart_set_back(&mut self, id: &WorkerId, set_back_ms: u64) {
        let now = self.now();
        let mut life = FakeWorker::born(self.at_ms);
        life.set_back_ms = set_back_ms;
        let incarnation = life.incarnation();
        self.workers.insert(id.clone(), life);
        let request = ReportRequest {
            token: self.planner.token(),
            deadline_ms: None,
            acknowledged_end: 0,
            max_wait: Duration::ZERO,
        };
        let report = WorkerReport {
            incarnation: Some(incarnation),
            clock_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            truncated: false,
            bytes: 0,
        };
        self.at_ms += 1;
        let answered = self.now();
        self.planner
            .handle_worker_report(id, &request, now.at, report, answered);
        let mut listed = self.listed[id].clone();
        listed.incarnation = Some(incarnation);
        self.listed.insert(id.clone(), listed.clone());
        self.planner.handle_listed_worker(listed, answered);
    }

    /// Ends a cut behind which the worker has started again under its id.
    pub fn restart_cut_off(&mut self, id: &WorkerId) {
        let now = self.now();
        self.crashed.retain(|crashed| crashed.worker != *id);
        self.workers.remove(id);
        let listed = self.listed.remove(id).expect("it is listed");
        self.add(listed, now);
    }

    /// Submits a job and writes its places down; the next tick returns its starts.
    pub fn place(&mut self, job: AcceptedJob) {
        let now = self.now();
        self.planner.submit(job, now);
        self.planner.tick(now);
        self.write_all();
    }

    /// Hands in a job of one task and returns its start, which nobody has carried out.
    pub fn first_start(&mut self) -> Order {
        self.place(job("j", 2, vec![step(1, 8)]));
        // The start may wait for the value of the worker's clock.
        self.hold_all();
        self.planner.tick(self.now()).remove(0)
    }

    /// Lets the directory name another life of a worker, which does not answer.
    pub fn begin_unheard_life(&mut self, id: &WorkerId, after_ms: u64) {
        let mut listed = self.listed[id].clone();
        listed.incarnation = Some(Incarnation::from_unix_ms(START_UNIX_MS + after_ms));
        self.listed.insert(id.clone(), listed.clone());
        let now = self.now();
        self.planner.handle_listed_worker(listed, now);
        self.settle();
    }

    /// Lets a run give way to other work, so that its stop is taken and its end not yet listed.
    pub fn announce_stop(&mut self, task: &TaskKey, id: &WorkerId) {
        let leaving = self.listed[id].clone();
        self.announce_leaving(id, 0);
        let now = self.now();
        for order in self.planner.tick(now) {
            if order.task == *task && order.kind == OrderKind::Stop {
                self.carry_out(&order);
            }
        }
        let now = self.now();
        self.listed.insert(id.clone(), leaving.clone());
        self.planner.handle_listed_worker(leaving, now);
    }

    /// Lets the directory say that a worker leaves.
    pub fn announce_leaving(&mut self, id: &WorkerId, remaining_ms: u64) {
        let now = self.now();
        let listed = self.listed.get_mut(id).expect("it is listed");
        listed.draining = true;
        listed.remaining_ms = Some(remaining_ms);
        self.planner.handle_listed_worker(listed.clone(), now);
    }

    /// Lets workers that crashed long enough ago come back, each as another life that answers for
    /// the one before.
    fn bring_back(&mut self) {
        let at_ms = self.at_ms;
        let now = self.now();
        for crashed in &mut self.crashed {
            if crashed.lapses_at_ms.take_if(|at| *at <= at_ms).is_some() {
                self.planner.handle_unlisted_worker(&crashed.worker, now);
            }
        }
        let (back, away) = std::mem::take(&mut self.crashed)
            .into_iter()
            .partition(|crashed: &Crashed| crashed.back_at_ms.is_some_and(|back| back <= at_ms));
        self.crashed = away;
        for Crashed { worker, .. } in back {
            let now = self.now();
            let mut listed = self.listed.remove(&worker).expect("it was listed");
            self.lives += 1;
            if self.keeps_ids {
                self.add(listed, now);
                continue;
            }
            listed.id = format!("life-{}", self.lives).parse().expect("an id");
            self.planner
                .end_incarnation(&worker, "another life answered", now);
            self.planner.handle_unlisted_worker(&worker, now);
            self.add(listed, now);
        }
    }

    pub fn now(&self) -> Now {
        Now::new(
            Timestamp::from_millis(self.at_ms),
            START_UNIX_MS + self.at_ms,
        )
    }

    pub fn worker(&mut self, name: &str) -> &mut FakeWorker {
        let id: WorkerId = name.parse().expect("an id");
        self.workers.get_mut(&id).expect("a worker")
    }

    /// Asks every worker that wants to be asked, also those that have crashed.
    pub fn hold_all(&mut self) {
        let crashed = self.crashed.iter().map(|crashed| &crashed.worker);
        let ids: Vec<WorkerId> = self.workers.keys().chain(crashed).cloned().collect();
        for id in ids {
            self.hold(&id);
        }
    }

    /// Asks one worker, if it wants to be asked; returns what was asked.
    pub fn hold(&mut self, id: &WorkerId) -> Option<ReportRequest> {
        let now = self.now();
        if self.crashed.iter().any(|crashed| crashed.worker == *id) {
            let has_address = self.planner.workers().any(|known| known == id);
            if has_address {
                self.planner.handle_report_failure(id, now);
            }
            return None;
        }
        let request = self.planner.report_request(id, now)?;
        if self.replaced.contains(id) {
            self.planner
                .end_incarnation(id, "another life answered", now);
            return None;
        }
        let worker = self.workers.get_mut(id)?;
        let clock_ms = self.at_ms - worker.born_ms;
        self.noted_done
            .extend(worker.forget(request.acknowledged_end, self.forgets_at_once));
        if let Some(deadline) = request.deadline_ms {
            worker.deadline_ms = worker.deadline_ms.max(deadline);
        }
        let report = WorkerReport {
            incarnation: self.reports_incarnations.then(|| worker.incarnation()),
            clock_ms,
            running: worker
                .running
                .iter()
                .map(|(task, (run, worked_ms, checkpoint))| RunningTask {
                    task: task.clone(),
                    run: *run,
                    checkpoint: checkpoint.clone(),
                    percent: u8::try_from(*worked_ms * 100 / SPAN_MS).expect("a percentage"),
                })
                .collect(),
            ended: worker.ended.clone(),
            truncated: false,
            bytes: 0,
        };
        self.at_ms += 1;
        let answered = self.now();
        self.planner
            .handle_worker_report(id, &request, now.at, report, answered);
        Some(request)
    }

    /// Ticks, writes and carries out what the planner orders, until it orders nothing more.
    pub fn settle(&mut self) {
        loop {
            let now = self.now();
            self.tell_evacuations();
            let orders = self.planner.tick(now);
            let written = self.writes && self.planner.has_writes();
            if self.writes {
                self.write_all();
            }
            if orders.is_empty() && !written {
                return;
            }
            for order in orders {
                self.carry_out(&order);
            }
        }
    }

    /// Starts a task at its worker without passing an answer to the planner.
    pub fn begin_without_answer(&mut self, start: &Order) {
        let worker = self.workers.get_mut(&start.worker).expect("a worker");
        let run = (start.run, 0, None);
        worker.running.insert(start.task.clone(), run);
    }

    /// Carries out one order at its worker and tells the planner.
    pub fn carry_out(&mut self, order: &Order) {
        self.given.push(order.clone());
        let at_ms = self.at_ms;
        self.at_ms += 1;
        let now = self.now();
        if self.crashes_at_once.contains(&order.task) && self.workers.contains_key(&order.worker) {
            self.crash(&order.worker);
        }
        if self.replaced.contains(&order.worker) {
            return self.answer_for_another(order, now);
        }
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return self.leave_unanswered(order);
        };
        let clock_ms = at_ms - worker.born_ms;
        match &order.kind {
            OrderKind::Start { checkpoint, .. } => {
                if self.noted_done.contains(&order.task) {
                    self.started_after_done.push(order.task.clone());
                }
                worker
                    .running
                    .insert(order.task.clone(), (order.run, 0, checkpoint.clone()));
                self.planner
                    .handle_start_outcome(order, StartOutcome::Started { clock_ms }, now);
                if self.crashing.contains(&order.task) {
                    self.crash(&order.worker);
                }
            }
            OrderKind::Stop => {
                if worker.running.contains_key(&order.task) {
                    worker.end(&order.task, RunEndKind::Stopped);
                }
                self.planner
                    .handle_stop_outcome(order, StopOutcome::Taken, now);
            }
        }
    }

    fn answer_for_another(&mut self, order: &Order, now: Now) {
        match order.kind {
            OrderKind::Start { .. } => {
                self.planner
                    .handle_start_outcome(order, StartOutcome::OtherLife, now);
            }
            OrderKind::Stop => self
                .planner
                .handle_stop_outcome(order, StopOutcome::OtherLife, now),
        }
    }

    /// Tells the planner that an order got no answer.
    pub fn leave_unanswered(&mut self, order: &Order) {
        let now = self.now();
        match order.kind {
            OrderKind::Start { .. } => {
                self.planner
                    .handle_start_outcome(order, StartOutcome::Unknown, now);
            }
            OrderKind::Stop => self
                .planner
                .handle_stop_outcome(order, StopOutcome::Unknown, now),
        }
    }

    /// Lets time pass, asking workers and ticking every 100 ms.
    pub fn pass(&mut self, ms: u64) {
        let until = self.at_ms + ms;
        while self.at_ms < until {
            self.at_ms += 100;
            for worker in self.workers.values_mut() {
                worker.work(100);
            }
            self.break_gangs();
            self.bring_back();
            self.hold_all();
            self.settle();
        }
    }

    /// Writes down everything that waits for it.
    pub fn write_all(&mut self) {
        let now = self.now();
        for write in self.planner.take_writes(1000, &BTreeSet::new(), now) {
            self.planner.progress_written(&write.job, write.change);
            self.kept.insert(write.job, write.progress);
        }
    }

    pub fn submit(&mut self, job: AcceptedJob) {
        for (step, spec) in (0..).zip(&job.spec.steps) {
            if spec.gang {
                let group = TaskKey::new(job.id.clone(), 0, step, 0).group;
                self.gangs.insert(group);
            }
        }
        let now = self.now();
        self.planner.submit(job, now);
        self.settle();
    }

    /// Replaces the planner by one of the next tenure, which knows what was written.
    pub fn take_over(&mut self, jobs: &[AcceptedJob], listed: &[(&str, &str)]) {
        let now = self.now();
        let token = self.planner.token() + 1;
        self.planner = Planner::new(token, bounds());
        self.planner.set_catalog(Arc::new(catalog(0)));
        for (name, rack) in listed {
            let listed = worker(name, rack, Resources::new(32_000, 64_000, 8));
            self.planner.handle_listed_worker(listed, now);
        }
        for job in jobs {
            let kept = self.kept.get(&job.id);
            self.planner.restore_job(job.clone(), kept, false, now);
        }
        self.tell_evacuations();
    }

    /// Tells the planner which zones are evacuated, if the store does.
    fn tell_evacuations(&mut self) {
        let now = self.now();
        if self.tells_evacuations {
            let zones = self.evacuated.clone();
            self.planner.set_evacuated_zones(zones, now.at, now);
        }
    }

    /// Replaces the planner by one of the next tenure, to which the store lists the same workers.
    pub fn succeed(&mut self, jobs: &[AcceptedJob]) {
        self.take_over(jobs, &[]);
        let now = self.now();
        for listed in self.listed.values() {
            self.planner.handle_listed_worker(listed.clone(), now);
        }
    }

    /// Counts the lives of workers that have ended.
    pub fn lives_lost(&self) -> usize {
        self.crashed.len() + self.lives as usize
    }

    /// Returns where a task runs.
    pub fn place_of(&self, task: &TaskKey) -> Option<WorkerId> {
        self.workers
            .iter()
            .find(|(_, worker)| worker.running.contains_key(task))
            .map(|(id, _)| id.clone())
    }

    /// Counts the starts of a task.
    pub fn starts_of(&self, task: &TaskKey) -> usize {
        let is_start = |order: &&Order| matches!(order.kind, OrderKind::Start { .. });
        self.given
            .iter()
            .filter(is_start)
            .filter(|order| order.task == *task)
            .count()
    }
}
