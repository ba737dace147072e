//! Planned work in the shape of a customer's site, in real time: daemons are stopped and started in
//! series that overlap while callers keep using their open connections.
//!
//! There are four kinds of plays: planned work alone, on small VMs that give a daemon a quarter of
//! a core, with stalls of daemons, and with all troubles that processes and the platform have. Troubles
//! come in windows; calm lies between them.
//!
//! `STAIRSTALL_PLANNED_SEEDS=1,2,3` names seeds, `STAIRSTALL_PLANNED_SECONDS` how long each runs and
//! `STAIRSTALL_PLANNED_SHAPE=grown` plays as many daemons, workers and callers as a grown site has;
//! with `STAIRSTALL_PLANNED_IDS=shared` a worker begins each life under its ID, in every shape.
//! `STAIRSTALL_PLANNED_CORE_PERCENT` gives small VMs another share of a core.
//! `STAIRSTALL_PLANNED_SHAPE=large` plays the large site, with its zones, VMs, kinds of jobs and troubles;
//! with `STAIRSTALL_PLANNED_HELD=100` each daemon has no more processor time than its VM gives it, with
//! another number so many percent of that; with `STAIRSTALL_PLANNED_VMS=small` there are no strong VMs and
//! with `STAIRSTALL_PLANNED_STOPS=none` there is no planned work. `STAIRSTALL_PLANNED_ADVICE=q2` names a
//! queue with advice: six in ten workers, other ones for each step, may run its steps, with tickets of 6 s.
//! `STAIRSTALL_PLANNED_PROGRAM` names another build of the daemon, to play it beside this one.
//! `STAIRSTALL_PLANNED_DAEMONS`, `_WORKERS`, `_CALLERS` and `_CALLS_PER_JOB` change a shape's size.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::future::join_all;
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use stairstall_platform_standin::{RunRecord, StandinAdviser, StandinStore, StandinWorkers};
use tokio::task::JoinSet;

use crate::cluster::{Daemon, configuration, configuration_with_q9};
use crate::jobs::Job;

mod calm;
mod large;
pub(crate) mod open_connection;
mod processor_limit;
mod troubles;

use calm::Calm;
use open_connection::{Exchange, OpenConnection};
use troubles::{Kind, Troubles};

/// Longest time between a request's last byte and the end of its connection without an answer.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Within what time of its acceptance every daemon knows a job.
const VISIBLE_AFTER: Duration = Duration::from_secs(3);
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// How long a job may have nothing running although most accelerators are free.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// How often it is looked which jobs have nothing running.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long it has been calm before a job that stands still, or a request that is cut, counts.
const CALM_BEFORE: Duration = Duration::from_secs(4);
/// How long after the traffic jobs may take to end where planned work was all.
const FINISH: Duration = Duration::from_secs(14);
/// The same after troubles: a takeover (a lease of the role of 1 s, a new planner that reads and
/// hears all, 3 s in all), leases of 3 s on clocks that are 2% slow and a margin (4 s), 10 s until a
/// worker that nobody lists is taken for crashed, and what was held back by the longest trouble
/// (8 s) and has to run for two turns of the longest task (8 s).
const FINISH_AFTER_TROUBLES: Duration = Duration::from_secs(3 + 4 + 10 + 8 + 8);
/// How much longer where lives share an ID: a start without an answer may come for so long.
const LATE_START: Duration = Duration::from_secs(13);
/// Workers that crash under a task before its job may be shown as failed.
const MAX_CRASHES: u32 = 3;
/// How long daemons take calls after SIGTERM.
const DRAIN_DELAY_MS: u64 = 2_500;
/// Processor time that a small VM gives a daemon in 100 ms. A planner of the debug build runs for a fifth
/// of the time in the small shape.
const SMALL_VM_SHARE: Duration = Duration::from_millis(25);
/// What a daemon uses of its share, in percent, that is noted.
const MUCH_OF_SHARE_PERCENT: f64 = 60.0;
/// How often it is measured what a daemon used of its share.
const SHARE_MEASURED_INTERVAL: Duration = Duration::from_secs(1);
/// How often it is looked how late this process itself is.
const LATENESS_INTERVAL: Duration = Duration::from_millis(50);
/// How long callers wait for an answer.
const DEADLINE: Duration = Duration::from_secs(3);
/// How often the balancer asks for readiness.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
const ACCELERATORS: usize = 8;
/// One question in so many cancels the job instead, in the large shape.
const CALLS_PER_CANCELLATION: u32 = 400;
/// One piece of planned work in so many begins at the planner, in the large shape.
const PLANNER_ONE_IN: u32 = 3;
const VIOLATIONS_SHOWN: usize = 20;
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
const DEFAULT_SECONDS: u64 = 10;
/// The same with troubles.
const TROUBLE_SEEDS: [u64; 1] = [1];
const TROUBLE_SECONDS: u64 = 9;

/// How many of each kind there are.
#[derive(Debug, Clone, Copy)]
struct Shape {
    daemons: usize,
    workers: usize,
    callers: usize,
    /// One call in so many hands a job in.
    calls_per_job: u32,
    /// Whether it is the large site's, with its zones, VMs and jobs.
    is_large: bool,
}

