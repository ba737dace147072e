//! How long the work of a queue takes beside what its callers estimate, learnt from what ended and
//! from how far what runs has come.

use std::collections::BTreeMap;
use std::time::Duration;

use super::RunTimePolicy;
use crate::{CustomerId, Timestamp};

mod kept;
mod ratios;

pub use kept::StoredRatios;
pub(in crate::batch) use kept::differ_significantly;
use ratios::{Curve, Ratios};

/// Which part of the work takes no longer than its typical time.
const TYPICAL_PART: f64 = 0.5;
/// Which part takes no longer than its long time.
const LONG_PART: f64 = 0.9;
/// Most queues that are told apart, and most customers over all queues: some 200 KB together.
const MAX_QUEUES: usize = 64;
const MAX_CUSTOMERS: usize = 256;
/// Most of them that are written down: some 6 KB.
const MAX_KEPT: usize = 128;

/// How long a task should take at a worker of usual pace, near its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTime {
    /// What half of the tasks like it take at most.
    pub typical: Duration,
    /// What nearly all of them take at most.
    pub p90: Duration,
}

impl RunTime {
    /// A time of which nothing but the estimate is known.
    #[must_use]
    pub const fn from_estimate(estimate: Duration) -> Self {
        Self {
            typical: estimate,
            p90: estimate,
        }
    }
}

/// Work as its caller describes it.
#[derive(Debug, Clone, Copy)]
pub struct EstimatedWork<'a> {
    /// The queue's name.
    pub queue: &'a str,
    /// Whose it is.
    pub customer: Option<&'a CustomerId>,
    /// The caller's guess of how long a task takes.
    pub estimate: Duration,
}

/// What is known of work that has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunTimeObservation {
    /// It takes so long in all, at the pace that it has shown.
    Projected(Duration),
    /// It takes at least so long.
    AtLeast(Duration),
}

/// What is known of the run times of all queues.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    policy: RunTimePolicy,
    queues: BTreeMap<String, Queue>,
    /// When what runs was last looked through.
    looked_at: Option<Timestamp>,
}

/// What is known of a queue.
#[derive(Debug, Clone, Default)]
struct Queue {
    all: Seen,
    by_customer: BTreeMap<CustomerId, Seen>,
}

/// What was seen of some work.
#[derive(Debug, Clone, Default)]
struct Seen {
    /// Of what has ended.
    ended: Ratios,
    /// Of what ran when it was last looked through.
    running: Ratios,
    /// The moment as of which the evidence of what has ended counts.
    at: Timestamp,
    known: Option<Known>,
}

/// The ratios that are told.
#[derive(Debug, Clone, Copy)]
struct Known {
    typical: f64,
    long: f64,
    /// Until when there is enough evidence, if no more comes.
    until: Timestamp,
}

impl RunTimes {
    /// Creates the knowledge of a planner that has seen nothing end.
    #[must_use]
    pub const fn new(policy: RunTimePolicy) -> Self {
        Self {
            policy,
            queues: BTreeMap::new(),
            looked_at: None,
        }
    }

    /// Takes the time that a task, or a gang, took that nothing had disturbed, as it would have
    /// taken at a worker of usual pace near its data.
    pub fn record_completed(&mut self, work: &EstimatedWork<'_>, took: Duration, at: Timestamp) {
        let ratio = ratio(took, work.estimate);
        self.add(work, at, |ended| ended.add_whole(ratio));
    }

    /// Takes how far work had come that was stopped for another reason than its own pace.
    pub fn record_stopped(
        &mut self,
        work: &EstimatedWork<'_>,
        so_far: RunTimeObservation,
        at: Timestamp,
    ) {
        if self.policy.counts_unfinished {
            self.add(work, at, |ended| ended.add_so_far(so_far, work.estimate));
        }
    }

    /// Tells whether what runs should be looked through.
    #[must_use]
    pub fn is_sampling_due(&self, at: Timestamp) -> bool {
        let interval = self.policy.scan_interval;
        let is_due = self.looked_at.is_none_or(|last| at - last >= interval);
        self.is_enabled() && self.policy.counts_unfinished && is_due
    }

