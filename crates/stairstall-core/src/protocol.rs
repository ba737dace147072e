//! Messages exchanged with workers, other daemons and callers, and the platform's VM list.

mod caller;
mod peer;
mod vm;
mod worker;

pub use caller::{
    ConfigReply, ErrorBody, Explanation, ExplanationEntry, JobList, JobStatus, header,
};
pub use peer::{GuaranteeCheckReply, GuaranteeCheckRequest, Heartbeat, PlacementLoad, ServiceLoad};
pub use vm::{VmEntry, VmList, VmRole, VmState};
pub use worker::{
    Command, Order, StaleRequest, SyncReply, SyncRequest, TaskId, TaskPhase, TaskReport, TaskSpec,
    Usage,
};
