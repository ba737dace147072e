//! One tenure of the placement role, from sending its token to the workers to its end.

mod effects;
mod end;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use stairstall_core::placement::{JobKey, JobRecord, Policy, Scheduler, WriteId, WriteResult};
use stairstall_core::protocol::VmRole;
use stairstall_core::{Lease, Timestamp, WorkerId};
use stairstall_store::StoreError;
use tokio::sync::mpsc;

use super::Query;
use super::acquire::{AcquiredRole, ROLE_TTL, RoleLease};
use super::records::Records;
use super::workers::{SyncOutcome, Workers};
use crate::background::{BackgroundTasks, EndedTask, TaskOwner};
use crate::daemon::{Daemon, lock};
pub(super) use end::End;

/// How often the scheduler runs if nothing happens.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How often waiting jobs are planned again if nothing has changed.
const REPLAN_INTERVAL: Duration = Duration::from_secs(1);
/// How often the role's lease is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);
/// Capacity of each channel to the tenure.
const CHANNEL_CAPACITY: usize = 1_024;

/// Outcome of renewing the role's lease.
#[derive(Debug, Clone, Copy)]
enum LeaseRenewal {
    Renewed(Lease),
    /// The store no longer has the lease.
    Lost,
}

/// Tells a tenure which of its tasks has ended.
#[derive(Debug)]
struct TenureTasks {
    daemon: Arc<Daemon>,
    ended: mpsc::Sender<&'static str>,
}

impl TaskOwner for TenureTasks {
    fn task_ended(&self, ended: EndedTask) {
        let name = ended.name;
        self.daemon.task_ended(ended);
        // The first one ends the tenure.
        let _ = self.ended.try_send(name);
    }

    fn is_over(&self) -> bool {
        self.ended.is_closed()
    }
}

/// Receivers of everything that the tenure's background tasks report.
#[derive(Debug)]
struct Inbox {
    sync_outcomes: mpsc::Receiver<(WorkerId, SyncOutcome)>,
    write_results: mpsc::Receiver<(JobKey, WriteId, WriteResult)>,
    jobs: mpsc::Receiver<JobRecord>,
    lease_renewals: mpsc::Receiver<LeaseRenewal>,
    ended_tasks: mpsc::Receiver<&'static str>,
}

/// A tenure of the placement role: connects the scheduler with workers, store and queries.
#[derive(Debug)]
pub(super) struct Tenure {
    daemon: Arc<Daemon>,
    scheduler: Scheduler,
    workers: Workers,
    records: Arc<Records>,
    lease: Option<RoleLease>,
    inbox: Inbox,
    /// The renewal of the lease and the watch of jobs; they end with the tenure.
    tasks: BackgroundTasks,
    jobs_sender: mpsc::Sender<JobRecord>,
    lease_sender: mpsc::Sender<LeaseRenewal>,
    /// When a replan was last requested because [`REPLAN_INTERVAL`] had passed.
    replanned_at: Timestamp,
    /// When the zone's load was last published.
    published_at: Timestamp,
}

impl Tenure {
    pub(super) fn new(daemon: Arc<Daemon>, role: AcquiredRole) -> Self {
        let (sync_sender, sync_outcomes) = mpsc::channel(CHANNEL_CAPACITY);
        let (write_sender, write_results) = mpsc::channel(CHANNEL_CAPACITY);
        let (jobs_sender, jobs) = mpsc::channel(CHANNEL_CAPACITY);
        let (lease_sender, lease_renewals) = mpsc::channel(CHANNEL_CAPACITY);
        let (ended, ended_tasks) = mpsc::channel(CHANNEL_CAPACITY);
        let tasks = BackgroundTasks::new(Arc::new(TenureTasks {
            daemon: Arc::clone(&daemon),
            ended,
        }));
        let zone = daemon.settings.zone.clone();
        let vm = daemon.vm().clone();
        let scheduler = Scheduler::new(vm, zone, role.token, Policy::standard());
        let now = daemon.clock.now();
        Self {
            workers: Workers::new(Arc::clone(&daemon), sync_sender),
            records: Records::new(Arc::clone(&daemon), role.token, write_sender),
            scheduler,
            lease: role.lease,
            inbox: Inbox {
                sync_outcomes,
                write_results,
                jobs,
                lease_renewals,
                ended_tasks,
            },
            tasks,
            jobs_sender,
            lease_sender,
            replanned_at: now,
            published_at: now,
            daemon,
        }
    }

