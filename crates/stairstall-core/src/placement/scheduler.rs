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

/// Decides for one zone and one tenure which jobs start, wait and give way.
///
/// Feed it records from the store, the workers' answers and the time; carry out
/// the [`Effect`]s that [`Scheduler::tick`] returns and send the requests that
/// [`Scheduler::workers_to_sync`] and [`Scheduler::next_sync`] ask for.
#[derive(Debug, Clone)]
pub struct Scheduler {
    me: VmId,
    zone: ZoneId,
    token: u64,
    policy: Policy,
    configuration: Arc<Configuration>,
    inventory: Inventory,
    homes: HomeBlocks,
    jobs: BTreeMap<JobKey, Entry>,
    contacts: BTreeMap<WorkerId, Contact>,
    uses: BTreeMap<AllocationOwner, JobKey>,
    next_use: u64,
    next_serial: u32,
    next_write: u64,
    effects: Vec<Effect>,
    replan: bool,
    homes_stale: bool,
    knows_store: bool,
    adopts: bool,
    written_homes: Vec<HomeBlock>,
}

impl Scheduler {
    /// Lease of confirmed tasks; each sync renews it.
    pub const TASK_LEASE: Duration = Duration::from_secs(20);
    /// Shortest time between two syncs of a worker that has nothing to do.
    pub const MIN_SYNC_INTERVAL: Duration = Duration::from_millis(500);
    /// What each worker adds to that time, so that a holder's traffic stays bounded.
    pub const SYNC_INTERVAL_PER_WORKER: Duration = Duration::from_millis(50);
    /// Longest time between two syncs, whatever the number of workers.
    pub const MAX_SYNC_INTERVAL: Duration = Duration::from_secs(6);
    /// Time between two syncs while orders are being carried out.
    pub const BUSY_SYNC_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates the scheduler of one tenure, which `token` fences.
    #[must_use]
    pub fn new(me: VmId, zone: ZoneId, token: u64, policy: Policy) -> Self {
        Self {
            me,
            zone,
            token,
            policy,
            configuration: Arc::default(),
            inventory: Inventory::new(),
            homes: HomeBlocks::new(),
            jobs: BTreeMap::new(),
            contacts: BTreeMap::new(),
            uses: BTreeMap::new(),
            next_use: 0,
            next_serial: 0,
            next_write: 0,
            effects: Vec::new(),
            replan: true,
            homes_stale: true,
            knows_store: false,
            adopts: false,
            written_homes: Vec::new(),
        }
    }

    /// Returns the fencing token.
    #[must_use]
    pub const fn token(&self) -> u64 {
        self.token
    }

    /// Takes a newer configuration.
    pub fn set_configuration(&mut self, configuration: Arc<Configuration>) {
        if configuration.revision <= self.configuration.revision {
            return;
        }
        self.configuration = configuration;
        self.homes_stale = true;
        self.replan = true;
    }

