//! One tenure of the placement role, from the first fence to its end.

mod end;
mod outward;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::placement::{JobKey, JobRecord, Policy, Scheduler, WriteAnswer, WriteId};
use stairstall_core::protocol::VmRole;
use stairstall_core::{Lease, Timestamp, WorkerId};
use stairstall_store::StoreError;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Query;
use super::records::Records;
use super::take::{ROLE_TTL, RoleLease, Taken};
use super::workers::{Synced, Workers};
use crate::daemon::{Daemon, lock};
pub(super) use end::End;

/// How often the scheduler is asked to move on.
const TICK: Duration = Duration::from_millis(50);
/// How often waiting jobs are looked at again without other news.
const REPLAN_INTERVAL: Duration = Duration::from_secs(1);
/// How often the role's lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);
/// Messages that wait for the tenure.
const CHANNEL: usize = 1_024;

/// News of the role's lease.
#[derive(Debug, Clone, Copy)]
enum LeaseNews {
    Renewed(Lease),
    Gone,
}

/// A task that ends with the tenure.
#[derive(Debug)]
struct Background(JoinHandle<()>);

impl Drop for Background {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Where news arrive.
#[derive(Debug)]
struct Inbox {
    synced: mpsc::Receiver<(WorkerId, Synced)>,
    written: mpsc::Receiver<(JobKey, WriteId, WriteAnswer)>,
    jobs: mpsc::Receiver<JobRecord>,
    lease: mpsc::Receiver<LeaseNews>,
}

/// A tenure of the role.
#[derive(Debug)]
pub(super) struct Tenure {
    daemon: Arc<Daemon>,
    scheduler: Scheduler,
    workers: Workers,
    records: Arc<Records>,
    lease: Option<RoleLease>,
    inbox: Inbox,
    jobs_sender: mpsc::Sender<JobRecord>,
    lease_sender: mpsc::Sender<LeaseNews>,
    replanned_at: Timestamp,
    measured_at: Timestamp,
}

impl Tenure {
    pub(super) fn new(daemon: Arc<Daemon>, taken: Taken) -> Self {
        let (synced_sender, synced) = mpsc::channel(CHANNEL);
        let (written_sender, written) = mpsc::channel(CHANNEL);
        let (jobs_sender, jobs) = mpsc::channel(CHANNEL);
        let (lease_sender, lease) = mpsc::channel(CHANNEL);
        let zone = daemon.settings.zone.clone();
        let me = daemon.vm().clone();
        let scheduler = Scheduler::new(me, zone, taken.token, Policy::standard());
        let now = daemon.clock.now();
        Self {
            workers: Workers::new(Arc::clone(&daemon), synced_sender),
            records: Records::new(Arc::clone(&daemon), taken.token, written_sender),
            scheduler,
            lease: taken.lease,
            inbox: Inbox {
                synced,
                written,
                jobs,
                lease,
            },
            jobs_sender,
            lease_sender,
            replanned_at: now,
            measured_at: now,
            daemon,
        }
    }

    /// Fences the workers, reads the store, then decides until the tenure ends.
    pub(super) async fn serve(mut self, queries: &mut mpsc::Receiver<Query>) -> End {
        let started = self.daemon.clock.now();
        let renewal = self.lease.map(|lease| self.renew_lease(lease));
        self.scheduler
            .set_configuration(self.daemon.configuration());
        self.list_workers();
        if self.lease.is_none() {
            self.scheduler.adopt_tasks();
        }
        if let Err(end) = self.fence_workers().await {
            return end;
        }
        let watching = match self.read_store().await {
            Ok(watching) => watching,
            Err(error) => {
                log::warn!(target: "holder", error:% = error; "the store can't be read");
                self.give_up_lease().await;
                return End::NoStart;
            }
        };
        let took = self.daemon.clock.now() - started;
        self.daemon.metrics.time("holder.rebuild", took);
        log::info!(target: "holder", token = self.scheduler.token(), took_ms = crate::clock::millis(took),
            summary:? = self.scheduler.summary(); "placement rebuilt");
        let end = self.decide(queries).await;
        drop((renewal, watching));
        self.give_up_lease().await;
        end
    }

    fn renew_lease(&self, role: RoleLease) -> Background {
        let (daemon, sender) = (Arc::clone(&self.daemon), self.lease_sender.clone());
        Background(tokio::spawn(async move {
            loop {
                tokio::time::sleep(RENEW_INTERVAL).await;
                let requested_at = daemon.clock.now();
                let renewed = daemon.store.keep_alive(role.id).await;
                daemon.record_store_result(&renewed);
                let news = match renewed {
                    Ok(true) => LeaseNews::Renewed(Lease::new(requested_at, ROLE_TTL)),
                    Ok(false) => LeaseNews::Gone,
                    Err(_) => continue,
                };
                if sender.send(news).await.is_err() {
                    return;
                }
            }
        }))
    }

    async fn give_up_lease(&self) {
        if let Some(role) = self.lease {
            let _ = self.daemon.store.revoke(role.id).await;
        }
    }

