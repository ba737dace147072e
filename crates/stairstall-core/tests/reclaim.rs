//! Claims of guarantees in random states in which every accelerator is taken.
//!
//! `STAIRSTALL_TEST_EFFORT=34` tries ten thousand states.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::Labels;
use stairstall_core::config::{Configuration, Guarantee};
use stairstall_core::placement::{Capacity, JobSpec, Policy, RunPhase, Shape};
use stairstall_standin::VirtualZone;
use stairstall_standin::fixtures::{self, named as name};

/// States of one run.
const STATES: u64 = 300;
/// Urgent work starts within this time.
const LIMIT: Duration = Duration::from_millis(4_400);

/// One or two guarantees that fit into two racks of four workers.
fn configuration(random: &mut impl Rng) -> Configuration {
    let mut configuration = fixtures::configuration(["mesa", "fonts", "tenant"]);
    for customer in ["mesa", "fonts"]
        .into_iter()
        .take(random.random_range(1..=2))
    {
        let shape = Shape::new(random.random_range(1..=4), random.random_range(1..=8))
            .with_processors(random.random_range(0..=16))
            .with_memory_mb(random.random_range(0..=32_768))
            .adjacent();
        fixtures::guarantee(&mut configuration, customer, customer, shape);
    }
    configuration
}

fn spec(
    customer: &str,
    id: &str,
    shape: Shape,
    repeatable: bool,
    random: &mut impl Rng,
) -> JobSpec {
    let checkpoints = repeatable && random.random_ratio(2, 3);
    JobSpec {
        customer: name(customer),
        id: name(id),
        class: name("batch"),
        labels: Labels::default(),
        shape,
        repeatable,
        // Some take longer than the grace: they are stopped all the same.
        checkpoint_ms: checkpoints.then(|| random.random_range(1..6_000)),
        expected_ms: 3_600_000,
        zone: None,
        payload: String::new(),
    }
}

/// Fills every accelerator that may be taken with work of random shapes.
fn fill(zone: &mut VirtualZone, random: &mut impl Rng) {
    for round in 0..3 {
        for number in 0..40 {
            let accelerators = if round == 2 {
                1
            } else {
                random.random_range(1..=8)
            };
            let members = if round == 0 {
                random.random_range(1..=4)
            } else {
                1
            };
            let shape = Shape::new(members, accelerators)
                .with_processors(random.random_range(0..=6))
                .with_memory_mb(random.random_range(0..=20_000));
            let paid = random.random_ratio(1, 5);
            let id = format!("fill-{round}-{number}");
            zone.submit(spec("tenant", &id, shape, !paid, random));
        }
        zone.run_for(Duration::from_millis(1_500));
    }
}

#[test]
fn a_claim_succeeds_in_every_full_state() {
    let effort = std::env::var("STAIRSTALL_TEST_EFFORT")
        .ok()
        .and_then(|v| v.parse().ok());
    let states = STATES * effort.unwrap_or(1);
    let mut slowest = Duration::ZERO;
    let mut claims = 0;
    for seed in 0..states {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let configuration = configuration(&mut random);
        let guarantees: Vec<Guarantee> = configuration.guarantees.values().cloned().collect();
        let capacity = Capacity::new(8, 32, 128 * 1024);
        let mut zone = VirtualZone::new(8, 4, capacity, Policy::standard(), configuration);
        fill(&mut zone, &mut random);
        for guarantee in guarantees {
            if zone.scheduler.homes().get(&guarantee.name).is_none() {
                // No witness: it was never accepted.
                continue;
            }
            let customer = guarantee.customer.as_str();
            let job = spec(customer, "claim", guarantee.shape, false, &mut random);
            let key = job.key();
            zone.submit(job);
            let asked = zone.now();
            while zone.scheduler.phase_of(&key) != Some(RunPhase::Running) {
                let took = zone.now() - asked;
                assert!(
                    took < LIMIT,
                    "seed {seed}: the claim of {} took {took:?}",
                    guarantee.name
                );
                zone.step();
            }
            slowest = slowest.max(zone.now() - asked);
            claims += 1;
        }
    }
    println!("{claims} claims in {states} states, the slowest ran after {slowest:?}");
    assert!(claims >= states, "each state has at least one guarantee");
}
