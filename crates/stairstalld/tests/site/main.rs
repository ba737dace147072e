//! Plays in real time in the shape of a grown site with its mix of work: wide gangs, tasks of one to
//! eight accelerators, estimates that are wrong, data in racks, small and strong VMs.
//!
//! A program of its own, since it loads the machine. `STAIRSTALL_SITE_SEEDS=1,2,3` names seeds,
//! `STAIRSTALL_SITE_SECONDS` how long jobs are handed in, `STAIRSTALL_SITE_LOAD` how many, in percent
//! of those that the site's table names; with `STAIRSTALL_SITE_LIMITS=1` each daemon gets no more
//! processor time than its VM has.

#[path = "../batch/cluster.rs"]
mod cluster;
mod idle;
mod jobs;
mod mixed_work;
#[path = "../planned/planned_work/processor_limit.rs"]
mod processor_limit;
mod site;
