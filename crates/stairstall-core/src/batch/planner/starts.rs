//! Sending start orders to workers.

use std::time::Duration;

use super::pool::{RunState, Worker};
use super::{Now, Order, OrderKind, Planner};
use crate::batch::{Decision, DecisionKind, GroupKey, TaskKey};
use crate::time::millis;
use crate::{Timestamp, WorkerId};

impl Planner {
    /// Issues the start orders of planned runs whose resources are free. A gang's starts are issued
    /// all together or not at all.
    pub(super) fn send_starts(&mut self, now: Now) {
        if !self.has_fresh_evacuated_zones(now) || !self.jobs_are_current() {
            return;
        }
        let groups: Vec<GroupKey> = self.planned.iter().cloned().collect();
        for key in groups {
            let members = self.planned_members(&key);
            if members.is_empty() {
                self.planned.remove(&key);
                continue;
            }
            let is_gang = self.step(&key).is_some_and(|step| step.gang);
            for (id, _) in &members {
                self.poll_for_clock(id, now);
            }
            let (verifying, members): (Vec<_>, Vec<_>) = members
                .into_iter()
                .partition(|(id, _)| self.is_unverified(id));
            self.send_single_starts(&verifying, now);
            if is_gang {
                self.send_gang_starts(&key, &members, now);
            } else {
                self.send_single_starts(&members, now);
            }
        }
    }

    fn send_single_starts(&mut self, members: &[(WorkerId, TaskKey)], now: Now) {
        for (id, task) in members {
            if self.can_start_now(id, &[task], now) {
                self.send_start(id, task, now);
            }
        }
    }

