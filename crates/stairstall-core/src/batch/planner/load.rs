//! The load summary sent to every daemon, and the start forecasts made from it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job::{Job, Task};
use super::pool::{Run, RunState, Worker};
use super::{Now, Planner};
use crate::batch::load::MAX_SUMMARY_ENTRIES;
use crate::batch::{
    AcceptedJob, CustomerBacklog, EstimatedWork, FleetHistory, GroupKey, LoadSummary, QueueRunTime,
    ResourceRequest, ResourceTime, ResourceTotal, RunningWork, StartForecast, StepSpec,
    WaitingWork,
};
use crate::time::millis;
use crate::{CustomerId, JobId, ServiceId, Timestamp};

/// Lower bounds, in milliseconds, of the buckets of remaining time by which runs are grouped.
const END_BUCKETS_MS: [u64; 5] = [0, 500, 2_000, 8_000, 30_000];
/// Period over which urgent work is counted. Longer than the period for which capacity is kept
/// free for urgent work.
const URGENT_WINDOW: Duration = Duration::from_secs(10);
/// Maximum number of jobs whose forecast is remembered until they begin.
const MAX_FORECASTS: usize = 1_000;
/// Maximum age of a summary from which a job's start is forecast.
const FORECAST_FRESH_FOR: Duration = Duration::from_secs(1);

/// State carried from one load summary to the next.
#[derive(Debug, Clone, Default)]
pub(super) struct LoadTracker {
    fleet: FleetHistory,
    last: Option<(Timestamp, LoadSummary)>,
    forecasts: BTreeMap<JobId, StartForecast>,
}

/// Key by which waiting work is grouped: its service, its priority, whether it can use any free
/// capacity that is large enough, whether it is a gang, and the binary logarithm of its size.
type WorkKind = (ServiceId, u8, bool, bool, u32);

/// Waiting work, by kind and by customer.
#[derive(Debug, Default)]
struct Backlog {
    kinds: BTreeMap<WorkKind, WaitingWork>,
    customers: BTreeMap<(u8, CustomerId), ResourceTime>,
}

impl Planner {
    /// Returns a summary of the load. A recent one is reused instead of computing a new one.
    pub fn load_summary(&mut self, now: Now) -> LoadSummary {
        let is_recent = |(at, _): &&(Timestamp, LoadSummary)| {
            now.at - *at < self.policy.admission.summary_interval
        };
        if let Some((_, last)) = self.load.last.as_ref().filter(is_recent) {
            return last.clone();
        }
        let revision = self.load.last.as_ref().map_or(0, |(_, last)| last.revision);
        self.count_fleet(now);
        let backlog = self.backlog(now);
        let summary = LoadSummary {
            token: self.token,
            revision: revision + 1,
            at_unix_ms: now.unix_ms,
            observed_ms: millis(self.observed_for(now)),
            workers: self.load.fleet.kinds(now.at),
            labels: self.load.fleet.labels(),
            running: self.running_work(now),
            waiting: largest(backlog.kinds.into_values(), |work| {
                work.remaining.accelerators
            }),
            customers: customer_backlogs(backlog.customers),
            queues: self.queue_run_times(now),
            urgent_accelerators: self.urgent_accelerators(now),
        };
        self.load.last = Some((now.at, summary.clone()));
        summary
    }

    /// Returns for how long the load of the whole fleet has been known.
    fn observed_for(&mut self, now: Now) -> Duration {
        let Some(since) = self.first_tick_at else {
            return Duration::ZERO;
        };
        if self.has_enough_reports(now) {
            now.at - since
        } else {
            Duration::ZERO
        }
    }

    fn count_fleet(&mut self, now: Now) {
        let fleet = &mut self.load.fleet;
        fleet.begin_count();
        let is_described = |worker: &&Worker| worker.listed.service != ServiceId::unknown();
        for worker in self.workers.values().filter(is_described) {
            let listed = &worker.listed;
            fleet.count_worker(&listed.service, listed.capacity, worker.takes_tasks());
            for label in &listed.labels {
                fleet.record_label(label, now.at);
            }
        }
        fleet.end_count(self.policy.admission.worker_retention, now.at);
    }

