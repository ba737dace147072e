//! Properties over random inputs, with seeds that give the same verdict every time.
//!
//! `STAIRSTALL_TEST_SEED` sets the first seed, `STAIRSTALL_TEST_EFFORT`
//! multiplies the number of inputs; `quickcheck` prints the input that fails.

// A test may panic; `quickcheck` passes its inputs by value.
#![allow(clippy::unwrap_used, clippy::needless_pass_by_value)]

mod lives;
mod small;

use quickcheck::{Gen, QuickCheck, Testable};
use stairstall_standin::fixtures::named as name;

/// Environment variable that sets the first seed; the default gives the same verdict every time.
const SEED: &str = "STAIRSTALL_TEST_SEED";
/// Environment variable that multiplies the number of inputs.
const EFFORT: &str = "STAIRSTALL_TEST_EFFORT";
/// Seeds of one run.
const SEEDS: u64 = 10;
/// Size of the random inputs.
const SIZE: usize = 100;

fn from_environment(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// Tries a property with several seeds, `tests` inputs each.
fn check<A: Testable + Copy>(tests: u64, property: A) {
    let first = from_environment(SEED, 1);
    let tests = tests * from_environment(EFFORT, 1);
    for seed in first..first + SEEDS {
        println!("seed {seed}, {tests} inputs");
        let generator = Gen::from_size_and_seed(SIZE, seed);
        QuickCheck::new()
            .rng(generator)
            .tests(tests)
            .quickcheck(property);
    }
}
