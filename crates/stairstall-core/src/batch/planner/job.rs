use std::sync::Arc;
use std::time::Duration;

use crate::batch::timeline::{JobPhase, JobTimeline};
use crate::batch::{
    AcceptedJob, BatchSpec, GroupKey, Incarnation, Outcome, RunPlacement, StepSpec, TaskKey,
    TaskLosses,
};
use crate::{JobId, Timestamp, WorkerId};

use super::Now;
use super::advice::Advice;
use super::idle_time::IdleTime;

/// State of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Task {
    /// Whether a run of it has finished successfully.
    pub(super) done: bool,
    /// The worker of its current run. `None` if it has no run.
    pub(super) worker: Option<WorkerId>,
    /// Number of its current run.
    pub(super) run: u32,
    /// Incarnation of that worker when the run was placed there.
    pub(super) incarnation: Option<Incarnation>,
    /// Whether the worker has confirmed the start of the run.
    pub(super) start_confirmed: bool,
    /// Until when the start of the run may be carried out although it got no answer, in
    /// milliseconds since the Unix epoch.
    pub(super) late_start_until_unix_ms: Option<u64>,
    /// When the last start order for it was sent, by this planner.
    pub(super) started_at: Option<Timestamp>,
    /// Since when it waits for a start, if its step is long-running.
    pub(super) idle_since: Option<Timestamp>,
    /// Number of failed runs.
    pub(super) failures: u32,
    /// Its latest checkpoint.
    pub(super) checkpoint: Option<String>,
    /// Last run whose failure was counted.
    pub(super) last_failed_run: u32,
    /// Last run that ended because another member of its gang had ended.
    pub(super) last_broken_run: u32,
    /// Worker of its last failed run.
    pub(super) failed_on: Option<WorkerId>,
    /// How often it was moved because it stalled or was a straggler. For a gang, only the first
    /// task counts.
    pub(super) moves: u8,
    /// The run that was moved last.
    pub(super) moved_run: u32,
    /// Workers that were lost while running it.
    pub(super) losses: TaskLosses,
}

impl Task {
    /// Returns the placement of the current run in its stored form.
    pub(super) fn stored_placement(&self) -> Option<RunPlacement> {
        Some(RunPlacement {
            worker: self.worker.clone()?,
            run: self.run,
            incarnation: self.incarnation,
            start_confirmed: self.start_confirmed,
        })
    }

    pub(super) const fn is_waiting(&self) -> bool {
        !self.done && self.worker.is_none()
    }
}

/// The tasks of one step in one occurrence of a job.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskGroup {
    pub(super) tasks: Vec<Task>,
    /// Highest run number used so far.
    pub(super) last_run: u32,
    /// Number of failed runs of the gang.
    pub(super) gang_failures: u32,
    /// Last run of the gang whose failure was counted.
    pub(super) last_failed_gang_run: u32,
    /// When it became ready to start.
    pub(super) ready_since: Option<Timestamp>,
    /// When its reserved workers were first kept also from jobs that had nothing running for too
    /// long.
    pub(super) bound_since: Option<Timestamp>,
    /// Since when it has not fitted on the free capacity beside others, if it does not.
    pub(super) unfit_since: Option<Timestamp>,
    /// When it last had not fitted for longer than a moment.
    pub(super) did_not_fit_at: Option<Timestamp>,
    /// When capacity was last searched for it because its job was idle for too long.
    pub(super) idle_search_at: Option<Timestamp>,
    /// Highest progress that a run has reported, in percent.
    pub(super) percent: u8,
    /// The adviser's answers, if the queue requires tickets.
    pub(super) advice: Advice,
    /// Whether a run failed so early that its worker is the likely cause.
    pub(super) failed_early: bool,
    /// How often its runs were preempted.
    pub(super) preemptions: u8,
    /// When they were last preempted.
    pub(super) preempted_at: Option<Timestamp>,
    /// Full durations of finished tasks, as if they ran near their data, in milliseconds.
    pub(super) durations_ms: Vec<u64>,
}

