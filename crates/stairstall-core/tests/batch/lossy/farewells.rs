//! Workers that leave just after an end, while their last report is late, lost or broken off.
//!
//! An end counts as taken note of soon after it was listed, whatever the planner has read by then. A worker that
//! leaves says nothing more: what it listed last must be waited for before its work starts elsewhere.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::network::Trouble;
use super::worker::Forgetting;
use super::world::{Farewell, Habits, World};
use super::{faults, job, random_steps, seeds, single};
use crate::harness::id;

const WORKERS: usize = 48;
/// When a tenth of the workers says that it leaves, in milliseconds.
const WAVES_AT_MS: [u64; 6] = [3_000, 7_000, 11_000, 15_000, 19_000, 23_000];
/// How long work is handed in, in milliseconds.
const BUSY_MS: u64 = 27_000;
/// How long all is well after that, in milliseconds.
const CALM_MS: u64 = 45_000;
/// How long after one job the next is handed in at most, in milliseconds.
const PAUSE_MS: u64 = 500;
/// How late the last report of a worker may be, in milliseconds.
const LATE_MS: u64 = 450;
/// Seeds that are played where none are named.
const SEEDS: u64 = 60;

fn habits(directory_ms: u64) -> Habits {
    Habits {
        forgetting: Forgetting::AtEachRequest,
        trouble: Trouble::default(),
        write_ms: 20,
        directory_ms,
        clock_percent: 100,
        clock_spread_percent: 0,
        has_new_ids: false,
    }
}

fn random_farewell(random: &mut Pcg64Mcg) -> Farewell {
    match random.random_range(0..6) {
        0 => Farewell::InTime,
        1 => Farewell::Lost,
        2 => Farewell::Broken,
        _ => Farewell::Late(LATE_MS),
    }
}

/// Lets a tenth of the workers leave at about the same time, again and again.
fn leave_in_waves(world: &mut World) {
    let ids = world.worker_ids();
    let of_waves = ids.chunks(ids.len() / 10);
    for (at_ms, leaving) in WAVES_AT_MS.into_iter().zip(of_waves) {
        let within_ms = world.random.random_range(1_000..5_000);
        for id in leaving {
            let farewell = random_farewell(&mut world.random);
            let after_ms = world.random.random_range(0..200);
            world.leave_at(id, at_ms + after_ms, within_ms, farewell);
        }
    }
}

/// Plays the day of a seed.
fn play(seed: u64) -> World {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let directory_ms = [20, 200, 600][random.random_range(0..3)];
    let mut world = World::new(WORKERS, habits(directory_ms), random);
    if seed.is_multiple_of(3) {
        world.habits.trouble = Trouble {
            lost: 20,
            unanswered: 20,
            ..Trouble::default()
        };
    }
    leave_in_waves(&mut world);
    let mut count = 0;
    while world.at_ms < BUSY_MS {
        let steps = random_steps(&mut world.random);
        let priority = world.random.random_range(0..3);
        world.submit(job(&format!("j{count}"), priority, steps));
        count += 1;
        let pause_ms = world.random.random_range(1..=PAUSE_MS);
        world.pass(pause_ms);
    }
    world.habits.trouble = Trouble::default();
    world.pass(CALM_MS);
    world
}

#[test]
fn what_ended_is_not_started_again_because_its_worker_has_left() {
    let faults: Vec<String> = seeds(SEEDS)
        .flat_map(|seed| faults(seed, &play(seed)))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n\n"));
}

/// A stop that finds nobody casts doubt on the worker while its report is on its way.
#[test]
fn the_last_report_of_a_worker_that_has_left_is_waited_for() {
    for seed in 0..20 {
        let mut world = World::new(2, habits(20), Pcg64Mcg::seed_from_u64(seed));
        world.pass(100);
        world.submit(single("j", 3_000));
        world.pass(20);
        world.submit(single("k", 3_000));
        let leaving = world.worker_ids().remove(0);
        world.leave_at(&leaving, 2_500, 920, Farewell::Late(LATE_MS));
        while world.lives.contains_key(&leaving) {
            world.pass(10);
        }
        let now = world.now();
        world.planner.cancel(&id("k"), now);
        world.pass(10_000);
        assert!(
            world.broken.is_empty(),
            "{:?}\n{}",
            world.broken,
            world.story("")
        );
    }
}
