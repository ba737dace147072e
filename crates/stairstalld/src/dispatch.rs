//! Shares out the slots of the zone's minions among waiting requests.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stairstall_core::admission::{FairQueue, Flow, Refusal, Ticket};
use stairstall_core::config::Configuration;
use stairstall_core::protocol::ServiceLoad;
use stairstall_core::routing::{
    MinionInfo, MinionTable, Pick, PickRefusal, RequestOutcome, SlotShares,
};
use stairstall_core::{MinionId, ServiceId, Timestamp, VmId};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::daemon::lock;

/// How often slots that came free without notice are looked for.
pub(crate) const PUMP_INTERVAL: Duration = Duration::from_millis(20);
/// One flow may hold this part of the queue.
const FLOW_SHARE: usize = 4;

/// What a request needs of a slot.
#[derive(Debug, Clone)]
pub(crate) struct Wanted {
    pub(crate) service: ServiceId,
    pub(crate) slots: u16,
    pub(crate) flow: Flow,
    pub(crate) weight: u32,
    pub(crate) deadline: Timestamp,
    pub(crate) avoid: Vec<MinionId>,
}

/// Why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoSlot {
    /// It was refused at once.
    Refused(Refusal),
    /// Its deadline passed while it waited.
    Expired,
    /// The zone has no minion of the service.
    NoMinion,
}

/// A slot of a minion; dropping it gives the slot back.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) pick: Pick,
    dispatcher: Arc<Dispatcher>,
    outcome: RequestOutcome,
}

impl Permit {
    /// Says how the request ended; without a word nobody waited for it any more.
    pub(crate) fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.dispatcher.release(&self.pick, self.outcome);
    }
}

#[derive(Debug)]
struct Waiter {
    wanted: Wanted,
    sender: oneshot::Sender<Permit>,
}

#[derive(Debug)]
struct State {
    table: MinionTable,
    queues: BTreeMap<ServiceId, FairQueue>,
    waiters: HashMap<(ServiceId, Ticket), Waiter>,
}

/// The daemon's share of the zone's slots, and who waits for them.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    state: Mutex<State>,
    clock: Clock,
    capacity: usize,
}

impl Dispatcher {
    pub(crate) fn new(me: VmId, clock: Clock, capacity: usize) -> Self {
        let table = MinionTable::new(SlotShares::new(me, clock.now()));
        let state = State {
            table,
            queues: BTreeMap::new(),
            waiters: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
            clock,
            capacity,
        }
    }

    pub(crate) fn set_members(&self, members: Vec<VmId>) {
        lock(&self.state)
            .table
            .shares_mut()
            .set_members(members, self.clock.now());
    }

    /// Gives up every share after a pause of the process.
    pub(crate) fn suspend(&self) {
        lock(&self.state)
            .table
            .shares_mut()
            .suspend(self.clock.now());
    }

    pub(crate) fn set_minions(&self, minions: Vec<MinionInfo>) {
        lock(&self.state).table.set_minions(minions);
    }

    pub(crate) fn in_flight(&self) -> usize {
        lock(&self.state).table.in_flight()
    }

    /// Returns free slots and waiting requests by service.
    pub(crate) fn load(&self, configuration: &Configuration) -> Vec<ServiceLoad> {
        let now = self.clock.now();
        let state = lock(&self.state);
        let load = |service: &stairstall_core::config::Service| {
            let free = state.table.free_slots(&service.name, service.slots, now);
            let waiting = state.queues.get(&service.name).map_or(0, FairQueue::len);
            ServiceLoad {
                service: service.name.clone(),
                free: u32::try_from(free).unwrap_or(u32::MAX),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            }
        };
        configuration.services.values().map(load).collect()
    }

    /// Tells whether the zone has a minion that takes requests of the service.
    pub(crate) fn serves(&self, service: &ServiceId) -> bool {
        lock(&self.state).table.serves(service)
    }

    /// Returns how long a request would wait here, none where nothing serves it.
    pub(crate) fn expected_wait(&self, wanted: &Wanted) -> Option<Duration> {
        let state = lock(&self.state);
        if !state.table.serves(&wanted.service) {
            return None;
        }
        let queue = state.queues.get(&wanted.service);
        Some(queue.map_or(Duration::ZERO, |q| {
            q.expected_wait(&wanted.flow, wanted.weight)
        }))
    }

