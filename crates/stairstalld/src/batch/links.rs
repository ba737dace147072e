//! Renews what runs on each worker and brings its reports to the planner.

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

/// How often an idle worker is looked at in memory.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Pause while the planner's lease is not known to be in force.
const SUSPENDED_PAUSE: Duration = Duration::from_millis(50);

/// The way to one worker; dropped, it asks no more, and ends once what was asked is answered.
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

/// Whether and when a worker is asked.
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

/// The connections of one tenure to all workers.
#[derive(Debug)]
pub(crate) struct Links {
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    open: HashMap<WorkerId, Link>,
    /// The set of workers that links were last opened for.
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

    /// Opens links to new workers and drops those to workers that are gone.
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
        // Another life may listen elsewhere under the same id.
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

    /// Hands orders to the workers they are for.
    pub(crate) fn send(&self, orders: Vec<Order>) {
        for order in orders {
            if let Some(link) = self.open.get(&order.worker) {
                link.asking.wake.notify_one();
                if link.orders.send(order).is_err() {
                    log::error!(target: "orders", "a link has ended");
                }
            }
        }
    }
}

/// Asks one worker for as long as its link is there.
///
/// It does not end where the planner knows the worker no longer: one that is listed again under its id
/// before the links are looked through would be asked by nobody.
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
        // Nobody waits for it any more, but what it lists has ended.
        match answer {
            Ok(report) => {
                node.telemetry.hold("late");
                if report.truncated {
                    log::info!(target: "links", worker:% = worker.id; "its last report left ends out");
                }
                tenure.with(|planner, now| {
                    planner.handle_worker_report(&worker.id, &request, sent_at, report, now);
                });
            }
            Err(fault) => {
                node.telemetry.hold("late, no answer");
                log::info!(target: "links", worker:% = worker.id, why:% = fault;
                    "its last report did not come");
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
                planner.end_incarnation(&worker.id, "another life answered", now);
            });
        }
        Err(WorkerFault::Fenced) => {
            node.telemetry.hold("fenced");
            tenure.with(|planner, _| planner.handle_fenced(&worker.id, request.token));
        }
        Err(fault) => {
            node.telemetry.hold("no answer");
            log::debug!(target: "hold", worker:% = worker.id, why:% = fault; "no report");
            tenure.with(|planner, now| planner.handle_report_failure(&worker.id, now));
            node.pause(policy.pause_after_timeout).await;
        }
    }
}
