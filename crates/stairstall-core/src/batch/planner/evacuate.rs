//! Moving what runs away from workers that leave.

use super::contact::millis;
use super::pool::RunState;
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::TaskKey;

/// Runs that are nearly done stay to the end, in percent of their work.
const NEARLY_DONE: u8 = 85;

impl Planner {
    /// Stops what can't end before a leaving worker goes.
    pub(super) fn evacuate(&mut self, id: &WorkerId, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let left_ms = worker.listed.remaining_ms.unwrap_or(0);
        let moving: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| {
                let ends_there = run.left_ms() + millis(self.bounds.stop_max) < left_ms;
                let is_late = run.percent >= NEARLY_DONE;
                run.state == RunState::Planned || !(ends_there || is_late)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in moving {
            let number = worker_run(self, id, &task);
            self.stop_run(id, &task, "its worker is leaving", now);
            self.stop_gang(&task, number, "a member's worker is leaving", now);
        }
    }
}

fn worker_run(planner: &Planner, id: &WorkerId, task: &TaskKey) -> u32 {
    let run = planner.workers.get(id).and_then(|w| w.runs.get(task));
    run.map_or(0, |run| run.number)
}
