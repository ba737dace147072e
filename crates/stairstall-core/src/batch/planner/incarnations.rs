//! The end of worker incarnations.

use super::crashes::LostIncarnation;
use super::pool::{Run, Worker};
use super::{Now, Planner};
use crate::WorkerId;
use crate::batch::{Decision, Setback, TaskKey};

impl Planner {
    /// Handles the end of a worker's current incarnation, and with it of all its runs.
    pub fn end_incarnation(&mut self, id: &WorkerId, why: &str, now: Now) {
        let Some(mut worker) = self.remove_worker(id) else {
            return;
        };
        if worker.is_listed {
            self.paces.record_restart(id, now.at);
        } else {
            self.paces.forget(id);
        }
        self.decisions.push(Decision::of_worker(
            id,
            format!("its incarnation ended: {why}"),
        ));
        let runs: Vec<_> = std::mem::take(&mut worker.runs).into_iter().collect();
        self.release_lost_runs(id, &runs, now);
        self.releases.record_gone(id, now.at);
        let mut suspects = std::mem::take(&mut worker.lost_tasks);
        if worker.is_leaving() {
            self.retract_losses(id, &suspects);
        } else {
            // A crashed worker reports no run ends. If the crash were not counted, its tasks would
            // be started on one worker after another and could crash each of them.
            self.confirm_crashes(id, &suspects);
            let lost = LostIncarnation {
                last_answer_at: worker.incarnation_state.last_answer_at,
                successor_began_at: None,
            };
            suspects.extend(self.count_crash(id, lost, &runs));
            self.fail_crashing_jobs(&suspects, now);
        }
        self.replan = true;
    }

    /// Removes a worker from the set of known workers.
    fn remove_worker(&mut self, id: &WorkerId) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        self.addresses.remove(&worker.listed.address, id);
        self.remember_late_acknowledgements(id, &worker);
        self.worker_set_version += 1;
        Some(worker)
    }

    /// Releases the tasks of runs that were lost with their worker, and stops the gangs that can't
    /// continue without them.
    ///
    /// Otherwise the members of a gang that has not begun would wait 3 s for the lost one, until
    /// their workers give up the gang.
    pub(super) fn release_lost_runs(&mut self, id: &WorkerId, runs: &[(TaskKey, Run)], now: Now) {
        for (task, run) in runs {
            self.run_index.remove(task, id);
            self.record_setback(&task.group.job, Setback::Lost);
            self.release_task(id, task, run, "its worker's incarnation ended", now);
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

    /// Removes a worker that is no longer listed and has no runs.
    ///
    /// A worker that tasks may have crashed is polled for a while longer, because an answer of the
    /// same incarnation proves that it did not crash.
    pub(super) fn remove_if_gone(&mut self, id: &WorkerId, now: Now) {
        let presumed_crashed_after = self.policy.health.presumed_crashed_after;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.is_listed || !worker.runs.is_empty() {
            return;
        }
        if worker.lost_tasks.is_empty() {
            self.remove_worker(id);
            self.paces.forget(id);
        } else if worker.has_vanished(now.at, presumed_crashed_after) {
            self.end_incarnation(id, "it is no longer listed and does not answer", now);
        }
    }

    /// Ends the incarnations of workers that announced when they leave, are no longer listed and do
    /// not answer. Their runs start elsewhere seconds before the leases would end.
    pub(super) fn end_departed_incarnations(&mut self, now: Now) {
        let departed: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, w)| w.has_left(now.at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in departed {
            self.end_incarnation(&id, "it has left", now);
        }
    }

    /// Presumes workers crashed that became silent while they had runs, and since then have neither
    /// answered nor been listed again.
    pub(super) fn end_vanished_incarnations(&mut self, now: Now) {
        let suspects = self
            .workers
            .iter()
            .filter(|(_, w)| !w.lost_tasks.is_empty());
        let suspects: Vec<WorkerId> = suspects.map(|(id, _)| id.clone()).collect();
        for id in suspects {
            self.remove_if_gone(&id, now);
        }
    }
}
