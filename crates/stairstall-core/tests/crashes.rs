//! Blocks whose workers crash under them, in a zone with a placement holder.
//!
//! Symptom: repeatable work that crashes a worker is placed again for as long as there are workers.
//! Sequence: a member's worker comes back as another incarnation, the run is stopped because a member
//! was lost, the job waits again, and is placed anew. Cause: only what fails to start and what a worker
//! reports as failed counted. What settled it: "a member was lost; it waits again", as often as it runs.

use std::time::Duration;

use stairstall_core::placement::{Capacity, JobSpec, JobState, Policy, Shape};
use stairstall_core::{Labels, WorkerId};
use stairstall_standin::VirtualZone;
use stairstall_standin::fixtures::{configuration, named};

/// Crashes of workers after which a job is given up.
const MAX_CRASHES: usize = 3;
/// Beyond every lease.
const LONG: Duration = Duration::from_secs(60);
const SHORT: Duration = Duration::from_secs(2);

fn zone() -> VirtualZone {
    let capacity = Capacity::new(8, 32, 128 * 1024);
    let mut zone = VirtualZone::new(6, 3, capacity, Policy::standard(), configuration(["fonts"]));
    zone.submit(spec());
    zone
}

fn spec() -> JobSpec {
    JobSpec {
        customer: named("fonts"),
        id: named("preview"),
        class: named("batch"),
        labels: Labels::default(),
        shape: Shape::new(1, 8).adjacent(),
        repeatable: true,
        checkpoint_ms: None,
        expected_ms: 3_600_000,
        zone: None,
        payload: String::new(),
    }
}

fn place(zone: &VirtualZone) -> Option<WorkerId> {
    let runs = |id: &WorkerId| zone.worker(id).is_some_and(|w| w.running() > 0);
    zone.workers().into_iter().find(runs)
}

/// Runs the job again and again on workers that crash and are away for a while; returns how often it
/// ran.
fn runs_under_crashes(zone: &mut VirtualZone, away: Duration) -> usize {
    for runs in 0..8 {
        zone.run_for(Duration::from_secs(5));
        let Some(worker) = place(zone) else {
            return runs;
        };
        zone.set_dead(&worker, true);
        zone.run_for(away);
        zone.set_dead(&worker, false);
    }
    8
}

fn assert_given_up(zone: &VirtualZone) {
    let states: Vec<&JobState> = zone.ended.iter().map(|e| &e.state).collect();
    let [JobState::Ended { verdict, reason }] = states[..] else {
        panic!("not given up: {states:?}")
    };
    assert_eq!(verdict.as_str(), "may-have-run");
    assert!(reason.contains("workers crashed under it"), "{reason}");
}

#[test]
fn a_block_whose_workers_crash_and_come_back_soon_is_given_up() {
    let mut zone = zone();
    assert_eq!(runs_under_crashes(&mut zone, SHORT), MAX_CRASHES);
    assert_given_up(&zone);
}

#[test]
fn a_block_whose_workers_crash_and_come_back_after_their_leases_is_given_up() {
    let mut zone = zone();
    let runs = runs_under_crashes(&mut zone, LONG);
    assert!((MAX_CRASHES..=MAX_CRASHES + 1).contains(&runs), "{runs}");
    assert_given_up(&zone);
}

#[test]
fn a_block_whose_workers_are_cut_off_is_not_given_up() {
    let mut zone = zone();
    for _ in 0..5 {
        zone.run_for(Duration::from_secs(5));
        let worker = place(&zone).expect("it runs");
        zone.set_cut(&worker, true);
        zone.run_for(LONG);
        zone.set_cut(&worker, false);
    }
    zone.run_for(Duration::from_secs(5));
    assert!(place(&zone).is_some(), "it runs");
}

#[test]
fn a_new_holder_knows_how_many_workers_have_crashed_under_a_block() {
    let mut zone = zone();
    for _ in 0..MAX_CRASHES {
        zone.run_for(Duration::from_secs(5));
        let records = zone.placed_records();
        let worker = place(&zone).expect("it runs");
        zone.set_dead(&worker, true);
        zone.set_dead(&worker, false);
        zone.succeed(&records, configuration(["fonts"]));
    }
    zone.run_for(Duration::from_secs(5));
    assert_given_up(&zone);
}
