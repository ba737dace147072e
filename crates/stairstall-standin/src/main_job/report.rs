use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::{Deployment, JobOutcome, RequestOutcome};
use crate::{Caller, Cluster, StartRecord};

/// Placement of one zone at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sample {
    free: u64,
    total: u64,
    lost: u64,
    largest_free: u64,
}

/// Samples every zone's placement now and then.
pub(super) struct Sampling<'a> {
    caller: &'a Caller,
    daemons: &'a [SocketAddr],
    interval: Duration,
}

pub(super) const fn sample_fragmentation<'a>(
    caller: &'a Caller,
    daemons: &'a [SocketAddr],
    interval: Duration,
) -> Sampling<'a> {
    Sampling {
        caller,
        daemons,
        interval,
    }
}

impl Sampling<'_> {
    /// Samples for as long as it is polled.
    pub(super) async fn into(self, samples: &Mutex<Vec<Sample>>) {
        loop {
            for daemon in self.daemons {
                let Some(status) = self.caller.status(*daemon).await else {
                    continue;
                };
                let placement = &status["daemon"]["placement"];
                let number = |name: &str| placement[name].as_u64().unwrap_or(0);
                if placement.is_object() {
                    let sample = Sample {
                        free: number("free_accelerators"),
                        total: number("total_accelerators"),
                        lost: number("lost_accelerators"),
                        largest_free: number("largest_free"),
                    };
                    samples
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(sample);
                }
            }
            tokio::time::sleep(self.interval).await;
        }
    }
}

/// What became of a deployment's work.
#[derive(Debug, Clone)]
pub struct Report {
    /// Which deployment.
    pub name: &'static str,
    /// Requests by verdict.
    pub requests: BTreeMap<String, usize>,
    /// Jobs by state and verdict.
    pub jobs: BTreeMap<String, usize>,
    /// Median and 99th percentile of the requests' completion time.
    pub request_times: (Duration, Duration),
    /// Median and 99th percentile of the jobs' completion time.
    pub job_times: (Duration, Duration),
    /// Claims of guarantees that ran to their end, of all, and the slowest from
    /// submission to the start of its last member.
    pub claims: (usize, usize),
    /// Free and lost accelerators and the largest free block, in the mean, of a zone.
    pub placement: (f64, f64, f64),
    /// Requests that minions refused as busy.
    pub refused: u64,
    /// Calls to the store: reads, writes, watches.
    pub store_calls: (u64, u64, u64),
    /// How long it all took.
    pub took: Duration,
    /// Everything that must hold and did not.
    pub broken: Vec<String>,
}

impl Report {
    pub(super) fn of(
        cluster: &Cluster,
        deployment: &Deployment,
        requests: &[RequestOutcome],
        jobs: &[JobOutcome],
        samples: &[Sample],
        took: Duration,
    ) -> Self {
        let claims: Vec<&JobOutcome> = jobs.iter().filter(|j| j.claims).collect();
        let claimed = claims.iter().filter(|j| j.state == "finished").count();
        let refused = cluster.minions.iter().filter_map(|m| m.standin.as_ref());
        Self {
            name: deployment.name,
            requests: count(
                requests
                    .iter()
                    .map(|r| r.verdict.clone().unwrap_or_else(|| "no answer".to_owned())),
            ),
            jobs: count(jobs.iter().map(|j| format!("{} {}", j.state, j.verdict))),
            request_times: quantiles(requests.iter().map(|r| r.took).collect()),
            job_times: quantiles(jobs.iter().map(|j| j.took).collect()),
            claims: (claimed, claims.len()),
            placement: means(samples),
            refused: refused.map(|m| u64::from(m.refused())).sum(),
            store_calls: cluster.store.calls(),
            took,
            broken: broken(cluster, requests, jobs),
        }
    }
}

fn count(words: impl Iterator<Item = String>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for word in words {
        *counts.entry(word).or_default() += 1;
    }
    counts
}

fn quantiles(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    let at = |percent: usize| {
        let index = times.len().saturating_sub(1) * percent / 100;
        times.get(index).copied().unwrap_or_default()
    };
    (at(50), at(99))
}

fn means(samples: &[Sample]) -> (f64, f64, f64) {
    let sum = |of: fn(&Sample) -> u64| samples.iter().map(of).sum::<u64>();
    let total = sum(|s| s.total).max(1);
    let percent = |part: u64| 100.0 * as_float(part) / as_float(total);
    let count = as_float(samples.len().max(1) as u64);
    (
        percent(sum(|s| s.free)),
        percent(sum(|s| s.lost)),
        as_float(sum(|s| s.largest_free)) / count,
    )
}