const SMALL: Shape = Shape {
    daemons: 8,
    workers: 24,
    callers: 32,
    calls_per_job: 8,
    is_large: false,
};

const GROWN: Shape = Shape {
    daemons: 41,
    workers: 350,
    callers: 97,
    calls_per_job: 6,
    is_large: false,
};

/// What callers know of a job.
#[derive(Debug, Clone)]
struct Accepted {
    at: Instant,
    tasks: usize,
    /// Since when none of its tasks has been running, if it is open.
    idle_since: Option<Instant>,
    /// The job itself, in the large shape.
    job: Option<Arc<Job>>,
    /// Whether its cancellation was sent.
    is_cancelled: bool,
}

/// What callers, the balancer and the operator share.
#[derive(Debug, Default)]
struct Shared {
    /// Addresses of the daemons that get new connections.
    ready: Mutex<BTreeMap<usize, SocketAddr>>,
    accepted: Mutex<BTreeMap<String, Accepted>>,
    violations: Mutex<Vec<String>>,
    /// Requests whose connections closed without an answer within the slack.
    cut_soon: Mutex<Vec<Duration>>,
    answers: Mutex<BTreeMap<String, usize>>,
    /// Jobs that were shown as completed.
    completed: Mutex<BTreeSet<String>>,
    calm: Arc<Calm>,
    /// What was done to whom, with the time of day.
    notes: Mutex<Vec<String>>,
    /// Number of the next VM.
    next_vm: AtomicUsize,
    /// The most by which this process was late.
    late: Mutex<Duration>,
    /// The logs of all daemons, also of those that have ended.
    logs: Mutex<Vec<Arc<Mutex<Vec<String>>>>>,
    is_large: bool,
    /// Where daemons run on strong VMs.
    strong: Mutex<BTreeSet<SocketAddr>>,
    /// Whether the strong VMs have ended: those that start are small.
    strong_vms_gone: AtomicBool,
    /// How much of its share a daemon that was held to one had, at most.
    most_of_share_percent: Mutex<f64>,
    /// Since when under half of the accelerators have been in use, if they are.
    half_empty_since: Mutex<Option<Instant>>,
    /// Who accepted a job last.
    last_acceptor: Mutex<Option<SocketAddr>>,
    /// Where tickets for starts are to be had, at the large site.
    adviser: Option<StandinAdviser>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn report(&self, violation: String) {
        lock(&self.violations).push(violation);
    }

    fn count(&self, what: String) {
        *lock(&self.answers).entry(what).or_default() += 1;
    }

    fn note(&self, what: &str) {
        lock(&self.notes).push(format!("{} NOTE {what}", time_of_day()));
    }

    fn add_log(&self, daemon: &Daemon) {
        lock(&self.logs).push(daemon.log());
    }

    /// Returns what all daemons logged and what was done to them, by time of day, with the VM's name.
    fn all_lines(&self) -> Vec<String> {
        let mut lines = lock(&self.notes).clone();
        for log in lock(&self.logs).iter() {
            let log = lock(log);
            let vm = log.iter().find_map(|line| line.split_once(" start vm="));
            let vm = vm.and_then(|(_, rest)| rest.split(' ').next());
            let vm = vm.unwrap_or("vm-?");
            let stamped = log
                .iter()
                .filter_map(|line| line.split_once('T')?.1.split_once("Z "));
            lines.extend(stamped.map(|(time, rest)| format!("{time} {vm} {rest}")));
        }
        lines
    }

    /// Returns a daemon for a new connection.
    fn pick(&self, random: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let ready = lock(&self.ready);
        let index = random.random_range(0..ready.len().max(1));
        ready.values().nth(index).copied()
    }
}

/// Returns the time of day in UTC, as daemons and workers log it.
fn time_of_day() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis()) % 86_400_000;
    let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
    let (seconds, millis) = (ms / 1_000 % 60, ms % 1_000);
    format!("{hours:02}:{minutes:02}:{seconds:02}.{millis:03}")
}

/// One caller, which keeps its connection for as long as it can.
struct Caller {
    shared: Arc<Shared>,
    workers: Arc<StandinWorkers>,
    random: Pcg64Mcg,
    shape: Shape,
    number: usize,
    next_job: u64,
    own_jobs: Vec<String>,
    connection: Option<OpenConnection>,
    started: Instant,
}

