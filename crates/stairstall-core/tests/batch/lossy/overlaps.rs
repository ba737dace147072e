//! No run of a task begins while an earlier one may be at work, whatever is lost, late or away.
//!
//! Everything that ends a wait early can run a task twice: the wait for the lease of a worker that is silent,
//! for a start without an answer, for the report of a run that an earlier planner placed. The days here have cuts,
//! crashes, calls that are lost or late, changes of planner around all of these, outages of the store, and
//! clocks that differ, with workers that keep their IDs and with workers that get new ones.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::batch::StepSpec;

use super::network::Trouble;
use super::worker::Forgetting;
use super::world::{Habits, World};
use super::{BUSY_MS, job, random_steps, seeds};

const WORKERS: usize = 24;
/// Highest pause between two jobs, in milliseconds.
const PAUSE_MS: u64 = 900;
/// How long all is well after the work was handed in, in milliseconds.
const CALM_MS: u64 = 20_000;
/// Seeds that are played where none are named.
const SEEDS: u64 = 40;
/// How fast the slowest clock goes that a worker may have, in percent.
const SLOWEST_PERCENT: u64 = 98;
/// Between the slowest clock and one that is as much too fast, in percent.
const CLOCK_SPREAD_PERCENT: u64 = 4;
/// How long work takes that outlasts a lease, in milliseconds.
const LONG_WORK_MS: std::ops::Range<u64> = 6_000..16_000;
/// Number of troubles that come in one day.
const TROUBLES: usize = 14;
/// Each day has to begin at least so many runs, so that it shows something.
const MIN_BEGUN: u64 = 100;

/// Returns the steps of a job. The work of half of the jobs outlasts a lease: it is still going on when the lease of
/// a worker that is cut off ends.
fn steps(random: &mut Pcg64Mcg) -> Vec<StepSpec> {
    let mut steps = random_steps(random);
    if random.random_range(0..2) == 0 {
        for step in &mut steps {
            step.estimate_ms = random.random_range(LONG_WORK_MS);
        }
    }
    steps
}

/// Lets some workers fall silent at a time, for shorter and longer than their leases. Some of them crash
/// meanwhile.
fn cut_some(world: &mut World, at_ms: u64) {
    for id in world.worker_ids() {
        if world.random.random_range(0..4) > 0 {
            continue;
        }
        let for_ms = world.random.random_range(300..11_000);
        world.cut_at(&id, at_ms, for_ms);
        if world.random.random_range(0..4) == 0 {
            let crash_ms = at_ms + world.random.random_range(0..for_ms);
            let away_ms = world.random.random_range(200..5_000);
            world.crash_at(&id, crash_ms, away_ms);
        }
    }
}

fn crash_some(world: &mut World, at_ms: u64) {
    for id in world.worker_ids() {
        if world.random.random_range(0..5) == 0 {
            let away_ms = world.random.random_range(200..6_000);
            let crash_ms = at_ms + world.random.random_range(0..1_500);
            world.crash_at(&id, crash_ms, away_ms);
        }
    }
}

/// Draws what goes wrong in a day. Half of all troubles have a change of planner around them, if planners change.
fn plan_troubles(world: &mut World, changes_planner: bool) {
    for _ in 0..TROUBLES {
        let at_ms = world.at_ms + world.random.random_range(2_000..BUSY_MS);
        match world.random.random_range(0..4) {
            0 => cut_some(world, at_ms),
            1 => crash_some(world, at_ms),
            2 if changes_planner => {
                let for_ms = world.random.random_range(200..8_000);
                world.store_down_at(at_ms, for_ms);
            }
            _ => {}
        }
        if changes_planner && world.random.random_range(0..2) == 0 {
            let after_ms = world.random.random_range(0..8_000);
            world.succeed_at(at_ms + after_ms);
        }
    }
}

fn random_trouble(random: &mut Pcg64Mcg) -> Trouble {
    let mut often = || [0, 20, 60][random.random_range(0..3)];
    Trouble {
        lost: often(),
        unanswered: often(),
        late: often(),
        late_ms: 12_000,
    }
}

/// Plays the day of a seed.
fn play(seed: u64) -> World {
    let changes_planner = !seed.is_multiple_of(4);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let habits = Habits {
        forgetting: Forgetting::ALL[random.random_range(0..3)],
        trouble: random_trouble(&mut random),
        write_ms: [20, 300, 1_500][random.random_range(0..3)],
        directory_ms: [20, 600, 3_000][random.random_range(0..3)],
        clock_percent: SLOWEST_PERCENT,
        clock_spread_percent: CLOCK_SPREAD_PERCENT,
        has_new_ids: seed % 4 == 1,
    };
    let mut world = World::new(WORKERS, habits, random);
    // A late call of an earlier planner can reach a life that answered nobody (docs/OPEN.md, 35).
    world.reaches_unmet = !changes_planner;
    let idle_ms = [0, 88_000][world.random.random_range(0..2)];
    world.pass(idle_ms);
    let over_ms = world.at_ms + BUSY_MS;
    plan_troubles(&mut world, changes_planner);
    let mut count = 0;
    while world.at_ms < over_ms {
        let steps = steps(&mut world.random);
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
fn no_run_begins_while_an_earlier_one_may_be_at_work() {
    let mut faults = Vec::new();
    let mut begun = 0;
    for seed in seeds(SEEDS) {
        let world = play(seed);
        begun += world.begun;
        assert!(
            world.begun >= MIN_BEGUN,
            "seed {seed}: {} runs",
            world.begun
        );
        for what in &world.broken {
            let of = what.split(' ').next().unwrap_or_default();
            faults.push(format!("seed {seed}: {what}\n{}", world.story(of)));
        }
    }
    println!("{begun} runs began");
    assert!(faults.is_empty(), "{}", faults.join("\n\n"));
}
