//! Jobs made of steps of tasks, and the planner that runs them on workers of all zones.
//!
//! A job is a list of [`StepSpec`]s; each step is a number of like tasks. The
//! [`Planner`] decides for one tenure which task starts where, which gives way
//! and what is written down. It has no input or output: the daemon feeds it
//! records, the workers' reports and the time, and carries out its [`Order`]s.
//!
//! What must last is the [`AcceptedJob`], written once before the caller hears
//! of it, and the [`Progress`], written before a worker may forget an end.

mod admission;
mod catalog;
mod decision;
mod demand;
mod explanation;
mod learnt;
mod load;
mod planner;
mod policy;
mod reach;
mod record;
mod resources;
mod run_time;
mod spec;
mod story;
mod task;
mod turn;
mod worker;
mod worker_pace;

pub use admission::{Admission, AdmissionReason, AdmissionRefusal, KnownLoad};
pub use catalog::{Access, Catalog, Customer, Queue, Route};
pub use decision::{Decision, DecisionKind};
pub use demand::{Outlook, UrgentDemand, UrgentWork};
pub use explanation::{JobExplanation, StepExplanation, WaitExplanation};
pub use learnt::Learnt;
pub use load::{
    BusyRoom, CustomerBacklog, FleetMemory, LoadSummary, QueuePace, RoomTime, Shape, StartForecast,
    TotalRoom, WaitingWork, WorkerKind,
};
pub use planner::{
    AdviceRequest, Bounds, ContactLag, Now, Order, OrderKind, Planner, ProgressWrite, VmLimits,
};
pub use policy::{
    AcceptancePolicy, AdmissionPolicy, AdvicePolicy, FlowPolicy, HeadroomPolicy, HealthPolicy,
    LeavingPolicy, LinkPolicy, OrderPolicy, PacePolicy, PlacePolicy, Policy, PolicyError,
    ReachPolicy, ReportPolicy, RolePolicy, RunTimePolicy, TakeoverPolicy, TurnPolicy, VictimPolicy,
    WorkerPacePolicy, WritePolicy,
};
pub use reach::{PeerAddress, Reach};
pub use record::{
    AcceptedJob, CallerState, GroupProgress, Outcome, Place, Progress, SilentWorker, TaskLosses,
};
pub use resources::Resources;
pub use run_time::{EstimatedWork, KeptRatios, RunSoFar, RunTime, RunTimes};
pub use spec::{BatchSpec, Schedule, SpecError, StepSpec};
pub use story::{JobSummary, KeptStory, Setback, Setbacks, Span};
pub use task::{GroupKey, TaskKey};
pub use turn::{
    Aged, CustomerUsage, CustomerUse, FleetSize, Timeliness, Turn, WaitReason, Waiting, Wanted,
};
pub use worker::{
    End, EndKind, HoldReport, HoldRequest, Incarnation, ListedWorker, RefusalReason, RunningTask,
    StartOutcome, StopOutcome,
};
pub use worker_pace::{KeptPace, PaceSummary, RunShown, Stretch, WorkerPace, WorkerPaces};
