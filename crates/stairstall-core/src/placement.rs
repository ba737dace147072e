//! Placement of gang jobs on racks of workers, and guarantees that can always be reclaimed.
//!
//! [`Inventory`] knows what is free, [`Homes`] keeps a home block for each
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

pub use block::{Block, Cell, Fit, Room};
pub use homes::{Home, Homes, NoWitness};
pub use inventory::{Access, Capacity, Demand, Inventory, Use, UseId, WorkerInfo};
pub use job::{
    Attempt, JobError, JobKey, JobRecord, JobSpec, JobState, MAX_PAYLOAD_BYTES, PlacedMember,
};
pub use policy::{JobOrder, Policy};
pub use run::{Ending, Member, MemberPhase, Phase, Run, StopReason, Wish};
pub use scheduler::{
    Decision, DecisionKind, Effect, Fragmentation, SYNC_TIMEOUT, Scheduler, Summary, WriteAnswer,
    WriteId,
};
pub use shape::{MAX_ACCELERATORS, MAX_MEMBERS, Shape, ShapeError};
