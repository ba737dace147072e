//! Planned work in the shape of a customer's site, in real time: daemons are stopped and started in
//! series that overlap while callers keep using their open connections.
//!
//! `STAIRSTALL_PLANNED_SEEDS=1,2,3` names seeds, `STAIRSTALL_PLANNED_SECONDS` how long each runs and
//! `STAIRSTALL_PLANNED_SHAPE=grown` plays as many daemons, workers and callers as a grown site has.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures::future::join_all;
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use stairstall_platform_standin::{RunRecord, StandinStore, StandinWorkers};
use tokio::task::JoinSet;

use crate::cluster::{Daemon, configuration, configuration_with_q9};

pub(crate) mod open_connection;

use open_connection::{Exchange, OpenConnection};

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
/// How long after the traffic jobs may take to end.
const FINISH: Duration = Duration::from_secs(14);
/// How long callers wait for an answer.
const DEADLINE: Duration = Duration::from_secs(3);
/// How often the balancer asks for readiness.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
const ACCELERATORS: usize = 8;
const VIOLATIONS_SHOWN: usize = 20;
const DEFAULT_SEEDS: [u64; 2] = [1, 2];
const DEFAULT_SECONDS: u64 = 12;

/// How many of each kind there are.
#[derive(Debug, Clone, Copy)]
struct Shape {
    daemons: usize,
    workers: usize,
    callers: usize,
    /// One call in so many hands a job in.
    calls_per_job: u32,
}

const SMALL: Shape = Shape {
    daemons: 8,
    workers: 24,
    callers: 32,
    calls_per_job: 8,
};

const GROWN: Shape = Shape {
    daemons: 41,
    workers: 350,
    callers: 97,
    calls_per_job: 6,
};

/// What callers know of a job.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    at: Instant,
    tasks: usize,
    /// Since when none of its tasks has been running, if it is open.
    idle_since: Option<Instant>,
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
    /// The logs of all daemons, also of those that have ended.
    logs: Mutex<Vec<Arc<Mutex<Vec<String>>>>>,
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

    fn add_log(&self, daemon: &Daemon) {
        lock(&self.logs).push(daemon.log());
    }

    /// Returns what daemons logged that contains a text, oldest first.
    fn lines_with(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for log in lock(&self.logs).iter() {
            lines.extend(lock(log).iter().filter(|line| line.contains(text)).cloned());
        }
        lines.sort();
        lines
    }

    /// Returns a daemon for a new connection.
    fn pick(&self, random: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let ready = lock(&self.ready);
        let index = random.random_range(0..ready.len().max(1));
        ready.values().nth(index).copied()
    }
}

/// One caller, which keeps its connection for as long as it can.
struct Caller {
    shared: Arc<Shared>,
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
            let pause = self.random.random_range(20..400);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Sends one request on the open connection, or on a new one.
    async fn call(&mut self, method: &str, path: &str, body: &Value) -> Option<(u16, Vec<u8>)> {
        if self.connection.is_none() {
            let address = self.shared.pick(&mut self.random)?;
            self.connection = OpenConnection::open(address).await.ok();
        }
        let mut connection = self.connection.take()?;
        match connection.exchange(method, path, body, DEADLINE).await {
            Exchange::Answered(answer) => {
                self.shared.count(format!("{method} {}", answer.status));
                if !answer.closes {
                    self.connection = Some(connection);
                }
                Some((answer.status, answer.body))
            }
            Exchange::Cut(after) if after > LOSS_SLACK => {
                let address = connection.address();
                let at = self.started.elapsed();
                self.shared.report(format!(
                    "{at:?}: {method} {path} at {address}: no answer, closed {after:?} after its last byte"
                ));
                None
            }
            Exchange::Cut(after) => {
                lock(&self.shared.cut_soon).push(after);
                None
            }
            Exchange::NotSent => None,
            Exchange::GivenUp => {
                self.shared.count(format!("{method} given up"));
                None
            }
        }
    }

