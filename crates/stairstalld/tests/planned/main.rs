//! Planned stops, and plays in real time in the shape of a site, with daemons as processes.
//!
//! A program of its own, since it loads the machine and makes daemons stand still.

#[path = "../batch/cluster.rs"]
mod cluster;
#[path = "../site/idle.rs"]
#[allow(dead_code, reason = "which steps are due and fit is all that is used")]
mod idle;
mod idle_over_tenures;
#[path = "../site/jobs.rs"]
#[allow(dead_code, reason = "the site program uses the rest")]
mod jobs;
mod planned_stop;
mod planned_work;
mod stalled_stop;
