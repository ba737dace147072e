//! Random lives of a zone: what must hold at every moment of each.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use stairstall_core::config::{Configuration, Guarantee};
use stairstall_core::placement::{
    Capacity, JobSpec, JobState, PlacedMember, Policy, RunPhase, Shape,
};
use stairstall_core::{Labels, VmId};
use stairstall_standin::{VirtualZone, fixtures};

use super::{check, name};

/// One step in a random life of a zone.
#[derive(Debug, Clone)]
enum Step {
    Submit {
        customer: u8,
        members: u16,
        accelerators: u8,
        repeatable: bool,
        seconds: u64,
    },
    Wait(u8),
    Kill(u8),
    Revive(u8),
    Claim(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=5 => Self::Submit {
                customer: u8::arbitrary(g) % 3,
                members: [1, 1, 2, 4, 8][usize::from(u8::arbitrary(g) % 5)],
                accelerators: [1, 1, 2, 3, 8][usize::from(u8::arbitrary(g) % 5)],
                repeatable: bool::arbitrary(g),
                seconds: u64::from(u8::arbitrary(g)) + 1,
            },
            6 => Self::Wait(u8::arbitrary(g) % 30),
            7 => Self::Kill(u8::arbitrary(g)),
            8 => Self::Revive(u8::arbitrary(g)),
            _ => Self::Claim(u8::arbitrary(g) % 2),
        }
    }
}

fn customers() -> Configuration {
    fixtures::configuration(CUSTOMERS)
}

fn with_guarantees() -> Configuration {
    let mut configuration = customers();
    let mesa = Shape::new(4, 8).with_processors(8).adjacent();
    let fonts = Shape::new(2, 8).with_processors(8).adjacent();
    fixtures::guarantee(&mut configuration, "mesa-0", "mesa", mesa);
    fixtures::guarantee(&mut configuration, "fonts-1", "fonts", fonts);
    configuration
}

fn spec(customer: &str, id: &str, shape: Shape, repeatable: bool, seconds: u64) -> JobSpec {
    JobSpec {
        customer: name(customer),
        id: name(id),
        class: name("batch"),
        labels: Labels::default(),
        shape,
        repeatable,
        checkpoint_ms: repeatable.then_some(1_000),
        expected_ms: seconds * 1_000,
        zone: None,
        payload: String::new(),
    }
}

const CUSTOMERS: [&str; 3] = ["mesa", "fonts", "tenant"];

/// Checks what must hold of the home blocks at every moment.
fn check_homes(zone: &VirtualZone) {
    let inventory = zone.scheduler.inventory();
    let mut seen: BTreeMap<usize, u64> = BTreeMap::new();
    for home in zone.scheduler.homes().iter() {
        for cell in &home.cells {
            let index = inventory.index_of(&cell.worker).unwrap();
            let taken = seen.entry(index).or_default();
            assert_eq!(*taken & cell.mask, 0, "home blocks overlap");
            *taken |= cell.mask;
            for used in inventory
                .allocations(index)
                .iter()
                .filter(|u| u.mask & cell.mask != 0)
            {
                let owner = used.home.as_ref() == Some(&home.guarantee.name);
                assert!(
                    owner || used.preemptible,
                    "work that can't give way in a home block"
                );
            }
        }
    }
}

/// Submits a claim of the whole shape and demands that it runs in time.
fn claim(zone: &mut VirtualZone, guarantee: &Guarantee, number: usize) {
    let home = zone.scheduler.homes().get(&guarantee.name).cloned();
    let Some(home) = home else { return };
    if home
        .find_free(&guarantee.shape, zone.scheduler.inventory())
        .is_none()
    {
        // The owner itself uses the block.
        return;
    }
    let customer = guarantee.customer.as_str();
    let spec = spec(
        customer,
        &format!("claim-{number}"),
        guarantee.shape,
        false,
        5,
    );
    let key = spec.key();
    zone.submit(spec);
    let asked = zone.now();
    while zone.scheduler.phase_of(&key) != Some(RunPhase::Running) {
        let over = zone.ended.iter().any(|e| e.job == key);
        assert!(!over, "the claim ended before it ran");
        zone.step();
        let took = zone.now() - asked;
        assert!(
            took < Duration::from_millis(4_400),
            "claim {key} took {took:?}"
        );
    }
}

