//! What others write, mutated and fed into the planner: it takes or refuses it, and never panics.
//!
//! `STAIRSTALL_TEST_SEED` sets the first seed, `STAIRSTALL_TEST_EFFORT` multiplies the inputs.

// `quickcheck` passes its inputs by value.
#![allow(clippy::needless_pass_by_value)]

mod mutation;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use mutation::{Mutation, check, extreme, mutated};
use quickcheck::{Arbitrary, Gen};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use stairstall_core::batch::{
    AcceptedJob, BatchSpec, Bounds, Catalog, Incarnation, LearnedEstimates, ListedWorker, Now,
    Order, OrderKind, Planner, Progress, RunEnd, RunEndKind, RunningTask, StartOutcome, StepSpec,
    StopOutcome, TaskKey, WorkerReport,
};
use stairstall_core::{JobId, Timestamp, WorkerId};

/// Inputs of each seed.
const INPUTS: u64 = 400;
/// Time of day at the start, in milliseconds since the Unix epoch.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Ticks of the planner for one input.
const TICKS: u64 = 24;
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 60;
/// Largest number of tasks of a job here: what is allowed beyond only takes longer.
const MAX_TASKS: u64 = 300;

fn bounds() -> Bounds {
    Bounds {
        lease_duration: Duration::from_secs(6),
        stop_max: Duration::from_millis(200),
        guaranteed_start_limit: Duration::from_millis(3_400),
        evacuation_limit: Duration::from_secs(5),
        configuration_limit: Duration::from_secs(2),
        far_factor: 3,
        keep_ended: Duration::from_secs(1),
    }
}

fn worker(id: &str) -> Value {
    json!({"id": id, "incarnation": 5, "address": format!("{id}:1"), "service": "desk", "zone": "a",
        "rack": "r1", "labels": ["a", "r1"], "draining": false, "remaining_ms": 500,
        "capacity": {"cpu_millis": 32_000, "memory_mb": 64_000, "accelerators": 8}})
}

fn queue(priority: u8) -> Value {
    json!({"name": format!("q{priority}"), "service": "desk", "priority": priority, "attempts": 2,
        "stretch": 2.0, "target_ms": 500})
}

fn catalog() -> Value {
    let route = |priority| {
        json!({"host": "h", "path_prefix": format!("/{priority}/"), "public": false,
            "timeout_ms": 3000, "queue": queue(priority)})
    };
    json!({"version": 2, "routes": [route(0), route(1)], "max_body_bytes": 1000,
        "customers": [{"name": "mesa", "keys": ["key"], "guaranteed": 8}]})
}

fn job(id: &str, priority: u8) -> Value {
    let step = |count: u32, gang: bool, depends_on: &[u32]| {
        json!({"count": count, "estimate_ms": 200, "gang": gang, "depends_on": depends_on,
            "checkpoints": true, "lasts": false, "fills": false, "may_miss": 1, "spread": 4,
            "same_rack": gang, "near_rack": "r1", "target_ms": 0,
            "needs": {"cpu_millis": 1000, "memory_mb": 500, "accelerators": 1}})
    };
    json!({"id": id, "customer": "mesa", "queue": queue(priority), "accepted_unix_ms": START_UNIX_MS,
        "spec": {"payload": "work",
            "steps": [step(2, false, &[]), step(2, true, &[]), step(1, false, &[0, 1])],
            "schedule": {"first_unix_ms": START_UNIX_MS, "interval_ms": 100, "times": 2}},
        "mark": mark(), "zone": "a"})
}

fn mark() -> Value {
    let mark = stairstall_core::claim::Mark::new("vm-1".parse().expect("an id"), 1, 1);
    serde_json::to_value(mark).expect("a value")
}

