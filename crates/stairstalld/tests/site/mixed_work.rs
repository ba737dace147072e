//! The play: jobs of three kinds arrive at random, callers ask for them, workers say what runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use stairstall_http::{HttpClient, JsonRequest};
use tokio::task::JoinSet;

use crate::idle::{Idle, IdleJobs};
use crate::jobs::{Job, Jobs, KINDS, Kind};
use crate::site::{CUSTOMERS, Site, key, racks};

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long after the traffic jobs may take to end.
const FINISH: Duration = Duration::from_secs(14);
/// How long a planner has before jobs come.
const BEFORE_TRAFFIC: Duration = Duration::from_secs(4);
/// Accelerators of a worker.
const ACCELERATORS: usize = 8;
const DEADLINE: Duration = Duration::from_secs(3);
const SEEDS: [u64; 1] = [5];
const SECONDS: u64 = 20;
/// Leaves most accelerators free.
const LOAD_PERCENT: u64 = 40;

#[derive(Default)]
struct Shared {
    idle: Mutex<IdleJobs>,
    answers: Mutex<std::collections::BTreeMap<String, usize>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Callers {
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    load_percent: u32,
}

impl Callers {
    async fn call(&self, at: usize, method: &str, job: &Job, body: &Value) -> Option<(u16, Value)> {
        let address = self.addresses[at % self.addresses.len()].to_string();
        let authorization = format!("Bearer {}", key(job.customer));
        let path = format!("/{}/{}", job.kind, job.id);
        let call = JsonRequest {
            method: method.parse().expect("a method"),
            address: &address,
            path: &path,
            headers: &[("Host", "jobs.example"), ("Authorization", &authorization)],
            body: if body.is_null() {
                Vec::new()
            } else {
                body.to_string().into_bytes()
            },
        };
        let answer = self.http.exchange(call, DEADLINE).await.ok()?;
        let status = answer.status.as_u16();
        *lock(&self.shared.answers)
            .entry(format!("{method} {status}"))
            .or_default() += 1;
        Some((status, answer.read().unwrap_or_default()))
    }

    /// Hands a job in, as often as a caller does.
    async fn submit(&self, at: usize, job: Job) {
        for attempt in 0..5 {
            let answer = self.call(at + 7 * attempt, "POST", &job, &job.body).await;
            match answer {
                Some((200, _)) => {
                    lock(&self.shared.idle).add(job);
                    return;
                }
                Some((429, _)) => return,
                _ => tokio::time::sleep(Duration::from_millis(300)).await,
            }
        }
    }

