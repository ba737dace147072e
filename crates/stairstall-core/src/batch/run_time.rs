//! Run times of each queue relative to the callers' estimates, learned from ended runs and from the
//! progress of running ones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RunTimePolicy;
use crate::{CustomerId, Timestamp};

mod histogram;
mod stored;

use histogram::{CompletionCurve, RatioHistogram};
pub use stored::StoredRatios;
pub(in crate::batch) use stored::differ_significantly;

/// Fraction of the work that takes no longer than its typical time, which is the median.
const TYPICAL_FRACTION: f64 = 0.5;
/// Fraction of the work that takes no longer than its 90th percentile.
const P90_FRACTION: f64 = 0.9;
/// Maximum number of queues with evidence of their own. Together with the customers, they take
/// about 200 KB.
const MAX_QUEUES: usize = 64;
/// Maximum number of customers with evidence of their own, over all queues.
const MAX_CUSTOMERS: usize = 256;
/// Maximum number of queues and customers that are stored, which takes about 6 KB.
const MAX_STORED: usize = 128;

/// Expected run time of a task at a worker of typical pace near its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTime {
    /// Time that half of such tasks take at most.
    pub typical: Duration,
    /// Time that 90% of such tasks take at most.
    pub p90: Duration,
}

impl RunTime {
    /// Creates the run time of work of which only the caller's estimate is known.
    #[must_use]
    pub const fn from_estimate(estimate: Duration) -> Self {
        Self {
            typical: estimate,
            p90: estimate,
        }
    }
}

/// Work as described by its caller.
#[derive(Debug, Clone, Copy)]
pub struct EstimatedWork<'a> {
    /// Name of the queue.
    pub queue: &'a str,
    /// Customer that the work belongs to, if any.
    pub customer: Option<&'a CustomerId>,
    /// The caller's estimate of how long a task takes.
    pub estimate: Duration,
}

/// Observation of work that has not completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunTimeObservation {
    /// Total time projected from the progress so far.
    Projected(Duration),
    /// Lower bound of the total time.
    AtLeast(Duration),
}

/// Learned run times of all queues.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    policy: RunTimePolicy,
    queues: BTreeMap<String, Queue>,
    /// When running work was last sampled.
    sampled_at: Option<Timestamp>,
}

/// Evidence of one queue and of its customers.
#[derive(Debug, Clone, Default)]
struct Queue {
    all: Evidence,
    by_customer: BTreeMap<CustomerId, Evidence>,
}

/// Evidence of how long work of a queue or a customer takes.
#[derive(Debug, Clone, Default)]
struct Evidence {
    /// Ratios of ended work.
    ended: RatioHistogram,
    /// Ratios of work that ran when it was last sampled.
    running: RatioHistogram,
    /// Time up to which the evidence of ended work has been aged.
    at: Timestamp,
    learned: Option<LearnedRatios>,
}

/// Ratios of run time to estimate that are learned from the evidence.
#[derive(Debug, Clone, Copy)]
struct LearnedRatios {
    typical: f64,
    p90: f64,
    /// Time until which the evidence suffices if no more is added.
    until: Timestamp,
}

impl RunTimes {
    /// Creates an instance without any evidence.
    #[must_use]
    pub const fn new(policy: RunTimePolicy) -> Self {
        Self {
            policy,
            queues: BTreeMap::new(),
            sampled_at: None,
        }
    }

    /// Records the time that a task or gang took without any disturbance, converted to a worker of
    /// typical pace near its data.
    pub fn record_completed(&mut self, work: &EstimatedWork<'_>, took: Duration, at: Timestamp) {
        let ratio = ratio(took, work.estimate);
        self.add(work, at, |ended| ended.add_complete(ratio));
    }

    /// Records the progress of work that was stopped for a reason other than its own pace.
    pub fn record_stopped(
        &mut self,
        work: &EstimatedWork<'_>,
        observation: RunTimeObservation,
        at: Timestamp,
    ) {
        if self.policy.counts_unfinished {
            self.add(work, at, |ended| {
                ended.add_observation(observation, work.estimate);
            });
        }
    }

    /// Returns whether it is time to sample running work again.
    #[must_use]
    pub fn is_sampling_due(&self, at: Timestamp) -> bool {
        let interval = self.policy.scan_interval;
        let is_due = self.sampled_at.is_none_or(|last| at - last >= interval);
        self.is_enabled() && self.policy.counts_unfinished && is_due
    }

    /// Replaces the samples of running work by the current progress of everything that runs.
    pub fn sample_running<'a>(
        &mut self,
        running: impl IntoIterator<Item = (EstimatedWork<'a>, RunTimeObservation)>,
        at: Timestamp,
    ) {
        self.sampled_at = Some(at);
        for evidence in self.all_evidence() {
            evidence.running = RatioHistogram::default();
        }
        for (work, observation) in running {
            for evidence in self.evidence_of(&work, at) {
                evidence.running.add_observation(observation, work.estimate);
            }
        }
        self.learn(at);
    }

