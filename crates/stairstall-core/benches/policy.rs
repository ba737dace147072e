//! Compares placement policies on seeded workloads: `cargo bench -p stairstall-core --bench policy`.
#![allow(missing_docs)]

use std::time::Instant;

use stairstall_core::placement::Policy;
use stairstall_standin::{Measured, Workload, WorkloadPlan};

fn main() {
    let policies = [
        ("standard", Policy::standard()),
        ("first-fit", Policy::first_fit()),
        ("best-fit", Policy::best_fit()),
        ("strict-priority", Policy::strict_priority()),
    ];
    for load_percent in [85, 95, 105] {
        let plan = WorkloadPlan {
            load_percent,
            ..WorkloadPlan::today(1)
        };
        let workload = Workload::new(plan);
        let jobs = workload.arrivals.len();
        println!("\nseed 1: {jobs} jobs, 48 workers of 8 accelerators, load {load_percent}%");
        println!("{HEAD}");
        for (name, policy) in policies {
            let started = Instant::now();
            let m = Measured::run(&workload, policy);
            print_row(name, &m, started.elapsed().as_secs_f64());
        }
    }
}

const HEAD: &str = "policy           finished   left   mean s    p50 s    p99 s  bound s delay p50 delay p99  large mean  large most  frag %  lost %  largest   run s";

fn print_row(name: &str, m: &Measured, took: f64) {
    println!(
        "{:<16} {:>8} {:>6} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>11} {:>11} {:>7.2} {:>7.2} {:>8.1} {:>7.1}  {:?}",
        name,
        m.finished,
        m.unfinished,
        m.mean.as_secs(),
        m.p50.as_secs(),
        m.p99.as_secs(),
        m.bound.as_secs(),
        m.delay_p50.as_secs(),
        m.delay_p99.as_secs(),
        m.large_wait_mean.as_secs(),
        m.large_wait_most.as_secs(),
        m.fragmentation,
        m.lost,
        m.largest_free,
        took,
        m.decisions
    );
}
