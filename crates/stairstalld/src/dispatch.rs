//! Assigns slots of the zone's minions to waiting requests.

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

/// How often waiting requests are matched with slots that became free without a release, for
/// example because a minion was added or this daemon's share of the slots grew.
pub(crate) const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Divisor of the queue's capacity that gives the maximum number of waiting requests of one flow.
const FLOW_SHARE_DIVISOR: usize = 4;

/// A request for a minion's slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    pub(crate) service: ServiceId,
    /// Number of slots of each minion of the service.
    pub(crate) slots: u16,
    pub(crate) flow: Flow,
    pub(crate) weight: u32,
    pub(crate) deadline: Timestamp,
    /// Minions that were already tried; others are preferred.
    pub(crate) avoid: Vec<MinionId>,
}

/// Why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoSlot {
    /// The queue refused it at once.
    Refused(Refusal),
    /// Its deadline passed while it waited.
    Expired,
    /// The zone has no minion of the service.
    NoMinion,
}

/// A slot of a minion, which is released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) pick: Pick,
    dispatcher: Arc<Dispatcher>,
    outcome: RequestOutcome,
}

impl Permit {
    /// Releases the slot and records how the request ended. A permit that is only dropped counts as
    /// [`RequestOutcome::Abandoned`].
    pub(crate) fn finish(mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.dispatcher.release(&self.pick, self.outcome);
    }
}

/// A request that waits for a slot.
#[derive(Debug)]
struct Waiter {
    request: SlotRequest,
    sender: oneshot::Sender<Permit>,
}

#[derive(Debug)]
struct State {
    table: MinionTable,
    queues: BTreeMap<ServiceId, FairQueue>,
    waiters: HashMap<(ServiceId, Ticket), Waiter>,
}

/// The daemon's share of the zone's slots, and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    state: Mutex<State>,
    clock: Clock,
    /// Maximum number of waiting requests per service.
    capacity: usize,
}

impl Dispatcher {
    pub(crate) fn new(vm: VmId, clock: Clock, capacity: usize) -> Self {
        let table = MinionTable::new(SlotShares::new(vm, clock.now()));
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

    /// Gives up the shares of all slots, after the process was paused.
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

    /// Returns whether the zone has a minion that takes requests of the service.
    pub(crate) fn serves(&self, service: &ServiceId) -> bool {
        lock(&self.state).table.serves(service)
    }

    /// Returns how long a request would wait for a slot, or none if no minion serves it.
    pub(crate) fn expected_wait(&self, request: &SlotRequest) -> Option<Duration> {
        let state = lock(&self.state);
        if !state.table.serves(&request.service) {
            return None;
        }
        let queue = state.queues.get(&request.service);
        Some(queue.map_or(Duration::ZERO, |q| {
            q.expected_wait(&request.flow, request.weight)
        }))
    }

    /// Waits for a slot until the deadline.
    pub(crate) async fn acquire(self: &Arc<Self>, request: SlotRequest) -> Result<Permit, NoSlot> {
        let deadline = self.clock.instant(request.deadline);
        let (ticket, receiver) = match self.enqueue(&request)? {
            Enqueued::Served(permit) => return Ok(permit),
            Enqueued::Waiting(ticket, receiver) => (ticket, receiver),
        };
        let _withdrawal = Withdrawal {
            dispatcher: self,
            service: &request.service,
            ticket,
        };
        match tokio::time::timeout_at(deadline, receiver).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(NoSlot::Expired),
        }
    }

    /// Assigns a slot at once if no request waits for the service and a slot is free; otherwise
    /// queues the request.
    fn enqueue(self: &Arc<Self>, request: &SlotRequest) -> Result<Enqueued, NoSlot> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let empty = state
            .queues
            .get(&request.service)
            .is_none_or(FairQueue::is_empty);
        if empty {
            match pick(&mut state.table, request, now) {
                Ok(pick) => return Ok(Enqueued::Served(self.permit(pick))),
                Err(PickRefusal::NoMinion) => return Err(NoSlot::NoMinion),
                Err(PickRefusal::AllBusy) => {}
            }
        }
        let (capacity, flow_capacity) = (self.capacity, self.capacity.div_ceil(FLOW_SHARE_DIVISOR));
        let queue = state
            .queues
            .entry(request.service.clone())
            .or_insert_with(|| FairQueue::new(capacity, flow_capacity));
        let ticket = queue
            .push(request.flow.clone(), request.weight, now, request.deadline)
            .map_err(NoSlot::Refused)?;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            request: request.clone(),
            sender,
        };
        state
            .waiters
            .insert((request.service.clone(), ticket), waiter);
        Ok(Enqueued::Waiting(ticket, receiver))
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
        self.assign_free_slots();
    }

    /// Assigns free slots to waiting requests, in the order of the fair queue.
    pub(crate) fn assign_free_slots(self: &Arc<Self>) {
        let mut undelivered = Vec::new();
        {
            let mut state = lock(&self.state);
            let services: Vec<ServiceId> = state.queues.keys().cloned().collect();
            for service in services {
                self.assign_free_slots_of(&mut state, &service, &mut undelivered);
            }
        }
        // Permits whose receiver is gone are dropped outside the lock, because that releases the
        // slot, which takes the lock.
        for permit in undelivered {
            permit.finish(RequestOutcome::Answered);
        }
    }

    fn assign_free_slots_of(
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
            let Ok(pick) = pick(table, &waiter.request, now) else {
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

    /// Removes a request from the queue.
    fn withdraw(&self, service: &ServiceId, ticket: Ticket) {
        let mut state = lock(&self.state);
        if state.waiters.remove(&(service.clone(), ticket)).is_some()
            && let Some(queue) = state.queues.get_mut(service)
        {
            queue.remove(ticket);
        }
    }
}

enum Enqueued {
    Served(Permit),
    Waiting(Ticket, oneshot::Receiver<Permit>),
}

/// Removes a request from the queue when its caller stops waiting.
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

/// Picks a minion that was not tried yet, or any minion if all others are busy.
fn pick(
    table: &mut MinionTable,
    request: &SlotRequest,
    now: Timestamp,
) -> Result<Pick, PickRefusal> {
    let (service, slots) = (&request.service, request.slots);
    match table.pick(service, slots, &request.avoid, now) {
        Err(PickRefusal::AllBusy) if !request.avoid.is_empty() => {
            table.pick(service, slots, &[], now)
        }
        found => found,
    }
}
