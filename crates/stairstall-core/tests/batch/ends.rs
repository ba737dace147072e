//! Ends are written down before a worker may forget them.

use stairstall_core::batch::{CallerState, EndKind, Outcome};

use crate::harness::{Fleet, gang, id, job, step, task};

#[test]
fn a_job_runs_and_is_shown_as_completed_once_that_is_written() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![step(2, 1)]));
    assert_eq!(
        fleet.planner.caller_state(&id("j")),
        Some(CallerState::Running)
    );
    for index in 0..2 {
        let key = task("j", 0, index);
        let place = fleet.place_of(&key).expect("it runs");
        fleet.worker(place.as_str()).end(&key, EndKind::Done);
    }
    fleet.writes = false;
    fleet.hold_all();
    assert_eq!(
        fleet.planner.caller_state(&id("j")),
        Some(CallerState::Running),
        "not written yet"
    );
    fleet.write_all();
    assert_eq!(
        fleet.planner.caller_state(&id("j")),
        Some(CallerState::Ended(Outcome::Completed))
    );
}

#[test]
fn no_member_of_a_gang_forgets_its_end_before_the_end_is_written() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 2, vec![gang(2, 8)]));
    for index in 0..2 {
        let key = task("j", 0, index);
        let place = fleet.place_of(&key).expect("it runs");
        fleet.worker(place.as_str()).end(&key, EndKind::Done);
    }
    fleet.writes = false;
    fleet.pass(300);
    for name in ["w1", "w2"] {
        assert_eq!(fleet.worker(name).forgotten, 0, "{name} forgot too early");
    }
    fleet.write_all();
    fleet.pass(300);
    for name in ["w1", "w2"] {
        assert_eq!(fleet.worker(name).forgotten, 1, "{name} may forget now");
    }
}
