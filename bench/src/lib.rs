//! Compares variants of the policy on days of the users' bench.
//!
//! A [`Variant`] is a name and changes of the policy. [`play`] plays every
//! variant on the same days and seeds in a scratch copy of the checkout, and
//! [`Comparison`] pairs what came of them. `examples/rounds.rs` is the command.

mod anatomy;
mod checkout;
mod compare;
mod error;
pub mod flags;
mod parallel;
mod plan;
mod report;

pub use anatomy::{
    Causes, EndedJob, LoggedJob, QueueHabits, count as count_causes, queue_habits, read_jobs,
};
pub use checkout::{Checkout, with_flags};
pub use compare::{Comparison, Row};
pub use error::BenchError;
pub use parallel::in_parallel;
pub use plan::{Play, Runner, Variant, play};
pub use report::{Part, Report};
