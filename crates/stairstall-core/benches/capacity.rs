//! Slopes of a placement holder: `cargo bench -p stairstall-core --bench capacity`.
//!
//! Everything runs in this process on a virtual clock; times are this
//! machine's, counts and bytes are the same everywhere.
#![allow(missing_docs)]

use std::time::{Duration, Instant};

use stairstall_core::Labels;
use stairstall_core::placement::{Capacity, JobSpec, Policy, Shape};
use stairstall_standin::{VirtualZone, Workload, WorkloadPlan};

/// Workers of a zone, from today's third of fifty to all of two years from now.
const WORKERS: [u16; 5] = [16, 94, 188, 375, 750];
/// Tasks on each worker: 9,300 on 750.
const TASKS_PER_WORKER: u16 = 12;
/// Virtual time that is measured.
const MEASURED: Duration = Duration::from_secs(120);

fn main() {
    println!("holder, idle: every task runs, nothing arrives");
    println!(
        "workers   tasks  syncs/s  bytes/s up+down  bytes/sync  cpu ms/s  memory MB  rebuild ms  rebuild bytes"
    );
    for workers in WORKERS {
        idle(workers);
    }
    println!("\none placement decision: a gang of 4x8 or 8x8 arrives at a zone that is 85% busy");
    println!("workers   decisions   p50 us   p99 us");
    for workers in [50, 200, 750, 3_000] {
        decisions(workers);
    }
}

fn spec(id: &str, shape: Shape) -> JobSpec {
    JobSpec {
        customer: "customer-0".parse().expect("a name"),
        id: id.parse().expect("a name"),
        class: "batch".parse().expect("a name"),
        labels: Labels::default(),
        shape,
        repeatable: true,
        checkpoint_ms: Some(1_000),
        expected_ms: 90 * 24 * 3_600_000,
        zone: None,
        payload: "x".repeat(200),
    }
}

fn zone(workers: u16, capacity: Capacity) -> VirtualZone {
    let plan = WorkloadPlan {
        guarantees: false,
        ..WorkloadPlan::little(1)
    };
    let workload = Workload::new(WorkloadPlan {
        arrivals_for: Duration::ZERO,
        ..plan
    });
    VirtualZone::new(
        workers,
        8,
        capacity,
        Policy::standard(),
        workload.configuration,
    )
}

/// Returns this process's resident memory, in kilobytes.
fn resident_kb() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

fn idle(workers: u16) {
    let mut zone = zone(workers, Capacity::new(1, 64, 128 * 1024));
    let gang = 16;
    let jobs = workers * TASKS_PER_WORKER / gang;
    for number in 0..jobs {
        let shape = Shape::new(gang, 0).with_processors(4);
        zone.submit(spec(&format!("job-{number}"), shape));
    }
    zone.run_for(Duration::from_secs(30));
    let before = resident_kb();
    let copy = zone.scheduler.clone();
    let memory = resident_kb() - before;
    let tasks: usize = zone
        .workers()
        .iter()
        .filter_map(|w| zone.worker(w))
        .map(stairstall_standin::WorkerState::running)
        .sum();
    drop(copy);
    zone.count_bytes = true;
    let (syncs, bytes) = (zone.syncs, zone.sync_bytes);
    zone.run_for(MEASURED);
    let seconds = MEASURED.as_secs_f64();
    let (syncs, bytes) = (zone.syncs - syncs, zone.sync_bytes - bytes);
    zone.count_bytes = false;
    let started = Instant::now();
    zone.run_for(MEASURED);
    let busy = started.elapsed().as_secs_f64() * 1_000.0 / seconds;
    let (rebuild, rebuild_bytes) = rebuild(&mut zone);
    println!(
        "{workers:>7} {tasks:>7} {:>8.1} {:>16.0} {:>11.0} {busy:>9.2} {:>10.2} {rebuild:>11.1} {rebuild_bytes:>14}",
        as_float(syncs) / seconds,
        as_float(bytes) / seconds,
        as_float(bytes) / as_float(syncs),
        as_float(u64::try_from(memory).unwrap_or(0)) / 1024.0,
    );
}

/// Replaces the scheduler by a successor; the workers list every task.
fn rebuild(zone: &mut VirtualZone) -> (f64, u64) {
    let records = zone.placed_records();
    let configuration = Workload::new(WorkloadPlan {
        arrivals_for: Duration::ZERO,
        ..WorkloadPlan::little(1)
    })
    .configuration;
    zone.count_bytes = true;
    let before = zone.sync_bytes;
    let started = Instant::now();
    zone.succeed(&records, configuration);
    zone.step();
    (
        started.elapsed().as_secs_f64() * 1_000.0,
        zone.sync_bytes - before,
    )
}

fn decisions(workers: u16) {
    let mut zone = zone(workers, Capacity::new(8, 32, 128 * 1024));
    // Two accelerators here, four there: broken up, and 85% busy.
    let mut number = 0;
    let mut left = u32::from(workers) * 8 * 85 / 100;
    while left > 0 {
        let size = [1, 2, 4, 8][number % 4].min(u8::try_from(left).unwrap_or(8));
        zone.submit(spec(
            &format!("fill-{number}"),
            Shape::new(1, size).with_processors(1),
        ));
        left -= u32::from(size);
        number += 1;
    }
    zone.run_for(Duration::from_secs(20));
    let mut times = Vec::new();
    for round in 0..200 {
        let members = if round % 2 == 0 { 4 } else { 8 };
        let mut copy = zone.clone();
        copy.submit(spec(
            &format!("gang-{round}"),
            Shape::new(members, 8).adjacent(),
        ));
        let now = copy.now() + Duration::from_millis(1);
        let started = Instant::now();
        let effects = copy.scheduler.tick(now);
        times.push(started.elapsed());
        assert!(!effects.is_empty(), "a decision was made");
    }
    times.sort_unstable();
    let micros = |index: usize| times[index].as_micros();
    println!(
        "{workers:>7} {:>11} {:>8} {:>8}",
        times.len(),
        micros(100),
        micros(197)
    );
}

fn as_float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
