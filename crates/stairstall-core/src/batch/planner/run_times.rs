//! Expected run times of steps, and learning them from runs and run ends.

use std::time::Duration;

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::batch::{
    EstimatedWork, GroupKey, RunTime, RunTimeObservation, RunTimes, StepSpec, TaskKey,
};
use crate::{RackId, Timestamp, WorkerId};

/// Lower bound of the pace factor by which an observed duration is divided.
const MIN_PACE: f64 = 1.0 / 16.0;

/// The undisturbed work of a run, or of its whole gang, from which a run time is learned.
struct UndisturbedWork<'a> {
    run: &'a Run,
    /// Since when it has worked; for a gang, since when all of its members have.
    since: Timestamp,
    /// Factor by which the work takes longer on these workers than on one of typical pace.
    pace: f64,
}

impl Planner {
    /// Returns how long a task of a step should take on a worker of typical pace on the rack of its
    /// data.
    pub(super) fn run_time(&self, key: &GroupKey, step: &StepSpec, now: Now) -> RunTime {
        let estimate = Duration::from_millis(self.estimate_ms(step));
        match self.estimated_work(key, estimate) {
            Some(work) => self.run_times.run_time(&work, now.at),
            None => RunTime::from_estimate(estimate),
        }
    }

    /// Returns how long a task of a step should take, if more than the caller's estimate is known.
    pub(super) fn known_run_time(
        &self,
        key: &GroupKey,
        step: &StepSpec,
        now: Now,
    ) -> Option<RunTime> {
        let estimate = Duration::from_millis(self.estimate_ms(step));
        let work = self.estimated_work(key, estimate)?;
        self.run_times.learned_run_time(&work, now.at)
    }

