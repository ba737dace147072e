//! A planner that takes over knows what its predecessor may have started.

use stairstall_core::WorkerId;
use stairstall_core::batch::{AcceptedJob, OrderKind, RunEndKind, TaskKey};
use stairstall_core::claim::Mark;

use crate::harness::{Fleet, HOLD_MAX, gang, id, job, step, task};
use crate::idle_jobs::{MAX_IDLE_MS, PATIENCE_MS};

const BOTH: [(&str, &str); 2] = [("w1", "r1"), ("w2", "r1")];
const SIX: [(&str, &str); 6] = [
    ("w1", "r1"),
    ("w2", "r1"),
    ("w3", "r1"),
    ("w4", "r1"),
    ("w5", "r1"),
    ("w6", "r1"),
];

/// Returns how long a task waits until it is started again.
fn wait_for_next_start(fleet: &mut Fleet, key: &TaskKey) -> u64 {
    let (since, starts) = (fleet.at_ms, fleet.starts_of(key));
    while fleet.starts_of(key) == starts && fleet.at_ms - since < PATIENCE_MS {
        fleet.pass(100);
    }
    fleet.at_ms - since
}

#[test]
fn no_start_is_sent_before_its_place_is_written_down() {
    let mut fleet = Fleet::new(&BOTH);
    fleet.hold_all();
    fleet.writes = false;
    fleet.submit(job("j", 2, vec![step(1, 8)]));
    fleet.pass(300);
    assert!(fleet.given.is_empty(), "{:?}", fleet.given);
    fleet.writes = true;
    fleet.pass(300);
    assert_eq!(fleet.starts_of(&task("j", 0, 0)), 1);
}

#[test]
fn what_runs_on_a_silent_unlisted_worker_is_started_again_only_after_its_lease() {
    let mut fleet = Fleet::new(&BOTH);
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.submit(accepted.clone());
    let key = task("j", 0, 0);
    let first = fleet.place_of(&key).expect("it runs");
    let other = if first.as_str() == "w1" {
        BOTH[1]
    } else {
        BOTH[0]
    };
    // The worker is cut off, and the directory has dropped it.
    let cut_off = fleet.workers.remove(&first);
    assert!(cut_off.is_some());
    fleet.take_over(&[accepted], &[other]);
    let span_ms = u64::try_from(HOLD_MAX.as_millis()).expect("small");
    fleet.pass(span_ms);
    assert_eq!(fleet.starts_of(&key), 1, "its lease may last");
    fleet.pass(1_000);
    assert_eq!(fleet.starts_of(&key), 2, "its lease is over");
}

#[test]
fn what_was_never_started_starts_at_once_after_a_takeover() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let running = job("a", 2, vec![step(1, 8)]);
    let waiting = job("b", 2, vec![step(1, 8)]);
    fleet.submit(running.clone());
    fleet.submit(waiting.clone());
    fleet.workers.clear();
    fleet.workers.insert(
        "w2".parse().expect("an id"),
        crate::harness::FakeWorker::default(),
    );
    fleet.take_over(&[running, waiting], &[("w2", "r1")]);
    fleet.pass(300);
    assert_eq!(fleet.starts_of(&task("b", 0, 0)), 1);
}

#[test]
fn a_successor_adopts_what_runs_and_takes_its_end() {
    let mut fleet = Fleet::new(&BOTH);
    fleet.hold_all();
    let accepted = job("j", 2, vec![gang(2, 8)]);
    fleet.submit(accepted.clone());
    fleet.take_over(&[accepted], &BOTH);
    fleet.pass(300);
    let key = task("j", 0, 0);
    assert_eq!(fleet.starts_of(&key), 1);
    for index in 0..2 {
        let key = task("j", 0, index);
        let place = fleet.place_of(&key).expect("it runs on");
        fleet.worker(place.as_str()).end(&key, RunEndKind::Done);
    }
    fleet.pass(300);
    assert_eq!(fleet.planner.open_jobs(), 0);
    let stops = fleet.given.iter().filter(|o| o.kind == OrderKind::Stop);
    assert_eq!(stops.count(), 0);
}

