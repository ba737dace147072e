//! Polls each worker for its report, which renews the leases of its runs, and passes the reports to
//! the planner.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use stairstall_core::WorkerId;
use stairstall_core::batch::{Order, ReportRequest};
use stairstall_ports::{WorkerAddress, WorkerFault};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

use super::node::Node;
use super::orders;
use super::tenure::Tenure;

/// Interval at which an idle worker is checked for work, without a call to it.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay while the planner's lease is not known to be valid.
const SUSPENDED_PAUSE: Duration = Duration::from_millis(50);

/// The poll task and the order task of one worker. When it is dropped, no further polls are sent,
/// and the tasks end once open calls are answered.
#[derive(Debug)]
struct Link {
    address: String,
    orders: UnboundedSender<Order>,
    asking: Arc<Asking>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.asking.is_closed.store(true, Ordering::Release);
        self.asking.wake.notify_one();
    }
}

/// Wakes or stops the poll task of a worker.
#[derive(Debug, Default)]
struct Asking {
    wake: Notify,
    is_closed: AtomicBool,
}

impl Asking {
    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }
}

/// The links of one tenure to all workers.
#[derive(Debug)]
pub(crate) struct Links {
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    open: HashMap<WorkerId, Link>,
    /// Version of the worker set for which links were last updated.
    seen_set: Option<u64>,
    tasks: JoinSet<()>,
}

impl Links {
    pub(crate) fn new(node: Arc<Node>, tenure: Arc<Tenure>) -> Self {
        Self {
            node,
            tenure,
            open: HashMap::new(),
            seen_set: None,
            tasks: JoinSet::new(),
        }
    }

    /// Opens links to new workers and closes those to workers that are gone. Wakes the poll tasks
    /// of workers that the planner wants to poll.
    pub(crate) fn keep_up(&mut self) {
        let (to_ask, worker_set) = self
            .tenure
            .with(|planner, _| (planner.take_workers_to_poll(), planner.worker_set_version()));
        for id in to_ask {
            if let Some(link) = self.open.get(&id) {
                link.asking.wake.notify_one();
            }
        }
        if self.seen_set == Some(worker_set) {
            return;
        }
        self.seen_set = Some(worker_set);
        let known: HashMap<WorkerId, String> = self.tenure.with(|planner, _| {
            let workers = planner.workers();
            workers
                .map(|(id, address)| (id.clone(), address.to_owned()))
                .collect()
        });
        // A new incarnation may listen at another address under the same ID.
        self.open
            .retain(|id, link| known.get(id) == Some(&link.address));
        for (id, address) in known {
            if !self.open.contains_key(&id) {
                self.open_link(WorkerAddress { id, address });
            }
        }
        while self.tasks.try_join_next().is_some() {}
    }

    fn open_link(&mut self, worker: WorkerAddress) {
        let (sender, receiver) = unbounded_channel();
        let asking = Arc::new(Asking::default());
        self.tasks.spawn(orders::run(
            Arc::clone(&self.node),
            Arc::clone(&self.tenure),
            worker.clone(),
            receiver,
        ));
        self.tasks.spawn(hold(
            Arc::clone(&self.node),
            Arc::clone(&self.tenure),
            worker.clone(),
            Arc::clone(&asking),
        ));
        let link = Link {
            address: worker.address,
            orders: sender,
            asking,
        };
        self.open.insert(worker.id, link);
    }

    /// Passes orders to the links of their workers.
    pub(crate) fn send(&self, orders: Vec<Order>) {
        for order in orders {
            if let Some(link) = self.open.get(&order.worker) {
                link.asking.wake.notify_one();
                if link.orders.send(order).is_err() {
                    log::error!(target: "orders", "a worker's order task has ended");
                }
            }
        }
    }
}

/// Polls one worker for as long as its link is open.
///
/// It keeps running when the planner no longer knows the worker: if the worker is listed again
/// before the links are next updated, the link is kept, and nothing else would poll the worker.
async fn hold(node: Arc<Node>, tenure: Arc<Tenure>, worker: WorkerAddress, asking: Arc<Asking>) {
    while !asking.is_closed() {
        if !tenure.is_in_force() {
            tokio::time::sleep(SUSPENDED_PAUSE).await;
            continue;
        }
        let request = tenure.with(|planner, now| planner.hold_request(&worker.id, now));
        match request {
            None => {
                let _ = tokio::time::timeout(IDLE_INTERVAL, asking.wake.notified()).await;
            }
            Some(request) => ask(&node, &tenure, &worker, &asking, request).await,
        }
    }
}

async fn ask(
    node: &Node,
    tenure: &Tenure,
    worker: &WorkerAddress,
    asking: &Asking,
    request: ReportRequest,
) {
    let policy = &node.settings.policy.links;
    let sent_at = node.clock.now();
    let timeout = request.max_wait + policy.report_timeout;
    let answer = node.workers.hold(worker, request, timeout).await;
    if asking.is_closed() {
        // The link is closed, but the run ends in the report are still valid.
        match answer {
            Ok(report) => {
                node.telemetry.hold("late");
                if report.truncated {
                    log::info!(target: "links", worker:% = worker.id; "the last report before its link closed omitted run ends");
                }
                tenure.with(|planner, now| {
                    planner.handle_worker_report(&worker.id, &request, sent_at, report, now);
                });
            }
            Err(fault) => {
                node.telemetry.hold("late, no answer");
                log::info!(target: "links", worker:% = worker.id, why:% = fault;
                    "no report before its link closed");
            }
        }
        return;
    }
    match answer {
        Ok(report) => {
            node.telemetry.hold("ok");
            let has_ends = !report.ended.is_empty();
            let written = tenure.written.notified();
            tenure.with(|planner, now| {
                planner.handle_worker_report(&worker.id, &request, sent_at, report, now);
            });
            if has_ends {
                let _ = tokio::time::timeout(policy.write_wait, written).await;
            }
        }
        Err(WorkerFault::OtherLife) => {
            node.telemetry.hold("other life");
            tenure.with(|planner, now| {
                planner.end_incarnation(&worker.id, "another incarnation answered", now);
            });
        }
        Err(WorkerFault::Fenced) => {
            node.telemetry.hold("fenced");
            tenure.with(|planner, _| planner.handle_fenced(&worker.id, request.token));
        }
        Err(fault) => {
            node.telemetry.hold("no answer");
            log::debug!(target: "hold", worker:% = worker.id, why:% = fault; "worker did not report");
            tenure.with(|planner, now| planner.handle_report_failure(&worker.id, now));
            node.pause(policy.pause_after_timeout).await;
        }
    }
}
