use std::fmt;
use std::time::Duration;

use futures::future::BoxFuture;
use quick_error::quick_error;
use stairstall_core::WorkerId;
use stairstall_core::batch::{
    AdviceRequest, Order, ReportRequest, StartOutcome, StopOutcome, WorkerReport,
};
use stairstall_http::CallError;

/// One life of a worker and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAddress {
    /// The life that is meant; another one answers so.
    pub id: WorkerId,
    /// Where it listens, as `IP:PORT`.
    pub address: String,
}

quick_error! {
    /// A worker that was asked and gave no report.
    #[derive(Debug)]
    pub enum WorkerFault {
        /// The call failed.
        Call(source: CallError) {
            display("{source}")
            from()
            source(source)
        }
        /// It has seen a higher fencing token.
        Fenced {
            display("a higher fencing token was seen")
        }
        /// Another life of the worker answered.
        OtherLife {
            display("another life answered")
        }
        /// Any other answer.
        Unexpected(what: String) {
            display("unexpected answer: {what}")
        }
    }
}

/// Orders to workers and their reports.
pub trait WorkerCalls: fmt::Debug + Send + Sync {
    /// Renews what runs, forgets ends, and asks for a report.
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        request: ReportRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<WorkerReport, WorkerFault>>;

    /// Starts a run; `order` must be a start.
    fn start<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        order: &'a Order,
        timeout: Duration,
    ) -> BoxFuture<'a, StartOutcome>;

    /// Stops a run, or bars it where it is not there.
    fn stop<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        order: &'a Order,
        timeout: Duration,
    ) -> BoxFuture<'a, StopOutcome>;
}

/// An outside service that lets only some workers run a step.
pub trait Adviser: fmt::Debug + Send + Sync {
    /// Returns the workers that may run the step, each with its ticket.
    fn advise<'a>(
        &'a self,
        request: &'a AdviceRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<(WorkerId, String)>, CallError>>;
}