    fn running_work(&self, now: Now) -> Vec<RunningWork> {
        let mut totals: BTreeMap<(&ServiceId, u8, Option<u64>), ResourceTotal> = BTreeMap::new();
        for worker in self.workers.values() {
            for run in worker.runs.values() {
                let bucket_ms = (!run.long_running).then(|| end_bucket_ms(remaining_ms(run, now)));
                let resources = totals.entry((&worker.listed.service, run.rank, bucket_ms));
                let resources = resources.or_default();
                *resources = resources.plus(&ResourceTotal::of(&run.resources, 1));
            }
        }
        let totals = totals
            .into_iter()
            .map(|((service, rank, bucket_ms), resources)| RunningWork {
                service: service.clone(),
                rank,
                first_end_ms: bucket_ms,
                resources,
            });
        largest(totals, |work| work.resources.accelerators)
    }

    fn backlog(&self, now: Now) -> Backlog {
        let mut backlog = Backlog::default();
        let open = self.jobs.iter().filter(|(_, job)| job.outcome.is_none());
        for (id, job) in open {
            for key in job.ready_keys(id) {
                self.add_waiting_step(&key, job, &mut backlog, now);
            }
        }
        backlog
    }

    fn add_waiting_step(&self, key: &GroupKey, job: &Job, backlog: &mut Backlog, now: Now) {
        let (Some(step), Some(group)) = (job.step(key), job.group(key)) else {
            return;
        };
        let Some(service) = self.service_of(key) else {
            return;
        };
        let waiting = || group.tasks.iter().filter(|task| task.is_waiting());
        let waiting_count = waiting().count();
        if waiting_count == 0 {
            return;
        }
        let untried = waiting().filter(|task| is_untried(task)).count();
        let untried = if step.gang && untried < group.tasks.len() {
            0
        } else {
            untried
        };
        let constrained = is_constrained(step) || self.ticket_validity(key).is_some();
        let longest_ms = millis(self.run_time(key, step, now).typical);
        for (is_unconstrained, count) in [(!constrained, untried), (false, waiting_count - untried)]
        {
            if count == 0 {
                continue;
            }
            let resources = ResourceTotal::of(
                &step.reserved_resources(),
                u32::try_from(count).unwrap_or(u32::MAX),
            );
            let work = WaitingWork {
                service: service.clone(),
                priority: job.accepted.queue.priority,
                is_unconstrained,
                gang: step.gang,
                needs: step.reserved_resources(),
                gang_size: if step.gang { step.count } else { 1 },
                longest_ms,
                remaining: ResourceTime::of(&resources, longest_ms),
            };
            backlog.add(work, job.accepted.customer.as_ref());
        }
    }

    /// Returns the queues whose run times are known to differ from the callers' estimates.
    fn queue_run_times(&self, now: Now) -> Vec<QueueRunTime> {
        // Long enough that rounding to milliseconds does not matter.
        let estimate = Duration::from_secs(10);
        let routes = self.catalog.routes.iter();
        let run_times = routes.filter_map(|route| {
            let work = EstimatedWork {
                queue: &route.queue.name,
                customer: None,
                estimate,
            };
            let typical = self.run_times.run_time(&work, now.at).typical;
            let permille = millis(typical) * 1000 / millis(estimate);
            (typical != estimate).then(|| QueueRunTime {
                queue: route.queue.name.clone(),
                typical_permille: u32::try_from(permille).unwrap_or(u32::MAX),
            })
        });
        run_times.take(MAX_SUMMARY_ENTRIES).collect()
    }

    /// Returns the number of accelerators that recently arrived urgent jobs require.
    fn urgent_accelerators(&self, now: Now) -> u32 {
        let urgent = self.jobs.values().filter(|job| {
            job.accepted.queue.priority == 0 && now.at - job.arrived_at <= URGENT_WINDOW
        });
        urgent.fold(0, |sum: u32, job| sum.saturating_add(job.max_accelerators))
    }

