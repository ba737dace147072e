//! A planner with the loops that its daemon runs round it, and all that can go wrong about them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use stairstall_core::batch::{
    AcceptedJob, CallerState, GroupKey, ListedWorker, Now, Order, OrderKind, Outcome, Planner,
    Progress, ProgressWrite, Resources, StartOutcome, StopOutcome, TaskKey,
};
use stairstall_core::{JobId, Timestamp, WorkerId};

use super::network::{Answer, Call, Sent, Timeline, Trouble, fate, transit};
use super::worker::{Forgetting, Life, advance};
use crate::harness::{START_UNIX_MS, bounds, catalog, worker};

mod leaving;
mod rebirth;
mod store;

pub use leaving::Farewell;
use leaving::Leaving;
use store::StoreOutage;

/// How long the world stands still between two looks at it, in milliseconds.
const STEP_MS: u64 = 10;
/// Longest wait for the answer to an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 350;
/// Longest wait for a report beyond what the worker may wait itself, in milliseconds.
const HOLD_TIMEOUT_MS: u64 = 500;
/// Pause after a worker did not answer, in milliseconds.
const SILENT_PAUSE_MS: u64 = 250;
/// How often an idle worker is looked at, in milliseconds.
const IDLE_MS: u64 = 2_000;
/// How long an entry of the directory outlasts its worker, in milliseconds.
const ENTRY_MS: u64 = 4_500;
/// How many runs in a row may be lost with their workers before a job may be given up.
const MAX_CRASHES: usize = 3;

/// What comes by itself.
#[derive(Debug, Clone)]
enum Event {
    /// A life ends without a word, and the next begins so much later.
    Crash(WorkerId, u64),
    /// The next life begins.
    Begin(WorkerId),
    /// The planner reads a worker's entry; none where it has lapsed.
    Listed(WorkerId, Option<ListedWorker>),
    /// An entry lapses, if its life has ended and no other began.
    Lapse(WorkerId, u64),
    /// Nothing gets through to a worker, and nothing from it, for so long.
    Cut(WorkerId, u64),
    /// Another planner takes over.
    Succeed,
    /// A worker says that it leaves within so long.
    Announce(WorkerId, u64, Farewell),
    /// A worker that said so leaves.
    Leave(WorkerId),
    /// An end as done counts as taken note of.
    Noted(TaskKey),
    /// The store does not answer for so long.
    StoreDown(u64),
}

/// What is under way to the planner.
#[derive(Debug, Clone)]
enum News {
    Answered(Sent, Answer),
    TimedOut(Sent),
}

/// A request for a report that a life has taken.
#[derive(Debug, Clone)]
struct Waiting {
    sent: Sent,
    /// When that life began.
    born_ms: u64,
    /// Until when it may wait for an end.
    until_ms: u64,
}

/// How the planner asks one worker for reports.
#[derive(Debug, Clone, Copy)]
enum Asking {
    /// A request is under way.
    Asked,
    /// Whether there is something to ask is looked at again then.
    Rests(u64),
}

/// A promise that was broken.
pub type Broken = String;

/// How a world behaves.
#[derive(Debug, Clone, Copy)]
pub struct Habits {
    pub forgetting: Forgetting,
    pub trouble: Trouble,
    /// Longest time that a write takes, in milliseconds.
    pub write_ms: u64,
    /// How far the planner's directory is behind at most, in milliseconds.
    pub directory_ms: u64,
    /// How fast the slowest of the workers' clocks goes, in percent of the planner's.
    pub clock_percent: u64,
    /// By how many percent more a clock may go, drawn for each life.
    pub clock_spread_percent: u64,
    /// Whether each life of a worker has an ID of its own, and reports no incarnation.
    pub has_new_ids: bool,
}

