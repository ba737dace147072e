//! Bounds on what the placement policy makes of a seeded workload, beside its baselines.
//!
//! Everything runs on a virtual clock, so the verdict is the same every time.

use std::time::Duration;

use stairstall_core::placement::Policy;
use stairstall_standin::{Measured, Workload, WorkloadPlan};

fn workload(seed: u64) -> Workload {
    Workload::new(WorkloadPlan {
        load_percent: 95,
        ..WorkloadPlan::little(seed)
    })
}

#[test]
fn equal_seeds_make_equal_workloads_and_outcomes() {
    let (first, second) = (workload(3), workload(3));
    let specs = |w: &Workload| {
        w.arrivals
            .iter()
            .map(|a| (a.at, a.spec.clone()))
            .collect::<Vec<_>>()
    };
    assert_eq!(specs(&first), specs(&second));
    let runs = [&first, &second].map(|w| Measured::run(w, Policy::standard()));
    assert_eq!(runs[0].mean, runs[1].mean);
    assert_eq!(runs[0].decisions, runs[1].decisions);
}

#[test]
fn the_policy_keeps_its_bounds_beside_first_fit() {
    let (mut mean, mut bound, mut lost) = (0.0, 0.0, 0.0);
    let (mut large, mut large_first_fit) = (Duration::ZERO, Duration::ZERO);
    let seeds = 1..=4;
    for seed in seeds.clone() {
        let workload = workload(seed);
        let standard = Measured::run(&workload, Policy::standard());
        let first_fit = Measured::run(&workload, Policy::first_fit());
        println!("seed {seed}\n  standard  {standard:?}\n  first fit {first_fit:?}");
        assert_eq!(standard.unfinished, 0, "no gang starves");
        mean += standard.mean.as_secs_f64();
        bound += standard.bound.as_secs_f64();
        lost += standard.lost / 4.0;
        large += standard.large_wait_mean;
        large_first_fit += first_fit.large_wait_mean;
    }
    // Mean completion within a quarter of what no policy can beat.
    assert!(mean < bound * 1.25, "{mean} against {bound}");
    assert!(lost < 5.0, "{lost}% lost to fragmentation");
    // Large gangs wait at most three quarters of what they do under first fit.
    assert!(
        large * 4 < large_first_fit * 3,
        "{large:?} against {large_first_fit:?}"
    );
}

#[test]
fn syncs_of_running_tasks_stay_within_their_budget() {
    use stairstall_core::placement::{Capacity, JobSpec, Shape};
    use stairstall_standin::VirtualZone;
    use stairstall_standin::fixtures::{configuration, named};

    // An eighth of 750 workers with 12 tasks each.
    let capacity = Capacity::new(1, 64, 128 * 1024);
    let mut zone = VirtualZone::new(94, 8, capacity, Policy::standard(), configuration(["mesa"]));
    for number in 0..70 {
        zone.submit(JobSpec {
            customer: named("mesa"),
            id: named(&format!("job-{number}")),
            class: named("batch"),
            labels: stairstall_core::Labels::default(),
            shape: Shape::new(16, 0).with_processors(4),
            repeatable: true,
            checkpoint_ms: None,
            expected_ms: 24 * 3_600_000,
            zone: None,
            payload: "x".repeat(200),
        });
    }
    zone.run_for(Duration::from_secs(30));
    zone.count_bytes = true;
    let (syncs, bytes) = (zone.syncs, zone.sync_bytes);
    zone.run_for(Duration::from_secs(100));
    let (syncs, bytes) = (zone.syncs - syncs, zone.sync_bytes - bytes);
    println!("{syncs} syncs and {bytes} bytes in 100 s for 1,120 tasks");
    assert!(syncs <= 2_200, "{syncs} syncs");
    assert!(
        bytes <= 260 * syncs,
        "{bytes} bytes: running tasks cost nothing but their renewal"
    );
}
