//! The shape of the large site: five zones, strong and small VMs, three kinds of jobs, some of which
//! are cancelled or can't be done.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use stairstall_platform_standin::{
    AdviceTimes, Capacity, Deployment, FreeCapacity, RunRecord, StandinAdviser, StandinStore,
    StandinWorkers, may_run,
};

use super::processor_limit::PERIOD;
use super::{Accepted, CALM_BEFORE, MAX_CRASHES, MAX_IDLE, Shape, Shared, lock, time_of_day};
use crate::idle::{done_tasks, due_step, fits_twice};
use crate::jobs::{Job, Jobs, Kind, Step};

pub(super) const ZONES: [&str; 5] = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"];
/// Fewer daemons than the site's 147, which `STAIRSTALL_PLANNED_DAEMONS` can ask for.
pub(super) const SHAPE: Shape = Shape {
    daemons: 50,
    workers: 1_100,
    callers: 120,
    calls_per_job: 45,
    is_large: true,
};
const RACK: usize = 20;
const RACKS: usize = SHAPE.workers / RACK;
/// One VM in so many is a strong one.
const STRONG_ONE_IN: usize = 10;
/// One job in so many can't be done: all its runs fail, or its first task crashes its workers.
const HOPELESS_ONE_IN: u32 = 50;
/// How many daemons start at once.
pub(super) const STARTS_AT_ONCE: usize = 16;

/// How long advice takes, and how long its tickets hold.
const ADVICE_TIMES: AdviceTimes = AdviceTimes {
    decide: Duration::from_millis(6),
    each: Duration::from_micros(100),
    valid: Duration::from_secs(6),
};

/// What a VM has: percent of a core, megabytes, open files, megabits a second.
const STRONG: [&str; 4] = ["50", "512", "8192", "200"];
const SMALL: [&str; 4] = ["12", "160", "4100", "20"];

/// The kinds of jobs of the large site.
const LARGE_KINDS: [Kind; 3] = [
    Kind {
        name: "reply-draft",
        per_s: 3.42,
        before: 27,
        priority: 1,
        attempts: 2,
        stretch: 3.0,
        objective_ms: 1_000,
        work_ms: (8_500.0, 0.3, 11_000.0),
        width: (26.0, 0.8, 160.0),
        steps: (1.0, 1),
        cpu: 13_000,
        mem_mb: 26_000,
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        tight: 0.6,
        near: 0.3,
        spread: 0.0,
        estimate_off: 0.5,
        fails_once: 0.005,
    },
    Kind {
        name: "urgency-sort",
        per_s: 19.6,
        before: 0,
        priority: 0,
        attempts: 2,
        stretch: 1.5,
        objective_ms: 250,
        work_ms: (2_500.0, 0.5, 8_000.0),
        width: (7.6, 0.8, 46.0),
        steps: (1.0, 1),
        cpu: 3_700,
        mem_mb: 9_800,
        accelerators: &[1, 2, 4, 8, 8],
        gang: true,
        tight: 0.8,
        near: 0.0,
        spread: 0.0,
        estimate_off: 0.2,
        fails_once: 0.05,
    },
    Kind {
        name: "backlog-tag",
        per_s: 4.2,
        before: 31,
        priority: 2,
        attempts: 4,
        stretch: 3.0,
        objective_ms: 3_000,
        work_ms: (6_100.0, 0.3, 11_000.0),
        width: (78.0, 0.8, 470.0),
        steps: (1.3, 3),
        cpu: 2_800,
        mem_mb: 4_100,
        accelerators: &[1],
        gang: false,
        tight: 0.0,
        near: 0.12,
        spread: 0.12,
        estimate_off: 0.9,
        fails_once: 0.02,
    },
];

/// Returns the zone of a VM.
pub(super) const fn zone_of(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

/// Returns whether a VM is a strong one. `STAIRSTALL_PLANNED_VMS=small` makes all of them small.
pub(super) fn is_strong(number: usize) -> bool {
    let are_all_small = std::env::var("STAIRSTALL_PLANNED_VMS").is_ok_and(|vms| vms == "small");
    !are_all_small && (number / ZONES.len()).is_multiple_of(STRONG_ONE_IN)
}

/// Returns the processor time that a VM gives its daemon in each period, if daemons are held to it:
/// `STAIRSTALL_PLANNED_HELD` says to how many percent of it.
pub(super) fn held_share(is_strong: bool) -> Option<Duration> {
    let held = std::env::var("STAIRSTALL_PLANNED_HELD").ok()?;
    let held: u32 = held.parse().ok()?;
    let [cpu, ..] = if is_strong { STRONG } else { SMALL };
    let cpu: u32 = cpu.parse().ok()?;
    Some(PERIOD * cpu * held / 10_000)
}

/// Returns the flags of a VM's daemon.
pub(super) fn flags_of(is_strong: bool) -> Vec<&'static str> {
    let [cpu, memory, files, link] = if is_strong { STRONG } else { SMALL };
    let own = [
        "--cpu-percent",
        cpu,
        "--memory-mb",
        memory,
        "--open-files",
        files,
        "--link-mbps",
        link,
    ];
    let times = [
        "--hold-max-ms",
        "6000",
        "--stop-max-ms",
        "400",
        "--reclaim-ms",
        "2900",
        "--config-apply-ms",
        "4000",
        "--evacuate-ms",
        "5000",
        "--drain-delay-ms",
        "2500",
        "--far-factor",
        "3",
    ];
    own.into_iter().chain(times).collect()
}