fn as_float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Checks what the minions and workers recorded against what the callers were told.
fn broken(cluster: &Cluster, requests: &[RequestOutcome], jobs: &[JobOutcome]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for minion in &cluster.minions {
        let Some(standin) = &minion.standin else {
            continue;
        };
        if standin.most_busy() > cluster.plan.slots {
            broken.push(format!(
                "{} ran {} requests at a time",
                minion.name,
                standin.most_busy()
            ));
        }
        for record in standin.records() {
            *runs.entry(record.request).or_default() += 1;
        }
    }
    for request in requests {
        let ran = runs.get(&request.id).copied().unwrap_or(0);
        if request.mixed_up {
            broken.push(format!("{} was given another's answer", request.id));
        }
        if !request.repeatable && ran > 1 {
            broken.push(format!(
                "{} is not repeatable and ran {ran} times",
                request.id
            ));
        }
        if request.verdict.as_deref() == Some("not-run") && ran > 0 {
            broken.push(format!(
                "{} was said not to have run and ran {ran} times",
                request.id
            ));
        }
        if request.answered && ran == 0 {
            broken.push(format!("{} was answered and never ran", request.id));
        }
    }
    let starts = cluster.starts();
    broken.extend(broken_jobs(&starts, jobs));
    broken
}

fn broken_jobs(starts: &[StartRecord], jobs: &[JobOutcome]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut attempts: BTreeMap<String, BTreeMap<String, Vec<&StartRecord>>> = BTreeMap::new();
    for start in starts {
        let job = attempts.entry(start.task.job.to_string()).or_default();
        job.entry(start.task.attempt.to_string())
            .or_default()
            .push(start);
    }
    for (job, attempts) in &attempts {
        let all = || attempts.values().flatten();
        if attempts.len() > 1 && all().any(|s| !s.repeatable) {
            broken.push(format!(
                "{job} is not repeatable and started {} times",
                attempts.len()
            ));
        }
        for (attempt, members) in attempts {
            let distinct: BTreeSet<u16> = members.iter().map(|s| s.task.member).collect();
            let whole = distinct.len() == usize::from(members[0].gang);
            if members.iter().any(|s| s.confirmed) && !whole {
                broken.push(format!("a part of {job}, attempt {attempt}, ran"));
            }
        }
    }
    for job in jobs {
        let ran = attempts.contains_key(&job.key);
        if job.accepted && !["finished", "ended"].contains(&job.state.as_str()) {
            broken.push(format!("{} was accepted and is {}", job.key, job.state));
        }
        if job.verdict == "not-run" && ran {
            broken.push(format!("{} was said not to have run and ran", job.key));
        }
        if job.state == "finished" && !ran {
            broken.push(format!("{} finished and never ran", job.key));
        }
    }
    broken
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |counts: &BTreeMap<String, usize>| {
            let parts: Vec<String> = counts.iter().map(|(k, n)| format!("{n} {k}")).collect();
            parts.join(", ")
        };
        let times = |(p50, p99): (Duration, Duration)| {
            format!("p50 {} ms, p99 {} ms", p50.as_millis(), p99.as_millis())
        };
        let (free, lost, largest) = self.placement;
        let (reads, writes, watches) = self.store_calls;
        writeln!(f, "{} ({:.1} s)", self.name, self.took.as_secs_f64())?;
        writeln!(f, "  requests by verdict    {}", list(&self.requests))?;
        writeln!(f, "  request completion     {}", times(self.request_times))?;
        writeln!(f, "  refused as busy        {}", self.refused)?;
        writeln!(f, "  jobs by state, verdict {}", list(&self.jobs))?;
        writeln!(f, "  job completion         {}", times(self.job_times))?;
        writeln!(
            f,
            "  guarantees reclaimed   {} of {}",
            self.claims.0, self.claims.1
        )?;
        writeln!(
            f,
            "  accelerators           {free:.1}% free, {lost:.2}% lost to fragmentation, largest free block {largest:.0}"
        )?;
        writeln!(
            f,
            "  store calls            {reads} reads, {writes} writes, {watches} watches"
        )?;
        writeln!(f, "  broken invariants      {}", self.broken.len())?;
        for broken in &self.broken {
            writeln!(f, "    {broken}")?;
        }
        Ok(())
    }
}
