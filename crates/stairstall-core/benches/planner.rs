//! What one change costs the batch planner: `cargo bench -p stairstall-core --bench planner`.
//!
//! A full fleet with work that waits, on a virtual clock; times are this machine's, and the
//! exponents say how they grow with the fleet.
#![allow(missing_docs, dead_code, clippy::cast_precision_loss)]

use std::time::{Duration, Instant};

use stairstall_core::WorkerId;
use stairstall_core::batch::{ResourceRequest, Resources, RunEndKind, TaskKey};

#[path = "../tests/batch/harness.rs"]
mod harness;

use harness::{FakeWorker, Fleet, gang, job, step, worker};

/// Workers, and tasks that wait for room beside a full fleet.
const SIZES: [(usize, usize); 3] = [(110, 500), (1_100, 5_000), (11_000, 50_000)];
/// Workers in a rack.
const RACK: usize = 20;
/// Passes in which the fleet is filled, and the time between them, in milliseconds: starts go out
/// some hundred at a time.
const FILLING_PASSES: usize = 40;
const PASS_MS: u64 = 6;
/// Changes that are measured.
const CHANGES: usize = 100;

/// Workers, and accelerators' worth of work that waits, at which the load is summed up.
const LOAD_SIZE: (usize, usize) = (3_000, 10_000);
/// Between two summaries that are worked out anew, in milliseconds.
const SUMMARY_MS: u64 = 250;

/// Mean time of each kind of change.
struct Costs {
    report: Duration,
    end: Duration,
    urgent: Duration,
    idle: Duration,
}

fn main() {
    println!("workers  waiting  report us    end us  urgent us  idle us");
    let mut before: Option<(usize, Costs)> = None;
    let largest = std::env::var("STAIRSTALL_BENCH_WORKERS").ok();
    let largest = largest.and_then(|text| text.parse().ok()).unwrap_or(1_100);
    for (workers, waiting) in SIZES.into_iter().filter(|size| size.0 <= largest) {
        let costs = measure(workers, waiting);
        let [report, end, urgent, idle] = costs.all().map(|cost| cost.as_secs_f64() * 1e6);
        println!("{workers:7}  {waiting:7}  {report:9.1} {end:9.1}  {urgent:9.1} {idle:8.1}");
        if let Some((fewer, cheaper)) = &before {
            let grown = workers as f64 / *fewer as f64;
            let powers = costs.all().into_iter().zip(cheaper.all());
            let powers = powers.map(|(now, then)| (now.as_secs_f64() / then.as_secs_f64()).ln());
            let powers: Vec<String> = powers.map(|p| format!("{:.2}", p / grown.ln())).collect();
            println!(
                "         grows with the power of workers: {}",
                powers.join("  ")
            );
        }
        before = Some((workers, costs));
    }
    if largest >= 1_100 {
        measure_load();
    }
}

/// Says what it costs to sum the load up, and to make a forecast from that.
fn measure_load() {
    let (workers, waiting) = LOAD_SIZE;
    let mut fleet = fleet(workers, waiting);
    let newcomer = job("newcomer", 2, vec![step(8, 1)]);
    let mut bytes = 0;
    let mut forecasts = Duration::ZERO;
    let summary = mean((0..CHANGES).map(|_| {
        fleet.at_ms += SUMMARY_MS;
        let now = fleet.now();
        let started = Instant::now();
        let summary = fleet.planner.load_summary(now);
        let took = started.elapsed();
        bytes = serde_json::to_vec(&summary).expect("a summary").len();
        forecasts += timed(|| {
            let shape = ResourceRequest::for_step(&newcomer.spec.steps[0], &newcomer);
            std::hint::black_box(summary.forecast(&shape));
        });
        took
    }));
    let forecast = forecasts / u32::try_from(CHANGES).unwrap_or(1);
    println!(
        "load of {workers} workers with {waiting} waiting: summed up in {summary:?}, {bytes} bytes, forecast in {forecast:?}"
    );
}

impl Costs {
    const fn all(&self) -> [Duration; 4] {
        [self.report, self.end, self.urgent, self.idle]
    }
}

