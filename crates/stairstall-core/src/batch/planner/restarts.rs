//! Workers that restart under the same ID.
//!
//! A new incarnation is detected from the directory or from a report, whichever comes first. It may
//! carry out orders that were sent to the previous incarnation until it has seen a higher token
//! (see `fencing`). So a run is known to be lost only if the previous incarnation had listed it, or
//! if a report that answers the higher token does not list it.

use super::crashes::LostIncarnation;
use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, Incarnation, Order, RunEndKind, TaskKey};

impl Planner {
    /// Returns the ID of a worker's current incarnation, if it is known.
    pub(super) fn incarnation_of(&self, id: &WorkerId) -> Option<Incarnation> {
        self.workers.get(id)?.incarnation_state.incarnation
    }

    /// Handles the restart of a worker under its old ID.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &WorkerId,
        incarnation: Option<Incarnation>,
        now: Now,
    ) {
        let fencing_token = self.next_fencing_token();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.incarnation_state = worker
            .incarnation_state
            .successor(incarnation, worker.is_leaving());
        worker.fencing_token = fencing_token;
        let answered_at = worker.incarnation_state.previous.last_answer_at;
        let may_have_had_earlier_calls = self
            .earlier_calls_until
            .is_some_and(|until| answered_at.is_none_or(|answered_at| answered_at <= until));
        if may_have_had_earlier_calls || worker.late_acknowledgements.latest().is_some() {
            worker.incarnation_state.set_unverified();
            let why = "its incarnation may not list its first run ends";
            self.decisions.push(Decision::of_worker(id, why));
        }
        worker.set_contact(false);
        self.paces.record_restart(id, now.at);
        if worker.is_busy() {
            // A deadline by the previous incarnation's clock is far ahead of the new one's clock. A
            // start that arrives with such a deadline may run for the longest lease.
            worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.lease_duration));
        }
        let planned = worker.tasks_where(|run| run.state == RunState::Planned);
        let lost = worker.tasks_where(Run::is_lost_by_restart);
        self.workers_to_poll.push(id.clone());
        let why = "its incarnation ended: it restarted under the same ID";
        self.decisions.push(Decision::of_worker(id, why));
        self.mark_timelines_changed_at(id);
        self.clear_worker_advice(id);
        for task in planned {
            self.cancel_planned(id, &task, "its worker restarted", now);
        }
        self.lose_runs_of_previous_incarnation(id, lost, now);
        self.replan = true;
    }

    /// Handles runs that were lost with the previous incarnation of their worker.
    pub(super) fn lose_runs_of_previous_incarnation(
        &mut self,
        id: &WorkerId,
        tasks: Vec<TaskKey>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(id).filter(|_| !tasks.is_empty()) else {
            return;
        };
        let previous = worker.incarnation_state.previous;
        let runs = tasks.into_iter().filter_map(|task| {
            let run = worker.runs.get(&task)?.clone();
            Some((task, run))
        });
        let runs: Vec<(TaskKey, Run)> = runs.collect();
        let suspects = if previous.has_left {
            Vec::new()
        } else {
            let lost = LostIncarnation {
                last_answer_at: previous.last_answer_at,
                successor_began_at: worker.incarnation_state.began_at(now),
            };
            self.count_crash(id, lost, &runs)
        };
        for (task, _) in &runs {
            self.remove_run(id, task);
        }
        self.release_lost_runs(id, &runs, now);
        self.fail_crashing_jobs(&suspects, now);
    }

    /// Checks the worker's clock in the answer to a start, which does not name the incarnation that
    /// answers.
    ///
    /// A clock that has gone back belongs to a new incarnation. The worker is polled immediately
    /// for its incarnation ID, and it may keep the run going for the longest lease.
    pub(super) fn check_answer_clock(&mut self, order: &Order, clock_ms: u64, now: Now) {
        let id = &order.worker;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if order.token != worker.fencing_token {
            // This is the clock of an earlier incarnation. A deadline computed from it would be far
            // ahead.
            return;
        }
        if worker.incarnation_state.is_clock_set_back(clock_ms, now.at) {
            worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.lease_duration));
            self.mark_unresponsive(id);
        } else {
            let drift = worker.incarnation_state.read_clock(clock_ms, now.at);
            self.flow.record_clock_drift(drift);
        }
    }

    /// Drops the runs whose starts were sent to an incarnation that had already ended, so that no
    /// worker can have crashed under them.
    ///
    /// These are the run whose start another incarnation refused and the runs started there after
    /// it. If they counted as crashes, they could fail a job under which only one worker has
    /// crashed: in one case, four such starts within 45 ms did.
    pub(super) fn drop_unstarted_runs(&mut self, refused: &Order, now: Now) {
        let Some(worker) = self.workers.get(&refused.worker) else {
            return;
        };
        // A refusal may be late. By then, another run or another attempt to start this one may be
        // on its way to the next incarnation.
        let is_refused =
            |run: &&Run| run.number == refused.run && run.fencing_token == refused.token;
        let Some(refused_run) = worker.runs.get(&refused.task).filter(is_refused) else {
            return;
        };
        let sent_at = refused_run.ordered_at;
        let is_first_attempt =
            |run: &Run| run.state == RunState::Starting && run.start_attempts <= 1;
        let unstarted =
            worker.tasks_where(|run| is_first_attempt(run) && run.ordered_at >= sent_at);
        for task in unstarted {
            let why = "its worker's incarnation had already ended";
            self.end_unreported_run(&refused.worker, &task, RunEndKind::Stopped, why, now);
        }
    }
}

impl Run {
    /// Returns whether the run was on the incarnation that listed it and can't be on a later one.
    fn is_lost_by_restart(&self) -> bool {
        self.is_listed && self.was_started() && !self.may_start_again()
    }

    /// Returns whether an earlier, unanswered start of the run may still be carried out.
    const fn may_start_again(&self) -> bool {
        self.start_attempts > 1
    }
}
