//! How the pace of workers is learnt from what runs there do.

use std::time::Duration;

use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use stairstall_core::batch::{
    GroupKey, Policy, ProgressSample, RunProgress, StoredPace, WorkerPacePolicy, WorkerPaces,
};
use stairstall_core::{Timestamp, WorkerId};

/// Work of a task at a worker of usual pace.
const WORK: Duration = Duration::from_secs(5);
/// How many times as long it takes at a slow worker.
const SLOW: f64 = 2.4;

fn worker(index: usize) -> WorkerId {
    format!("w{index}").parse().expect("an id")
}

fn step(number: usize) -> GroupKey {
    GroupKey {
        job: format!("j{number}").parse().expect("an id"),
        occurrence: 0,
        step: 0,
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Workers, one in three of which is slow, and what one task after the other shows there.
struct Load {
    paces: WorkerPaces,
    factors: Vec<f64>,
    random: Pcg64,
    steps: usize,
    runs: u64,
    at_ms: u64,
}

impl Load {
    fn new(workers: usize, seed: u64) -> Self {
        let factor = |index| if index % 3 == 2 { SLOW } else { 1.0 };
        Self {
            paces: WorkerPaces::new(WorkerPacePolicy::default()),
            factors: (0..workers).map(factor).collect(),
            random: Pcg64::seed_from_u64(seed),
            steps: 0,
            runs: 0,
            at_ms: 0,
        }
    }

    /// How long a task takes beside its like: up to 30% more or less, and 3 in 100 seven times.
    fn unevenness(&mut self) -> f64 {
        let odd = if self.random.random_bool(0.03) {
            7.0
        } else {
            1.0
        };
        self.random.random_range(0.7..1.3) * odd
    }

    /// Lets a step run to its end, a task at each of these workers, whose work is of a size of its own.
    fn run_step(&mut self, at_workers: &[usize]) {
        self.steps += 1;
        let size = self.random.random_range(0.5..2.0);
        let ids: Vec<WorkerId> = at_workers.iter().map(|index| worker(*index)).collect();
        let spans: Vec<Duration> = at_workers
            .iter()
            .map(|index| WORK.mul_f64(size * self.factors[*index] * self.unevenness()))
            .collect();
        let shown: Vec<RunProgress<'_>> = (self.runs..)
            .zip(ids.iter().zip(&spans))
            .map(|(run, (id, span))| RunProgress {
                worker: id,
                projected_total: Some(*span),
                sample: ProgressSample::new(run, 100, *span),
                expected: WORK,
            })
            .collect();
        self.runs += at_workers.len() as u64;
        let now = at(self.at_ms);
        self.paces.learn_from_step(&step(self.steps), &shown, now);
        self.paces.recenter(now);
    }

    /// Lets steps run at workers drawn from a range, one every 100 ms.
    fn run_steps(&mut self, count: usize, from: std::ops::Range<usize>, width: usize) {
        for _ in 0..count {
            self.at_ms += 100;
            let drawn: Vec<usize> = (0..width)
                .map(|_| self.random.random_range(from.clone()))
                .collect();
            self.run_step(&drawn);
        }
    }

    fn factor(&self, index: usize) -> f64 {
        self.paces.pace(&worker(index), at(self.at_ms)).factor
    }

    /// Counts workers that are known for what they are, and those that are taken for what they aren't.
    fn right_and_wrong(&self) -> (usize, usize) {
        let is_slow = |index: usize| self.factor(index) > 1.6;
        let knows = |index: usize| self.paces.pace(&worker(index), at(self.at_ms)).is_known;
        let known = (0..self.factors.len()).filter(|index| knows(*index));
        let (right, wrong): (Vec<_>, Vec<_>) =
            known.partition(|index| is_slow(*index) == (self.factors[*index] > 1.6));
        (right.len(), wrong.len())
    }
}

#[test]
fn most_workers_of_an_uneven_fleet_are_known_after_two_tasks_each() {
    for seed in 0..20 {
        let mut load = Load::new(350, seed);
        load.run_steps(20, 0..350, 40);
        let (right, wrong) = load.right_and_wrong();
        assert!(right >= 260, "seed {seed}: {right} right, {wrong} wrong");
        assert!(
            wrong * 20 <= right,
            "seed {seed}: {right} right, {wrong} wrong"
        );
        assert!(load.paces.is_heterogeneous(), "seed {seed}");
    }
}

#[test]
fn one_odd_task_makes_no_worker_slow() {
    let mut load = Load::new(30, 1);
    load.factors.fill(1.0);
    load.run_steps(10, 0..30, 40);
    let odd = worker(4);
    let shown = |span: Duration, id, run| RunProgress {
        worker: id,
        projected_total: Some(span),
        sample: ProgressSample::new(run, 100, span),
        expected: WORK,
    };
    let others: Vec<WorkerId> = (10..30).map(worker).collect();
    let mut runs: Vec<RunProgress<'_>> = (0..)
        .zip(&others)
        .map(|(run, id)| shown(WORK, id, 9_000 + run))
        .collect();
    runs.push(shown(WORK * 7, &odd, 9_999));
    load.paces
        .learn_from_step(&step(999), &runs, at(load.at_ms));
    assert!((load.factor(4) - 1.0).abs() < 1e-9, "{}", load.factor(4));
}

#[test]
fn a_worker_that_turns_slow_and_sound_again_is_relearnt_within_a_few_tasks() {
    for seed in 0..20 {
        let mut load = Load::new(60, seed);
        load.run_steps(20, 0..60, 40);
        load.factors[0] = SLOW;
        for _ in 0..4 {
            load.at_ms += 1_000;
            load.run_step(&[0, 1, 3, 4, 6, 7, 9, 10, 12, 13]);
        }
        assert!(load.factor(0) > 1.6, "seed {seed}: {}", load.factor(0));
        load.factors[0] = 1.0;
        for _ in 0..4 {
            load.at_ms += 1_000;
            load.run_step(&[0, 1, 3, 4, 6, 7, 9, 10, 12, 13]);
        }
        assert!(load.factor(0) < 1.6, "seed {seed}: {}", load.factor(0));
    }
}

#[test]
fn slow_workers_that_get_a_kind_of_work_among_themselves_stay_slow() {
    let mut load = Load::new(60, 3);
    load.run_steps(30, 0..60, 40);
    let slow: Vec<usize> = (0..60).filter(|index| index % 3 == 2).collect();
    let sound: Vec<usize> = (0..60).filter(|index| index % 3 != 2).collect();
    for _ in 0..200 {
        load.at_ms += 100;
        load.run_step(&slow);
        load.run_step(&sound);
    }
    let (right, wrong) = load.right_and_wrong();
    assert_eq!((right, wrong), (60, 0));
}

#[test]
fn the_last_runs_of_a_step_are_judged_by_its_level() {
    let mut load = Load::new(60, 4);
    let slow: Vec<WorkerId> = [2, 5].into_iter().map(worker).collect();
    let sound: Vec<WorkerId> = (0..9).map(|index| worker(3 * index)).collect();
    let whole = |index: &WorkerId| {
        let factor = if slow.contains(index) { SLOW } else { 1.0 };
        Some(WORK.mul_f64(factor))
    };
    let begun: Vec<RunProgress<'_>> = sound
        .iter()
        .chain(&slow)
        .map(|id| RunProgress {
            worker: id,
            projected_total: whole(id),
            sample: None,
            expected: WORK,
        })
        .collect();
    load.paces.learn_from_step(&step(1), &begun, at(2_000));
    let last: Vec<RunProgress<'_>> = (0..)
        .zip(&slow)
        .map(|(run, id)| RunProgress {
            worker: id,
            projected_total: whole(id),
            sample: ProgressSample::new(run, 100, WORK.mul_f64(SLOW)),
            expected: WORK,
        })
        .collect();
    load.paces.learn_from_step(&step(1), &last, at(12_000));
    for id in &slow {
        assert!(load.paces.pace(id, at(12_000)).factor > 1.6);
    }
}

#[test]
fn a_fast_gang_clears_its_members_and_a_slow_one_blames_only_the_one_unknown() {
    let mut load = Load::new(30, 5);
    load.run_steps(20, 0..30, 40);
    let members: Vec<WorkerId> = [0, 1, 40].into_iter().map(worker).collect();
    let members: Vec<&WorkerId> = members.iter().collect();
    let now = at(load.at_ms);
    let known_before = load.paces.pace(members[0], now);
    for run in 0..3 {
        let stretch = ProgressSample::new(run, 100, WORK.mul_f64(SLOW)).expect("sound");
        load.paces.learn_from_gang(&members, &stretch, WORK, now);
    }
    assert_eq!(load.paces.pace(members[0], now), known_before);
    let unknown = load.paces.pace(members[2], now);
    assert!(!unknown.is_known, "a gang alone never says enough");
}

#[test]
fn what_is_kept_is_known_to_the_next_planner() {
    let mut load = Load::new(90, 6);
    load.run_steps(30, 0..90, 40);
    let now = at(load.at_ms);
    let kept = load.paces.to_stored(now);
    let text = serde_json::to_string(&kept).expect("it is written");
    let read: Vec<StoredPace> = serde_json::from_str(&text).expect("it is read");
    let mut next = WorkerPaces::new(WorkerPacePolicy::default());
    next.restore(read, Duration::ZERO, at(5));
    for index in 0..90 {
        let before = load.paces.pace(&worker(index), now);
        let after = next.pace(&worker(index), at(5));
        assert_eq!(
            before.differs_from_typical(),
            after.differs_from_typical(),
            "worker {index}"
        );
    }
    assert_eq!(next.is_heterogeneous(), load.paces.is_heterogeneous());
}

#[test]
fn a_new_life_keeps_half_of_what_was_known() {
    let mut load = Load::new(60, 7);
    load.run_steps(30, 0..60, 40);
    let now = at(load.at_ms);
    let spread = |paces: &WorkerPaces| {
        let kept = paces.to_stored(now);
        kept.iter()
            .find(|pace| pace.worker == worker(2))
            .map(|pace| pace.spread_percent)
    };
    let before = spread(&load.paces).expect("it is known");
    load.paces.record_restart(&worker(2), now);
    assert!(spread(&load.paces).is_none_or(|after| after > before));
    load.paces.forget(&worker(2));
    assert!(!load.paces.pace(&worker(2), now).is_known);
}

#[test]
fn an_even_fleet_is_never_taken_for_uneven() {
    for seed in 0..40 {
        let mut load = Load::new(350, seed);
        load.factors.fill(1.0);
        for _ in 0..300 {
            load.run_steps(1, 0..350, 40);
            let seen = load.paces.summary();
            assert!(!seen.is_heterogeneous, "seed {seed}: {seen:?}");
        }
    }
}

#[test]
fn values_that_do_not_go_together_are_named() {
    let with = |pace: WorkerPacePolicy| Policy {
        worker_pace: pace,
        ..Policy::default()
    };
    let pace = WorkerPacePolicy::default();
    assert!(with(pace).check().is_ok());
    let wrong = [
        WorkerPacePolicy {
            slow_percent: 99,
            ..pace
        },
        WorkerPacePolicy {
            slack_percent: 99,
            ..pace
        },
        WorkerPacePolicy {
            min_progress_percent: 0,
            ..pace
        },
        WorkerPacePolicy {
            min_progress_percent: 101,
            ..pace
        },
        WorkerPacePolicy {
            task_spread_percent: 0,
            ..pace
        },
        WorkerPacePolicy {
            known_spread_percent: 0,
            ..pace
        },
        WorkerPacePolicy {
            forgotten_after: Duration::ZERO,
            ..pace
        },
    ];
    for pace in wrong {
        assert!(with(pace).check().is_err(), "{pace:?}");
    }
}

#[test]
fn no_more_workers_are_kept_than_may_be() {
    let mut load = Load::new(6_000, 8);
    for first in (0..6_000).step_by(40) {
        let width: Vec<usize> = (first..first + 40).collect();
        load.at_ms += 1;
        load.run_step(&width);
        load.run_step(&width);
    }
    assert!(load.paces.summary().known <= 4_096);
    assert!(load.paces.to_stored(at(load.at_ms)).len() <= 512);
}

quickcheck! {
    fn nonsense_changes_nothing(gained: u8, took_ms: u16, share: f64) -> bool {
        let mut load = Load::new(30, 9);
        load.run_steps(10, 0..30, 40);
        let now = at(load.at_ms);
        let before = load.paces.to_stored(now);
        let is_sound = (1..=100).contains(&gained) && took_ms > 0;
        let told = ProgressSample::new(1, gained, Duration::from_millis(took_ms.into()));
        let odd = ProgressSample { run: 1, projected_total: Duration::ZERO, fraction: share };
        let id = worker(0);
        let run = RunProgress { worker: &id, projected_total: None, sample: Some(odd), expected: WORK };
        load.paces.learn_from_step(&step(1_000), &[run], now);
        load.paces.learn_from_gang(&[&id], &odd, WORK, now);
        told.is_some() == is_sound && load.paces.to_stored(now) == before
    }

    fn a_factor_is_always_a_sound_number(spans: Vec<(u8, u32)>) -> bool {
        let mut paces = WorkerPaces::new(WorkerPacePolicy::default());
        let ids: Vec<WorkerId> = (0..5).map(worker).collect();
        let mut at_ms = 0;
        for (run, (which, span_ms)) in (0..).zip(spans) {
            at_ms += 50;
            let span = Duration::from_millis(u64::from(span_ms));
            let shown: Vec<RunProgress<'_>> = ids
                .iter()
                .map(|id| RunProgress {
                    worker: id,
                    projected_total: Some(span),
                    sample: ProgressSample::new(run, which % 101, span),
                    expected: WORK,
                })
                .collect();
            paces.learn_from_step(&step(usize::from(which)), &shown, at(at_ms));
            paces.recenter(at(at_ms));
        }
        let sound = |factor: f64| factor.is_finite() && factor > 0.0;
        ids.iter().all(|id| sound(paces.pace(id, at(at_ms)).factor))
    }
}
