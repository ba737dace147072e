//! Learning of worker paces from reports and run ends.

use std::collections::HashMap;
use std::time::Duration;

use super::pool::{Run, RunState};
use super::{Now, Planner};
use crate::batch::{
    GroupKey, PaceSummary, ProgressSample, RunProgress, StepSpec, TaskKey, WorkerPace, WorkerPaces,
};
use crate::time::millis;
use crate::{Timestamp, WorkerId};

/// Minimum share of the work, in percent, that a projection of the whole duration or a run's final
/// sample must cover.
const MIN_PROJECTION_PERCENT: u8 = 5;

/// A run whose progress is evaluated.
struct ObservedRun<'a> {
    worker: &'a WorkerId,
    task: &'a TaskKey,
    run: &'a Run,
    sample: Option<ProgressSample>,
}

impl Planner {
    /// Returns the pace of a worker. It counts as unknown for every worker unless the paces in the
    /// fleet differ.
    pub(super) fn pace_of(&self, id: &WorkerId, now: Now) -> WorkerPace {
        if self.paces.is_heterogeneous() {
            self.paces.pace(id, now.at)
        } else {
            WorkerPace::UNKNOWN
        }
    }

    /// Returns what is known of the workers' paces.
    #[must_use]
    pub const fn paces(&self) -> &WorkerPaces {
        &self.paces
    }

    /// Returns a summary of the known paces, with how many workers differ in pace.
    #[must_use]
    pub const fn pace_summary(&self) -> PaceSummary {
        self.paces.summary()
    }

    /// Learns a worker's pace from a run whose work is done.
    pub(super) fn learn_pace_from_end(
        &mut self,
        id: &WorkerId,
        task: &TaskKey,
        run: &Run,
        now: Now,
    ) {
        if !self.paces.is_enabled() || !run.is_pace_representative() {
            return;
        }
        if run.gang {
            self.learn_from_gang(id, task, run, now);
            return;
        }
        let key = &task.group;
        let Some((typical, slowdown)) = self.typical_at(key, id, now) else {
            return;
        };
        let sample = run.final_sample(task, now.at);
        let observed = RunProgress {
            worker: id,
            projected_total: None,
            sample: sample.map(|sample| sample.without_remote_slowdown(slowdown)),
            expected: typical,
        };
        self.paces.learn_from_step(key, &[observed], now.at);
    }

    /// Learns from a gang at the first end of its members, which stands for all of them.
    fn learn_from_gang(&mut self, id: &WorkerId, task: &TaskKey, run: &Run, now: Now) {
        let key = &task.group;
        let Some((step, group)) = self
            .jobs
            .get(&key.job)
            .and_then(|job| Some((job.step(key)?, job.group(key)?)))
        else {
            return;
        };
        let other_members = self.run_index.of_group(key);
        let is_whole = other_members.len() + 1 == group.tasks.len();
        if group.is_done() || !is_whole || self.is_spread_over_racks(step, id, &other_members) {
            return;
        }
        let began = other_members.iter().filter_map(|(id, task)| {
            let other = self.run_at(id, task)?;
            other.began.filter(|_| other.is_pace_representative())
        });
        let began: Vec<Timestamp> = began.map(|(at, _)| at).collect();
        if began.len() != other_members.len() {
            return;
        }
        let sample = run.began.and_then(|(at, from)| {
            let together_since = began.into_iter().fold(at, Timestamp::max);
            let gained = 100_u8.saturating_sub(from);
            ProgressSample::new(run.sample_id(task), gained, now.at - together_since)
        });
        let Some((typical, slowdown)) = self.typical_at(key, id, now) else {
            return;
        };
        let Some(sample) = sample else {
            return;
        };
        let members: Vec<&WorkerId> = other_members.iter().map(|(id, _)| id).chain([id]).collect();
        self.paces.learn_from_gang(
            &members,
            &sample.without_remote_slowdown(slowdown),
            typical,
            now.at,
        );
    }

    /// Returns whether a gang that should be on one rack is on several. The time it takes then says
    /// nothing about the pace of its workers.
    fn is_spread_over_racks(
        &self,
        step: &StepSpec,
        id: &WorkerId,
        other_members: &[(WorkerId, TaskKey)],
    ) -> bool {
        let rack = self.rack_of(id);
        step.same_rack
            && other_members
                .iter()
                .any(|(other, _)| self.rack_of(other) != rack)
    }

    /// Returns how long a step's work typically takes on the rack of its data, and the factor by
    /// which it is slower on a worker because of that worker's rack.
    fn typical_at(&self, key: &GroupKey, id: &WorkerId, now: Now) -> Option<(Duration, u32)> {
        let step = self.step(key)?;
        let typical = self.run_time(key, step, now).typical;
        Some((typical, self.slowdown(step, id)))
    }