/// Fills a fleet and lets `waiting` more tasks wait.
fn fleet(workers: usize, waiting: usize) -> Fleet {
    let mut fleet = Fleet::new(&[]);
    let now = fleet.now();
    for index in 0..workers {
        let rack = format!("r{}", index / RACK);
        let listed = worker(
            &format!("w{index}"),
            &rack,
            Resources::new(32_000, 64_000, 8),
        );
        fleet
            .workers
            .insert(listed.id.clone(), FakeWorker::default());
        fleet.planner.handle_listed_worker(listed, now);
    }
    hold_all(&mut fleet);
    let mut tasks = 0;
    let mut number = 0;
    while tasks < workers * 8 + waiting {
        let (priority, step) = if number % 4 == 3 {
            (1, gang(26, 1 << (number / 4 % 4)))
        } else {
            (2, step(78, 1))
        };
        tasks += step.count as usize * step.needs.accelerators as usize;
        let now = fleet.now();
        let job = job(&format!("{number:016x}"), priority, vec![step]);
        fleet.planner.submit(job, now);
        number += 1;
    }
    for _ in 0..FILLING_PASSES {
        fleet.at_ms += PASS_MS;
        settle(&mut fleet);
    }
    hold_all(&mut fleet);
    settle(&mut fleet);
    fleet
}

/// Asks every worker, all at one moment.
fn hold_all(fleet: &mut Fleet) {
    let ids: Vec<WorkerId> = fleet.workers.keys().cloned().collect();
    for id in ids {
        hold(fleet, &id);
    }
}

/// Asks a worker; no time passes.
fn hold(fleet: &mut Fleet, id: &WorkerId) {
    let at_ms = fleet.at_ms;
    fleet.hold(id);
    fleet.at_ms = at_ms;
}

/// Carries out what the planner orders until it orders nothing more; no time passes.
fn settle(fleet: &mut Fleet) {
    loop {
        let now = fleet.now();
        let at_ms = fleet.at_ms;
        let orders = fleet.planner.tick(now);
        let has_writes = fleet.planner.has_writes();
        fleet.write_all();
        fleet.planner.take_decisions();
        if orders.is_empty() && !has_writes {
            return;
        }
        for order in orders {
            fleet.carry_out(&order);
            fleet.at_ms = at_ms;
        }
        fleet.given.clear();
    }
}

fn measure(workers: usize, waiting: usize) -> Costs {
    let mut fleet = fleet(workers, waiting);
    let ids: Vec<WorkerId> = fleet.workers.keys().cloned().collect();
    let step_by = (ids.len() / CHANGES).max(1);
    let chosen = || ids.iter().step_by(step_by).take(CHANGES);
    let report = mean(chosen().map(|id| {
        fleet.at_ms += 1;
        timed(|| {
            hold(&mut fleet, id);
            settle(&mut fleet);
        })
    }));
    let end = mean(chosen().filter_map(|id| {
        fleet.at_ms += 1;
        let worker = fleet.workers.get_mut(id)?;
        let task: TaskKey = worker.running.keys().next()?.clone();
        worker.end(&task, RunEndKind::Done);
        Some(timed(|| {
            hold(&mut fleet, id);
            settle(&mut fleet);
        }))
    }));
    let urgent = mean((0..CHANGES / 4).map(|number| {
        fleet.at_ms += 1;
        let job = job(&format!("u{number}"), 0, vec![gang(8, 2)]);
        timed(|| {
            let now = fleet.now();
            fleet.planner.submit(job, now);
            settle(&mut fleet);
        })
    }));
    let idle = mean((0..CHANGES).map(|_| {
        fleet.at_ms += 30;
        timed(|| settle(&mut fleet))
    }));
    Costs {
        report,
        end,
        urgent,
        idle,
    }
}

fn timed(act: impl FnOnce()) -> Duration {
    let started = Instant::now();
    act();
    started.elapsed()
}

fn mean(times: impl Iterator<Item = Duration>) -> Duration {
    let times: Vec<Duration> = times.collect();
    let count = u32::try_from(times.len()).unwrap_or(u32::MAX).max(1);
    times.into_iter().sum::<Duration>() / count
}
