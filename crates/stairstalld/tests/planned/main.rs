//! Planned stops, and plays in real time in the shape of a site, with daemons as processes.
//!
//! A program of its own, since it loads the machine and makes daemons stand still.

#[path = "../batch/cluster.rs"]
mod cluster;
mod planned_stop;
mod planned_work;
mod stalled_stop;