/// Everything.
#[derive(Debug)]
pub struct World {
    pub planner: Planner,
    pub at_ms: u64,
    pub lives: BTreeMap<WorkerId, Life>,
    pub habits: Habits,
    pub random: Pcg64Mcg,
    pub broken: Vec<Broken>,
    /// What was said and done about a task, for whoever reads a failure.
    pub told: Vec<String>,
    jobs: BTreeMap<JobId, AcceptedJob>,
    gangs: BTreeMap<GroupKey, usize>,
    kept: BTreeMap<JobId, Progress>,
    busy: BTreeSet<JobId>,
    listed: BTreeMap<WorkerId, ListedWorker>,
    asking: BTreeMap<WorkerId, Asking>,
    events: Timeline<Event>,
    arrivals: Timeline<Sent>,
    /// Requests for reports that workers have taken and not answered.
    waiting: Vec<Waiting>,
    /// Calls that the planner waits for.
    pending: BTreeSet<u64>,
    calls: u64,
    /// The highest token that was sent to each worker.
    tokens: BTreeMap<WorkerId, u64>,
    /// Whether a call may reach a life that began after it was sent and has not answered the planner yet.
    pub reaches_unmet: bool,
    /// Until when each worker is cut off.
    cut_until_ms: BTreeMap<WorkerId, u64>,
    /// Workers that said that they leave.
    leaving: BTreeMap<WorkerId, Leaving>,
    /// The job whose progress the store does not take.
    pub unwritten: Option<JobId>,
    /// How much later than others the next start, or request that names ends to forget, arrives, unheard.
    pub delays_start_ms: Option<u64>,
    pub delays_naming_ms: Option<u64>,
    /// The same for the next renewal of leases.
    pub delays_renewal_ms: Option<u64>,
    news: Timeline<News>,
    writes: Timeline<(u64, ProgressWrite)>,
    /// Tasks whose end as done was taken note of.
    noted_done: BTreeSet<TaskKey>,
    /// By task, the workers that were lost while it may have run there.
    lost_under: BTreeMap<TaskKey, usize>,
    /// The ID of the next life at the same address, by the ID of the life before.
    replaced_by: BTreeMap<WorkerId, WorkerId>,
    store_outage: Option<StoreOutage>,
    /// Runs that began.
    pub begun: u64,
}

impl World {
    pub fn new(workers: usize, habits: Habits, random: Pcg64Mcg) -> Self {
        let mut planner = Planner::new(1, bounds());
        planner.set_catalog(Arc::new(catalog(0)));
        let mut world = Self {
            planner,
            at_ms: 0,
            lives: BTreeMap::new(),
            habits,
            random,
            broken: Vec::new(),
            told: Vec::new(),
            jobs: BTreeMap::new(),
            gangs: BTreeMap::new(),
            kept: BTreeMap::new(),
            busy: BTreeSet::new(),
            listed: BTreeMap::new(),
            asking: BTreeMap::new(),
            events: Timeline::new(),
            arrivals: Timeline::new(),
            waiting: Vec::new(),
            pending: BTreeSet::new(),
            calls: 0,
            tokens: BTreeMap::new(),
            reaches_unmet: true,
            cut_until_ms: BTreeMap::new(),
            leaving: BTreeMap::new(),
            unwritten: None,
            delays_start_ms: None,
            delays_naming_ms: None,
            delays_renewal_ms: None,
            news: Timeline::new(),
            writes: Timeline::new(),
            noted_done: BTreeSet::new(),
            lost_under: BTreeMap::new(),
            replaced_by: BTreeMap::new(),
            store_outage: None,
            begun: 0,
        };
        for index in 0..workers {
            let name = format!("w{index}");
            let rack = format!("r{}", index / 8);
            let listed = worker(&name, &rack, Resources::new(32_000, 64_000, 8));
            world.listed.insert(listed.id.clone(), listed.clone());
            world.begin(&listed.id, 0);
        }
        world
    }

