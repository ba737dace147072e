//! Handling of the outcomes of start orders.

use super::pool::RunState;
use super::{Now, Order, Planner};
use crate::batch::{Decision, DecisionKind, RefusalReason, RunEndKind, StartOutcome, TaskKey};
use crate::time::millis;
use crate::{JobId, Timestamp, WorkerId};

impl Planner {
    /// Handles the outcome of a start order.
    pub fn handle_start_outcome(&mut self, order: &Order, outcome: StartOutcome, now: Now) {
        let id = &order.worker;
        let task = &order.task;
        self.record_start_answered();
        self.activity.record_start_outcome();
        if outcome == StartOutcome::OtherLife {
            self.drop_unstarted_runs(order, now);
            self.end_incarnation(id, "another incarnation answered a start", now);
            self.mark_idle_workers_unresponsive(now);
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
        if outcome.is_answer() {
            self.pacing.record_start_answer(now.at - run.ordered_at);
        } else if outcome == StartOutcome::Unknown {
            self.pacing.record_unanswered_start();
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
            self.record_start_confirmed(task, order.run);
            self.record_first_start(&task.group.job, now);
            self.update_timelines(now);
            return;
        }
        let is_first_attempt = run.start_attempts <= 1;
        let is_starting = run.state == RunState::Starting;
        let late_start_until = run.late_start_until;
        if let Some(until) = late_start_until {
            self.record_late_start(task, order.run, until, now);
        }
        if is_starting {
            self.handle_failed_start(order, outcome, is_first_attempt, now);
        }
    }

    /// Records that the worker confirmed the start of a task's run. The confirmation is stored if
    /// workers were lost under the task before.
    ///
    /// Without it, a later planner that finds the worker crashed could not tell whether the crash
    /// counts against the task. The task would go on to crash two more workers.
    pub(super) fn record_start_confirmed(&mut self, task: &TaskKey, number: u32) {
        let Some(job) = self.jobs.get_mut(&task.group.job) else {
            return;
        };
        let Some(entry) = job.task_mut(task).filter(|entry| entry.run == number) else {
            return;
        };
        let is_new = !std::mem::replace(&mut entry.start_confirmed, true);
        if is_new && !entry.losses.is_empty() {
            job.record_change();
            self.changed_jobs.insert(task.group.job.clone());
        }
    }

    /// Records that a start got no answer and may be carried out until `until`. This is stored, so
    /// that a later planner starts the task nowhere else before then.
    fn record_late_start(&mut self, task: &TaskKey, number: u32, until: Timestamp, now: Now) {
        let Some(job) = self.jobs.get_mut(&task.group.job) else {
            return;
        };
        let Some(entry) = job.task_mut(task).filter(|entry| entry.run == number) else {
            return;
        };
        entry.late_start_until_unix_ms = Some(now.unix_ms.saturating_add(millis(until - now.at)));
        job.record_change();
        self.changed_jobs.insert(task.group.job.clone());
    }

    fn record_first_start(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.has_started) else {
            return;
        };
        job.has_started = true;
        let mut decision = Decision::of_first_start(id, now.at - job.arrived_at);
        decision.why.push_str(&self.take_forecast(id));
        self.decisions.push(decision);
    }

    fn handle_failed_start(
        &mut self,
        order: &Order,
        outcome: StartOutcome,
        is_first_attempt: bool,
        now: Now,
    ) {
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
        let not_started = match outcome {
            StartOutcome::NotSent | StartOutcome::Withheld | StartOutcome::Unhealthy => true,
            StartOutcome::Refused(reason) => reason != RefusalReason::OldRun,
            _ => false,
        };
        if outcome == StartOutcome::NotSent {
            self.mark_unresponsive(id);
        }
        if outcome == StartOutcome::Refused(RefusalReason::NoTicket) {
            self.drop_ticket(&task.group, id);
        }
        if not_started && is_first_attempt {
            self.end_unreported_run(
                id,
                task,
                RunEndKind::Stopped,
                "the start was not carried out",
                now,
            );
        } else if matches!(outcome, StartOutcome::Unknown | StartOutcome::NotSent) {
            self.mark_unresponsive_unless_answered(id, task);
            self.retry_start(order, now);
        } else if outcome == StartOutcome::Withheld {
            self.retry_start(order, now);
        } else if outcome == StartOutcome::Refused(RefusalReason::OldRun) {
            // The run has ended on this worker, or the worker refuses to start it from now on. The
            // next report tells which.
            self.record_answer(id, task, now.at);
        } else {
            self.stop_run(id, task, "an earlier attempt may have started it", now);
            self.stop_gang(task, order.run, "a member of its gang did not start", now);
        }
    }

    fn retry_start(&mut self, order: &Order, now: Now) {
        let (id, task) = (&order.worker, &order.task);
        let run = self.run_at(id, task);
        let attempts = run.map_or(0, |run| run.start_attempts);
        let is_done = run.is_some_and(|run| run.redundant_since.is_some());
        let why = if is_done {
            // The end of an earlier run may be reported between two attempts.
            "the task is done"
        } else if !self.jobs_are_current() {
            "no answer to the start; the job may have been cancelled"
        } else if !self.may_start_at(id, now) {
            "no answer to the start; the zone may be evacuated"
        } else if attempts >= self.policy.orders.max_tries {
            "no answer to repeated starts"
        } else if run.is_some_and(|run| run.may_start_late(now.at)) {
            // A resent start could be carried out twice: now, and by the worker's next incarnation.
            // The next report tells whether the run has started.
            self.record_answer(id, task, now.at);
            self.workers_to_poll.push(id.clone());
            return;
        } else {
            self.send_start(id, task, now);
            return;
        };
        self.stop_run(id, task, why, now);
        self.stop_gang(task, order.run, "a member of its gang did not start", now);
    }

    /// Records when the worker answered about a run. A report requested after this time must list
    /// the run, otherwise the run has ended. A later answer does not move the time.
    pub(super) fn record_answer(&mut self, id: &WorkerId, task: &TaskKey, at: Timestamp) {
        if let Some(run) = self.workers.get_mut(id).and_then(|w| w.runs.get_mut(task)) {
            run.answered_at.get_or_insert(at);
        }
    }
}