fn progress() -> Value {
    let group = json!({"tasks": "-1", "many_failures": {"1": 12}, "gang_failures": 1,
        "counted_failure": 1, "counted_runs": {"1": 2}, "last_run": 3,
        "places": {"0": ["w-0", 3, 5, true], "1": ["w-gone", 2, 4, false]},
        "late_starts": {"1": START_UNIX_MS + 900},
        "losses": {"0": {"crashes": 1, "unanswered": 1,
            "silent": [{"worker": "w-1", "incarnation": 5, "answered": true}]}},
        "checkpoints": {"0": "c"}});
    json!({"ended_unix_ms": 0, "begun": true, "occurrences": [[group, group, {"tasks": "*"}], [group]],
        "story": {"spans_ms": {"run": 5, "start": 7}, "span": "run", "at_unix_ms": START_UNIX_MS,
            "work_ms": 9, "starts": 3, "setbacks": {"gave-way": 2}}})
}

fn learned() -> Value {
    let mut planner = Planner::new(1, bounds());
    let now = Now::new(Timestamp::from_millis(0), START_UNIX_MS);
    let mut learned = json!(planner.learned_estimates(now));
    planner.tick(now);
    learned["paces"] =
        json!([{"worker": "w-0", "factor_percent": 150, "spread_percent": 10, "runs": 9}]);
    learned
}

fn read<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

/// A random change of a value: mostly none, so that more of the world stays as it should be.
#[derive(Debug, Clone)]
struct Odd(Vec<Mutation>);

impl Arbitrary for Odd {
    fn arbitrary(g: &mut Gen) -> Self {
        if u8::arbitrary(g) % 3 > 0 {
            return Self(Vec::new());
        }
        let count = 1 + usize::arbitrary(g) % 3;
        Self((0..count).map(|_| Mutation::arbitrary(g)).collect())
    }
}

/// What a worker answers to one call, beside what it should.
#[derive(Debug, Clone)]
struct OddAnswer {
    clock_ms: Option<u64>,
    incarnation: Option<u64>,
    run: Option<u32>,
    end_number: Option<u64>,
    task: Option<(u32, u32, u32)>,
    kind: u8,
    percent: u8,
    truncated: bool,
}

impl Arbitrary for OddAnswer {
    fn arbitrary(g: &mut Gen) -> Self {
        fn sometimes<T>(g: &mut Gen, value: impl Fn(&mut Gen) -> T) -> Option<T> {
            (u8::arbitrary(g) % 4 == 0).then(|| value(g))
        }
        let number = |g: &mut Gen| u32::try_from(extreme(g)).unwrap_or(u32::MAX);
        Self {
            clock_ms: sometimes(g, extreme),
            incarnation: sometimes(g, extreme),
            run: sometimes(g, number),
            end_number: sometimes(g, extreme),
            task: sometimes(g, |g| (number(g), number(g), number(g))),
            kind: u8::arbitrary(g),
            percent: u8::arbitrary(g),
            truncated: bool::arbitrary(g),
        }
    }
}

/// Everything that one input changes.
#[derive(Debug, Clone)]
struct OddWorld {
    token: bool,
    catalog: Odd,
    workers: Vec<Odd>,
    restored: Odd,
    progress: Odd,
    learned: Odd,
    submitted: Vec<Odd>,
    answers: Vec<OddAnswer>,
}

impl Arbitrary for OddWorld {
    fn arbitrary(g: &mut Gen) -> Self {
        let odd = |g: &mut Gen, count| (0..count).map(|_| Odd::arbitrary(g)).collect();
        Self {
            token: u8::arbitrary(g) % 8 == 0,
            catalog: Odd::arbitrary(g),
            workers: odd(g, 3),
            restored: Odd::arbitrary(g),
            progress: Odd::arbitrary(g),
            learned: Odd::arbitrary(g),
            submitted: odd(g, 3),
            answers: (0..TICKS).map(|_| OddAnswer::arbitrary(g)).collect(),
        }
    }
}

