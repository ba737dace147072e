use std::fmt;
use std::time::Duration;

use futures::future::BoxFuture;
use quick_error::quick_error;
use stairstall_core::WorkerId;
use stairstall_core::batch::{
    AdviceRequest, Order, ReportRequest, StartOutcome, StopOutcome, WorkerReport,
};
use stairstall_http::CallError;

/// Address of one incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerAddress {
    /// Identifier of the addressed incarnation; another incarnation rejects the call.
    pub id: WorkerId,
    /// Listen address, as `IP:PORT`.
    pub address: String,
}

quick_error! {
    /// A poll of a worker that returned no report.
    #[derive(Debug)]
    pub enum WorkerFault {
        /// The HTTP call failed.
        Call(source: CallError) {
            display("{source}")
            from()
            source(source)
        }
        /// The worker has seen a higher fencing token.
        Fenced {
            display("a higher fencing token was seen")
        }
        /// Another incarnation of the worker replied.
        OtherLife {
            display("another life answered")
        }
        /// The worker returned a reply that its interface does not allow.
        Unexpected(what: String) {
            display("unexpected answer: {what}")
        }
    }
}

/// Calls to workers: start orders, stop orders and polls.
pub trait WorkerCalls: fmt::Debug + Send + Sync {
    /// Polls a worker: renews the leases of its runs, acknowledges run ends and returns its report.
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        request: ReportRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<WorkerReport, WorkerFault>>;

    /// Starts a run; `order` must be a start order.
    fn start<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        order: &'a Order,
        timeout: Duration,
    ) -> BoxFuture<'a, StartOutcome>;

    /// Stops a run, or prevents a later start of it if it is not on the worker.
    fn stop<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        order: &'a Order,
        timeout: Duration,
    ) -> BoxFuture<'a, StopOutcome>;
}

/// External service that restricts which workers may run a step.
pub trait Adviser: fmt::Debug + Send + Sync {
    /// Returns the workers that may run the step, each with the ticket that permits it.
    fn advise<'a>(
        &'a self,
        request: &'a AdviceRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Vec<(WorkerId, String)>, CallError>>;
}
