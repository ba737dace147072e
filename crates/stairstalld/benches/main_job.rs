//! The main job: both deployments' work at the sizes of today, on embedded stand-ins.
//!
//! `cargo bench -p stairstalld --bench main_job`; ends by itself in under a
//! minute after the build. `STAIRSTALL_SEED` sets the seed.
#![allow(missing_docs)]

use std::process::ExitCode;
use std::time::Duration;

use stairstall_standin::ClusterPlan;
use stairstall_standin::main_job::{Deployment, Fault, run};

/// How long new work arrives in each deployment.
const LENGTH: Duration = Duration::from_secs(12);
/// How much work arrives, in multiples of the smallest.
const SCALE: u32 = 4;

#[tokio::main]
async fn main() -> ExitCode {
    let seed = std::env::var("STAIRSTALL_SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    println!(
        "seed {seed}; 3 zones, 6 daemons, 51 minions of 8 slots, 48 workers of 8 accelerators"
    );
    let mut broken = 0;
    let deployments = [
        Deployment::triage(seed, LENGTH, SCALE),
        Deployment::fonts(seed, LENGTH, SCALE),
    ];
    for deployment in &deployments {
        let plan = ClusterPlan {
            workers_per_rack: 8,
            ..ClusterPlan::small(env!("CARGO_BIN_EXE_stairstalld"))
        };
        let plan = plan.with_zones(3).with_sizes(2, 17, 16);
        match run(plan, deployment, Fault::None).await {
            Ok(report) => {
                broken += report.broken.len();
                println!("\n{report}");
            }
            Err(error) => {
                println!("\n{}: did not start: {error}", deployment.name);
                return ExitCode::FAILURE;
            }
        }
    }
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