/// Returns a job unless its specification is out of bounds.
fn read_job(value: &Value, odd: &Odd) -> Option<AcceptedJob> {
    let job: AcceptedJob = read(mutated(value, &odd.0))?;
    let tasks: u64 = job.spec.steps.iter().map(|s| u64::from(s.count)).sum();
    let tasks = tasks.saturating_mul(u64::from(job.spec.occurrences()));
    (job.spec.check().is_ok() && tasks <= MAX_TASKS).then_some(job)
}

/// A planner and what its workers run.
struct World {
    planner: Planner,
    at_ms: u64,
    running: BTreeMap<WorkerId, BTreeMap<TaskKey, u32>>,
}

impl World {
    fn new(odd: &OddWorld) -> Self {
        // Above what tenures can count up to, a record is refused where it is read.
        let token = if odd.token { (1 << 44) - 1 } else { 3 };
        let mut world = Self {
            planner: Planner::new(token, bounds()),
            at_ms: 0,
            running: BTreeMap::new(),
        };
        let now = world.now();
        if let Some(catalog) = read::<Catalog>(mutated(&catalog(), &odd.catalog.0)) {
            world.planner.set_catalog(Arc::new(catalog));
        }
        for (index, odd) in odd.workers.iter().enumerate() {
            let value = mutated(&worker(&format!("w-{index}")), &odd.0);
            if let Some(worker) = read::<ListedWorker>(value) {
                world.planner.handle_listed_worker(worker, now);
            }
        }
        if let Some(learned) = read::<LearnedEstimates>(mutated(&learned(), &odd.learned.0)) {
            world.planner.restore_learned_estimates(learned, now);
        }
        let progress: Option<Progress> = read(mutated(&progress(), &odd.progress.0));
        if let Some(job) = read_job(&job("restored", 1), &odd.restored) {
            let progress = progress.as_ref();
            world.planner.restore_job(job, progress, false, now);
        }
        let zones = BTreeSet::new();
        world.planner.set_evacuated_zones(zones, now.at, now);
        for (index, odd) in odd.submitted.iter().enumerate() {
            let priority = u8::try_from(index % 2).expect("a digit");
            if let Some(job) = read_job(&job(&format!("job{index}"), priority), odd) {
                world.planner.submit(job, now);
            }
        }
        world
    }

    fn now(&self) -> Now {
        let at = Timestamp::from_millis(self.at_ms);
        Now::new(at, START_UNIX_MS + self.at_ms)
    }

    fn report(&mut self, id: &WorkerId, odd: &OddAnswer) -> WorkerReport {
        let runs = self.running.entry(id.clone()).or_default();
        let mut running = Vec::new();
        let mut ended = Vec::new();
        for (index, (task, run)) in runs.iter().enumerate() {
            let run = odd.run.unwrap_or(*run);
            if odd.kind.is_multiple_of(3) {
                let number = odd.end_number.unwrap_or(self.at_ms + 1);
                let kinds = [RunEndKind::Done, RunEndKind::Failed, RunEndKind::GangBroken];
                ended.push(RunEnd {
                    number: number.saturating_add(index as u64),
                    task: task.clone(),
                    run,
                    kind: kinds[usize::from(odd.kind / 3) % kinds.len()],
                    checkpoint: None,
                });
            } else {
                running.push(RunningTask {
                    task: task.clone(),
                    run,
                    checkpoint: Some(String::new()),
                    percent: odd.percent,
                });
            }
        }
        if odd.kind.is_multiple_of(3) {
            runs.clear();
        }
        if let Some((occurrence, step, index)) = odd.task {
            for job in ["job0", "restored", "unknown"] {
                let job: JobId = job.parse().expect("an id");
                for (step, index) in [(step, index), (0, 0), (1, index)] {
                    running.push(RunningTask {
                        task: TaskKey::new(job.clone(), occurrence % 3, step, index),
                        run: odd.run.unwrap_or(7),
                        checkpoint: None,
                        percent: odd.percent,
                    });
                }
            }
        }
        WorkerReport {
            incarnation: Some(Incarnation::from_unix_ms(odd.incarnation.unwrap_or(5))),
            clock_ms: odd.clock_ms.unwrap_or(self.at_ms),
            running,
            ended,
            truncated: odd.truncated,
            bytes: u32::MAX,
        }
    }