#[test]
fn a_placed_run_that_never_arrived_is_started_by_the_successor() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.submit(accepted.clone());
    let key = task("j", 0, 0);
    // The start was written down but lost on its way.
    fleet.worker("w1").running.clear();
    fleet.take_over(&[accepted], &[("w1", "r1")]);
    fleet.pass(300);
    assert_eq!(fleet.starts_of(&key), 2);
    let runs: Vec<u32> = fleet.given.iter().map(|order| order.run).collect();
    assert_eq!(runs, [1, 2], "run numbers rise over tenures");
}

#[test]
fn a_run_that_is_not_there_is_over_however_often_its_stop_is_sent_again() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.submit(accepted);
    // The run vanishes, and the worker's reports take longer than stops are sent again.
    fleet.worker("w1").running.clear();
    let now = fleet.now();
    fleet.planner.cancel(&crate::harness::id("j"), now);
    for _ in 0..4 {
        let now = fleet.now();
        let id = "w1".parse().expect("an id");
        let Some(request) = fleet.planner.report_request(&id, now) else {
            break;
        };
        for _ in 0..10 {
            fleet.at_ms += 100;
            fleet.settle();
        }
        let report = stairstall_core::batch::WorkerReport {
            incarnation: None,
            clock_ms: fleet.at_ms,
            running: Vec::new(),
            ended: Vec::new(),
            truncated: false,
            bytes: 0,
        };
        let answered = fleet.now();
        fleet
            .planner
            .handle_worker_report(&id, &request, now.at, report, answered);
    }
    assert_eq!(fleet.planner.runs(), 0);
}

#[test]
fn a_worker_that_the_directory_lists_only_later_is_asked_then() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.submit(accepted.clone());
    // The store was down: at the takeover the directory is empty.
    fleet.take_over(&[accepted], &[]);
    assert_eq!(fleet.planner.workers().count(), 0);
    let before = fleet.planner.worker_set_version();
    let now = fleet.now();
    let capacity = stairstall_core::batch::Resources::new(32_000, 64_000, 8);
    let listed = crate::harness::worker("w1", "r1", capacity);
    fleet.planner.handle_listed_worker(listed, now);
    assert_eq!(fleet.planner.workers().count(), 1);
    assert_ne!(
        fleet.planner.worker_set_version(),
        before,
        "a link has to be opened"
    );
}

#[test]
fn a_new_planner_lets_the_workers_report_before_it_places_anything() {
    let names = [("w1", "r1"), ("w2", "r1"), ("w3", "r1")];
    let mut fleet = Fleet::new(&names);
    fleet.hold_all();
    let batch = job("batch", 2, vec![step(1, 8)]);
    fleet.submit(batch.clone());
    let busy = fleet.place_of(&task("batch", 0, 0)).expect("it runs");
    let urgent = job("urgent", 0, vec![step(1, 8)]);
    fleet.take_over(&[batch, urgent], &names);
    // The one that has no room reports first.
    fleet.hold(&busy);
    fleet.settle();
    assert_eq!(fleet.given.len(), 1, "nothing gives way yet");
    fleet.hold_all();
    fleet.settle();
    let place = fleet.place_of(&task("urgent", 0, 0));
    assert!(place.is_some_and(|place| place != busy));
    assert_eq!(fleet.starts_of(&task("batch", 0, 0)), 1);
}

#[test]
fn a_new_planner_does_not_wait_long_for_workers_that_say_nothing() {
    let names = [("w1", "r1"), ("w2", "r1")];
    let mut fleet = Fleet::new(&names);
    let silent: stairstall_core::WorkerId = "w2".parse().expect("an id");
    let waits = job("waits", 0, vec![step(1, 8)]);
    fleet.take_over(&[waits], &names);
    fleet.workers.remove(&silent);
    fleet.pass(400);
    assert!(fleet.place_of(&task("waits", 0, 0)).is_some());
}

/// Its start got no answer, and might still be carried out by the worker's next incarnation ("j19.0.2.4 run 2 at w13 of
/// 30820: Started", 7 s after the planner that sent it had lost the role, and after run 3 was done).
#[test]
fn a_start_without_an_answer_is_known_to_the_successor() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    fleet.keeps_ids = true;
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.place(accepted.clone());
    let now = fleet.now();
    let start = fleet.planner.tick(now).remove(0);
    fleet.leave_unanswered(&start);
    fleet.write_all();
    fleet.succeed(&[accepted]);
    let key = task("j", 0, 0);
    fleet.pass(11_000);
    assert_eq!(fleet.starts_of(&key), 0, "run 1 may still begin");
    fleet.pass(3_000);
    assert_eq!(fleet.starts_of(&key), 1);
    assert_eq!(fleet.given[0].run, 2);
}

