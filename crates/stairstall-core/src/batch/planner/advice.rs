//! Requests to the external adviser, which decides which workers may run a step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::candidate_worker::CandidateWorker;
use super::{Now, Planner};
use crate::batch::{AdvicePolicy, GroupKey};
use crate::{Timestamp, WorkerId};

/// A request to the adviser: which of these workers may run this step?
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step and its occurrence.
    pub group: GroupKey,
    /// The workers that the adviser is asked about.
    pub workers: Vec<WorkerId>,
}

/// The adviser's answers about one step.
#[derive(Debug, Clone, Default)]
pub(super) struct Advice {
    /// Tickets by worker, each with the time until which it is valid.
    tickets: BTreeMap<WorkerId, (String, Timestamp)>,
    /// Workers that may not run the step. They are not asked about again until a new incarnation of
    /// the worker begins.
    denied: BTreeSet<WorkerId>,
    /// When advice was last requested.
    requested_at: Option<Timestamp>,
    /// Whether that request has neither been answered nor failed.
    request_pending: bool,
}

impl Advice {
    /// Returns the ticket for a worker if it stays valid for longer than `margin`.
    pub(super) fn ticket(&self, id: &WorkerId, at: Timestamp, margin: Duration) -> Option<&str> {
        let (ticket, until) = self.tickets.get(id)?;
        (at + margin < *until).then_some(ticket.as_str())
    }

    /// Returns whether advice may be requested, considering the last request.
    fn may_request(&self, at: Timestamp, policy: &AdvicePolicy) -> bool {
        let delay = if self.request_pending {
            policy.answer_timeout
        } else {
            policy.retry_pause
        };
        self.requested_at
            .is_none_or(|requested_at| at - requested_at >= delay)
    }
}

impl Planner {
    /// Drains the requests that are to be sent to the adviser.
    pub fn take_advice_requests(&mut self) -> Vec<AdviceRequest> {
        std::mem::take(&mut self.advice_requests)
    }

    /// Handles the adviser's answer: `granted` holds the workers that may run the step, with their
    /// tickets. The other workers of the request are denied.
    pub fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        granted: Vec<(WorkerId, String)>,
        now: Now,
    ) {
        let valid = self.ticket_validity(&request.group).unwrap_or_default();
        let Some(advice) = self.advice_mut(&request.group) else {
            return;
        };
        advice.request_pending = false;
        // A ticket becomes valid when the adviser issues it, between the request and now. Counting
        // its validity from the request ensures that no expired ticket is used.
        let requested_at = advice.requested_at.unwrap_or(now.at);
        advice.denied.extend(request.workers.iter().cloned());
        for (id, ticket) in granted {
            advice.denied.remove(&id);
            advice.tickets.insert(id, (ticket, requested_at + valid));
        }
        self.replan = true;
    }

    /// Handles a failed request to the adviser. Advice may be requested again after a pause.
    pub fn handle_advice_failure(&mut self, request: &AdviceRequest) {
        if let Some(advice) = self.advice_mut(&request.group) {
            advice.request_pending = false;
        }
    }

    /// Discards a ticket that the worker refused.
    pub(super) fn drop_ticket(&mut self, key: &GroupKey, id: &WorkerId) {
        if let Some(advice) = self.advice_mut(key) {
            advice.tickets.remove(id);
        }
    }

    /// Discards the adviser's answers about a worker. They apply to one incarnation only.
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

    /// Returns how long tickets for a step stay valid, or `None` if its queue needs no tickets.
    pub(super) fn ticket_validity(&self, key: &GroupKey) -> Option<Duration> {
        let queue = &self.jobs.get(&key.job)?.accepted.queue;
        let newest = self.catalog.queue(&queue.name).unwrap_or(queue);
        newest.ticket_valid_ms.map(Duration::from_millis)
    }

    /// Returns whether the worker would refuse a start of this step because no valid ticket is
    /// available.
    pub(super) fn lacks_ticket(&self, id: &WorkerId, key: &GroupKey, now: Now) -> bool {
        let margin = self.policy.advice.ticket_margin;
        let group = self.jobs.get(&key.job).and_then(|job| job.group(key));
        self.ticket_validity(key).is_some()
            && group.is_some_and(|group| group.advice.ticket(id, now.at, margin).is_none())
    }

    /// Returns whether the adviser has denied a worker to a step.
    pub(super) fn is_denied(&self, key: &GroupKey, id: &WorkerId) -> bool {
        let group = self.group_of(key);
        group.is_some_and(|group| group.advice.denied.contains(id))
    }

    /// Keeps the workers that have a valid ticket. Requests advice about further workers if fewer
    /// than `tasks` have one.
    pub(super) fn filter_by_ticket(
        &mut self,
        key: &GroupKey,
        mut candidates: Vec<CandidateWorker>,
        tasks: usize,
        now: Now,
    ) -> Vec<CandidateWorker> {
        if self.ticket_validity(key).is_none() {
            return candidates;
        }
        let policy = self.policy.advice;
        let margin = policy.ticket_margin;
        let Some(advice) = self.advice_mut(key) else {
            return Vec::new();
        };
        let has_ticket = |candidate: &CandidateWorker| {
            advice.ticket(&candidate.worker, now.at, margin).is_some()
        };
        let has_enough = candidates
            .iter()
            .filter(|candidate| has_ticket(candidate))
            .count()
            >= tasks;
        let mut without_advice: Vec<&CandidateWorker> = candidates
            .iter()
            .filter(|candidate| {
                !has_ticket(candidate) && !advice.denied.contains(&candidate.worker)
            })
            .collect();
        without_advice
            .sort_by_key(|candidate| (candidate.penalty, u32::MAX - candidate.free.accelerators));
        let workers: Vec<WorkerId> = without_advice
            .iter()
            .take(usize::from(policy.workers_at_once))
            .map(|candidate| candidate.worker.clone())
            .collect();
        if !has_enough && !workers.is_empty() && advice.may_request(now.at, &policy) {
            advice.requested_at = Some(now.at);
            advice.request_pending = true;
            let group = key.clone();
            self.advice_requests.push(AdviceRequest { group, workers });
        }
        let Some(advice) = self.advice_mut(key) else {
            return Vec::new();
        };
        candidates.retain(|candidate| advice.ticket(&candidate.worker, now.at, margin).is_some());
        candidates
    }
}
