//! Daemons as processes, the platform's stand-in, and callers.
#![allow(dead_code, reason = "each test program uses a part of it")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};
use stairstall_http::{HttpClient, JsonRequest, JsonResponse};
use stairstall_platform_standin::{StandinStore, StandinWorkers};
use stairstall_standin::{Link, Silence};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// How long anything may take that must come true.
pub const PATIENCE: Duration = Duration::from_secs(20);
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The daemon's program of this version.
const PROGRAM: &str = env!("CARGO_BIN_EXE_stairstalld");
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Flags of a daemon that a test does not set otherwise.
const DEFAULT_FLAGS: [(&str, &str); 4] = [
    ("--hold-max-ms", "3000"),
    ("--stop-max-ms", "100"),
    ("--role-lease-ms", "1000"),
    ("--drain-delay-ms", "200"),
];

/// A daemon as a process of its own; dropping it kills the process.
#[derive(Debug)]
pub struct Daemon {
    pub address: SocketAddr,
    pub health: SocketAddr,
    pub metrics: SocketAddr,
    pub store: Link,
    /// The way by which other daemons reach it, if that is a link.
    pub peers: Option<Link>,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    /// Reads its log and ends with that; none once that has been waited for.
    log_reader: Option<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon and waits until it serves.
    pub async fn start(name: &str, store: &StandinStore) -> Self {
        Self::start_with(name, store, &[]).await
    }

    /// Starts a daemon with further flags and waits until it serves.
    pub async fn start_with(name: &str, store: &StandinStore, flags: &[&str]) -> Self {
        Self::start_in("zone-a", name, store, flags).await
    }

    /// Starts a daemon of another zone with further flags and waits until it serves.
    pub async fn start_in(zone: &str, name: &str, store: &StandinStore, flags: &[&str]) -> Self {
        let link = Link::start(store.address()).await.expect("a link");
        Self::start_behind(link, zone, name, flags).await
    }

    /// Starts a daemon that reaches the store by a link, and waits until it serves.
    pub async fn start_behind(link: Link, zone: &str, name: &str, flags: &[&str]) -> Self {
        Self::launch(PROGRAM, link, None, zone, name, flags).await
    }

    /// Starts a daemon that other daemons reach by a link, and waits until it serves.
    pub async fn start_behind_peer_link(name: &str, store: &StandinStore) -> Self {
        let link = Link::start(store.address()).await.expect("a link");
        let peers = Link::start_without_target().await.expect("a link");
        let advertised = peers.address().to_string();
        let flags = ["--rpc-advertise", &advertised];
        Self::launch(PROGRAM, link, Some(peers), "zone-a", name, &flags).await
    }

    /// Starts a daemon of another program and waits until it serves.
    pub async fn start_program(program: &str, name: &str, store: &StandinStore) -> Self {
        let link = Link::start(store.address()).await.expect("a link");
        Self::launch(program, link, None, "zone-a", name, &[]).await
    }

    /// Starts a daemon of another program and zone with further flags and waits until it serves.
    pub async fn start_program_in(
        program: &str,
        zone: &str,
        name: &str,
        store: &StandinStore,
        flags: &[&str],
    ) -> Self {
        let link = Link::start(store.address()).await.expect("a link");
        Self::launch(program, link, None, zone, name, flags).await
    }

    async fn launch(
        program: &str,
        link: Link,
        peers: Option<Link>,
        zone: &str,
        name: &str,
        flags: &[&str],
    ) -> Self {
        let local = &local_address();
        let mut child = Command::new(program)
            .arg("batch")
            .args(["--vm", name, "--zone", zone, "--listen", local])
            .args(["--health-listen", local, "--rpc-listen", local])
            .args(["--metrics-listen", local])
            .args(["--store", &link.address().to_string()])
            .args(
                DEFAULT_FLAGS
                    .iter()
                    .filter(|(name, _)| !flags.contains(name))
                    .flat_map(|(name, value)| [name, value]),
            )
            .args(flags)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the daemon's program");
        let stdout = child.stdout.take().expect("standard output");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (sender, serving) = oneshot::channel();
        let log = read_log(BufReader::new(stdout), Arc::clone(&lines), sender);
        let log_reader = Some(tokio::spawn(log));
        let line = tokio::time::timeout(START_TIMEOUT, serving).await;
        let line = line.expect("started in time").expect("a line");
        let address = |field: &str| {
            let rest = line.split_once(&format!(" {field}=")).expect("a field").1;
            let word = rest.split_whitespace().next().expect("a word");
            word.parse().expect("an address")
        };
        if let Some(peers) = &peers {
            peers.set_target(address("rpc"));
        }
        Self {
            address: address("listen"),
            health: address("health"),
            metrics: address("metrics"),
            store: link,
            peers,
            child,
            lines,
            log_reader,
        }
    }

