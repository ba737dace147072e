//! The stairstall daemon, the same on every entry VM.
//!
//! Sockets, timers and processes' messages live here; every decision is made by
//! `stairstall-core`. [`run`] serves until it is told to stop:
//!
//! - [`settings`] reads and checks flags and environment variables.
//! - `api` serves callers and operators over HTTP; `call` is the request path,
//!   `jobs` and `configure` the other two.
//! - `dispatch` shares out minions' slots.
//! - `holder` carries the placement role of the zone.
//! - `peers` exchanges heartbeats and configuration with other daemons.
//! - [`batch`] runs jobs of steps and tasks on a platform with a shared store.
//! - [`logging`] writes bounded log lines.
//! - `follow` keeps the configuration and the VM list up to date.

mod api;
pub mod batch;
mod call;
mod clock;
mod configure;
mod daemon;
mod dispatch;
mod follow;
mod holder;
mod incoming;
mod jobs;
mod keys;
mod listener;
pub mod logging;
mod metrics;
mod peers;
mod response;
mod retention;
mod serve;
pub mod settings;
mod shutdown;

pub use serve::{RunError, run};
