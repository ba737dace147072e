//! Work that limits how many of its tasks may be away waits for a guarantee only where a claim would lose by its start,
//! and a claim of what could be claimed begins in time, whatever was started meanwhile.
//!
//! Generated fleets with lasting work of several customers, other work, guarantees of a part or all of the
//! fleet, workers that are lost, and changes of planner. What could be claimed is counted from outside.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::WorkerId;
use stairstall_core::batch::{AcceptedJob, OrderKind, StepSpec, TaskKey};

use crate::guarantees::of_other;
use crate::harness::{Fleet, catalog, job, step, task};
use crate::idle_jobs::accepted_now;

/// Accelerators of a worker.
const ACCELERATORS: u32 = 8;
/// Longest time from the acceptance of a guaranteed job until it has begun, in milliseconds.
const START_LIMIT_MS: u64 = 3_400;
/// How long the fleet is left alone: lost workers' leases are over, and what may start has started.
const CALM_MS: u64 = 20_000;
const SEEDS: u64 = 150;
/// Of the first 6,000 seeds, those on which a task waits although a claim could spare its start.
const SEEDS_WITH_SHARED_WORKERS: [u64; 13] = [
    292, 1971, 2448, 2832, 3284, 3897, 4263, 4371, 4512, 4760, 4973, 5254, 5395,
];

/// A job whose tasks last.
struct Lasting {
    name: String,
    spec: StepSpec,
}

impl Lasting {
    fn tasks(&self) -> impl Iterator<Item = TaskKey> + '_ {
        (0..self.spec.count).map(|index| task(&self.name, 0, index))
    }

    fn may_be_away(&self) -> u32 {
        self.spec.max_unavailable.expect("it has a limit")
    }
}

struct World {
    fleet: Fleet,
    random: Pcg64Mcg,
    guaranteed: u32,
    lasting: Vec<Lasting>,
    accepted: Vec<AcceptedJob>,
}

/// By worker, the tasks there of each lasting job, by its index.
type Holders = BTreeMap<WorkerId, BTreeMap<usize, u32>>;

