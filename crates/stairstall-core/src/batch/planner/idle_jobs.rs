//! Jobs that have nothing running although a step of them may start.

use std::time::Duration;

use super::candidate::Candidate;
use super::candidate_worker::SearchScope;
use super::idle_time::IdleTime;
use super::job::{Job, TaskGroup};
use super::pass::{CapacityKind, Pass};
use super::pool::RunState;
use super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, GroupKey, Progress, Resources};
use crate::time::millis;
use crate::{JobId, ServiceId, Timestamp};

mod overdue;

/// How long a job has nothing running although a step fits before it is reported. Well above the
/// time that a start takes.
const IDLE_REPORTED_AFTER: Duration = Duration::from_secs(1);

/// How often capacity is searched for a job that has had nothing running for too long, at most. The
/// search goes through the fleet, and hundreds of jobs may wait behind a reservation.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// How long a step does not fit before that ends the time for which it has fitted. The planner also
/// counts places that are only planned and run ends that it has not heard of, so that it sees moments
/// without capacity that the workers do not have.
const MOMENT: Duration = Duration::from_millis(100);

/// Number of idle jobs that a pass searches capacity for ahead of other work. Each search goes
/// through the fleet for a single task or gang.
const MAX_IDLE_SEARCHES: usize = 8;

/// How many times over a step has to fit so that its job counts as idle beside capacity. What fits
/// only once may be meant for other work.
const FITS_TIMES: u32 = 2;

impl Planner {
    /// Records since when the jobs of these candidates have had nothing running, and since when
    /// their long-running tasks wait.
    pub(super) fn track_idle_jobs(&mut self, candidates: &[Candidate], now: Now) {
        for candidate in candidates {
            self.track_idle_tasks(&candidate.key, now);
            let id = &candidate.key.job;
            let activity = self.activity(id);
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            match activity {
                Activity::Runs => job.idle_time = IdleTime::default(),
                Activity::Idle => job.idle_time.begin(now.at),
                Activity::Unknown => {}
            }
        }
    }

