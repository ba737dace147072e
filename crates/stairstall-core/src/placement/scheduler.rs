use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::{
    AllocationOwner, HomeBlock, HomeBlocks, Inventory, JobKey, JobRecord, JobState, Policy,
    UnplaceableGuarantee, WorkerInfo,
};
use crate::config::{Configuration, Guarantee};
use crate::protocol::{SyncReply, SyncRequest, VmState};
use crate::{RackId, Timestamp, VmId, WorkerId, ZoneId};

mod contact;
mod crashes;
mod effect;
mod entry;
mod orders;
mod plan;
mod queue;
mod recovery;
mod reports;
mod runs;
mod summary;

use contact::Contact;
pub use contact::SYNC_TIMEOUT;
pub use effect::{Decision, DecisionKind, Effect, WriteId, WriteResult};
use entry::{Entry, Stage};
pub use summary::{Fragmentation, Summary};

/// Decides which jobs of one zone start, wait or are preempted, for one tenure of the holder.
///
/// The scheduler does no input or output. Its caller
///
/// - passes in job records, results of writes, replies of workers and the time,
/// - carries out the [`Effect`]s that [`Scheduler::tick`] returns, and
/// - sends a request from [`Scheduler::next_sync`] to each worker that
///   [`Scheduler::workers_to_sync`] returns.
#[derive(Debug, Clone)]
pub struct Scheduler {
    /// The VM that holds the placement role.
    holder: VmId,
    zone: ZoneId,
    token: u64,
    policy: Policy,
    configuration: Arc<Configuration>,
    inventory: Inventory,
    homes: HomeBlocks,
    jobs: BTreeMap<JobKey, Entry>,
    contacts: BTreeMap<WorkerId, Contact>,
    /// Jobs by the owner id of their current run.
    owners: BTreeMap<AllocationOwner, JobKey>,
    /// Last owner id that was assigned.
    last_owner: u64,
    /// Serial number of the last attempt of this tenure.
    last_serial: u32,
    /// Id of the last write.
    last_write: u64,
    effects: Vec<Effect>,
    /// Whether the next tick considers all waiting jobs again.
    replan: bool,
    /// Whether workers or guarantees have changed, so that the next tick updates the home blocks.
    homes_outdated: bool,
    /// Whether all records of the store were read.
    store_read: bool,
    /// Whether running tasks without a record are adopted.
    adopts_tasks: bool,
    /// Home blocks of the last [`Effect::StoreHomes`].
    stored_homes: Vec<HomeBlock>,
}

impl Scheduler {
    /// Lease of confirmed tasks, renewed by each sync.
    pub const TASK_LEASE: Duration = Duration::from_secs(20);
    /// Minimum time between two syncs of a worker that has no orders.
    pub const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(500);
    /// Time between two syncs for each worker of the zone. It bounds the rate of syncs of a holder.
    pub const SYNC_INTERVAL_PER_WORKER: Duration = Duration::from_millis(50);
    /// Maximum time between two syncs, whatever the number of workers.
    pub const MAX_SYNC_INTERVAL: Duration = Duration::from_secs(6);
    /// Time between two syncs of a worker that has orders.
    pub const BUSY_SYNC_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates the scheduler of one tenure with the fencing token `token`.
    #[must_use]
    pub fn new(holder: VmId, zone: ZoneId, token: u64, policy: Policy) -> Self {
        Self {
            holder,
            zone,
            token,
            policy,
            configuration: Arc::default(),
            inventory: Inventory::new(),
            homes: HomeBlocks::new(),
            jobs: BTreeMap::new(),
            contacts: BTreeMap::new(),
            owners: BTreeMap::new(),
            last_owner: 0,
            last_serial: 0,
            last_write: 0,
            effects: Vec::new(),
            replan: true,
            homes_outdated: true,
            store_read: false,
            adopts_tasks: false,
            stored_homes: Vec::new(),
        }
    }