fn live_a_life(steps: &[Step]) {
    let configuration = with_guarantees();
    let guarantees: Vec<Guarantee> = configuration.guarantees.values().cloned().collect();
    let capacity = Capacity::new(8, 32, 64 * 1024);
    let mut zone = VirtualZone::new(16, 8, capacity, Policy::standard(), configuration);
    let workers = zone.workers();
    let mut dead = 0;
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Submit {
                customer,
                members,
                accelerators,
                repeatable,
                seconds,
            } => {
                let mut shape = Shape::new(*members, *accelerators).with_processors(2);
                shape.adjacent = members % 2 == 0;
                let customer = CUSTOMERS[usize::from(*customer)];
                zone.submit(spec(
                    customer,
                    &format!("job-{number}"),
                    shape,
                    *repeatable,
                    *seconds,
                ));
            }
            Step::Wait(seconds) => zone.run_for(Duration::from_secs(u64::from(*seconds))),
            Step::Kill(index) if dead < 4 => {
                dead += 1;
                zone.set_dead(&workers[usize::from(*index) % workers.len()], true);
                // Until its leases surely ended its members hold their places.
                zone.run_for(Duration::from_secs(25));
            }
            Step::Kill(_) => {}
            Step::Revive(index) => {
                zone.set_dead(&workers[usize::from(*index) % workers.len()], false);
                zone.run_for(Duration::from_secs(3));
            }
            Step::Claim(which) => {
                let guarantee = guarantees[usize::from(*which)].clone();
                claim(&mut zone, &guarantee, number);
            }
        }
        zone.step();
        check_homes(&zone);
    }
}

#[test]
fn a_guarantee_can_always_be_claimed() {
    fn property(steps: Vec<Step>) -> bool {
        live_a_life(&steps);
        true
    }
    check(15, property as fn(Vec<Step>) -> bool);
}

/// Jobs that may run once started once, whatever died.
#[test]
fn paid_work_starts_once_in_any_life() {
    fn property(steps: Vec<Step>) -> bool {
        let mut zone = VirtualZone::new(
            8,
            8,
            Capacity::new(8, 32, 64 * 1024),
            Policy::standard(),
            customers(),
        );
        let workers = zone.workers();
        for (number, step) in steps.iter().enumerate() {
            match step {
                Step::Submit {
                    customer,
                    members,
                    accelerators,
                    seconds,
                    ..
                } => {
                    let shape = Shape::new(*members, *accelerators);
                    let customer = CUSTOMERS[usize::from(*customer)];
                    zone.submit(spec(
                        customer,
                        &format!("job-{number}"),
                        shape,
                        false,
                        *seconds,
                    ));
                }
                Step::Wait(seconds) => zone.run_for(Duration::from_secs(u64::from(*seconds))),
                Step::Kill(index) => {
                    zone.set_dead(&workers[usize::from(*index) % workers.len()], true);
                }
                Step::Revive(index) => {
                    zone.set_dead(&workers[usize::from(*index) % workers.len()], false);
                }
                Step::Claim(_) => zone.run_for(Duration::from_secs(30)),
            }
            zone.step();
        }
        zone.run_for(Duration::from_secs(60));
        let mut attempts: BTreeMap<String, Vec<_>> = BTreeMap::new();
        for worker in &workers {
            for start in zone.worker(worker).unwrap().starts() {
                attempts
                    .entry(start.task.job.to_string())
                    .or_default()
                    .push(start.task.attempt);
            }
        }
        attempts
            .values()
            .all(|list| list.iter().all(|a| *a == list[0]))
            && zone.ended.iter().all(|ended| match &ended.state {
                JobState::Ended { verdict, .. } if verdict.as_str() == "not-run" => {
                    !attempts.contains_key(&ended.job.to_string())
                }
                _ => true,
            })
    }
    check(15, property as fn(Vec<Step>) -> bool);
}

#[test]
fn a_replaced_scheduler_goes_on_with_what_runs() {
    let configuration = customers();
    let capacity = Capacity::new(8, 32, 64 * 1024);
    let mut zone = VirtualZone::new(8, 8, capacity, Policy::standard(), configuration.clone());
    zone.submit(spec(
        "fonts",
        "package",
        Shape::new(4, 8).adjacent(),
        false,
        60,
    ));
    zone.run_for(Duration::from_secs(2));
    let running = zone.running_jobs();
    assert_eq!(running.len(), 1);
    let attempt = zone.worker(&zone.workers()[0]).unwrap().starts()[0]
        .task
        .attempt;
    let members: Vec<_> = zone
        .workers()
        .iter()
        .filter(|w| zone.worker(w).unwrap().running() > 0)
        .map(|w| PlacedMember {
            worker: w.clone(),
            incarnation: zone.worker(w).unwrap().incarnation(),
        })
        .collect();
    let record = stairstall_core::placement::JobRecord {
        spec: spec("fonts", "package", Shape::new(4, 8).adjacent(), false, 60),
        zone: name("zone-a"),
        mark: stairstall_core::claim::Mark::new(VmId::unknown(), 0, 0),
        accepted_ms: 0,
        cancel: false,
        saved_ms: 0,
        crashes: 0,
        started: false,
        state: JobState::Placed { attempt, members },
    };
    zone.succeed(&[record], configuration);
    zone.run_for(Duration::from_secs(80));
    let ended: Vec<_> = zone.ended.iter().map(|e| &e.state).collect();
    assert!(
        matches!(ended[..], [JobState::Finished { success: true, .. }]),
        "{ended:?}"
    );
}
