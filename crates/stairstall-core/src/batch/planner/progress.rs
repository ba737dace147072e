//! The stored progress of a job, and how a job is restored from it.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::job::{Job, TaskGroup, TrimState};
use super::{Now, Planner};
use crate::JobId;
use crate::batch::timeline::JobTimeline;
use crate::batch::{AcceptedJob, GroupProgress, Progress};

/// Stored mark of a task that is not done and has no failed runs. A digit stands for that number of
/// failed runs.
const OPEN: char = '-';
/// Stored mark of a task that is done.
const DONE: char = 'D';

/// The progress of one job, to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgressWrite {
    /// The job that the progress belongs to.
    pub job: JobId,
    /// Number of the job's latest change that `progress` includes. Pass it to
    /// [`Planner::progress_written`] once the write is stored.
    pub change: u64,
    /// The progress to write.
    pub progress: Progress,
}

impl Planner {
    /// Returns whether any job's progress waits to be written.
    #[must_use]
    pub fn has_writes(&self) -> bool {
        !self.changed_jobs.is_empty()
    }

    /// Removes and returns up to `max` pending progress writes: urgent jobs first, but a share of
    /// them for jobs that several writes have passed over.
    ///
    /// Jobs in `busy` are skipped, because an earlier write of theirs is still in progress. Their
    /// writes stay pending.
    pub fn take_writes(
        &mut self,
        max: usize,
        busy: &BTreeSet<JobId>,
        now: Now,
    ) -> Vec<ProgressWrite> {
        let jobs = &self.jobs;
        let priority_of = |id: &JobId| {
            let job = jobs.get(id);
            job.map_or(u8::MAX, |job| job.accepted.queue.priority)
        };
        let ids = self.changed_jobs.take(max, busy, priority_of);
        ids.into_iter()
            .filter_map(|id| {
                let job = self.jobs.get(&id)?;
                Some(ProgressWrite {
                    change: job.change_count,
                    progress: job.progress(now),
                    job: id,
                })
            })
            .collect()
    }

    /// Handles the completion of a write: the changes of a job up to `change` are stored.
    pub fn progress_written(&mut self, id: &JobId, change: u64) {
        self.changed_jobs.remove_in_progress(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.stored_changes = job.stored_changes.max(change);
            self.starts_due = true;
            self.mark_timeline_changed(id);
        }
    }

    /// Handles a write that may not have been stored: it is to be written again.
    pub fn progress_write_failed(&mut self, id: &JobId) {
        if self.jobs.contains_key(id) {
            self.changed_jobs.record_failed(id);
        } else {
            self.changed_jobs.remove_in_progress(id);
        }
    }

    /// Returns up to `max` jobs whose ends are stored, in the shortened form in which their
    /// records should be stored from now on.
    ///
    /// Call [`Planner::job_trim_failed`] for a job that could not be stored in this form, so that
    /// it is returned again.
    pub fn take_jobs_to_trim(&mut self, max: usize) -> Vec<AcceptedJob> {
        let ended = self.jobs.values_mut().filter(|job| job.may_be_trimmed());
        let trims = ended.take(max).map(|job| {
            job.trim_state = TrimState::InProgress;
            job.accepted.trimmed()
        });
        trims.collect()
    }

    /// Handles a job record that was stored in its shortened form: the details of what the job ran
    /// are also dropped from memory.
    pub fn job_trimmed(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.accepted = Arc::new(job.accepted.trimmed());
            job.occurrences = Vec::new();
        }
    }

    /// Handles a job record that may not have been stored in its shortened form.
    pub fn job_trim_failed(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.trim_state = TrimState::Due;
        }
    }

    /// Adds the occurrences of all jobs that have become eligible.
    pub(super) fn add_eligible_occurrences(&mut self, now: Now) {
        for job in self.jobs.values_mut() {
            if job.add_eligible_occurrences(now) {
                self.replan = true;
            }
        }
    }
}

impl Job {
    fn may_be_trimmed(&self) -> bool {
        let has_ended = self.outcome.is_some() && self.is_stored();
        has_ended && self.trim_state == TrimState::Due && !self.accepted.is_trimmed()
    }

    pub(super) fn progress(&self, now: Now) -> Progress {
        // The progress of its tasks is of no use once the job has ended, and every later planner
        // would have to read it.
        let occurrences = self.occurrences.iter().filter(|_| self.outcome.is_none());
        Progress {
            outcome: self.outcome,
            ended_unix_ms: self.ended_unix_ms,
            begun: self.has_started,
            occurrences: occurrences
                .map(|groups| groups.iter().map(TaskGroup::progress).collect())
                .collect(),
            idle_since_unix_ms: self.idle_since_unix_ms(now),
            timeline: self.outcome.is_none().then(|| self.timeline.to_stored(now)),
        }
    }