impl Caller {
    async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            if self.own_jobs.is_empty()
                || self.random.random_range(0..self.shape.calls_per_job) == 0
            {
                self.submit().await;
            } else {
                self.ask().await;
            }
            // Some callers leave their connections idle for longer than a drain delay.
            let rests = self.number.is_multiple_of(4) && self.random.random_range(0..6) == 0;
            let pause_ms = if rests { 1_000..4_000 } else { 20..400 };
            let pause = self.random.random_range(pause_ms);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends one request on the open connection, or on a new one; half of its body so much later, if
    /// that is said.
    async fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &Value,
        gap: Option<Duration>,
    ) -> Option<(u16, Vec<u8>)> {
        if self.connection.is_none() {
            let address = self.shared.pick(&mut self.random)?;
            self.connection = OpenConnection::open(address).await.ok();
        }
        let mut connection = self.connection.take()?;
        let exchange = connection.exchange_in_parts(method, path, body, gap, DEADLINE);
        match exchange.await {
            Exchange::Answered(answer) => {
                self.shared.count(format!("{method} {}", answer.status));
                if method == "POST" && answer.status == 200 {
                    *lock(&self.shared.last_acceptor) = Some(connection.address());
                }
                if !answer.closes {
                    self.connection = Some(connection);
                }
                Some((answer.status, answer.body))
            }
            Exchange::Cut(after) if after > LOSS_SLACK => {
                let address = connection.address();
                let at = self.started.elapsed();
                let time = time_of_day();
                let cut = format!(
                    "{time} ({at:?}): {method} {path} at {address}: no answer, closed {after:?} after its last byte"
                );
                self.shared.note(&cut);
                if self.shared.calm.lasted() >= CALM_BEFORE + after {
                    self.shared.report(cut);
                } else {
                    self.shared
                        .count(format!("{method} cut late beside troubles"));
                }
                None
            }
            Exchange::Cut(after) => {
                lock(&self.shared.cut_soon).push(after);
                None
            }
            Exchange::NotSent => {
                self.shared.count(format!("{method} not sent"));
                None
            }
            Exchange::GivenUp => {
                self.shared.count(format!("{method} given up"));
                None
            }
        }
    }

    async fn submit(&mut self) {
        self.next_job += 1;
        if self.shape.is_large {
            let (path, job) = large::draw(&mut self.random, self.number, self.next_job);
            let tasks = job.steps.iter().map(|step| step.count).sum::<u64>();
            let tasks = usize::try_from(tasks).unwrap_or(usize::MAX);
            let body = job.body.clone();
            self.hand_in(path, body, tasks, Some(job)).await;
            return;
        }
        let id = format!("{:08x}{:08x}", self.number + 1, self.next_job);
        let queue = self.random.random_range(0..3);
        let ms = self.random.random_range(500..4_000);
        let tasks = self.random.random_range(1..8);
        let mut steps =
            vec![json!({"count": tasks, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": ms})];
        let follows = self.random.random_range(0..4) == 0;
        if follows {
            steps.push(json!({"count": 1, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": ms, "dependsOn": [0]}));
        }
        let body = json!({"spec": format!("ms={ms}"), "steps": steps});
        let path = format!("/q{queue}/{id}");
        let tasks = tasks + usize::from(follows);
        self.hand_in(path, body, tasks, None).await;
    }

    /// Hands a job in, as often as a caller does.
    async fn hand_in(&mut self, path: String, body: Value, tasks: usize, job: Option<Arc<Job>>) {
        for _ in 0..4 {
            let is_slow = self.random.random_range(0..5) == 0;
            let gap = is_slow.then(|| self.random.random_range(50..2_000));
            let gap = gap.map(Duration::from_millis);
            let answer = self.call("POST", &path, &body, gap).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                let accepted = Accepted {
                    at: Instant::now(),
                    tasks,
                    idle_since: None,
                    job,
                    is_cancelled: false,
                };
                lock(&self.shared.accepted).insert(path.clone(), accepted);
                self.own_jobs.push(path);
                return;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }

    async fn ask(&mut self) {
        let index = self.random.random_range(0..self.own_jobs.len());
        let path = self.own_jobs[index].clone();
        if self.shape.is_large && self.random.random_range(0..CALLS_PER_CANCELLATION) == 0 {
            self.cancel(&path).await;
            return;
        }
        let asked_at = Instant::now();
        let Some((status, body)) = self.call("GET", &path, &Value::Null, None).await else {
            return;
        };
        check_state(&self.shared, &self.workers, &path, asked_at, status, &body);
    }
}

impl Caller {
    /// Cancels one of its jobs.
    async fn cancel(&mut self, path: &str) {
        if let Some(job) = lock(&self.shared.accepted).get_mut(path) {
            job.is_cancelled = true;
        }
        let answer = self.call("DELETE", path, &Value::Null, None).await;
        if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
            self.workers.note_cancelled(&path[4..]);
        }
    }
}

/// Checks what a daemon says of an accepted job.
fn check_state(
    shared: &Shared,
    workers: &StandinWorkers,
    path: &str,
    asked_at: Instant,
    status: u16,
    body: &[u8],
) {
    let accepted = lock(&shared.accepted).get(path).cloned();
    if accepted.as_ref().is_some_and(|job| job.is_cancelled) {
        return;
    }
    let is_visible = accepted
        .as_ref()
        .is_some_and(|job| asked_at - job.at > VISIBLE_AFTER);
    let state = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let state = state["state"].as_str().unwrap_or_default();
    let is_unknown = matches!(status, 404 | 410) && is_visible;
    if state == "completed" {
        lock(&shared.completed).insert(path.to_owned());
    }
    let job = accepted.and_then(|accepted| accepted.job);
    let may_fail = || match &job {
        Some(job) => large::may_fail(workers, &workers.records(), path, job),
        None => workers.most_lost_under(&path[4..]) >= MAX_CRASHES,
    };
    let is_failed = state == "failed" && !may_fail();
    if is_unknown || is_failed || state == "cancelled" {
        let time = time_of_day();
        shared.report(format!("{time} {path}: {status} {state:?}"));
    }
}

/// The site: daemons as processes on the platform's stand-in.
struct Site {
    store: Arc<StandinStore>,
    workers: Arc<StandinWorkers>,
    daemons: Vec<Arc<tokio::sync::Mutex<Daemon>>>,
    shared: Arc<Shared>,
    random: Pcg64Mcg,
    version: u64,
    kind: Kind,
}

impl Site {
    async fn start(kind: Kind, shape: Shape, seed: u64) -> Self {
        let store = StandinStore::start().await.expect("a store");
        store.put("op/config", &configuration_of(shape.is_large, 1));
        let workers = if shape.is_large {
            large::start_workers(&store, shape, kind.has_worker_links()).await
        } else if shares_ids() {
            StandinWorkers::start(&store, "desk", shape.workers).await
        } else {
            StandinWorkers::start_with_new_ids(&store, "desk", shape.workers).await
        };
        let workers = workers.expect("workers");
        let store = Arc::new(store);
        let adviser = large::start_adviser(&workers).await;
        let shared = Arc::new(Shared {
            is_large: shape.is_large,
            adviser: Some(adviser.expect("an adviser")),
            ..Shared::default()
        });
        let mut daemons: Vec<Daemon> = Vec::new();
        while daemons.len() < shape.daemons {
            let more = large::STARTS_AT_ONCE.min(shape.daemons - daemons.len());
            let starting = (0..more).map(|_| start_daemon(kind, &store, &shared));
            daemons.extend(join_all(starting).await);
        }
        let daemons = daemons.into_iter();
        Self {
            store: Arc::clone(&store),
            workers: Arc::new(workers),
            daemons: daemons
                .map(|daemon| Arc::new(tokio::sync::Mutex::new(daemon)))
                .collect(),
            shared,
            random: Pcg64Mcg::seed_from_u64(seed),
            version: 1,
            kind,
        }
    }

    /// Starts a planned stop of a daemon, which is then started again at another address.
    fn stop_and_start(&mut self, index: usize, in_flight: &mut JoinSet<()>) {
        let daemon = Arc::clone(&self.daemons[index]);
        let store = Arc::clone(&self.store);
        let shared = Arc::clone(&self.shared);
        let kind = self.kind;
        let away = Duration::from_millis(self.random.random_range(100..1_500));
        let mut signals = self.draw_stop_signals();
        let pauses = self.kind.has_stalls() && self.random.random_range(0..3) == 0;
        if pauses {
            signals.extend(troubles::pause_until_drained(&mut self.random));
        }
        signals.sort_by_key(|(after_ms, _)| *after_ms);
        in_flight.spawn(async move {
            let Ok(mut daemon) = daemon.try_lock_owned() else {
                return;
            };
            let disturbance = pauses.then(|| Calm::disturb(&shared.calm));
            shared.note(&format!("stop of {}: {signals:?}", daemon.address));
            let begun = Instant::now();
            for (after_ms, signal) in signals {
                let due = begun + Duration::from_millis(after_ms);
                tokio::time::sleep_until(due.into()).await;
                daemon.signal(signal);
            }
            let left = GRACE.saturating_sub(begun.elapsed());
            let stopped = tokio::time::timeout(left, daemon.wait()).await;
            if stopped != Ok(Some(0)) {
                let last = daemon.log_lines("stop").join("\n");
                let what = format!("planned stop ended with {stopped:?}: {last}");
                shared.note(&what);
                if shared.calm.lasted() >= CALM_BEFORE + begun.elapsed() {
                    shared.report(what);
                } else {
                    shared.count("stops not ended well beside troubles".to_owned());
                }
                daemon.kill().await;
            }
            drop(disturbance);
            lock(&shared.ready).remove(&index);
            tokio::time::sleep(away).await;
            *daemon = start_daemon(kind, &store, &shared).await;
        });
    }

    /// Draws the signals of a planned stop, with how many milliseconds after its beginning they come.
    fn draw_stop_signals(&mut self) -> Vec<(u64, Signal)> {
        let mut signals = vec![(0, Signal::SIGTERM)];
        if self.random.random_range(0..4) == 0 {
            signals.insert(0, (0, Signal::SIGHUP));
        }
        if self.random.random_range(0..4) == 0 {
            let after_ms = self.random.random_range(0..DRAIN_DELAY_MS);
            signals.push((after_ms, Signal::SIGHUP));
        }
        if self.random.random_range(0..3) == 0 {
            let after_ms = self.random.random_range(0..DRAIN_DELAY_MS + 100);
            signals.push((after_ms, Signal::SIGTERM));
        }
        signals
    }

    /// Writes the next configuration, which adds a queue or removes it.
    fn reconfigure(&mut self) {
        self.version += 1;
        let next = configuration_of(self.shared.is_large, self.version);
        self.store.put("op/config", &next);
    }

    /// Draws planned work for a while; some of it comes in series that overlap.
    async fn operate(&mut self, until: Instant) {
        if std::env::var("STAIRSTALL_PLANNED_STOPS").is_ok_and(|stops| stops == "none") {
            tokio::time::sleep_until(until.into()).await;
            return;
        }
        let mut in_flight = JoinSet::new();
        while Instant::now() < until {
            let pause = self.random.random_range(100..1_200);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let mut index = self.random.random_range(0..self.daemons.len());
            if self.shared.is_large && self.random.random_range(0..PLANNER_ONE_IN) == 0 {
                index = troubles::planner_of(&self.daemons).unwrap_or(index);
            }
            match self.random.random_range(0..8) {
                0..4 => {
                    let mut series = self.random.random_range(1..=self.daemons.len() / 4);
                    if self.shared.is_large && self.random.random_range(0..3) == 0 {
                        series = self.daemons.len();
                    }
                    for offset in 0..series {
                        let index = (index + offset) % self.daemons.len();
                        if self.shared.is_large && Instant::now() >= until {
                            break;
                        }
                        self.stop_and_start(index, &mut in_flight);
                        let gap = self.random.random_range(0..700);
                        tokio::time::sleep(Duration::from_millis(gap)).await;
                        if self.random.random_range(0..6) == 0 {
                            self.reconfigure();
                        }
                    }
                }
                4 => {
                    for _ in 0..self.random.random_range(1..4) {
                        if let Ok(daemon) = self.daemons[index].try_lock() {
                            daemon.signal(Signal::SIGHUP);
                        }
                        let gap = self.random.random_range(0..300);
                        tokio::time::sleep(Duration::from_millis(gap)).await;
                    }
                }
                _ => self.reconfigure(),
            }
        }
        while let Some(ended) = in_flight.join_next().await {
            if let Err(error) = ended {
                self.shared.report(format!("a planned stop: {error}"));
            }
        }
    }

    /// Says how much processor time the daemon with the most of it had, and how long it waited for it: a
    /// play says little where it waited for most of its life.
    async fn busiest_daemon(&self) -> String {
        let mut most = (Duration::ZERO, String::new());
        for daemon in &self.daemons {
            let daemon = daemon.lock().await;
            let times = daemon.id().and_then(processor_limit::processor_times);
            let Some((ran, waited)) = times.filter(|(ran, _)| *ran > most.0) else {
                continue;
            };
            let address = daemon.address;
            most = (
                ran,
                format!("{address} ran {ran:?}, waited {waited:?} to run"),
            );
        }
        most.1
    }

    /// Returns how long after the traffic jobs may take to end.
    fn finish(&self) -> Duration {
        if !self.kind.has_stalls() || self.shared.is_large {
            return FINISH;
        }
        if shares_ids() {
            return FINISH_AFTER_TROUBLES + LATE_START;
        }
        FINISH_AFTER_TROUBLES
    }

    /// Asks for every accepted job after the traffic.
    async fn check_ends(&self) {
        let until = Instant::now() + self.finish();
        let mut answered = BTreeSet::new();
        let mut open: BTreeSet<String> = lock(&self.shared.accepted).keys().cloned().collect();
        let address = self.daemons[0].lock().await.address;
        let mut connection = OpenConnection::open(address).await.expect("a connection");
        while !open.is_empty() && Instant::now() < until {
            let mut left = BTreeSet::new();
            for path in open {
                let asked_at = Instant::now();
                let exchange = connection.exchange("GET", &path, &Value::Null, DEADLINE);
                let Exchange::Answered(answer) = exchange.await else {
                    connection = OpenConnection::open(address).await.expect("a connection");
                    left.insert(path);
                    continue;
                };
                check_state(
                    &self.shared,
                    &self.workers,
                    &path,
                    asked_at,
                    answer.status,
                    &answer.body,
                );
                answered.insert(path.clone());
                let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                let is_over = lock(&self.shared.accepted).get(&path).is_some_and(|job| {
                    job.is_cancelled || job.job.is_some() && body["state"] == "failed"
                });
                if body["state"] != "completed" && !is_over {
                    left.insert(path);
                }
            }
            open = left;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        for path in open {
            // Work of the large shape may take longer; standing still is checked meanwhile.
            if self.shared.is_large && answered.contains(&path) {
                self.shared.count("open at the end".to_owned());
                continue;
            }
            let lines = self.workers.history_of(&path[4..]).join("\n");
            self.shared.report(format!("{path} has not ended\n{lines}"));
        }
        self.check_completed_work();
    }

    /// Checks that workers did all tasks of the jobs that were shown as completed.
    fn check_completed_work(&self) {
        let records = self.workers.records();
        let done = done_tasks(&records);
        for path in lock(&self.shared.completed).iter() {
            let id = &path[4..];
            let count = done.get(id).map_or(0, BTreeSet::len);
            let accepted = lock(&self.shared.accepted).get(path).cloned();
            if let Some(job) = accepted.as_ref().and_then(|accepted| accepted.job.as_ref()) {
                if !large::is_done(&records, path, job) {
                    self.shared
                        .report(format!("{path}: completed before all tasks are done"));
                }
                continue;
            }
            let tasks = accepted.map(|job| job.tasks);
            if tasks != Some(count) {
                self.shared.report(format!(
                    "{path}: completed with {count} of {tasks:?} tasks done"
                ));
            }
        }
    }
}

/// Notes which open jobs have had nothing running for too long although there is room.
async fn watch_idle_jobs(workers: Arc<StandinWorkers>, shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        if shared.is_large {
            large::check_idle_jobs(&workers, &shared);
        } else {
            check_idle_jobs(&workers, &shared);
        }
    }
}

fn job_of(record: &RunRecord) -> &str {
    record.task.split('.').next().unwrap_or_default()
}

/// Returns by job which of its tasks were done.
fn done_tasks(records: &[RunRecord]) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut done: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for record in records.iter().filter(|r| r.how == Some("done")) {
        done.entry(job_of(record)).or_default().insert(&record.task);
    }
    done
}

fn check_idle_jobs(workers: &StandinWorkers, shared: &Shared) {
    let records = workers.records();
    let running = || records.iter().filter(|record| record.how.is_none());
    let has_room = running().count() < workers.count() * ACCELERATORS / 2;
    let running: BTreeSet<&str> = running().map(job_of).collect();
    let done = done_tasks(&records);
    let now = Instant::now();
    let is_calm = shared.calm.lasted() >= CALM_BEFORE;
    for (path, job) in lock(&shared.accepted).iter_mut() {
        let id = &path[4..];
        let is_done = done.get(id).is_some_and(|tasks| tasks.len() >= job.tasks);
        if is_done || running.contains(id) || !has_room || !is_calm {
            job.idle_since = None;
            continue;
        }
        let since = *job.idle_since.get_or_insert(now);
        if now - since > MAX_IDLE {
            let time = time_of_day();
            shared.report(format!("{time} {path}: nothing runs for {:?}", now - since));
            job.idle_since = None;
        }
    }
}

/// Returns a version of the configuration; every second one has a queue more.
fn configuration_of(is_large: bool, version: u64) -> Value {
    if is_large {
        large::configuration(version)
    } else if version.is_multiple_of(2) {
        configuration_with_q9(version)
    } else {
        configuration(version)
    }
}

/// Starts a daemon of the program that is played.
async fn start_program(zone: &str, name: &str, store: &StandinStore, flags: &[&str]) -> Daemon {
    match std::env::var("STAIRSTALL_PLANNED_PROGRAM") {
        Ok(program) => Daemon::start_program_in(&program, zone, name, store, flags).await,
        Err(_) => Daemon::start_in(zone, name, store, flags).await,
    }
}

async fn start_daemon(kind: Kind, store: &StandinStore, shared: &Arc<Shared>) -> Daemon {
    let number = shared.next_vm.fetch_add(1, Ordering::SeqCst);
    let name = format!("vm-{number}");
    let are_strong_gone = shared.strong_vms_gone.load(Ordering::SeqCst);
    let is_strong = shared.is_large && large::is_strong(number) && !are_strong_gone;
    let daemon = if shared.is_large {
        let adviser = shared.adviser.as_ref().map(StandinAdviser::address);
        let adviser = adviser.map(|address| address.to_string());
        let mut flags = large::flags_of(is_strong);
        flags.extend(adviser.iter().flat_map(|address| ["--adviser", address]));
        start_program(large::zone_of(number), &name, store, &flags).await
    } else {
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        let delay = DRAIN_DELAY_MS.to_string();
        let flags = ["--drain-delay-ms", &delay, "--config-apply-ms", "3000"];
        start_program(zone, &name, store, &flags).await
    };
    if is_strong {
        lock(&shared.strong).insert(daemon.address);
        shared.note(&format!("{name} at {} is strong", daemon.address));
    }
    let share = if kind == Kind::SmallVms {
        Some(small_vm_share())
    } else {
        large::held_share(is_strong).filter(|_| shared.is_large)
    };
    if let (Some(share), Some(id)) = (share, daemon.id()) {
        tokio::spawn(limit_processor(id, name, share, Arc::clone(shared)));
    }
    shared.add_log(&daemon);
    daemon
}

/// Returns the processor time that a small VM gives a daemon in each period.
fn small_vm_share() -> Duration {
    let percent = std::env::var("STAIRSTALL_PLANNED_CORE_PERCENT").ok();
    let percent = percent.and_then(|percent| percent.parse::<u32>().ok());
    percent.map_or(SMALL_VM_SHARE, |percent| {
        processor_limit::PERIOD * percent / 100
    })
}

/// Gives a daemon the processor time of its VM and counts how often it stood still for that.
async fn limit_processor(id: u32, name: String, share: Duration, shared: Arc<Shared>) {
    let stops = AtomicUsize::new(0);
    let limited = processor_limit::limit(id, share, || {
        stops.fetch_add(1, Ordering::SeqCst);
        shared.count("standing still for a share that is used up".to_owned());
    });
    tokio::join!(limited, measure_share(id, &name, share, &shared, &stops));
}

/// Notes how much of its share a daemon uses that is held to one, until it ends.
async fn measure_share(id: u32, name: &str, share: Duration, shared: &Shared, stops: &AtomicUsize) {
    let mut before = (Instant::now(), Duration::ZERO);
    while let Some((used, _)) = processor_limit::processor_times(id) {
        let now = Instant::now();
        let periods = (now - before.0).as_secs_f64() / processor_limit::PERIOD.as_secs_f64();
        let in_this_time = used.saturating_sub(before.1);
        let percent = 100.0 * in_this_time.as_secs_f64() / (share.as_secs_f64() * periods);
        let stops = stops.swap(0, Ordering::SeqCst);
        // The first look only says what it used before.
        if !before.1.is_zero() {
            let mut most = lock(&shared.most_of_share_percent);
            *most = percent.max(*most);
            if percent >= MUCH_OF_SHARE_PERCENT {
                shared.note(&format!(
                    "{name} used {percent:.0}% of its share, stood still {stops} times"
                ));
            }
        }
        before = (now, used);
        tokio::time::sleep(SHARE_MEASURED_INTERVAL).await;
    }
}

/// Gives new connections to the daemons that are ready; one that misses twice gets none.
async fn balance(shared: Arc<Shared>, daemons: Vec<Arc<tokio::sync::Mutex<Daemon>>>) {
    let mut misses = vec![0_u32; daemons.len()];
    let mut known: Vec<Option<(SocketAddr, SocketAddr)>> = vec![None; daemons.len()];
    loop {
        for (index, daemon) in daemons.iter().enumerate() {
            // While a daemon is being stopped, its addresses are those known before.
            if let Ok(daemon) = daemon.try_lock() {
                known[index] = Some((daemon.health, daemon.address));
            }
        }
        let asked = known.iter().map(|known| async move {
            let (health, address) = (*known)?;
            Some((address, is_ready(health).await))
        });
        for (index, answer) in join_all(asked).await.into_iter().enumerate() {
            let Some((address, is_ready)) = answer else {
                continue;
            };
            misses[index] = if is_ready { 0 } else { misses[index] + 1 };
            if is_ready {
                lock(&shared.ready).insert(index, address);
            } else if misses[index] >= 2 {
                lock(&shared.ready).remove(&index);
            }
        }
        tokio::time::sleep(READINESS_INTERVAL).await;
    }
}

async fn is_ready(health: SocketAddr) -> bool {
    let Ok(mut connection) = OpenConnection::open(health).await else {
        return false;
    };
    let patience = Duration::from_millis(500);
    let exchange = connection.exchange("GET", "/v1/readyz", &Value::Null, patience);
    matches!(exchange.await, Exchange::Answered(answer) if answer.status == 200)
}

/// Notes by how much this process is late, which plays the store, the workers and the callers.
async fn watch_lateness(shared: Arc<Shared>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        tokio::time::sleep_until(due.into()).await;
        let mut late = lock(&shared.late);
        *late = due.elapsed().max(*late);
    }
}

fn start_callers(site: &Site, shape: Shape, seed: u64, until: Instant) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for number in 0..shape.callers {
        let caller = Caller {
            shared: Arc::clone(&site.shared),
            workers: Arc::clone(&site.workers),
            random: Pcg64Mcg::seed_from_u64(seed << 16 | number as u64),
            shape,
            number,
            next_job: 0,
            own_jobs: Vec::new(),
            connection: None,
            started: Instant::now(),
        };
        callers.spawn(caller.run(until));
    }
    callers
}

async fn play(kind: Kind, shape: Shape, seed: u64, length: Duration) {
    println!("{kind:?}, seed {seed}, load {}", load());
    let mut site = Site::start(kind, shape, seed).await;
    let shared = Arc::clone(&site.shared);
    let mut watchers = JoinSet::new();
    watchers.spawn(balance(Arc::clone(&shared), site.daemons.clone()));
    while lock(&shared.ready).len() < shape.daemons {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let until = Instant::now() + length;
    let mut callers = start_callers(&site, shape, seed, until);
    let workers = Arc::clone(&site.workers);
    watchers.spawn(watch_idle_jobs(workers, Arc::clone(&shared)));
    watchers.spawn(watch_lateness(Arc::clone(&shared)));
    let troubles = Troubles::new(&site, seed);
    tokio::join!(site.operate(until), troubles.run(until));
    while callers.join_next().await.is_some() {}
    let traffic_ended = Instant::now();
    let busiest = site.busiest_daemon().await;
    site.check_ends().await;
    watchers.abort_all();
    let mut violations = lock(&shared.violations).clone();
    violations.extend(site.workers.violations().iter().map(ToString::to_string));
    println!(
        "{kind:?}, seed {seed}: {busiest}; {} connections to workers; {} jobs accepted, all asked for {:?} after the traffic; answers {:?}, cut within \
         the slack {:?}; this process late by up to {:?}; at most {:.0}% of a share; load {}",
        site.workers.connections_opened(),
        lock(&shared.accepted).len(),
        traffic_ended.elapsed(),
        lock(&shared.answers),
        lock(&shared.cut_soon),
        lock(&shared.late),
        lock(&shared.most_of_share_percent),
        load(),
    );
    for cut in lock(&shared.notes)
        .iter()
        .filter(|note| note.contains("no answer, closed"))
    {
        println!("{cut}");
    }
    let keeps_all = std::env::var("STAIRSTALL_PLANNED_LOGS").is_ok();
    if keeps_all || !violations.is_empty() {
        keep_logs(&site, seed);
    }
    let shown = violations.iter().take(VIOLATIONS_SHOWN);
    let shown: Vec<&String> = shown.collect();
    let count = violations.len();
    assert!(
        violations.is_empty(),
        "{kind:?}, seed {seed}: {count} violations: {shown:#?}"
    );
}

/// Returns the load of the machine, which says how much a play tells.
fn load() -> String {
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    load.split(' ').next().unwrap_or_default().to_owned()
}

/// Writes what all daemons logged, what was done to them and what workers did to a file and prints
/// its path.
fn keep_logs(site: &Site, seed: u64) {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let stamp = time_of_day().replace([':', '.'], "");
    let path = format!(
        "{directory}/planned-work-{:?}-{seed}-{stamp}.log",
        site.kind
    );
    let mut lines = site.shared.all_lines();
    lines.extend(site.workers.history_of(""));
    lines.sort();
    lines.extend(lock(&site.shared.violations).iter().cloned());
    std::fs::write(&path, lines.join("\n")).expect("a file for the logs");
    println!("logs of all daemons: {path}");
}

fn seeds_or(default: &[u64]) -> Vec<u64> {
    let given = std::env::var("STAIRSTALL_PLANNED_SEEDS").unwrap_or_default();
    let named: Vec<u64> = given
        .split(',')
        .filter_map(|s| s.trim().parse().ok())
        .collect();
    if named.is_empty() {
        return default.to_vec();
    }
    named
}

fn shape() -> Shape {
    let shape = match std::env::var("STAIRSTALL_PLANNED_SHAPE").as_deref() {
        Ok("grown") => GROWN,
        Ok("large") => large::SHAPE,
        _ => SMALL,
    };
    Shape {
        daemons: size_or("STAIRSTALL_PLANNED_DAEMONS", shape.daemons),
        workers: size_or("STAIRSTALL_PLANNED_WORKERS", shape.workers),
        callers: size_or("STAIRSTALL_PLANNED_CALLERS", shape.callers),
        calls_per_job: size_or("STAIRSTALL_PLANNED_CALLS_PER_JOB", shape.calls_per_job),
        ..shape
    }
}

fn size_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    let given = std::env::var(name).ok();
    given.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn length(default: u64) -> Duration {
    let seconds = std::env::var("STAIRSTALL_PLANNED_SECONDS").ok();
    let seconds = seconds.and_then(|s| s.parse().ok());
    Duration::from_secs(seconds.unwrap_or(default))
}

fn shares_ids() -> bool {
    std::env::var("STAIRSTALL_PLANNED_IDS").is_ok_and(|ids| ids == "shared")
}

/// No request that was sent on an open connection is lost, and no accepted job, whatever daemons stop.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_lost_while_daemons_stop_and_start_in_series() {
    for seed in seeds_or(&DEFAULT_SEEDS) {
        play(Kind::Planned, shape(), seed, length(DEFAULT_SECONDS)).await;
    }
}

/// Nothing is lost either where each daemon has a share of a core and stands still when it is used up.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_lost_in_planned_work_on_small_vms() {
    for seed in seeds_or(&TROUBLE_SEEDS) {
        play(Kind::SmallVms, shape(), seed, length(TROUBLE_SECONDS)).await;
    }
}

/// No accepted job is lost at the large site where all strong VMs end at once, so that a small one plans.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_lost_after_all_strong_vms_have_gone() {
    if !shape().is_large {
        return;
    }
    for seed in seeds_or(&TROUBLE_SEEDS) {
        play(Kind::StrongVmsGone, shape(), seed, length(TROUBLE_SECONDS)).await;
    }
}

/// No accepted job is lost or runs twice where daemons stall meanwhile, also the planner.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_lost_while_daemons_stall() {
    for seed in seeds_or(&TROUBLE_SEEDS) {
        play(Kind::Stalls, shape(), seed, length(TROUBLE_SECONDS)).await;
    }
}

/// No accepted job is lost or runs twice where daemons, the store, links and workers fail meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_lost_while_processes_and_the_platform_fail() {
    for seed in seeds_or(&TROUBLE_SEEDS) {
        play(Kind::Failures, shape(), seed, length(TROUBLE_SECONDS)).await;
    }
}
