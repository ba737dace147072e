//! Sends orders to one worker in sequence; sends the next one without waiting if an answer is late.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use stairstall_core::batch::{Order, OrderKind, StartOutcome, StopOutcome};
use stairstall_ports::WorkerAddress;
use tokio::sync::mpsc::UnboundedReceiver;

use super::node::Node;
use super::tenure::Tenure;
use crate::background::{Panic, catch_panic};

/// Sends orders until the link is closed and all answers have arrived.
pub(crate) async fn run(
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    worker: WorkerAddress,
    mut orders: UnboundedReceiver<Order>,
) {
    let pipeline_after = node.settings.policy.links.pipeline_after;
    let mut late = FuturesUnordered::new();
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            Some(()) = late.next() => continue,
        };
        let Some(order) = order else {
            // The outcome of open orders must be known even if the worker is now reached at another
            // address.
            while late.next().await.is_some() {}
            return;
        };
        let mut execution = Box::pin(execute(
            Arc::clone(&node),
            Arc::clone(&tenure),
            worker.clone(),
            order,
        ));
        let in_time = tokio::time::timeout(pipeline_after, &mut execution).await;
        if in_time.is_err() {
            late.push(execution);
        }
    }
}

async fn execute(node: Arc<Node>, tenure: Arc<Tenure>, worker: WorkerAddress, order: Order) {
    let timeout = node.settings.policy.links.order_timeout;
    match order.kind {
        OrderKind::Start { .. } => {
            let outcome = if tenure.is_active() {
                let call = async { node.workers.start(&worker, &order, timeout).await };
                let outcome = catch_panic(call).await;
                outcome.unwrap_or_else(|panic| {
                    log_panic(&worker, &panic);
                    StartOutcome::Unknown
                })
            } else {
                StartOutcome::Withheld
            };
            node.telemetry.order("start", start_label(outcome));
            tenure.with_planner(|planner, now| planner.handle_start_outcome(&order, outcome, now));
        }
        OrderKind::Stop => {
            let outcome = if tenure.is_active() {
                let call = async { node.workers.stop(&worker, &order, timeout).await };
                let outcome = catch_panic(call).await;
                outcome.unwrap_or_else(|panic| {
                    log_panic(&worker, &panic);
                    StopOutcome::Unknown
                })
            } else {
                StopOutcome::Unknown
            };
            node.telemetry.order("stop", stop_label(outcome));
            tenure.with_planner(|planner, now| planner.handle_stop_outcome(&order, outcome, now));
        }
    }
}

/// Logs an order whose call panicked: the worker may have received it.
fn log_panic(worker: &WorkerAddress, Panic(why): &Panic) {
    log::error!(target: "orders", worker:% = worker.id, why;
        "an order panicked: it counts as not answered");
}

const fn start_label(outcome: StartOutcome) -> &'static str {
    match outcome {
        StartOutcome::Started { .. } => "started",
        StartOutcome::Refused(_) => "refused",
        StartOutcome::Unhealthy => "unhealthy",
        StartOutcome::OtherLife => "other life",
        StartOutcome::NotSent => "not sent",
        StartOutcome::Withheld => "withheld",
        StartOutcome::Unknown => "unknown",
    }
}

const fn stop_label(outcome: StopOutcome) -> &'static str {
    match outcome {
        StopOutcome::Taken => "taken",
        StopOutcome::Fenced => "fenced",
        StopOutcome::OtherLife => "other life",
        StopOutcome::Unknown => "unknown",
    }
}