    pub(super) fn restore(&mut self, progress: &Progress, now: Now) {
        self.outcome = progress.outcome;
        self.ended_unix_ms = progress.ended_unix_ms;
        self.ended_at = progress.outcome.map(|_| now.at);
        self.has_started = progress.begun;
        if let Some(stored) = &progress.timeline {
            let mut groups = progress.occurrences.iter().flatten();
            let has_placements = groups.any(|group| !group.placements.is_empty());
            self.timeline = JobTimeline::restore(stored, has_placements, now);
        }
        while self.occurrences.len() < progress.occurrences.len() {
            self.add_occurrence();
        }
        for (groups, stored) in self.occurrences.iter_mut().zip(&progress.occurrences) {
            for (group, stored) in groups.iter_mut().zip(stored) {
                group.restore(stored);
            }
        }
    }
}

impl TaskGroup {
    fn progress(&self) -> GroupProgress {
        let tasks = if self.is_done() {
            GroupProgress::ALL_DONE.to_owned()
        } else {
            self.tasks.iter().map(task_mark).collect()
        };
        let open = (0..).zip(&self.tasks).filter(|(_, task)| !task.done);
        GroupProgress {
            tasks,
            many_failures: open
                .clone()
                .filter(|(_, task)| task.failures > MAX_FAILURES_MARK)
                .map(|(index, task)| (index, task.failures))
                .collect(),
            gang_failures: self.gang_failures,
            counted_failure: self.last_failed_gang_run,
            counted_runs: (0..)
                .zip(&self.tasks)
                .filter(|(_, task)| task.last_failed_run > 0)
                .map(|(index, task)| (index, task.last_failed_run))
                .collect(),
            last_run: self.last_run,
            placements: (0..)
                .zip(&self.tasks)
                .filter_map(|(index, task)| Some((index, task.stored_placement()?)))
                .collect(),
            late_starts: open
                .clone()
                .filter(|(_, task)| task.worker.is_some())
                .filter_map(|(index, task)| Some((index, task.late_start_until_unix_ms?)))
                .collect(),
            losses: open
                .clone()
                .filter(|(_, task)| !task.losses.is_empty())
                .map(|(index, task)| (index, task.losses.clone()))
                .collect(),
            checkpoints: open
                .filter_map(|(index, task)| Some((index, task.checkpoint.clone()?)))
                .collect(),
        }
    }

    fn restore(&mut self, stored: &GroupProgress) {
        self.gang_failures = stored.gang_failures;
        self.last_run = self.last_run.max(stored.last_run);
        self.last_failed_gang_run = stored.counted_failure;
        if stored.tasks == GroupProgress::ALL_DONE {
            self.tasks.iter_mut().for_each(|task| task.done = true);
            return;
        }
        for (task, mark) in self.tasks.iter_mut().zip(stored.tasks.chars()) {
            task.done = mark == DONE;
            task.failures = mark.to_digit(10).unwrap_or(0);
        }
        for (index, failures) in &stored.many_failures {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.failures = task.failures.max(*failures);
            }
        }
        for (index, placement) in &stored.placements {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.worker = Some(placement.worker.clone());
                task.run = placement.run;
                task.incarnation = placement.incarnation;
                task.start_confirmed = placement.start_confirmed;
            }
        }
        for (index, until_unix_ms) in &stored.late_starts {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.late_start_until_unix_ms = Some(*until_unix_ms);
            }
        }
        for (index, run) in &stored.counted_runs {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.last_failed_run = *run;
            }
        }
        for (index, losses) in &stored.losses {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.losses = losses.clone();
            }
        }
        for (index, checkpoint) in &stored.checkpoints {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.checkpoint = Some(checkpoint.clone());
            }
        }
    }
}

/// Largest number of failures that a mark can express.
const MAX_FAILURES_MARK: u32 = 9;

/// Returns the mark that stands for a task in the stored progress.
fn task_mark(task: &super::job::Task) -> char {
    match (task.done, task.failures) {
        (true, _) => DONE,
        (_, 0) => OPEN,
        (_, failures) => char::from_digit(failures.min(MAX_FAILURES_MARK), 10).unwrap_or(OPEN),
    }
}
