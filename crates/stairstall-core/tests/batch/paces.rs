//! Workers that take longer than others for the same work: found out, and places chosen by it.
//!
//! The load replayed here: one worker in three takes 2.4 times as long, urgent gangs of whole workers
//! may take half as long again as their work, and tasks that fill run beside them for 5 s. Every gang
//! started at once, and most were late, since one slow member makes a gang slow.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::WorkerId;
use stairstall_core::batch::{
    AcceptedJob, DecisionKind, LearnedEstimates, Now, OrderKind, Policy, RunEndKind, StepSpec,
    StoredPace, TaskKey, WorkerPacePolicy,
};

use crate::harness::{FakeWorker, Fleet, SPAN_MS, gang, job, step, task};

/// How many times as long work takes at a slow worker, in percent.
const SLOW_PERCENT: u16 = 240;
/// Workers of the fleet that the load is played on.
const FLEET: usize = 60;

/// Names of workers, and of their racks.
fn names(count: usize) -> Vec<(String, String)> {
    let rack = |index: usize| format!("r{}", index / 12);
    (0..count)
        .map(|index| (format!("w{index:02}"), rack(index)))
        .collect()
}

fn fleet_of(count: usize) -> Fleet {
    let names = names(count);
    let workers: Vec<(&str, &str)> = names
        .iter()
        .map(|(name, rack)| (name.as_str(), rack.as_str()))
        .collect();
    Fleet::new(&workers)
}

fn id(name: &str) -> WorkerId {
    name.parse().expect("an id")
}

fn stops(fleet: &Fleet) -> usize {
    let orders = fleet.given.iter();
    orders.filter(|order| order.kind == OrderKind::Stop).count()
}

fn kept(name: &str, factor_percent: u16) -> StoredPace {
    StoredPace {
        worker: id(name),
        factor_percent,
        spread_percent: 10,
        runs: 9,
    }
}

/// Tells the planner what one before it knew of paces a moment ago.
fn restore(fleet: &mut Fleet, paces: Vec<StoredPace>, now: Now) {
    let learnt = LearnedEstimates {
        at_unix_ms: now.unix_ms,
        paces,
        ..LearnedEstimates::default()
    };
    fleet.planner.restore_learned_estimates(learnt, now);
}

/// A fleet whose workers are known: the first `sound` of usual pace, then `slow` slow ones.
fn known(sound: usize, slow: usize) -> Fleet {
    let mut fleet = fleet_of(sound + slow);
    let names = names(sound + slow);
    let paces = (0..).zip(&names).map(|(index, (name, _))| {
        let factor = if index < sound { 100 } else { SLOW_PERCENT };
        kept(name, factor)
    });
    let now = fleet.now();
    restore(&mut fleet, paces.collect(), now);
    fleet.hold_all();
    fleet
}

/// A job whose objective is so many times its work, and a little.
fn job_of(name: &str, priority: u8, stretch: f64, steps: Vec<StepSpec>) -> AcceptedJob {
    let mut job = job(name, priority, steps);
    job.queue.stretch = stretch;
    job.queue.target_ms = 300;
    job
}

fn urgent(name: &str, width: u32) -> AcceptedJob {
    job_of(name, 0, 1.5, vec![gang(width, 8)])
}

/// Names the workers that have tasks of a job's first step.
fn places(fleet: &Fleet, name: &str, count: u32) -> Vec<String> {
    let mut places: Vec<String> = (0..count)
        .filter_map(|index| fleet.place_of(&task(name, 0, index)))
        .map(|id| id.to_string())
        .collect();
    places.sort();
    places.dedup();
    places
}

#[test]
fn an_urgent_gang_goes_on_workers_that_are_known_to_be_sound() {
    let mut fleet = known(5, 4);
    fleet.submit(urgent("j", 4));
    assert_eq!(places(&fleet, "j", 4), ["w00", "w01", "w02", "w03"]);
    assert_eq!(stops(&fleet), 0);
}

#[test]
fn a_gang_that_has_time_goes_on_slow_workers_and_on_no_others() {
    let mut fleet = known(5, 4);
    fleet.submit(job_of("j", 1, 4.0, vec![gang(4, 8)]));
    assert_eq!(places(&fleet, "j", 4), ["w05", "w06", "w07", "w08"]);
}

#[test]
fn a_gang_that_would_end_late_on_slow_workers_goes_on_sound_ones() {
    let mut fleet = known(5, 4);
    fleet.submit(job_of("j", 1, 2.0, vec![gang(4, 8)]));
    assert_eq!(places(&fleet, "j", 4), ["w00", "w01", "w02", "w03"]);
}

