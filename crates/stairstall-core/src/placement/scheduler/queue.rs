//! The queue: which waiting jobs are eligible, and in which order they are considered.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::entry::{Entry, Stage};
use super::{DecisionKind, Scheduler};
use crate::placement::{JobKey, JobOrder, JobSpec};
use crate::{CustomerId, Timestamp};

/// Waiting time that offsets one accelerator in use by the customer in [`JobOrder::Fair`].
const WAIT_PER_ACCELERATOR: Duration = Duration::from_secs(30);
/// Expected remaining run time that counts as much as one accelerator in use by the customer in
/// [`JobOrder::Fair`]. It puts short jobs first, until the waiting time of longer ones offsets it.
const WORK_PER_ACCELERATOR: Duration = Duration::from_secs(40);

/// An eligible job with everything that its order depends on.
pub(super) struct Candidate {
    pub(super) key: JobKey,
    pub(super) spec: Arc<JobSpec>,
    /// Level of the priority class.
    pub(super) level: u8,
    /// Whether the priority class may preempt lower levels.
    pub(super) preempts: bool,
    /// Whether the job may use home blocks of others, because it is preemptible.
    pub(super) borrow: bool,
    /// Expected run time that is left.
    pub(super) remaining_work: Duration,
    pub(super) accepted_ms: u64,
    pub(super) waiting_since: Timestamp,
}

impl Scheduler {
    /// Records decisions for waiting jobs that a rule holds or bars from this zone.
    pub(super) fn explain_blocked_by_rules(&mut self, now: Timestamp) {
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, e)| matches!(e.stage, Stage::Waiting));
        let blocked: Vec<(JobKey, &str)> = waiting
            .filter_map(|(key, entry)| Some((key.clone(), self.candidate(key, entry).err()?)))
            .collect();
        for (key, why) in blocked {
            self.decide(&key, DecisionKind::Waiting, now, why);
        }
    }

    /// Returns the accelerators in use by each customer, without those of guaranteed jobs.
    pub(super) fn accelerators_in_use(&self) -> BTreeMap<CustomerId, u32> {
        let mut used = BTreeMap::new();
        for index in 0..self.inventory.len() {
            for allocation in self
                .inventory
                .allocations(index)
                .iter()
                .filter(|allocation| allocation.home.is_none())
            {
                if let Some(key) = self.owners.get(&allocation.owner) {
                    *used.entry(key.customer.clone()).or_default() += allocation.mask.count_ones();
                }
            }
        }
        used
    }

    /// Returns the eligible jobs, in the order of the policy.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        used: &BTreeMap<CustomerId, u32>,
    ) -> Vec<Candidate> {
        let mut found: Vec<Candidate> = self
            .jobs
            .iter()
            .filter(|(_, e)| matches!(e.stage, Stage::Waiting) && !e.superseded && !e.adopted)
            .filter(|(_, e)| e.not_before <= now)
            .filter_map(|(key, entry)| self.candidate(key, entry).ok())
            .collect();
        match self.policy.order {
            JobOrder::Fifo => found.sort_by(|a, b| age_key(a).cmp(&age_key(b))),
            JobOrder::Level => {
                found.sort_by(|a, b| {
                    (Reverse(a.level), age_key(a)).cmp(&(Reverse(b.level), age_key(b)))
                });
            }
            JobOrder::Fair => self.sort_fairly(&mut found, now, used),
        }
        found
    }

    /// Returns the candidate for a job, or the reason why a rule keeps it from starting here.
    fn candidate(&self, key: &JobKey, entry: &Entry) -> Result<Candidate, &'static str> {
        let spec = &entry.spec;
        let effect = self.configuration.effect_on(&spec.all_labels());
        if effect.hold == Some(true) {
            return Err("it waits: a rule holds it");
        }
        if effect
            .zones
            .is_some_and(|zones| !zones.contains(&self.zone))
        {
            return Err("it waits: a rule bars it from this zone");
        }
        let class = effect.class.unwrap_or_else(|| spec.class.clone());
        let class = self.configuration.classes.get(&class);
        Ok(Candidate {
            key: key.clone(),
            spec: Arc::clone(spec),
            level: class.map_or(0, |c| c.level),
            preempts: class.is_some_and(|c| c.preempts),
            borrow: entry.is_preemptible(),
            remaining_work: entry.remaining_work(),
            accepted_ms: entry.accepted_ms,
            waiting_since: entry.waiting_since,
        })
    }

    /// Sorts by level, highest first, then by a score, lowest first.
    ///
    /// The score is the number of accelerators that the customer uses or that its earlier
    /// candidates need, divided by its weight, plus the remaining run time, minus the time waited.
    /// The constants of this module convert both durations to accelerators. Scores are in
    /// thousandths of an accelerator.
    fn sort_fairly(
        &self,
        found: &mut Vec<Candidate>,
        now: Timestamp,
        used: &BTreeMap<CustomerId, u32>,
    ) {
        found.sort_by(|a, b| (Reverse(a.level), age_key(a)).cmp(&(Reverse(b.level), age_key(b))));
        let mut usage: BTreeMap<CustomerId, u64> = used
            .iter()
            .map(|(c, n)| (c.clone(), u64::from(*n)))
            .collect();
        let mut ranked: Vec<(u64, Candidate)> = Vec::with_capacity(found.len());
        for candidate in found.drain(..) {
            let customer = self.configuration.customers.get(&candidate.spec.customer);
            let weight = u64::from(customer.map_or(1, |c| c.weight));
            let customer_usage = usage.entry(candidate.spec.customer.clone()).or_default();
            let waited = now.since(candidate.waiting_since).as_millis() * 1_000
                / WAIT_PER_ACCELERATOR.as_millis();
            let waited = u64::try_from(waited).unwrap_or(u64::MAX);
            let work =
                candidate.remaining_work.as_millis() * 1_000 / WORK_PER_ACCELERATOR.as_millis();
            let work = u64::try_from(work).unwrap_or(u64::MAX);
            let score = (*customer_usage * 1_000 / weight)
                .saturating_add(work)
                .saturating_sub(waited);
            *customer_usage += u64::from(candidate.spec.shape.total_accelerators());
            ranked.push((score, candidate));
        }
        ranked.sort_by(|(score_a, a), (score_b, b)| {
            (Reverse(a.level), score_a, age_key(a)).cmp(&(Reverse(b.level), score_b, age_key(b)))
        });
        found.extend(ranked.into_iter().map(|(_, candidate)| candidate));
    }

    /// Returns why the quota of a customer keeps a job from starting, if it does.
    ///
    /// `needed` is the number of accelerators that the customer would use with the job.
    pub(super) fn quota_reason(&self, customer: &CustomerId, needed: u32) -> Option<String> {
        let quota = self.configuration.customers.get(customer)?.quota?;
        (needed > quota).then(|| {
            format!("it waits: customer {customer} would use {needed} accelerators, its quota is {quota}")
        })
    }
}

/// Sort key that puts jobs accepted earlier first.
fn age_key(candidate: &Candidate) -> (u64, &JobKey) {
    (candidate.accepted_ms, &candidate.key)
}
