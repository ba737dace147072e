//! What daemons of other versions make of what a superseded planner answers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use stairstall_core::Timestamp;
use stairstall_core::batch::LeaseEnds;

use super::{LeasesLeft, Superseded};

#[test]
fn the_answer_of_an_older_daemon_says_nothing_of_leases() {
    let answer: Superseded = serde_json::from_value(json!({"unstored": []})).expect("it is read");
    assert!(answer.lease_ends.is_none());
}

#[test]
fn an_older_daemon_finds_what_it_knows_in_the_answer() {
    let answer = Superseded {
        unstored: Vec::new(),
        lease_ends: Some(LeasesLeft::new(
            &LeaseEnds::default(),
            Timestamp::from_millis(0),
        )),
    };
    let answer = serde_json::to_value(answer).expect("it is written");
    assert_eq!(answer["unstored"], json!([]));
}

/// The clocks of two processes have nothing to do with each other.
#[test]
fn what_is_left_of_a_lease_arrives_as_a_time_on_the_clock_of_the_next_planner() {
    let (told_at, heard_at) = (Timestamp::from_millis(90_000), Timestamp::from_millis(700));
    let left = Duration::from_millis(2_500);
    let worker = |name: &str| name.parse().expect("an id");
    let ends = LeaseEnds {
        token: 7,
        until: BTreeMap::from([(worker("over"), told_at), (worker("lasts"), told_at + left)]),
    };
    let told = serde_json::to_string(&LeasesLeft::new(&ends, told_at)).expect("it is written");
    let heard: LeasesLeft = serde_json::from_str(&told).expect("it is read");
    let heard = heard.into_lease_ends(heard_at);
    assert_eq!(heard.token, 7);
    assert_eq!(heard.until[&worker("over")], heard_at);
    assert!(heard.until[&worker("lasts")] >= heard_at + left);
    assert!(heard.until[&worker("lasts")] <= heard_at + left + Duration::from_millis(1));
}
