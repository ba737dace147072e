//! Workers that crash and start again under the id that they had.
//!
//! Two urgent tasks ran twice although their ends as done had been taken note of, and gangs that had
//! ended stood still for 80 s with most room free. The workers concerned had started again under
//! their ids, and a new life numbers its ends from 1: the planner compared them with the highest number
//! that it had heard from the life before and passed them over. Passed over, an end stays listed, so its run
//! counted as still there and its task waited for ever; once a later end had a higher number, the
//! worker was told to forget them all, and the run counted as lost: "done; 92 percent" of one task
//! and "lapsed; the worker does not know it; 96 percent" of another that had ended 0.6 s before stood
//! in one report. A probe settled the rest: "seen 1 request 4 listed [(1, Done)]", the same in every report.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stairstall_core::WorkerId;
use stairstall_core::batch::{
    CallerState, DecisionKind, Incarnation, OrderKind, Outcome, RunEnd, RunEndKind, RunPlacement,
    StartOutcome, WorkerReport,
};

use crate::harness::{Fleet, START_UNIX_MS, gang, id, job, step, task};

const COMPLETED: Option<CallerState> = Some(CallerState::Ended(Outcome::Completed));
/// How long a worker is away that crashes and is still listed when it is back.
const AWAY_MS: u64 = 700;

fn fleet(workers: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::new(workers);
    fleet.keeps_ids = true;
    fleet.hold_all();
    fleet
}

/// A worker that has listed two ends and starts again.
fn restarted() -> Fleet {
    let mut fleet = fleet(&[("w1", "r1")]);
    for name in ["first", "second"] {
        fleet.submit(job(name, 2, vec![step(1, 8)]));
        fleet.worker("w1").end(&task(name, 0, 0), RunEndKind::Done);
        fleet.pass(200);
        assert_eq!(fleet.planner.caller_state(&id(name)), COMPLETED);
    }
    fleet.crash_for(&"w1".parse().expect("an id"), AWAY_MS);
    fleet.pass(AWAY_MS + 300);
    fleet
}

#[test]
fn an_end_of_a_new_life_is_not_taken_for_one_that_was_heard_from_the_life_before() {
    let mut fleet = restarted();
    fleet.submit(job("third", 2, vec![step(1, 8)]));
    let key = task("third", 0, 0);
    fleet.worker("w1").end(&key, RunEndKind::Done);
    fleet.pass(2_000);
    assert_eq!(fleet.starts_of(&key), 1, "{:?}", fleet.given);
    assert_eq!(fleet.planner.caller_state(&id("third")), COMPLETED);
}

#[test]
fn a_run_whose_end_stays_listed_is_not_kept_for_ever() {
    let mut fleet = restarted();
    fleet.forgets_at_once = false;
    fleet.submit(job("third", 2, vec![gang(2, 4)]));
    fleet
        .worker("w1")
        .end(&task("third", 0, 0), RunEndKind::GangBroken);
    fleet
        .worker("w1")
        .end(&task("third", 0, 1), RunEndKind::GangBroken);
    fleet.pass(2_000);
    assert_eq!(
        fleet.starts_of(&task("third", 0, 0)),
        2,
        "{:?}",
        fleet.given
    );
    fleet.end_all();
    fleet.pass(500);
    assert_eq!(fleet.planner.caller_state(&id("third")), COMPLETED);
}

/// Rounds of a random life in which work is handed in and workers crash.
const BUSY_ROUNDS: u32 = 200;
/// Rounds after that in which all that runs ends.
const LAST_ROUNDS: u32 = 60;

struct RandomLife {
    fleet: Fleet,
    random: Pcg64Mcg,
    jobs: Vec<String>,
}

