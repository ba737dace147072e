use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use quick_error::quick_error;

use super::RetryAfterBounds;
use crate::{ClassId, CustomerId, Timestamp, Verdict};

/// Returns by how much a cost moves on the virtual time of whoever has a weight.
pub(crate) fn virtual_cost(cost: u64, weight: u32) -> u64 {
    cost / u64::from(weight.max(1))
}

/// The requests of one customer in one priority class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The priority class.
    pub class: ClassId,
    /// The customer.
    pub customer: CustomerId,
}

impl Flow {
    /// Creates the flow of `customer` in `class`.
    #[must_use]
    pub const fn new(class: ClassId, customer: CustomerId) -> Self {
        Self { class, customer }
    }
}

/// Names one waiting request in a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

quick_error! {
    /// Why a request was not let in.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Refusal {
        /// The flow holds as many waiting requests as it may.
        FlowFull(retry_after: Duration) {
            display("the customer's queue in this class is full")
        }
        /// The whole queue holds as many as it may.
        QueueFull(retry_after: Duration) {
            display("the queue is full")
        }
        /// The deadline would pass before the request's turn.
        Deadline(retry_after: Duration) {
            display("the deadline would pass while waiting")
        }
    }
}

impl Refusal {
    /// Returns [`Verdict::NotRun`]: a refused request was never sent.
    #[must_use]
    pub const fn verdict(self) -> Verdict {
        Verdict::NotRun
    }

    /// Returns when it is worth coming back.
    #[must_use]
    pub const fn retry_after(self) -> Duration {
        match self {
            Self::FlowFull(after) | Self::QueueFull(after) | Self::Deadline(after) => after,
        }
    }
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    deadline: Timestamp,
}

#[derive(Debug, Clone, Default)]
struct FlowState {
    weight: u32,
    finish: u64,
    waiting: VecDeque<Waiting>,
}

/// Bounded queues, one for each [`Flow`], served in proportion to their weights.
///
/// This is start-time fair queueing: a flow's turn comes at a virtual time that
/// moves on by the inverse of its weight with each request served. A burst in
/// one flow therefore delays only that flow, and no flow starves.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use stairstall_core::Timestamp;
/// use stairstall_core::admission::{FairQueue, Flow};
///
/// let mut queue = FairQueue::new(100, 10);
/// let flow = Flow::new("web".parse().unwrap(), "acme".parse().unwrap());
/// let now = Timestamp::from_millis(0);
/// let ticket = queue.push(flow, 4, now, now + Duration::from_secs(1)).unwrap();
/// assert_eq!(queue.pop(now), Some(ticket));
/// ```
#[derive(Debug, Clone)]
pub struct FairQueue {
    flows: BTreeMap<Flow, FlowState>,
    owners: BTreeMap<Ticket, Flow>,
    virtual_time: u64,
    next_ticket: u64,
    capacity: usize,
    flow_capacity: usize,
    /// Moving average of the time between two pops while the queue is not empty, in microseconds.
    interval_micros: u64,
    last_pop: Option<Timestamp>,
}

impl FairQueue {
    /// Virtual time that one request of weight one takes.
    const COST: u64 = 1 << 20;
    /// Bounds of the hint of when to come back.
    const RETURN_BOUNDS: RetryAfterBounds = RetryAfterBounds {
        shortest: Duration::from_secs(1),
        longest: Duration::from_secs(30),
    };