/// Returns a configuration with the site's three queues, and one more in every second version.
pub(super) fn configuration(version: u64) -> Value {
    let mut routes: Vec<Value> = LARGE_KINDS.iter().map(route).collect();
    if version.is_multiple_of(2) {
        let mut more = route(&LARGE_KINDS[2]);
        more["name"] = json!("q9");
        more["pathPrefix"] = json!("/q9/");
        routes.push(more);
    }
    // Versions differ in a time limit too.
    routes[0]["timeoutMs"] = json!(3_000 + version % 3 * 500);
    json!({"version": version, "routes": routes, "services": [], "limits": {"maxBodyBytes": 262_144},
        "tenants": [
            {"name": "mesa", "apiKeys": ["key-mesa"], "guaranteed": {"gpu": 5_456}},
            {"name": "fonts", "apiKeys": ["key-fonts"], "guaranteed": {"gpu": 80}}]})
}

fn route(kind: &Kind) -> Value {
    let name = format!("q{}", kind.priority);
    let mut route = json!({"name": name, "host": "jobs.example", "pathPrefix": format!("/{name}/"), "timeoutMs": 3000,
        "targetLatencyMs": kind.objective_ms, "priority": kind.priority, "service": "desk",
        "attempts": kind.attempts, "stretch": kind.stretch});
    if is_advised(kind) {
        route["advice"] = json!({"decideMs": in_ms(ADVICE_TIMES.decide), "eachMs": in_ms(ADVICE_TIMES.each),
            "validMs": in_ms(ADVICE_TIMES.valid)});
    }
    route
}

fn in_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Starts the adviser.
pub(super) async fn start_adviser(workers: &StandinWorkers) -> std::io::Result<StandinAdviser> {
    workers.start_adviser(ADVICE_TIMES).await
}

/// Returns whether starts of a kind of jobs need tickets: those of the queue that
/// `STAIRSTALL_PLANNED_ADVICE` names.
fn is_advised(kind: &Kind) -> bool {
    let queue = std::env::var("STAIRSTALL_PLANNED_ADVICE");
    queue.is_ok_and(|queue| queue == format!("q{}", kind.priority))
}

/// Returns whether a job with a step that is due has room for it twice over on the workers that may
/// run it.
fn has_room_twice(free: &[FreeCapacity], id: &str, job: &Job, step: &Step) -> bool {
    let kind = LARGE_KINDS.iter().find(|kind| kind.name == job.kind);
    if !kind.is_some_and(is_advised) {
        return fits_twice(free, step);
    }
    let index = job.steps.iter().position(|other| std::ptr::eq(other, step));
    let group = format!("{id}.0.{}", index.unwrap_or(0));
    let good = free.iter().filter(|free| may_run(&group, &free.worker));
    fits_twice(&good.cloned().collect::<Vec<_>>(), step)
}

pub(super) async fn start_workers(
    store: &StandinStore,
    shape: Shape,
    has_links: bool,
) -> std::io::Result<StandinWorkers> {
    let deployment = Deployment {
        count: shape.workers,
        rack: RACK,
        zones: ZONES.to_vec(),
        capacity: Capacity {
            cpu: 32_000,
            mem_mb: 65_536,
            gpu: 8,
        },
        hold_max: Duration::from_secs(6),
        gang_wait: Duration::from_secs(5),
        stop: Duration::from_millis(400),
        far_factor: 3,
        shares_ids: super::shares_ids(),
        has_links,
    };
    StandinWorkers::start_deployment(store, "desk", &deployment).await
}