impl RandomLife {
    fn new(seed: u64) -> Self {
        let names: Vec<String> = (0..6).map(|n| format!("w{n}")).collect();
        let workers: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "r1")).collect();
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut fleet = fleet(&workers);
        fleet.forgets_at_once = random.random_range(0..2) == 0;
        Self {
            fleet,
            random,
            jobs: Vec::new(),
        }
    }

    fn happens(&mut self, one_in: u32) -> bool {
        self.random.random_range(0..one_in) == 0
    }

    fn hand_in(&mut self, name: String) {
        let count = self.random.random_range(1..5);
        let accelerators = self.random.random_range(1..9);
        let spec = if self.happens(2) {
            gang(count, accelerators)
        } else {
            step(count, accelerators)
        };
        let priority = self.random.random_range(0..3);
        self.fleet.submit(job(&name, priority, vec![spec]));
        self.jobs.push(name);
    }

    fn crash_a_third(&mut self) {
        let up: Vec<WorkerId> = self.fleet.workers.keys().cloned().collect();
        for id in up {
            if self.happens(3) {
                let away_ms = self.random.random_range(300..9_000);
                self.fleet.crash_for(&id, away_ms);
            }
        }
    }

    fn end_some(&mut self) {
        let workers = self.fleet.workers.values();
        let running: Vec<_> = workers.flat_map(|w| w.running.keys().cloned()).collect();
        for key in running {
            if self.happens(6) {
                self.fleet.end_everywhere(&key, RunEndKind::Done);
            }
        }
    }

    fn run(&mut self) {
        for round in 0..BUSY_ROUNDS {
            if self.happens(3) {
                self.hand_in(format!("j{round}"));
            }
            if self.happens(12) {
                self.crash_a_third();
            }
            self.end_some();
            let ms = 100 * self.random.random_range(1..6);
            self.fleet.pass(ms);
        }
        for _ in 0..LAST_ROUNDS {
            self.fleet.end_all();
            self.fleet.pass(500);
        }
    }
}

#[test]
fn work_ends_and_ends_once_whatever_workers_start_again_under_their_ids() {
    for seed in 0..20 {
        let mut life = RandomLife::new(seed);
        life.run();
        let twice = &life.fleet.started_after_done;
        assert!(
            twice.is_empty(),
            "seed {seed}: {} started again",
            twice.len()
        );
        for name in &life.jobs {
            let state = life.fleet.planner.caller_state(&id(name));
            let has_ended = matches!(state, Some(CallerState::Ended(_)));
            assert!(has_ended, "seed {seed}: {name} is {state:?}");
        }
    }
}

/// Five of six workers were replaced while the directory could not be read: each start is refused by
/// another life. "1 workers crashed under it, 4 more without an answer" ended such a job within 45 ms.
#[test]
fn starts_that_another_life_refuses_are_no_crashes_under_their_task() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let workers: Vec<(&str, &str)> = names.iter().map(|name| (*name, "r1")).collect();
    let mut fleet = fleet(&workers);
    fleet.pass(1_000);
    fleet.replaced = names[..5]
        .iter()
        .map(|n| n.parse().expect("an id"))
        .collect();
    fleet.submit(job("j", 0, vec![step(1, 8)]));
    fleet.pass(500);
    let place = fleet.place_of(&task("j", 0, 0));
    assert_eq!(place, Some("w6".parse().expect("an id")));
    // The first refusal shows that the directory is behind: the others are asked before.
    assert!(fleet.starts_of(&task("j", 0, 0)) <= 2, "{:?}", fleet.given);
    let kept = &fleet.kept[&id("j")].occurrences[0][0];
    assert!(kept.losses.is_empty(), "{:?}", kept.losses);
}

/// A member whose start another life refuses never comes: the other one waited 3 s for it in vain.
#[test]
fn a_gang_that_lost_a_member_before_it_began_does_not_wait_for_it() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1"), ("w3", "r1")]);
    fleet.pass(1_000);
    fleet.replaced.insert("w2".parse().expect("an id"));
    fleet.submit(job("j", 0, vec![gang(2, 8)]));
    fleet.pass(300);
    let runs: Vec<u32> = fleet
        .workers
        .values()
        .flat_map(|w| w.running.values().map(|(run, ..)| *run))
        .collect();
    assert_eq!(runs, [2, 2], "the gang is whole again: {:?}", fleet.given);
}

#[test]
fn a_gang_is_stopped_at_the_moment_at_which_the_life_of_a_member_is_known_to_be_over() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    fleet.submit(job("j", 0, vec![gang(2, 8)]));
    let lost: WorkerId = "w2".parse().expect("an id");
    let now = fleet.now();
    fleet
        .planner
        .end_incarnation(&lost, "another life answered", now);
    let orders = fleet.planner.tick(now);
    let stops = orders.iter().filter(|o| o.kind == OrderKind::Stop);
    let stopped: Vec<&str> = stops.map(|order| order.worker.as_str()).collect();
    assert_eq!(stopped, ["w1"]);
}

/// Starts a job of one task and returns where it runs.
fn run_one(fleet: &mut Fleet) -> WorkerId {
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    fleet.pass(300);
    fleet.place_of(&task("j", 0, 0)).expect("it runs")
}

