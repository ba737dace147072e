//! Jobs that stand still beside room for longer than they may, or that are taken to: across changes of
//! planner, beside urgent starts and reservations, and for single tasks.

use std::collections::BTreeSet;

use stairstall_core::batch::{
    AcceptedJob, BatchSpec, Order, OrderKind, RunEndKind, Schedule, StepSpec, VmLimits,
};

use crate::harness::{Fleet, START_UNIX_MS, bounds, gang, id, job, step, task};
use crate::idle_jobs::{
    MAX_IDLE_MS, PATIENCE_MS, TICK_MS, accepted_now, end_urgent, fill, fleet, hand_in, has_started,
    lasting, near, usual_fleet, wait_beside_reservation, wait_of,
};

/// Members of a gang that is wider than what may be started at a time.
const GANG_ABOVE_WINDOW: u32 = 60;

/// Returns a fleet in which the gang `wide` waits for a full rack, and the jobs as they are stored.
fn gang_whose_rack_is_full() -> (Fleet, [AcceptedJob; 2]) {
    let mut fleet = usual_fleet(4);
    let full = job("full", 1, vec![near("r0", step(80, 1))]);
    hand_in(&mut fleet, full.clone());
    fleet.pass(TICK_MS);
    let wide = job("wide", 1, vec![near("r0", lasting(15_000, gang(20, 1)))]);
    let wide = accepted_now(&fleet, wide);
    hand_in(&mut fleet, wide.clone());
    (fleet, [full, wide])
}

/// Plays a job of two times whose rack is full for 300 ms after the second of them. Returns how long
/// after that time it starts.
fn wait_at_second_time(has_takeover: bool) -> u64 {
    const INTERVAL_MS: u64 = 10_000;
    let mut fleet = usual_fleet(4);
    let twice = job("twice", 1, vec![near("r0", lasting(15_000, step(1, 1)))]);
    let twice = AcceptedJob {
        spec: BatchSpec {
            schedule: Some(Schedule {
                first_unix_ms: START_UNIX_MS,
                interval_ms: INTERVAL_MS,
                occurrences: 2,
            }),
            ..twice.spec
        },
        ..twice
    };
    let full = job("full", 1, vec![near("r0", step(80, 1))]);
    fleet.submit(twice.clone());
    fleet.pass(1_000);
    fleet.end_everywhere(&task("twice", 0, 0), RunEndKind::Done);
    fleet.pass(200);
    fleet.submit(full.clone());
    fleet.pass(4_000);
    if has_takeover {
        fleet.succeed(&[twice, full]);
    }
    fleet.pass(INTERVAL_MS - fleet.at_ms);
    let due_at = fleet.at_ms;
    let starts = |fleet: &Fleet| {
        let orders = fleet.given.iter();
        orders
            .filter(|order| matches!(order.kind, OrderKind::Start { .. }))
            .filter(|order| order.task.group.job == id("twice"))
            .count()
    };
    while starts(&fleet) < 2 && fleet.at_ms - due_at < PATIENCE_MS {
        fleet.pass(TICK_MS);
    }
    fleet.at_ms - due_at
}

#[test]
fn a_job_waits_for_its_rack_at_its_second_time() {
    let waited = wait_at_second_time(false);
    assert!(waited >= 1_900, "it left its rack after {waited} ms");
}

/// The time between two of a job's times is no time in which it could have run.
#[test]
fn a_job_waits_for_its_rack_at_its_second_time_under_another_planner() {
    let waited = wait_at_second_time(true);
    assert!(waited >= 1_900, "it left its rack after {waited} ms");
}

