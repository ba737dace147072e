//! Steps that an outside adviser lets only some workers run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::candidate_worker::CandidateWorker;
use super::{Now, Planner};
use crate::batch::{AdvicePolicy, GroupKey};
use crate::{Timestamp, WorkerId};

/// A question to the adviser.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step and its time.
    pub group: GroupKey,
    /// The workers that are asked about.
    pub workers: Vec<WorkerId>,
}

/// What the adviser has said of one step.
#[derive(Debug, Clone, Default)]
pub(super) struct Advice {
    tickets: BTreeMap<WorkerId, (String, Timestamp)>,
    /// Workers that may not run it; that does not change.
    denied: BTreeSet<WorkerId>,
    asked_at: Option<Timestamp>,
    is_asking: bool,
}

impl Advice {
    /// Returns the ticket for a worker that holds long enough for a start.
    pub(super) fn ticket(&self, id: &WorkerId, at: Timestamp, margin: Duration) -> Option<&str> {
        let (ticket, until) = self.tickets.get(id)?;
        (at + margin < *until).then_some(ticket.as_str())
    }

    fn may_ask(&self, at: Timestamp, policy: &AdvicePolicy) -> bool {
        let pause = if self.is_asking {
            policy.answer_timeout
        } else {
            policy.retry_pause
        };
        self.asked_at.is_none_or(|asked| at - asked >= pause)
    }
}

impl Planner {
    /// Takes the questions that are to be put to the adviser.
    pub fn take_advice_requests(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.advice_requests)
    }

    /// Takes the adviser's answer to a question.
    pub fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        good: Vec<(WorkerId, String)>,
        now: Now,
    ) {
        let valid = self.ticket_validity(&request.group).unwrap_or_default();
        let Some(advice) = self.advice_mut(&request.group) else {
            return;
        };
        advice.is_asking = false;
        // The ticket holds from the answer on, which came before now.
        let asked_at = advice.asked_at.unwrap_or(now.at);
        advice.denied.extend(request.workers.iter().cloned());
        for (id, ticket) in good {
            advice.denied.remove(&id);
            advice.tickets.insert(id, (ticket, asked_at + valid));
        }
        self.replan = true;
    }

    /// Takes word that a question got no answer.
    pub fn handle_advice_failure(&mut self, request: &AdviceRequest) {
        if let Some(advice) = self.advice_mut(&request.group) {
            advice.is_asking = false;
        }
    }

    /// Takes word that a worker did not take a step's ticket.
    pub(super) fn drop_ticket(&mut self, key: &GroupKey, id: &WorkerId) {
        if let Some(advice) = self.advice_mut(key) {
            advice.tickets.remove(id);
        }
    }

    /// Forgets what the adviser said of a worker: it holds for one of its lives.
    pub(super) fn clear_worker_advice(&mut self, id: &WorkerId) {
        let jobs = self.jobs.values_mut().filter(|job| job.outcome.is_none());
        for group in jobs.flat_map(|job| job.occurrences.iter_mut().flatten()) {
            group.advice.tickets.remove(id);
            group.advice.denied.remove(id);
        }
    }

    fn advice_mut(&mut self, key: &GroupKey) -> Option<&mut Advice> {
        let group = self.jobs.get_mut(&key.job)?.group_mut(key)?;
        Some(&mut group.advice)
    }

    /// Returns how long tickets for a step hold; none where it needs none.
    pub(super) fn ticket_validity(&self, key: &GroupKey) -> Option<Duration> {
        let queue = &self.jobs.get(&key.job)?.accepted.queue;
        let newest = self.catalog.queue(&queue.name).unwrap_or(queue);
        newest.ticket_valid_ms.map(Duration::from_millis)
    }

    /// Tells whether a start there would be refused for want of a ticket that holds.
    pub(super) fn lacks_ticket(&self, id: &WorkerId, key: &GroupKey, now: Now) -> bool {
        let margin = self.policy.advice.ticket_margin;
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        self.ticket_validity(key).is_some()
            && group.is_some_and(|group| group.advice.ticket(id, now.at, margin).is_none())
    }

    /// Keeps the sites that have a ticket, and asks about others where there are too few.
    pub(super) fn advised(
        &mut self,
        key: &GroupKey,
        mut sites: Vec<CandidateWorker>,
        tasks: usize,
        now: Now,
    ) -> Vec<CandidateWorker> {
        if self.ticket_validity(key).is_none() {
            return sites;
        }
        let policy = self.policy.advice;
        let margin = policy.ticket_margin;
        let Some(advice) = self.advice_mut(key) else {
            return Vec::new();
        };
        let has_ticket =
            |site: &CandidateWorker| advice.ticket(&site.worker, now.at, margin).is_some();
        let enough = sites.iter().filter(|site| has_ticket(site)).count() >= tasks;
        let mut unknown: Vec<&CandidateWorker> = sites
            .iter()
            .filter(|site| !has_ticket(site) && !advice.denied.contains(&site.worker))
            .collect();
        unknown.sort_by_key(|site| (site.penalty, u32::MAX - site.room.accelerators));
        let workers: Vec<WorkerId> = unknown
            .iter()
            .take(usize::from(policy.workers_at_once))
            .map(|site| site.worker.clone())
            .collect();
        if !enough && !workers.is_empty() && advice.may_ask(now.at, &policy) {
            advice.asked_at = Some(now.at);
            advice.is_asking = true;
            let group = key.clone();
            self.advice_requests.push(AdviceRequest { group, workers });
        }
        let Some(advice) = self.advice_mut(key) else {
            return Vec::new();
        };
        sites.retain(|site| advice.ticket(&site.worker, now.at, margin).is_some());
        sites
    }
}