    /// Sends the token to the workers, reads the store, then places jobs until the tenure ends.
    pub(super) async fn serve(mut self, queries: &mut mpsc::Receiver<Query>) -> End {
        let started = self.daemon.clock.now();
        if let Some(lease) = self.lease {
            self.renew_lease(lease);
        }
        self.scheduler
            .set_configuration(self.daemon.configuration());
        self.update_workers();
        if self.lease.is_none() {
            self.scheduler.adopt_unknown_tasks();
        }
        if let Err(end) = self.send_token_to_workers().await {
            return end;
        }
        if let Err(error) = self.read_store().await {
            log::warn!(target: "holder", error:% = error; "could not read home blocks and jobs from the store");
            self.release_lease().await;
            return End::StoreUnreadable;
        }
        let took = self.daemon.clock.now() - started;
        self.daemon.metrics.time("holder.rebuild", took);
        log::info!(target: "holder", token = self.scheduler.token(), took_ms = crate::clock::millis(took),
            summary:? = self.scheduler.summary(); "rebuilt the placement from the store and the workers");
        let end = self.handle_events(queries).await;
        if !matches!(end, End::TaskEnded(_)) {
            self.release_lease().await;
        }
        end
    }

    /// Renews the role's lease in the background.
    fn renew_lease(&mut self, role: RoleLease) {
        let (daemon, sender) = (Arc::clone(&self.daemon), self.lease_sender.clone());
        self.tasks.spawn("holder renewal", async move {
            loop {
                tokio::time::sleep(RENEW_INTERVAL).await;
                let requested_at = daemon.clock.now();
                let renewed = daemon.store.keep_alive(role.id).await;
                daemon.record_store_result(&renewed);
                let renewal = match renewed {
                    Ok(true) => LeaseRenewal::Renewed(Lease::new(requested_at, ROLE_TTL)),
                    Ok(false) => LeaseRenewal::Lost,
                    Err(_) => continue,
                };
                if sender.send(renewal).await.is_err() {
                    return;
                }
            }
        });
    }

    /// Revokes the role's lease, if the tenure has one.
    async fn release_lease(&self) {
        if let Some(role) = self.lease {
            let _ = self.daemon.store.revoke(role.id).await;
        }
    }

