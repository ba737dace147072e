//! How long steps should take, and what runs and their ends say of that.

use std::time::Duration;

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::batch::{
    EstimatedWork, GroupKey, RunTime, RunTimeObservation, RunTimes, StepSpec, TaskKey,
};
use crate::{RackId, Timestamp, WorkerId};

/// No worker counts as faster than this, as a part of the usual time.
const LEAST_PACE: f64 = 1.0 / 16.0;

/// What a run, with its gang, shows of how long its work takes.
struct Worked<'a> {
    run: &'a Run,
    /// Since when all of its gang were there.
    since: Timestamp,
    /// How many times as long it takes at these workers.
    pace: f64,
}

impl Planner {
    /// Returns how long a task of a step should take at a worker of usual pace, near its data.
    pub(super) fn run_time(&self, key: &GroupKey, step: &StepSpec, now: Now) -> RunTime {
        let estimate = Duration::from_millis(self.estimate_ms(step));
        match self.estimated_work(key, estimate) {
            Some(work) => self.run_times.run_time(&work, now.at),
            None => RunTime::from_estimate(estimate),
        }
    }

    /// Returns how long a task of a step should take where more than its estimate is known.
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

    fn work_of(&self, key: &GroupKey) -> Option<EstimatedWork<'_>> {
        let estimate_ms = self.estimate_ms(self.step(key)?);
        self.estimated_work(key, Duration::from_millis(estimate_ms))
    }

    /// Learns from a run whose work is done; of a gang the first end stands for all.
    pub(super) fn learn_run_time(&mut self, id: &WorkerId, task: &TaskKey, run: &Run, now: Now) {
        self.learn_run_times(|planner, run_times| {
            let is_news = planner.task(task).is_some_and(|task| !task.done);
            let worked = planner.worked(id, task, run, now).filter(|_| is_news)?;
            run_times.record_completed(
                &planner.work_of(&task.group)?,
                worked.usual(now.at),
                now.at,
            );
            Some(())
        });
    }

    /// Learns from a run that is about to be stopped, unless it is moved for its own pace.
    pub(super) fn learn_from_stop(&mut self, id: &WorkerId, task: &TaskKey, now: Now) {
        self.learn_run_times(|planner, run_times| {
            let so_far = planner.told_so_far(id, task, now)?;
            run_times.record_stopped(&planner.work_of(&task.group)?, so_far, now.at);
            Some(())
        });
    }

    /// Learns from how far everything has come that runs, now and then.
    pub(super) fn learn_from_running(&mut self, now: Now) {
        if self.run_times.is_sampling_due(now.at) {
            self.learn_run_times(|planner, run_times| {
                run_times.sample_running(planner.running(now), now.at);
                Some(())
            });
        }
    }

    /// Changes what is known of run times by what is known of everything else.
    fn learn_run_times(&mut self, learn: impl FnOnce(&Self, &mut RunTimes) -> Option<()>) {
        if !self.run_times.is_enabled() {
            return;
        }
        let mut run_times = std::mem::take(&mut self.run_times);
        // None says that there was nothing to learn.
        let _ = learn(self, &mut run_times);
        self.run_times = run_times;
    }

    /// Returns how far each task, or gang, has come that runs undisturbed.
    fn running(&self, now: Now) -> impl Iterator<Item = (EstimatedWork<'_>, RunTimeObservation)> {
        let workers = self.workers.iter();
        let tasks = workers.flat_map(|(id, worker)| worker.runs.keys().map(move |task| (id, task)));
        tasks.filter_map(move |(id, task)| {
            let so_far = self.told_so_far(id, task, now)?;
            Some((self.work_of(&task.group)?, so_far))
        })
    }

    /// Returns what a run that goes on tells of its whole time; of a gang the first member tells.
    fn told_so_far(&self, id: &WorkerId, task: &TaskKey, now: Now) -> Option<RunTimeObservation> {
        let run = self.run_at(id, task)?;
        let tells = run.state == RunState::Running && run.redundant_since.is_none();
        if !tells || run.gang && task.index != 0 {
            return None;
        }
        let entry = self.task(task)?;
        if entry.done || entry.moved_run == run.number {
            return None;
        }
        let worked = self.worked(id, task, run, now)?;
        Some(worked.so_far(self.policy.run_times.shown_percent))
    }

    /// Returns what a run shows; none where something disturbed it or its gang.
    fn worked<'a>(
        &'a self,
        id: &WorkerId,
        task: &TaskKey,
        run: &'a Run,
        now: Now,
    ) -> Option<Worked<'a>> {
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
        Some(Worked { run, since, pace })
    }

    /// Returns since when a run has worked undisturbed and near its data; none where it did not do
    /// so from its beginning.
    fn undisturbed_since(&self, id: &WorkerId, step: &StepSpec, run: &Run) -> Option<Timestamp> {
        let (began, from) = run.began?;
        let is_whole = from == 0 && !run.resumes && !run.restored;
        let heard_again_at = self.workers.get(id)?.contact_restored_at;
        let was_silent = heard_again_at.is_some_and(|at| at > began);
        let is_far = self.slowdown(step, id) > 1;
        (is_whole && !was_silent && !is_far).then_some(began)
    }

    /// Returns the rack of a worker that is known.
    pub(super) fn rack_of(&self, id: &WorkerId) -> Option<&RackId> {
        Some(&self.workers.get(id)?.listed.rack)
    }
}

impl Worked<'_> {
    /// Returns how long it had worked at a time, as at workers of usual pace.
    fn usual(&self, at: Timestamp) -> Duration {
        (at - self.since).div_f64(self.pace.max(LEAST_PACE))
    }

    /// Returns what it tells of its whole time, as of the last report.
    fn so_far(&self, shown_percent: u8) -> RunTimeObservation {
        let worked = self.usual(self.run.reported_at);
        if self.run.percent < shown_percent.max(1) {
            return RunTimeObservation::AtLeast(worked);
        }
        // The percentage is cut to a whole number.
        let done = (f64::from(self.run.percent) + 0.5) / 100.0;
        RunTimeObservation::Projected(worked.div_f64(done))
    }
}
