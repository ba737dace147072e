use std::cell::Cell;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// What an exploration found.
#[derive(Debug)]
pub struct Explored<S> {
    /// States that were expanded.
    pub states: usize,
    /// A shortest path to a state that breaks the invariant, if there is one.
    pub counter_example: Option<Vec<S>>,
}

/// Visits every reachable state until one breaks the invariant.
pub fn explore<S: Clone + Eq + Hash>(
    start: &S,
    successors: impl Fn(&S) -> Vec<S>,
    broken: impl Fn(&S) -> bool,
) -> Explored<S> {
    let states = Cell::new(0);
    let counter_example = bfs(
        start,
        |state| {
            states.set(states.get() + 1);
            successors(state)
        },
        |state| broken(state),
    );
    Explored {
        states: states.get(),
        counter_example,
    }
}

/// Demands that the sound variant holds in more than `least` states.
pub fn assert_holds<S: std::fmt::Debug>(name: &str, explored: &Explored<S>, least: usize) {
    println!("{name}: {} states", explored.states);
    let path = explored.counter_example.as_ref();
    assert!(
        path.is_none(),
        "{name} is broken:\n{}",
        describe(path.unwrap())
    );
    assert!(
        explored.states >= least,
        "{name}: only {} states",
        explored.states
    );
}

/// Demands that the broken variant has a counter-example.
pub fn assert_breaks<S: std::fmt::Debug>(name: &str, explored: &Explored<S>) {
    let steps = explored.counter_example.as_ref().map(Vec::len);
    println!(
        "{name}: counter-example of {steps:?} states after {}",
        explored.states
    );
    assert!(
        steps.is_some(),
        "{name}: the model can't see the fault that it is for"
    );
}

fn describe<S: std::fmt::Debug>(path: &[S]) -> String {
    let lines: Vec<String> = path.iter().map(|state| format!("{state:?}")).collect();
    lines.join("\n")
}
