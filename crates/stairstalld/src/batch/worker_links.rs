//! Polls each worker for its report, which renews the leases of its runs, and passes the reports to
//! the planner.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use stairstall_core::WorkerId;
use stairstall_core::batch::{Order, ReportRequest};
use stairstall_ports::{WorkerAddress, WorkerFault};
use tokio::sync::futures::Notified;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::Instant;

use super::node::Node;
use super::orders;
use super::tenure::{self, Tenure};
use crate::background::{BackgroundTasks, Panic, catch_panic};

/// Interval at which the planner is asked whether an idle worker should be polled. The worker is not
/// called for this.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the planner's lease is checked again while it is not valid.
const SUSPENDED_DELAY: Duration = Duration::from_millis(50);

/// The poll task and the order task of one worker. When it is dropped, no further polls are sent,
/// and the tasks end once open calls are answered.
#[derive(Debug)]
struct WorkerLink {
    address: String,
    orders: UnboundedSender<Order>,
    control: Arc<PollControl>,
}

impl Drop for WorkerLink {
    fn drop(&mut self) {
        self.control.is_closed.store(true, Ordering::Release);
        self.control.wake.notify_one();
    }
}

/// Wakes or stops the poll task of a worker.
#[derive(Debug, Default)]
struct PollControl {
    wake: Notify,
    is_closed: AtomicBool,
}

impl PollControl {
    fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }
}

/// The links of one tenure to all workers.
#[derive(Debug)]
pub(crate) struct WorkerLinks {
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    open: HashMap<WorkerId, WorkerLink>,
    /// Limits how many workers are asked at once only to find out whether they answer.
    contacts: Arc<Semaphore>,
    /// Version of the planner's worker set for which links were last updated.
    linked_worker_set: Option<u64>,
    /// Whether this VM can't hold links to all workers.
    is_limited: bool,
    tasks: BackgroundTasks,
}

impl WorkerLinks {
    pub(crate) fn new(node: Arc<Node>, tenure: Arc<Tenure>) -> Self {
        let contact_window = tenure.with_planner(|planner, _| planner.contact_window());
        let tasks = tenure::tasks(&node, &tenure);
        Self {
            node,
            tenure,
            open: HashMap::new(),
            contacts: Arc::new(Semaphore::new(contact_window.min(Semaphore::MAX_PERMITS))),
            linked_worker_set: None,
            is_limited: false,
            tasks,
        }
    }

    /// Opens links to new workers and closes those to workers that are gone. Wakes the poll tasks
    /// of workers that the planner wants to poll.
    pub(crate) fn update(&mut self) {
        let (to_poll, worker_set) = self.tenure.with_planner(|planner, _| {
            (planner.take_workers_to_poll(), planner.worker_set_version())
        });
        for id in to_poll {
            if let Some(link) = self.open.get(&id) {
                link.control.wake.notify_one();
            }
        }
        if self.linked_worker_set == Some(worker_set) {
            return;
        }
        self.linked_worker_set = Some(worker_set);
        let (known, unselected) = self.tenure.with_planner(|planner, _| {
            let selected = planner.select_links().into_iter();
            let known = selected.map(|(id, address)| WorkerAddress { id, address });
            (known.collect::<Vec<_>>(), planner.unselected_workers())
        });
        self.log_unselected(known.len(), unselected);
        let addresses: HashMap<&WorkerId, &String> = known
            .iter()
            .map(|worker| (&worker.id, &worker.address))
            .collect();
        // A new incarnation may listen at another address under the same ID.
        self.open
            .retain(|id, link| addresses.get(id) == Some(&&link.address));
        for worker in known {
            if !self.open.contains_key(&worker.id) {
                self.open_link(worker);
            }
        }
    }

    /// Logs how many workers this VM can't hold links to, when that begins or ends.
    fn log_unselected(&mut self, selected: usize, unselected: usize) {
        let is_limited = unselected > 0;
        if is_limited == std::mem::replace(&mut self.is_limited, is_limited) {
            return;
        }
        let token = self.tenure.token();
        if is_limited {
            log::warn!(target: "links", token, selected, unselected;
                "this VM can't hold links to all workers; the others get no work from it");
        } else {
            log::info!(target: "links", token, selected; "this VM holds links to all workers again");
        }
    }

    fn open_link(&mut self, worker: WorkerAddress) {
        let (sender, receiver) = unbounded_channel();
        let control = Arc::new(PollControl::default());
        self.tasks.spawn_until_done(
            "orders",
            orders::run(
                Arc::clone(&self.node),
                Arc::clone(&self.tenure),
                worker.clone(),
                receiver,
            ),
        );
        self.tasks.spawn_until_done(
            "poll",
            poll_worker(
                Arc::clone(&self.node),
                Arc::clone(&self.tenure),
                worker.clone(),
                Arc::clone(&control),
                Arc::clone(&self.contacts),
            ),
        );
        let link = WorkerLink {
            address: worker.address,
            orders: sender,
            control,
        };
        self.open.insert(worker.id, link);
    }

