//! Gangs: one run on two workers, with lost answers, late requests, a dead worker
//! and a successor.

use std::time::Duration;

use stairstall_core::placement::{
    Attempt, Member, MemberOrder, MemberPhase, Run, RunOutcome, RunPhase, StopReason,
};
use stairstall_core::{Timestamp, Verdict};

use super::explore::{Explored, assert_breaks, assert_holds, explore};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// A worker carries out requests that arrive late.
    NoSequence,
    /// A member counts as lost before its lease surely ended.
    LostTooEarly,
    /// A worker ignores the lease of a start that is never confirmed.
    NoStartLease,
}

const MEMBERS: usize = 2;
/// One step of time.
const TICK: Duration = Duration::from_secs(2);
/// The last moment that is looked at.
const END: Timestamp = Timestamp::from_millis(26_000);

/// A member at its worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Task {
    phase: MemberPhase,
    lease_until: Timestamp,
    /// Whether it was ever reserved.
    reserved: bool,
    started: bool,
    dead: bool,
    token: u8,
    /// Orders that were given up and may still arrive, and the tokens they carry.
    late: Vec<(MemberOrder, u8)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    run: Run,
    tasks: Vec<Task>,
    now: Timestamp,
    token: u8,
    faults: u8,
    /// Whether a run that ended proved that nothing ran.
    proved_not_run: bool,
}

fn start(faults: u8) -> State {
    let member = |i: usize| Member::new(format!("worker-{i}").parse().unwrap(), 1, 0xff);
    let mut run = Run::new(Attempt::new(1, 1), (0..MEMBERS).map(member).collect());
    run.mark_recorded();
    run.mark_cleared();
    run.advance(Timestamp::default());
    let task = Task {
        phase: MemberPhase::Absent,
        lease_until: Timestamp::default(),
        reserved: false,
        started: false,
        dead: false,
        token: 1,
        late: Vec::new(),
    };
    State {
        run,
        tasks: vec![task; MEMBERS],
        now: Timestamp::default(),
        token: 1,
        faults,
        proved_not_run: false,
    }
}

fn carry_out(task: &mut Task, wish: MemberOrder, now: Timestamp) {
    match (wish, &task.phase) {
        (MemberOrder::Reserve, MemberPhase::Absent) => {
            task.phase = MemberPhase::Reserved;
            task.reserved = true;
            task.lease_until = now + Run::RESERVE_LEASE;
        }
        (MemberOrder::Start, MemberPhase::Reserved) => {
            task.phase = MemberPhase::Started;
            task.started = true;
            task.lease_until = now + Run::START_LEASE;
        }
        (MemberOrder::Confirm, MemberPhase::Started) => {
            task.phase = MemberPhase::Confirmed;
            task.lease_until = now + Duration::from_secs(20);
        }
        (MemberOrder::Stop, phase) if phase.is_running() || *phase == MemberPhase::Reserved => {
            task.phase = MemberPhase::Stopped {
                started: task.started,
            };
        }
        _ => {}
    }
}

fn member(index: usize) -> u16 {
    u16::try_from(index).unwrap()
}

/// A request that is served makes every earlier one of its tenure stale.
fn serve(state: &mut State, index: usize, variant: Variant) {
    let now = state.token;
    state.tasks[index].token = now;
    if variant != Variant::NoSequence {
        state.tasks[index].late.retain(|(_, token)| *token != now);
    }
}

fn deliver(state: &mut State, index: usize, wish: MemberOrder, variant: Variant) {
    serve(state, index, variant);
    carry_out(&mut state.tasks[index], wish, state.now);
}

fn answer(state: &mut State, index: usize) {
    let phase = state.tasks[index].phase.clone();
    state.run.update_member(member(index), phase);
}

fn settle(state: &mut State) {
    state.run.advance(state.now);
    let ending = state.run.outcome();
    let not_run = RunOutcome::Stopped {
        reason: StopReason::NotStarted,
        verdict: Verdict::NotRun,
    };
    let lost = RunOutcome::Stopped {
        reason: StopReason::MemberLost,
        verdict: Verdict::NotRun,
    };
    state.proved_not_run |= ending == Some(not_run) || ending == Some(lost);
}

fn pass_time(state: &mut State, variant: Variant) {
    state.now = state.now + TICK;
    for task in &mut state.tasks {
        let holds = task.phase.is_running() || task.phase == MemberPhase::Reserved;
        let ignored = variant == Variant::NoStartLease && task.phase == MemberPhase::Started;
        if holds && state.now >= task.lease_until && !ignored {
            task.phase = MemberPhase::Stopped {
                started: task.started,
            };
        }
    }
}

