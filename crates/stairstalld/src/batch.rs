//! The batch daemon: schedules jobs of steps and tasks over all availability zones, on a platform
//! with a shared store.
//!
//! Every daemon accepts jobs, writes them to the shared store and answers queries about them. One
//! daemon at a time holds the planner role; it chooses a worker for each task and sends it the
//! orders to start and stop the task.
//!
//! - [`settings`]: settings from flags and environment variables, checked at start.
//! - `caller_api`: the HTTP interface for callers; `admission`, `accept` and `queries` implement it,
//!   `open_call` logs and counts each call.
//! - `catalog`: follows the operators' configuration.
//! - `role`: acquires, renews and releases the planner role.
//! - `tenure`: runs the planner while the daemon holds the role. `worker_links` polls workers and
//!   sends them orders, `writer` writes progress to the store, and `directory`, `evacuated_zones`
//!   and `job_watch` feed changes in the store to the planner. `maintenance` does periodic work.
//! - `rpc`: JSON-RPC calls between daemons.
//! - `reachability`: finds out whether the store or a peer can take work from this daemon.

mod accept;
mod admission;
mod caller_api;
mod catalog;
mod directory;
mod encoding;
mod evacuated_zones;
mod health;
mod job_watch;
mod known_catalog;
mod load;
mod maintenance;
mod node;
mod open_call;
mod orders;
mod predecessor;
mod queries;
mod reachability;
mod refusals;
mod role;
mod rpc;
mod serve;
pub mod settings;
mod store_health;
mod stored_job;
mod telemetry;
mod tenure;
mod worker_links;
mod writer;

pub use serve::run;
