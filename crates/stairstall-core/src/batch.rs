//! Batch jobs made of steps of tasks, and the planner that schedules them on the workers of all
//! zones.
//!
//! A job is a list of [`StepSpec`]s; each step is a number of identical tasks. During one tenure of
//! the planner role, the [`Planner`] decides which task starts on which worker, which run is
//! preempted and what is stored. It does no I/O itself: the daemon passes it records, worker
//! reports and the current time, and carries out the [`Order`]s that it returns.
//!
//! Two kinds of records have to be durable: the [`AcceptedJob`], which is stored once before the
//! caller gets its reply, and the [`Progress`], which is stored before the end of a run is
//! acknowledged and its worker may forget it.

mod admission;
mod catalog;
mod clock_reading;
mod concurrency;
mod decision;
mod demand;
mod explanation;
mod freshness;
mod learned;
mod load;
mod peers;
mod planner;
mod policy;
mod recent_lateness;
mod record;
mod resources;
mod role_relief;
mod run_time;
mod scheduling;
mod spec;
mod task;
mod timeline;
mod within;
mod worker;
mod worker_pace;

pub use admission::{Admission, AdmissionRefusal, AdmissionRefusalReason, KnownLoad};
pub use catalog::{Access, Catalog, Customer, Queue, Route};
pub use clock_reading::ClockReading;
pub use decision::{Decision, DecisionKind};
pub use demand::{DemandHorizon, UrgentDemand, UrgentWork};
pub use explanation::{JobExplanation, StepExplanation, WaitExplanation};
pub use freshness::Freshness;
pub use learned::LearnedEstimates;
pub use load::{
    CustomerBacklog, FleetHistory, LoadSummary, QueueRunTime, ResourceRequest, ResourceTime,
    ResourceTotal, RunningWork, StartForecast, WaitingWork, WorkerKind,
};
pub use peers::{PeerAddress, PeerTable};
pub use planner::{
    Activity, AdviceRequest, Bounds, ContactLag, LeaseEnds, Now, OldestWait, Order, OrderKind,
    Planner, ProgressWrite, UnstoredTasks, VmLimits,
};
pub use policy::{
    AcceptancePolicy, AdmissionPolicy, AdvicePolicy, FlowPolicy, HeadroomPolicy, HealthPolicy,
    LeavingPolicy, LinkPolicy, OrderPolicy, PeerPolicy, PlacementPolicy, Policy, PolicyError,
    ReportPolicy, RolePolicy, RunPacePolicy, RunTimePolicy, SchedulingPolicy, TakeoverPolicy,
    VictimPolicy, WorkerPacePolicy, WritePolicy,
};
pub use recent_lateness::RecentLateness;
pub use record::{
    AcceptedJob, CallerState, GroupProgress, Outcome, Progress, RunPlacement, SilentWorker,
    TaskLosses,
};
pub use resources::Resources;
pub use role_relief::{ReliefOffer, RoleRelief, Strength, accepts_relief};
pub use run_time::{EstimatedWork, RunTime, RunTimeObservation, RunTimes, StoredRatios};
pub use scheduling::{
    AgedStep, CompletionObjective, CustomerUsage, CustomerUsageTotal, FleetCapacity, SchedulingKey,
    Timeliness, WaitReason, WaitStatus,
};
pub use spec::{BatchSpec, Schedule, SpecError, StepSpec};
pub use task::{GroupKey, TaskKey};
pub use timeline::{JobPhase, JobSummary, Setback, Setbacks, StoredTimeline};
pub use worker::{
    Incarnation, ListedWorker, RefusalReason, ReportRequest, RunEnd, RunEndKind, RunningTask,
    StartOutcome, StopOutcome, WorkerReport,
};
pub use worker_pace::{
    PaceSummary, ProgressSample, RunProgress, StoredPace, WorkerPace, WorkerPaces,
};