    fn answer(&mut self, order: &Order, odd: &OddAnswer) {
        let now = self.now();
        let runs = self.running.entry(order.worker.clone()).or_default();
        if let OrderKind::Start { .. } = order.kind {
            runs.insert(order.task.clone(), order.run);
            let clock_ms = odd.clock_ms.unwrap_or(self.at_ms);
            let outcome = match odd.kind % 9 {
                7 => StartOutcome::Unknown,
                8 => StartOutcome::OtherLife,
                _ => StartOutcome::Started { clock_ms },
            };
            self.planner.handle_start_outcome(order, outcome, now);
        } else {
            runs.remove(&order.task);
            let outcome = StopOutcome::Taken;
            self.planner.handle_stop_outcome(order, outcome, now);
        }
    }

    fn step(&mut self, odd: &OddAnswer) {
        self.at_ms += TICK_MS;
        let now = self.now();
        let _ = self.planner.next_tick(now);
        let ids: Vec<WorkerId> = self.planner.workers().cloned().collect();
        for id in ids {
            if let Some(request) = self.planner.report_request(&id, now) {
                let report = self.report(&id, odd);
                self.planner
                    .handle_worker_report(&id, &request, now.at, report, now);
            }
        }
        for order in self.planner.tick(now) {
            self.answer(&order, odd);
        }
        for write in self.planner.take_writes(9, &BTreeSet::new(), now) {
            self.planner.progress_written(&write.job, write.change);
        }
        let _ = self.planner.take_decisions();
        let _ = self.planner.take_summaries();
        let _ = self.planner.load_summary(now);
        let _ = self.planner.oldest_fitting_wait(now);
        let _ = self.planner.oldest_guaranteed_wait(now);
        let _ = self.planner.learned_estimates(now);
        let _ = self.planner.customer_usage(4, now);
        for id in ["job0", "job1", "restored"] {
            let id = id.parse().expect("an id");
            let _ = self.planner.explain(&id, now);
        }
        self.planner.confirm_jobs_current(now.at);
        let zones = BTreeSet::new();
        self.planner.set_evacuated_zones(zones, now.at, now);
    }
}

/// Guards against examples that are not read themselves: their mutations would show nothing.
#[test]
fn the_examples_are_read() {
    let whole = Odd(Vec::new());
    assert!(read::<Catalog>(catalog()).is_some());
    assert!(read::<ListedWorker>(worker("w-0")).is_some());
    assert!(read::<Progress>(progress()).is_some_and(|read| read.timeline.is_some()));
    assert!(read::<LearnedEstimates>(learned()).is_some_and(|read| read.paces.len() == 1));
    assert!(read_job(&job("job0", 0), &whole).is_some());
}

/// Guards against a panic that ends planning: it would come back with every planner that reads the
/// same record, entry or answer.
#[test]
fn odd_input_does_not_end_planning() {
    fn property(odd: OddWorld) -> bool {
        let mut world = World::new(&odd);
        for answer in &odd.answers {
            world.step(answer);
        }
        true
    }
    check(INPUTS, property as fn(OddWorld) -> bool);
}

fn spec(estimate_ms: u64, steps: u32) -> BatchSpec {
    let step = |index: u32| StepSpec {
        count: 1,
        estimate_ms,
        depends_on: index.checked_sub(1).into_iter().collect(),
        ..StepSpec::default()
    };
    BatchSpec {
        payload: String::new(),
        steps: (0..steps).map(step).collect(),
        schedule: None,
    }
}

/// Guards against estimates of a chain of steps whose sum is beyond what can be counted.
#[test]
fn the_longest_estimates_add_up() {
    let spec = spec(u64::MAX, 3);
    assert_eq!(spec.check(), Ok(()));
    assert_eq!(spec.critical_path_ms(), u64::MAX);
    let _ = spec.downstream_path_ms(0);
}
