//! Tasks that last, and tasks that fill beside others that serve.

use stairstall_core::batch::{CallerState, RunEndKind, StepSpec};

use crate::harness::{Fleet, id, job, step, task};

fn serving() -> StepSpec {
    StepSpec {
        long_running: true,
        latency_target_ms: 200,
        ..step(1, 1)
    }
}

fn filling() -> StepSpec {
    StepSpec {
        uses_spare_cpu: true,
        ..step(1, 0)
    }
}

#[test]
fn a_task_that_lasts_is_started_again_however_it_ends() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.submit(job("j", 1, vec![serving()]));
    let key = task("j", 0, 0);
    for kind in [
        RunEndKind::Done,
        RunEndKind::Failed,
        RunEndKind::Failed,
        RunEndKind::Failed,
    ] {
        let place = fleet.place_of(&key).expect("it runs");
        fleet.worker(place.as_str()).end(&key, kind);
        fleet.pass(4_000);
    }
    assert!(fleet.place_of(&key).is_some());
    assert_eq!(
        fleet.planner.caller_state(&id("j")),
        Some(CallerState::Running)
    );
}

#[test]
fn what_fills_shares_no_worker_with_what_serves() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.submit(job("serving", 1, vec![serving()]));
    fleet.submit(job("filling", 2, vec![filling()]));
    let serving = fleet.place_of(&task("serving", 0, 0));
    let filling = fleet.place_of(&task("filling", 0, 0));
    assert!(serving.is_some() && filling.is_some());
    assert_ne!(serving, filling);
}

#[test]
fn what_lasts_gives_way_to_nothing() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let lasting = StepSpec {
        long_running: true,
        ..step(8, 1)
    };
    fleet.submit(job("lasting", 2, vec![lasting]));
    fleet.submit(job("urgent", 0, vec![step(1, 8)]));
    fleet.pass(2_000);
    assert!(fleet.place_of(&task("lasting", 0, 7)).is_some());
    assert!(fleet.place_of(&task("urgent", 0, 0)).is_none());
}
