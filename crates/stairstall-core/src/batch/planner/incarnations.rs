//! When a worker's life is over.

use super::pool::Run;
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, Setback, TaskKey};

impl Planner {
    /// Takes word that this life of a worker is over: nothing of it runs.
    pub fn end_incarnation(&mut self, id: &WorkerId, why: &str, now: Now) {
        let Some(mut worker) = self.workers.remove(id) else {
            return;
        };
        self.worker_set_version += 1;
        if worker.is_listed {
            self.paces.record_restart(id, now.at);
        } else {
            self.paces.forget(id);
        }
        self.decisions
            .push(Decision::of_worker(id, format!("its life is over: {why}")));
        let runs: Vec<_> = std::mem::take(&mut worker.runs).into_iter().collect();
        self.release_lost(id, &runs, now);
        let mut suspects = std::mem::take(&mut worker.lost_tasks);
        if worker.is_leaving() {
            self.retract_losses(id, &suspects);
        } else {
            // A crash lists no ends: uncounted, its tasks would start on worker after worker, each of
            // which they may crash too.
            self.confirm_crashes(id, &suspects);
            suspects.extend(self.count_crash(id, worker.incarnation_state.last_answer_at, &runs));
            self.fail_crashing_jobs(&suspects, now);
        }
        self.replan = true;
    }

    /// Gives the tasks of runs back that were lost with their worker, and stops what can't go on
    /// without them.
    ///
    /// Of a gang that has not begun, the members that are there would wait 3 s for the one that is lost.
    pub(super) fn release_lost(&mut self, id: &WorkerId, runs: &[(TaskKey, Run)], now: Now) {
        for (task, run) in runs {
            self.run_index.remove(task, id);
            self.record_setback(&task.group.job, Setback::Lost);
            self.release_task(id, task, run, "its worker's life is over");
        }
        for (task, run) in runs {
            self.stop_gang(
                task,
                run.number,
                "another member was lost with its worker",
                now,
            );
        }
    }

    /// Drops a worker that is listed no longer and has nothing.
    ///
    /// One that may have crashed under tasks is asked on for a while: its answer tells that it did not.
    pub(super) fn remove_if_gone(&mut self, id: &WorkerId, now: Now) {
        let vanished_after = self.policy.health.presumed_crashed_after;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.is_listed || !worker.runs.is_empty() {
            return;
        }
        if worker.lost_tasks.is_empty() {
            self.workers.remove(id);
            self.worker_set_version += 1;
            self.paces.forget(id);
        } else if worker.has_vanished(now.at, vanished_after) {
            self.end_incarnation(id, "it is listed no longer and does not answer", now);
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
            self.end_incarnation(&id, "it has left", now);
        }
    }

    /// Takes workers for crashed that were lost while they ran something, and have come back neither
    /// to the directory nor to an answer.
    pub(super) fn end_lives_of_the_vanished(&mut self, now: Now) {
        let doubtful = self
            .workers
            .iter()
            .filter(|(_, w)| !w.lost_tasks.is_empty());
        let doubtful: Vec<WorkerId> = doubtful.map(|(id, _)| id.clone()).collect();
        for id in doubtful {
            self.remove_if_gone(&id, now);
        }
    }
}
