//! How recent a copy of stored data is known to be.

use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_core::batch::Freshness;

const LIMIT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_copy_that_was_never_confirmed_is_not_relied_on() {
    let freshness = Freshness::default();
    assert_eq!(freshness.age(at(0)), None);
    assert!(!freshness.is_within(LIMIT, at(0)));
}

#[test]
fn the_age_counts_from_when_the_request_was_sent() {
    let mut freshness = Freshness::default();
    freshness.confirm(at(1_000));
    assert_eq!(freshness.age(at(2_500)), Some(Duration::from_millis(1_500)));
    assert!(freshness.is_within(LIMIT, at(3_000)));
    assert!(!freshness.is_within(LIMIT, at(3_001)));
}

#[test]
fn an_answer_that_comes_late_does_not_make_the_copy_older() {
    let mut freshness = Freshness::default();
    freshness.confirm(at(5_000));
    freshness.confirm(at(1_000));
    assert_eq!(freshness.age(at(5_000)), Some(Duration::ZERO));
}

#[test]
fn a_time_before_the_process_began_is_none() {
    assert_eq!(at(500).checked_sub(Duration::from_millis(501)), None);
    assert_eq!(at(500).checked_sub(Duration::from_millis(500)), Some(at(0)));
}