impl World {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let workers = random.random_range(4..=12);
        let names: Vec<String> = (0..workers).map(|index| format!("w{index:02}")).collect();
        let listed: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "r1")).collect();
        let mut fleet = Fleet::new(&listed);
        let guaranteed = ACCELERATORS * random.random_range(1..=workers);
        fleet.planner.set_catalog(Arc::new(catalog(guaranteed)));
        fleet.hold_all();
        Self {
            fleet,
            random,
            guaranteed,
            lasting: Vec::new(),
            accepted: Vec::new(),
        }
    }

    fn submit(&mut self, job: AcceptedJob) {
        let job = accepted_now(&self.fleet, job);
        self.fleet.submit(job.clone());
        self.accepted.push(job);
    }

    fn submit_lasting(&mut self) {
        for index in 0..self.random.random_range(1..=3) {
            let count = self.random.random_range(1..=5);
            let accelerators = [8, 8, 4, 1][self.random.random_range(0..4)];
            let spec = StepSpec {
                long_running: true,
                max_unavailable: Some(self.random.random_range(0..=2)),
                ..step(count, accelerators)
            };
            let name = format!("lasting{index}");
            self.submit(of_other(&name, 2, vec![spec.clone()]));
            self.lasting.push(Lasting { name, spec });
            self.fleet.pass(500);
        }
    }

    fn submit_others(&mut self) {
        let count = self.random.random_range(0..=4);
        if count > 0 {
            let spec = StepSpec {
                estimate_ms: 600_000,
                ..step(count, ACCELERATORS)
            };
            self.submit(of_other("others", 2, vec![spec]));
        }
    }

    /// Loses some workers for good.
    fn lose_workers(&mut self) {
        for _ in 0..self.random.random_range(0..=2) {
            let ids: Vec<WorkerId> = self.fleet.workers.keys().cloned().collect();
            let lost = &ids[self.random.random_range(0..ids.len())];
            self.fleet.crash_for(lost, 600_000);
            self.fleet.lose_crashed();
        }
    }

    fn change_planner(&mut self) {
        self.fleet.succeed(&self.accepted);
        let guaranteed = catalog(self.guaranteed);
        self.fleet.planner.set_catalog(Arc::new(guaranteed));
    }

    fn waiting(&self, lasting: &Lasting) -> u32 {
        let away = lasting
            .tasks()
            .filter(|task| self.fleet.place_of(task).is_none());
        u32::try_from(away.count()).expect("a few")
    }

    fn holders(&self) -> Holders {
        let mut holders = Holders::new();
        for id in self.fleet.workers.keys() {
            holders.insert(id.clone(), BTreeMap::new());
        }
        for (index, lasting) in self.lasting.iter().enumerate() {
            for place in lasting
                .tasks()
                .filter_map(|task| self.fleet.place_of(&task))
            {
                let on = holders.get_mut(&place).expect("it is there");
                *on.entry(index).or_default() += 1;
            }
        }
        holders
    }

    /// Returns how many whole workers could be claimed if the lasting work were so placed, with so many tasks of each
    /// job away.
    fn claimable(&self, holders: &Holders, away: &[u32]) -> u32 {
        let limits = self.lasting.iter().zip(away);
        let mut left: Vec<u32> = limits
            .map(|(lasting, away)| lasting.may_be_away().saturating_sub(*away))
            .collect();
        let mut workers: Vec<&BTreeMap<usize, u32>> = holders.values().collect();
        workers.sort_by_key(|counts| counts.values().sum::<u32>());
        let mut claimable = 0;
        for counts in workers {
            if counts.iter().all(|(index, count)| *count <= left[*index]) {
                for (index, count) in counts {
                    left[*index] -= count;
                }
                claimable += 1;
            }
        }
        claimable
    }

    fn away(&self) -> Vec<u32> {
        let away = self.lasting.iter().map(|lasting| self.waiting(lasting));
        away.collect()
    }

    fn free_accelerators(&self, id: &WorkerId) -> u32 {
        let running = self.fleet.workers[id].running.keys();
        let used = running.map(|task| {
            let of_job = |job: &&AcceptedJob| job.id == task.group.job;
            let job = self.accepted.iter().find(of_job).expect("it is known");
            job.spec.steps[0].needs.accelerators
        });
        ACCELERATORS - used.sum::<u32>()
    }

    /// Names the waiting tasks that could start on a worker and take nothing from a claim.
    fn refused_without_need(&self) -> Vec<String> {
        let holders = self.holders();
        let away = self.away();
        let before = self.claimable(&holders, &away);
        let kept = before.min(self.guaranteed / ACCELERATORS);
        let mut found = Vec::new();
        for (index, lasting) in self.lasting.iter().enumerate() {
            if away[index] == 0 {
                continue;
            }
            let needs = lasting.spec.needs.accelerators;
            for id in holders
                .keys()
                .filter(|id| self.free_accelerators(id) >= needs)
            {
                let mut with = holders.clone();
                *with
                    .get_mut(id)
                    .expect("it is there")
                    .entry(index)
                    .or_default() += 1;
                let mut away = away.clone();
                away[index] -= 1;
                if self.claimable(&with, &away) >= kept {
                    let lasting = &lasting.name;
                    found.push(format!(
                        "{lasting} waits and could start on {id}: {before} claimable"
                    ));
                }
            }
        }
        found
    }

    fn running(&self, name: &str, count: u32) -> usize {
        let tasks = (0..count).map(|index| task(name, 0, index));
        tasks
            .filter(|task| self.fleet.place_of(task).is_some())
            .count()
    }

    /// Claims so many whole workers; returns how many of the tasks have begun in time.
    fn claim(&mut self, workers: u32) -> usize {
        let spec = StepSpec {
            estimate_ms: 600_000,
            ..step(workers, ACCELERATORS)
        };
        self.submit(job("claim", 0, vec![spec]));
        let until_ms = self.fleet.at_ms + START_LIMIT_MS;
        while self.running("claim", workers) < workers as usize && self.fleet.at_ms < until_ms {
            self.fleet.pass(100);
        }
        self.running("claim", workers)
    }

    /// Returns the lasting jobs of which more tasks were stopped than may be away.
    fn overstopped(&self) -> Vec<&str> {
        let stopped = |lasting: &&Lasting| {
            let tasks: BTreeSet<TaskKey> = lasting.tasks().collect();
            let stops = self.fleet.given.iter();
            let stops = stops.filter(|order| order.kind == OrderKind::Stop);
            let stops = stops.filter(|order| tasks.contains(&order.task));
            stops.count() > lasting.may_be_away() as usize
        };
        self.lasting
            .iter()
            .filter(stopped)
            .map(|l| l.name.as_str())
            .collect()
    }
}

/// Plays the day of a seed; returns what was broken.
fn play(seed: u64) -> Vec<String> {
    let mut world = World::new(seed);
    world.submit_lasting();
    if world.random.random_range(0..2) == 0 {
        world.submit_others();
    }
    world.fleet.pass(CALM_MS);
    world.lose_workers();
    if world.random.random_range(0..3) == 0 {
        world.change_planner();
    }
    // What a claim could get just then: nothing that starts later may take it away.
    world.fleet.pass(200);
    let before = world.claimable(&world.holders(), &world.away());
    world.fleet.pass(CALM_MS);
    let mut broken = world.refused_without_need();
    let wanted = before.min(world.guaranteed / ACCELERATORS);
    if wanted > 0 {
        let begun = world.claim(wanted);
        if begun < wanted as usize {
            broken.push(format!("{begun} of {wanted} tasks of a claim have begun"));
        }
    }
    let overstopped = world.overstopped().into_iter();
    broken.extend(overstopped.map(|name| format!("too many tasks of {name} were stopped")));
    broken
}

fn check(seeds: impl IntoIterator<Item = u64>) {
    let mut broken = Vec::new();
    for seed in seeds {
        let found = play(seed).into_iter();
        broken.extend(found.map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn no_start_is_refused_that_a_claim_can_spare_and_none_takes_what_it_needs() {
    check(0..SEEDS);
}

/// In the fleets seen, tasks of several lasting jobs share workers: which of them a claim would preempt decides how
/// many whole workers it gets.
#[test]
fn no_start_is_refused_that_a_claim_can_spare_where_lasting_jobs_share_workers() {
    check(SEEDS_WITH_SHARED_WORKERS);
}