fn successors(state: &State, variant: Variant) -> Vec<State> {
    let mut out = Vec::new();
    let mut step = |change: &dyn Fn(&mut State)| {
        let mut next = state.clone();
        change(&mut next);
        settle(&mut next);
        out.push(next);
    };
    for index in 0..MEMBERS {
        let task = &state.tasks[index];
        for number in 0..task.late.len() {
            if task.dead {
                break;
            }
            step(&|s| {
                let task = &mut s.tasks[index];
                let (wish, token) = task.late.remove(number);
                if token >= task.token {
                    carry_out(task, wish, s.now);
                }
            });
        }
        if let (Some(wish), false) = (state.run.next_order(member(index)), task.dead) {
            step(&|s| {
                deliver(s, index, wish, variant);
                answer(s, index);
            });
            if state.faults > 0 {
                step(&|s| {
                    s.faults -= 1;
                    deliver(s, index, wish, variant);
                });
                step(&|s| {
                    s.faults -= 1;
                    let token = s.token;
                    s.tasks[index].late.push((wish, token));
                });
            }
        }
        if !task.dead && state.run.outcome().is_none() {
            // A sync without orders: it makes every earlier request stale.
            step(&|s| {
                serve(s, index, variant);
                answer(s, index);
            });
        }
        if !task.dead && state.run.outcome().is_some() && task.phase.is_over() {
            // The end is recorded, so the worker is told to forget the member.
            step(&|s| {
                serve(s, index, variant);
                s.tasks[index].phase = MemberPhase::Absent;
            });
        }
        if state.faults > 0 && !task.dead {
            step(&|s| {
                s.faults -= 1;
                s.tasks[index].dead = true;
            });
        }
        let surely_ended = variant == Variant::LostTooEarly || state.now >= task.lease_until;
        if surely_ended && state.run.outcome().is_none() {
            step(&|s| {
                let over = !s.tasks[index].phase.is_running();
                if over || variant == Variant::LostTooEarly {
                    s.run.update_member(member(index), MemberPhase::Lost);
                }
            });
        }
    }
    if state.token == 1 && state.faults > 0 && state.run.outcome().is_none() {
        step(&|s| {
            s.faults -= 1;
            s.token = 2;
            let members = s.run.members().iter();
            let fresh = members
                .map(|m| Member::new(m.worker.clone(), 1, m.mask))
                .collect();
            s.run = Run::recover(Attempt::new(1, 1), fresh);
        });
    }
    if state.now < END {
        step(&|s| pass_time(s, variant));
    }
    out
}

fn broken(state: &State) -> bool {
    let running = |t: &Task| t.phase.is_running();
    let confirmed = |t: &Task| t.phase == MemberPhase::Confirmed;
    // A member runs for good only if every member was started.
    let part_confirmed =
        state.tasks.iter().any(confirmed) && !state.tasks.iter().all(|t| t.started);
    // No member starts before every member was reserved.
    let part_started =
        state.tasks.iter().any(|t| t.started) && !state.tasks.iter().all(|t| t.reserved);
    // A member that is not confirmed does not outlive its short lease.
    let outlives = state
        .tasks
        .iter()
        .any(|t| t.phase == MemberPhase::Started && state.now >= t.lease_until);
    // Places of a run that is over are free, and what is said not to have run never does.
    let over = matches!(state.run.phase(), RunPhase::Over { .. });
    let still_runs = over && state.tasks.iter().any(running);
    let lied = state.proved_not_run && state.tasks.iter().any(|t| t.started);
    part_started || part_confirmed || outlives || still_runs || lied
}

fn check(variant: Variant, faults: u8) -> Explored<State> {
    explore(&start(faults), |s| successors(s, variant), broken)
}

#[test]
fn a_gang_runs_whole_or_not_at_all() {
    assert_holds(
        "gang, 2 members, 3 faults",
        &check(Variant::Sound, 3),
        10_000,
    );
}

#[test]
fn broken_gangs_are_seen() {
    // The token's part is checked in the fencing model: within one attempt the sequence suffices.
    for variant in [
        Variant::NoSequence,
        Variant::LostTooEarly,
        Variant::NoStartLease,
    ] {
        assert_breaks(&format!("gang {variant:?}"), &check(variant, 3));
    }
}
