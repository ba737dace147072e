//! Claims: two daemons, one request id, lost and late writes, crashes, releases.

use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_core::claim::{ClaimAttempt, ClaimRecord, ClaimStep, ClaimWriteResult, Mark};

use super::explore::{Explored, assert_breaks, assert_holds, explore};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// A lost answer is taken for a success.
    AssumesSuccess,
    /// A lost answer is taken for a failure that is proved, and the request sent.
    NoClaim,
    /// The record is released although the request may have run.
    ReleasesAlways,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Writing,
    Held,
    /// Sent to the minion; `None` until the daemon knows what became of it.
    Sent,
    /// Nothing ran; the record with our mark is to be removed.
    Releasing,
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Daemon {
    attempt: ClaimAttempt,
    stage: Stage,
    /// A write that is still on its way although its answer was given up.
    late_write: bool,
    told_not_run: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    daemons: Vec<Daemon>,
    record: Option<ClaimRecord>,
    runs: u8,
    faults: u8,
}

fn mark(daemon: usize) -> Mark {
    Mark::new(format!("vm-{daemon}").parse().unwrap(), 1, 0)
}

fn start(daemons: usize, faults: u8) -> State {
    let daemon = |index| Daemon {
        attempt: ClaimAttempt::new(mark(index), Timestamp::default(), Duration::from_secs(60)),
        stage: Stage::Idle,
        late_write: false,
        told_not_run: false,
    };
    State {
        daemons: (0..daemons).map(daemon).collect(),
        record: None,
        runs: 0,
        faults,
    }
}

/// Writes as the store does: only where nothing stands.
fn swap(state: &mut State, index: usize) -> ClaimWriteResult {
    if let Some(record) = &state.record {
        return ClaimWriteResult::Conflict(record.clone());
    }
    state.record = Some(state.daemons[index].attempt.record());
    ClaimWriteResult::Applied
}

fn take(state: &mut State, index: usize, answer: ClaimWriteResult, variant: Variant) {
    let lost = answer == ClaimWriteResult::Lost;
    let daemon = &mut state.daemons[index];
    if lost && variant == Variant::AssumesSuccess {
        daemon.stage = Stage::Held;
        return;
    }
    daemon.stage = match daemon.attempt.handle_write_result(answer) {
        ClaimStep::RetryWrite => Stage::Writing,
        ClaimStep::Held => Stage::Held,
        ClaimStep::Taken(_) if variant == Variant::NoClaim => Stage::Held,
        ClaimStep::Taken(_) => Stage::Done,
        ClaimStep::GaveUp {
            record_may_exist: may_stand,
        } => {
            daemon.told_not_run = true;
            if may_stand {
                Stage::Releasing
            } else {
                Stage::Done
            }
        }
    };
}

fn successors(state: &State, variant: Variant) -> Vec<State> {
    let mut out = Vec::new();
    for index in 0..state.daemons.len() {
        let mut step = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            out.push(next);
        };
        let daemon = &state.daemons[index];
        if daemon.late_write {
            step(&|s| {
                s.daemons[index].late_write = false;
                swap(s, index);
            });
        }
        match daemon.stage {
            Stage::Idle => step(&|s| s.daemons[index].stage = Stage::Writing),
            Stage::Writing => {
                step(&|s| {
                    let answer = swap(s, index);
                    take(s, index, answer, variant);
                });
                if state.faults > 0 {
                    // The request is lost, its answer is lost, or it arrives late.
                    step(&|s| {
                        s.faults -= 1;
                        take(s, index, ClaimWriteResult::NotApplied, variant);
                    });
                    step(&|s| {
                        s.faults -= 1;
                        swap(s, index);
                        take(s, index, ClaimWriteResult::Lost, variant);
                    });
                    step(&|s| {
                        s.faults -= 1;
                        s.daemons[index].late_write = true;
                        take(s, index, ClaimWriteResult::Lost, variant);
                    });
                }
            }
            Stage::Held => {
                // It is sent if the core allows it, refused before starting, or the daemon dies.
                if daemon.attempt.may_send(Timestamp::default()) || variant != Variant::Sound {
                    step(&|s| {
                        s.runs += 1;
                        s.daemons[index].stage = Stage::Sent;
                    });
                }
                step(&|s| {
                    s.daemons[index].told_not_run = true;
                    s.daemons[index].stage = Stage::Releasing;
                });
                step(&|s| s.daemons[index].stage = Stage::Done);
            }
            Stage::Sent => {
                step(&|s| s.daemons[index].stage = Stage::Done);
                if variant == Variant::ReleasesAlways {
                    step(&|s| s.daemons[index].stage = Stage::Releasing);
                }
            }
            Stage::Releasing => step(&|s| {
                s.daemons[index].stage = Stage::Done;
                if s.record.as_ref().is_some_and(|r| r.mark == mark(index)) {
                    s.record = None;
                }
            }),
            Stage::Done => {}
        }
    }
    out
}

fn broken(state: &State) -> bool {
    let lied = |d: &Daemon| d.told_not_run && d.stage == Stage::Sent;
    state.runs > 1 || state.daemons.iter().any(lied)
}

fn check(variant: Variant) -> Explored<State> {
    explore(&start(3, 4), |s| successors(s, variant), broken)
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    assert_holds("claim, 3 daemons, 4 faults", &check(Variant::Sound), 2_000);
}

#[test]
fn broken_claims_are_seen() {
    for variant in [
        Variant::AssumesSuccess,
        Variant::NoClaim,
        Variant::ReleasesAlways,
    ] {
        assert_breaks(&format!("claim {variant:?}"), &check(variant));
    }
}
