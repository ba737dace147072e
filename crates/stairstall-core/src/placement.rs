//! Placement of gang jobs on racks of workers, with guaranteed capacity.
//!
//! Guaranteed capacity may be lent to preemptible work, but its owner can always reclaim it.
//!
//! - [`Inventory`] tracks the capacity of the workers and what is allocated on them.
//! - [`HomeBlocks`] sets a home block aside for each guarantee.
//! - [`Run`] is the state machine of one attempt at a gang job, from reservation to end.
//! - [`Scheduler`] decides which jobs start, wait or are preempted.

mod block;
mod homes;
mod inventory;
mod job;
mod policy;
mod run;
mod scheduler;
mod shape;

pub use block::{Block, Cell, Fit, FreeCapacity};
pub use homes::{HomeBlock, HomeBlocks, UnplaceableGuarantee};
pub use inventory::{Access, Allocation, AllocationOwner, Capacity, Demand, Inventory, WorkerInfo};
pub use job::{
    Attempt, JobError, JobKey, JobRecord, JobSpec, JobState, MAX_PAYLOAD_BYTES, PlacedMember,
};
pub use policy::{JobOrder, Policy};
pub use run::{Member, MemberOrder, MemberPhase, Run, RunOutcome, RunPhase, StopReason};
pub use scheduler::{
    Decision, DecisionKind, Effect, Fragmentation, SYNC_TIMEOUT, Scheduler, Summary, WriteId,
    WriteResult,
};
pub use shape::{MAX_ACCELERATORS, MAX_MEMBERS, Shape, ShapeError};