    fn list_workers(&mut self) {
        let list = self.daemon.vms.borrow().clone();
        let now = self.daemon.clock.now();
        let mut addresses = BTreeMap::new();
        let mut listed = BTreeSet::new();
        for vm in list
            .vms
            .iter()
            .filter(|vm| vm.zone == self.daemon.settings.zone)
        {
            let VmRole::Worker { rack, position } = &vm.role else {
                continue;
            };
            let Ok(worker) = vm.id.as_str().parse::<WorkerId>() else {
                continue;
            };
            self.scheduler
                .list_worker(worker.clone(), rack.clone(), *position, vm.state, now);
            addresses.insert(worker.clone(), vm.address);
            listed.insert(worker);
        }
        self.workers.set_addresses(addresses);
        if !listed.is_empty() {
            self.scheduler.unlist_workers(&listed);
        }
    }

    /// Shows the token to every worker once, and reads back what they run.
    async fn fence_workers(&mut self) -> Result<(), End> {
        let now = self.daemon.clock.now();
        let mut waiting: BTreeSet<WorkerId> = self.scheduler.due(now).into_iter().collect();
        self.send_syncs(now);
        while !waiting.is_empty() {
            let Some((worker, synced)) = self.inbox.synced.recv().await else {
                break;
            };
            waiting.remove(&worker);
            self.take_synced(&worker, synced)?;
        }
        Ok(())
    }

    /// Reads home blocks and jobs, and watches the jobs from then on.
    async fn read_store(&mut self) -> Result<Option<Background>, StoreError> {
        if self.lease.is_none() {
            return Ok(None);
        }
        self.scheduler
            .restore_homes(self.records.read_homes().await?);
        let (jobs, next) = self.records.list().await?;
        let now = self.daemon.clock.now();
        for job in &jobs {
            self.scheduler.take_record(job, now);
        }
        self.scheduler.note_store_read();
        let watch = Arc::clone(&self.records).watch(next, self.jobs_sender.clone());
        Ok(Some(Background(tokio::spawn(watch))))
    }

    async fn decide(&mut self, queries: &mut mpsc::Receiver<Query>) -> End {
        let mut vms = self.daemon.vms.subscribe();
        let mut revision = self.daemon.revision_changed.subscribe();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((worker, synced)) = self.inbox.synced.recv() => {
                    if let Err(end) = self.take_synced(&worker, synced) {
                        return end;
                    }
                }
                Some((job, id, answer)) = self.inbox.written.recv() => {
                    self.scheduler.take_answer(&job, id, answer);
                }
                Some(record) = self.inbox.jobs.recv() => {
                    self.scheduler.take_record(&record, self.daemon.clock.now());
                }
                Some(news) = self.inbox.lease.recv() => match news {
                    LeaseNews::Renewed(lease) => self.note_renewed(lease),
                    LeaseNews::Gone => return End::LeaseGone,
                },
                Some(query) = queries.recv() => self.answer(query),
                Ok(()) = vms.changed() => self.list_workers(),
                Ok(()) = revision.changed() => {
                    self.scheduler.set_configuration(self.daemon.configuration());
                }
                _ = tick.tick() => {
                    if let Some(end) = self.is_over() {
                        return end;
                    }
                }
            }
            self.move_on();
        }
    }

    fn note_renewed(&mut self, lease: Lease) {
        if let Some(role) = &mut self.lease {
            role.lease = lease;
        }
    }

    fn take_synced(&mut self, worker: &WorkerId, synced: Synced) -> Result<(), End> {
        let now = self.daemon.clock.now();
        match synced {
            Synced::Reply(reply) => self.scheduler.sync_done(worker, &reply, now),
            Synced::Failed => self.scheduler.sync_failed(worker, now),
            Synced::Fenced { highest } => return Err(End::Fenced { highest }),
        }
        Ok(())
    }

    /// Tells whether the tenure must end for a reason that no message brings.
    fn is_over(&self) -> Option<End> {
        if self.daemon.is_leaving() {
            return Some(End::Leaving);
        }
        if self.lease.is_none() && self.daemon.store_silent_for().is_none() {
            return Some(End::StoreBack);
        }
        let now = self.daemon.clock.now();
        let members = lock(&self.daemon.members);
        let other = members.holder(&self.daemon.settings.zone, now)?;
        let highest = other
            .token
            .filter(|token| *token > self.scheduler.token())?;
        Some(End::Fenced { highest })
    }

    /// Tells whether the tenure may act at `now`.
    ///
    /// After a pause of the process the lease may have lapsed and somebody else
    /// may act; it waits until the store has told. While the store is silent it
    /// goes on: the workers' fencing then decides between two holders.
    fn may_act(&self, now: Timestamp) -> bool {
        let valid = self.lease.is_none_or(|role| role.lease.is_valid(now));
        valid || self.daemon.store_silent_for().is_some()
    }

    /// Lets the scheduler move on and carries out what it asks for.
    fn move_on(&mut self) {
        let now = self.daemon.clock.now();
        if !self.may_act(now) {
            return;
        }
        if now - self.replanned_at >= REPLAN_INTERVAL {
            self.replanned_at = now;
            self.scheduler.request_replan();
        }
        for effect in self.scheduler.tick(now) {
            self.carry_out(effect);
        }
        self.send_syncs(now);
        self.publish(now);
    }

    fn send_syncs(&mut self, now: Timestamp) {
        for worker in self.scheduler.due(now) {
            if let Some(request) = self.scheduler.next_sync(&worker, now) {
                self.workers.send(worker, request);
            }
        }
    }
}
