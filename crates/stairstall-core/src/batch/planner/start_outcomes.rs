//! What became of starts.

use super::pool::RunState;
use super::{Now, Order, Planner};
use crate::batch::{Decision, DecisionKind, RefusalReason, RunEndKind, StartOutcome, TaskKey};
use crate::{JobId, Timestamp, WorkerId};

impl Planner {
    /// Takes what became of a start.
    pub fn handle_start_outcome(&mut self, order: &Order, outcome: StartOutcome, now: Now) {
        let id = &order.worker;
        let task = &order.task;
        self.note_start_answered();
        if outcome == StartOutcome::OtherLife {
            self.drop_unstarted_runs(order, now);
            self.end_incarnation(id, "another life answered a start", now);
            self.mark_unheard_unresponsive(now);
            return;
        }
        if outcome == StartOutcome::Refused(RefusalReason::Fenced) {
            self.handle_fenced(id, order.token);
            self.drop_unstarted_runs(order, now);
            return;
        }
        if let StartOutcome::Started { clock_ms } = outcome {
            self.check_answer_clock(order, clock_ms, now);
        }
        let Some(run) = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(task))
        else {
            return;
        };
        if run.number != order.run {
            return;
        }
        if outcome != StartOutcome::Unknown {
            run.late_start_until = None;
        }
        if let StartOutcome::Started { .. } = outcome {
            run.answered_at = run.answered_at.or(Some(now.at));
            run.start_confirmed = true;
            if run.state == RunState::Starting {
                run.set_state(RunState::Running, now.at);
                run.began = Some((now.at, 0));
                run.progressed_at = now.at;
            }
            self.mark_timeline_changed(&task.group.job);
            self.note_taken(task, order.run);
            self.note_begun(&task.group.job, now);
            self.update_timelines(now);
            return;
        }
        let first_try = run.tries <= 1;
        if run.state == RunState::Starting {
            self.start_failed(order, outcome, first_try, now);
        }
    }

    /// Notes that a task's run was taken; where workers were lost under it before, that is written down.
    ///
    /// A later planner that finds the worker crashed would not know else whether it crashed under the
    /// task, which would go on to take two more workers down.
    pub(super) fn note_taken(&mut self, task: &TaskKey, number: u32) {
        let Some(job) = self.jobs.get_mut(&task.group.job) else {
            return;
        };
        let Some(entry) = job.task_mut(task).filter(|entry| entry.run == number) else {
            return;
        };
        let is_news = !std::mem::replace(&mut entry.start_confirmed, true);
        if is_news && !entry.losses.is_empty() {
            job.record_change();
            self.changed.insert(task.group.job.clone());
        }
    }

    fn note_begun(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.has_started) else {
            return;
        };
        job.has_started = true;
        let mut decision = Decision::of_first_start(id, now.at - job.arrived_at);
        decision.why.push_str(&self.take_forecast(id));
        self.decisions.push(decision);
    }

    fn start_failed(&mut self, order: &Order, outcome: StartOutcome, first_try: bool, now: Now) {
        let (id, task) = (&order.worker, &order.task);
        self.decisions.push(Decision::of_run(
            DecisionKind::Start,
            task,
            order.run,
            id,
            format!("not started: {outcome:?}").to_lowercase(),
        ));
        if outcome == StartOutcome::Unhealthy
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.incarnation_state.suspect_until =
                Some(now.at + self.policy.health.suspect_after_refusal);
        }
        let did_nothing = match outcome {
            StartOutcome::NotSent | StartOutcome::Unhealthy => true,
            StartOutcome::Refused(reason) => reason != RefusalReason::OldRun,
            _ => false,
        };
        if outcome == StartOutcome::NotSent {
            self.mark_unresponsive(id, now);
        }
        if outcome == StartOutcome::Refused(RefusalReason::NoTicket) {
            self.drop_ticket(&task.group, id);
        }
        if did_nothing && first_try {
            self.end_unreported_run(id, task, RunEndKind::Stopped, "it was not started", now);
        } else if matches!(outcome, StartOutcome::Unknown | StartOutcome::NotSent) {
            self.try_again(order, now);
        } else if outcome == StartOutcome::Refused(RefusalReason::OldRun) {
            // It ended there, or was barred: the next report tells.
            self.note_answered(id, task, now.at);
        } else {
            self.stop_run(id, task, "an earlier try may have started it", now);
            self.stop_gang(task, order.run, "a member of its gang did not start", now);
        }
    }

    fn try_again(&mut self, order: &Order, now: Now) {
        let (id, task) = (&order.worker, &order.task);
        self.mark_unresponsive_unless_heard(id, task, now);
        let run = self.run_at(id, task);
        let tries = run.map_or(0, |run| run.tries);
        let is_done = run.is_some_and(|run| run.redundant_since.is_some());
        let why = if is_done {
            // The end of an earlier run may be heard between two tries.
            "the task is done"
        } else if !self.jobs_are_current() {
            "no answer to its start, and its job may have been cancelled"
        } else if !self.may_start_at(id, now) {
            "no answer to its start, and its zone may be evacuated"
        } else if tries >= self.policy.orders.max_tries {
            "no answer to its starts"
        } else if run.is_some_and(|run| run.may_start_late(now.at)) {
            // A resent start could be carried out twice: now, and by the worker's next incarnation.
            // The next report tells whether the run has started.
            self.note_answered(id, task, now.at);
            self.workers_to_poll.push(id.clone());
            return;
        } else {
            self.emit_start(id, task, now);
            return;
        };
        self.stop_run(id, task, why, now);
        self.stop_gang(task, order.run, "a member of its gang did not start", now);
    }

    /// Notes an answer about a run: a report that is asked for later must name the run, or it is
    /// over. A later answer doesn't put that off.
    pub(super) fn note_answered(&mut self, id: &WorkerId, task: &TaskKey, at: Timestamp) {
        if let Some(run) = self.workers.get_mut(id).and_then(|w| w.runs.get_mut(task)) {
            run.answered_at.get_or_insert(at);
        }
    }
}
