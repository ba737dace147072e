//! Placement of gang jobs on racks of workers, and guarantees that can always be reclaimed.
//!
//! [`Inventory`] knows what is free, [`HomeBlocks`] keeps a home block for each
//! guarantee, [`Run`] carries one gang from reservation to its end, and
//! [`Scheduler`] decides what starts, waits and gives way.

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