    /// Waits for a slot until the deadline.
    pub(crate) async fn acquire(self: &Arc<Self>, wanted: Wanted) -> Result<Permit, NoSlot> {
        let deadline = self.clock.instant(wanted.deadline);
        let (ticket, receiver) = match self.enter(&wanted)? {
            Entered::Served(permit) => return Ok(permit),
            Entered::Waits(ticket, receiver) => (ticket, receiver),
        };
        let _guard = Withdrawal {
            dispatcher: self,
            service: &wanted.service,
            ticket,
        };
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(NoSlot::Expired),
        }
    }

    fn enter(self: &Arc<Self>, wanted: &Wanted) -> Result<Entered, NoSlot> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let empty = state
            .queues
            .get(&wanted.service)
            .is_none_or(FairQueue::is_empty);
        if empty {
            match pick(&mut state.table, wanted, now) {
                Ok(pick) => return Ok(Entered::Served(self.permit(pick))),
                Err(PickRefusal::NoMinion) => return Err(NoSlot::NoMinion),
                Err(PickRefusal::AllBusy) => {}
            }
        }
        let (capacity, of_flow) = (self.capacity, self.capacity.div_ceil(FLOW_SHARE));
        let queue = state
            .queues
            .entry(wanted.service.clone())
            .or_insert_with(|| FairQueue::new(capacity, of_flow));
        let ticket = queue
            .push(wanted.flow.clone(), wanted.weight, now, wanted.deadline)
            .map_err(NoSlot::Refused)?;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            wanted: wanted.clone(),
            sender,
        };
        state
            .waiters
            .insert((wanted.service.clone(), ticket), waiter);
        Ok(Entered::Waits(ticket, receiver))
    }

    fn permit(self: &Arc<Self>, pick: Pick) -> Permit {
        Permit {
            pick,
            dispatcher: Arc::clone(self),
            outcome: RequestOutcome::Abandoned,
        }
    }

    fn release(self: &Arc<Self>, pick: &Pick, outcome: RequestOutcome) {
        lock(&self.state)
            .table
            .release(pick, outcome, self.clock.now());
        self.pump();
    }

    /// Gives free slots to those whose turn it is.
    pub(crate) fn pump(self: &Arc<Self>) {
        let mut undelivered = Vec::new();
        {
            let mut state = lock(&self.state);
            let services: Vec<ServiceId> = state.queues.keys().cloned().collect();
            for service in services {
                self.pump_service(&mut state, &service, &mut undelivered);
            }
        }
        // Dropped outside of the lock: a permit that finds nobody gives its slot back.
        for permit in undelivered {
            permit.finish(RequestOutcome::Answered);
        }
    }

    fn pump_service(
        self: &Arc<Self>,
        state: &mut State,
        service: &ServiceId,
        undelivered: &mut Vec<Permit>,
    ) {
        let now = self.clock.now();
        let State {
            table,
            queues,
            waiters,
        } = state;
        let Some(queue) = queues.get_mut(service) else {
            return;
        };
        for ticket in queue.expire(now) {
            waiters.remove(&(service.clone(), ticket));
        }
        while let Some(ticket) = queue.peek() {
            let key = (service.clone(), ticket);
            let Some(waiter) = waiters.get(&key) else {
                queue.remove(ticket);
                continue;
            };
            let Ok(pick) = pick(table, &waiter.wanted, now) else {
                return;
            };
            queue.pop(now);
            if let Some(waiter) = waiters.remove(&key)
                && let Err(permit) = waiter.sender.send(self.permit(pick))
            {
                undelivered.push(permit);
            }
        }
    }

    fn withdraw(&self, service: &ServiceId, ticket: Ticket) {
        let mut state = lock(&self.state);
        if state.waiters.remove(&(service.clone(), ticket)).is_some()
            && let Some(queue) = state.queues.get_mut(service)
        {
            queue.remove(ticket);
        }
    }
}

enum Entered {
    Served(Permit),
    Waits(Ticket, oneshot::Receiver<Permit>),
}

/// Takes a request out of the queue when its caller stops waiting.
struct Withdrawal<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a ServiceId,
    ticket: Ticket,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        self.dispatcher.withdraw(self.service, self.ticket);
    }
}

/// Picks a minion that was not tried yet, or any where all were.
fn pick(table: &mut MinionTable, wanted: &Wanted, now: Timestamp) -> Result<Pick, PickRefusal> {
    let (service, slots) = (&wanted.service, wanted.slots);
    match table.pick(service, slots, &wanted.avoid, now) {
        Err(PickRefusal::AllBusy) if !wanted.avoid.is_empty() => {
            table.pick(service, slots, &[], now)
        }
        found => found,
    }
}