    pub fn now(&self) -> Now {
        let at = Timestamp::from_millis(self.at_ms);
        Now::new(at, START_UNIX_MS + self.at_ms)
    }

    /// Says something about a task or worker, for whoever reads a failure.
    fn tell(&mut self, what: std::fmt::Arguments<'_>) {
        self.told.push(format!("{:>6} {what}", self.at_ms));
    }

    pub fn submit(&mut self, job: AcceptedJob) {
        for (step, spec) in (0..).zip(&job.spec.steps) {
            if spec.gang {
                let group = TaskKey::new(job.id.clone(), 0, step, 0).group;
                self.gangs.insert(group, spec.count as usize);
            }
        }
        self.jobs.insert(job.id.clone(), job.clone());
        let now = self.now();
        self.planner.submit(job, now);
    }

    pub fn crash_at(&mut self, id: &WorkerId, at_ms: u64, away_ms: u64) {
        self.events.push(at_ms, Event::Crash(id.clone(), away_ms));
    }

    pub fn cut_at(&mut self, id: &WorkerId, at_ms: u64, for_ms: u64) {
        self.events.push(at_ms, Event::Cut(id.clone(), for_ms));
    }

    pub fn succeed_at(&mut self, at_ms: u64) {
        self.events.push(at_ms, Event::Succeed);
    }

    /// Replaces the planner by one of the next tenure, which knows what was written down.
    fn succeed(&mut self) {
        let now = self.now();
        let token = self.planner.token() + 1;
        let told = self.planner.retire(now);
        self.planner = Planner::new(token, bounds());
        self.planner.set_catalog(Arc::new(catalog(0)));
        // Each second planner reaches the one before it.
        if token.is_multiple_of(2) {
            self.planner.restore_lease_ends(&told);
        }
        for (id, life) in &self.lives {
            let listed = listed_as(&self.listed[id], life, self.habits);
            self.planner.handle_listed_worker(listed, now);
        }
        for (id, job) in &self.jobs {
            let progress = self.kept.get(id);
            self.planner.restore_job(job.clone(), progress, false, now);
        }
        self.busy.clear();
        self.asking.clear();
        self.pending.clear();
        self.tell(format_args!("planner {token} takes over"));
    }

    fn is_cut(&self, id: &WorkerId) -> bool {
        self.cut_until_ms
            .get(id)
            .is_some_and(|until_ms| self.at_ms < *until_ms)
    }

