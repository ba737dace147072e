//! Typed messages at the interfaces: workers, the VM list, peers and callers.

mod caller;
mod peer;
mod vm;
mod worker;

pub use caller::{ConfigReply, ErrorBody, Explanation, JobPage, JobStatus, Stage, header};
pub use peer::{Heartbeat, PlacementLoad, ServiceLoad, WitnessAnswer, WitnessQuestion};
pub use vm::{VmEntry, VmList, VmRole, VmState};
pub use worker::{
    Command, Order, Stale, SyncReply, SyncRequest, TaskId, TaskPhase, TaskReport, TaskSpec, Usage,
};
