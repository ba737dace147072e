use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use quick_error::quick_error;

use super::RetryAfterBounds;
use crate::{ClassId, CustomerId, Timestamp, Verdict};

/// Returns the virtual time that a flow of the given weight is charged for `cost`.
///
/// A weight of zero counts as one.
pub(crate) fn virtual_cost(cost: u64, weight: u32) -> u64 {
    cost / u64::from(weight.max(1))
}

/// The requests of one customer in one priority class.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Priority class of the requests.
    pub class: ClassId,
    /// Customer that sends the requests.
    pub customer: CustomerId,
}

impl Flow {
    /// Creates the flow of `customer` in `class`.
    #[must_use]
    pub const fn new(class: ClassId, customer: CustomerId) -> Self {
        Self { class, customer }
    }
}

/// Identifies one waiting request in a [`FairQueue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

quick_error! {
    /// Why a [`FairQueue`] refused a request; each variant carries the delay before a retry.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Refusal {
        /// The flow has reached its limit of waiting requests.
        FlowFull(retry_after: Duration) {
            display("the customer's queue in this class is full")
        }
        /// The queue has reached its limit of waiting requests over all flows.
        QueueFull(retry_after: Duration) {
            display("the queue is full")
        }
        /// The deadline would pass before the request is served.
        Deadline(retry_after: Duration) {
            display("the deadline would pass while waiting")
        }
    }
}

impl Refusal {
    /// Returns [`Verdict::NotRun`], as a refused request is never sent to a minion.
    #[must_use]
    pub const fn verdict(self) -> Verdict {
        Verdict::NotRun
    }

    /// Returns how long the caller should wait before it retries.
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
    /// Weight given with the latest request, at least 1.
    weight: u32,
    /// Virtual start time of the flow's next request; the lowest is served first.
    start_tag: u64,
    waiting: VecDeque<Waiting>,
}

/// Bounded queues, one for each [`Flow`], served in proportion to their weights.
///
/// Implements start-time fair queueing: each flow has a start tag, a point in
/// virtual time. The flow with the lowest start tag is served next, and each
/// request served advances the flow's start tag in inverse proportion to its
/// weight. A burst in one flow therefore delays only that flow, and no flow starves.
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
    flow_by_ticket: BTreeMap<Ticket, Flow>,
    /// Highest start tag of the requests served so far.
    virtual_time: u64,
    next_ticket: u64,
    capacity: usize,
    flow_capacity: usize,
    /// Moving average of the time between two pops while the queue is non-empty, in microseconds.
    pop_interval_micros: u64,
    /// When the last request was popped; `None` if that left the queue empty.
    last_pop: Option<Timestamp>,
}

impl FairQueue {
    /// Virtual time charged for one request to a flow of weight one.
    const REQUEST_COST: u64 = 1 << 20;
    /// Longer times between two pops enter the moving average as this, in microseconds.
    const MAX_POP_INTERVAL_MICROS: u64 = 1_000_000;
    /// Bounds of the retry delay that refused callers are told.
    const RETRY_AFTER_BOUNDS: RetryAfterBounds = RetryAfterBounds {
        shortest: Duration::from_secs(1),
        longest: Duration::from_secs(30),
    };

    /// Creates a queue that holds up to `capacity` requests, and up to `flow_capacity` per flow.
    #[must_use]
    pub const fn new(capacity: usize, flow_capacity: usize) -> Self {
        Self {
            flows: BTreeMap::new(),
            flow_by_ticket: BTreeMap::new(),
            virtual_time: 0,
            next_ticket: 0,
            capacity,
            flow_capacity,
            pop_interval_micros: 0,
            last_pop: None,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flow_by_ticket.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flow_by_ticket.is_empty()
    }

    /// Adds a request to `flow` and sets the flow's weight.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the queue or the flow is full, or if the expected wait exceeds the
    /// deadline.
    pub fn push(
        &mut self,
        flow: Flow,
        weight: u32,
        now: Timestamp,
        deadline: Timestamp,
    ) -> Result<Ticket, Refusal> {
        let wait = self.expected_wait(&flow, weight);
        let retry_after = Self::RETRY_AFTER_BOUNDS.clamp(wait);
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
            state.start_tag = state.start_tag.max(self.virtual_time);
        }
        state.weight = weight.max(1);
        state.waiting.push_back(Waiting { ticket, deadline });
        self.flow_by_ticket.insert(ticket, flow);
        Ok(ticket)
    }

    /// Estimates how long a new request of `flow` would wait, from the recent service rate.
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
        let requests_ahead =
            (waiting_in_flow * total_weight / u64::from(weight.max(1))).min(self.len() as u64);
        Duration::from_micros(requests_ahead * self.pop_interval_micros)
    }

    fn next_flow(&self) -> Option<(&Flow, &FlowState)> {
        self.flows
            .iter()
            .filter(|(_, state)| !state.waiting.is_empty())
            .min_by_key(|(_, state)| state.start_tag)
    }

    /// Returns the request to serve next, without removing it.
    #[must_use]
    pub fn peek(&self) -> Option<Ticket> {
        self.next_flow()?.1.waiting.front().map(|w| w.ticket)
    }

    /// Removes and returns the request to serve next, and charges its flow.
    pub fn pop(&mut self, now: Timestamp) -> Option<Ticket> {
        let flow = self.next_flow()?.0.clone();
        let state = self.flows.get_mut(&flow)?;
        let waiting = state.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(state.start_tag);
        state.start_tag += virtual_cost(Self::REQUEST_COST, state.weight);
        self.flow_by_ticket.remove(&waiting.ticket);
        self.record_pop(now);
        self.remove_idle_flows();
        Some(waiting.ticket)
    }

    /// Removes one waiting request; returns `false` if it is not in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(flow) = self.flow_by_ticket.remove(&ticket) else {
            return false;
        };
        if let Some(state) = self.flows.get_mut(&flow) {
            state.waiting.retain(|w| w.ticket != ticket);
        }
        self.remove_idle_flows();
        true
    }

    /// Removes and returns every request whose deadline has passed.
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

    fn record_pop(&mut self, now: Timestamp) {
        if let Some(last) = self.last_pop {
            let sample = u64::try_from((now - last).as_micros()).unwrap_or(u64::MAX);
            let sample = sample.min(Self::MAX_POP_INTERVAL_MICROS);
            // The weight of the newest sample is 1/16.
            self.pop_interval_micros = (self.pop_interval_micros * 15 + sample) / 16;
        }
        self.last_pop = (!self.is_empty()).then_some(now);
    }

    /// Removes flows that are empty and not ahead of the virtual time, which bounds the state.
    fn remove_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, state| !state.waiting.is_empty() || state.start_tag > virtual_time);
    }
}
