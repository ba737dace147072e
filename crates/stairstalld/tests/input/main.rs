//! Odd values that others write, with daemons as processes.
//!
//! A program of its own, since its many clusters would load the machine beside tests that measure time.

#[path = "../batch/cluster.rs"]
mod cluster;
mod odd_entries;
mod odd_input;