    /// Takes a worker from the platform's list.
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
        contact.list(rack, position, state);
        self.replan = true;
    }

    /// Drops workers that the platform no longer lists and that hold nothing.
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
            self.homes_stale = true;
        }
    }

    /// Says whether `guarantees` could all be kept in this zone.
    ///
    /// # Errors
    ///
    /// Names the first guarantee that finds no home block.
    pub fn check_guarantees(&self, guarantees: &[Guarantee]) -> Result<(), UnplaceableGuarantee> {
        self.homes.check(guarantees, &self.inventory)
    }

    /// Takes a job as the store has it.
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

    /// Says that every record of the store was taken: tasks of no record are strays.
    pub const fn mark_store_read(&mut self) {
        self.knows_store = true;
    }

    /// Takes the store's answer to the write `id`; answers to earlier writes change nothing.
    pub fn handle_write_result(&mut self, job: &JobKey, id: WriteId, answer: WriteResult) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.pending_write != Some(id) {
            return;
        }
        self.replan = true;
        let done = answer == WriteResult::Done;
        if done {
            entry.pending_write = None;
        }
        if answer == WriteResult::Superseded {
            entry.superseded = true;
            return;
        }
        match &mut entry.stage {
            Stage::Running(running) => {
                entry.recorded |= done;
                if done || entry.spec.repeatable {
                    running.run.mark_recorded();
                }
            }
            Stage::Closing if done => drop(self.jobs.remove(job)),
            Stage::Waiting if done => entry.recorded = false,
            _ => {}
        }
    }

    /// Returns the workers that want a sync now.
    #[must_use]
    pub fn workers_to_sync(&self, now: Timestamp) -> Vec<WorkerId> {
        self.contacts
            .iter()
            .filter(|(_, c)| c.is_due(now))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the next request to a worker; exactly one answer or failure must follow.
    #[must_use]
    pub fn next_sync(&mut self, worker: &WorkerId, now: Timestamp) -> Option<SyncRequest> {
        let commands = self.commands_for(worker);
        let contact = self.contacts.get_mut(worker)?;
        Some(contact.request(&self.me, self.token, commands, now))
    }

    /// Takes a worker's answer.
    pub fn handle_sync_reply(&mut self, worker: &WorkerId, reply: &SyncReply, now: Timestamp) {
        let interval = self.sync_interval();
        let Some(contact) = self.contacts.get_mut(worker) else {
            return;
        };
        let news = contact.take_reply(reply, now, interval);
        let info = WorkerInfo {
            id: worker.clone(),
            rack: contact.rack.clone(),
            position: contact.position,
            capacity: reply.capacity,
        };
        let usable = contact.takes_work();
        if news.first || news.restarted || self.inventory.is_usable(worker) != usable {
            self.inventory.put_worker(info);
            self.inventory.set_usable(worker, usable);
            self.homes_stale = true;
            self.replan = true;
        }
        if news.first || news.restarted {
            self.settle_suspicion(worker, reply.incarnation, news.restarted, now);
        }
        if news.first || news.restarted {
            self.lose_members(worker, Some(reply.incarnation));
        }
        self.apply_reports(worker, reply, &news, now);
        self.mark_wishes(worker);
    }

    /// Notes that a worker did not answer.
    pub fn handle_sync_failure(&mut self, worker: &WorkerId, now: Timestamp) {
        let interval = self.sync_interval();
        let Some(contact) = self.contacts.get_mut(worker) else {
            return;
        };
        contact.fail(now, interval);
        if self.inventory.is_usable(worker) {
            self.inventory.set_usable(worker, false);
            self.homes_stale = true;
            self.replan = true;
        }
    }

    /// Moves on: loses silent workers, advances runs and places waiting jobs.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Effect> {
        self.lose_silent_workers(now);
        self.advance_runs(now);
        if std::mem::take(&mut self.homes_stale) {
            self.keep_homes();
        }
        if std::mem::take(&mut self.replan) {
            self.plan(now);
            self.advance_runs(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Makes the next tick look at every waiting job again.
    pub const fn request_replan(&mut self) {
        self.replan = true;
    }

    fn sync_interval(&self) -> Duration {
        let workers = u32::try_from(self.contacts.len()).unwrap_or(u32::MAX);
        let interval = Self::SYNC_INTERVAL_PER_WORKER.saturating_mul(workers);
        interval.clamp(Self::MIN_SYNC_INTERVAL, Self::MAX_SYNC_INTERVAL)
    }

    fn keep_homes(&mut self) {
        let guarantees = self.configuration.guarantees_in(&self.zone);
        let before = self.homes.broken().clone();
        let missing = self.homes.update(&guarantees, &mut self.inventory);
        let kept: Vec<HomeBlock> = self.homes.iter().cloned().collect();
        if kept != self.written_homes {
            self.effects.push(Effect::StoreHomes(kept.clone()));
            self.written_homes = kept;
        }
        for id in missing.iter().filter(|id| !before.contains(*id)) {
            self.effects.push(Effect::Alarm(format!(
                "guarantee {id} can't be kept now: no home block is left for it"
            )));
        }
        for id in before.iter().filter(|id| !missing.contains(id)) {
            self.effects
                .push(Effect::Alarm(format!("guarantee {id} is kept again")));
        }
        self.replan = true;
    }
}