#[test]
fn single_tasks_that_have_time_leave_sound_workers_to_urgent_ones() {
    let mut fleet = known(3, 3);
    fleet.submit(job_of("batch", 2, 4.0, vec![step(16, 1)]));
    assert_eq!(places(&fleet, "batch", 16), ["w03", "w04"]);
    fleet.submit(job_of("j", 0, 1.5, vec![step(4, 1)]));
    let used = places(&fleet, "j", 4);
    assert!(used.iter().all(|id| id.as_str() < "w03"), "{used:?}");
}

#[test]
fn an_urgent_gang_stops_other_work_on_sound_workers_rather_than_end_late() {
    let mut fleet = known(3, 3);
    fleet.submit(job_of("batch", 2, 2.0, vec![step(24, 1)]));
    assert_eq!(places(&fleet, "batch", 24), ["w00", "w01", "w02"]);
    fleet.submit(urgent("j", 2));
    fleet.pass(400);
    let used = places(&fleet, "j", 2);
    assert!(used.len() == 2 && used[1].as_str() < "w03", "{used:?}");
    assert!(stops(&fleet) > 0);
}

#[test]
fn an_urgent_gang_starts_late_on_slow_workers_rather_than_throw_more_away() {
    let mut fleet = known(3, 3);
    fleet.submit(job_of("batch", 2, 2.0, vec![step(24, 1)]));
    fleet.pass(18_000);
    let mut late = urgent("j", 2);
    late.accepted_unix_ms = fleet.now().unix_ms;
    fleet.submit(late);
    fleet.pass(400);
    assert_eq!(places(&fleet, "j", 2), ["w03", "w04"]);
    assert_eq!(stops(&fleet), 0);
}

#[test]
fn the_place_line_says_the_pace_that_was_counted_on() {
    let mut fleet = known(5, 4);
    fleet.submit(job_of("slow", 1, 4.0, vec![gang(4, 8)]));
    fleet.submit(urgent("sound", 4));
    let decisions = fleet.planner.take_decisions();
    let of = |name: &str| -> Vec<String> {
        let places = decisions.iter().filter(|d| d.kind == DecisionKind::Place);
        places
            .filter(|d| d.job.as_ref().is_some_and(|id| id.as_str() == name))
            .map(|d| d.why.clone())
            .collect()
    };
    assert!(of("slow").iter().all(|why| why.contains("pace 2.40")));
    assert!(of("sound").iter().all(|why| !why.contains("pace")));
    assert_eq!(fleet.planner.pace_summary().slow, 4);
}

#[test]
fn single_tasks_that_have_time_find_out_about_unknown_workers_one_each() {
    let mut fleet = fleet_of(24);
    let known = [("w00", 100), ("w01", 240), ("w02", 240), ("w03", 240)];
    let now = fleet.now();
    let paces = known.map(|(name, factor)| kept(name, factor)).to_vec();
    restore(&mut fleet, paces, now);
    fleet.hold_all();
    fleet.submit(job_of("batch", 2, 4.0, vec![step(20, 1)]));
    let used = places(&fleet, "batch", 20);
    assert_eq!(used.len(), 20, "{used:?}");
    assert!(!used.contains(&"w00".to_owned()), "{used:?}");
}

#[test]
fn a_run_at_a_slow_worker_is_judged_by_that_worker() {
    for (percent, moves) in [(SLOW_PERCENT, 0), (100, 1)] {
        let mut fleet = fleet_of(8);
        let now = fleet.now();
        let mut paces: Vec<StoredPace> = names(8).iter().map(|w| kept(&w.0, 100)).collect();
        for pace in &mut paces[..3] {
            pace.factor_percent = percent;
        }
        restore(&mut fleet, paces, now);
        fleet.hold_all();
        fleet.submit(job("j", 2, vec![step(8, 8)]));
        // 3.5 times as long as the others: half as long again as its worker explains.
        fleet.worker("w00").span_ms = Some(SPAN_MS * 7 / 2);
        fleet.pass(2_000);
        let stopped = fleet.given.iter().filter(|o| o.kind == OrderKind::Stop);
        let stopped = stopped.filter(|order| order.worker == id("w00"));
        assert_eq!(stopped.count(), moves, "{percent}");
    }
}

#[test]
fn a_task_that_is_slow_at_a_second_known_worker_too_stays_there() {
    let mut fleet = known(6, 3);
    let mut like = step(4, 8);
    like.estimate_ms = 100_000;
    fleet.submit(job_of("j", 2, 2.0, vec![like]));
    let odd = task("j", 0, 0);
    // Wherever it goes: the others stay where they are.
    let elsewhere = |worker: &FakeWorker| {
        let mut running = worker.running.keys();
        running.all(|task| *task == odd)
    };
    let slow = fleet.workers.values_mut();
    for worker in slow.filter(|worker| elsewhere(worker)) {
        worker.span_ms = Some(SPAN_MS * 7);
    }
    fleet.pass(12_000);
    let stopped = fleet.given.iter().filter(|o| o.kind == OrderKind::Stop);
    let stopped: Vec<_> = stopped.filter(|order| order.task == odd).collect();
    assert_eq!(stopped.len(), 1, "{stopped:?}");
}