    /// Returns the learned run time of such work, or the caller's estimate if there is none.
    #[must_use]
    pub fn run_time(&self, work: &EstimatedWork<'_>, at: Timestamp) -> RunTime {
        let learned = self.learned_run_time(work, at);
        learned.unwrap_or_else(|| RunTime::from_estimate(work.estimate))
    }

    /// Returns the learned run time of such work; `None` without enough evidence. Evidence of the
    /// customer takes precedence over that of the whole queue.
    #[must_use]
    pub fn learned_run_time(&self, work: &EstimatedWork<'_>, at: Timestamp) -> Option<RunTime> {
        let queue = self.queues.get(work.queue).filter(|_| self.is_enabled())?;
        let own = work.customer.and_then(|name| queue.by_customer.get(name));
        let of_customer = own.and_then(|evidence| evidence.learned_at(at));
        let learned = of_customer.or_else(|| queue.all.learned_at(at))?;
        Some(RunTime {
            typical: work.estimate.mul_f64(learned.typical),
            p90: work.estimate.mul_f64(learned.p90),
        })
    }

    /// Returns whether run times are learned and used.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Returns the evidence to store for the next planner, that with the highest weight first.
    #[must_use]
    pub fn to_stored(&self, at: Timestamp) -> Vec<StoredRatios> {
        let half_life = self.policy.half_life;
        let mut all: Vec<(f32, StoredRatios)> = self
            .queues
            .iter()
            .flat_map(|(name, queue)| {
                let own = queue.by_customer.iter();
                let own = own.map(move |(customer, evidence)| (name, Some(customer), evidence));
                std::iter::once((name, None, &queue.all)).chain(own)
            })
            .filter(|(_, _, evidence)| evidence.learned_at(at).is_some())
            .map(|(name, customer, evidence)| {
                let ended = evidence.ended_aged_to(at, half_life);
                let stored = StoredRatios::new(name, customer, &ended);
                (ended.complete_weight(), stored)
            })
            .collect();
        all.sort_by(|one, two| two.0.total_cmp(&one.0));
        all.truncate(MAX_STORED);
        all.into_iter().map(|(_, stored)| stored).collect()
    }

    /// Adopts the evidence that an earlier planner stored `age` ago. Evidence of this planner takes
    /// precedence.
    pub fn restore(&mut self, stored: &[StoredRatios], age: Duration, at: Timestamp) {
        if !self.is_enabled() {
            return;
        }
        let policy = self.policy;
        for entry in stored.iter().take(MAX_STORED) {
            if entry.customer.is_some() && policy.customer_known_from == 0 {
                continue;
            }
            let work = EstimatedWork {
                queue: &entry.queue,
                customer: entry.customer.as_ref(),
                estimate: Duration::ZERO,
            };
            let evidence = self.evidence_of(&work, at).pop();
            if let Some(evidence) = evidence.filter(|evidence| evidence.ended.weight() <= 0.0) {
                evidence.ended = entry.histogram();
                evidence.ended.scale(decay(age, policy.half_life));
                evidence.ended.limit_weight(policy.max_sample_weight);
            }
        }
        self.learn(at);
    }

    /// Updates the learned ratios of all queues and customers.
    fn learn(&mut self, at: Timestamp) {
        let policy = self.policy;
        for queue in self.queues.values_mut() {
            queue.all.learn(policy.known_from, at, &policy);
            for evidence in queue.by_customer.values_mut() {
                evidence.learn(policy.customer_known_from, at, &policy);
            }
        }
    }

    fn add(&mut self, work: &EstimatedWork<'_>, at: Timestamp, add: impl Fn(&mut RatioHistogram)) {
        if !self.is_enabled() {
            return;
        }
        let policy = self.policy;
        let known_from = [policy.known_from, policy.customer_known_from];
        let found = self.evidence_of(work, at);
        for (evidence, known_from) in found.into_iter().zip(known_from) {
            evidence.age(at, policy.half_life);
            add(&mut evidence.ended);
            evidence.ended.limit_weight(policy.max_sample_weight);
            evidence.learn(known_from, at, &policy);
        }
    }

    /// Returns the evidence of the queue, followed by that of the customer if there is one and
    /// customers are distinguished. Creates what is missing.
    fn evidence_of(&mut self, work: &EstimatedWork<'_>, at: Timestamp) -> Vec<&mut Evidence> {
        if !self.queues.contains_key(work.queue) {
            self.evict_queue_if_full();
            self.queues.insert(work.queue.to_owned(), Queue::empty(at));
        }
        let customer = work
            .customer
            .filter(|_| self.policy.customer_known_from > 0);
        if let Some(customer) = customer {
            let queue = self.queues.get(work.queue);
            if queue.is_some_and(|queue| !queue.by_customer.contains_key(customer)) {
                self.evict_customer_if_full();
            }
        }
        let Some(queue) = self.queues.get_mut(work.queue) else {
            return Vec::new();
        };
        let mut found = vec![&mut queue.all];
        if let Some(customer) = customer {
            let own = queue.by_customer.entry(customer.clone());
            found.push(own.or_insert_with(|| Evidence::empty(at)));
        }
        found
    }