/// A job of two tasks, of which one ended while nothing could be stored.
fn fleet_with_an_unstored_end() -> (Fleet, AcceptedJob) {
    let mut fleet = Fleet::new(&[("w1", "r1"), ("w2", "r1")]);
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(2, 8)]);
    fleet.submit(accepted.clone());
    fleet.pass(500);
    let key = task("j", 0, 0);
    let place = fleet.place_of(&key).expect("it runs");
    fleet.worker(place.as_str()).end(&key, RunEndKind::Done);
    // Its report is handled, and nothing is written after that.
    fleet.hold_all();
    (fleet, accepted)
}

#[test]
fn a_tenure_tells_the_next_one_which_tasks_are_done_though_it_could_not_store_that() {
    let (mut fleet, accepted) = fleet_with_an_unstored_end();
    let unstored = fleet.planner.unstored_tasks();
    assert_eq!(unstored[0].done, [task("j", 0, 0)]);
    fleet.succeed(&[accepted]);
    let now = fleet.now();
    fleet.planner.restore_done_tasks(&unstored, now);
    let explained = fleet.planner.explain(&id("j"), now).expect("it is known");
    assert_eq!(explained.steps[0].done, 1);
}

#[test]
fn what_is_done_of_a_job_says_nothing_of_another_one_under_its_name() {
    let (mut fleet, accepted) = fleet_with_an_unstored_end();
    let mut unstored = fleet.planner.unstored_tasks();
    unstored[0].mark = Mark::new("vm-other".parse().expect("an id"), 7, 7);
    fleet.succeed(&[accepted]);
    let now = fleet.now();
    fleet.planner.restore_done_tasks(&unstored, now);
    let explained = fleet.planner.explain(&id("j"), now).expect("it is known");
    assert_eq!(explained.steps[0].done, 0);
}

/// The successor has waited for the lease and started the task again by the time it is told.
#[test]
fn a_successor_that_is_told_late_stops_what_it_has_started_again() {
    let (mut fleet, accepted) = fleet_with_an_unstored_end();
    let unstored = fleet.planner.unstored_tasks();
    let key = task("j", 0, 0);
    let gone = fleet.planner.workers().cloned().collect::<Vec<_>>();
    let ran_at = gone.iter().find(|id| {
        let worker = fleet.workers.get(*id).expect("a worker");
        worker.ended.iter().any(|end| end.task == key)
    });
    let ran_at = ran_at.expect("it ended there").clone();
    let other = gone.iter().find(|id| **id != ran_at).expect("two").clone();
    fleet.workers.remove(&ran_at);
    let third = "w3".parse().expect("an id");
    let idle = crate::harness::FakeWorker::default();
    fleet.workers.insert(third, idle);
    fleet.take_over(&[accepted], &[(other.as_str(), "r1"), ("w3", "r1")]);
    let lease_ms = u64::try_from(HOLD_MAX.as_millis()).expect("small");
    fleet.pass(lease_ms + 1_000);
    assert_eq!(fleet.starts_of(&key), 2, "nobody has told it yet");
    let now = fleet.now();
    fleet.planner.restore_done_tasks(&unstored, now);
    let explained = fleet.planner.explain(&id("j"), now).expect("it is known");
    assert_eq!(explained.steps[0].done, 1);
    fleet.planner.restore_done_tasks(&unstored, now);
    fleet.pass(3_000);
    assert_eq!(fleet.starts_of(&key), 2, "it is done for good");
    let stops = fleet.given.iter().filter(|o| o.kind == OrderKind::Stop);
    assert!(stops.into_iter().all(|stop| stop.task == key));
}

