//! Places while the store is slow.

use stairstall_core::batch::OrderKind;

use crate::harness::{Fleet, job, step, task};

#[test]
fn a_place_is_kept_for_as_long_as_its_record_takes() {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    fleet.writes = false;
    fleet.submit(job("urgent", 0, vec![step(1, 8)]));
    fleet.pass(3_000);
    assert!(fleet.given.is_empty(), "no start before the record");
    fleet.writes = true;
    fleet.pass(100);
    let key = task("urgent", 0, 0);
    assert!(fleet.place_of(&key).is_some());
    let runs: Vec<u32> = fleet.given.iter().map(|order| order.run).collect();
    assert_eq!(runs, [1], "its first place was kept");
    assert!(matches!(fleet.given[0].kind, OrderKind::Start { .. }));
}
