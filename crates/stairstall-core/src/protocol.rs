//! Typed messages at the interfaces: workers, the VM list, peers and callers.

mod caller;
mod peer;
mod vm;
mod worker;

pub use caller::{
    ConfigReply, ErrorBody, Explanation, ExplanationEntry, JobPage, JobStatus, header,
};
pub use peer::{GuaranteeCheckReply, GuaranteeCheckRequest, Heartbeat, PlacementLoad, ServiceLoad};
pub use vm::{VmEntry, VmList, VmRole, VmState};
pub use worker::{
    Command, Order, StaleRequest, SyncReply, SyncRequest, TaskId, TaskPhase, TaskReport, TaskSpec,
    Usage,
};
