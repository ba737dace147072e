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
use crate::{JobId, ServiceId};

/// How long a job has nothing running although a step fits before it is reported. Well above the
/// time that a start takes.
const IDLE_REPORTED_AFTER: Duration = Duration::from_secs(1);

/// How many times over a step has to fit so that its job counts as idle beside capacity. What fits
/// only once may be meant for other work.
const FITS_TIMES: u32 = 2;

impl Planner {
    /// Records since when the jobs of these candidates have had nothing running.
    pub(super) fn track_idle_jobs(&mut self, candidates: &[Candidate], now: Now) {
        for candidate in candidates {
            let id = &candidate.key.job;
            let runs = self.has_active_run(id);
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if runs {
                job.idle_time = IdleTime::default();
            } else {
                job.idle_time.begin(now.at);
            }
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
            if is_reported || !is_due || !self.fits_beside_others(&candidate.key, &mut pass) {
                continue;
            }
            let reason = self
                .wait_status(id, now)
                .map_or("nothing", |status| status.reason.as_str());
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

    /// Returns which free capacity a step may use because its job has had nothing running for too
    /// long, or `None` if it has not.
    ///
    /// What the planner prefers (workers near the data, headroom, workers that have done such work)
    /// makes this job faster, or others. It may delay no job that could run for longer than this,
    /// however full the service is. Where most of the service is free, neither may a reservation.
    pub(super) fn idle_scope(
        &self,
        candidate: &Candidate,
        pass: &mut Pass,
        now: Now,
    ) -> Option<SearchScope> {
        let policy = &self.policy.placement;
        let idle_time = self.idle_time(&candidate.key.job, now);
        if idle_time < policy.max_idle.min(policy.max_idle_when_busy) {
            return None;
        }
        let (limit, scope) = if self.is_mostly_free(&candidate.key, pass) {
            (policy.max_idle, SearchScope::WHATEVER_IS_FREE)
        } else {
            (policy.max_idle_when_busy, SearchScope::UNRESERVED)
        };
        let job = self.jobs.get(&candidate.key.job)?;
        let is_due = idle_time >= limit && job.idle_time.may_search(now.at);
        (is_due && self.fits_beside_others(&candidate.key, pass)).then_some(scope)
    }

    /// Records that capacity is searched for a job that has had nothing running for too long.
    pub(super) fn record_idle_search(&mut self, id: &JobId, now: Now) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.idle_time.record_search(now.at);
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
        let Some(step) = self.step(key) else {
            return false;
        };
        let scope = SearchScope::ANYWHERE;
        let tasks = if step.gang { step.count } else { 1 };
        let ceiling = self.ceiling(key, step, scope.near, CapacityKind::Free, pass);
        ceiling.total >= tasks.saturating_mul(FITS_TIMES)
    }

    /// Returns whether a job has runs beyond planned ones.
    fn has_active_run(&self, id: &JobId) -> bool {
        let mut runs = self.run_index.iter_job(id);
        runs.any(|(worker, task)| {
            self.run_at(&worker, &task)
                .is_some_and(|run| run.state != RunState::Planned)
        })
    }
}

impl Job {
    /// Returns since when nothing of the job has been placed, or `None` while something is and once
    /// the job has ended.
    pub(super) fn idle_since_unix_ms(&self, now: Now) -> Option<u64> {
        let mut tasks = self.occurrences.iter().flatten().flat_map(|g| &g.tasks);
        let is_idle = self.outcome.is_none() && tasks.all(|task| task.worker.is_none());
        let idle_ms = millis(self.idle_time.duration(now.at));
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
                // Something is placed, or an older daemon has written this.
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
        let idle = Duration::from_millis(now.unix_ms.saturating_sub(since_unix_ms));
        self.idle_time = IdleTime::restored(idle);
    }
}