fn losses(fleet: &mut Fleet) -> Vec<String> {
    let decisions = fleet.planner.take_decisions().into_iter();
    let losses = decisions.filter(|decision| decision.kind == DecisionKind::Loss);
    losses.map(|decision| decision.why).collect()
}

#[test]
fn what_a_life_had_listed_is_lost_as_soon_as_the_directory_names_another() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    let place = run_one(&mut fleet);
    fleet.cut_off(&place);
    let mut listed = fleet.listed[&place].clone();
    listed.incarnation = Some(Incarnation::from_unix_ms(START_UNIX_MS + 1));
    let now = fleet.now();
    fleet.planner.handle_listed_worker(listed, now);
    fleet.settle();
    let told = losses(&mut fleet);
    assert!(told[0].contains("1 of 3 crashes"), "{told:?}");
    let again = fleet.place_of(&task("j", 0, 0));
    assert!(
        again.is_some_and(|again| again != place),
        "it starts elsewhere"
    );
}

#[test]
fn a_report_of_a_life_that_is_over_changes_nothing() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let place = run_one(&mut fleet);
    let asked = fleet.now();
    let request = fleet
        .planner
        .report_request(&place, asked)
        .expect("it is busy");
    fleet.crash_for(&place, 300);
    fleet.pass(1_000);
    let runs = fleet.planner.runs();
    let late = WorkerReport {
        incarnation: Some(Incarnation::from_unix_ms(START_UNIX_MS)),
        clock_ms: 900_000,
        running: Vec::new(),
        ended: vec![RunEnd {
            number: 1,
            task: task("j", 0, 0),
            run: 2,
            kind: RunEndKind::Done,
            checkpoint: None,
        }],
        truncated: false,
        bytes: 0,
    };
    let now = fleet.now();
    fleet
        .planner
        .handle_worker_report(&place, &request, asked.at, late, now);
    fleet.settle();
    assert_eq!(fleet.planner.runs(), runs);
    assert_ne!(fleet.planner.caller_state(&id("j")), COMPLETED);
}

#[test]
fn a_new_life_is_known_by_the_order_of_answers_where_the_time_of_day_was_set_back() {
    let mut fleet = restarted();
    let place: WorkerId = "w1".parse().expect("an id");
    fleet.submit(job("third", 2, vec![step(1, 8)]));
    fleet.pass(300);
    let now = fleet.now();
    let request = fleet
        .planner
        .report_request(&place, now)
        .expect("it is busy");
    let report = WorkerReport {
        incarnation: Some(Incarnation::from_unix_ms(START_UNIX_MS - 2_000)),
        clock_ms: 50,
        running: Vec::new(),
        ended: Vec::new(),
        truncated: false,
        bytes: 0,
    };
    fleet.at_ms += 1;
    let later = fleet.now();
    fleet
        .planner
        .handle_worker_report(&place, &request, now.at, report, later);
    assert!(losses(&mut fleet)[0].contains("1 of 3 crashes"));
}

#[test]
fn an_old_entry_ends_no_life_that_began_while_the_time_of_day_was_set_back() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    let place: WorkerId = "w1".parse().expect("an id");
    let old = fleet.listed[&place].clone();
    fleet.restart_set_back(&place, 2_000);
    fleet.pass(300);
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    fleet.submit(job("k", 2, vec![step(1, 8)]));
    fleet.pass(500);
    let now = fleet.now();
    fleet.planner.handle_listed_worker(old, now);
    fleet.pass(500);
    assert!(losses(&mut fleet).is_empty());
    let starts = fleet.starts_of(&task("j", 0, 0)) + fleet.starts_of(&task("k", 0, 0));
    assert_eq!(starts, 2, "{:?}", fleet.given);
}

#[test]
fn a_life_that_left_by_plan_before_another_began_has_not_crashed() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    let place = run_one(&mut fleet);
    fleet.cut_off(&place);
    fleet.announce_leaving(&place, 60_000);
    fleet.restart_cut_off(&place);
    fleet.pass(500);
    let kept = &fleet.kept[&id("j")].occurrences[0][0].losses;
    assert!(kept.is_empty(), "{kept:?}");
    assert!(
        fleet.place_of(&task("j", 0, 0)).is_some(),
        "it starts again"
    );
}