    /// Takes how far everything has come that runs, in place of what was told before.
    pub fn sample_running<'a>(
        &mut self,
        running: impl IntoIterator<Item = (EstimatedWork<'a>, RunTimeObservation)>,
        at: Timestamp,
    ) {
        self.looked_at = Some(at);
        for seen in self.all_seen() {
            seen.running = Ratios::default();
        }
        for (work, so_far) in running {
            for seen in self.seen_of(&work, at) {
                seen.running.add_so_far(so_far, work.estimate);
            }
        }
        self.learn(at);
    }

    /// Returns how long such work should take.
    #[must_use]
    pub fn run_time(&self, work: &EstimatedWork<'_>, at: Timestamp) -> RunTime {
        let known = self.learned_run_time(work, at);
        known.unwrap_or_else(|| RunTime::from_estimate(work.estimate))
    }

    /// Returns how long such work should take where enough was seen of it.
    #[must_use]
    pub fn learned_run_time(&self, work: &EstimatedWork<'_>, at: Timestamp) -> Option<RunTime> {
        let queue = self.queues.get(work.queue).filter(|_| self.is_enabled())?;
        let own = work.customer.and_then(|name| queue.by_customer.get(name));
        let of_customer = own.and_then(|seen| seen.known_at(at));
        let known = of_customer.or_else(|| queue.all.known_at(at))?;
        Some(RunTime {
            typical: work.estimate.mul_f64(known.typical),
            p90: work.estimate.mul_f64(known.long),
        })
    }

