//! When a worker's life is over, and what is lost with it.

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, DecisionKind, Setback, TaskKey};

impl Planner {
    /// Takes word that this life of a worker is over: nothing of it runs.
    pub fn life_over(&mut self, id: &WorkerId, why: &str) {
        let Some(mut worker) = self.workers.remove(id) else {
            return;
        };
        self.worker_set += 1;
        self.decisions
            .push(Decision::of_worker(id, format!("its life is over: {why}")));
        let runs = std::mem::take(&mut worker.runs);
        for (task, run) in runs {
            self.run_index.remove(&task, id);
            self.note_setback(&task.group.job, Setback::Lost);
            self.tell_loss(id, &task, &run);
            self.release(id, &task, &run, "its worker's life is over");
        }
        self.replan = true;
    }

    /// Says that a run was lost with its worker, and how much its task has used up of what it may.
    fn tell_loss(&mut self, id: &WorkerId, task: &TaskKey, run: &Run) {
        if run.state == RunState::Planned {
            return;
        }
        let failures = self.failures(task);
        let attempts = self.attempts(&task.group.job).unwrap_or(0);
        let percent = run.percent;
        let why = format!(
            "lost with its worker at {percent} percent; {failures} of {attempts} failures so far"
        );
        let loss = Decision::of_run(DecisionKind::Loss, task, run.number, id, why);
        self.decisions.push(loss);
    }

    /// Drops a worker that is listed no longer and has nothing.
    pub(super) fn forget_if_gone(&mut self, id: &WorkerId) {
        let is_gone = self
            .workers
            .get(id)
            .is_some_and(|w| !w.is_listed && w.runs.is_empty());
        if is_gone {
            self.workers.remove(id);
            self.worker_set += 1;
        }
    }

    /// Takes the lives of silent workers for over that said when they leave and are listed no
    /// longer: what they had starts elsewhere seconds before their leases end.
    pub(super) fn end_lives_of_the_left(&mut self, now: Now) {
        let left: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, w)| w.has_left(now.at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in left {
            self.life_over(&id, "it has left");
        }
    }
}
