//! Lease, fencing and the job's record: two holders, freezes, one not-repeatable job.

use std::time::Duration;

use stairstall_core::{Lease, Timestamp};

use super::explore::{Explored, assert_breaks, assert_holds, explore};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// The worker does not look at the token.
    NoToken,
    /// A holder starts the job without recording it first.
    NoRecord,
    /// A successor does not ask the worker before it decides.
    NoReadBack,
}

const TTL: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_secs(2);
const END: Timestamp = Timestamp::from_millis(16_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Record {
    Accepted,
    Placed(u8),
    /// Ended without a proof that it did not run.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    /// Token of its tenure, and its own view of the lease.
    tenure: Option<(u8, Lease)>,
    fenced_worker: bool,
    frozen: bool,
    /// The record as it last read it.
    seen: Option<Record>,
    /// The start order that is on its way, with the token it carries.
    order: Option<u8>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    now: Timestamp,
    /// Who holds the store's lease, until when, and the next token.
    granted: Option<(usize, Timestamp)>,
    next_token: u8,
    record: Record,
    holders: Vec<Holder>,
    worker_token: u8,
    starts: u8,
    /// Whether the worker carried out an order below the highest token it had seen.
    obeyed_stale: bool,
    freezes: u8,
}

fn start() -> State {
    let holder = Holder {
        tenure: None,
        fenced_worker: false,
        frozen: false,
        seen: None,
        order: None,
    };
    State {
        now: Timestamp::default(),
        granted: None,
        next_token: 1,
        record: Record::Accepted,
        holders: vec![holder; 2],
        worker_token: 0,
        starts: 0,
        obeyed_stale: false,
        freezes: 2,
    }
}

fn acquire(state: &mut State, index: usize) {
    let token = state.next_token;
    state.next_token += 1;
    state.granted = Some((index, state.now + TTL));
    state.holders[index] = Holder {
        tenure: Some((token, Lease::new(state.now, TTL))),
        fenced_worker: false,
        frozen: false,
        seen: None,
        order: state.holders[index].order,
    };
}

/// A new holder shows its token to the worker and reads back whether the job started.
fn read_back(state: &mut State, index: usize, variant: Variant) {
    let Some((token, _)) = state.holders[index].tenure else {
        return;
    };
    if variant != Variant::NoReadBack {
        if token < state.worker_token {
            state.holders[index].tenure = None;
            return;
        }
        state.worker_token = token;
    }
    state.holders[index].fenced_worker = true;
    state.holders[index].seen = Some(state.record);
    if let Record::Placed(other) = state.record
        && other != token
    {
        // The worker knows nothing of it, so it never started: it waits again.
        let unknown = state.starts > 0 && variant != Variant::NoReadBack;
        state.record = if unknown {
            Record::Unknown
        } else {
            Record::Accepted
        };
        state.holders[index].seen = Some(state.record);
    }
}

/// Records the placement by compare-and-swap, then sends the start.
fn place(state: &mut State, index: usize, variant: Variant) {
    let Some((token, _)) = state.holders[index].tenure else {
        return;
    };
    let unchanged = state.holders[index].seen == Some(state.record);
    if variant == Variant::NoRecord {
        state.holders[index].order = Some(token);
    } else if unchanged && state.record == Record::Accepted {
        state.record = Record::Placed(token);
        state.holders[index].order = Some(token);
    }
    state.holders[index].seen = None;
}

fn arrive(state: &mut State, index: usize, variant: Variant) {
    let Some(token) = state.holders[index].order.take() else {
        return;
    };
    let old = token < state.worker_token;
    if old && variant != Variant::NoToken {
        return;
    }
    state.obeyed_stale |= old;
    state.worker_token = state.worker_token.max(token);
    state.starts += 1;
}

fn successors(state: &State, variant: Variant) -> Vec<State> {
    let mut out = Vec::new();
    let mut step = |change: &dyn Fn(&mut State)| {
        let mut next = state.clone();
        change(&mut next);
        out.push(next);
    };
    let free = state.granted.is_none_or(|(_, until)| state.now >= until);
    for (index, holder) in state.holders.iter().enumerate() {
        if holder.order.is_some() {
            step(&|s| arrive(s, index, variant));
        }
        if holder.frozen {
            step(&|s| s.holders[index].frozen = false);
            continue;
        }
        if state.freezes > 0 {
            step(&|s| {
                s.freezes -= 1;
                s.holders[index].frozen = true;
            });
        }
        if free && holder.tenure.is_none() && state.next_token < 4 {
            step(&|s| acquire(s, index));
        }
        let Some((_, lease)) = holder.tenure else {
            continue;
        };
        if !holder.fenced_worker {
            step(&|s| read_back(s, index, variant));
        } else if holder.seen.is_some() {
            // While the store is silent a holder acts on after its lease ended; the
            // record and the token decide. So the lease is not looked at here.
            step(&|s| place(s, index, variant));
        }
        if !lease.is_valid(state.now) {
            step(&|s| s.holders[index].tenure = None);
        }
    }
    if state.now < END {
        step(&|s| s.now = s.now + TICK);
    }
    out
}

fn broken(state: &State) -> bool {
    state.starts > 1 || state.obeyed_stale
}

fn check(variant: Variant) -> Explored<State> {
    explore(&start(), |s| successors(s, variant), broken)
}

#[test]
fn a_job_starts_once_whoever_holds_the_role() {
    assert_holds(
        "fencing, 2 holders, 3 tenures, 2 freezes",
        &check(Variant::Sound),
        2_000,
    );
}

#[test]
fn broken_fencing_is_seen() {
    for variant in [Variant::NoToken, Variant::NoRecord, Variant::NoReadBack] {
        assert_breaks(&format!("fencing {variant:?}"), &check(variant));
    }
}