/// The planner stores a place and is gone before it sends the start.
#[test]
fn a_start_that_was_not_sent_holds_no_job_back_for_long() {
    let (mut fleet, stored) = gang_whose_rack_is_full();
    let handed_in = fleet.at_ms;
    fleet.pass(1_900);
    assert!(!has_started(&fleet, "wide"));
    while !fleet.kept.contains_key(&id("wide")) {
        fleet.at_ms += TICK_MS;
        fleet.hold_all();
        fleet.planner.tick(fleet.now());
        fleet.write_all();
    }
    assert!(
        !fleet.kept[&id("wide")].occurrences[0][0]
            .placements
            .is_empty()
    );
    fleet.succeed(&stored);
    wait_of(&mut fleet, "wide");
    let waited = fleet.at_ms - handed_in;
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// The planner hears of a job late: the one that accepted it could not reach it.
#[test]
fn a_job_that_is_heard_of_late_is_not_held_back_for_long() {
    let mut fleet = usual_fleet(4);
    fill(&mut fleet, "r0");
    let wide = job("wide", 1, vec![near("r0", lasting(15_000, gang(20, 1)))]);
    let wide = accepted_now(&fleet, wide);
    let accepted = fleet.at_ms;
    fleet.pass(1_500);
    let now = fleet.now();
    fleet.planner.submit(wide, now);
    wait_of(&mut fleet, "wide");
    let waited = fleet.at_ms - accepted;
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// A place is stored with the idle time before it, since a planner may be gone before it sends the
/// start. Where the start was sent, that time is over.
#[test]
fn what_ran_under_an_earlier_planner_ends_its_idle_time() {
    let mut fleet = usual_fleet(4);
    let first = StepSpec {
        depends_on: Vec::new(),
        ..step(1, 1)
    };
    let second = StepSpec {
        depends_on: vec![0],
        ..near("r0", lasting(15_000, step(1, 1)))
    };
    let twice = accepted_now(&fleet, job("twice", 1, vec![first, second]));
    let full = accepted_now(&fleet, job("full", 1, vec![near("r0", step(80, 1))]));
    hand_in(&mut fleet, full.clone());
    fleet.pass(TICK_MS);
    fleet.submit(twice.clone());
    fleet.pass(4_000);
    fleet.succeed(&[twice, full]);
    fleet.pass(1_000);
    fleet.end_everywhere(&task("twice", 0, 0), RunEndKind::Done);
    let second = task("twice", 1, 0);
    let ended = fleet.at_ms;
    while fleet.starts_of(&second) == 0 && fleet.at_ms - ended < PATIENCE_MS {
        fleet.pass(TICK_MS);
    }
    let waited = fleet.at_ms - ended;
    assert!(waited >= 1_900, "it left its rack after {waited} ms");
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// A successor plans only once enough workers have answered it.
#[test]
fn the_first_reports_of_a_successor_count_as_idle_time() {
    let (mut fleet, stored) = gang_whose_rack_is_full();
    let handed_in = fleet.at_ms;
    fleet.pass(1_000);
    fleet.succeed(&stored);
    for _ in 0..15 {
        fleet.at_ms += TICK_MS;
        fleet.planner.tick(fleet.now());
        fleet.write_all();
    }
    wait_of(&mut fleet, "wide");
    let waited = fleet.at_ms - handed_in;
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// The same as below half in use, with more than half of the fleet in use.
#[test]
fn a_reservation_holds_no_job_back_for_long_in_a_busy_fleet() {
    let waited = wait_beside_reservation(90);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// A gang wider than the start window waits until no start is in flight, and urgent work goes on
/// being started.
#[test]
fn urgent_starts_hold_no_wide_gang_back_for_long() {
    let waited = wait_beside_urgent_starts("wide", true);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Urgent work, of which a task starts every 100 ms and is answered 200 ms later.
#[derive(Default)]
struct UrgentFlow {
    unanswered: Vec<(u64, Order)>,
    ticks: u32,
}

impl UrgentFlow {
    fn pass(&mut self, fleet: &mut Fleet) {
        hand_in(fleet, job(&format!("u{}", self.ticks), 0, vec![step(1, 1)]));
        self.ticks += 1;
        fleet.at_ms += TICK_MS;
        fleet.hold_all();
        let now = fleet.now();
        let zones = BTreeSet::new();
        fleet.planner.set_evacuated_zones(zones, now.at, now);
        for _ in 0..3 {
            let orders = fleet.planner.tick(fleet.now());
            fleet.write_all();
            for order in orders {
                if order.task.group.job.as_str().starts_with('u') {
                    self.unanswered.push((fleet.at_ms + 2 * TICK_MS, order));
                } else {
                    fleet.carry_out(&order);
                }
            }
        }
        let at_ms = fleet.at_ms;
        let all = std::mem::take(&mut self.unanswered);
        let (due, later) = all.into_iter().partition(|(at, _)| *at <= at_ms);
        self.unanswered = later;
        for (_, order) in due {
            fleet.carry_out(&order);
        }
        end_urgent(fleet);
    }
}

/// Returns how long a job waits while a start of urgent work is always in flight.
fn wait_beside_urgent_starts(name: &str, has_gang: bool) -> u64 {
    let limits = VmLimits {
        cpu_percent: 12,
        ..VmLimits::default()
    };
    let mut fleet = fleet(10, limits, bounds());
    let mut flow = UrgentFlow::default();
    for _ in 0..10 {
        flow.pass(&mut fleet);
    }
    if has_gang {
        let wide = lasting(15_000, gang(GANG_ABOVE_WINDOW, 1));
        hand_in(&mut fleet, job("wide", 1, vec![wide]));
    }
    hand_in(&mut fleet, job("small", 2, vec![step(1, 1)]));
    let handed_in = fleet.at_ms;
    while !has_started(&fleet, name) && fleet.at_ms - handed_in < PATIENCE_MS {
        flow.pass(&mut fleet);
    }
    fleet.at_ms - handed_in
}

/// The rack of a task that lasts is full of work that should end, but not soon.
#[test]
fn a_rack_holds_no_task_that_lasts_back_for_long() {
    let mut fleet = usual_fleet(4);
    let serving = StepSpec {
        long_running: true,
        ..near("r0", lasting(60_000, step(2, 1)))
    };
    hand_in(&mut fleet, job("serves", 1, vec![serving]));
    fleet.pass(TICK_MS);
    let fills = near("r0", lasting(60_000, step(79, 1)));
    hand_in(&mut fleet, job("full", 1, vec![fills]));
    fleet.pass(TICK_MS);
    let lost = task("serves", 0, 1);
    fleet.end_everywhere(&lost, RunEndKind::Failed);
    let urgent = near("r0", lasting(60_000, step(1, 1)));
    hand_in(&mut fleet, job("urgent", 0, vec![urgent]));
    let ended = fleet.at_ms;
    fleet.pass(TICK_MS);
    while fleet.place_of(&lost).is_none() && fleet.at_ms - ended < PATIENCE_MS {
        fleet.pass(TICK_MS);
    }
    let waited = fleet.at_ms - ended;
    assert!(waited < 6_000 + MAX_IDLE_MS, "it waited {waited} ms");
}

/// Returns how long a task on its last attempt waits for its start, with or without other work that
/// starts on each worker again and again.
fn wait_for_last_attempt(has_others: bool) -> u64 {
    let mut fleet = usual_fleet(2);
    let crashes = task("crashes", 0, 0);
    fleet.crashing.insert(crashes.clone());
    hand_in(&mut fleet, job("crashes", 2, vec![step(1, 1)]));
    while fleet.starts_of(&crashes) < 2 {
        fleet.pass(TICK_MS);
    }
    let mut ticks = 0_u64;
    let began = fleet.at_ms;
    while fleet.starts_of(&crashes) < 3 && fleet.at_ms - began < PATIENCE_MS {
        if has_others && ticks.is_multiple_of(5) {
            end_urgent(&mut fleet);
            let others = StepSpec {
                max_per_worker: Some(1),
                ..step(20, 1)
            };
            hand_in(&mut fleet, job(&format!("u{ticks}"), 0, vec![others]));
        }
        ticks += 1;
        fleet.pass(TICK_MS);
    }
    fleet.at_ms - began
}

/// What keeps such a task away from fresh starts must not do so for longer than it may stand still.
#[test]
fn fresh_starts_hold_no_last_attempt_back_for_long() {
    let alone = wait_for_last_attempt(false);
    let beside_others = wait_for_last_attempt(true);
    let longer = beside_others - alone;
    assert!(
        longer < MAX_IDLE_MS,
        "it waited {longer} ms longer, {alone} ms alone"
    );
}

/// A gang that no start window takes keeps all later work from starting too.
#[test]
fn urgent_starts_and_a_wide_gang_hold_no_loose_job_back_for_long() {
    let waited = wait_beside_urgent_starts("small", true);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

#[test]
fn urgent_starts_alone_hold_no_loose_job_back() {
    let waited = wait_beside_urgent_starts("small", false);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}