    /// Tells whether run times are learnt and used.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.policy.enabled
    }

    /// Returns what a later planner should know, where most is known first.
    #[must_use]
    pub fn to_stored(&self, at: Timestamp) -> Vec<StoredRatios> {
        let half_life = self.policy.half_life;
        let mut all: Vec<(f32, StoredRatios)> = self
            .queues
            .iter()
            .flat_map(|(name, queue)| {
                let own = queue.by_customer.iter();
                let own = own.map(move |(customer, seen)| (name, Some(customer), seen));
                std::iter::once((name, None, &queue.all)).chain(own)
            })
            .filter(|(_, _, seen)| seen.known_at(at).is_some())
            .map(|(name, customer, seen)| {
                let ended = seen.ended_by(at, half_life);
                let kept = StoredRatios::of(name, customer, &ended);
                (ended.known_weight(), kept)
            })
            .collect();
        all.sort_by(|one, two| two.0.total_cmp(&one.0));
        all.truncate(MAX_KEPT);
        all.into_iter().map(|(_, kept)| kept).collect()
    }

    /// Takes what an earlier planner knew so long ago; what is known here already stands.
    pub fn restore(&mut self, kept: &[StoredRatios], age: Duration, at: Timestamp) {
        if !self.is_enabled() {
            return;
        }
        let policy = self.policy;
        for entry in kept.iter().take(MAX_KEPT) {
            if entry.customer.is_some() && policy.customer_known_from == 0 {
                continue;
            }
            let work = EstimatedWork {
                queue: &entry.queue,
                customer: entry.customer.as_ref(),
                estimate: Duration::ZERO,
            };
            let seen = self.seen_of(&work, at).pop();
            if let Some(seen) = seen.filter(|seen| seen.ended.weight() <= 0.0) {
                seen.ended = entry.ratios();
                seen.ended.scale(part_left(age, policy.half_life));
                seen.ended.keep_within(policy.max_sample_weight);
            }
        }
        self.learn(at);
    }

    /// Works out everything that is told from now on.
    fn learn(&mut self, at: Timestamp) {
        let policy = self.policy;
        for queue in self.queues.values_mut() {
            queue.all.learn(policy.known_from, at, &policy);
            for seen in queue.by_customer.values_mut() {
                seen.learn(policy.customer_known_from, at, &policy);
            }
        }
    }

    fn add(&mut self, work: &EstimatedWork<'_>, at: Timestamp, add: impl Fn(&mut Ratios)) {
        if !self.is_enabled() {
            return;
        }
        let policy = self.policy;
        let known_from = [policy.known_from, policy.customer_known_from];
        let found = self.seen_of(work, at);
        for (seen, known_from) in found.into_iter().zip(known_from) {
            seen.age(at, policy.half_life);
            add(&mut seen.ended);
            seen.ended.keep_within(policy.max_sample_weight);
            seen.learn(known_from, at, &policy);
        }
    }

    /// Returns what is seen of a queue, and of the customer where customers are told apart.
    fn seen_of(&mut self, work: &EstimatedWork<'_>, at: Timestamp) -> Vec<&mut Seen> {
        if !self.queues.contains_key(work.queue) {
            self.make_room_for_queue();
            self.queues.insert(work.queue.to_owned(), Queue::begun(at));
        }
        let customer = work
            .customer
            .filter(|_| self.policy.customer_known_from > 0);
        if let Some(customer) = customer {
            let known = self.queues.get(work.queue);
            if known.is_some_and(|queue| !queue.by_customer.contains_key(customer)) {
                self.make_room_for_customer();
            }
        }
        let Some(queue) = self.queues.get_mut(work.queue) else {
            return Vec::new();
        };
        let mut found = vec![&mut queue.all];
        if let Some(customer) = customer {
            let own = queue.by_customer.entry(customer.clone());
            found.push(own.or_insert_with(|| Seen::begun(at)));
        }
        found
    }

    fn all_seen(&mut self) -> impl Iterator<Item = &mut Seen> {
        let queues = self.queues.values_mut();
        queues
            .flat_map(|queue| std::iter::once(&mut queue.all).chain(queue.by_customer.values_mut()))
    }

    /// Forgets the queue of which least was seen, where there are too many.
    fn make_room_for_queue(&mut self) {
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

    /// Forgets the customer of which least was seen, where there are too many.
    fn make_room_for_customer(&mut self) {
        let customers = self.queues.iter().flat_map(|(name, queue)| {
            let own = queue.by_customer.iter();
            own.map(move |(customer, seen)| (seen.weight(), name, customer))
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
    fn begun(at: Timestamp) -> Self {
        Self {
            all: Seen::begun(at),
            by_customer: BTreeMap::new(),
        }
    }
}

impl Seen {
    fn begun(at: Timestamp) -> Self {
        Self {
            at,
            ..Self::default()
        }
    }

    fn known_at(&self, at: Timestamp) -> Option<Known> {
        self.known.filter(|known| at <= known.until)
    }

    fn weight(&self) -> f32 {
        self.ended.weight() + self.running.weight()
    }

    /// Returns what the evidence of what has ended counts at a later time.
    fn ended_by(&self, at: Timestamp, half_life: Duration) -> Ratios {
        let mut ended = self.ended;
        ended.scale(part_left(at - self.at, half_life));
        ended
    }

    /// Lets the evidence of what has ended count as of a later time.
    fn age(&mut self, at: Timestamp, half_life: Duration) {
        self.ended = self.ended_by(at, half_life);
        self.at = self.at.max(at);
    }

    /// Works out what is told from now on.
    fn learn(&mut self, known_from: u16, at: Timestamp, policy: &RunTimePolicy) {
        self.age(at, policy.half_life);
        let weight = f64::from(self.ended.known_weight() + self.running.known_weight());
        let enough = f64::from(known_from.max(1));
        // What is known stays known for one more half-life, or it would come and go.
        let least = enough / 2.0;
        if weight < if self.known.is_some() { least } else { enough } {
            self.known = None;
            return;
        }
        let curve = Curve::of(&self.ended, &self.running);
        // Each half-life halves the evidence.
        let lasts = policy.half_life.mul_f64((weight / least).log2());
        self.known = Some(Known {
            typical: curve.ratio_at(TYPICAL_PART),
            long: curve.ratio_at(LONG_PART),
            until: self.at + lasts,
        });
    }
}

impl Ratios {
    fn add_so_far(&mut self, so_far: RunTimeObservation, estimate: Duration) {
        match so_far {
            RunTimeObservation::Projected(whole) => self.add_whole(ratio(whole, estimate)),
            RunTimeObservation::AtLeast(least) => self.add_cut(ratio(least, estimate)),
        }
    }

    /// Lets everything count for less where it is more than so many runs.
    fn keep_within(&mut self, most_runs: u16) {
        let weight = self.weight();
        if weight > f32::from(most_runs) {
            self.scale(f32::from(most_runs) / weight);
        }
    }
}

/// Returns how many times its estimate work took; an estimate of nothing counts as a millisecond.
fn ratio(took: Duration, estimate: Duration) -> f64 {
    took.as_secs_f64() / estimate.max(Duration::from_millis(1)).as_secs_f64()
}

/// Returns which part of the evidence is left after a while.
#[allow(clippy::cast_possible_truncation, reason = "a part of one")]
fn part_left(after: Duration, half_life: Duration) -> f32 {
    let half_lives = after.as_secs_f64() / half_life.as_secs_f64().max(0.001);
    (-half_lives).exp2() as f32
}
