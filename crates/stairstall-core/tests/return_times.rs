//! When callers who were refused are told to come back.
#![allow(missing_docs)]

use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_core::admission::{RetryAfterBounds, RetryAfterSchedule};

const BOUNDS: RetryAfterBounds = RetryAfterBounds {
    shortest: Duration::from_secs(1),
    longest: Duration::from_secs(20),
};
const SPACING: Duration = Duration::from_millis(50);

#[test]
fn a_herd_comes_back_one_after_the_other_in_the_order_of_its_asking() {
    let mut returns = RetryAfterSchedule::new(BOUNDS, SPACING);
    let now = Timestamp::from_millis(1_000);
    let wait = Duration::from_secs(3);
    let times: Vec<Duration> = (0..100)
        .map(|number| returns.next(wait, now, f64::from(number % 10) / 10.0))
        .collect();
    assert!(times.is_sorted(), "{times:?}");
    assert!(times[0] >= wait && times[99] >= wait + SPACING * 99);
    // Who asks later, and would wait less, comes after those who asked before.
    let later = returns.next(Duration::ZERO, now + Duration::from_millis(10), 0.0);
    assert!(later + Duration::from_millis(10) > times[99]);
}

#[test]
fn times_stay_within_their_bounds_and_spread_below_the_longest() {
    let mut returns = RetryAfterSchedule::new(BOUNDS, SPACING);
    let now = Timestamp::from_millis(0);
    assert!(returns.next(Duration::ZERO, now, 0.5) >= BOUNDS.shortest);
    let long = Duration::from_secs(600);
    let times = [0.0, 0.3, 0.6, 1.0].map(|random| returns.next(long, now, random));
    assert!(times.iter().all(|time| *time <= BOUNDS.longest));
    assert!(times[0] >= times[3] + BOUNDS.longest / 5);
}

#[test]
fn a_quiet_while_ends_the_line() {
    let mut returns = RetryAfterSchedule::new(BOUNDS, SPACING);
    let start = Timestamp::from_millis(0);
    for _ in 0..50 {
        returns.next(Duration::from_secs(1), start, 0.0);
    }
    let later = start + Duration::from_secs(60);
    assert_eq!(
        returns.next(Duration::from_secs(1), later, 0.0),
        Duration::from_secs(1)
    );
}