    /// Records when an arriving job is expected to begin, if there is a recent summary to forecast
    /// it from.
    pub(super) fn record_forecast(&mut self, job: &AcceptedJob, now: Now) {
        let is_recent = |(at, _): &&(Timestamp, LoadSummary)| now.at - *at <= FORECAST_FRESH_FOR;
        let Some((_, summary)) = self.load.last.as_ref().filter(is_recent) else {
            return;
        };
        let steps = job.spec.steps.iter();
        let first = steps.filter(|step| step.depends_on.is_empty());
        let forecasts =
            first.filter_map(|step| summary.forecast(&ResourceRequest::for_step(step, job)));
        let soonest = forecasts.min_by_key(|forecast| forecast.earliest);
        if let Some(forecast) = soonest.filter(|forecast| !forecast.likely.is_zero())
            && self.load.forecasts.len() < MAX_FORECASTS
        {
            self.load.forecasts.insert(job.id.clone(), forecast);
        }
    }

    /// Removes the forecast of a job that begins and returns it as a log text. The text is empty if
    /// there was no forecast.
    pub(super) fn take_forecast(&mut self, id: &JobId) -> String {
        let forecast = self.load.forecasts.remove(id);
        forecast.map_or_else(String::new, |forecast| {
            let (earliest, likely) = (millis(forecast.earliest), millis(forecast.likely));
            format!(
                ", expected to begin after {earliest} ms at the earliest and {likely} ms likely"
            )
        })
    }

    /// Removes the forecast of a job that has ended.
    pub(super) fn drop_forecast(&mut self, id: &JobId) {
        self.load.forecasts.remove(id);
    }
}

impl Backlog {
    fn add(&mut self, work: WaitingWork, customer: Option<&CustomerId>) {
        if let Some(customer) = customer {
            let key = (work.priority, customer.clone());
            let remaining = self.customers.entry(key).or_default();
            *remaining = remaining.plus(&work.remaining);
        }
        let size = work
            .needs
            .weight()
            .max(1)
            .saturating_mul(u64::from(work.gang_size));
        let kind = (
            work.service.clone(),
            work.priority,
            work.is_unconstrained,
            work.gang,
            size.ilog2(),
        );
        if let Some(known) = self.kinds.get_mut(&kind) {
            known.add(&work);
        } else {
            self.kinds.insert(kind, work);
        }
    }
}

fn customer_backlogs(customers: BTreeMap<(u8, CustomerId), ResourceTime>) -> Vec<CustomerBacklog> {
    let backlogs = customers
        .into_iter()
        .map(|((priority, customer), remaining)| CustomerBacklog {
            customer,
            priority,
            remaining,
        });
    largest(backlogs, |backlog| backlog.remaining.accelerators)
}

/// Returns the largest entries, at most as many as a summary may hold.
fn largest<T>(entries: impl Iterator<Item = T>, size: impl Fn(&T) -> u64) -> Vec<T> {
    let mut entries: Vec<T> = entries.collect();
    entries.sort_by_key(|entry| std::cmp::Reverse(size(entry)));
    entries.truncate(MAX_SUMMARY_ENTRIES);
    entries
}

/// Returns whether a task has never been placed, has never failed and is not suspected of crashing
/// a worker, so that any worker will do.
const fn is_untried(task: &Task) -> bool {
    task.run == 0 && task.failures == 0 && task.losses.is_empty()
}

/// Returns whether a step limits which workers its tasks may use, so that free capacity may be of
/// no use to them even if it is large enough.
const fn is_constrained(step: &StepSpec) -> bool {
    step.required_label.is_some()
        || step.near_rack.is_some()
        || step.max_per_worker.is_some()
        || step.same_rack
        || step.long_running
        || step.uses_spare_cpu
        || step.has_latency_target()
}

/// Returns the expected remaining time of a run in milliseconds.
fn remaining_ms(run: &Run, now: Now) -> u64 {
    if run.state == RunState::Stopping {
        return 0;
    }
    let by_percent = run
        .expected_ms
        .saturating_mul(u64::from(100 - run.percent.min(100)))
        / 100;
    let Some((at, 0)) = run.began else {
        return by_percent;
    };
    let by_time = run.expected_ms.saturating_sub(millis(now.at - at));
    by_percent.min(by_time)
}

/// Returns the lower bound of the bucket for a remaining time.
fn end_bucket_ms(remaining_ms: u64) -> u64 {
    let buckets = END_BUCKETS_MS.into_iter().rev();
    buckets
        .into_iter()
        .find(|from| *from <= remaining_ms)
        .unwrap_or(0)
}