/// Returns what a run gets on by in a time, of a work that takes so long there, as harness workers count.
fn gained_ms(passed: Duration, whole: Duration) -> u64 {
    let gained = passed * u32::try_from(SPAN_MS).expect("it is short");
    u64::try_from(gained.as_micros() / whole.as_micros().max(1)).expect("it is short")
}

/// Names the task that stands for all that go at one pace.
fn first_of(task: &TaskKey) -> TaskKey {
    let is_gang = task.group.job.as_str().starts_with("urgent");
    task.group.task(if is_gang { 0 } else { task.index })
}

/// The load, played on a fleet whose workers take their own time.
struct Play {
    fleet: Fleet,
    factors: BTreeMap<WorkerId, f64>,
    /// How long each task should take at a sound worker, in milliseconds.
    work_ms: BTreeMap<TaskKey, f64>,
    random: Pcg64Mcg,
    /// Urgent jobs: when they came, and how wide they are.
    urgent: Vec<(String, u64, u32)>,
    in_time: usize,
    late: usize,
    jobs: Vec<AcceptedJob>,
    count: usize,
    at_ms: u64,
}

const URGENT_MS: u64 = 2_000;
const BATCH_MS: u64 = 5_000;

impl Play {
    fn new(learns: bool, slow: bool, seed: u64) -> Self {
        let mut fleet = fleet_of(FLEET);
        let policy = Policy {
            worker_pace: WorkerPacePolicy {
                enabled: learns,
                ..WorkerPacePolicy::default()
            },
            ..Policy::default()
        };
        fleet.planner = fleet.planner.clone().with_policy(policy);
        fleet.hold_all();
        let factor = |index| if slow && index % 3 == 1 { 2.4 } else { 1.0 };
        let factors = (0..).zip(names(FLEET));
        let factors = factors.map(|(index, (name, _))| (id(&name), factor(index)));
        Self {
            factors: factors.collect(),
            at_ms: fleet.at_ms,
            fleet,
            work_ms: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            urgent: Vec::new(),
            in_time: 0,
            late: 0,
            jobs: Vec::new(),
            count: 0,
        }
    }

    fn submit(&mut self, mut job: AcceptedJob, estimate_ms: u64) {
        job.accepted_unix_ms = self.fleet.now().unix_ms;
        job.spec.steps[0].estimate_ms = estimate_ms;
        self.jobs.push(job.clone());
        self.fleet.submit(job);
    }

    fn submit_batch(&mut self) {
        self.count += 1;
        let name = format!("batch-{}", self.count);
        for index in 0..40 {
            let odd = if self.random.random_bool(0.03) {
                7.0
            } else {
                1.0
            };
            let uneven = self.random.random_range(0.7..1.3) * odd;
            let work = 5_000.0 * uneven;
            self.work_ms.insert(task(&name, 0, index), work);
        }
        self.submit(job_of(&name, 2, 4.0, vec![step(40, 1)]), BATCH_MS);
    }

    fn submit_urgent(&mut self) {
        self.count += 1;
        let name = format!("urgent-{}", self.count);
        let width = self.random.random_range(2..6);
        for index in 0..width {
            self.work_ms.insert(task(&name, 0, index), 2_000.0);
        }
        self.urgent.push((name.clone(), self.fleet.at_ms, width));
        self.submit(urgent(&name, width), URGENT_MS);
    }

    /// Lets all that runs get on for the time that has passed; gangs go at their slowest member's pace.
    fn work(&mut self) {
        let passed = Duration::from_millis(self.fleet.at_ms - self.at_ms);
        self.at_ms = self.fleet.at_ms;
        let mut speed = BTreeMap::<TaskKey, f64>::new();
        for (worker, life) in &self.fleet.workers {
            for task in life.running.keys() {
                let first = first_of(task);
                let here = 1.0 / self.factors[worker];
                let slowest = speed.entry(first).or_insert(here);
                *slowest = slowest.min(here);
            }
        }
        let mut done = Vec::new();
        let workers = std::mem::take(&mut self.fleet.workers);
        self.fleet.workers = workers
            .into_iter()
            .map(|(worker, mut life)| {
                for (task, (_, worked_ms, _)) in &mut life.running {
                    let speed = speed[&first_of(task)];
                    let whole = Duration::from_secs_f64(self.work_ms[task] / speed / 1_000.0);
                    *worked_ms += gained_ms(passed, whole);
                    if *worked_ms >= SPAN_MS {
                        *worked_ms = SPAN_MS;
                        done.push(task.clone());
                    }
                }
                (worker, life)
            })
            .collect();
        for task in done {
            if self.fleet.place_of(&task).is_some() {
                self.fleet.end_everywhere(&task, RunEndKind::Done);
                self.note_end(&task);
            }
        }
    }