    async fn submit(&mut self) {
        self.next_job += 1;
        let id = format!("{:08x}{:08x}", self.number + 1, self.next_job);
        let queue = self.random.random_range(0..3);
        let ms = self.random.random_range(500..4_000);
        let tasks = self.random.random_range(1..8);
        let body = json!({"spec": format!("ms={ms}"), "steps": [
            {"count": tasks, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": ms}]});
        let path = format!("/q{queue}/{id}");
        for _ in 0..4 {
            let answer = self.call("POST", &path, &body).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                let accepted = Accepted {
                    at: Instant::now(),
                    tasks,
                    idle_since: None,
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
        let asked_at = Instant::now();
        let Some((status, body)) = self.call("GET", &path, &Value::Null).await else {
            return;
        };
        check_state(&self.shared, &path, asked_at, status, &body);
    }
}

/// Checks what a daemon says of an accepted job.
fn check_state(shared: &Shared, path: &str, asked_at: Instant, status: u16, body: &[u8]) {
    let accepted = lock(&shared.accepted).get(path).copied();
    let is_visible = accepted.is_some_and(|job| asked_at - job.at > VISIBLE_AFTER);
    let state = serde_json::from_slice::<Value>(body).unwrap_or_default();
    let state = state["state"].as_str().unwrap_or_default();
    let is_unknown = matches!(status, 404 | 410) && is_visible;
    if is_unknown || matches!(state, "failed" | "cancelled") {
        shared.report(format!("{path}: {status} {state:?}"));
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
    next_vm: usize,
}

impl Site {
    async fn start(shape: Shape, seed: u64) -> Self {
        let store = StandinStore::start().await.expect("a store");
        store.put("op/config", &configuration(1));
        let workers = StandinWorkers::start_with_new_ids(&store, "desk", shape.workers).await;
        let store = Arc::new(store);
        let starting = (0..shape.daemons).map(|number| start_daemon(&store, number));
        let daemons: Vec<Daemon> = join_all(starting).await;
        let shared = Arc::<Shared>::default();
        for daemon in &daemons {
            shared.add_log(daemon);
        }
        let daemons = daemons.into_iter();
        Self {
            store: Arc::clone(&store),
            workers: Arc::new(workers.expect("workers")),
            daemons: daemons
                .map(|daemon| Arc::new(tokio::sync::Mutex::new(daemon)))
                .collect(),
            shared,
            random: Pcg64Mcg::seed_from_u64(seed),
            version: 1,
            next_vm: shape.daemons,
        }
    }

    /// Starts a planned stop of a daemon, which is then started again at another address.
    fn stop_and_start(&mut self, index: usize, in_flight: &mut JoinSet<()>) {
        let daemon = Arc::clone(&self.daemons[index]);
        let store = Arc::clone(&self.store);
        let shared = Arc::clone(&self.shared);
        let number = self.next_vm;
        self.next_vm += 1;
        let away = Duration::from_millis(self.random.random_range(100..1_500));
        let hangs_up = self.random.random_range(0..4) == 0;
        in_flight.spawn(async move {
            let Ok(mut daemon) = daemon.try_lock_owned() else {
                return;
            };
            if hangs_up {
                daemon.signal(Signal::SIGHUP);
            }
            daemon.signal(Signal::SIGTERM);
            let stopped = tokio::time::timeout(GRACE, daemon.wait()).await;
            if stopped != Ok(Some(0)) {
                let last = daemon.log_lines("stop").join("\n");
                shared.report(format!("planned stop ended with {stopped:?}: {last}"));
                daemon.kill().await;
            }
            lock(&shared.ready).remove(&index);
            tokio::time::sleep(away).await;
            *daemon = start_daemon(&store, number).await;
            shared.add_log(&daemon);
        });
    }

    /// Draws planned work for a while; some of it comes in series that overlap.
    async fn operate(&mut self, until: Instant) {
        let mut in_flight = JoinSet::new();
        while Instant::now() < until {
            let pause = self.random.random_range(100..1_200);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            let index = self.random.random_range(0..self.daemons.len());
            match self.random.random_range(0..8) {
                0..4 => {
                    let series = self.random.random_range(1..=self.daemons.len() / 4);
                    for offset in 0..series {
                        let index = (index + offset) % self.daemons.len();
                        self.stop_and_start(index, &mut in_flight);
                        let gap = self.random.random_range(0..700);
                        tokio::time::sleep(Duration::from_millis(gap)).await;
                    }
                }
                4 => {
                    if let Ok(daemon) = self.daemons[index].try_lock() {
                        daemon.signal(Signal::SIGHUP);
                    }
                }
                _ => {
                    self.version += 1;
                    let next = if self.version.is_multiple_of(2) {
                        configuration_with_q9(self.version)
                    } else {
                        configuration(self.version)
                    };
                    self.store.put("op/config", &next);
                }
            }
        }
        while in_flight.join_next().await.is_some() {}
    }

    /// Asks for every accepted job after the traffic.
    async fn check_ends(&self) {
        let until = Instant::now() + FINISH;
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
                check_state(&self.shared, &path, asked_at, answer.status, &answer.body);
                let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                if body["state"] != "completed" {
                    left.insert(path);
                }
            }
            open = left;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        for path in open {
            let lines = self.workers.history_of(&path[4..]).join("\n");
            self.shared.report(format!("{path} has not ended\n{lines}"));
        }
    }
}

/// Notes which open jobs have had nothing running for too long although there is room.
async fn watch_idle_jobs(workers: Arc<StandinWorkers>, shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        check_idle_jobs(&workers, &shared);
    }
}

fn check_idle_jobs(workers: &StandinWorkers, shared: &Shared) {
    let records = workers.records();
    let job_of = |record: &RunRecord| record.task.split('.').next().unwrap_or_default().to_owned();
    let running = || records.iter().filter(|record| record.how.is_none());
    let has_room = running().count() < workers.count() * ACCELERATORS / 2;
    let running: BTreeSet<String> = running().map(job_of).collect();
    let mut done: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
    for record in records.iter().filter(|r| r.how == Some("done")) {
        done.entry(job_of(record)).or_default().insert(&record.task);
    }
    let now = Instant::now();
    for (path, job) in lock(&shared.accepted).iter_mut() {
        let id = &path[4..];
        let is_done = done.get(id).is_some_and(|tasks| tasks.len() >= job.tasks);
        if is_done || running.contains(id) || !has_room {
            job.idle_since = None;
            continue;
        }
        let since = *job.idle_since.get_or_insert(now);
        if now - since > MAX_IDLE {
            shared.report(format!("{path}: nothing runs for {:?}", now - since));
            job.idle_since = None;
        }
    }
}

async fn start_daemon(store: &StandinStore, number: usize) -> Daemon {
    let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
    let name = format!("vm-{number}");
    let flags = ["--drain-delay-ms", "2500", "--config-apply-ms", "3000"];
    Daemon::start_in(zone, &name, store, &flags).await
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
            let Some((health, address)) = known[index] else {
                continue;
            };
            let is_ready = is_ready(health).await;
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

async fn play(shape: Shape, seed: u64, length: Duration) {
    let mut site = Site::start(shape, seed).await;
    let started = Instant::now();
    let until = started + length;
    let balancer = tokio::spawn(balance(Arc::clone(&site.shared), site.daemons.clone()));
    while lock(&site.shared.ready).len() < shape.daemons {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut callers = JoinSet::new();
    for number in 0..shape.callers {
        let caller = Caller {
            shared: Arc::clone(&site.shared),
            random: Pcg64Mcg::seed_from_u64(seed << 16 | number as u64),
            shape,
            number,
            next_job: 0,
            own_jobs: Vec::new(),
            connection: None,
            started,
        };
        callers.spawn(caller.run(until));
    }
    let shared = Arc::clone(&site.shared);
    let watcher = tokio::spawn(watch_idle_jobs(
        Arc::clone(&site.workers),
        Arc::clone(&shared),
    ));
    site.operate(until).await;
    while callers.join_next().await.is_some() {}
    site.check_ends().await;
    watcher.abort();
    balancer.abort();
    let mut violations = lock(&shared.violations).clone();
    violations.extend(site.workers.violations().iter().map(ToString::to_string));
    println!(
        "seed {seed}: {} jobs accepted, answers {:?}, cut within the slack {:?}",
        lock(&shared.accepted).len(),
        lock(&shared.answers),
        lock(&shared.cut_soon),
    );
    if !violations.is_empty() {
        keep_logs(&shared, seed);
    }
    let shown = violations.iter().take(VIOLATIONS_SHOWN);
    let shown: Vec<&String> = shown.collect();
    let count = violations.len();
    assert!(
        violations.is_empty(),
        "seed {seed}: {count} violations: {shown:#?}"
    );
}

/// Writes what all daemons logged to a file and prints its path.
fn keep_logs(shared: &Shared, seed: u64) {
    let path = format!("{}/planned-work-{seed}.log", env!("CARGO_TARGET_TMPDIR"));
    let lines = shared.lines_with("");
    std::fs::write(&path, lines.join("\n")).expect("a file for the logs");
    println!("logs of all daemons: {path}");
}

fn seeds() -> Vec<u64> {
    let given = std::env::var("STAIRSTALL_PLANNED_SEEDS").unwrap_or_default();
    let named: Vec<u64> = given
        .split(',')
        .filter_map(|s| s.trim().parse().ok())
        .collect();
    if named.is_empty() {
        return DEFAULT_SEEDS.to_vec();
    }
    named
}

fn shape() -> Shape {
    match std::env::var("STAIRSTALL_PLANNED_SHAPE").as_deref() {
        Ok("grown") => GROWN,
        _ => SMALL,
    }
}

fn length() -> Duration {
    let seconds = std::env::var("STAIRSTALL_PLANNED_SECONDS").ok();
    let seconds = seconds.and_then(|s| s.parse().ok());
    Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS))
}

/// No request that was sent on an open connection is lost, and no accepted job, whatever daemons stop.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_lost_while_daemons_stop_and_start_in_series() {
    for seed in seeds() {
        println!("planned work, seed {seed}");
        play(shape(), seed, length()).await;
    }
}
