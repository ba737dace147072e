//! Runs that stand still are moved to another worker.

use std::time::Duration;

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, TaskKey};

/// Shortest time without progress that counts as standing still.
const STILL_AT_LEAST: Duration = Duration::from_millis(2_500);
/// Part of the expected time, as a divisor, without progress that counts as standing still.
const STILL_DIVISOR: u32 = 5;
/// How long a worker gets nothing new after something stood still there.
const SUSPECT_AFTER_STILL: Duration = Duration::from_secs(6);
/// Most moves of one step.
const MAX_MOVES: u8 = 4;

impl Planner {
    /// Stops runs that make no progress, so that they go on elsewhere.
    pub(super) fn find_stuck(&mut self, now: Now) {
        let stuck: Vec<(WorkerId, TaskKey, u32)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_in_contact())
            .flat_map(|(id, worker)| worker.runs.iter().map(move |(task, run)| (id, task, run)))
            .filter(|(_, _, run)| run.stands_still())
            .map(|(id, task, run)| (id.clone(), task.clone(), run.number))
            .collect();
        for (id, task, number) in stuck {
            if !self.may_move(&task) {
                continue;
            }
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.suspect_until = Some(now.at + SUSPECT_AFTER_STILL);
            }
            self.decisions
                .push(Decision::of_worker(&id, "a task stands still there"));
            self.stop_run(&id, &task, "it stands still", now);
            self.stop_gang(&task, number, "a member of its gang stands still", now);
        }
    }

    fn may_move(&mut self, task: &TaskKey) -> bool {
        let key = &task.group;
        let group = self.jobs.get_mut(&key.job).and_then(|j| j.group_mut(key));
        let Some(group) = group.filter(|group| group.moves < MAX_MOVES) else {
            return false;
        };
        group.moves += 1;
        true
    }
}

impl Run {
    fn stands_still(&self) -> bool {
        let part = Duration::from_millis(self.expected_ms) / STILL_DIVISOR;
        let limit = part.max(STILL_AT_LEAST);
        self.state == RunState::Running
            && self.began.is_some()
            && !self.lasts
            && self.percent < 100
            && self.reported_at - self.progressed_at > limit
    }
}