impl TaskGroup {
    fn new(step: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            ..Self::default()
        }
    }

    pub(super) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Returns the indices of the tasks that wait for placement.
    pub(super) fn waiting(&self) -> Vec<u32> {
        (0..)
            .zip(&self.tasks)
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, _)| index)
            .collect()
    }

    /// Counts the failure of a run once. Returns the number of failures, or `None` if this one was
    /// counted before.
    pub(super) fn count_failure(
        &mut self,
        worker: &WorkerId,
        index: u32,
        run: u32,
        is_gang: bool,
    ) -> Option<u32> {
        let task = self.tasks.get_mut(index as usize)?;
        if is_gang {
            if self.last_failed_gang_run >= run {
                return None;
            }
            task.failed_on = Some(worker.clone());
            self.last_failed_gang_run = run;
            self.gang_failures = self.gang_failures.saturating_add(1);
            return Some(self.gang_failures);
        }
        if task.done || task.last_failed_run >= run {
            return None;
        }
        task.last_failed_run = run;
        task.failed_on = Some(worker.clone());
        task.failures = task.failures.saturating_add(1);
        Some(task.failures)
    }

    /// Returns the highest number of failures among the unfinished tasks and of the gang.
    pub(super) fn max_failures(&self) -> u32 {
        let tasks = self.tasks.iter().filter(|t| !t.done).map(|t| t.failures);
        tasks.max().unwrap_or(0).max(self.gang_failures)
    }
}

/// Progress of trimming the stored record of an ended job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum TrimState {
    /// To be trimmed once the end of the job is stored.
    #[default]
    Due,
    /// The trimmed record is being stored.
    InProgress,
}

/// A job as the planner keeps it in memory.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) accepted: Arc<AcceptedJob>,
    /// Largest number of accelerators that one occurrence of an urgent job may use at a time.
    pub(super) max_accelerators: u32,
    /// Task groups by occurrence, then by step. Later occurrences are added when they become
    /// eligible.
    pub(super) occurrences: Vec<Vec<TaskGroup>>,
    pub(super) outcome: Option<Outcome>,
    pub(super) ended_at: Option<Timestamp>,
    pub(super) ended_unix_ms: u64,
    /// Whether any run of it is known to have started.
    pub(super) has_started: bool,
    /// When this planner first received the job.
    pub(super) arrived_at: Timestamp,
    /// For how long nothing of it has run although a step may start.
    pub(super) idle_time: IdleTime,
    /// Number of changes that must be stored.
    pub(super) change_count: u64,
    /// Number of those changes that are stored.
    pub(super) stored_changes: u64,
    /// Progress of trimming the stored record.
    pub(super) trim_state: TrimState,
    /// Where the job's time went.
    pub(super) timeline: JobTimeline,
}

impl Job {
    pub(super) fn new(accepted: Arc<AcceptedJob>, now: Now) -> Self {
        let is_urgent = accepted.queue.priority == 0;
        let spec = Some(&accepted.spec).filter(|_| is_urgent);
        let mut job = Self {
            max_accelerators: spec.map_or(0, BatchSpec::max_concurrent_accelerators),
            accepted,
            occurrences: Vec::new(),
            outcome: None,
            ended_at: None,
            ended_unix_ms: 0,
            has_started: false,
            arrived_at: now.at,
            idle_time: IdleTime::default(),
            change_count: 0,
            stored_changes: 0,
            trim_state: TrimState::default(),
            timeline: JobTimeline::default(),
        };
        let known_after = now.unix_ms.saturating_sub(job.accepted.accepted_unix_ms);
        job.timeline
            .add_time(JobPhase::Accepted, Duration::from_millis(known_after));
        job.add_eligible_occurrences(now);
        job
    }

    /// Returns when the next occurrence becomes eligible, in milliseconds since the Unix epoch.
    pub(super) fn next_eligible_unix_ms(&self) -> Option<u64> {
        if self.outcome.is_some()
            || self.occurrences.len() >= self.accepted.spec.occurrences() as usize
        {
            return None;
        }
        let next = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
        self.accepted
            .spec
            .schedule
            .map(|s| s.eligible_unix_ms(next))
    }

    /// Adds the occurrences that are eligible now. Returns whether there were any.
    pub(super) fn add_eligible_occurrences(&mut self, now: Now) -> bool {
        let before = self.occurrences.len();
        while self.occurrences.len() < self.accepted.spec.occurrences() as usize {
            let is_eligible = self
                .next_eligible_unix_ms()
                .is_none_or(|eligible| eligible <= now.unix_ms);
            if !is_eligible || self.outcome.is_some() {
                break;
            }
            self.add_occurrence();
        }
        self.occurrences.len() > before
    }

