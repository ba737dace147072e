//! How long work takes beside its estimates, learnt from a load like that of hard customers.
// A test may panic; `quickcheck` passes its inputs by value.
#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

use std::time::Duration;

use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::batch::{
    EstimatedWork, RunTime, RunTimeObservation, RunTimePolicy, RunTimes, StoredRatios,
};
use stairstall_core::{CustomerId, Timestamp};

const ESTIMATE: Duration = Duration::from_secs(4);

fn work(queue: &str) -> EstimatedWork<'_> {
    EstimatedWork {
        queue,
        customer: None,
        estimate: ESTIMATE,
    }
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::default() + Duration::from_secs_f64(seconds)
}

/// Tells whether a time is within a fifth of some times the estimate.
fn is_about(time: Duration, ratio: f64) -> bool {
    let found = time.as_secs_f64() / ESTIMATE.as_secs_f64();
    (ratio / 1.2..ratio * 1.2).contains(&found)
}

fn is_near(one: Duration, two: Duration) -> bool {
    one.abs_diff(two) < one / 10
}

/// Draws how many times its estimate a task takes: off by half and more, a few seven times.
fn draw(random: &mut Pcg64Mcg) -> f64 {
    if random.random_bool(0.03) {
        return 7.0;
    }
    let off: f64 = random.random_range(-0.7..0.7);
    1.8 * off.exp()
}

#[test]
fn the_middle_and_the_tail_of_a_queue_are_learnt_for_any_estimate() {
    let mut times = RunTimes::new(RunTimePolicy::default());
    let mut random = Pcg64Mcg::seed_from_u64(7);
    for number in 0..400 {
        let took = ESTIMATE.mul_f64(draw(&mut random));
        times.record_completed(&work("drafts"), took, at(f64::from(number)));
    }
    let learnt = times.run_time(&work("drafts"), at(400.0));
    assert!(is_about(learnt.typical, 1.8), "{learnt:?}");
    assert!(is_about(learnt.p90, 3.25), "{learnt:?}");
    let longer = EstimatedWork {
        estimate: ESTIMATE * 5,
        ..work("drafts")
    };
    assert_eq!(
        times.run_time(&longer, at(400.0)).typical,
        learnt.typical * 5
    );
    let other = times.run_time(&work("checks"), at(400.0));
    assert_eq!(other, RunTime::from_estimate(ESTIMATE), "another queue");
}

#[test]
fn the_estimate_stands_until_enough_was_seen_and_where_learning_is_off() {
    let off = RunTimePolicy {
        enabled: false,
        ..RunTimePolicy::default()
    };
    for (policy, runs, is_learnt) in [
        (RunTimePolicy::default(), 7, false),
        (RunTimePolicy::default(), 8, true),
        (off, 100, false),
    ] {
        let mut times = RunTimes::new(policy);
        for _ in 0..runs {
            times.record_completed(&work("drafts"), ESTIMATE * 2, at(1.0));
        }
        let learnt = times.run_time(&work("drafts"), at(1.0));
        assert_eq!(learnt != RunTime::from_estimate(ESTIMATE), is_learnt);
    }
}

#[test]
fn work_that_takes_as_long_as_estimated_is_told_as_that() {
    let mut times = RunTimes::new(RunTimePolicy::default());
    for _ in 0..50 {
        times.record_completed(&work("drafts"), ESTIMATE, at(1.0));
    }
    let learnt = times.run_time(&work("drafts"), at(1.0));
    assert_eq!(learnt.typical, ESTIMATE);
    assert!(is_about(learnt.p90, 1.0), "{learnt:?}");
}

/// Sixteen gangs start at once, half take 0.5 times the estimate, half 4 times; looked at when only the
/// short ones have ended.
fn after_the_short_ones(policy: RunTimePolicy) -> RunTime {
    let mut times = RunTimes::new(policy);
    let now = at(5.0);
    for _ in 0..8 {
        times.record_completed(&work("drafts"), ESTIMATE / 2, at(2.0));
    }
    let unfinished = (0..8).map(|_| {
        (
            work("drafts"),
            RunTimeObservation::AtLeast(Duration::from_secs(5)),
        )
    });
    if times.is_sampling_due(now) {
        times.sample_running(unfinished, now);
    }
    times.run_time(&work("drafts"), now)
}