    /// Returns the fencing token of the tenure.
    #[must_use]
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Sets the configuration if its revision is newer than the current one.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) {
        if configuration.revision <= self.configuration.revision {
            return;
        }
        self.configuration = configuration;
        self.homes_outdated = true;
        self.replan = true;
    }

    /// Adds or updates a worker from the platform's list.
    pub fn add_listed_worker(
        &mut self,
        id: WorkerId,
        rack: RackId,
        position: u16,
        state: VmState,
        now: Timestamp,
    ) {
        let contact = self
            .contacts
            .entry(id)
            .or_insert_with(|| Contact::new(rack.clone(), position, now));
        contact.update_listing(rack, position, state);
        self.replan = true;
    }

    /// Removes workers that the platform no longer lists and that have no tasks, runs or sync in
    /// flight.
    pub fn remove_unlisted_workers(&mut self, listed: &BTreeSet<WorkerId>) {
        let gone: Vec<WorkerId> = self
            .contacts
            .iter()
            .filter(|(id, contact)| !listed.contains(*id) && contact.is_idle())
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.contacts.remove(&id);
            self.inventory.remove_worker(&id);
            self.homes_outdated = true;
        }
    }

    /// Checks whether all `guarantees` could get a home block in this zone.
    ///
    /// # Errors
    ///
    /// Returns the first guarantee for which no home block is found.
    pub fn check_guarantees(&self, guarantees: &[Guarantee]) -> Result<(), UnplaceableGuarantee> {
        self.homes.check(guarantees, &self.inventory)
    }

    /// Applies a job record from the store.
    pub fn handle_record(&mut self, record: &JobRecord, now: Timestamp) {
        if record.zone != self.zone {
            return;
        }
        let key = record.spec.key();
        if let Some(entry) = self.jobs.get_mut(&key) {
            entry.cancel |= record.cancel;
            if record.state.is_final() && !entry.is_running() {
                self.jobs.remove(&key);
            }
            self.replan = true;
            return;
        }
        if record.state.is_final() {
            return;
        }
        let mut entry = Entry::new(record, now);
        if let JobState::Placed { attempt, members } = &record.state {
            entry.recorded = true;
            self.recover_run(&mut entry, *attempt, members, now);
        }
        self.jobs.insert(key, entry);
        self.replan = true;
    }

    /// Marks all records of the store as read: from now on, tasks without a record are unclaimed
    /// and are stopped.
    pub const fn mark_store_read(&mut self) {
        self.store_read = true;
    }

    /// Applies the result of the write `id`. Results of earlier writes are ignored.
    pub fn handle_write_result(&mut self, job: &JobKey, id: WriteId, result: WriteResult) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.pending_write != Some(id) {
            return;
        }
        self.replan = true;
        let done = result == WriteResult::Done;
        if done {
            entry.pending_write = None;
        }
        if result == WriteResult::Superseded {
            entry.superseded = true;
            return;
        }
        match &mut entry.stage {
            Stage::Running(running) => {
                entry.recorded |= done;
                // A repeatable job may start without a stored placement if the store can't be
                // reached.
                if done || entry.spec.repeatable {
                    running.run.mark_recorded();
                }
            }
            Stage::Closing if done => drop(self.jobs.remove(job)),
            Stage::Waiting if done => entry.recorded = false,
            _ => {}
        }
    }

    /// Returns the workers whose next sync should be sent now.
    #[must_use]
    pub fn workers_to_sync(&self, now: Timestamp) -> Vec<WorkerId> {
        self.contacts
            .iter()
            .filter(|(_, c)| c.needs_sync(now))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the next request to a worker.
    ///
    /// Each request must be followed by exactly one call of [`Scheduler::handle_sync_reply`] or
    /// [`Scheduler::handle_sync_failure`].
    #[must_use]
    pub fn next_sync(&mut self, worker: &WorkerId, now: Timestamp) -> Option<SyncRequest> {
        let commands = self.commands_for(worker);
        let contact = self.contacts.get_mut(worker)?;
        Some(contact.request(&self.holder, self.token, commands, now))
    }

    /// Applies the reply of a worker to a sync.
    pub fn handle_sync_reply(&mut self, worker: &WorkerId, reply: &SyncReply, now: Timestamp) {
        let interval = self.sync_interval();
        let Some(contact) = self.contacts.get_mut(worker) else {
            return;
        };
        let changes = contact.handle_reply(reply, now, interval);
        let info = WorkerInfo {
            id: worker.clone(),
            rack: contact.rack.clone(),
            position: contact.position,
            capacity: reply.capacity,
        };
        let usable = contact.accepts_work();
        if changes.first || changes.restarted || self.inventory.is_usable(worker) != usable {
            self.inventory.put_worker(info);
            self.inventory.set_usable(worker, usable);
            self.homes_outdated = true;
            self.replan = true;
        }
        if changes.first || changes.restarted {
            self.attribute_crashes(worker, reply.incarnation, changes.restarted, now);
        }
        if changes.first || changes.restarted {
            self.mark_members_lost(worker, Some(reply.incarnation));
        }
        self.apply_reports(worker, reply, &changes, now);
        self.expedite_sync(worker);
    }

    /// Marks a worker as unresponsive: it gets no new work until it answers a sync.
    pub fn handle_sync_failure(&mut self, worker: &WorkerId, now: Timestamp) {
        let interval = self.sync_interval();
        let Some(contact) = self.contacts.get_mut(worker) else {
            return;
        };
        contact.handle_failure(now, interval);
        if self.inventory.is_usable(worker) {
            self.inventory.set_usable(worker, false);
            self.homes_outdated = true;
            self.replan = true;
        }
    }

    /// Marks silent workers as lost, advances the runs, places waiting jobs, and returns the
    /// effects to carry out.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Effect> {
        self.mark_silent_workers_lost(now);
        self.advance_runs(now);
        if std::mem::take(&mut self.homes_outdated) {
            self.update_homes();
        }
        if std::mem::take(&mut self.replan) {
            self.plan(now);
            self.advance_runs(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Makes the next tick consider all waiting jobs again.
    pub const fn request_replan(&mut self) {
        self.replan = true;
    }

    fn sync_interval(&self) -> Duration {
        let workers = u32::try_from(self.contacts.len()).unwrap_or(u32::MAX);
        let interval = Self::SYNC_INTERVAL_PER_WORKER.saturating_mul(workers);
        interval.clamp(Self::MIN_SYNC_INTERVAL, Self::MAX_SYNC_INTERVAL)
    }

    /// Updates the home blocks, stores them if they changed, and raises alarms about guarantees
    /// that lost their home block or have one again.
    fn update_homes(&mut self) {
        let guarantees = self.configuration.guarantees_in(&self.zone);
        let before = self.homes.broken().clone();
        let missing = self.homes.update(&guarantees, &mut self.inventory);
        let homes: Vec<HomeBlock> = self.homes.iter().cloned().collect();
        if homes != self.stored_homes {
            self.effects.push(Effect::StoreHomes(homes.clone()));
            self.stored_homes = homes;
        }
        for id in missing.iter().filter(|id| !before.contains(*id)) {
            self.effects.push(Effect::Alarm(format!(
                "guarantee {id} can't be kept now: no free block is left for it"
            )));
        }
        for id in before.iter().filter(|id| !missing.contains(id)) {
            self.effects
                .push(Effect::Alarm(format!("guarantee {id} is kept again")));
        }
        self.replan = true;
    }
}
