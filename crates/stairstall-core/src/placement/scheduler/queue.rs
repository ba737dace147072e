//! Which waiting jobs may start, and whose turn it is.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::entry::{Entry, Stage};
use super::{DecisionKind, Scheduler};
use crate::placement::{JobKey, JobOrder, JobSpec};
use crate::{CustomerId, Timestamp};

/// Waiting that outweighs one accelerator in use, when customers' shares are compared.
const AGING: Duration = Duration::from_secs(30);
/// Work left that outweighs one accelerator in use: short jobs come first, but for
/// as long only as longer ones have not waited that much more.
const SIZE: Duration = Duration::from_secs(40);

/// A waiting job with all that ranks it.
pub(super) struct Candidate {
    pub(super) key: JobKey,
    pub(super) spec: Arc<JobSpec>,
    pub(super) level: u8,
    pub(super) preempts: bool,
    pub(super) borrow: bool,
    pub(super) left: Duration,
    pub(super) accepted_ms: u64,
    pub(super) waits_since: Timestamp,
}

impl Scheduler {
    /// Tells of the jobs that rules keep from starting.
    pub(super) fn explain_held(&mut self, now: Timestamp) {
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, e)| matches!(e.stage, Stage::Waiting));
        let held: Vec<(JobKey, &str)> = waiting
            .filter_map(|(key, entry)| Some((key.clone(), self.candidate(key, entry).err()?)))
            .collect();
        for (key, why) in held {
            self.decide(&key, DecisionKind::Waiting, now, why);
        }
    }

    /// Returns accelerators in use by customer, claims of guarantees left out.
    pub(super) fn accelerators_in_use(&self) -> BTreeMap<CustomerId, u32> {
        let mut used = BTreeMap::new();
        for index in 0..self.inventory.len() {
            for one in self
                .inventory
                .allocations(index)
                .iter()
                .filter(|u| u.home.is_none())
            {
                if let Some(key) = self.uses.get(&one.id) {
                    *used.entry(key.customer.clone()).or_default() += one.mask.count_ones();
                }
            }
        }
        used
    }

    /// Returns the jobs that may start now, in the order of the policy.
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
            JobOrder::Fifo => found.sort_by(|a, b| by_age(a).cmp(&by_age(b))),
            JobOrder::Level => {
                found.sort_by(|a, b| {
                    (Reverse(a.level), by_age(a)).cmp(&(Reverse(b.level), by_age(b)))
                });
            }
            JobOrder::Fair => self.sort_fairly(&mut found, now, used),
        }
        found
    }

    /// Returns a candidate, or why a rule keeps the job from starting here.
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
            borrow: entry.gives_way(),
            left: entry.left(),
            accepted_ms: entry.accepted_ms,
            waits_since: entry.waits_since,
        })
    }

    /// Orders by level, then by what the customer would use for its weight and how
    /// much work is left, less the waiting.
    fn sort_fairly(
        &self,
        found: &mut Vec<Candidate>,
        now: Timestamp,
        used: &BTreeMap<CustomerId, u32>,
    ) {
        found.sort_by(|a, b| (Reverse(a.level), by_age(a)).cmp(&(Reverse(b.level), by_age(b))));
        let mut ahead: BTreeMap<CustomerId, u64> = used
            .iter()
            .map(|(c, n)| (c.clone(), u64::from(*n)))
            .collect();
        let mut ranked: Vec<(u64, Candidate)> = Vec::with_capacity(found.len());
        for candidate in found.drain(..) {
            let customer = self.configuration.customers.get(&candidate.spec.customer);
            let weight = u64::from(customer.map_or(1, |c| c.weight));
            let before = ahead.entry(candidate.spec.customer.clone()).or_default();
            let waited = now.since(candidate.waits_since).as_millis() * 1_000 / AGING.as_millis();
            let waited = u64::try_from(waited).unwrap_or(u64::MAX);
            let size = candidate.left.as_millis() * 1_000 / SIZE.as_millis();
            let size = u64::try_from(size).unwrap_or(u64::MAX);
            let share = (*before * 1_000 / weight)
                .saturating_add(size)
                .saturating_sub(waited);
            *before += u64::from(candidate.spec.shape.total_accelerators());
            ranked.push((share, candidate));
        }
        ranked.sort_by(|(share_a, a), (share_b, b)| {
            (Reverse(a.level), share_a, by_age(a)).cmp(&(Reverse(b.level), share_b, by_age(b)))
        });
        found.extend(ranked.into_iter().map(|(_, candidate)| candidate));
    }

    pub(super) fn quota_reason(&self, customer: &CustomerId, needed: u32) -> Option<String> {
        let quota = self.configuration.customers.get(customer)?.quota?;
        (needed > quota).then(|| {
            format!("it waits: customer {customer} would use {needed} accelerators, its quota is {quota}")
        })
    }
}

fn by_age(candidate: &Candidate) -> (u64, &JobKey) {
    (candidate.accepted_ms, &candidate.key)
}