#[test]
fn what_still_runs_counts_before_it_ends() {
    let learnt = after_the_short_ones(RunTimePolicy::default());
    assert!(learnt.p90 > ESTIMATE, "{learnt:?}");
    let of_ended = after_the_short_ones(RunTimePolicy {
        counts_unfinished: false,
        ..RunTimePolicy::default()
    });
    assert!(of_ended.p90 < ESTIMATE, "only the short ones: {of_ended:?}");
}

#[test]
fn the_pace_that_a_run_shows_tells_its_whole_time() {
    let mut times = RunTimes::new(RunTimePolicy::default());
    let shows = RunTimeObservation::Projected(ESTIMATE * 4);
    let running = (0..10).map(|_| (work("drafts"), shows));
    times.sample_running(running, at(1.0));
    assert!(is_about(
        times.run_time(&work("drafts"), at(1.0)).typical,
        4.0
    ));
    times.sample_running(std::iter::empty(), at(2.0));
    let learnt = times.run_time(&work("drafts"), at(2.0));
    assert_eq!(
        learnt,
        RunTime::from_estimate(ESTIMATE),
        "none of it runs on"
    );
}

#[test]
fn what_is_stopped_for_others_while_it_is_long_is_not_forgotten() {
    let mut times = RunTimes::new(RunTimePolicy::default());
    for _ in 0..20 {
        times.record_completed(&work("drafts"), ESTIMATE / 2, at(1.0));
        let so_far = RunTimeObservation::AtLeast(ESTIMATE * 2);
        times.record_stopped(&work("drafts"), so_far, at(1.0));
    }
    let learnt = times.run_time(&work("drafts"), at(1.0));
    assert!(learnt.p90 >= ESTIMATE * 2, "{learnt:?}");
}

#[test]
fn a_customer_is_told_apart_once_enough_of_its_own_was_seen() {
    let mut times = RunTimes::new(RunTimePolicy::default());
    let [fast, slow]: [CustomerId; 2] = ["fast", "slow"].map(|name| name.parse().unwrap());
    let of = |customer| EstimatedWork {
        customer: Some(customer),
        ..work("drafts")
    };
    for _ in 0..40 {
        times.record_completed(&of(&fast), ESTIMATE / 2, at(1.0));
    }
    for _ in 0..10 {
        times.record_completed(&of(&slow), ESTIMATE * 4, at(1.0));
    }
    let of_all = times.run_time(&work("drafts"), at(1.0));
    assert_eq!(
        times.run_time(&of(&slow), at(1.0)),
        of_all,
        "too little of its own"
    );
    for _ in 0..25 {
        times.record_completed(&of(&slow), ESTIMATE * 4, at(1.0));
    }
    assert!(is_about(times.run_time(&of(&slow), at(1.0)).typical, 4.0));
    assert!(is_about(times.run_time(&of(&fast), at(1.0)).typical, 0.5));
}

#[test]
fn what_was_seen_fades_with_new_runs_and_with_time() {
    let mut times = RunTimes::new(RunTimePolicy::default());
    for _ in 0..500 {
        times.record_completed(&work("drafts"), ESTIMATE * 4, at(1.0));
    }
    for _ in 0..300 {
        times.record_completed(&work("drafts"), ESTIMATE / 2, at(2.0));
    }
    let learnt = times.run_time(&work("drafts"), at(2.0));
    assert!(is_about(learnt.typical, 0.5), "{learnt:?}");
    let days_later = at(10.0 * 86_400.0);
    let faded = times.run_time(&work("drafts"), days_later);
    assert_eq!(faded, RunTime::from_estimate(ESTIMATE));
}

#[test]
fn a_later_planner_that_reads_the_record_tells_the_same_at_once() {
    let policy = RunTimePolicy::default();
    let mut times = RunTimes::new(policy);
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let customer: CustomerId = "mesa".parse().unwrap();
    let works = [
        work("drafts"),
        EstimatedWork {
            customer: Some(&customer),
            ..work("checks")
        },
    ];
    for number in 0..300 {
        let took = ESTIMATE.mul_f64(draw(&mut random));
        times.record_completed(&works[number % 2], took, at(50.0));
    }
    let kept = times.to_stored(at(60.0));
    let mut next = RunTimes::new(policy);
    next.restore(&kept, Duration::from_secs(2), at(3.0));
    for work in &works {
        let (before, after) = (times.run_time(work, at(60.0)), next.run_time(work, at(3.0)));
        assert!(
            is_near(before.typical, after.typical),
            "{before:?} {after:?}"
        );
        assert!(is_near(before.p90, after.p90), "{before:?} {after:?}");
        assert_ne!(after, RunTime::from_estimate(ESTIMATE));
    }
    let mut long_after = RunTimes::new(policy);
    long_after.restore(&kept, Duration::from_secs(10 * 86_400), at(3.0));
    assert_eq!(
        long_after.run_time(&works[0], at(3.0)),
        RunTime::from_estimate(ESTIMATE)
    );
}