    /// Asks for a job whose tasks are all done until it is shown as completed.
    async fn ask(&self, at: usize, job: Job) -> Option<String> {
        let since = Instant::now();
        let mut last = None;
        while since.elapsed() < FINISH {
            last = self.call(at, "GET", &job, &Value::Null).await;
            if last
                .as_ref()
                .is_some_and(|(_, body)| body["state"] == "completed")
            {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        Some(format!("{}: all tasks are done, shown as {last:?}", job.id))
    }
}

async fn hand_in(callers: Arc<Callers>, kind: &'static Kind, seed: u64, until: Instant) {
    let mut jobs = Jobs {
        random: Pcg64Mcg::seed_from_u64(seed << 8 | u64::from(kind.priority)),
        racks: racks(),
        customers: CUSTOMERS,
        load_percent: callers.load_percent,
        next: u64::from(kind.priority + 1) << 32,
    };
    let mut sent = JoinSet::new();
    for _ in 0..kind.before * callers.load_percent as usize / 100 {
        send(&callers, &mut jobs, kind, &mut sent);
    }
    loop {
        let pause = jobs.pause(kind);
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        if Instant::now() >= until {
            break;
        }
        send(&callers, &mut jobs, kind, &mut sent);
    }
    while sent.join_next().await.is_some() {}
}

fn send(callers: &Arc<Callers>, jobs: &mut Jobs, kind: &Kind, sent: &mut JoinSet<()>) {
    let job = jobs.draw(kind);
    let at = jobs.random.random_range(0..callers.addresses.len());
    let callers = Arc::clone(callers);
    sent.spawn(async move { callers.submit(at, job).await });
}

/// Hands jobs in and watches them until all have ended, or for [`FINISH`] after the traffic.
async fn play(seed: u64, seconds: u64, limits_processors: bool) -> Play {
    let site = Site::start(limits_processors).await;
    let shared = Arc::<Shared>::default();
    let load_percent = number("STAIRSTALL_SITE_LOAD", LOAD_PERCENT);
    let callers = Arc::new(Callers {
        http: HttpClient::new(Duration::from_millis(500), 4),
        addresses: site.daemons.iter().map(|daemon| daemon.address).collect(),
        shared: Arc::clone(&shared),
        load_percent: u32::try_from(load_percent).unwrap_or(100),
    });
    tokio::time::sleep(BEFORE_TRAFFIC).await;
    let traffic_ends = Instant::now() + Duration::from_secs(seconds);
    let mut traffic = JoinSet::new();
    for kind in &KINDS {
        traffic.spawn(hand_in(Arc::clone(&callers), kind, seed, traffic_ends));
    }
    let mut asking = JoinSet::new();
    while !is_over(&shared, traffic_ends) {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for (number, job) in check(&site, &shared).into_iter().enumerate() {
            let callers = Arc::clone(&callers);
            asking.spawn(async move { callers.ask(number, job).await });
        }
    }
    while traffic.join_next().await.is_some() {}
    let mut broken: Vec<String> = site
        .workers
        .violations()
        .iter()
        .map(ToString::to_string)
        .collect();
    while let Some(ended) = asking.join_next().await {
        broken.extend(ended.expect("it asks"));
    }
    let idle = lock(&shared.idle);
    println!(
        "seed {seed}: {} ended, {} open; answers {:?}; {} runs",
        idle.ended,
        idle.open(),
        lock(&shared.answers),
        site.workers.records().len(),
    );
    keep_logs(&site, seed);
    Play {
        idle: idle.found.clone(),
        broken,
    }
}

/// What a play has found.
struct Play {
    idle: Vec<Idle>,
    /// Promises that workers saw broken, and jobs that were not shown as completed.
    broken: Vec<String>,
}

fn is_over(shared: &Shared, traffic_ends: Instant) -> bool {
    let has_open = lock(&shared.idle).open() > 0;
    let now = Instant::now();
    now >= traffic_ends && (!has_open || now >= traffic_ends + FINISH)
}

/// Notes which jobs stand still; returns those whose tasks are all done.
fn check(site: &Site, shared: &Shared) -> Vec<Job> {
    let records = site.workers.records();
    let free = site.workers.free_capacity();
    let free_accelerators: u64 = free.iter().map(|worker| worker.free.gpu).sum();
    let accelerators = free.len().max(1) * ACCELERATORS;
    #[allow(clippy::cast_precision_loss, reason = "a few thousand accelerators")]
    let used_share = 1.0 - free_accelerators as f64 / accelerators as f64;
    let mut idle = lock(&shared.idle);
    let done = idle.take_done(&records);
    idle.check(&records, &free, used_share);
    done
}

fn keep_logs(site: &Site, seed: u64) {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{directory}/mixed-work-{seed}.log");
    let mut lines: Vec<String> = Vec::new();
    for (number, daemon) in site.daemons.iter().enumerate() {
        let log = daemon.log_lines("");
        lines.extend(
            log.iter()
                .filter_map(|line| line.split_once('T'))
                .map(|(_, rest)| {
                    let (time, rest) = rest.split_once("Z ").unwrap_or((rest, ""));
                    format!("{time} vm-{number} {rest}")
                }),
        );
    }
    lines.extend(site.workers.history_of(""));
    lines.sort();
    std::fs::write(&path, lines.join("\n")).expect("a file for the logs");
    println!("logs: {path}");
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// No accepted job stands still for three seconds while there is room for it twice over.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_stands_still_while_there_is_room_for_it_twice() {
    let given = std::env::var("STAIRSTALL_SITE_SEEDS").unwrap_or_default();
    let mut seeds: Vec<u64> = given
        .split(',')
        .filter_map(|seed| seed.parse().ok())
        .collect();
    if seeds.is_empty() {
        seeds = SEEDS.to_vec();
    }
    let limits = std::env::var("STAIRSTALL_SITE_LIMITS").is_ok();
    for seed in seeds {
        let play = play(seed, number("STAIRSTALL_SITE_SECONDS", SECONDS), limits).await;
        for found in &play.idle {
            let half = if found.fleet_half_empty {
                "HALF EMPTY "
            } else {
                ""
            };
            println!(
                "IDLE {half}{} for {:?}: {}",
                found.id, found.since, found.what
            );
        }
        assert!(play.broken.is_empty(), "seed {seed}: {:#?}", play.broken);
        let idle = play.idle.len();
        assert!(idle == 0, "seed {seed}: {idle} jobs stood still");
    }
}
