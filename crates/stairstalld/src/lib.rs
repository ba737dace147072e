//! The stairstall daemon, which runs on every entry VM.
//!
//! This crate does all input and output: sockets, timers and signals. `stairstall-core` makes the
//! decisions. [`run`] serves until a signal asks the daemon to stop:
//!
//! - [`settings`] reads and validates flags and environment variables.
//! - `api` serves callers and operators over HTTP: `call` routes requests to minions, `jobs`
//!   accepts and shows jobs, and `configure` reads and changes the configuration.
//! - `dispatch` assigns slots of minions to waiting requests.
//! - `holder` acquires the placement role of the zone and places jobs while it holds it.
//! - `peers` exchanges heartbeats and configuration with other daemons.
//! - `background` notices when a background task ends.
//! - [`batch`] runs jobs of steps and tasks on a platform with a shared store.
//! - [`keys`] names the keys in the platform's store.
//! - [`logging`] writes log lines at a limited rate and without blocking.
//! - `follow` keeps the configuration and the list of VMs up to date.

mod api;
mod background;
pub mod batch;
mod call;
mod clock;
mod configure;
mod daemon;
mod dispatch;
mod follow;
mod holder;
mod incoming;
pub mod intake;
mod jobs;
pub mod keys;
pub mod logging;
mod metrics;
mod peers;
mod request_body;
mod response;
mod retention;
mod serve;
mod server;
pub mod settings;
mod shutdown;

pub use serve::{RunError, run};