    /// Adds the next occurrence, with all its tasks waiting.
    pub(super) fn add_occurrence(&mut self) {
        let steps = &self.accepted.spec.steps;
        let groups = steps.iter().map(TaskGroup::new);
        self.occurrences.push(groups.collect());
    }

    pub(super) fn group(&self, key: &GroupKey) -> Option<&TaskGroup> {
        self.occurrences
            .get(key.occurrence as usize)?
            .get(key.step as usize)
    }

    pub(super) fn group_mut(&mut self, key: &GroupKey) -> Option<&mut TaskGroup> {
        self.occurrences
            .get_mut(key.occurrence as usize)?
            .get_mut(key.step as usize)
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        let group = self.group_mut(&key.group)?;
        group.tasks.get_mut(key.index as usize)
    }

    pub(super) fn step(&self, key: &GroupKey) -> Option<&StepSpec> {
        self.accepted.spec.steps.get(key.step as usize)
    }

    /// Returns whether every step that `step` depends on is done in this occurrence.
    pub(super) fn is_ready(&self, occurrence: u32, step: usize) -> bool {
        let groups = &self.occurrences[occurrence as usize];
        self.accepted.spec.steps[step]
            .depends_on
            .iter()
            .all(|on| groups[*on as usize].is_done())
    }

    /// Returns the steps whose dependencies are done, over all eligible occurrences.
    pub(super) fn ready_keys(&self, id: &JobId) -> impl Iterator<Item = GroupKey> {
        let keys = self.groups(id).map(|(key, _)| key);
        keys.filter(|key| self.is_ready(key.occurrence, key.step as usize))
    }

    /// Returns all steps of all occurrences, with their keys.
    pub(super) fn groups(&self, id: &JobId) -> impl Iterator<Item = (GroupKey, &TaskGroup)> {
        let occurrences = (0..).zip(&self.occurrences);
        occurrences.flat_map(move |(occurrence, groups)| {
            (0..).zip(groups).map(move |(step, group)| {
                let key = GroupKey {
                    job: id.clone(),
                    occurrence,
                    step,
                };
                (key, group)
            })
        })
    }

    /// Returns whether every task of every occurrence is done.
    pub(super) fn is_complete(&self) -> bool {
        self.occurrences.len() >= self.accepted.spec.occurrences() as usize
            && self.occurrences.iter().flatten().all(TaskGroup::is_done)
    }

    /// Returns whether all changes of the job are stored.
    pub(super) const fn is_stored(&self) -> bool {
        self.stored_changes >= self.change_count
    }

    /// Counts a change that must be stored and returns its number.
    pub(super) const fn record_change(&mut self) -> u64 {
        self.change_count += 1;
        self.change_count
    }

    pub(super) const fn end(&mut self, outcome: Outcome, now: Now) {
        self.outcome = Some(outcome);
        self.ended_at = Some(now.at);
        self.ended_unix_ms = now.unix_ms;
        self.record_change();
    }

    /// Returns when an occurrence becomes eligible, in milliseconds since the Unix epoch.
    pub(super) fn eligible_unix_ms(&self, occurrence: u32) -> u64 {
        let schedule = self.accepted.spec.schedule;
        schedule.map_or(self.accepted.accepted_unix_ms, |schedule| {
            schedule.eligible_unix_ms(occurrence)
        })
    }

    /// Returns the objective of an occurrence: when its result should be there, in milliseconds
    /// since the Unix epoch.
    pub(super) fn objective_unix_ms(&self, occurrence: u32) -> u64 {
        let span_ms = self.objective_span_ms(self.accepted.spec.critical_path_ms());
        self.eligible_unix_ms(occurrence).saturating_add(span_ms)
    }

    /// Returns the time from eligibility to the objective, in milliseconds, for a job with this
    /// critical path.
    pub(super) fn objective_span_ms(&self, critical_path_ms: u64) -> u64 {
        crate::time::millis(self.accepted.objective_span_for(critical_path_ms))
    }
}
