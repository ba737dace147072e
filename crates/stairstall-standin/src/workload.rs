//! Seeded workloads and what a policy makes of them.

mod measure;

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::config::Configuration;
use stairstall_core::placement::{Capacity, JobSpec, Shape};
use stairstall_core::{Labels, Timestamp};

use crate::fixtures::{self, named};
pub use measure::Measured;

/// A job and when it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When.
    pub at: Timestamp,
    /// What.
    pub spec: JobSpec,
}

/// What a workload is made of.
#[derive(Debug, Clone, Copy)]
pub struct WorkloadPlan {
    /// Workers of the zone.
    pub workers: u16,
    /// Workers in each rack.
    pub per_rack: u16,
    /// What each worker has.
    pub capacity: Capacity,
    /// Customers.
    pub customers: u16,
    /// How long jobs arrive.
    pub arrivals_for: Duration,
    /// Accelerators asked for as a share of those there are, in percent.
    pub load_percent: u32,
    /// Whether customers hold guarantees.
    pub guarantees: bool,
    /// Seed.
    pub seed: u64,
}

/// A kind of job in the mix.
struct Mix {
    /// How often, in percent of jobs.
    percent: u32,
    members: u16,
    accelerators: u8,
    seconds: std::ops::Range<u64>,
    repeatable: bool,
    checkpoint_ms: Option<u64>,
    name: &'static str,
}

/// Small previews and radio tickets, medium drafts, large drafts, paid packaging gangs.
const MIX: [Mix; 5] = [
    Mix {
        percent: 62,
        members: 1,
        accelerators: 1,
        seconds: 60..600,
        repeatable: true,
        checkpoint_ms: Some(1_000),
        name: "ticket",
    },
    Mix {
        percent: 20,
        members: 1,
        accelerators: 2,
        seconds: 300..1_200,
        repeatable: true,
        checkpoint_ms: Some(1_500),
        name: "preview",
    },
    Mix {
        percent: 10,
        members: 2,
        accelerators: 4,
        seconds: 600..2_400,
        repeatable: true,
        checkpoint_ms: Some(2_000),
        name: "draft",
    },
    Mix {
        percent: 5,
        members: 4,
        accelerators: 8,
        seconds: 900..3_600,
        repeatable: true,
        checkpoint_ms: Some(2_500),
        name: "long-draft",
    },
    Mix {
        percent: 3,
        members: 4,
        accelerators: 8,
        seconds: 900..2_700,
        repeatable: false,
        checkpoint_ms: None,
        name: "package",
    },
];

impl WorkloadPlan {
    /// A zone as large as today's users have in all, over half a day.
    #[must_use]
    pub const fn today(seed: u64) -> Self {
        Self {
            workers: 48,
            per_rack: 8,
            capacity: Capacity::new(8, 32, 128 * 1024),
            customers: 4,
            arrivals_for: Duration::from_secs(12 * 3600),
            load_percent: 85,
            guarantees: true,
            seed,
        }
    }

    /// The same mix in little, for a test.
    #[must_use]
    pub const fn little(seed: u64) -> Self {
        Self {
            workers: 16,
            arrivals_for: Duration::from_secs(4 * 3600),
            ..Self::today(seed)
        }
    }

    /// Returns accelerators in all.
    #[must_use]
    pub fn accelerators(&self) -> u64 {
        u64::from(self.workers) * u64::from(self.capacity.accelerators)
    }
}

/// Jobs in order of arrival, and the configuration they need.
#[derive(Debug, Clone)]
pub struct Workload {
    /// What it was made from.
    pub plan: WorkloadPlan,
    /// Jobs in order of arrival.
    pub arrivals: Vec<Arrival>,
    /// Customers, classes and guarantees.
    pub configuration: Configuration,
}

impl Workload {
    /// Makes the workload of a plan; equal plans make equal workloads.
    #[must_use]
    pub fn new(plan: WorkloadPlan) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
        let mean_interval = mean_interval_ms(&plan);
        let mut arrivals = Vec::new();
        let mut at = 0_u64;
        let end = u64::try_from(plan.arrivals_for.as_millis()).unwrap_or(u64::MAX);
        while at < end {
            // Bursts: one arrival in ten brings a dozen tickets at once.
            let burst = if random.random_ratio(1, 10) { 12 } else { 1 };
            for _ in 0..burst {
                let number = arrivals.len();
                let spec = draw(&plan, &mut random, number, burst > 1);
                arrivals.push(Arrival {
                    at: Timestamp::from_millis(at),
                    spec,
                });
            }
            at += random.random_range(1..mean_interval * 2);
        }
        Self {
            plan,
            arrivals,
            configuration: configuration(&plan),
        }
    }
}

/// Mean time between arrivals that makes the load, in milliseconds.
fn mean_interval_ms(plan: &WorkloadPlan) -> u64 {
    let area = |mix: &Mix| {
        let seconds = u64::midpoint(mix.seconds.start, mix.seconds.end);
        u64::from(mix.members) * u64::from(mix.accelerators) * seconds
    };
    let mean_area: u64 = MIX
        .iter()
        .map(|mix| area(mix) * u64::from(mix.percent))
        .sum::<u64>()
        / 100;
    let burst_area = area(&MIX[0]) * 12;
    let per_arrival = (mean_area * 9 + burst_area) / 10;
    per_arrival * 1_000 * 100 / (plan.accelerators() * u64::from(plan.load_percent)).max(1)
}

fn draw(plan: &WorkloadPlan, random: &mut impl Rng, number: usize, ticket: bool) -> JobSpec {
    let mut point = random.random_range(0..100_u32);
    let mut chosen = &MIX[0];
    for mix in &MIX {
        chosen = mix;
        if ticket || point < mix.percent {
            break;
        }
        point -= mix.percent;
    }
    let shape = Shape::new(chosen.members, chosen.accelerators).with_processors(2);
    let shape = if chosen.members > 1 {
        shape.adjacent()
    } else {
        shape
    };
    JobSpec {
        customer: named(&format!(
            "customer-{}",
            random.random_range(0..plan.customers)
        )),
        id: named(&format!("{}-{number}", chosen.name)),
        class: named("batch"),
        labels: Labels::default(),
        shape,
        repeatable: chosen.repeatable,
        checkpoint_ms: chosen.checkpoint_ms,
        expected_ms: random.random_range(chosen.seconds.clone()) * 1_000,
        zone: None,
        payload: String::new(),
    }
}

fn configuration(plan: &WorkloadPlan) -> Configuration {
    let customers: Vec<String> = (0..plan.customers)
        .map(|index| format!("customer-{index}"))
        .collect();
    let mut configuration = fixtures::configuration(customers.iter().map(String::as_str));
    if plan.guarantees {
        let shape = Shape::new(4, 8).with_processors(2).adjacent();
        fixtures::guarantee(&mut configuration, "guarantee-0", "customer-0", shape);
    }
    configuration
}
