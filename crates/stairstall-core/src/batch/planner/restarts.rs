//! Workers that start again under the id that they had.
//!
//! A new life shows in the directory or in a report, whichever comes first. What was sent to the life
//! before may be carried out by the new one until that has seen a higher token (see `fencing`). So only what
//! the life before had listed, or a report that answers that token does not name, is known to be lost.

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, Incarnation, Order, RunEndKind, TaskKey};

impl Planner {
    /// Returns which life of a worker is known.
    pub(super) fn incarnation_of(&self, id: &WorkerId) -> Option<Incarnation> {
        self.workers.get(id)?.incarnation_state.incarnation
    }

    /// Takes word that a worker has started again under its id.
    pub(super) fn begin_incarnation(
        &mut self,
        id: &WorkerId,
        incarnation: Option<Incarnation>,
        now: Now,
    ) {
        let fence = self.next_fencing_token();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.incarnation_state = worker
            .incarnation_state
            .next(incarnation, worker.is_leaving());
        worker.fence = fence;
        worker.set_contact(false);
        self.paces.record_restart(id, now.at);
        if worker.is_busy() {
            // A deadline by the clock of the life before is far ahead of the new one's, which holds
            // what arrives with it as long as it may.
            worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.hold_max));
        }
        let planned = worker.tasks_where(|run| run.state == RunState::Planned);
        let lost = worker.tasks_where(Run::was_only_there);
        self.workers_to_poll.push(id.clone());
        let why = "its life is over: it has started again under its id";
        self.decisions.push(Decision::of_worker(id, why));
        self.mark_timelines_changed_at(id);
        self.clear_worker_advice(id);
        for task in planned {
            self.cancel_planned(id, &task, "its worker has started again", now);
        }
        self.lose_runs_of_previous_incarnation(id, lost, now);
        self.replan = true;
    }

    /// Takes runs for lost with an earlier life of their worker.
    pub(super) fn lose_runs_of_previous_incarnation(
        &mut self,
        id: &WorkerId,
        tasks: Vec<TaskKey>,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(id).filter(|_| !tasks.is_empty()) else {
            return;
        };
        let earlier = worker.incarnation_state.previous;
        let runs = tasks.into_iter().filter_map(|task| {
            let run = worker.runs.get(&task)?.clone();
            Some((task, run))
        });
        let runs: Vec<(TaskKey, Run)> = runs.collect();
        let suspects = if earlier.has_left {
            Vec::new()
        } else {
            self.count_crash(id, earlier.last_answer_at, &runs)
        };
        for (task, _) in &runs {
            self.remove_run(id, task);
        }
        self.release_lost(id, &runs, now);
        self.fail_crashing_jobs(&suspects, now);
    }

    /// Reads a worker's clock from the answer to a start, which does not name the life that answers.
    ///
    /// A clock that has gone back is that of a new life: it is asked at once which it is, and may
    /// hold the run for the longest lease.
    pub(super) fn check_answer_clock(&mut self, order: &Order, clock_ms: u64, now: Now) {
        let id = &order.worker;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if order.token != worker.fence {
            // It is the clock of an earlier life, by which a deadline would be far ahead.
            return;
        }
        if worker.incarnation_state.is_clock_set_back(clock_ms, now.at) {
            worker.extend_lease(now.at + Self::max_lease_duration(self.bounds.hold_max));
            self.mark_unresponsive(id, now);
        } else {
            worker.incarnation_state.read_clock(clock_ms, now.at);
        }
    }

    /// Drops what was told to start at a life that was over by then: nothing can have crashed under it.
    ///
    /// That is a start that another life refused, and those sent after it. Counted as crashes, four such
    /// starts within 45 ms ended a job as failed under which one worker had crashed.
    pub(super) fn drop_unstarted_runs(&mut self, refused: &Order, now: Now) {
        let Some(worker) = self.workers.get(&refused.worker) else {
            return;
        };
        // A refusal may be late: by then another run, or try, may be on its way to the next life.
        let is_refused = |run: &&Run| run.number == refused.run && run.fence == refused.token;
        let Some(refused_run) = worker.runs.get(&refused.task).filter(is_refused) else {
            return;
        };
        let sent_at = refused_run.ordered_at;
        let is_first_try = |run: &Run| run.state == RunState::Starting && run.tries <= 1;
        let never_begun = worker.tasks_where(|run| is_first_try(run) && run.ordered_at >= sent_at);
        for task in never_begun {
            let why = "its worker's life was over before";
            self.end_unreported_run(&refused.worker, &task, RunEndKind::Stopped, why, now);
        }
    }
}

impl Run {
    /// Tells whether it was at the life that has listed it and can't be at a later one.
    fn was_only_there(&self) -> bool {
        self.is_listed && self.was_started() && !self.may_come_late()
    }

    /// Tells whether a start of it without an answer may still be carried out.
    const fn may_come_late(&self) -> bool {
        self.tries > 1
    }
}
