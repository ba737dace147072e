//! Exhaustive checks of the core protocols within stated bounds.
//!
//! Each model calls the core's own transition functions and has a broken
//! variant whose counter-example the test demands.

// A test may panic.
#![allow(clippy::unwrap_used)]

mod claim;
mod config;
mod explore;
mod fencing;
mod gang;