    fn estimated_work(&self, key: &GroupKey, estimate: Duration) -> Option<EstimatedWork<'_>> {
        let accepted = &self.jobs.get(&key.job)?.accepted;
        Some(EstimatedWork {
            queue: &accepted.queue.name,
            customer: accepted.customer.as_ref(),
            estimate,
        })
    }

    /// Returns the step's work with the caller's estimate.
    fn work_of(&self, key: &GroupKey) -> Option<EstimatedWork<'_>> {
        let estimate_ms = self.estimate_ms(self.step(key)?);
        self.estimated_work(key, Duration::from_millis(estimate_ms))
    }

    /// Learns from a run whose work is done. The first end of a gang's members stands for all of
    /// them.
    pub(super) fn learn_run_time(&mut self, id: &WorkerId, task: &TaskKey, run: &Run, now: Now) {
        self.learn_run_times(|planner, run_times| {
            let is_first_end = planner.task(task).is_some_and(|task| !task.done);
            let work = planner
                .undisturbed_work(id, task, run, now)
                .filter(|_| is_first_end)?;
            run_times.record_completed(
                &planner.work_of(&task.group)?,
                work.duration_at_typical_pace(now.at),
                now.at,
            );
            Some(())
        });
    }

    /// Learns from a run that is about to be stopped, unless it is moved because of its own pace.
    pub(super) fn learn_from_stop(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        self.learn_run_times(|planner, run_times| {
            let observation = planner.observe_run(id, task, now)?;
            run_times.record_stopped(&planner.work_of(&task.group)?, observation, now.at);
            Some(())
        });
    }

    /// Learns from the progress of all running tasks, at the interval that the policy sets.
    pub(super) fn learn_from_running(&mut self, now: Now) {
        if self.run_times.is_sampling_due(now.at) {
            self.learn_run_times(|planner, run_times| {
                run_times.sample_running(planner.running_observations(now), now.at);
                Some(())
            });
        }
    }

    /// Updates the learned run times with a function that may read the rest of the planner.
    fn learn_run_times(&mut self, learn: impl FnOnce(&Self, &mut RunTimes) -> Option<()>) {
        if !self.run_times.is_enabled() {
            return;
        }
        let mut run_times = std::mem::take(&mut self.run_times);
        // `None` means that there was nothing to learn.
        let _ = learn(self, &mut run_times);
        self.run_times = run_times;
    }

    /// Returns the progress of each task or gang that runs undisturbed.
    fn running_observations(
        &self,
        now: Now,
    ) -> impl Iterator<Item = (EstimatedWork<'_>, RunTimeObservation)> {
        let workers = self.workers.iter();
        let tasks = workers.flat_map(|(id, worker)| worker.runs.keys().map(move |task| (id, task)));
        tasks.filter_map(move |(id, task)| {
            let observation = self.observe_run(id, task, now)?;
            Some((self.work_of(&task.group)?, observation))
        })
    }

    /// Returns what the progress of a run says about its whole duration. For a gang, returns it for
    /// the first member only.
    fn observe_run(&self, id: &WorkerId, task: &TaskKey, now: Now) -> Option<RunTimeObservation> {
        let run = self.run_at(id, task)?;
        let is_observable = run.state == RunState::Running && run.redundant_since.is_none();
        if !is_observable || run.gang && task.index != 0 {
            return None;
        }
        let entry = self.task(task)?;
        if entry.done || entry.moved_run == run.number {
            return None;
        }
        let work = self.undisturbed_work(id, task, run, now)?;
        Some(work.observation(self.policy.run_times.min_progress_percent))
    }

    /// Returns the undisturbed work of a run, or `None` if anything disturbed the run or its gang.
    fn undisturbed_work<'a>(
        &'a self,
        id: &WorkerId,
        task: &TaskKey,
        run: &'a Run,
        now: Now,
    ) -> Option<UndisturbedWork<'a>> {
        let step = self.step(&task.group)?;
        if step.long_running || step.uses_spare_cpu {
            return None;
        }
        let mut since = self.undisturbed_since(id, step, run)?;
        let mut pace = self.pace_of(id, now).factor;
        if step.gang {
            let mut members = 1;
            let rack = self.rack_of(id);
            for (other_id, other) in self.run_index.of_group(&task.group) {
                let Some(member) = self.run_at(&other_id, &other) else {
                    continue;
                };
                if other == *task || member.number != run.number {
                    continue;
                }
                if step.same_rack && self.rack_of(&other_id) != rack {
                    return None;
                }
                since = since.max(self.undisturbed_since(&other_id, step, member)?);
                pace = pace.max(self.pace_of(&other_id, now).factor);
                members += 1;
            }
            if members != step.count {
                return None;
            }
        }
        Some(UndisturbedWork { run, since, pace })
    }

    /// Returns since when a run has worked undisturbed on the rack of its data, or `None` if it did
    /// not do so from its beginning.
    fn undisturbed_since(&self, id: &WorkerId, step: &StepSpec, run: &Run) -> Option<Timestamp> {
        let (began, from) = run.began?;
        let from_start = from == 0 && !run.resumes && !run.restored;
        let contact_restored_at = self.workers.get(id)?.contact_restored_at;
        let was_unresponsive = contact_restored_at.is_some_and(|at| at > began);
        let is_remote = self.slowdown(step, id) > 1;
        (from_start && !was_unresponsive && !is_remote).then_some(began)
    }

    /// Returns the rack of a worker, if the worker is known.
    pub(super) fn rack_of(&self, id: &WorkerId) -> Option<&RackId> {
        Some(&self.workers.get(id)?.listed.rack)
    }
}

impl UndisturbedWork<'_> {
    /// Returns how long the work up to a time would have taken on workers of typical pace.
    fn duration_at_typical_pace(&self, at: Timestamp) -> Duration {
        (at - self.since).div_f64(self.pace.max(MIN_PACE))
    }

    /// Returns what the progress in the last report says about the whole duration.
    fn observation(&self, shown_percent: u8) -> RunTimeObservation {
        let work = self.duration_at_typical_pace(self.run.reported_at);
        if self.run.percent < shown_percent.max(1) {
            return RunTimeObservation::AtLeast(work);
        }
        // The reported percentage is rounded down to a whole number.
        let fraction = (f64::from(self.run.percent) + 0.5) / 100.0;
        RunTimeObservation::Projected(work.div_f64(fraction))
    }
}
