//! Workers whose clocks are slow, after they have idled.
//!
//! A deadline was computed from a worker's clock that had been read 88 s before, as if it went at full
//! speed. A late renewal then held the lease 1.8 s longer than the planner waited for it, and the task ran
//! twice (`review/1`, docs/incidents/slow-clock.md).

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::network::Trouble;
use super::worker::Forgetting;
use super::world::{Habits, World};
use super::{DAY, Day, ROUGH_SEEDS, assert_kept, check, seeds, single};

/// How fast the slowest clock goes that a worker may have, in percent.
const SLOWEST_PERCENT: u64 = 98;
/// Long enough for a slow clock to fall behind by more than a message's margin, in milliseconds.
const IDLE_MS: u64 = 88_000;

/// How long the store may take to write a placement, in milliseconds.
const SLOW_WRITE_MS: u64 = 600;
/// How long a start may take beyond that, with a report before it, in milliseconds.
const START_MS: u64 = 150;

fn idle(workers: usize, clock_percent: u64, idle_ms: u64) -> World {
    let habits = Habits {
        forgetting: Forgetting::AtEachRequest,
        trouble: Trouble::default(),
        write_ms: 20,
        directory_ms: 20,
        clock_percent,
        clock_spread_percent: 0,
        has_new_ids: false,
    };
    let mut world = World::new(workers, habits, Pcg64Mcg::seed_from_u64(1));
    world.pass(idle_ms);
    world
}

/// Guards against a task that starts elsewhere while a late renewal still holds its lease.
#[test]
fn a_late_renewal_at_a_worker_that_idled_does_not_outlast_its_lease() {
    for late_ms in (500..6_000).step_by(500) {
        let mut world = idle(3, SLOWEST_PERCENT, IDLE_MS);
        world.delays_renewal_ms = Some(late_ms);
        world.submit(single("j", 7_400));
        world.pass(100);
        let first = world
            .lives
            .iter()
            .find(|(_, life)| !life.running.is_empty());
        let first = first.expect("the task runs").0.clone();
        let at_ms = world.at_ms;
        world.cut_at(&first, at_ms + late_ms + 50, 10_000);
        world.pass(40_000);
        assert_kept(&world);
    }
}

/// Guards against a start that is carried out late and outlasts the lease that the planner counts on.
#[test]
fn a_late_start_at_a_worker_that_idled_does_not_outlast_its_lease() {
    for late_ms in (500..4_000).step_by(250) {
        let mut world = idle(3, SLOWEST_PERCENT, IDLE_MS);
        world.delays_start_ms = Some(late_ms);
        world.submit(single("j", 7_400));
        world.pass(60_000);
        assert_kept(&world);
    }
}

/// Guards against deadlines that are too early for a worker that was prompt: its start would be refused.
#[test]
fn a_worker_that_idled_for_an_hour_takes_a_start_at_once() {
    for clock_percent in [SLOWEST_PERCENT, 100] {
        let mut world = idle(1, clock_percent, 3_600_000);
        world.submit(single("j", 7_400));
        world.pass(7_700);
        assert_kept(&world);
        assert!(world.story("Refused").is_empty(), "{}", world.story("j"));
    }
}

/// Guards against calls to idle workers: thousands of them would take the planner's link.
#[test]
fn idle_workers_are_not_asked() {
    let mut world = idle(8, SLOWEST_PERCENT, 10_000);
    let before = world.calls_sent();
    world.pass(600_000);
    assert_eq!(world.calls_sent(), before);
}

#[test]
fn work_runs_once_and_ends_where_clocks_are_slow() {
    let day = Day {
        reaches_unmet: false,
        is_rough: true,
        idle_ms: IDLE_MS,
        clock_percent: SLOWEST_PERCENT,
        ..DAY
    };
    check(seeds(ROUGH_SEEDS), day);
}

/// A start waited for up to 2 s: the value of its worker's clock was recent enough when the run was placed, too old
/// once that was stored, and the worker was idle, so that nobody asked for another.
#[test]
fn a_clock_value_that_grows_old_while_a_placement_is_stored_delays_no_start() {
    for idle_ms in (6_800..7_600).step_by(20) {
        let mut world = idle(1, 100, idle_ms);
        world.habits.write_ms = SLOW_WRITE_MS;
        let limit_ms = world.at_ms + SLOW_WRITE_MS + START_MS;
        world.submit(single("j", 7_400));
        while world.begun == 0 && world.at_ms < limit_ms {
            world.pass(10);
        }
        assert_eq!(world.begun, 1, "{}", world.story("j"));
    }
}
