//! Configuration: operators race on the head, followers hear of it in any order.

use std::collections::BTreeMap;

use stairstall_core::config::{
    Change, Configuration, Customer, Follower, Head, Operation, Resource, Revision,
};

use super::explore::{Explored, assert_breaks, assert_holds, explore};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// A follower takes whatever it is offered.
    TakesAnything,
    /// An operator whose answer is lost appends the change again without looking.
    AppendsAgain,
    /// The head is written without comparing.
    Overwrites,
}

/// The change of one operator: adds a customer that is named after it.
fn change(operator: usize) -> Change {
    let customer = Customer {
        name: format!("customer-{operator}").parse().unwrap(),
        labels: stairstall_core::Labels::default(),
        weight: 1,
        quota: None,
    };
    Change {
        id: format!("change-{operator}").parse().unwrap(),
        base: None,
        operations: vec![Operation::Put {
            resource: Resource::Customer(customer),
        }],
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Stage {
    Reads,
    /// Holds the head of this version and will write its successor.
    Writes(u8),
    /// The answer to its write was lost.
    Unsure(u8),
    Accepted,
}

/// Versions of the head are kept outside of the hashed state by their number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct State {
    /// Operators whose changes the head holds, in order; the index is the revision.
    log: Vec<u8>,
    operators: Vec<Stage>,
    /// Revision in force at each follower, and whether it ever fell.
    followers: Vec<(u8, bool)>,
    faults: u8,
}

/// Rebuilds the head and its configuration from a log, with the core's own functions.
fn replay(log: &[u8]) -> (Head, Configuration) {
    let start = (Head::default(), Configuration::default());
    log.iter().fold(start, |(head, configuration), operator| {
        head.append(&configuration, &change(usize::from(*operator)))
            .expect("it was accepted")
    })
}

fn offer(state: &mut State, follower: usize, seen: usize, variant: Variant) {
    let (known, fell) = state.followers[follower];
    let (head, offered) = replay(&state.log[..seen]);
    let mut own = Follower::new();
    if variant != Variant::TakesAnything {
        own.offer_configuration(replay(&state.log[..usize::from(known)]).1);
    }
    own.offer_head(&head);
    let now = u8::try_from(own.current().revision.0).unwrap();
    if now == u8::try_from(seen).unwrap() {
        assert_eq!(
            **own.current(),
            offered,
            "equal revisions are equal configurations"
        );
    }
    state.followers[follower] = (now, fell || now < known);
}

fn write(state: &mut State, operator: usize, seen: u8, variant: Variant) -> bool {
    let applies = usize::from(seen) == state.log.len();
    if variant == Variant::Overwrites {
        state.log.truncate(usize::from(seen));
    }
    if applies || variant == Variant::Overwrites {
        state.log.push(u8::try_from(operator).unwrap());
        return true;
    }
    false
}

fn successors(state: &State, variant: Variant) -> Vec<State> {
    let mut out = Vec::new();
    let mut step = |change: &dyn Fn(&mut State)| {
        let mut next = state.clone();
        change(&mut next);
        out.push(next);
    };
    for (operator, stage) in state.operators.iter().enumerate() {
        match *stage {
            Stage::Reads => step(&|s| {
                let (head, _) = replay(&s.log);
                let done = head.revision_of(&change(operator)).is_some();
                let seen = u8::try_from(s.log.len()).unwrap();
                s.operators[operator] = if done {
                    Stage::Accepted
                } else {
                    Stage::Writes(seen)
                };
            }),
            Stage::Writes(seen) => {
                step(&|s| {
                    let applied = write(s, operator, seen, variant);
                    s.operators[operator] = if applied {
                        Stage::Accepted
                    } else {
                        Stage::Reads
                    };
                });
                if state.faults > 0 {
                    step(&|s| {
                        s.faults -= 1;
                        write(s, operator, seen, variant);
                        s.operators[operator] = Stage::Unsure(seen);
                    });
                    step(&|s| {
                        s.faults -= 1;
                        s.operators[operator] = Stage::Unsure(seen);
                    });
                }
            }
            Stage::Unsure(_) => step(&|s| {
                s.operators[operator] = if variant == Variant::AppendsAgain {
                    Stage::Writes(u8::try_from(s.log.len()).unwrap())
                } else {
                    Stage::Reads
                };
            }),
            Stage::Accepted => {}
        }
    }
    for follower in 0..state.followers.len() {
        // Any version that ever was may arrive late.
        for seen in 0..=state.log.len() {
            step(&|s| offer(s, follower, seen, variant));
        }
    }
    out
}

fn broken(state: &State) -> bool {
    let mut counts: BTreeMap<u8, u8> = BTreeMap::new();
    for operator in &state.log {
        *counts.entry(*operator).or_default() += 1;
    }
    let twice = counts.values().any(|count| *count > 1);
    let accepted = |(operator, stage): (usize, &Stage)| {
        *stage == Stage::Accepted && !state.log.contains(&u8::try_from(operator).unwrap())
    };
    let forgotten = state.operators.iter().enumerate().any(accepted);
    twice || forgotten || state.followers.iter().any(|(_, fell)| *fell)
}

fn check(variant: Variant) -> Explored<State> {
    let start = State {
        log: Vec::new(),
        operators: vec![Stage::Reads; 3],
        followers: vec![(0, false); 2],
        faults: 3,
    };
    explore(&start, |s| successors(s, variant), broken)
}

#[test]
fn accepted_changes_stay_and_followers_never_go_back() {
    assert_holds(
        "configuration, 3 operators, 2 followers, 3 faults",
        &check(Variant::Sound),
        2_000,
    );
}

#[test]
fn broken_configurations_are_seen() {
    for variant in [
        Variant::TakesAnything,
        Variant::AppendsAgain,
        Variant::Overwrites,
    ] {
        assert_breaks(&format!("configuration {variant:?}"), &check(variant));
    }
}

#[test]
fn a_conflict_names_the_revision_that_stands() {
    let (head, configuration) = replay(&[0, 1]);
    let late = Change {
        base: Some(Revision(1)),
        ..change(2)
    };
    let error = head.append(&configuration, &late).unwrap_err();
    assert!(error.to_string().contains("revision 2"), "{error}");
}