    /// Returns how many calls the planner has made.
    pub const fn calls_sent(&self) -> u64 {
        self.calls
    }

    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.listed.keys().cloned().collect()
    }

    /// Lets time pass.
    pub fn pass(&mut self, ms: u64) {
        let until = self.at_ms + ms;
        while self.at_ms < until {
            self.at_ms += STEP_MS;
            self.take_events();
            self.take_arrivals();
            advance(self.lives.values_mut(), &self.gangs, self.at_ms);
            self.note_ends();
            self.leave_after_ends();
            self.answer_waiting();
            self.take_news();
            self.ask();
            self.plan();
        }
    }

    fn begin(&mut self, id: &WorkerId, directory_ms: u64) {
        let capacity = self.listed[id].capacity;
        let token = self.tokens.get(id).copied().unwrap_or(0);
        let forgetting = self.habits.forgetting;
        let clock_percent = self.draw_clock_percent();
        let life = Life::born(self.at_ms, token, capacity, forgetting, clock_percent);
        let listed = listed_as(&self.listed[id], &life, self.habits);
        self.lives.insert(id.clone(), life);
        let news = Event::Listed(id.clone(), Some(listed));
        self.events.push(self.at_ms + directory_ms, news);
        self.tell(format_args!("{id} begins a life"));
    }

    fn draw_clock_percent(&mut self) -> u64 {
        let Habits {
            clock_percent,
            clock_spread_percent,
            ..
        } = self.habits;
        if clock_spread_percent == 0 {
            return clock_percent;
        }
        clock_percent + self.random.random_range(0..=clock_spread_percent)
    }

    fn behind(&mut self) -> u64 {
        self.random.random_range(0..=self.habits.directory_ms)
    }

    fn take_events(&mut self) {
        for event in self.events.take(self.at_ms) {
            let Some(event) = self.defer_by_outage(event) else {
                continue;
            };
            match event {
                Event::Crash(id, away_ms) => self.crash(&self.current_id(&id), away_ms),
                Event::StoreDown(for_ms) => self.begin_store_outage(for_ms),
                Event::Cut(id, for_ms) => {
                    let id = self.current_id(&id);
                    self.tell(format_args!("{id} is cut off for {for_ms}"));
                    self.cut_until_ms.insert(id, self.at_ms + for_ms);
                }
                Event::Succeed => self.succeed(),
                Event::Announce(id, within_ms, farewell) => {
                    self.announce(&id, within_ms, farewell);
                }
                Event::Leave(id) => self.leave(&id),
                Event::Noted(task) => self.note_done(task),
                Event::Begin(id) => {
                    let behind_ms = self.behind();
                    let id = self.id_of_next_life(id);
                    self.begin(&id, behind_ms);
                }
                Event::Listed(id, listed) => {
                    let now = self.now();
                    match listed {
                        Some(listed) => self.planner.handle_listed_worker(listed, now),
                        None => self.planner.handle_unlisted_worker(&id, now),
                    }
                }
                Event::Lapse(id, born_ms) => {
                    let other = self.lives.get(&id).map(|life| life.born_ms);
                    if other.is_none_or(|other| other == born_ms) {
                        let behind_ms = self.behind();
                        self.events
                            .push(self.at_ms + behind_ms, Event::Listed(id, None));
                    }
                }
            }
        }
    }

    fn crash(&mut self, id: &WorkerId, away_ms: u64) {
        let Some(life) = self.lives.remove(id) else {
            return;
        };
        // Nobody can tell what ended unheard just before from what crashed with the worker.
        let ended = life.ended.iter().map(|end| end.task.clone());
        for task in life.running.keys().cloned().chain(ended) {
            *self.lost_under.entry(task).or_default() += 1;
        }
        self.events
            .push(self.at_ms + away_ms, Event::Begin(id.clone()));
        let lapses = Event::Lapse(id.clone(), life.born_ms);
        if away_ms >= ENTRY_MS || self.habits.has_new_ids {
            self.events.push(self.at_ms + ENTRY_MS, lapses);
        }
        self.tell(format_args!(
            "{id} crashes for {away_ms} with {:?}",
            life.running
                .keys()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        ));
    }

    fn send(&mut self, worker: &WorkerId, call: Call) {
        self.calls += 1;
        let patience_ms = patience_ms(&call);
        let token = self.tokens.entry(worker.clone()).or_default();
        *token = call.token().max(*token);
        let sent = Sent {
            number: self.calls,
            worker: worker.clone(),
            call,
            asked_ms: self.at_ms,
            is_heard: true,
        };
        self.pending.insert(sent.number);
        let given_up = News::TimedOut(sent.clone());
        self.news.push(self.at_ms + patience_ms, given_up);
        let delay_ms = match &sent.call {
            Call::Start(_) => self.delays_start_ms.take(),
            Call::Hold(request) if request.acknowledged_end > 0 => self.delays_naming_ms.take(),
            Call::Hold(request) if request.deadline_ms.is_some() => self.delays_renewal_ms.take(),
            _ => None,
        };
        let fate = delay_ms.map_or_else(
            || fate(self.habits.trouble, self.at_ms, &mut self.random),
            |delay_ms| Some((self.at_ms + delay_ms, false)),
        );
        if let Some((at_ms, is_heard)) = fate {
            self.arrivals.push(at_ms, Sent { is_heard, ..sent });
        }
    }

    fn take_arrivals(&mut self) {
        for sent in self.arrivals.take(self.at_ms) {
            self.arrive(sent);
        }
    }

    fn arrive(&mut self, sent: Sent) {
        let at_ms = self.at_ms;
        if self.is_cut(&sent.worker) {
            return;
        }
        let Some(life) = self.lives.get_mut(&sent.worker) else {
            self.refuse_where_replaced(&sent);
            self.refuse_where_left(sent);
            return;
        };
        let born_ms = life.born_ms;
        let is_of_earlier = sent.asked_ms < born_ms;
        if is_of_earlier && !life.is_met() && !self.reaches_unmet {
            self.arrivals.push(at_ms + STEP_MS, sent);
            return;
        }
        match &sent.call {
            Call::Hold(request) => {
                if !life.take_hold(request, at_ms) {
                    return;
                }
                let until_ms = at_ms + millis(request.max_wait);
                if request.acknowledged_end > 0 && !sent.is_heard {
                    let (id, named) = (sent.worker.clone(), request.acknowledged_end);
                    self.tell(format_args!("{id} of {born_ms} is told {named}, unheard"));
                }
                self.waiting.push(Waiting {
                    sent,
                    born_ms,
                    until_ms,
                });
            }
            Call::Start(order) => {
                let order = order.clone();
                let outcome = self.start(&order);
                self.answer(sent, Answer::Start(outcome));
            }
            Call::Stop(order) => {
                let outcome = life.stop(order);
                let what = format!(
                    "{} run {} is stopped at {} of {born_ms}: {outcome:?}",
                    order.task, order.run, order.worker
                );
                self.tell(format_args!("{what}"));
                self.answer(sent, Answer::Stop(outcome));
            }
        }
    }

    fn start(&mut self, order: &Order) -> StartOutcome {
        let spec = &self.jobs[&order.task.group.job].spec;
        let step = &spec.steps[order.task.group.step as usize];
        let (needs, work_ms) = (step.needs, step.estimate_ms);
        let at_ms = self.at_ms;
        let life = self.lives.get_mut(&order.worker).expect("it is up");
        let born_ms = life.born_ms;
        let (outcome, has_begun) = life.start(order, needs, work_ms, at_ms);
        let (task, run, id) = (&order.task, order.run, &order.worker);
        self.tell(format_args!(
            "{task} run {run} at {id} of {born_ms}: {outcome:?}"
        ));
        if has_begun {
            self.check_begin(order);
        }
        outcome
    }

    fn check_begin(&mut self, order: &Order) {
        self.begun += 1;
        let (task, run, id) = (&order.task, order.run, &order.worker);
        if self.noted_done.contains(task) {
            let what = format!("{task} run {run} begins at {id} after it was done");
            self.broken.push(what);
        }
        let is_elsewhere =
            |(other, life): (&WorkerId, &Life)| other != id && life.running.contains_key(task);
        if self.lives.iter().any(is_elsewhere) {
            let what = format!("{task} run {run} begins at {id} while it runs elsewhere");
            self.broken.push(what);
        }
    }

    /// Notes what workers were told to forget, and which steps are done with it.
    fn note_ends(&mut self) {
        let mut noted = BTreeSet::new();
        for life in self.lives.values_mut() {
            noted.append(&mut life.noted_done);
        }
        for task in noted {
            self.note_done(task);
        }
    }

    fn note_done(&mut self, task: TaskKey) {
        self.tell(format_args!("{task} is done, and that is taken note of"));
        let members = self.gangs.get(&task.group).copied().unwrap_or(0);
        let others = (0..).take(members).map(|index| task.group.task(index));
        self.noted_done.extend(others);
        self.noted_done.insert(task);
    }

    fn answer(&mut self, sent: Sent, answer: Answer) {
        if !sent.is_heard || self.is_cut(&sent.worker) {
            return;
        }
        let at_ms = self.at_ms + transit(&mut self.random);
        if let Answer::Report(report) = &answer
            && self.leaving.contains_key(&sent.worker)
        {
            let ended = report.ended.clone();
            if let Some(at_ms) = self.last_words(&sent, &ended, at_ms) {
                self.news.push(at_ms, News::Answered(sent, answer));
            }
        } else {
            self.news.push(at_ms, News::Answered(sent, answer));
        }
    }

    /// Answers requests for reports whose worker waits no longer; those of a life that is over have no answer.
    fn answer_waiting(&mut self) {
        let at_ms = self.at_ms;
        for waiting in std::mem::take(&mut self.waiting) {
            let life = self.lives.get(&waiting.sent.worker);
            let Some(life) = life.filter(|life| life.born_ms == waiting.born_ms) else {
                continue;
            };
            if at_ms >= waiting.until_ms || !life.ended.is_empty() {
                let mut report = life.report(at_ms);
                report.incarnation = report.incarnation.filter(|_| !self.habits.has_new_ids);
                self.answer(waiting.sent, Answer::Report(report));
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    fn take_news(&mut self) {
        for news in self.news.take(self.at_ms) {
            match news {
                News::Answered(sent, answer) if self.pending.remove(&sent.number) => {
                    self.take_answer(&sent, answer);
                }
                News::TimedOut(sent) if self.pending.remove(&sent.number) => {
                    self.take_silence(&sent);
                }
                _ => {}
            }
        }
    }

    fn take_answer(&mut self, sent: &Sent, answer: Answer) {
        let now = self.now();
        let sent_at = Timestamp::from_millis(sent.asked_ms);
        match (&sent.call, answer) {
            (Call::Hold(request), Answer::Report(report)) => {
                let id = &sent.worker;
                self.planner
                    .handle_worker_report(id, request, sent_at, report, now);
                self.asking.insert(id.clone(), Asking::Rests(self.at_ms));
            }
            (Call::Start(order), Answer::Start(outcome)) => {
                self.planner.handle_start_outcome(order, outcome, now);
            }
            (Call::Stop(order), Answer::Stop(outcome)) => {
                self.planner.handle_stop_outcome(order, outcome, now);
            }
            (Call::Hold(_), Answer::OtherLife) => {
                let id = &sent.worker;
                self.planner
                    .end_incarnation(id, "another life answered", now);
            }
            _ => unreachable!("answers fit their calls"),
        }
    }

    fn take_silence(&mut self, sent: &Sent) {
        let now = self.now();
        match &sent.call {
            Call::Hold(_) => {
                self.planner.handle_report_failure(&sent.worker, now);
                let rests = Asking::Rests(self.at_ms + SILENT_PAUSE_MS);
                self.asking.insert(sent.worker.clone(), rests);
            }
            Call::Start(order) => {
                self.planner
                    .handle_start_outcome(order, StartOutcome::Unknown, now);
            }
            Call::Stop(order) => self
                .planner
                .handle_stop_outcome(order, StopOutcome::Unknown, now),
        }
    }

    /// Asks each worker that the planner knows, one request at a time.
    fn ask(&mut self) {
        if !self.has_role() {
            return;
        }
        for id in self.planner.take_workers_to_poll() {
            if let Some(Asking::Rests(_)) = self.asking.get(&id) {
                self.asking.insert(id, Asking::Rests(self.at_ms));
            }
        }
        let known: Vec<WorkerId> = self.planner.workers().cloned().collect();
        self.asking.retain(|id, _| known.contains(id));
        for id in known {
            let asking = self.asking.entry(id.clone()).or_insert(Asking::Rests(0));
            let Asking::Rests(next_ms) = *asking else {
                continue;
            };
            if next_ms > self.at_ms {
                continue;
            }
            let now = self.now();
            if let Some(request) = self.planner.report_request(&id, now) {
                self.asking.insert(id.clone(), Asking::Asked);
                self.send(&id, Call::Hold(request));
            } else {
                self.asking.insert(id, Asking::Rests(self.at_ms + IDLE_MS));
            }
        }
    }

    fn plan(&mut self) {
        let now = self.now();
        self.end_store_outage();
        if self.store_outage.is_none() {
            self.planner
                .set_evacuated_zones(BTreeSet::new(), now.at, now);
            self.finish_writes();
        }
        if !self.has_role() {
            return;
        }
        for order in self.planner.tick(now) {
            let id = order.worker.clone();
            if let Some(Asking::Rests(_)) = self.asking.get(&id) {
                self.asking.insert(id.clone(), Asking::Rests(self.at_ms));
            }
            let call = match order.kind {
                OrderKind::Start { .. } => Call::Start(order),
                OrderKind::Stop => Call::Stop(order),
            };
            self.send(&id, call);
        }
        for decision in self.planner.take_decisions() {
            let (task, worker) = (&decision.task, &decision.worker);
            let what = format!(
                "planner: {:?} {task:?} {worker:?} {}",
                decision.kind, decision.why
            );
            self.tell(format_args!("{what}"));
        }
        for write in self.planner.take_writes(32, &self.busy, now) {
            let took_ms = self.random.random_range(3..=self.habits.write_ms.max(3));
            self.busy.insert(write.job.clone());
            let token = self.planner.token();
            self.writes.push(self.at_ms + took_ms, (token, write));
        }
    }

    /// Takes the answers of the store to writes.
    fn finish_writes(&mut self) {
        for (token, write) in self.writes.take(self.at_ms) {
            if self.unwritten.as_ref() == Some(&write.job) {
                self.writes.push(self.at_ms + STEP_MS, (token, write));
                continue;
            }
            // A write of an earlier planner fails: the role is no longer its own.
            if token == self.planner.token() {
                self.busy.remove(&write.job);
                self.planner.progress_written(&write.job, write.change);
                self.kept.insert(write.job, write.progress);
            }
        }
    }

    /// Names the jobs that have not ended, or were given up without a cause.
    pub fn lost(&self) -> Vec<String> {
        let mut lost = Vec::new();
        for id in self.jobs.keys() {
            match self.planner.caller_state(id) {
                Some(CallerState::Ended(Outcome::Completed)) => {}
                Some(CallerState::Ended(Outcome::Failed)) if self.was_crashed(id) => {}
                state => lost.push(format!("{id} is {state:?}")),
            }
        }
        lost
    }

    fn was_crashed(&self, id: &JobId) -> bool {
        let mut of_job = self.lost_under.iter();
        of_job.any(|(task, lost)| task.group.job == *id && *lost >= MAX_CRASHES)
    }

    /// Counts the ends that the present lives have had, and those of them that were taken note of.
    pub fn ends(&self) -> (u64, u64) {
        let ends = self.lives.values().map(|life| life.ends).sum();
        let noted = self.lives.values().map(|life| life.noted).sum();
        (ends, noted)
    }

    /// Returns what was said and done about a job or worker, for whoever reads a failure.
    pub fn story(&self, of: &str) -> String {
        let lines = self.told.iter().filter(|line| line.contains(of));
        lines.cloned().collect::<Vec<_>>().join("\n")
    }
}

/// Returns the directory entry of a life.
fn listed_as(listed: &ListedWorker, life: &Life, habits: Habits) -> ListedWorker {
    ListedWorker {
        incarnation: Some(life.incarnation()).filter(|_| !habits.has_new_ids),
        ..listed.clone()
    }
}

/// Returns how long the planner's daemon waits for an answer.
fn patience_ms(call: &Call) -> u64 {
    match call {
        Call::Hold(request) => millis(request.max_wait) + HOLD_TIMEOUT_MS,
        Call::Start(_) | Call::Stop(_) => ORDER_TIMEOUT_MS,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).expect("a short time")
}
