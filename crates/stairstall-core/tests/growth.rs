//! What the planner does for each worker costs about the same however large the fleet is.
//!
//! Each test does the same to two fleets, one four times as large as the other. Work that takes the
//! same time for each worker takes four times as long there, work that looks at the whole fleet for
//! each worker sixteen times.
#![allow(dead_code, missing_docs, reason = "the harness is shared")]

use std::time::{Duration, Instant};

use stairstall_core::WorkerId;
use stairstall_core::batch::{ListedWorker, Resources};

#[path = "batch/harness.rs"]
mod harness;

use harness::{FakeWorker, Fleet, gang, job, worker};

/// Workers of the smaller fleet.
const FEW: usize = 2_500;
/// How many times as many workers the larger fleet has.
const GROWTH: usize = 4;
/// How many times as long the larger fleet may take: half way, in powers of two, between work that
/// grows with the fleet and work that grows with its square.
const MOST_GROWTH: f64 = 8.0;
/// Times that each size is done in a round.
const REPEATS: usize = 10;
/// Rounds of both sizes in turn, of which the shortest counts for each.
const ROUNDS: usize = 6;
/// Time within which all workers fall silent, and how often the planner ticks meanwhile.
const SILENCE_MS: u64 = 500;
const SILENCE_TICKS: usize = 25;
/// Workers in a rack.
const RACK: usize = 20;
/// Availability zones of the fleet.
const ZONES: usize = 5;

/// Processor time of this thread, so that other work on the machine does not count.
fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/thread-self/schedstat");
    let ns = stat.ok().and_then(|stat| {
        let ns = stat.split_whitespace().next()?;
        ns.parse().ok()
    });
    // Where the system does not tell, time on the clock has to do.
    ns.map_or_else(since_start, Duration::from_nanos)
}

fn since_start() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

fn listed(index: usize) -> ListedWorker {
    let name = format!("w{index}");
    let rack = format!("r{}", index / RACK);
    let zone = format!("z{}", index % ZONES);
    let mut listed = worker(&name, &rack, Resources::new(32_000, 64_000, 8));
    listed.zone = zone.parse().expect("an id");
    listed
}

/// A planner to which a directory lists workers.
fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(&[]);
    let now = fleet.now();
    for index in 0..workers {
        fleet.planner.handle_listed_worker(listed(index), now);
    }
    fleet
}

/// A planner all of whose workers have just answered.
fn answering_fleet(workers: usize) -> Fleet {
    let mut fleet = fleet(workers);
    let at_ms = fleet.at_ms;
    for index in 0..workers {
        let id = listed(index).id;
        fleet.workers.insert(id.clone(), FakeWorker::default());
        fleet.hold(&id);
        fleet.at_ms = at_ms;
    }
    fleet
}

/// Fails if `act` takes longer for each worker of the larger fleet, of what `prepare` makes for a
/// number of workers.
///
/// The system may count processor time in steps of 4 ms. One interval therefore spans all repeats:
/// a sum of short ones was off by half once. Of some rounds the shortest counts, since other work on
/// the machine only adds to it, through the caches also to processor time.
fn assert_grows_no_faster_than_the_fleet<T>(prepare: impl Fn(usize) -> T, act: impl Fn(&mut T)) {
    let once = |workers| {
        let mut prepared: Vec<T> = (0..REPEATS).map(|_| prepare(workers)).collect();
        let began = processor_time();
        prepared.iter_mut().for_each(&act);
        processor_time().saturating_sub(began)
    };
    let (mut few, mut many) = (Duration::MAX, Duration::MAX);
    for _ in 0..ROUNDS {
        few = few.min(once(FEW));
        many = many.min(once(FEW * GROWTH));
    }
    let growth = many.as_secs_f64() / few.as_secs_f64();
    println!("{FEW} workers {few:?}, {GROWTH} times as many {many:?}: {growth:.1} times as long");
    assert!(growth <= MOST_GROWTH, "{growth:.1} times as long");
}

fn ids(workers: usize) -> Vec<WorkerId> {
    (0..workers).map(|index| listed(index).id).collect()
}

/// Guards against a new planner that can't renew its lease while it loads the directory.
#[test]
fn the_directory_is_loaded_in_time_that_grows_with_the_fleet() {
    assert_grows_no_faster_than_the_fleet(
        |workers| (workers, Fleet::new(&[])),
        |(workers, loaded)| {
            *loaded = fleet(*workers);
            assert_eq!(loaded.planner.workers().count(), *workers);
        },
    );
}

/// Guards against a planner that is busy with the workers of a lost zone and neglects the others.
#[test]
fn workers_that_fall_silent_together_cost_time_that_grows_with_the_fleet() {
    assert_grows_no_faster_than_the_fleet(
        |workers| (ids(workers), answering_fleet(workers)),
        |(ids, fleet)| {
            for (number, id) in ids.iter().enumerate() {
                let now = fleet.now();
                fleet.planner.handle_report_failure(id, now);
                if number % (ids.len() / SILENCE_TICKS) == 0 {
                    fleet.at_ms += SILENCE_MS / SILENCE_TICKS as u64;
                    let now = fleet.now();
                    fleet.planner.tick(now);
                }
            }
        },
    );
}

/// Guards against a planner that is busy with the entries of workers that leave together.
#[test]
fn workers_that_leave_the_directory_cost_time_that_grows_with_the_fleet() {
    assert_grows_no_faster_than_the_fleet(
        |workers| (ids(workers), fleet(workers)),
        |(ids, fleet)| {
            let now = fleet.now();
            for id in ids.iter() {
                fleet.planner.handle_unlisted_worker(id, now);
            }
        },
    );
}

/// Guards against a planner that looks at all workers for each member of a wide gang, and falls
/// behind on a slow VM.
#[test]
fn a_wide_gang_is_placed_in_time_that_grows_with_the_fleet() {
    assert_grows_no_faster_than_the_fleet(
        |workers| {
            let members = u32::try_from(workers / 10).expect("a width");
            (members, answering_fleet(workers))
        },
        |(members, fleet)| {
            let now = fleet.now();
            let wide = job("wide", 0, vec![gang(*members, 1)]);
            fleet.planner.submit(wide, now);
            fleet.planner.tick(now);
            assert_eq!(fleet.planner.runs(), *members as usize);
        },
    );
}
