//! What keeps a job from starting that has had nothing running for longer than its bound.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use super::super::candidate::Candidate;
use super::super::candidate_worker::SearchScope;
use super::super::pass::{CapacityKind, Pass, ReservedWorkers};
use super::super::{Now, Planner};
use crate::batch::{Decision, DecisionKind, GroupKey};
use crate::time::millis;
use crate::{JobId, Timestamp};

/// How long a job may be idle beyond its bound before it is reported. A pass and the write of its
/// placement come before its start.
const OVERDUE_AFTER: Duration = Duration::from_millis(200);
/// How often an overdue job is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of overdue jobs that a pass reports. Each report goes through the fleet.
const MAX_REPORTS: usize = 8;

/// Everything that may keep a step of an overdue job from starting.
#[derive(Debug)]
struct Hindrances {
    step: u32,
    idle: Duration,
    /// How many of its tasks fit on the free capacity of the fleet.
    fits: u32,
    did_not_fit: Option<Duration>,
    searched: Option<Duration>,
    starts_in_flight: usize,
    start_window: usize,
    workers: FreeWorkers,
}

/// The workers on which a task of the step fits.
#[derive(Debug, Default)]
struct FreeWorkers {
    all: usize,
    /// Those beside these that may not list their run ends.
    unverified: usize,
    reserved: usize,
    /// Those that are kept from the job although it is overdue.
    bound: usize,
    reserving_gangs: usize,
}

impl Planner {
    /// Reports which jobs have been idle for too long, and what keeps each from starting.
    pub(in crate::batch::planner) fn report_overdue_jobs(
        &mut self,
        candidates: &[Candidate],
        reserved: &ReservedWorkers,
        now: Now,
    ) {
        let policy = &self.policy.placement;
        let limit = policy.max_idle.max(policy.max_idle_when_busy) + OVERDUE_AFTER;
        let mut pass = Pass::default();
        let mut reports = 0;
        for candidate in candidates {
            if reports == MAX_REPORTS {
                return;
            }
            let id = &candidate.key.job;
            let is_due = self.jobs.get(id).is_some_and(|job| {
                let idle = &job.idle_time;
                let is_recent = |at: Timestamp| now.at - at < REPORT_INTERVAL;
                idle.duration(now.at) >= limit && !idle.overdue_reported_at.is_some_and(is_recent)
            });
            if !is_due || !self.fits_with_unverified(&candidate.key, &mut pass) {
                continue;
            }
            let hindrances = self.hindrances(candidate, reserved, &mut pass, now);
            self.report_overdue(id, &hindrances, now);
            reports += 1;
        }
    }

    fn report_overdue(&mut self, id: &JobId, hindrances: &Hindrances, now: Now) {
        let why = hindrances.to_string();
        self.decisions
            .push(Decision::of_job(DecisionKind::Idle, id, why));
        if let Some(job) = self.jobs.get_mut(id) {
            job.idle_time.overdue_reported_at = Some(now.at);
        }
    }

    fn hindrances(
        &self,
        candidate: &Candidate,
        reserved: &ReservedWorkers,
        pass: &mut Pass,
        now: Now,
    ) -> Hindrances {
        let key = &candidate.key;
        let group = self.group_of(key);
        let since = |at: Option<Timestamp>| at.map(|at| now.at - at);
        let (starts_in_flight, start_window) = self.start_window_state(pass);
        Hindrances {
            step: key.step,
            idle: self.idle_time(&key.job, now),
            fits: self.free_copies(key, pass),
            did_not_fit: since(group.and_then(|group| group.did_not_fit_at)),
            searched: since(group.and_then(|group| group.idle_search_at)),
            starts_in_flight,
            start_window,
            workers: self.free_workers(candidate, reserved, now),
        }
    }

    fn free_copies(&self, key: &GroupKey, pass: &mut Pass) -> u32 {
        let step = self.step(key);
        step.map_or(0, |step| {
            let near = SearchScope::ANYWHERE.near;
            self.ceiling(key, step, near, CapacityKind::Free, pass)
                .total
        })
    }

    fn free_workers(
        &self,
        candidate: &Candidate,
        reserved: &ReservedWorkers,
        now: Now,
    ) -> FreeWorkers {
        let mut found = FreeWorkers::default();
        let key = &candidate.key;
        let (Some(step), Some(service)) = (self.step(key), self.service_of(key)) else {
            return found;
        };
        let needs = step.reserved_resources();
        let mut gangs = BTreeSet::new();
        let fitting = self.workers.iter().filter(|(_, worker)| {
            worker.accepts_starts()
                && worker.has_required_label(step)
                && worker.listed.service == service
                && needs.fits_in(&worker.free())
        });
        for (id, worker) in fitting {
            if !worker.takes_tasks() {
                found.unverified += 1;
                continue;
            }
            found.all += 1;
            if let Some(reserving) = reserved.workers.get(id) {
                found.reserved += 1;
                gangs.insert(&reserving.gang);
            }
            let scope = SearchScope::WHATEVER_IS_FREE;
            found.bound +=
                usize::from(!self.may_use_worker(candidate, step, scope, id, reserved, now));
        }
        found.reserving_gangs = gangs.len();
        found
    }
}

impl fmt::Display for Hindrances {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ago = |since: Option<Duration>| {
            since.map_or_else(
                || "never".to_owned(),
                |since| format!("{} ms ago", millis(since)),
            )
        };
        write!(
            f,
            "overdue: nothing of it runs for {} ms, step {} fits {} times, did not fit: {}, searched: {}, \
             {} of {} starts in flight, fits on {} workers, {} of them reserved by {} gangs, {} bound, \
             and on {} unverified ones",
            millis(self.idle),
            self.step,
            self.fits,
            ago(self.did_not_fit),
            ago(self.searched),
            self.starts_in_flight,
            self.start_window,
            self.workers.all,
            self.workers.reserved,
            self.workers.reserving_gangs,
            self.workers.bound,
            self.workers.unverified,
        )
    }
}