#[test]
fn what_is_known_is_bounded_in_number_however_many_queues_and_customers_there_are() {
    let mut times = RunTimes::new(RunTimePolicy {
        known_from: 1,
        customer_known_from: 1,
        ..RunTimePolicy::default()
    });
    for number in 0..5_000 {
        let queue = format!("queue-{}", number % 100);
        let customer: CustomerId = format!("customer-{number}").parse().unwrap();
        let work = EstimatedWork {
            customer: Some(&customer),
            ..work(&queue)
        };
        times.record_completed(&work, ESTIMATE, at(1.0));
    }
    let kept = times.to_stored(at(1.0));
    assert!(kept.len() <= 128, "{} are written down", kept.len());
    let bytes = serde_json::to_vec(&kept).unwrap().len();
    println!("{bytes} bytes before they are deflated");
    assert!(bytes < 64 * 1024, "{bytes} bytes");
}

#[test]
fn a_queue_that_is_busy_stays_while_many_others_come_and_go() {
    let mut times = RunTimes::new(RunTimePolicy::default());
    for _ in 0..100 {
        times.record_completed(&work("drafts"), ESTIMATE * 2, at(1.0));
    }
    for number in 0..500 {
        times.record_completed(&work(&format!("queue-{number}")), ESTIMATE, at(2.0));
    }
    assert!(is_about(
        times.run_time(&work("drafts"), at(2.0)).typical,
        2.0
    ));
}

/// Tries a property with several seeds.
fn check<A: quickcheck::Testable + Copy>(property: A) {
    for seed in 1..=5 {
        let generator = Gen::from_size_and_seed(60, seed);
        QuickCheck::new()
            .rng(generator)
            .tests(200)
            .quickcheck(property);
    }
}

/// What was seen of some work, from numbers of any size.
fn seen(events: &[(u8, u32)]) -> RunTimes {
    let mut times = RunTimes::new(RunTimePolicy {
        known_from: 2,
        ..RunTimePolicy::default()
    });
    for (kind, number) in events {
        let time = Duration::from_millis(u64::from(*number));
        let work = work("drafts");
        match kind % 5 {
            0 | 1 => times.record_completed(&work, time, at(1.0)),
            2 => times.record_stopped(&work, RunTimeObservation::AtLeast(time), at(1.0)),
            3 => times.sample_running([(work, RunTimeObservation::AtLeast(time))], at(2.0)),
            _ => times.sample_running([(work, RunTimeObservation::Projected(time))], at(3.0)),
        }
    }
    times
}

#[test]
fn the_long_time_is_never_below_the_typical_one_and_both_grow_with_the_estimate() {
    fn holds(events: Vec<(u8, u32)>, small: u32, more: u32) -> bool {
        let times = seen(&events);
        let of = |ms: u64| {
            let estimate = Duration::from_millis(ms);
            times.run_time(
                &EstimatedWork {
                    estimate,
                    ..work("drafts")
                },
                at(4.0),
            )
        };
        let shorter = of(small.into());
        let longer = of(u64::from(small) + u64::from(more));
        let is_ordered = shorter.typical <= shorter.p90;
        is_ordered && shorter.typical <= longer.typical && shorter.p90 <= longer.p90
    }
    check(holds as fn(Vec<(u8, u32)>, u32, u32) -> bool);
}

#[test]
fn whatever_a_record_says_times_stay_within_the_ratios_that_are_told_apart() {
    fn holds(whole: Vec<u16>, cut: Vec<u16>, age_s: u32) -> bool {
        let kept = StoredRatios {
            queue: "drafts".to_owned(),
            customer: None,
            complete: whole,
            censored: cut,
        };
        let mut times = RunTimes::new(RunTimePolicy::default());
        times.restore(&[kept], Duration::from_secs(age_s.into()), at(1.0));
        let learnt = times.run_time(&work("drafts"), at(1.0));
        learnt.typical <= learnt.p90 && learnt.p90 <= ESTIMATE * 16
    }
    check(holds as fn(Vec<u16>, Vec<u16>, u32) -> bool);
}
