//! Sending stop orders to workers and handling their outcomes.

use super::pool::RunState;
use super::{Now, Order, OrderKind, Planner};
use crate::WorkerId;
use crate::batch::{Decision, DecisionKind, StopOutcome, TaskKey};
use crate::time::millis;

impl Planner {
    /// Stops a run, or removes it if no start was sent.
    pub(super) fn stop_run(&mut self, id: &WorkerId, task: &TaskKey, why: &str, now: Now) {
        self.learn_from_stop(id, task, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        match run.state {
            RunState::Stopping => {}
            RunState::Planned => {
                if let Some(run) = self.remove_run(id, task) {
                    self.release_task(id, task, &run, why, now);
                }
            }
            RunState::Starting | RunState::Running => {
                if run.restored {
                    // The worker's first report will show whether the run exists at all.
                    return;
                }
                run.set_state(RunState::Stopping, now.at);
                run.answered_at = None;
                let number = run.number;
                self.send_stop(id, task, number, now);
                let detail = format!("{why}; {}", self.describe_progress(id, task, now));
                self.decisions.push(Decision::of_run(
                    DecisionKind::Stop,
                    task,
                    number,
                    id,
                    detail,
                ));
            }
        }
    }

    fn describe_progress(&self, id: &WorkerId, task: &TaskKey, now: Now) -> String {
        let run = self.run_at(id, task);
        let restore_cost = self.policy.victims.restore_cost;
        run.map_or_else(String::new, |run| {
            let ran = run.began.map_or(0, |(at, _)| millis(now.at - at));
            let lost = run.lost_work(now.at, restore_cost) / 1000;
            format!(
                "{} percent after {ran} ms, {lost} core-seconds lost",
                run.percent
            )
        })
    }

    /// Issues a stop order for a run.
    pub(super) fn send_stop(&mut self, id: &WorkerId, task: &TaskKey, run: u32, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(entry) = worker.runs.get_mut(task) {
            entry.ordered_at = now.at;
            worker.has_unsettled = true;
        }
        let token = worker.fencing_token;
        self.orders.push(Order {
            worker: id.clone(),
            task: task.clone(),
            run,
            token,
            kind: OrderKind::Stop,
        });
    }

    /// Handles the outcome of a stop order.
    pub fn handle_stop_outcome(&mut self, order: &Order, outcome: StopOutcome, now: Now) {
        match outcome {
            StopOutcome::Taken => {
                let (id, task) = (&order.worker, &order.task);
                let matches = self
                    .run_at(id, task)
                    .is_some_and(|run| run.number == order.run);
                if matches {
                    self.record_answer(id, task, now.at);
                }
            }
            StopOutcome::Fenced => self.handle_fenced(&order.worker, order.token),
            StopOutcome::OtherLife => {
                self.end_incarnation(&order.worker, "another incarnation answered a stop", now);
            }
            StopOutcome::Unknown => self.retry_stop(order, now),
        }
    }

    /// Repeats an unanswered stop order immediately, because other work may be waiting for the
    /// resources.
    fn retry_stop(&mut self, order: &Order, now: Now) {
        let (id, task) = (&order.worker, &order.task);
        let max_tries = self.policy.orders.max_tries;
        self.mark_unresponsive_unless_answered(id, task);
        let run = self.workers.get_mut(id).and_then(|w| w.runs.get_mut(task));
        let Some(run) = run.filter(|run| run.number == order.run) else {
            return;
        };
        run.unanswered_stops = run.unanswered_stops.saturating_add(1);
        if run.state == RunState::Stopping && run.unanswered_stops < max_tries {
            self.send_stop(id, task, order.run, now);
        }
    }
}