    fn all_evidence(&mut self) -> impl Iterator<Item = &mut Evidence> {
        let queues = self.queues.values_mut();
        queues
            .flat_map(|queue| std::iter::once(&mut queue.all).chain(queue.by_customer.values_mut()))
    }

    /// Evicts the queue with the least evidence if the maximum number is reached.
    fn evict_queue_if_full(&mut self) {
        if self.queues.len() < MAX_QUEUES {
            return;
        }
        let weights = self
            .queues
            .iter()
            .map(|(name, queue)| (queue.all.weight(), name));
        let least = weights.min_by(|one, two| one.0.total_cmp(&two.0));
        if let Some(name) = least.map(|(_, name)| name.clone()) {
            self.queues.remove(&name);
        }
    }

    /// Evicts the customer with the least evidence if the maximum number is reached.
    fn evict_customer_if_full(&mut self) {
        let customers = self.queues.iter().flat_map(|(name, queue)| {
            let own = queue.by_customer.iter();
            own.map(move |(customer, evidence)| (evidence.weight(), name, customer))
        });
        if customers.clone().count() < MAX_CUSTOMERS {
            return;
        }
        let least = customers.min_by(|one, two| one.0.total_cmp(&two.0));
        let Some((name, customer)) = least.map(|(_, n, c)| (n.clone(), c.clone())) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&name) {
            queue.by_customer.remove(&customer);
        }
    }
}

impl Queue {
    fn empty(at: Timestamp) -> Self {
        Self {
            all: Evidence::empty(at),
            by_customer: BTreeMap::new(),
        }
    }
}

impl Evidence {
    fn empty(at: Timestamp) -> Self {
        Self {
            at,
            ..Self::default()
        }
    }

    fn learned_at(&self, at: Timestamp) -> Option<LearnedRatios> {
        self.learned.filter(|learned| at <= learned.until)
    }

    fn weight(&self) -> f32 {
        self.ended.weight() + self.running.weight()
    }

    /// Returns the evidence of ended work, aged to a later time.
    fn ended_aged_to(&self, at: Timestamp, half_life: Duration) -> RatioHistogram {
        let mut ended = self.ended;
        ended.scale(decay(at - self.at, half_life));
        ended
    }

    /// Ages the evidence of ended work to a later time.
    fn age(&mut self, at: Timestamp, half_life: Duration) {
        self.ended = self.ended_aged_to(at, half_life);
        self.at = self.at.max(at);
    }

    /// Updates the learned ratios from the evidence; there are none while it is insufficient.
    fn learn(&mut self, known_from: u16, at: Timestamp, policy: &RunTimePolicy) {
        self.age(at, policy.half_life);
        let weight = f64::from(self.ended.complete_weight() + self.running.complete_weight());
        let enough = f64::from(known_from.max(1));
        // Ratios that were learned once need only half as much evidence, so that they do not appear
        // and disappear at the threshold.
        let least = enough / 2.0;
        let threshold = if self.learned.is_some() {
            least
        } else {
            enough
        };
        if weight < threshold {
            self.learned = None;
            return;
        }
        let curve = CompletionCurve::of(&self.ended, &self.running);
        // The evidence halves with each half-life.
        let valid_for = policy.half_life.mul_f64((weight / least).log2());
        self.learned = Some(LearnedRatios {
            typical: curve.quantile(TYPICAL_FRACTION),
            p90: curve.quantile(P90_FRACTION),
            until: self.at + valid_for,
        });
    }
}

impl RatioHistogram {
    fn add_observation(&mut self, observation: RunTimeObservation, estimate: Duration) {
        match observation {
            RunTimeObservation::Projected(total) => self.add_complete(ratio(total, estimate)),
            RunTimeObservation::AtLeast(least) => self.add_censored(ratio(least, estimate)),
        }
    }

    /// Scales all weights down if the total exceeds `max_weight`.
    fn limit_weight(&mut self, max_weight: u16) {
        let weight = self.weight();
        if weight > f32::from(max_weight) {
            self.scale(f32::from(max_weight) / weight);
        }
    }
}

/// Returns the ratio of run time to estimate; an estimate below a millisecond counts as one.
fn ratio(took: Duration, estimate: Duration) -> f64 {
    took.as_secs_f64() / estimate.max(Duration::from_millis(1)).as_secs_f64()
}

/// Returns the factor by which evidence has decayed after a time.
#[allow(clippy::cast_possible_truncation, reason = "a factor of at most 1")]
fn decay(after: Duration, half_life: Duration) -> f32 {
    let half_lives = after.as_secs_f64() / half_life.as_secs_f64().max(0.001);
    (-half_lives).exp2() as f32
}