    /// Applies the platform's list of VMs to the scheduler.
    fn update_workers(&mut self) {
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
            self.scheduler.add_listed_worker(
                worker.clone(),
                rack.clone(),
                *position,
                vm.state,
                now,
            );
            addresses.insert(worker.clone(), vm.address);
            listed.insert(worker);
        }
        self.workers.update_addresses(addresses);
        if !listed.is_empty() {
            self.scheduler.remove_unlisted_workers(&listed);
        }
    }

    /// Sends the token to every worker once, and reads from the replies what they run.
    async fn send_token_to_workers(&mut self) -> Result<(), End> {
        let now = self.daemon.clock.now();
        let mut outstanding: BTreeSet<WorkerId> =
            self.scheduler.workers_to_sync(now).into_iter().collect();
        self.send_syncs(now);
        while !outstanding.is_empty() {
            let Some((worker, outcome)) = self.inbox.sync_outcomes.recv().await else {
                break;
            };
            outstanding.remove(&worker);
            self.handle_sync(&worker, outcome)?;
        }
        Ok(())
    }

    /// Reads home blocks and jobs, and watches the jobs from then on. A tenure without the store
    /// reads nothing.
    async fn read_store(&mut self) -> Result<(), StoreError> {
        if self.lease.is_none() {
            return Ok(());
        }
        self.scheduler
            .restore_home_blocks(self.records.read_homes().await?);
        let (jobs, next) = self.records.list().await?;
        let now = self.daemon.clock.now();
        for job in &jobs {
            self.scheduler.handle_record(job, now);
        }
        self.scheduler.mark_store_read();
        let watch = Arc::clone(&self.records).watch(next, self.jobs_sender.clone());
        self.tasks.spawn("holder jobs", watch);
        Ok(())
    }

    /// Handles events until the tenure ends.
    async fn handle_events(&mut self, queries: &mut mpsc::Receiver<Query>) -> End {
        let mut vms = self.daemon.vms.subscribe();
        let mut revision = self.daemon.revision_changed.subscribe();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some((worker, outcome)) = self.inbox.sync_outcomes.recv() => {
                    if let Err(end) = self.handle_sync(&worker, outcome) {
                        return end;
                    }
                }
                Some((job, id, result)) = self.inbox.write_results.recv() => {
                    self.scheduler.handle_write_result(&job, id, result);
                }
                Some(record) = self.inbox.jobs.recv() => {
                    self.scheduler.handle_record(&record, self.daemon.clock.now());
                }
                Some(renewal) = self.inbox.lease_renewals.recv() => match renewal {
                    LeaseRenewal::Renewed(lease) => self.set_lease(lease),
                    LeaseRenewal::Lost => return End::LeaseLost,
                },
                Some(name) = self.inbox.ended_tasks.recv() => return End::TaskEnded(name),
                Some(query) = queries.recv() => self.reply_to(query),
                Ok(()) = vms.changed() => self.update_workers(),
                Ok(()) = revision.changed() => {
                    self.scheduler.set_configuration(self.daemon.configuration());
                }
                _ = tick.tick() => {
                    if let Some(end) = self.reason_to_end() {
                        return end;
                    }
                }
            }
            self.advance();
        }
    }

    fn set_lease(&mut self, lease: Lease) {
        if let Some(role) = &mut self.lease {
            role.lease = lease;
        }
    }

    fn handle_sync(&mut self, worker: &WorkerId, outcome: SyncOutcome) -> Result<(), End> {
        let now = self.daemon.clock.now();
        match outcome {
            SyncOutcome::Reply(reply) => self.scheduler.handle_sync_reply(worker, &reply, now),
            SyncOutcome::Failed => self.scheduler.handle_sync_failure(worker, now),
            SyncOutcome::Fenced { highest } => return Err(End::Fenced { highest }),
        }
        Ok(())
    }

    /// Returns why the tenure must end, for reasons that no event reports.
    fn reason_to_end(&self) -> Option<End> {
        if self.daemon.is_leaving() {
            return Some(End::Leaving);
        }
        if self.lease.is_none() && self.daemon.store_silent_for().is_none() {
            return Some(End::StoreAvailable);
        }
        let now = self.daemon.clock.now();
        let members = lock(&self.daemon.members);
        let other = members.holder(&self.daemon.settings.zone, now)?;
        let highest = other
            .token
            .filter(|token| *token > self.scheduler.token())?;
        Some(End::Fenced { highest })
    }

    /// Returns whether the tenure may act at `now`.
    ///
    /// After a pause of the process the lease may have expired and another holder may act, so the
    /// tenure waits for the store's answer. While the store does not answer, the tenure goes on: if
    /// there are two holders, the workers accept only the one with the higher token.
    fn may_act(&self, now: Timestamp) -> bool {
        let valid = self.lease.is_none_or(|role| role.lease.is_valid(now));
        valid || self.daemon.store_silent_for().is_some()
    }

    /// Runs the scheduler and applies its effects.
    fn advance(&mut self) {
        let now = self.daemon.clock.now();
        if !self.may_act(now) {
            return;
        }
        if now - self.replanned_at >= REPLAN_INTERVAL {
            self.replanned_at = now;
            self.scheduler.request_replan();
        }
        for effect in self.scheduler.tick(now) {
            self.apply_effect(effect);
        }
        self.send_syncs(now);
        self.publish(now);
    }

    /// Sends a sync request to every worker that is to be synced at `now`.
    fn send_syncs(&mut self, now: Timestamp) {
        for worker in self.scheduler.workers_to_sync(now) {
            if let Some(request) = self.scheduler.next_sync(&worker, now) {
                self.workers.send(worker, request);
            }
        }
    }
}
