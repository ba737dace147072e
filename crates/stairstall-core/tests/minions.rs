//! Minions that start again under the name and address that they had.

use stairstall_core::protocol::VmState;
use stairstall_core::routing::{MinionInfo, MinionTable, Pick, RequestOutcome, SlotShares};
use stairstall_core::{ServiceId, Timestamp, VmId};

const SLOTS: u16 = 8;

fn listed(born_unix_ms: u64) -> Vec<MinionInfo> {
    vec![MinionInfo {
        id: "m1".parse().expect("an id"),
        address: "127.0.0.1:4000".parse().expect("an address"),
        service: service(),
        state: VmState::Live,
        born_unix_ms: Some(born_unix_ms),
    }]
}

fn service() -> ServiceId {
    "desk".parse().expect("an id")
}

fn table() -> MinionTable {
    let me: VmId = "vm-1".parse().expect("an id");
    let start = Timestamp::from_millis(0);
    let mut shares = SlotShares::new(me.clone(), start);
    shares.set_members(vec![me], start);
    let mut table = MinionTable::new(shares);
    table.set_minions(listed(1));
    table
}

fn now() -> Timestamp {
    Timestamp::from_millis(60_000)
}

fn pick(table: &mut MinionTable) -> Pick {
    table.pick(&service(), SLOTS, &[], now()).expect("a minion")
}

#[test]
fn a_new_life_has_not_said_that_it_leaves() {
    let mut table = table();
    let request = pick(&mut table);
    table.release(&request, RequestOutcome::Leaving, now());
    assert!(!table.serves(&service()));
    table.set_minions(listed(1));
    assert!(!table.serves(&service()), "it is the same life");
    table.set_minions(listed(2));
    assert!(table.serves(&service()));
}

#[test]
fn how_a_request_to_the_life_before_ended_says_nothing_of_the_new_one() {
    let mut table = table();
    let requests = [pick(&mut table), pick(&mut table)];
    table.set_minions(listed(2));
    for request in &requests {
        table.release(request, RequestOutcome::Leaving, now());
    }
    assert_eq!(table.in_flight(), 0, "its slots are free again");
    assert!(table.serves(&service()));
}