    fn send_gang_starts(&mut self, key: &GroupKey, members: &[(WorkerId, TaskKey)], now: Now) {
        let by_worker = |id: &WorkerId| -> Vec<&TaskKey> {
            let here = members.iter().filter(|(other, _)| other == id);
            here.map(|(_, task)| task).collect()
        };
        let all_fit = members
            .iter()
            .all(|(id, _)| self.can_start_now(id, &by_worker(id), now));
        let is_whole = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.group(key))
            .is_some_and(|group| group.tasks.len() == members.len());
        if all_fit && is_whole {
            for (id, task) in members {
                self.send_start(id, task, now);
            }
        }
    }

    pub(super) fn step(&self, key: &GroupKey) -> Option<&crate::batch::StepSpec> {
        self.jobs.get(&key.job)?.step(key)
    }

    /// Returns the planned runs of a step.
    pub(super) fn planned_members(&self, key: &GroupKey) -> Vec<(WorkerId, TaskKey)> {
        let Some(group) = self.jobs.get(&key.job).and_then(|job| job.group(key)) else {
            return Vec::new();
        };
        (0..)
            .zip(&group.tasks)
            .filter_map(|(index, task)| Some((task.worker.clone()?, key.task(index))))
            .filter(|(id, task)| self.run_state(id, task) == Some(RunState::Planned))
            .collect()
    }

    fn run_state(&self, id: &WorkerId, task: &TaskKey) -> Option<RunState> {
        Some(self.run_at(id, task)?.state)
    }

    /// Returns whether runs can start on a worker now: their placements are stored, the worker
    /// accepts starts, its clock is known, and the resources of all of them are free.
    fn can_start_now(&self, id: &WorkerId, tasks: &[&TaskKey], now: Now) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let is_stored = tasks
            .iter()
            .all(|task| self.is_placement_stored(worker, task));
        let needed = tasks
            .iter()
            .filter_map(|task| worker.runs.get(*task))
            .fold(crate::batch::Resources::default(), |sum, run| {
                sum.saturating_add(&run.resources)
            });
        let takes_starts = worker.is_in_contact()
            && !worker.in_evacuated_zone
            && !worker.late_acknowledgements.is_in_flight()
            && self.knows_clock(worker, now.at);
        is_stored && takes_starts && needed.fits_in(&worker.free_now())
    }

    /// Returns whether a run's placement is stored, so that a later planner will know of the run.
    fn is_placement_stored(&self, worker: &Worker, task: &TaskKey) -> bool {
        let stored = self.jobs.get(&task.group.job).map(|job| job.stored_changes);
        let needed = worker.runs.get(task).map(|run| run.placement_change);
        needed <= stored
    }

    /// Returns the longest lease that a start order to a worker carries.
    fn start_lease(&self, worker: &Worker) -> Duration {
        let orders = &self.policy.orders;
        let lease = if worker.incarnation_state.end_listing.is_verified() {
            orders.start_lease
        } else {
            orders.verification_lease
        };
        lease.min(self.bounds.lease_duration)
    }

    /// Returns whether a worker's clock was read recently enough for a start.
    ///
    /// Idle workers are not polled, so the reading may have any age. A deadline that allows for all
    /// the drift since then could be over before it arrives.
    fn knows_clock(&self, worker: &Worker, at: Timestamp) -> bool {
        let lease = self.start_lease(worker);
        worker.incarnation_state.knows_clock_for(lease, at)
    }

    /// Returns whether something is to start on a worker whose clock has to be read first.
    pub(super) fn awaits_clock(&self, worker: &Worker, at: Timestamp) -> bool {
        let end_listing = &worker.incarnation_state.end_listing;
        let has_starts = worker.has_planned_runs() || end_listing.is_verification_due(at);
        has_starts && !self.knows_clock(worker, at)
    }

    /// Polls a worker at once if a planned run there waits for the value of its clock, unless a report
    /// is on its way.
    ///
    /// A value that was recent enough when the run was placed may be too old once that is stored.
    pub(super) fn poll_for_clock(&mut self, id: &WorkerId, now: Now) {
        let worker = self.workers.get(id).filter(|w| !w.is_report_pending());
        if worker.is_some_and(|worker| self.awaits_clock(worker, now.at)) {
            self.workers_to_poll.push(id.clone());
        }
    }

    /// Issues the start order of a run, with a new lease.
    pub(super) fn send_start(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let is_verified = worker.incarnation_state.end_listing.is_verified();
        // A verification run does all of its work, so that it can't finish.
        let checkpoint = is_verified.then(|| self.start_checkpoint(task)).flatten();
        let lease = self.start_lease(worker);
        let lease = if is_verified {
            lease
        } else {
            lease.min(self.verification_lease(task))
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(clock) = worker.incarnation_state.clock() else {
            return;
        };
        if !worker.incarnation_state.end_listing.is_verified() {
            worker.incarnation_state.record_verification_run(now.at);
        }
        let late_start = self.policy.orders.late_start;
        let late_start_until = worker.may_keep_id().then(|| now.at + late_start);
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        let waited = millis(now.at - run.since);
        run.resumes = checkpoint.is_some();
        run.set_state(RunState::Starting, now.at);
        run.ordered_at = now.at;
        run.start_attempts += 1;
        run.incarnation = worker.incarnation_state.incarnation;
        run.fencing_token = worker.fencing_token;
        run.late_start_until = late_start_until;
        let (number, attempts, token) = (run.number, run.start_attempts, run.fencing_token);
        worker.deadline_clock_age = clock.age_at(now.at);
        worker.extend_lease(now.at + Self::max_lease_duration(lease));
        let Some(job) = self.jobs.get(&task.group.job) else {
            return;
        };
        self.activity.record_start();
        self.orders.push(Order {
            worker: id.clone(),
            task: task.clone(),
            run: number,
            token,
            kind: OrderKind::Start {
                payload: job.accepted.spec.payload.clone(),
                checkpoint,
                ticket: self.start_ticket(id, task, now),
                deadline_ms: clock.deadline(lease, now.at),
            },
        });
        if let Some(job) = self.jobs.get_mut(&task.group.job) {
            job.timeline.starts = job.timeline.starts.saturating_add(1);
            if let Some(entry) = job.task_mut(task) {
                entry.started_at = Some(now.at);
            }
        }
        self.end_idle_time(&task.group.job, now);
        self.mark_timeline_changed(&task.group.job);
        self.decisions.push(Decision::of_run(
            DecisionKind::Start,
            task,
            number,
            id,
            format!("try {attempts}, waited {waited} ms for its resources"),
        ));
    }

    /// Returns the checkpoint that a run continues from. All members of a gang use the same one.
    fn start_checkpoint(&self, task: &TaskKey) -> Option<String> {
        let key = &task.group;
        let job = self.jobs.get(&key.job)?;
        let group = job.group(key)?;
        if job.step(key)?.gang {
            return group.tasks.iter().find_map(|t| t.checkpoint.clone());
        }
        group.tasks.get(task.index as usize)?.checkpoint.clone()
    }

    fn start_ticket(&self, id: &WorkerId, task: &TaskKey, now: Now) -> Option<String> {
        let group = self.jobs.get(&task.group.job)?.group(&task.group)?;
        let margin = self.policy.advice.ticket_margin;
        group.advice.ticket(id, now.at, margin).map(str::to_owned)
    }
}
