use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use stairstall_core::Timestamp;
use stairstall_core::placement::{JobKey, JobState, Policy};

use super::Workload;
use crate::VirtualZone;

/// Step of time while measuring.
const STEP: Duration = Duration::from_millis(500);
/// How often fragmentation is sampled.
const SAMPLE: Duration = Duration::from_secs(60);
/// How long after the last arrival a job may still end.
const PATIENCE: Duration = Duration::from_secs(24 * 3600);
/// Jobs of at least this many accelerators are large.
const LARGE: u32 = 32;

/// What a policy made of a workload.
#[derive(Debug, Clone)]
pub struct Measured {
    /// Jobs that ended with success.
    pub finished: usize,
    /// Jobs that did not.
    pub unfinished: usize,
    /// Mean time from acceptance to the end.
    pub mean: Duration,
    /// Half of the jobs took at most this.
    pub p50: Duration,
    /// All but one in a hundred took at most this.
    pub p99: Duration,
    /// Half of the jobs took at most this beyond their own running time.
    pub delay_p50: Duration,
    /// All but one in a hundred took at most this beyond their own running time.
    pub delay_p99: Duration,
    /// Mean time that large gangs took beyond their own running time.
    pub large_wait_mean: Duration,
    /// Longest such time.
    pub large_wait_most: Duration,
    /// Mean share of free accelerators that no waiting or guaranteed shape could use, in percent.
    pub fragmentation: f64,
    /// Mean share of all accelerators that were free and of no use to any waiting job, in percent.
    pub lost: f64,
    /// Mean accelerators of the largest free block.
    pub largest_free: f64,
    /// No policy can do better than this in the mean.
    pub bound: Duration,
    /// Decisions by kind.
    pub decisions: BTreeMap<&'static str, u64>,
}

impl Measured {
    /// Runs a workload under a policy.
    #[must_use]
    pub fn run(workload: &Workload, policy: Policy) -> Self {
        let plan = &workload.plan;
        let mut zone = VirtualZone::new(
            plan.workers,
            plan.per_rack,
            plan.capacity,
            policy,
            workload.configuration.clone(),
        );
        zone.set_step(STEP);
        let mut waiting = workload.arrivals.iter().peekable();
        let mut samples = Vec::new();
        let mut sample_at = Timestamp::default();
        let last = workload
            .arrivals
            .last()
            .map_or(Timestamp::default(), |a| a.at);
        while zone.ended.len() < workload.arrivals.len() && zone.now() < last + PATIENCE {
            while let Some(arrival) = waiting.next_if(|a| a.at <= zone.now()) {
                zone.submit(arrival.spec.clone());
            }
            if zone.now() >= sample_at && zone.now() <= last {
                sample_at = zone.now() + SAMPLE;
                samples.push(zone.scheduler.fragmentation());
            }
            zone.step();
        }
        let share = |f: &stairstall_core::placement::Fragmentation| {
            if f.free == 0 {
                0.0
            } else {
                f64::from(f.unusable) * 100.0 / f64::from(f.free)
            }
        };
        let count = f64::from(u32::try_from(samples.len()).unwrap_or(u32::MAX).max(1));
        let fragmentation = samples.iter().map(share).sum::<f64>() / count;
        let lost = |f: &stairstall_core::placement::Fragmentation| {
            f64::from(f.unusable_by_waiting) * 100.0 / f64::from(f.total.max(1))
        };
        let lost = samples.iter().map(lost).sum::<f64>() / count;
        let largest_free = samples
            .iter()
            .map(|f| f64::from(f.largest_free))
            .sum::<f64>()
            / count;
        Self {
            fragmentation,
            lost,
            largest_free,
            ..Self::of(workload, &zone)
        }
    }

    fn of(workload: &Workload, zone: &VirtualZone) -> Self {
        let ends: BTreeMap<&JobKey, Timestamp> = zone
            .ended
            .iter()
            .filter(|e| matches!(e.state, JobState::Finished { success: true, .. }))
            .map(|e| (&e.job, e.at))
            .collect();
        let mut times = Vec::new();
        let mut delays = Vec::new();
        let mut large = Vec::new();
        for arrival in &workload.arrivals {
            let Some(end) = ends.get(&arrival.spec.key()) else {
                continue;
            };
            let took = *end - arrival.at;
            times.push(took);
            let delay = took.saturating_sub(Duration::from_millis(arrival.spec.expected_ms));
            delays.push(delay);
            if arrival.spec.shape.total_accelerators() >= LARGE {
                large.push(delay);
            }
        }
        times.sort_unstable();
        delays.sort_unstable();
        Self {
            finished: times.len(),
            unfinished: workload.arrivals.len() - times.len(),
            mean: mean(&times),
            p50: quantile(&times, 500),
            p99: quantile(&times, 990),
            delay_p50: quantile(&delays, 500),
            delay_p99: quantile(&delays, 990),
            large_wait_mean: mean(&large),
            large_wait_most: large.iter().max().copied().unwrap_or_default(),
            fragmentation: 0.0,
            lost: 0.0,
            largest_free: 0.0,
            bound: lower_bound(workload),
            decisions: zone.decisions.clone(),
        }
    }
}

/// Returns the value that so many in a thousand of the sorted values reach at most.
fn quantile(sorted: &[Duration], permille: usize) -> Duration {
    let index = sorted.len().saturating_sub(1) * permille / 1000;
    sorted.get(index).copied().unwrap_or_default()
}

fn mean(times: &[Duration]) -> Duration {
    let count = u32::try_from(times.len()).unwrap_or(u32::MAX).max(1);
    times.iter().sum::<Duration>() / count
}

/// Returns a bound on the mean completion time that no policy can beat.
///
/// It is the larger of two: the jobs' own running times, and the times they
/// would take one after the other, shortest rest first, on one machine as fast
/// as all accelerators together.
fn lower_bound(workload: &Workload) -> Duration {
    let own: Vec<Duration> = workload
        .arrivals
        .iter()
        .map(|a| Duration::from_millis(a.spec.expected_ms))
        .collect();
    mean(&own).max(pooled(workload))
}

fn pooled(workload: &Workload) -> Duration {
    let speed = workload.plan.accelerators().max(1);
    let area = |index: usize| {
        let spec = &workload.arrivals[index].spec;
        u64::from(spec.shape.total_accelerators()) * spec.expected_ms
    };
    let mut queue: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let (mut now, mut next, mut total) = (0_u64, 0, 0_u64);
    let arrivals = &workload.arrivals;
    while next < arrivals.len() || !queue.is_empty() {
        let Some(Reverse((left, index))) = queue.pop() else {
            now = now.max(arrivals[next].at.as_millis());
            queue.push(Reverse((area(next), next)));
            next += 1;
            continue;
        };
        let done = now + left.div_ceil(speed);
        match arrivals.get(next) {
            Some(arrival) if arrival.at.as_millis() < done => {
                let worked = (arrival.at.as_millis().max(now) - now) * speed;
                now = now.max(arrival.at.as_millis());
                queue.push(Reverse((left.saturating_sub(worked), index)));
                queue.push(Reverse((area(next), next)));
                next += 1;
            }
            _ => {
                now = done;
                total += now - arrivals[index].at.as_millis();
            }
        }
    }
    Duration::from_millis(total / (arrivals.len().max(1) as u64))
}
