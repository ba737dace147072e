//! Tenures whose tasks end: a daemon in this process, on the platform's stand-in, whose calls to the
//! store and to workers panic when a test says so.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use hyper::Method;
use serde_json::{Value, json};
use stairstall_core::batch::{Order, ReportRequest, StartOutcome, StopOutcome, WorkerReport};
use stairstall_http::{HttpClient, JsonRequest};
use stairstall_platform::{PlatformDialect, PlatformStore, PlatformWorkers};
use stairstall_platform_standin::{StandinStore, StandinWorkers};
use stairstall_ports::{
    Commit, CommitOutcome, Dialect, Item, LeaseId, Page, Revision, SharedStore, StoreFault,
    WatchBatch, WorkerAddress, WorkerCalls, WorkerFault,
};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::super::node::Node;
use super::super::settings::BatchSettings;
use super::super::{caller_api, serve};

/// How long anything may take that must come true.
const PATIENCE: Duration = Duration::from_secs(30);
const ROLE_LEASE: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A call of the daemon that can be made to panic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    WriteProgress,
    RenewLease,
    GrantLease,
    /// A watch of keys that start with this.
    Watch(&'static str),
    Poll,
    Start,
}

/// Which call panics, and how often still.
#[derive(Debug)]
struct Trap {
    call: Call,
    left: AtomicU32,
    sprung: AtomicU32,
    /// How often the call was made without a panic.
    passed: AtomicU32,
}

impl Trap {
    fn new(call: Call) -> Arc<Self> {
        Arc::new(Self {
            call,
            left: AtomicU32::new(0),
            sprung: AtomicU32::new(0),
            passed: AtomicU32::new(0),
        })
    }

    fn arm(&self, times: u32) {
        self.left.store(times, Ordering::SeqCst);
    }

    fn sprung(&self) -> u32 {
        self.sprung.load(Ordering::SeqCst)
    }

    fn passed(&self) -> u32 {
        self.passed.load(Ordering::SeqCst)
    }

    /// Panics if this call is to.
    fn pass(&self, is_call: impl FnOnce(Call) -> bool) {
        if !is_call(self.call) {
            return;
        }
        let take = |left: u32| left.checked_sub(1);
        if self
            .left
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok()
        {
            self.sprung.fetch_add(1, Ordering::SeqCst);
            panic!("a trap for {:?}", self.call);
        }
        self.passed.fetch_add(1, Ordering::SeqCst);
    }
}

/// Holds back listings of jobs while it is closed.
#[derive(Debug, Default)]
struct Gate {
    closed: watch::Sender<bool>,
    waiting: AtomicU32,
}

impl Gate {
    fn close(&self) {
        self.closed.send_replace(true);
    }

    fn open(&self) {
        self.closed.send_replace(false);
    }

    fn is_waited_for(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0
    }

