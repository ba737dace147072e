//! Keeps the timeline of each job: the phases that its time goes to.

use std::time::Duration;

use super::job::{Job, TaskGroup};
use super::pool::RunState;
use super::{Now, Planner};
use crate::batch::timeline::{JobPhase, JobSummary, Setback};
use crate::batch::{GroupKey, TaskKey};
use crate::{JobId, WorkerId};

impl Planner {
    /// Marks a job as changed, so that its current phase is determined again.
    pub(super) fn mark_timeline_changed(&mut self, id: &JobId) {
        if !self.changed_timelines.contains(id) {
            self.changed_timelines.insert(id.clone());
        }
    }

    /// Marks every job that has a run on a worker as changed.
    pub(super) fn mark_timelines_changed_at(&mut self, id: &WorkerId) {
        let runs = self.workers.get(id).map(|worker| worker.runs.keys());
        let jobs = runs
            .into_iter()
            .flatten()
            .map(|task| task.group.job.clone());
        self.changed_timelines.extend(jobs);
    }

    /// Records a setback of a job.
    pub(super) fn record_setback(&mut self, id: &JobId, setback: Setback) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.timeline.record_setback(setback);
            self.mark_timeline_changed(id);
        }
    }

    /// Updates the timelines of the jobs that have changed.
    pub(super) fn update_timelines(&mut self, now: Now) {
        for id in std::mem::take(&mut self.changed_timelines) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let phase = self.phase_of(&id, job);
            let is_over = job.outcome.is_some() && job.is_stored();
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.timeline.enter_phase(phase, now.at);
            if is_over && job.timeline.mark_reported() {
                let summary = summary(job, now);
                self.summaries.extend(summary);
            }
        }
    }

    /// Removes and returns the summaries of the jobs whose ends were stored since the last call.
    pub fn take_summaries(&mut self) -> Vec<JobSummary> {
        std::mem::take(&mut self.summaries)
    }

    /// Returns the phase that a job is in, or `None` if its end is stored or no step of it is
    /// ready.
    fn phase_of(&self, id: &JobId, job: &Job) -> Option<JobPhase> {
        if job.outcome.is_some() {
            return (!job.is_stored()).then_some(JobPhase::RecordingOutcome);
        }
        let mut least_advanced = None;
        for (key, group) in job.groups(id) {
            if job.is_ready(key.occurrence, key.step as usize) {
                let phase = self.phase_of_group(&key, group, job);
                least_advanced = [least_advanced, phase].into_iter().flatten().min();
            }
        }
        least_advanced
    }

    /// Returns the least advanced phase among the open tasks of a step, or `None` if all are done.
    pub(super) fn phase_of_group(
        &self,
        key: &GroupKey,
        group: &TaskGroup,
        job: &Job,
    ) -> Option<JobPhase> {
        if group.tasks.iter().any(super::job::Task::is_waiting) {
            return Some(JobPhase::WaitingForCapacity);
        }
        let open = (0..).zip(&group.tasks).filter(|(_, task)| !task.done);
        let phases = open.map(|(index, task)| match &task.worker {
            None => JobPhase::WaitingForCapacity,
            Some(worker) => self.phase_of_run(worker, &key.task(index), job),
        });
        phases.min()
    }

    fn phase_of_run(&self, worker: &WorkerId, task: &TaskKey, job: &Job) -> JobPhase {
        let worker = self.workers.get(worker);
        let Some((worker, run)) = worker.and_then(|w| Some((w, w.runs.get(task)?))) else {
            return job.timeline.running_phase();
        };
        let is_unresponsive = !worker.is_in_contact();
        match run.state {
            RunState::Planned if run.placement_change > job.stored_changes => {
                JobPhase::RecordingPlacement
            }
            RunState::Planned => JobPhase::WaitingForPreemption,
            _ if is_unresponsive => JobPhase::WorkerSilent,
            RunState::Starting => JobPhase::Starting,
            RunState::Running | RunState::Stopping => job.timeline.running_phase(),
        }
    }
}

fn summary(job: &Job, now: Now) -> Option<JobSummary> {
    let accepted = &job.accepted;
    let work = job.timeline.work();
    Some(JobSummary {
        job: accepted.id.clone(),
        queue: accepted.queue.name.clone(),
        priority: accepted.queue.priority,
        customer: accepted.customer.clone(),
        zone: accepted.zone.clone(),
        outcome: job.outcome?,
        total: Duration::from_millis(now.unix_ms.saturating_sub(accepted.accepted_unix_ms)),
        work,
        estimate: Duration::from_millis(accepted.spec.critical_path_ms()),
        target: work.mul_f64(accepted.queue.stretch.max(0.0))
            + Duration::from_millis(accepted.queue.target_ms),
        phases: job.timeline.phases(),
        starts: job.timeline.starts,
        setbacks: job.timeline.setbacks(),
        taken_over: job.timeline.taken_over,
    })
}
