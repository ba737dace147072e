//! Draining of leaving workers.

use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Setback, TaskKey};
use crate::time::millis;

impl Planner {
    /// Returns whether a worker is known and leaves as planned.
    #[must_use]
    pub fn is_worker_leaving(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(Worker::is_leaving)
    }

    /// Stops the runs that can't end before a leaving worker goes, so that they continue elsewhere.
    /// Planned runs are stopped in any case.
    ///
    /// A run that is nearly done may stay even if it is expected to end slightly after the
    /// announced time.
    pub(super) fn drain_worker(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let policy = self.policy.leaving;
        let leaves_in_ms = worker.listed.remaining_ms.unwrap_or(0);
        let margin_ms = millis(policy.end_margin.min(self.bounds.stop_max));
        let to_stop: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                let run_ms = self.remaining_run_ms(task, run);
                let ends_in_time = run_ms.saturating_add(margin_ms) < leaves_in_ms;
                let may_end_late = run.percent >= policy.nearly_done
                    && run_ms < leaves_in_ms.saturating_add(millis(policy.late_margin));
                run.state == RunState::Planned || !(ends_in_time || may_end_late)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in to_stop {
            let number = run_number(self, id, &task);
            self.record_setback(&task.group.job, Setback::WorkerLeft);
            self.stop_run(id, &task, "its worker is leaving", now);
            self.stop_gang(&task, number, "a member's worker is leaving", now);
        }
    }

    /// Returns the expected remaining time of a run in milliseconds. A gang ends with its slowest
    /// member.
    fn remaining_run_ms(&self, task: &TaskKey, run: &Run) -> u64 {
        let min_progress_percent = self.policy.placement.min_progress_percent;
        if !run.gang {
            return run.remaining_ms(min_progress_percent);
        }
        let members = self.run_index.of_group(&task.group);
        members
            .iter()
            .filter_map(|(id, member)| self.run_at(id, member))
            .map(|run| run.remaining_ms(min_progress_percent))
            .max()
            .unwrap_or(0)
    }
}

fn run_number(planner: &Planner, id: &WorkerId, task: &TaskKey) -> u32 {
    planner.run_at(id, task).map_or(0, |run| run.number)
}