/// Its worker leaves while nobody plans, the other member ends as broken, and the successor waits for the lease.
#[test]
fn a_gang_whose_member_left_with_its_planner_starts_again_in_time() {
    let mut fleet = Fleet::new(&SIX);
    for worker in fleet.workers.values_mut() {
        worker.span_ms = Some(2_000);
    }
    fleet.hold_all();
    let accepted = job("j", 2, vec![gang(2, 8)]);
    fleet.submit(accepted.clone());
    fleet.pass(500);
    let key = task("j", 0, 0);
    let left = fleet.place_of(&key).expect("it runs");
    fleet.announce_leaving(&left, 2_500);
    fleet.pass(500);
    assert_eq!(fleet.place_of(&key).as_ref(), Some(&left), "it runs on");
    fleet.crash_for(&left, 2 * PATIENCE_MS);
    fleet.lose_crashed();
    fleet.succeed(&[accepted]);
    let waited = wait_for_next_start(&mut fleet, &key);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Returns how long a gang of three waits for its next start after a takeover, if the workers of so
/// many members crash with the planner and one of the others ends in its own way.
fn wait_of_gang_without(crashed: u32, own_end: Option<RunEndKind>) -> u64 {
    let mut fleet = Fleet::new(&SIX);
    fleet.hold_all();
    let accepted = job("j", 2, vec![gang(3, 8)]);
    fleet.submit(accepted.clone());
    fleet.pass(500);
    for index in 0..crashed {
        let place = fleet.place_of(&task("j", 0, index)).expect("it runs");
        fleet.crash_for(&place, 2 * PATIENCE_MS);
    }
    fleet.lose_crashed();
    if let Some(kind) = own_end {
        let last = task("j", 0, 2);
        let place = fleet.place_of(&last).expect("it runs");
        fleet.worker(place.as_str()).end(&last, kind);
    }
    fleet.succeed(&[accepted]);
    wait_for_next_start(&mut fleet, &task("j", 0, 0))
}

#[test]
fn the_lease_of_a_gangs_only_departed_member_is_not_waited_for() {
    let waited = wait_of_gang_without(1, None);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Nothing says which of them has ended.
#[test]
fn the_leases_of_several_departed_members_are_waited_for() {
    let waited = wait_of_gang_without(2, None);
    let lease_ms = u64::try_from(HOLD_MAX.as_millis()).expect("small");
    assert!(waited >= lease_ms, "it waited {waited} ms");
}

/// The gang ended because of another member than the departed one.
#[test]
fn the_lease_of_a_member_that_did_not_end_its_gang_is_waited_for() {
    let waited = wait_of_gang_without(1, Some(RunEndKind::Stopped));
    let lease_ms = u64::try_from(HOLD_MAX.as_millis()).expect("small");
    assert!(waited >= lease_ms, "it waited {waited} ms");
}

/// The successor restores a run whose end was heard, and whose worker has left, while nothing could be stored.
#[test]
fn a_release_that_could_not_be_stored_holds_no_job_back_for_long() {
    let mut fleet = Fleet::new(&SIX);
    fleet.hold_all();
    let accepted = job("j", 2, vec![step(1, 8)]);
    fleet.submit(accepted.clone());
    fleet.pass(500);
    let key = task("j", 0, 0);
    let left = fleet.place_of(&key).expect("it runs");
    fleet.writes = false;
    fleet.announce_leaving(&left, 0);
    fleet.pass(500);
    assert_eq!(ends_at(&fleet, &left), 1, "it is stopped there");
    leave(&mut fleet, &left);
    let unstored = fleet.planner.unstored_tasks();
    let now = fleet.now();
    let lease_ends = fleet.planner.retire(now);
    fleet.succeed(&[accepted]);
    let now = fleet.now();
    fleet.planner.restore_done_tasks(&unstored, now);
    fleet.planner.restore_lease_ends(&lease_ends);
    fleet.writes = true;
    let waited = wait_for_next_start(&mut fleet, &key);
    assert!(waited < MAX_IDLE_MS, "it waited {waited} ms");
}

/// Returns how many ends a worker has listed so far.
fn ends_at(fleet: &Fleet, id: &WorkerId) -> usize {
    fleet.workers[id].ended.len()
}

/// Lets a worker leave as it has announced.
fn leave(fleet: &mut Fleet, id: &WorkerId) {
    fleet.workers.remove(id);
    fleet.listed.remove(id);
    let now = fleet.now();
    fleet.planner.handle_unlisted_worker(id, now);
}