#[test]
fn an_entry_of_a_life_that_is_over_describes_nothing() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let place: WorkerId = "w1".parse().expect("an id");
    let mut old = fleet.listed[&place].clone();
    old.draining = true;
    fleet.crash_for(&place, 300);
    fleet.pass(1_000);
    let now = fleet.now();
    fleet.planner.handle_listed_worker(old, now);
    run_one(&mut fleet);
}

#[test]
fn a_start_whose_first_try_had_no_answer_goes_elsewhere_once_the_next_life_has_seen_a_higher_token()
{
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    let now = fleet.now();
    let first = fleet.first_start();
    fleet
        .planner
        .handle_start_outcome(&first, StartOutcome::Unknown, now);
    fleet.settle();
    let place = first.worker.clone();
    fleet.pass(300);
    fleet.cut_off(&place);
    fleet.begin_unheard_life(&place, 1);
    fleet.pass(2_000);
    let elsewhere = |fleet: &Fleet| fleet.given.iter().any(|order| order.run == 2);
    assert!(!elsewhere(&fleet), "the first try may still come");
    fleet.restart_cut_off(&place);
    fleet.settle();
    let asked = fleet
        .hold(&place)
        .expect("a life that was not met is asked");
    assert!(asked.token > first.token, "{asked:?}");
    fleet.settle();
    assert!(elsewhere(&fleet), "{:?}", fleet.given);
}

/// The start requests a lease of 1.5 s. The next incarnation may carry it out up to 13 s after it was
/// sent, and then holds it for 6 s.
#[test]
fn a_task_waits_for_the_longest_lease_where_an_unheard_life_may_have_its_start() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    fleet.pass(1_000);
    let first = fleet.first_start();
    fleet.cut_off(&first.worker);
    fleet.begin_unheard_life(&first.worker, 1_200);
    fleet.leave_unanswered(&first);
    fleet.settle();
    fleet.pass(12_500);
    let starts = fleet.starts_of(&task("j", 0, 0));
    assert_eq!(starts, 0, "{:?}", fleet.given);
    fleet.pass(4_000);
    assert_eq!(fleet.starts_of(&task("j", 0, 0)), 1);
}

/// A request under way when its worker crashed named two ends; the next life answers it.
#[test]
fn what_a_life_was_told_does_not_count_as_told_to_the_one_that_answers() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let place: WorkerId = "w1".parse().expect("an id");
    for name in ["a", "b"] {
        fleet.submit(job(name, 2, vec![step(1, 1)]));
        fleet.worker("w1").end(&task(name, 0, 0), RunEndKind::Done);
    }
    fleet.hold(&place);
    fleet.settle();
    let now = fleet.now();
    let naming = fleet
        .planner
        .report_request(&place, now)
        .expect("ends to name");
    assert_eq!(naming.acknowledged_end, 2);
    fleet.at_ms += 1_000;
    let answered = fleet.now();
    let report = WorkerReport {
        incarnation: Some(Incarnation::from_unix_ms(START_UNIX_MS + 500)),
        clock_ms: 500,
        running: Vec::new(),
        ended: vec![RunEnd {
            number: 1,
            task: task("c", 0, 0),
            run: 1,
            kind: RunEndKind::Stopped,
            checkpoint: None,
        }],
        truncated: false,
        bytes: 0,
    };
    fleet
        .planner
        .handle_worker_report(&place, &naming, now.at, report.clone(), answered);
    let now = fleet.now();
    let first = fleet
        .planner
        .report_request(&place, now)
        .expect("a life that was not met");
    // What it is sent before its clock is read brings no deadline by the clock of the life before.
    assert_eq!((first.acknowledged_end, first.deadline_ms), (0, None));
    assert!(first.token > naming.token);
    fleet
        .planner
        .handle_worker_report(&place, &first, now.at, report, now);
    let told = fleet
        .planner
        .report_request(&place, now)
        .expect("an end to name");
    assert_eq!(told.acknowledged_end, 1);
}

/// "1 without an answer", "2 …" to "5 …" of one run failed a job: it was counted at each further life of the
/// worker until one of them answered.
#[test]
fn a_run_that_may_come_late_counts_once_however_often_its_worker_starts_again() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let now = fleet.now();
    let first = fleet.first_start();
    fleet
        .planner
        .handle_start_outcome(&first, StartOutcome::Unknown, now);
    fleet.settle();
    fleet.pass(300);
    fleet.cut_off(&first.worker);
    for after_ms in [100, 200, 300, 400] {
        fleet.begin_unheard_life(&first.worker, after_ms);
    }
    fleet.at_ms += 500;
    fleet.restart_cut_off(&first.worker);
    fleet.pass(100);
    let kept = &fleet.kept[&id("j")].occurrences[0][0].losses[&0];
    assert_eq!((kept.crashes, kept.unanswered), (0, 1));
}