    /// Records since when the waiting tasks of a long-running step wait. Each of them has to run,
    /// whether or not others of its job do.
    fn track_idle_tasks(&mut self, key: &GroupKey, now: Now) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if !job.step(key).is_some_and(|step| step.long_running) {
            return;
        }
        let tasks = job.group_mut(key).into_iter().flat_map(|g| &mut g.tasks);
        for task in tasks.filter(|task| task.is_waiting()) {
            task.idle_since.get_or_insert(now.at);
        }
    }

    /// Records that a run of a job starts.
    pub(super) fn end_idle_time(&mut self, id: &JobId, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let ended = std::mem::take(&mut job.idle_time);
        if ended.is_reported {
            let idle_ms = millis(ended.duration(now.at));
            let why = format!("it starts after {idle_ms} ms with nothing running");
            let decision = Decision::of_job(DecisionKind::Idle, id, why);
            self.decisions.push(decision);
        }
    }

    /// Returns for how long a job has had nothing running although a step may start.
    pub(super) fn idle_time(&self, id: &JobId, now: Now) -> Duration {
        let job = self.jobs.get(id);
        job.map_or(Duration::ZERO, |job| job.idle_time.duration(now.at))
    }

    /// Reports once which jobs have had nothing running for a while although a step fits.
    pub(super) fn report_idle_jobs(&mut self, candidates: &[Candidate], now: Now) {
        let mut pass = Pass::default();
        for candidate in candidates {
            let id = &candidate.key.job;
            let is_reported = self
                .jobs
                .get(id)
                .is_none_or(|job| job.idle_time.is_reported);
            let is_due = self.idle_time(id, now) >= IDLE_REPORTED_AFTER;
            if is_reported || !is_due || !self.fits_with_unverified(&candidate.key, &mut pass) {
                continue;
            }
            let reason = self
                .wait_status(id, now)
                .map_or_else(|| "nothing".to_owned(), |status| status.reason.to_string());
            let why = format!(
                "nothing of it runs for {} ms, step {} fits {FITS_TIMES} times over, waits for {reason}",
                millis(self.idle_time(id, now)),
                candidate.key.step,
            );
            self.decisions
                .push(Decision::of_job(DecisionKind::Idle, id, why));
            if let Some(job) = self.jobs.get_mut(id) {
                job.idle_time.is_reported = true;
            }
        }
    }

    /// Returns how many jobs are reported as idle and have not started since.
    #[must_use]
    pub fn idle_jobs(&self) -> usize {
        let open = self.jobs.values().filter(|job| job.outcome.is_none());
        open.filter(|job| job.idle_time.is_reported).count()
    }

    /// Returns which free capacity to search, in this order, because a step has been idle for too
    /// long; none if it has not.
    ///
    /// What the planner prefers (workers near the data, headroom, workers that have done such work)
    /// makes this job faster, or others. It may delay no job that could run for longer than this,
    /// however full the service is. Neither may a reservation, once the step has fitted for that
    /// long if most of the service is in use. What is reserved is used only where nothing else is
    /// free.
    pub(super) fn idle_scopes(
        &mut self,
        candidate: &Candidate,
        pass: &mut Pass,
        now: Now,
    ) -> Vec<SearchScope> {
        let key = &candidate.key;
        self.track_fit(key, pass, now);
        let policy = &self.policy.placement;
        let idle_time = self.step_idle_time(key, now);
        if idle_time < policy.shortest_max_idle() {
            return Vec::new();
        }
        let is_mostly_free = self.is_mostly_free(key, pass);
        let policy = &self.policy.placement;
        let limit = if is_mostly_free {
            policy.max_idle
        } else {
            policy.max_idle_when_busy
        };
        let searched_at = self.group_of(key).and_then(|group| group.idle_search_at);
        let may_search = searched_at.is_none_or(|at| now.at - at >= SEARCH_INTERVAL);
        if idle_time < limit || !may_search || !self.fits_beside_others(key, pass) {
            return Vec::new();
        }
        let mut scopes = vec![SearchScope::UNRESERVED];
        let has_fitted = is_mostly_free || self.idle_beside_capacity(key, now) >= limit;
        if !self.reservations.is_empty() && has_fitted {
            scopes.push(SearchScope::WHATEVER_IS_FREE);
        }
        scopes
    }

    /// Starts a task, or a gang, of each job that has had nothing running for too long, the longest
    /// idle first.
    ///
    /// Where starts are what is short, newer jobs and other tasks of running ones would otherwise
    /// take all of them.
    pub(super) fn place_idle_jobs(&mut self, candidates: &[Candidate], pass: &mut Pass, now: Now) {
        let policy = &self.policy.placement;
        let limit = policy.shortest_max_idle();
        let mut idle: Vec<(Duration, &Candidate)> = candidates
            .iter()
            .map(|candidate| (self.step_idle_time(&candidate.key, now), candidate))
            .filter(|(idle_time, _)| *idle_time >= limit)
            .collect();
        idle.sort_by_key(|(idle_time, _)| std::cmp::Reverse(*idle_time));
        let mut searches = 0;
        for (_, candidate) in idle {
            if searches == MAX_IDLE_SEARCHES || self.is_start_window_used_up(candidate, pass) {
                return;
            }
            let scopes = self.idle_scopes(candidate, pass, now);
            if !scopes.is_empty() {
                searches += 1;
                self.place_step_within(candidate, Some(scopes), pass, now);
            }
        }
    }

    /// Records whether a step fits beside others at the moment. That matters for reservations alone.
    fn track_fit(&mut self, key: &GroupKey, pass: &mut Pass, now: Now) {
        let fits = self.reservations.is_empty() || self.fits_beside_others(key, pass);
        let job = self.jobs.get_mut(&key.job);
        if let Some(group) = job.and_then(|job| job.group_mut(key)) {
            group.record_fit(fits, now.at);
        }
    }

    /// Returns for how long a step has been idle: its job has had nothing running, or one of its
    /// tasks has waited, if the step is long-running.
    pub(super) fn step_idle_time(&self, key: &GroupKey, now: Now) -> Duration {
        let tasks = self
            .group_of(key)
            .into_iter()
            .flat_map(|group| &group.tasks);
        let waiting = tasks.filter(|task| task.is_waiting());
        let longest = waiting.filter_map(|task| task.idle_since).min();
        let longest = longest.map_or(Duration::ZERO, |since| now.at - since);
        longest.max(self.idle_time(&key.job, now))
    }

    /// Returns how many waiting tasks of a long-running step have waited for longer than a job may be
    /// idle.
    pub(super) fn overdue_tasks(&self, key: &GroupKey, waiting: &[u32], now: Now) -> usize {
        let policy = &self.policy.placement;
        let limit = policy.shortest_max_idle();
        let Some(group) = self.group_of(key) else {
            return 0;
        };
        let idle_since = waiting
            .iter()
            .filter_map(|index| group.tasks[*index as usize].idle_since);
        let overdue = idle_since.filter(|since| now.at - *since >= limit).count();
        // How long a job has been idle outlasts a change of the planner; how long a task has does not.
        overdue.max(usize::from(self.idle_time(&key.job, now) >= limit))
    }

    /// Returns for how long a step has been idle although it fits beside others, apart from moments.
    pub(super) fn idle_beside_capacity(&self, key: &GroupKey, now: Now) -> Duration {
        let idle_time = self.step_idle_time(key, now);
        let did_not_fit_at = self.group_of(key).and_then(|group| group.did_not_fit_at);
        did_not_fit_at.map_or(idle_time, |at| idle_time.min(now.at - at))
    }

    /// Records that capacity is searched for a step that has been idle for too long.
    pub(super) fn record_idle_search(&mut self, key: &GroupKey, now: Now) {
        let job = self.jobs.get_mut(&key.job);
        if let Some(group) = job.and_then(|job| job.group_mut(key)) {
            group.idle_search_at = Some(now.at);
        }
    }

    /// Returns whether under half of a step's service is in use, by its accelerators or, where it has
    /// none, by its processors.
    fn is_mostly_free(&self, key: &GroupKey, pass: &mut Pass) -> bool {
        let Some(service) = self.service_of(key) else {
            return false;
        };
        *pass
            .mostly_free
            .entry(service)
            .or_insert_with_key(|service| self.is_service_mostly_free(service))
    }

    fn is_service_mostly_free(&self, service: &ServiceId) -> bool {
        let workers = self.workers.values().filter(|w| w.is_listed);
        let workers = workers.filter(|w| w.listed.service == *service);
        let (mut free, mut capacity) = (Resources::default(), Resources::default());
        for worker in workers {
            free = free.saturating_add(&worker.free_now());
            capacity = capacity.saturating_add(&worker.listed.capacity);
        }
        let (free, capacity) = if capacity.accelerators > 0 {
            (free.accelerators, capacity.accelerators)
        } else {
            (free.cpu_millis, capacity.cpu_millis)
        };
        free > capacity / 2
    }

    /// Returns whether one task of a step, or its whole gang, fits on the free capacity of the fleet
    /// and leaves capacity for as much again.
    pub(super) fn fits_beside_others(&self, key: &GroupKey, pass: &mut Pass) -> bool {
        self.fits_twice(key, CapacityKind::Free, pass)
    }

    /// Returns the same where unverified workers count too, as they do for whoever looks at the fleet.
    pub(super) fn fits_with_unverified(&self, key: &GroupKey, pass: &mut Pass) -> bool {
        self.fits_twice(key, CapacityKind::FreeWithUnverified, pass)
    }

    fn fits_twice(&self, key: &GroupKey, kind: CapacityKind, pass: &mut Pass) -> bool {
        let Some(step) = self.step(key) else {
            return false;
        };
        let scope = SearchScope::ANYWHERE;
        let tasks = if step.gang { step.count } else { 1 };
        let ceiling = self.ceiling(key, step, scope.near, kind, pass);
        ceiling.total >= tasks.saturating_mul(FITS_TIMES)
    }

    /// Returns whether a job has runs beyond planned ones.
    fn activity(&self, id: &JobId) -> Activity {
        let runs = self.run_index.iter_job(id);
        let mut is_known = true;
        for run in runs.filter_map(|(worker, task)| self.run_at(&worker, &task)) {
            if run.restored {
                is_known = false;
            } else if run.state != RunState::Planned {
                return Activity::Runs;
            }
        }
        if is_known {
            Activity::Idle
        } else {
            Activity::Unknown
        }
    }
}