    fn note_end(&mut self, task: &TaskKey) {
        let job = task.group.job.as_str();
        if let Some((_, came_ms, _)) = self.urgent.iter().find(|(name, ..)| name == job) {
            if self.fleet.at_ms - came_ms <= URGENT_MS * 3 / 2 + 300 {
                self.in_time += 1;
            } else {
                self.late += 1;
            }
        }
    }

    /// Lets seconds pass with about half of the fleet free: a step that fills every 2.5 s, an urgent gang every second.
    fn pass(&mut self, seconds: u64) {
        let until = self.fleet.at_ms + seconds * 1_000;
        let mut next_batch = self.fleet.at_ms;
        let mut next_urgent = self.fleet.at_ms + 500;
        while self.fleet.at_ms < until {
            self.fleet.at_ms += 50;
            self.work();
            self.fleet.hold_all();
            self.fleet.settle();
            if self.fleet.at_ms >= next_batch {
                next_batch += 2_500;
                self.submit_batch();
            }
            if self.fleet.at_ms >= next_urgent {
                next_urgent += 1_000;
                self.submit_urgent();
            }
        }
    }

    fn forget_counts(&mut self) {
        (self.in_time, self.late) = (0, 0);
    }

    /// Returns how many of the urgent gangs that have ended were in time, in percent.
    fn percent_in_time(&self) -> usize {
        self.in_time * 100 / (self.in_time + self.late).max(1)
    }

    /// Says which workers were given to whom.
    fn placed(&mut self) -> Vec<(TaskKey, WorkerId)> {
        let decisions = self.fleet.planner.take_decisions().into_iter();
        let places = decisions.filter(|decision| decision.kind == DecisionKind::Place);
        places
            .filter_map(|place| Some((place.task?, place.worker?)))
            .collect()
    }
}

#[test]
fn urgent_gangs_are_in_time_on_a_fleet_of_two_paces_once_it_is_known() {
    for seed in 0..4 {
        let [blind, learnt] = [false, true].map(|learns| {
            let mut play = Play::new(learns, true, seed);
            play.pass(8);
            play.forget_counts();
            play.pass(30);
            play.percent_in_time()
        });
        assert!(blind <= 60, "seed {seed}: {blind}% without");
        assert!(
            learnt >= 85,
            "seed {seed}: {learnt}% in time, {blind}% without"
        );
    }
}

#[test]
fn an_even_fleet_is_placed_as_if_nothing_were_learnt() {
    for seed in 0..6 {
        let [blind, learnt] = [false, true].map(|learns| {
            let mut play = Play::new(learns, false, seed);
            play.pass(20);
            play.placed()
        });
        assert!(blind.len() > 200, "{}", blind.len());
        let first = blind.iter().zip(&learnt).find(|(a, b)| a != b);
        assert!(first.is_none(), "seed {seed}: {first:?}");
        assert_eq!(blind.len(), learnt.len(), "seed {seed}");
    }
}

#[test]
fn urgent_gangs_leave_a_worker_that_turns_slow_under_its_id() {
    let mut play = Play::new(true, true, 11);
    play.pass(12);
    for name in ["w00", "w03"] {
        play.factors.insert(id(name), 2.4);
    }
    play.pass(12);
    play.forget_counts();
    play.pass(20);
    let in_time = play.percent_in_time();
    assert!(in_time >= 80, "{in_time}%");
}

#[test]
fn a_worker_that_comes_back_under_its_id_is_still_known() {
    let mut fleet = known(5, 4);
    fleet.keeps_ids = true;
    fleet.crash_for(&id("w05"), 700);
    fleet.pass(1_200);
    let slow = fleet.planner.paces().pace(&id("w05"), fleet.now().at);
    assert!(slow.is_slow());
    fleet.submit(urgent("j", 4));
    assert_eq!(places(&fleet, "j", 4), ["w00", "w01", "w02", "w03"]);
}

#[test]
fn a_new_planner_that_is_told_the_paces_places_by_them_at_once() {
    let mut play = Play::new(true, true, 12);
    play.pass(15);
    let now = play.fleet.now();
    let kept = play.fleet.planner.paces().to_stored(now.at);
    assert!(kept.iter().filter(|pace| pace.factor_percent > 150).count() >= 4);
    let jobs = play.jobs.clone();
    play.fleet.succeed(&jobs);
    let now = play.fleet.now();
    restore(&mut play.fleet, kept, now);
    play.fleet.hold_all();
    play.fleet.pass(0);
    play.forget_counts();
    play.pass(6);
    let in_time = play.percent_in_time();
    assert!(in_time >= 80, "{in_time}%");
}