    /// Returns the log lines so far that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let found = lines.iter().filter(|line| line.contains(text));
        found.cloned().collect()
    }

    /// Returns its log, which outlasts it.
    pub fn log(&self) -> Arc<Mutex<Vec<String>>> {
        Arc::clone(&self.lines)
    }

    /// Waits until a log line contains a text.
    pub async fn wait_for_line(&self, text: &str) {
        let until = Instant::now() + PATIENCE;
        while self.log_lines(text).is_empty() {
            assert!(Instant::now() < until, "no line says: {text}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns its process's ID, unless that has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        if let Some(id) = id {
            kill(Pid::from_raw(id), signal).expect("it is our own process");
        }
    }

    /// Kills the process, unless it has ended.
    pub async fn kill(&mut self) {
        if !self.has_ended() {
            self.child.kill().await.expect("it is our own process");
        }
        self.finish_log().await;
    }

    /// Reads what a process that has ended logged last.
    async fn finish_log(&mut self) {
        let Some(log_reader) = self.log_reader.as_mut() else {
            return;
        };
        let ended = tokio::time::timeout(PATIENCE, log_reader).await;
        ended.expect("its log ends with it").expect("it is read");
        self.log_reader = None;
    }

    /// Asks it to stop and waits for its exit code.
    pub async fn stop(&mut self) -> Option<i32> {
        self.signal(Signal::SIGTERM);
        let ended = tokio::time::timeout(PATIENCE, self.child.wait()).await;
        let status = ended.expect("it stops in time").ok()?;
        self.finish_log().await;
        status.code()
    }

    /// Waits until the process has ended; returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let status = self.child.wait().await.ok()?;
        self.finish_log().await;
        status.code()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

/// Returns the address on which daemons of this process listen, with any port: a loopback address of
/// its own, so that a port that a daemon has left is never taken over by a daemon of another test
/// program, to which callers and peers that still know the old address would then speak.
fn local_address() -> String {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    format!("127.{}.{middle}.{low}:0", 64 | high)
}

async fn read_log(
    stdout: BufReader<tokio::process::ChildStdout>,
    lines: Arc<Mutex<Vec<String>>>,
    serving: oneshot::Sender<String>,
) {
    let mut serving = Some(serving);
    let mut reader = stdout.lines();
    while let Ok(Some(line)) = reader.next_line().await {
        if line.ends_with(" serving")
            && let Some(sender) = serving.take()
        {
            let _ = sender.send(line.clone());
        }
        lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }
}

/// The platform's stand-in with daemons on it.
#[derive(Debug)]
pub struct Cluster {
    pub store: StandinStore,
    pub workers: StandinWorkers,
    pub daemons: Vec<Daemon>,
    pub http: HttpClient,
    next_job: u64,
}

/// A configuration with three queues, in order of priority.
pub fn configuration(version: u64) -> Value {
    let routes: Vec<Value> = (0..3)
        .map(|priority| {
            json!({"name": format!("q{priority}"), "host": "jobs.example",
                "pathPrefix": format!("/q{priority}/"), "timeoutMs": 3000,
                "targetLatencyMs": 500, "priority": priority, "service": "desk",
                "attempts": 3, "stretch": 2.0})
        })
        .collect();
    json!({"version": version, "routes": routes, "services": [], "limits": {"maxBodyBytes": 20_000},
        "tenants": [
            {"name": "mesa", "apiKeys": ["key-mesa"], "guaranteed": {"gpu": 8}},
            {"name": "fonts", "apiKeys": ["key-fonts"], "guaranteed": {"gpu": 8}}]})
}

/// The same configuration with one queue more, `q9`.
pub fn configuration_with_q9(version: u64) -> Value {
    let mut newest = configuration(version);
    let mut route = newest["routes"][2].clone();
    route["name"] = json!("q9");
    route["pathPrefix"] = json!("/q9/");
    newest["routes"].as_array_mut().expect("routes").push(route);
    newest
}

impl Cluster {
    pub async fn start(daemons: usize, workers: usize) -> Self {
        let store = StandinStore::start().await.expect("a store");
        store.put("op/config", &configuration(1));
        let workers = StandinWorkers::start(&store, "desk", workers)
            .await
            .expect("workers");
        let mut cluster = Self {
            store,
            workers,
            daemons: Vec::new(),
            http: HttpClient::new(Duration::from_millis(500), 4),
            next_job: 0,
        };
        for number in 0..daemons {
            let daemon = Daemon::start(&format!("vm-{number}"), &cluster.store).await;
            cluster.daemons.push(daemon);
        }
        if daemons > 0 {
            cluster.wait_until_planned().await;
        }
        cluster
    }

    /// Starts a cluster whose daemons reach each other by links.
    pub async fn start_linked(daemons: usize, workers: usize) -> Self {
        let mut cluster = Self::start(0, workers).await;
        for number in 0..daemons {
            let name = format!("vm-{number}");
            let daemon = Daemon::start_behind_peer_link(&name, &cluster.store).await;
            cluster.daemons.push(daemon);
        }
        cluster.wait_until_planned().await;
        cluster
    }

    /// Waits until a daemon plans and every other one knows of it.
    pub async fn wait_until_planned(&self) {
        let ready = Instant::now() + PATIENCE;
        while !self.knows_planner() {
            assert!(Instant::now() < ready, "no daemon took the planner's role");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn knows_planner(&self) -> bool {
        let loaded = |daemon: &Daemon| !daemon.log_lines("jobs and workers loaded").is_empty();
        let configured = |daemon: &Daemon| !daemon.log_lines("in force").is_empty();
        let informed = |daemon: &Daemon| !daemon.log_lines("new planner recorded").is_empty();
        self.daemons.iter().any(loaded)
            && self.daemons.iter().all(configured)
            && self.daemons.iter().all(informed)
    }

    /// Returns which daemon plans, by its last words about the role.
    pub fn planner(&self) -> usize {
        self.find_planner().expect("a planner")
    }

    fn find_planner(&self) -> Option<usize> {
        let holds = |daemon: &Daemon| {
            let taken = daemon.log_lines("acquired the planner role").len();
            taken > daemon.log_lines("released the planner role").len()
        };
        self.daemons.iter().position(holds)
    }

    /// Waits until a daemon plans and returns which; on a loaded machine the role may change hands.
    pub async fn wait_for_planner(&self) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(planner) = self.find_planner() {
                return planner;
            }
            assert!(Instant::now() < until, "no daemon plans");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn new_id(&mut self) -> String {
        self.next_job += 1;
        format!("{:016x}", self.next_job)
    }

    pub async fn call(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<JsonResponse> {
        self.call_as("key-mesa", daemon, method, path, body).await
    }

    pub async fn call_as(
        &self,
        key: &str,
        daemon: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<JsonResponse> {
        let address = self.daemons[daemon].address.to_string();
        let key = format!("Bearer {key}");
        let call = JsonRequest {
            method,
            address: &address,
            path,
            headers: &[("Host", "jobs.example"), ("Authorization", &key)],
            body: if body.is_null() {
                Vec::new()
            } else {
                body.to_string().into_bytes()
            },
        };
        self.http.exchange(call, CALL_TIMEOUT).await.ok()
    }

    /// Asks a daemon as the balancer does whether callers should come to it.
    pub async fn health(&self, daemon: &Daemon) -> Option<StatusCode> {
        let address = daemon.health.to_string();
        let call = JsonRequest {
            method: Method::GET,
            address: &address,
            path: "/v1/readyz",
            headers: &[],
            body: Vec::new(),
        };
        let answer = self.http.exchange(call, CALL_TIMEOUT).await;
        answer.ok().map(|answer| answer.status)
    }

    /// Returns a daemon's metrics whose lines begin with a name.
    pub async fn metric(&self, daemon: usize, name: &str) -> Vec<String> {
        let address = self.daemons[daemon].metrics.to_string();
        let call = JsonRequest {
            method: Method::GET,
            address: &address,
            path: "/metrics",
            headers: &[],
            body: Vec::new(),
        };
        let answer = self.http.exchange(call, CALL_TIMEOUT).await;
        let answer = answer.expect("metrics");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(name));
        lines.map(str::to_owned).collect()
    }

    /// Hands a job in until it is taken or refused for good; returns the last status.
    pub async fn submit(&self, daemon: usize, path: &str, body: &Value) -> Option<StatusCode> {
        let answer = self.call(daemon, Method::POST, path, body).await;
        answer.map(|answer| answer.status)
    }

    /// Waits until a job is in a state, asking the daemons in turn.
    pub async fn wait_for(&self, path: &str, state: &str) {
        let until = Instant::now() + PATIENCE;
        let mut seen = BTreeMap::<String, u32>::new();
        for daemon in (0..self.daemons.len()).cycle() {
            let answer = self.call(daemon, Method::GET, path, &Value::Null).await;
            let found = answer
                .and_then(|answer| answer.read::<Value>().ok())
                .and_then(|body| body["state"].as_str().map(str::to_owned));
            if found.as_deref() == Some(state) {
                return;
            }
            *seen.entry(format!("{found:?}")).or_default() += 1;
            assert!(Instant::now() < until, "{path} is not {state}: {seen:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Makes all connections that are open to the store and to workers silent for good.
    pub fn silence_open(&self, silence: Silence) {
        for daemon in &self.daemons {
            daemon.store.silence_open(silence);
        }
        for index in 0..self.workers.count() {
            self.workers.silence_open(index, silence);
        }
    }

    /// Makes all connections that are open between daemons silent for good.
    pub fn silence_peers(&self, silence: Silence) {
        for peers in self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.peers.as_ref())
        {
            peers.silence_open(silence);
        }
    }

    /// Counts the runs of a job that were begun.
    pub fn runs_of(&self, job: &str) -> usize {
        let records = self.workers.records();
        records.iter().filter(|r| r.task.starts_with(job)).count()
    }

    pub fn assert_no_violations(&self) {
        let violations = self.workers.violations();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// A job of one step.
pub fn job(count: u32, payload: &str) -> Value {
    json!({"spec": payload, "steps": [{"count": count, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": 200}]})
}

/// A job of one gang.
pub fn gang(count: u32, ms: u32) -> Value {
    json!({"spec": format!("ms={ms} gang={count}"), "steps": [
        {"count": count, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": ms, "gang": true}]})
}