    /// Creates a queue for `capacity` requests, `flow_capacity` of any one flow.
    #[must_use]
    pub const fn new(capacity: usize, flow_capacity: usize) -> Self {
        Self {
            flows: BTreeMap::new(),
            owners: BTreeMap::new(),
            virtual_time: 0,
            next_ticket: 0,
            capacity,
            flow_capacity,
            interval_micros: 0,
            last_pop: None,
        }
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Tells whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Adds a request of `flow` with the given weight.
    ///
    /// # Errors
    ///
    /// Refuses at once where a bound is reached or the deadline can't be met.
    pub fn push(
        &mut self,
        flow: Flow,
        weight: u32,
        now: Timestamp,
        deadline: Timestamp,
    ) -> Result<Ticket, Refusal> {
        let wait = self.expected_wait(&flow, weight);
        let retry_after = Self::RETURN_BOUNDS.clamp(wait);
        if self.len() >= self.capacity {
            return Err(Refusal::QueueFull(retry_after));
        }
        let waiting_in_flow = self.flows.get(&flow).map_or(0, |f| f.waiting.len());
        if waiting_in_flow >= self.flow_capacity {
            return Err(Refusal::FlowFull(retry_after));
        }
        if now >= deadline || now + wait > deadline {
            return Err(Refusal::Deadline(retry_after));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let state = self.flows.entry(flow.clone()).or_default();
        if state.waiting.is_empty() {
            state.finish = state.finish.max(self.virtual_time);
        }
        state.weight = weight.max(1);
        state.waiting.push_back(Waiting { ticket, deadline });
        self.owners.insert(ticket, flow);
        Ok(ticket)
    }

    /// Estimates how long a new request of `flow` would wait, from the recent rate of service.
    #[must_use]
    pub fn expected_wait(&self, flow: &Flow, weight: u32) -> Duration {
        let waiting_in_flow = self.flows.get(flow).map_or(0, |f| f.waiting.len()) as u64;
        let total_weight: u64 = self
            .flows
            .iter()
            .filter(|(other, state)| *other != flow && !state.waiting.is_empty())
            .map(|(_, state)| u64::from(state.weight))
            .sum::<u64>()
            + u64::from(weight.max(1));
        let turns =
            (waiting_in_flow * total_weight / u64::from(weight.max(1))).min(self.len() as u64);
        Duration::from_micros(turns * self.interval_micros)
    }

    fn next_flow(&self) -> Option<(&Flow, &FlowState)> {
        self.flows
            .iter()
            .filter(|(_, state)| !state.waiting.is_empty())
            .min_by_key(|(_, state)| state.finish)
    }

    /// Returns the request whose turn it is.
    #[must_use]
    pub fn peek(&self) -> Option<Ticket> {
        self.next_flow()?.1.waiting.front().map(|w| w.ticket)
    }

    /// Takes the request whose turn it is; its flow is charged.
    pub fn pop(&mut self, now: Timestamp) -> Option<Ticket> {
        let flow = self.next_flow()?.0.clone();
        let state = self.flows.get_mut(&flow)?;
        let waiting = state.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(state.finish);
        state.finish += virtual_cost(Self::COST, state.weight);
        self.owners.remove(&waiting.ticket);
        self.note_pop(now);
        self.forget_idle();
        Some(waiting.ticket)
    }

    /// Takes out one request, wherever it waits.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(flow) = self.owners.remove(&ticket) else {
            return false;
        };
        if let Some(state) = self.flows.get_mut(&flow) {
            state.waiting.retain(|w| w.ticket != ticket);
        }
        self.forget_idle();
        true
    }

    /// Takes out every request whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Ticket> {
        let expired: Vec<Ticket> = self
            .flows
            .values()
            .flat_map(|state| &state.waiting)
            .filter(|w| w.deadline <= now)
            .map(|w| w.ticket)
            .collect();
        for ticket in &expired {
            self.remove(*ticket);
        }
        expired
    }

    fn note_pop(&mut self, now: Timestamp) {
        if let Some(last) = self.last_pop {
            let sample = u64::try_from((now - last).as_micros()).unwrap_or(u64::MAX);
            let sample = sample.min(1_000_000);
            self.interval_micros = (self.interval_micros * 15 + sample) / 16;
        }
        self.last_pop = (!self.is_empty()).then_some(now);
    }

    /// Drops flows that are empty and not ahead of virtual time, so that state stays bounded.
    fn forget_idle(&mut self) {
        let now = self.virtual_time;
        self.flows
            .retain(|_, state| !state.waiting.is_empty() || state.finish > now);
    }
}