    async fn pass(&self) {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let mut closed = self.closed.subscribe();
        // The sender is in this gate, so it outlasts the wait.
        let _ = closed.wait_for(|closed| !closed).await;
        self.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The platform's store with a trap and a gate.
#[derive(Debug)]
struct TrappedStore {
    store: PlatformStore,
    trap: Arc<Trap>,
    gate: Arc<Gate>,
}

impl SharedStore for TrappedStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Item>, StoreFault>> {
        self.store.get(key)
    }

    fn ping<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(), StoreFault>> {
        self.store.ping(key)
    }

    fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Page, StoreFault>> {
        Box::pin(async move {
            if prefix == crate::keys::JOBS {
                self.gate.pass().await;
            }
            self.store.range(prefix, after, timeout).await
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreFault>> {
        self.trap
            .pass(|call| matches!(call, Call::Watch(watched) if prefix.starts_with(watched)));
        self.store.watch(prefix, after, wait)
    }

    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitOutcome, StoreFault>> {
        let is_progress = |put: &stairstall_ports::Put| put.key.starts_with(crate::keys::PROGRESS);
        let writes_progress = commit.puts.iter().any(is_progress);
        self.trap
            .pass(|call| call == Call::WriteProgress && writes_progress);
        self.store.commit(commit)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<(LeaseId, Duration), StoreFault>> {
        self.trap.pass(|call| call == Call::GrantLease);
        self.store.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<Duration, StoreFault>> {
        self.trap.pass(|call| call == Call::RenewLease);
        self.store.renew_lease(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreFault>> {
        self.store.revoke_lease(lease)
    }
}

/// Calls to workers with a trap.
#[derive(Debug)]
struct TrappedWorkers {
    workers: PlatformWorkers,
    trap: Arc<Trap>,
}

impl WorkerCalls for TrappedWorkers {
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        request: ReportRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<WorkerReport, WorkerFault>> {
        self.trap.pass(|call| call == Call::Poll);
        self.workers.poll(worker, request, timeout)
    }

    fn start<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        order: &'a Order,
        timeout: Duration,
    ) -> BoxFuture<'a, StartOutcome> {
        self.trap.pass(|call| call == Call::Start);
        self.workers.start(worker, order, timeout)
    }

    fn stop<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        order: &'a Order,
        timeout: Duration,
    ) -> BoxFuture<'a, StopOutcome> {
        self.workers.stop(worker, order, timeout)
    }
}

/// A daemon that plans alone, with workers.
struct Planning {
    node: Arc<Node>,
    trap: Arc<Trap>,
    gate: Arc<Gate>,
    workers: StandinWorkers,
    address: String,
    http: HttpClient,
    store: StandinStore,
}

impl Planning {
    async fn start(call: Call) -> Self {
        Self::start_with(call, &configuration(1)).await
    }

    async fn start_with(call: Call, configuration: &Value) -> Self {
        let store = StandinStore::start().await.expect("a store");
        store.put(PlatformDialect.configuration_key(), configuration);
        let workers = StandinWorkers::start(&store, "desk", 4)
            .await
            .expect("workers");
        let trap = Trap::new(call);
        let gate = Arc::new(Gate::default());
        let node = Arc::new(build_node(&store, &trap, &gate));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address").to_string();
        let server = viz::Server::new(listener, caller_api::router(&node));
        tokio::spawn(server.into_future());
        serve::start_background(&node);
        let planning = Self {
            node,
            trap,
            gate,
            workers,
            address,
            http: HttpClient::new(Duration::from_millis(500), 4),
            store,
        };
        planning.wait_for_tenure_after(0).await;
        planning
    }

    fn token(&self) -> u64 {
        self.node.tenure().map_or(0, |tenure| tenure.token())
    }

    /// Waits until this daemon plans under a higher token.
    async fn wait_for_tenure_after(&self, token: u64) {
        wait_until("the next tenure", || self.token() > token).await;
    }

    async fn call(&self, method: Method, id: &str, body: &Value) -> Option<Value> {
        let path = format!("/q0/{id}");
        let call = JsonRequest {
            method,
            address: &self.address,
            path: &path,
            headers: &[
                ("Host", "jobs.example"),
                ("Authorization", "Bearer key-mesa"),
            ],
            body: if body.is_null() {
                Vec::new()
            } else {
                body.to_string().into_bytes()
            },
        };
        let answer = self.http.exchange(call, CALL_TIMEOUT).await.ok()?;
        answer.read::<Value>().ok()
    }

    /// Hands in a job and waits until it is done.
    async fn finish_job(&self, id: &str) {
        let job = json!({"spec": "ms=100", "steps": [
            {"count": 2, "cpu": 1000, "memMb": 500, "gpu": 1, "estimateMs": 200}]});
        let until = Instant::now() + PATIENCE;
        self.call(Method::POST, id, &job).await;
        let mut seen = Value::Null;
        while seen["state"] != "completed" {
            assert!(Instant::now() < until, "{id} is not done: {seen}");
            tokio::time::sleep(Duration::from_millis(20)).await;
            let answer = self.call(Method::GET, id, &Value::Null).await;
            seen = answer.unwrap_or_default();
        }
    }
}

async fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is_true() {
        assert!(Instant::now() < until, "{what} did not come");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A configuration of one queue, as operators write it.
fn configuration(version: u64) -> Value {
    let text = include_str!("../../../tests/data/one-queue.json");
    let mut configuration: Value = serde_json::from_str(text).expect("it is JSON");
    configuration["version"] = json!(version);
    configuration
}

fn build_node(store: &StandinStore, trap: &Arc<Trap>, gate: &Arc<Gate>) -> Node {
    let local = "127.0.0.1:0";
    let address = store.address().to_string();
    let lease_ms = ROLE_LEASE.as_millis().to_string();
    let settings = BatchSettings::from_arguments(&[
        "--vm",
        "vm-0",
        "--zone",
        "zone-a",
        "--listen",
        local,
        "--health-listen",
        local,
        "--rpc-listen",
        local,
        "--metrics-listen",
        local,
        "--store",
        &address,
        "--hold-max-ms",
        "3000",
        "--stop-max-ms",
        "100",
        "--role-lease-ms",
        &lease_ms,
    ]);
    let settings = settings.expect("valid settings");
    let http = HttpClient::new(Duration::from_millis(300), 4);
    let store = TrappedStore {
        store: PlatformStore::new(http.clone(), address, settings.store_timeout),
        trap: Arc::clone(trap),
        gate: Arc::clone(gate),
    };
    let workers = TrappedWorkers {
        workers: PlatformWorkers::new(http),
        trap: Arc::clone(trap),
    };
    Node::new(
        settings,
        Arc::new(store),
        Arc::new(workers),
        Arc::new(PlatformDialect),
        None,
    )
}

/// A task of the tenure ends by a panic in a call: the tenure ends, and the next one plans on.
async fn next_tenure_follows(call: Call) {
    let planning = Planning::start(call).await;
    planning.finish_job("0000000000000001").await;
    let token = planning.token();
    planning.trap.arm(1);
    planning.finish_job("0000000000000002").await;
    wait_until("the panic", || planning.trap.sprung() == 1).await;
    planning.wait_for_tenure_after(token).await;
    planning.finish_job("0000000000000003").await;
    assert!(planning.workers.violations().is_empty());
}

#[tokio::test]
async fn the_writer_ends() {
    next_tenure_follows(Call::WriteProgress).await;
}

#[tokio::test]
async fn the_renewal_of_the_role_ends() {
    next_tenure_follows(Call::RenewLease).await;
}

#[tokio::test]
async fn the_directorys_follower_ends() {
    next_tenure_follows(Call::Watch(PlatformDialect.directory_prefix())).await;
}

#[tokio::test]
async fn the_jobs_follower_ends() {
    next_tenure_follows(Call::Watch(crate::keys::JOBS)).await;
}

#[tokio::test]
async fn the_operators_keys_follower_ends() {
    next_tenure_follows(Call::Watch(PlatformDialect.operator_prefix())).await;
}

#[tokio::test]
async fn a_planner_that_a_panic_left_half_changed_is_not_used_again() {
    let planning = Planning::start(Call::WriteProgress).await;
    let tenure = planning.node.tenure().expect("it plans");
    let token = tenure.token();
    let used = Arc::clone(&tenure);
    let changing = tokio::spawn(async move {
        used.with_planner(|_, _| panic!("half changed"));
    });
    assert!(changing.await.is_err());
    assert!(!tenure.is_active(), "it may give orders");
    assert_eq!(tenure.unstored_tasks(), None, "nothing of it is kept");
    planning.wait_for_tenure_after(token).await;
    planning.finish_job("0000000000000001").await;
}

/// A call to a worker that panics is a call without an answer: the tenure goes on.
async fn worker_counts_as_not_answering(call: Call, times: u32) {
    let planning = Planning::start(call).await;
    planning.finish_job("0000000000000001").await;
    let token = planning.token();
    planning.trap.arm(times);
    planning.finish_job("0000000000000002").await;
    wait_until("the panics", || planning.trap.sprung() == times).await;
    planning.finish_job("0000000000000003").await;
    assert_eq!(planning.token(), token);
}

#[tokio::test]
async fn a_poll_of_a_worker_panics() {
    worker_counts_as_not_answering(Call::Poll, 3).await;
}

#[tokio::test]
async fn a_start_at_a_worker_panics() {
    // A start without an answer keeps its task waiting for up to 13 s.
    worker_counts_as_not_answering(Call::Start, 1).await;
}

#[tokio::test]
async fn a_task_that_always_ends_does_not_hand_the_role_round_at_full_speed() {
    let planning = Planning::start(Call::RenewLease).await;
    planning.trap.arm(u32::MAX);
    let armed_at = Instant::now();
    tokio::time::sleep(ROLE_LEASE * 5).await;
    let tenures = u128::from(planning.trap.sprung());
    // One may end as the watch begins.
    let most = armed_at.elapsed().as_millis() / ROLE_LEASE.as_millis() + 1;
    assert!(
        (2..=most).contains(&tenures),
        "{tenures} tenures, {most} at the most"
    );
}

#[tokio::test]
async fn the_role_loop_ends() {
    let planning = Planning::start(Call::GrantLease).await;
    let tenure = planning.node.tenure().expect("it plans");
    planning.trap.arm(1);
    tenure.end("the test says so");
    wait_until("the panic", || planning.trap.sprung() == 1).await;
    planning.wait_for_tenure_after(tenure.token()).await;
}

#[tokio::test]
async fn the_configurations_follower_ends() {
    let planning = Planning::start(Call::Watch(PlatformDialect.configuration_key())).await;
    planning.trap.arm(1);
    planning
        .store
        .put(PlatformDialect.configuration_key(), &configuration(2));
    wait_until("the panic", || planning.trap.sprung() == 1).await;
    let passed = planning.trap.passed();
    wait_until("the next watch", || planning.trap.passed() > passed).await;
}

/// The planner takes the configuration as its tenure begins, and later ones only once that has loaded the jobs.
#[tokio::test]
async fn a_configuration_that_comes_into_force_while_a_tenure_loads_reaches_its_planner() {
    let mut without_workers = configuration(1);
    without_workers["routes"][0]["service"] = json!("elsewhere");
    let planning = Planning::start_with(Call::RenewLease, &without_workers).await;
    let tenure = planning.node.tenure().expect("it plans");
    planning.gate.close();
    tenure.end("the test says so");
    wait_until("the load", || planning.gate.is_waited_for()).await;
    let key = PlatformDialect.configuration_key();
    planning.store.put(key, &configuration(2));
    let is_in_force = || planning.node.catalog_version() == 2;
    wait_until("the configuration", is_in_force).await;
    planning.gate.open();
    planning.wait_for_tenure_after(tenure.token()).await;
    planning.finish_job("0000000000000001").await;
}