#[test]
fn a_silence_counts_as_a_crash_once_another_life_answers() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    let place = run_one(&mut fleet);
    fleet.cut_off(&place);
    fleet.pass(8_000);
    assert!(losses(&mut fleet)[0].contains("1 workers silent"));
    fleet.restart_cut_off(&place);
    fleet.pass(500);
    let kept = &fleet.kept[&id("j")].occurrences[0][0].losses[&0];
    assert_eq!((kept.crashes, kept.silent.len()), (1, 0));
}

#[test]
fn a_new_planner_knows_which_life_a_run_was_put_at() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.submit(accepted.clone());
    fleet.pass(300);
    fleet.crash_for(&"w1".parse().expect("an id"), 300);
    fleet.at_ms += 400;
    fleet.succeed(&[accepted]);
    fleet.pass(500);
    // That the start was taken was not written down: nobody had been lost under the task.
    assert!(losses(&mut fleet)[0].contains("1 without an answer"));
}

/// "not started: unknown" was the last line of such a task: nothing was sent again, since the clock of the
/// new life was not known yet, and its run counted as starting for good.
#[test]
fn a_start_without_an_answer_is_not_left_alone_where_its_worker_has_started_again_meanwhile() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let now = fleet.now();
    let start = fleet.first_start();
    fleet.cut_off(&start.worker);
    let mut listed = fleet.listed[&start.worker].clone();
    listed.incarnation = Some(Incarnation::from_unix_ms(START_UNIX_MS + 50));
    fleet.planner.handle_listed_worker(listed, now);
    fleet
        .planner
        .handle_start_outcome(&start, StartOutcome::Unknown, now);
    fleet.settle();
    fleet.at_ms = 50;
    fleet.restart_cut_off(&start.worker);
    fleet.pass(1_500);
    assert_eq!(fleet.place_of(&task("j", 0, 0)), Some(start.worker));
}

/// A planner wrote places down and died before it sent the starts; the worker started again meanwhile.
/// "3 of 3 crashes so far" failed such a job that had run under two crashes only.
#[test]
fn a_place_that_was_kept_is_no_proof_that_its_run_began() {
    let mut fleet = fleet(&[("w1", "r1")]);
    let accepted = job("j", 2, vec![step(1, 8)]);
    let now = fleet.now();
    fleet.planner.submit(accepted.clone(), now);
    fleet.planner.tick(now);
    fleet.write_all();
    fleet.crash_for(&"w1".parse().expect("an id"), 300);
    fleet.at_ms += 400;
    fleet.succeed(&[accepted]);
    fleet.pass(500);
    let kept = &fleet.kept[&id("j")].occurrences[0][0].losses[&0];
    assert_eq!((kept.crashes, kept.unanswered), (0, 1));
}

#[test]
fn a_clock_that_has_gone_back_makes_the_lease_the_longest() {
    let mut fleet = fleet(&[("w1", "r1"), ("w2", "r1")]);
    fleet.pass(5_000);
    let now = fleet.now();
    let start = fleet.first_start();
    let started = StartOutcome::Started { clock_ms: 40 };
    fleet.planner.handle_start_outcome(&start, started, now);
    fleet.cut_off(&start.worker);
    // The lease that the start asked for is 1.5 s; the new life may hold the run for 6 s.
    fleet.pass(4_000);
    assert_eq!(fleet.starts_of(&task("j", 0, 0)), 0, "{:?}", fleet.given);
    fleet.pass(4_000);
    assert_eq!(fleet.starts_of(&task("j", 0, 0)), 1);
}

#[test]
fn places_are_read_as_older_planners_wrote_them() {
    let read = |text| serde_json::from_str::<RunPlacement>(text).expect("a place");
    let older = read(r#"["w1",3]"#);
    assert_eq!((older.run, older.incarnation), (3, None));
    let place = RunPlacement {
        incarnation: Some(Incarnation::from_unix_ms(5)),
        start_confirmed: true,
        ..older
    };
    let text = serde_json::to_string(&place).expect("JSON");
    assert_eq!(read(&text), place);
}
