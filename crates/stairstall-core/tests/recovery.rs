//! What a successor makes of workers that it can't ask.

use std::time::Duration;

use stairstall_core::placement::{Capacity, JobSpec, JobState, Policy, RunPhase, Shape};
use stairstall_core::{Labels, WorkerId};
use stairstall_standin::VirtualZone;
use stairstall_standin::fixtures::{configuration, named};

fn zone() -> VirtualZone {
    let capacity = Capacity::new(8, 32, 128 * 1024);
    VirtualZone::new(4, 4, capacity, Policy::standard(), configuration(["fonts"]))
}

fn spec(id: &str, members: u16, accelerators: u8, seconds: u64) -> JobSpec {
    JobSpec {
        customer: named("fonts"),
        id: named(id),
        class: named("batch"),
        labels: Labels::default(),
        shape: Shape::new(members, accelerators).adjacent(),
        repeatable: false,
        checkpoint_ms: None,
        expected_ms: seconds * 1_000,
        zone: None,
        payload: String::new(),
    }
}

/// Runs a gang and returns the first worker that runs a member of it.
fn run_gang(zone: &mut VirtualZone, members: u16, seconds: u64) -> WorkerId {
    zone.submit(spec("package", members, 8, seconds));
    zone.run_for(Duration::from_secs(3));
    let runs = |id: &WorkerId| zone.worker(id).is_some_and(|w| w.running() > 0);
    zone.workers()
        .into_iter()
        .find(runs)
        .expect("a member runs")
}

#[test]
fn a_member_on_a_worker_that_is_gone_from_the_list_ends_its_gang() {
    let mut zone = zone();
    let gone = run_gang(&mut zone, 2, 600);
    let records = zone.placed_records();
    assert_eq!(records.len(), 1);
    zone.unlist(&gone);
    zone.succeed(&records, configuration(["fonts"]));
    zone.run_for(Duration::from_secs(40));
    let states: Vec<&JobState> = zone.ended.iter().map(|e| &e.state).collect();
    let [JobState::Ended { verdict, .. }] = states[..] else {
        panic!("not over: {states:?}")
    };
    assert_eq!(verdict.as_str(), "may-have-run");
    let still = zone.workers().into_iter().filter(|w| *w != gone);
    assert!(
        still
            .into_iter()
            .all(|w| zone.worker(&w).is_some_and(|w| w.running() == 0))
    );
}

#[test]
fn the_place_of_a_member_that_was_not_heard_of_is_not_given_away() {
    let mut zone = zone();
    let cut = run_gang(&mut zone, 1, 600);
    let records = zone.placed_records();
    zone.set_cut(&cut, true);
    zone.succeed(&records, configuration(["fonts"]));
    zone.run_for(Duration::from_secs(3));
    zone.set_cut(&cut, false);
    zone.run_for(Duration::from_secs(5));
    let key = records[0].spec.key();
    assert_eq!(zone.scheduler.phase_of(&key), Some(RunPhase::Running));
    // All four workers are wanted and only three are free: the job must wait, not be refused.
    zone.submit(spec("other", 4, 8, 60));
    zone.run_for(Duration::from_secs(5));
    assert_eq!(
        zone.scheduler.phase_of(&spec("other", 4, 8, 60).key()),
        None
    );
    assert_eq!(zone.decisions.get("stopped"), None, "{:?}", zone.decisions);
    assert_eq!(zone.running_jobs().len(), 1);
}