/// Whether anything of a job runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Activity {
    Runs,
    Idle,
    /// An earlier planner has placed runs, and their workers have not said yet whether these have
    /// started.
    Unknown,
}

impl TaskGroup {
    /// Records whether the step fits on the free capacity beside others.
    fn record_fit(&mut self, fits: bool, at: Timestamp) {
        let since = *self.unfit_since.get_or_insert(at);
        if at - since >= MOMENT {
            self.did_not_fit_at = Some(at);
        }
        if fits {
            self.unfit_since = None;
        }
    }
}

impl Job {
    /// Returns since when nothing of the job has been started, or `None` while something is and once
    /// the job has ended.
    pub(super) fn idle_since_unix_ms(&self, now: Now) -> Option<u64> {
        let mut tasks = self.occurrences.iter().flatten().flat_map(|g| &g.tasks);
        let is_idle = self.idle_time.is_running() || tasks.all(|task| task.worker.is_none());
        let idle_ms = millis(self.idle_time.duration(now.at));
        let is_idle = is_idle && self.outcome.is_none();
        is_idle.then(|| now.unix_ms.saturating_sub(idle_ms))
    }

    /// Restores for how long nothing of the job had run before this planner learned of it: since its
    /// acceptance, or as an earlier planner has stored it. Without that, a job that is announced late
    /// and each change of planner would let it wait as long again.
    pub(super) fn restore_idle_time(&mut self, progress: Option<&Progress>, now: Now) {
        let since_unix_ms = match progress {
            None => self.eligible_unix_ms(0),
            Some(progress) => match progress.idle_since_unix_ms {
                Some(since) => since,
                // Something was started, or an older daemon has written this.
                None => return,
            },
        };
        // Between two of its times a job is not idle.
        let is_done = |groups: &Vec<TaskGroup>| groups.iter().all(TaskGroup::is_done);
        let done = self.occurrences.iter().take_while(|groups| is_done(groups));
        let next = u32::try_from(done.count()).unwrap_or(u32::MAX);
        let since_unix_ms = since_unix_ms
            .max(self.eligible_unix_ms(next))
            .max(self.accepted.accepted_unix_ms);
        let idle_ms = now.unix_ms.checked_sub(since_unix_ms);
        self.idle_time = idle_ms.map_or_else(IdleTime::default, |idle_ms| {
            IdleTime::restored(Duration::from_millis(idle_ms), now.at)
        });
    }
}
