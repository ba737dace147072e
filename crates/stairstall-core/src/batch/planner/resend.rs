//! Repeated stop orders, and placements that are given up.

use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, DecisionKind, Setback, TaskKey};
use crate::time::millis;

impl Planner {
    /// Repeats stop orders whose runs should have ended, stops redundant runs, and gives up planned
    /// runs that can't start where they were placed.
    pub(super) fn check_unsettled_runs(&mut self, now: Now) {
        let stop_timeout = self.bounds.stop_max + self.policy.orders.stop_retry_after;
        let mut to_retry = Vec::new();
        let mut to_cancel = Vec::new();
        let mut redundant = Vec::new();
        self.update_unsettled_workers(now);
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.has_unsettled) {
            for (task, run) in &worker.runs {
                if run.state == RunState::Planned
                    && let Some(why) = self.cancel_reason(id, worker, task, run, now)
                {
                    to_cancel.push((id.clone(), task.clone(), why));
                }
                let redundant_for = run.redundant_since.map(|since| now.at - since);
                if run.state != RunState::Stopping
                    && redundant_for > Some(self.policy.orders.unwanted_grace)
                {
                    redundant.push((id.clone(), task.clone()));
                }
                // A worker that answered the stop refuses the run, so only its next incarnation may
                // still start it.
                let awaits_late_start = run.answered_at.is_some() && run.may_start_late(now.at);
                if run.state == RunState::Stopping
                    && !awaits_late_start
                    && worker.is_in_contact()
                    && now.at - run.ordered_at > stop_timeout
                {
                    to_retry.push((id.clone(), task.clone(), run.number));
                }
            }
        }
        for (id, task, run) in to_retry {
            self.record_overdue_stop(&id, &task, now);
            self.send_stop(&id, &task, run, now);
        }
        for (id, task) in redundant {
            self.stop_run(&id, &task, "the task is done", now);
        }
        for (id, task, why) in to_cancel {
            self.cancel_planned(&id, &task, why, now);
        }
    }

    /// Records a decision for a stopped run that has not ended. Other work waits for its resources,
    /// and nothing else shows that they don't become free.
    fn record_overdue_stop(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let Some(run) = self.run_at(id, task) else {
            return;
        };
        let why = format!("no end {} ms after its stop", millis(now.at - run.since));
        let overdue = Decision::of_run(DecisionKind::Stop, task, run.number, id, why);
        self.decisions.push(overdue);
    }

    /// Returns the reason why a planned run needs another placement, if there is one.
    fn cancel_reason(
        &self,
        id: &WorkerId,
        worker: &Worker,
        task: &TaskKey,
        run: &Run,
        now: Now,
    ) -> Option<&'static str> {
        if !worker.accepts_starts() {
            Some("its worker does not accept tasks now")
        } else if self.lacks_ticket(id, &task.group, now) {
            Some("its ticket has expired")
        } else if now.at - run.since > self.bounds.stop_max + self.policy.orders.planned_margin {
            Some("its resources did not become free")
        } else {
            None
        }
    }

    /// Updates which workers have unsettled runs. Also restarts the wait of planned runs whose
    /// placements are not stored yet: a slow store is no reason to place them elsewhere.
    fn update_unsettled_workers(&mut self, now: Now) {
        let jobs = &self.jobs;
        for worker in self.workers.values_mut().filter(|w| w.has_unsettled) {
            worker.has_unsettled = worker.runs.values().any(Run::is_unsettled);
            for (task, run) in &mut worker.runs {
                if run.state != RunState::Planned {
                    continue;
                }
                let stored = jobs
                    .get(&task.group.job)
                    .map_or(0, |job| job.stored_changes);
                if run.placement_change > stored {
                    run.since = now.at;
                }
            }
        }
    }

    /// Gives up a planned run and all other planned members of its gang.
    pub(super) fn cancel_planned(&mut self, id: &WorkerId, task: &TaskKey, why: &str, now: Now) {
        self.record_setback(&task.group.job, Setback::PlacementAbandoned);
        self.stop_run(id, task, why, now);
        let is_gang = self.step(&task.group).is_some_and(|step| step.gang);
        if is_gang {
            for (id, member) in self.planned_members(&task.group) {
                self.stop_run(&id, &member, why, now);
            }
        }
    }
}
