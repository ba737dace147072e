//! Incarnations that may not list their run ends.
//!
//! A worker that is told that its run ends up to a number are stored may never list an end up to
//! that number, not even one that occurs later. If an acknowledgement meant for one incarnation is
//! carried out by the next, the first ends of that one may stay hidden: the planner would find
//! their runs missing and start tasks again that are done.
//!
//! An earlier planner may have sent such an acknowledgement too: an incarnation that begins shortly
//! after a takeover counts as one that may have carried it out.
//!
//! Three rules exclude that for workers that may keep their ID across restarts:
//!
//! - Starts and acknowledgements are never on their way to one ID at the same time. A start that
//!   arrives late can't end before a late acknowledgement hides it.
//! - After an acknowledgement without an answer, nothing starts there until it can no longer be
//!   carried out and a report has shown which incarnation is there.
//! - An incarnation that may have carried one out is *unverified*: it only gets a run that surely
//!   can't finish, because its lease is far shorter than its work, until it has listed a run end.
//!   Numbers of run ends increase, so it lists all later ones too.
//!
//! Only work can end that state, so it must not keep all work away. Tasks that take long may be such
//! runs at any time. Shorter ones, of which it is less sure that they can't finish, are used once
//! their step has waited for as long as a job may be idle, whatever else could run them one day; and
//! any task where no verified worker ever could.

use std::time::Duration;

use super::candidate::Candidate;
use super::candidate_worker::SearchScope;
use super::pass::{CapacityKind, Pass};
use super::placement::choose_one;
use super::pool::{EndListing, LateAcknowledgements, Worker};
use super::{Now, Planner};
use crate::batch::{Decision, GroupKey, RunEnd, StepSpec, TaskKey};
use crate::{Timestamp, WorkerId};

/// The lease of a verification run is this part of its work, within bounds.
const LEASE_DIVISOR: u32 = 4;

/// Shortest lease of a verification run: the start has to arrive within it.
const MIN_LEASE: Duration = Duration::from_millis(50);

/// Shortest estimated work of a task that surely can't finish within the shortest lease.
const MIN_WORK: Duration = Duration::from_millis(100);

/// How long after it can have been carried out last an unanswered acknowledgement is remembered
/// for an ID that no worker has.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);

impl Planner {
    /// Returns the late acknowledgements of a worker that becomes known, if it had its ID before.
    pub(super) fn take_late_acknowledgements(&mut self, id: &WorkerId) -> LateAcknowledgements {
        let until = self.late_acknowledgements.remove(id);
        until.map_or_else(LateAcknowledgements::default, LateAcknowledgements::until)
    }

    /// Remembers the late acknowledgements of a worker that is removed, in case its ID returns.
    pub(super) fn remember_late_acknowledgements(&mut self, id: &WorkerId, worker: &Worker) {
        let Some(latest) = worker.late_acknowledgements.latest() else {
            return;
        };
        self.late_acknowledgements
            .retain(|_, until| latest - *until < REMEMBERED_FOR);
        self.late_acknowledgements.insert(id.clone(), latest);
    }

