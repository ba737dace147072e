//! Compares placement policies on seeded workloads: `cargo bench -p stairstall-core --bench policy`.
#![allow(missing_docs)]

use std::time::Instant;

use stairstall_core::placement::{Fit, JobOrder, Policy};
use stairstall_standin::{Measured, Workload, WorkloadPlan};

fn main() {
    let policies = [
        ("standard", Policy::standard()),
        ("first-fit", Policy::first_fit()),
        ("best-fit", Policy::best_fit()),
        ("strict-priority", Policy::strict_priority()),
    ];
    against_baselines(&policies);
    choices();
}

/// Compares the policy with its baselines at today's size.
fn against_baselines(policies: &[(&str, Policy)]) {
    for load_percent in [85, 95, 105] {
        let plan = WorkloadPlan {
            load_percent,
            ..WorkloadPlan::today(1)
        };
        let workload = Workload::new(plan);
        let jobs = workload.arrivals.len();
        println!("\nseed 1: {jobs} jobs, 48 workers of 8 accelerators, load {load_percent}%");
        println!("{HEAD}");
        for (name, policy) in policies.iter().copied() {
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

/// Compares the choices that make the policy, in the mean of six seeds.
fn choices() {
    let standard = Policy::standard();
    let variants = [
        ("standard", standard),
        (
            "no reservation",
            Policy {
                reserves: false,
                ..standard
            },
        ),
        (
            "no moves",
            Policy {
                moves: false,
                ..standard
            },
        ),
        (
            "in order of age",
            Policy {
                order: JobOrder::Fifo,
                ..standard
            },
        ),
        (
            "best fit",
            Policy {
                fit: Fit::Best,
                ..standard
            },
        ),
        ("first-fit", Policy::first_fit()),
    ];
    for load_percent in [85, 95] {
        println!("\nmean of seeds 1 to 6, 16 workers of 8 accelerators, load {load_percent}%");
        println!(
            "variant          mean/bound    p99 s  delay p99 s  large mean s  large most s  lost %"
        );
        for (name, policy) in variants {
            let runs: Vec<Measured> = (1..=6)
                .map(|seed| {
                    let plan = WorkloadPlan {
                        load_percent,
                        ..WorkloadPlan::little(seed)
                    };
                    Measured::run(&Workload::new(plan), policy)
                })
                .collect();
            let mean = |of: &dyn Fn(&Measured) -> f64| runs.iter().map(of).sum::<f64>() / 6.0;
            println!(
                "{name:<16} {:>10.2} {:>8.0} {:>12.0} {:>13.0} {:>13.0} {:>7.2}",
                mean(&|m| m.mean.as_secs_f64() / m.bound.as_secs_f64()),
                mean(&|m| m.p99.as_secs_f64()),
                mean(&|m| m.delay_p99.as_secs_f64()),
                mean(&|m| m.large_wait_mean.as_secs_f64()),
                mean(&|m| m.large_wait_most.as_secs_f64()),
                mean(&|m| m.lost),
            );
        }
    }
}
