//! Small stand-ins for the platform, minions and workers, for tests and the main job.
//!
//! Each runs inside the process that starts it, on a loopback address, and
//! records what it was asked to do, so that checks read what really ran.
//!
//! - [`StoreStandin`]: compare-and-swap, leases and watches; every call counted.
//! - [`VmListStandin`]: the platform's lagging list of VMs.
//! - [`MinionStandin`]: eight slots, records each request id that it ran.
//! - [`WorkerStandin`]: tasks under leases and fencing tokens, records every start.
//! - [`VirtualZone`]: a scheduler and its workers on a clock that tests move.
//! - [`Cluster`]: daemons as processes among all of these.
//! - [`main_job`]: both deployments' work against a cluster, with a check of what ran.
//! - [`Link`]: a TCP link that can be cut or delayed.

mod cluster;
pub mod fixtures;
mod link;
pub mod main_job;
mod minion;
pub mod server;
mod store;
mod virtual_zone;
mod vm_list;
mod worker;
mod workload;

pub use cluster::{
    Caller, CallerError, Cluster, ClusterMinion, ClusterPlan, ClusterWorker, DaemonProcess, Reply,
    wait_until,
};
pub use link::{Link, LinkMode, Silence};
pub use minion::{ANSWER_BYTES, BREAK, CHUNKED, MinionRecord, MinionStandin, WORK_MS};
pub use server::Server;
pub use store::{StoreFaults, StoreStandin};
pub use virtual_zone::{Ended, VirtualZone};
pub use vm_list::VmListStandin;
pub use worker::{StartRecord, WorkerStandin, WorkerState};
pub use workload::{Arrival, Measured, Workload, WorkloadPlan};
