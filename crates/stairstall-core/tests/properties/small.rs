//! Queues, shares, blocks and selectors.

use std::collections::BTreeMap;
use std::time::Duration;

use quickcheck::TestResult;
use stairstall_core::admission::{FairQueue, Flow};
use stairstall_core::placement::{Block, Fit, FreeCapacity, Shape};
use stairstall_core::routing::SlotShares;
use stairstall_core::{Selector, Timestamp, VmId};

use super::{check, name};

#[test]
fn shares_of_one_list_never_exceed_the_slots() {
    fn shares_of_one_list_never_exceed_the_slots(count: u8, slots: u8, minion: u16) -> bool {
        let count = count % 12 + 1;
        let members: Vec<VmId> = (0..count).map(|i| name(&format!("vm-{i}"))).collect();
        let minion = name(&format!("minion-{minion}"));
        let later = Timestamp::from_millis(10_000);
        let total: u32 = members
            .iter()
            .map(|me| {
                let mut shares = SlotShares::new(me.clone(), Timestamp::default());
                shares.set_members(members.clone(), Timestamp::default());
                u32::from(shares.share_of(&minion, u16::from(slots), later))
            })
            .sum();
        total == u32::from(slots)
    }
    check(
        10,
        shares_of_one_list_never_exceed_the_slots as fn(u8, u8, u16) -> bool,
    );
}

#[test]
fn shares_hold_while_lists_differ_for_less_than_the_delay() {
    fn shares_hold_while_lists_differ_for_less_than_the_delay(
        before: u8,
        after: u8,
        lag_ms: u16,
        minion: u16,
    ) -> TestResult {
        // Daemons hear of a change of the list at different times.
        let (before, after) = (before % 6 + 1, after % 6 + 1);
        let lag = u64::from(lag_ms) % 3_000;
        let list =
            |count: u8| -> Vec<VmId> { (0..count).map(|i| name(&format!("vm-{i}"))).collect() };
        let minion = name(&format!("minion-{minion}"));
        let all = before.max(after);
        let mut shares: Vec<SlotShares> = list(all)
            .into_iter()
            .map(|me| {
                let mut shares = SlotShares::new(me, Timestamp::default());
                shares.set_members(list(before), Timestamp::default());
                shares
            })
            .collect();
        let change = Timestamp::from_millis(20_000);
        for millis in (0..12_000).step_by(50) {
            let now = change + Duration::from_millis(millis);
            for (index, shares) in shares.iter_mut().enumerate() {
                let heard = change + Duration::from_millis(lag * index as u64 / u64::from(all));
                if now >= heard {
                    shares.set_members(list(after), now);
                }
            }
            let total: u16 = shares.iter().map(|s| s.share_of(&minion, 8, now)).sum();
            if total > 8 {
                return TestResult::error(format!("{total} slots at {millis} ms"));
            }
        }
        TestResult::passed()
    }
    check(
        10,
        shares_hold_while_lists_differ_for_less_than_the_delay
            as fn(u8, u8, u16, u16) -> TestResult,
    );
}

#[test]
fn waiting_flows_are_served_by_weight() {
    fn waiting_flows_are_served_by_weight(weights: Vec<u8>) -> TestResult {
        let weights: Vec<u32> = weights
            .into_iter()
            .take(5)
            .map(|w| u32::from(w % 9) + 1)
            .collect();
        if weights.len() < 2 {
            return TestResult::discard();
        }
        let total: u32 = weights.iter().sum();
        let rounds = 20;
        let mut queue = FairQueue::new(100_000, 100_000);
        let now = Timestamp::default();
        let deadline = now + Duration::from_secs(3_600);
        let mut owners = BTreeMap::new();
        for (index, weight) in weights.iter().enumerate() {
            let flow = Flow::new(name(&format!("class-{index}")), name("customer"));
            for _ in 0..weight * rounds * 2 {
                let ticket = queue.push(flow.clone(), *weight, now, deadline).unwrap();
                owners.insert(ticket, index);
            }
        }
        let mut served = vec![0_u32; weights.len()];
        for _ in 0..total * rounds {
            served[owners[&queue.pop(now).unwrap()]] += 1;
        }
        let fair = served
            .iter()
            .zip(&weights)
            .all(|(served, weight)| served.abs_diff(weight * rounds) <= 2);
        if fair {
            TestResult::passed()
        } else {
            TestResult::error(format!("{weights:?}: {served:?}"))
        }
    }
    check(
        10,
        waiting_flows_are_served_by_weight as fn(Vec<u8>) -> TestResult,
    );
}

#[test]
fn blocks_are_free_whole_and_adjacent() {
    fn blocks_are_free_whole_and_adjacent(masks: Vec<u8>, members: u8, size: u8) -> bool {
        let rooms: Vec<FreeCapacity> = masks
            .iter()
            .take(32)
            .enumerate()
            .map(|(i, mask)| FreeCapacity {
                mask: u64::from(*mask),
                processors: 64,
                memory_mb: 1 << 20,
                rack: u32::try_from(i / 8).unwrap(),
                position: u16::try_from(i % 8).unwrap(),
                ..FreeCapacity::default()
            })
            .collect();
        let shape = Shape::new(u16::from(members % 8) + 1, size % 8 + 1).adjacent();
        [Fit::First, Fit::Best, Fit::Aligned]
            .into_iter()
            .all(|fit| {
                let Some(block) = Block::find(&rooms, &shape, fit) else {
                    return true;
                };
                let mut left: Vec<u64> = rooms.iter().map(|r| r.mask).collect();
                let whole = block.cells.len() == usize::from(shape.members)
                    && block.cells.iter().all(|cell| {
                        let free = left[cell.worker] & cell.mask == cell.mask;
                        left[cell.worker] &= !cell.mask;
                        free && cell.mask.count_ones() == u32::from(shape.accelerators)
                    });
                let near = block
                    .cells
                    .windows(2)
                    .all(|pair| pair[1].worker - pair[0].worker <= 1);
                let one_rack = block
                    .cells
                    .windows(2)
                    .all(|pair| rooms[pair[0].worker].rack == rooms[pair[1].worker].rack);
                let fits_one_rack = u32::from(shape.members)
                    <= 8 * (8 / u32::from(shape.accelerators.next_power_of_two()));
                whole && near && (one_rack || !fits_one_rack)
            })
    }
    check(
        10,
        blocks_are_free_whole_and_adjacent as fn(Vec<u8>, u8, u8) -> bool,
    );
}

#[test]
fn selectors_are_read_as_they_are_written() {
    fn selectors_are_read_as_they_are_written(name: u8, values: Vec<u8>, other: u8) -> bool {
        let values: Vec<String> = values.iter().take(5).map(|v| format!("v{v}")).collect();
        let text = match values.as_slice() {
            [] => format!("n{name},o{other}!=x"),
            [one] => format!("n{name}={one},o{other}"),
            several => format!("n{name} in ({}),o{other}!=x", several.join(",")),
        };
        let selector: Selector = text.parse().unwrap();
        selector.to_string() == text && selector.to_string().parse() == Ok(selector)
    }
    check(
        10,
        selectors_are_read_as_they_are_written as fn(u8, Vec<u8>, u8) -> bool,
    );
}