/// Draws a job of a caller; the kinds come as often as at the site.
pub(super) fn draw(random: &mut Pcg64Mcg, caller: usize, number: u64) -> (String, Arc<Job>) {
    let total: f64 = LARGE_KINDS.iter().map(|kind| kind.per_s).sum();
    let mut left = random.random_range(0.0..total);
    let kind = LARGE_KINDS.iter().find(|kind| {
        left -= kind.per_s;
        left < 0.0
    });
    let kind = kind.unwrap_or(&LARGE_KINDS[1]);
    let mut jobs = Jobs {
        random: random.clone(),
        racks: RACKS,
        customers: 1,
        load_percent: 100,
        next: (caller as u64 + 1) << 32 | number,
    };
    let mut job = jobs.draw(kind);
    *random = jobs.random;
    if random.random_range(0..HOPELESS_ONE_IN) == 0 {
        let how = if random.random_range(0..3) == 0 {
            "crash=0"
        } else {
            "fail"
        };
        let spec = job.body["spec"].as_str().unwrap_or_default();
        job.body["spec"] = json!(format!("{spec} {how}"));
    }
    if is_advised(kind) {
        let spec = job.body["spec"].as_str().unwrap_or_default();
        job.body["spec"] = json!(format!("{spec} advised"));
    }
    (format!("/q{}/{}", kind.priority, job.id), Arc::new(job))
}

/// Returns whether a job may be shown as failed: a task has failed as often as it may, or too many
/// workers have crashed under one.
pub(super) fn may_fail(
    workers: &StandinWorkers,
    records: &[RunRecord],
    path: &str,
    job: &Job,
) -> bool {
    let kind = LARGE_KINDS.iter().find(|kind| kind.name == job.kind);
    let attempts = kind.map_or(1, |kind| usize::from(kind.attempts));
    let id = &path[4..];
    let failed = records
        .iter()
        .filter(|record| record.how == Some("failed") && record.task.split('.').next() == Some(id));
    // The runs of a gang are counted for the gang.
    let is_gang = job.steps.iter().any(|step| step.gang);
    let mut by_task = std::collections::BTreeMap::<&str, BTreeSet<(u64, &str)>>::new();
    for record in failed {
        let group = record.task.rsplit_once('.').map_or("", |(group, _)| group);
        let (key, member) = if is_gang {
            (group, "")
        } else {
            (record.task.as_str(), record.worker.as_str())
        };
        by_task.entry(key).or_default().insert((record.run, member));
    }
    by_task.values().any(|runs| runs.len() >= attempts)
        || workers.most_lost_under(id) >= MAX_CRASHES
}

/// Returns whether all tasks of a job were done.
pub(super) fn is_done(records: &[RunRecord], path: &str, job: &Job) -> bool {
    let done = done_tasks(records);
    done.get(&path[4..])
        .is_some_and(|done| due_step(job, done).is_none())
}

/// Notes which open jobs have had nothing running for too long although there is room twice over.
pub(super) fn check_idle_jobs(workers: &StandinWorkers, shared: &Shared) {
    let records = workers.records();
    let free = workers.free_capacity();
    let running: BTreeSet<&str> = records
        .iter()
        .filter(|record| record.how.is_none())
        .map(super::job_of)
        .collect();
    let done = done_tasks(&records);
    let now = Instant::now();
    let is_calm = shared.calm.lasted() >= CALM_BEFORE;
    let none = BTreeSet::new();
    let free_accelerators: u64 = free.iter().map(|worker| worker.free.gpu).sum();
    let is_half_empty = free_accelerators * 2 > (free.len() * super::ACCELERATORS) as u64;
    let half_empty_since = {
        let mut since = lock(&shared.half_empty_since);
        *since = is_half_empty.then(|| since.unwrap_or(now));
        *since
    };
    for (path, accepted) in lock(&shared.accepted).iter_mut() {
        let Accepted {
            job: Some(job),
            is_cancelled,
            ..
        } = accepted
        else {
            continue;
        };
        let id = &path[4..];
        let due = due_step(job, done.get(id).unwrap_or(&none));
        let due = due.filter(|step| {
            is_calm && !running.contains(id) && has_room_twice(&free, id, job, step)
        });
        let Some(step) = due.filter(|_| !*is_cancelled && !is_hopeless(job)) else {
            accepted.idle_since = None;
            continue;
        };
        let since = *accepted.idle_since.get_or_insert(now);
        if now - since > MAX_IDLE && !may_fail(workers, &records, path, job) {
            let time = time_of_day();
            let (kind, elapsed) = (job.kind, now - since);
            let half = if half_empty_since.is_some_and(|half| half <= since) {
                "under half"
            } else {
                "not under half"
            };
            shared.report(format!(
                "{time} {path}: LOST idle, {half} in use, {free_accelerators} free: \
                 nothing runs for {elapsed:?}, {kind}, {step:?}"
            ));
            accepted.idle_since = None;
        }
    }
}

fn is_hopeless(job: &Job) -> bool {
    let spec = job.body["spec"].as_str().unwrap_or_default();
    spec.split(' ')
        .any(|word| word == "fail" || word.starts_with("crash="))
}