    /// Learns from the runs that have made progress.
    pub(super) fn learn_paces_from_reports(&mut self, now: Now) {
        if !self.paces.is_enabled() {
            return;
        }
        let min_progress_percent = self.paces.policy().min_progress_percent;
        let mut by_step = HashMap::<&GroupKey, Vec<ObservedRun<'_>>>::new();
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.is_in_contact()) {
            for (task, run) in worker
                .runs
                .iter()
                .filter(|(_, run)| run.has_representative_progress())
            {
                let observed = ObservedRun {
                    worker: id,
                    task,
                    run,
                    sample: run.new_sample(task, min_progress_percent),
                };
                by_step.entry(&task.group).or_default().push(observed);
            }
        }
        by_step.retain(|_, runs| runs.iter().any(|run| run.sample.is_some()));
        let mut steps: Vec<(&GroupKey, Vec<ObservedRun<'_>>)> = by_step.into_iter().collect();
        steps.sort_by_key(|(key, _)| *key);
        let mut paces = std::mem::take(&mut self.paces);
        for (key, runs) in &steps {
            let observed: Vec<RunProgress<'_>> = runs
                .iter()
                .filter_map(|observed| self.rack_local_progress(key, observed, now))
                .collect();
            paces.learn_from_step(key, &observed, now.at);
        }
        let sampled: Vec<(WorkerId, TaskKey)> = steps
            .iter()
            .flat_map(|(_, runs)| runs)
            .filter(|observed| observed.sample.is_some())
            .map(|observed| (observed.worker.clone(), observed.task.clone()))
            .collect();
        paces.recenter(now.at);
        self.paces = paces;
        for (id, task) in sampled {
            let worker = self.workers.get_mut(&id);
            if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&task)) {
                run.pace_sampled = Some((run.reported_at, run.percent));
            }
        }
    }

    /// Returns a run's observed pace, corrected for the distance to its data.
    fn rack_local_progress<'a>(
        &self,
        key: &GroupKey,
        observed: &ObservedRun<'a>,
        now: Now,
    ) -> Option<RunProgress<'a>> {
        let (typical, slowdown) = self.typical_at(key, observed.worker, now)?;
        let total = observed
            .run
            .projected_total(self.policy.run_pace.min_judged_work);
        Some(RunProgress {
            worker: observed.worker,
            projected_total: total.map(|total| total / slowdown.max(1)),
            sample: observed
                .sample
                .map(|sample| sample.without_remote_slowdown(slowdown)),
            expected: typical,
        })
    }
}

impl Run {
    /// Returns whether the run's duration says something about its worker's pace.
    ///
    /// A long-running step has no duration, and runs that serve users or use spare CPU are
    /// disturbed by other work.
    const fn is_pace_representative(&self) -> bool {
        let is_plain = !self.long_running && !self.has_latency_target && !self.uses_spare_cpu;
        is_plain && !self.restored && self.began.is_some()
    }

    /// Returns whether the run's progress says something about its worker's pace. The progress of a
    /// gang is that of its slowest member.
    fn has_representative_progress(&self) -> bool {
        let is_running = self.state == RunState::Running;
        let has_progressed = self.began.is_some_and(|(_, from)| self.percent > from);
        is_running && has_progressed && !self.gang && self.is_pace_representative()
    }

    /// Returns the time and the percentage up to which the run's pace has been sampled.
    fn sampled_until(&self) -> Option<(Timestamp, u8)> {
        self.pace_sampled.or(self.began)
    }

    /// Returns the progress since the last sample, if it is enough for a new sample.
    fn new_sample(&self, task: &TaskKey, min_progress_percent: u8) -> Option<ProgressSample> {
        let (at, from) = self.sampled_until()?;
        let gained = self.percent.checked_sub(from)?;
        let is_enough = gained >= min_progress_percent && self.percent <= 100;
        let elapsed = self.reported_at - at;
        is_enough
            .then(|| ProgressSample::new(self.sample_id(task), gained, elapsed))
            .flatten()
    }

    /// Returns the progress from the last sample to the run's end.
    fn final_sample(&self, task: &TaskKey, at: Timestamp) -> Option<ProgressSample> {
        let (since, from) = self.sampled_until()?;
        let left = 100_u8
            .checked_sub(from)
            .filter(|left| *left >= MIN_PROJECTION_PERCENT)?;
        ProgressSample::new(self.sample_id(task), left, at - since)
    }

    /// Returns how long the whole work takes at the pace observed so far, if the run has worked
    /// long enough to tell.
    fn projected_total(&self, min_judged_work: Duration) -> Option<Duration> {
        let (at, from) = self.began?;
        let gained = self.percent.checked_sub(from)?;
        let worked = self.reported_at - at;
        let is_enough =
            gained >= MIN_PROJECTION_PERCENT && self.percent <= 100 && worked >= min_judged_work;
        is_enough.then(|| Duration::from_millis(millis(worked) * 100 / u64::from(gained)))
    }

    /// Returns how long the whole work takes by what was observed until the run's end, or `None` if
    /// too little was observed: a run of an earlier planner, and one that continues from a
    /// checkpoint, may have done nearly all of it before it was first listed.
    pub(super) fn whole_duration(&self, ended_at: Timestamp) -> Option<Duration> {
        let (began, from) = self.began?;
        let done = 100_u8
            .checked_sub(from)
            .filter(|done| *done >= MIN_PROJECTION_PERCENT)?;
        let is_observed = !self.restored && !self.resumes;
        is_observed.then(|| Duration::from_millis(millis(ended_at - began) * 100 / u64::from(done)))
    }

    /// Returns a hash that identifies the run.
    fn sample_id(&self, task: &TaskKey) -> u64 {
        let name = task.group.job.as_str().as_bytes();
        let salt = u64::from(task.group.step) << 40 ^ u64::from(task.index) << 8;
        xxhash_rust::xxh3::xxh3_64_with_seed(name, salt ^ u64::from(self.number))
    }
}