    /// Passes orders to the links of their workers.
    pub(crate) fn send(&self, orders: Vec<Order>) {
        for order in orders {
            if let Some(link) = self.open.get(&order.worker) {
                link.control.wake.notify_one();
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
async fn poll_worker(
    node: Arc<Node>,
    tenure: Arc<Tenure>,
    worker: WorkerAddress,
    control: Arc<PollControl>,
    contacts: Arc<Semaphore>,
) {
    while !control.is_closed() {
        let needs_contact = tenure.with_planner(|planner, _| planner.needs_contact(&worker.id));
        let permit = if needs_contact {
            contacts.acquire().await.ok()
        } else {
            None
        };
        if !tenure.is_active() {
            drop(permit);
            tokio::time::sleep(SUSPENDED_DELAY).await;
            continue;
        }
        let request = tenure.with_planner(|planner, now| planner.report_request(&worker.id, now));
        match request {
            None => {
                drop(permit);
                let _ = tokio::time::timeout(IDLE_CHECK_INTERVAL, control.wake.notified()).await;
            }
            Some(request) => poll_once(&node, &tenure, &worker, &control, request, permit).await,
        }
    }
}

/// Polls a worker. The permit for a first contact, if there is one, is held until the answer.
async fn poll_once(
    node: &Node,
    tenure: &Tenure,
    worker: &WorkerAddress,
    control: &PollControl,
    request: ReportRequest,
    permit: Option<SemaphorePermit<'_>>,
) {
    let policy = &node.settings.policy.links;
    let sent_at = node.clock.now();
    let timeout = request.max_wait + policy.report_timeout;
    let call = async { node.workers.poll(worker, request, timeout).await };
    let answer = catch_panic(call).await.unwrap_or_else(|Panic(why)| {
        log::error!(target: "links", worker:% = worker.id, why; "a poll panicked: it counts as not answered");
        Err(WorkerFault::Unexpected(why))
    });
    drop(permit);
    if control.is_closed() {
        // The link is closed, but the run ends in the report must still be recorded.
        match answer {
            Ok(report) => {
                node.telemetry.report("late");
                if report.truncated {
                    log::info!(target: "links", worker:% = worker.id; "the last report before its link closed omitted run ends");
                }
                tenure.with_planner(|planner, now| {
                    planner.handle_worker_report(&worker.id, &request, sent_at, report, now);
                });
            }
            Err(fault) => {
                node.telemetry.report("late, no answer");
                log::info!(target: "links", worker:% = worker.id, why:% = fault;
                    "no report before its link closed");
            }
        }
        return;
    }
    match answer {
        Ok(report) => {
            node.telemetry.report("ok");
            let has_run_ends = !report.ended.is_empty();
            let answered_at = Instant::now();
            let written = tenure.write_done.notified();
            let is_leaving = tenure.with_planner(|planner, now| {
                planner.handle_worker_report(&worker.id, &request, sent_at, report, now);
                planner.is_worker_leaving(&worker.id)
            });
            if has_run_ends {
                let wait = if is_leaving {
                    policy.leaving_write_wait
                } else {
                    policy.write_wait
                };
                let stored = wait_for_stored_ends(tenure, &worker.id, written);
                let _ = tokio::time::timeout(wait, stored).await;
            }
            if !is_leaving {
                pause_before_poll(tenure, &worker.id, control, answered_at).await;
            }
        }
        Err(WorkerFault::OtherLife) => {
            node.telemetry.report("other life");
            tenure.with_planner(|planner, now| {
                planner.end_incarnation(&worker.id, "another incarnation answered", now);
            });
        }
        Err(WorkerFault::Fenced) => {
            node.telemetry.report("fenced");
            tenure.with_planner(|planner, _| planner.handle_fenced(&worker.id, request.token));
        }
        Err(fault) => {
            node.telemetry.report("no answer");
            log::debug!(target: "hold", worker:% = worker.id, why:% = fault; "worker did not report");
            tenure.with_planner(|planner, now| planner.handle_report_failure(&worker.id, now));
            node.back_off(policy.pause_after_timeout).await;
        }
    }
}

/// Waits before a worker that answered at `answered_at` is polled again, unless something waits for
/// its next report.
async fn pause_before_poll(
    tenure: &Tenure,
    id: &WorkerId,
    control: &PollControl,
    answered_at: Instant,
) {
    loop {
        let left = tenure.poll_pause(id).saturating_sub(answered_at.elapsed());
        if left.is_zero() || control.is_closed() {
            return;
        }
        if tokio::time::timeout(left, control.wake.notified())
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Waits for the next write, `written`, and on until a run end of the worker may be acknowledged.
async fn wait_for_stored_ends(tenure: &Tenure, id: &WorkerId, mut written: Notified<'_>) {
    loop {
        written.await;
        written = tenure.write_done.notified();
        if !tenure.with_planner(|planner, _| planner.awaits_stored_ends(id)) {
            return;
        }
    }
}