    /// Returns whether a worker's incarnation may not list its run ends.
    pub(super) fn is_unverified(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| !worker.incarnation_state.end_listing.is_verified())
    }

    /// Records the run ends that an incarnation lists in a report.
    pub(super) fn record_listed_ends(&mut self, id: &WorkerId, ends: &[RunEnd]) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let incarnation = &mut worker.incarnation_state;
        if ends.is_empty() || !incarnation.fenced || incarnation.end_listing.is_verified() {
            return;
        }
        incarnation.end_listing = EndListing::Verified;
        self.replan = true;
        let why = "its incarnation lists its run ends; it gets tasks again";
        self.decisions.push(Decision::of_worker(id, why));
    }

    /// Places a waiting task of a step on an unverified worker, as a run that can't finish there.
    ///
    /// Only called for tasks that have found no other place, which lose nothing by it. A step that
    /// needs tickets gets them for such workers too, and waits until the adviser has answered.
    pub(super) fn place_verification_run(
        &mut self,
        candidate: &Candidate,
        step: &StepSpec,
        waiting: &[u32],
        pass: &mut Pass,
        now: Now,
    ) {
        if !self.has_verifiable_worker(pass, now.at) {
            return;
        }
        let key = &candidate.key;
        let Some(index) = waiting.first().copied() else {
            return;
        };
        let is_suitable = self.cannot_finish(key, step, now)
            // Where every worker that could run the step is unverified, none of its tasks would ever
            // start if each of them is too short.
            || !self.has_verified_worker(key, step, pass);
        if !is_suitable || self.startable_tasks(candidate, 1, pass) == 0 {
            return;
        }
        let scope = SearchScope::ANYWHERE;
        let takes_verification = |worker: &Worker| worker.takes_verification_run(now.at);
        let workers =
            self.candidate_workers_where(candidate, step, scope, pass, now, takes_verification);
        let workers = self.filter_by_ticket(key, workers, 1, now);
        if let Some(choice) = choose_one(step, scope, workers) {
            let worker = choice.workers.first();
            let why = "it gets a run that can't finish, to see whether it lists the end";
            let decision = worker.map(|id| Decision::of_worker(id, why));
            self.decisions.extend(decision);
            self.commit_placement(candidate, step, &[index], &choice, scope, now);
            pass.record_placed(1, step.needs.accelerators);
            pass.has_verifiable_worker = None;
        }
    }

    /// Returns whether a worker that lists its run ends could run a task of a step, now or once other
    /// work has ended.
    fn has_verified_worker(&self, key: &GroupKey, step: &StepSpec, pass: &mut Pass) -> bool {
        let ceiling = self.ceiling(key, step, false, CapacityKind::Whole, pass);
        if ceiling.total == 0 || self.ticket_validity(key).is_none() {
            return ceiling.total > 0;
        }
        let service = self.service_of(key);
        let needs = step.reserved_resources();
        let mut workers = self.workers.iter().filter(|(_, worker)| {
            worker.takes_tasks()
                && worker.has_required_label(step)
                && service.as_ref() == Some(&worker.listed.service)
                && needs.fits_in(&worker.listed.capacity)
        });
        workers.any(|(id, _)| !self.is_denied(key, id))
    }

    fn has_verifiable_worker(&self, pass: &mut Pass, at: Timestamp) -> bool {
        *pass.has_verifiable_worker.get_or_insert_with(|| {
            let mut workers = self.workers.values();
            workers.any(|worker| worker.takes_verification_run(at))
        })
    }

    /// Returns whether a task of a step can't finish within the lease of a verification run: because
    /// it has no end, or can't begin without the other members of its gang, or because its work takes
    /// far longer. How much longer it has to take depends on how long the step has waited.
    fn cannot_finish(&self, key: &GroupKey, step: &StepSpec, now: Now) -> bool {
        let Some(work) = step.work_of_one() else {
            return true;
        };
        let orders = &self.policy.orders;
        let waited = self.step_idle_time(key, now);
        let waited = waited.max(self.waiting_time(key, now));
        if waited >= self.policy.placement.shortest_max_idle() {
            work >= MIN_WORK
        } else {
            work >= orders.min_verification_work
        }
    }

    /// Returns the longest lease with which a task surely can't finish.
    pub(super) fn verification_lease(&self, task: &TaskKey) -> Duration {
        let work = self.step(&task.group).and_then(StepSpec::work_of_one);
        let lease = work.map(|work| (work / LEASE_DIVISOR).max(MIN_LEASE));
        lease.unwrap_or(Duration::MAX)
    }
}

impl StepSpec {
    /// Returns the estimated work of a task that begins anew, or `None` if it does not end by itself:
    /// it lasts, or can't begin without the other members of its gang.
    fn work_of_one(&self) -> Option<Duration> {
        let has_others = self.gang && self.count > 1;
        let has_no_end = self.long_running || has_others;
        (!has_no_end).then(|| Duration::from_millis(self.estimate_ms))
    }
}

impl Worker {
    /// Sets the late acknowledgements of the time before it became known. Its incarnation may have
    /// carried them out.
    pub(super) fn restore_late_acknowledgements(&mut self, late: LateAcknowledgements) {
        self.late_acknowledgements = late;
        if late.has_unanswered() {
            self.incarnation_state.set_unverified();
        }
    }

    /// Returns whether the worker may get a verification run: it accepts starts, is idle, and its
    /// incarnation is unverified.
    pub(super) fn takes_verification_run(&self, at: Timestamp) -> bool {
        self.accepts_starts()
            && self.runs.is_empty()
            && self.incarnation_state.end_listing.is_verification_due(at)
    }
}
