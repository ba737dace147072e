//! The planner says and asks no more than its own VM can carry.

use std::time::Duration;

use stairstall_core::WorkerId;
use stairstall_core::batch::{Order, OrderKind, StartOutcome, StepSpec, VmLimits, WorkerReport};

use crate::harness::{Fleet, gang, job, step};

/// A link of two megabits a second.
const NARROW: VmLimits = VmLimits {
    link_bytes_per_s: 250_000,
    cpu_percent: 100,
    memory_bytes: u64::MAX,
    open_files: u64::MAX,
};
/// Length of a report of some ten runs, without its head.
const REPORT_BYTES: u32 = 700;

fn fleet(workers: usize, limits: VmLimits) -> Fleet {
    let names: Vec<String> = (0..workers).map(|index| format!("w{index}")).collect();
    let listed: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "r1")).collect();
    let mut fleet = Fleet::new(&listed);
    fleet.planner = fleet.planner.with_limits(limits);
    fleet.hold_all();
    fleet
}

/// Plans, lets the places be written down, and returns the starts that then go out.
fn starts(fleet: &mut Fleet) -> Vec<Order> {
    let now = fleet.now();
    fleet.planner.tick(now);
    fleet.write_all();
    let orders = fleet.planner.tick(now);
    let is_start = |order: &Order| matches!(order.kind, OrderKind::Start { .. });
    orders.into_iter().filter(is_start).collect()
}

/// Hands a job in and does nothing else.
fn hand_in(fleet: &mut Fleet, name: &str, priority: u8, step: StepSpec) {
    let now = fleet.now();
    fleet.planner.submit(job(name, priority, vec![step]), now);
}

fn count_of(orders: &[Order], name: &str) -> usize {
    let of_job = |order: &&Order| order.task.group.job.as_str() == name;
    orders.iter().filter(of_job).count()
}

/// Starts one task on every worker, and lets each report at the usual length.
fn busy(workers: usize, limits: VmLimits) -> Fleet {
    let mut fleet = fleet(workers, limits);
    let count = u32::try_from(workers * 8).expect("a count");
    for _ in 0..50 {
        let now = fleet.now();
        fleet.planner.submit(job("j", 2, vec![step(count, 1)]), now);
        fleet.settle();
    }
    for _ in 0..2 {
        let ids: Vec<WorkerId> = fleet.workers.keys().cloned().collect();
        for id in ids {
            let now = fleet.now();
            let request = fleet
                .planner
                .report_request(&id, now)
                .expect("something runs");
            let report = WorkerReport {
                incarnation: None,
                clock_ms: fleet.at_ms,
                running: Vec::new(),
                ended: Vec::new(),
                truncated: true,
                bytes: REPORT_BYTES,
            };
            fleet
                .planner
                .handle_worker_report(&id, &request, now.at, report, now);
        }
    }
    fleet
}

fn wait_of(fleet: &mut Fleet) -> Duration {
    let id: WorkerId = "w0".parse().expect("an id");
    let now = fleet.now();
    let request = fleet.planner.report_request(&id, now);
    request.expect("something runs").max_wait
}

#[test]
fn reports_leave_most_of_a_narrow_link_to_other_messages() {
    const WORKERS: usize = 150;
    let mut fleet = busy(WORKERS, NARROW);
    let wait = wait_of(&mut fleet);
    let reports_per_s = 150.0 / wait.as_secs_f64();
    let bytes_per_s = reports_per_s * f64::from(REPORT_BYTES);
    assert!(
        bytes_per_s < 250_000.0 / 2.0,
        "{bytes_per_s} bytes a second of reports, asked for every {wait:?}"
    );
}

#[test]
fn reports_are_frequent_where_the_link_is_wide() {
    let mut fleet = busy(150, VmLimits::default());
    assert_eq!(wait_of(&mut fleet), Duration::from_millis(300));
}

#[test]
fn starts_go_out_no_faster_than_a_narrow_link_carries_them() {
    let mut fleet = fleet(100, NARROW);
    hand_in(&mut fleet, "wide", 2, step(600, 1));
    let orders = starts(&mut fleet);
    let answered = orders.len();
    assert!((1..=50).contains(&answered), "{answered} starts at once");
    for order in orders {
        let clock_ms = fleet.at_ms;
        let now = fleet.now();
        fleet
            .planner
            .handle_start_outcome(&order, StartOutcome::Started { clock_ms }, now);
    }
    let next = starts(&mut fleet).len();
    assert!(
        (1..=answered).contains(&next),
        "{next} starts after {answered} answers"
    );
}

#[test]
fn a_gang_wider_than_the_window_goes_out_alone_and_whole() {
    let mut fleet = fleet(100, NARROW);
    hand_in(&mut fleet, "wide", 1, gang(160, 2));
    hand_in(&mut fleet, "other", 2, step(50, 1));
    let orders = starts(&mut fleet);
    assert_eq!(count_of(&orders, "wide"), 160);
    assert_eq!(orders.len(), 160);
}

#[test]
fn a_gang_that_waits_for_the_window_is_not_passed() {
    let mut fleet = fleet(100, NARROW);
    hand_in(&mut fleet, "narrow", 2, step(300, 1));
    let mut orders = starts(&mut fleet);
    hand_in(&mut fleet, "wide", 1, gang(60, 2));
    let window = orders.len();
    let mut wide = 0;
    while !orders.is_empty() && wide == 0 {
        let order = orders.remove(0);
        let clock_ms = fleet.at_ms;
        let now = fleet.now();
        fleet
            .planner
            .handle_start_outcome(&order, StartOutcome::Started { clock_ms }, now);
        let next = starts(&mut fleet);
        assert_eq!(
            count_of(&next, "narrow"),
            0,
            "{} are under way",
            orders.len()
        );
        wide = count_of(&next, "wide");
        assert_eq!(wide > 0, orders.len() <= window / 2);
    }
    assert_eq!(wide, 60);
}

#[test]
fn urgent_work_does_not_wait_for_others_starts() {
    let mut fleet = fleet(100, NARROW);
    hand_in(&mut fleet, "wide", 2, step(600, 1));
    starts(&mut fleet);
    hand_in(&mut fleet, "urgent", 0, gang(8, 2));
    let orders = starts(&mut fleet);
    assert_eq!(count_of(&orders, "urgent"), 8);
}

#[test]
fn urgent_work_that_waits_for_others_to_give_way_holds_no_starts_back() {
    let names: Vec<String> = (0..20).map(|index| format!("w{index}")).collect();
    let racks = (0..20).map(|index| if index < 10 { "r1" } else { "r2" });
    let listed: Vec<(&str, &str)> = names.iter().map(String::as_str).zip(racks).collect();
    let mut fleet = Fleet::new(&listed);
    fleet.planner = fleet.planner.with_limits(NARROW);
    fleet.hold_all();
    let on = |rack: &str, step: StepSpec| StepSpec {
        required_label: Some(rack.to_owned()),
        ..step
    };
    fleet.submit(job("low", 2, vec![on("r1", step(80, 1))]));
    fleet.hold_all();
    hand_in(&mut fleet, "urgent", 0, on("r1", gang(40, 2)));
    hand_in(&mut fleet, "other", 2, on("r2", step(30, 1)));
    let orders = starts(&mut fleet);
    assert_eq!(count_of(&orders, "other"), 30);
}

#[test]
fn how_far_the_planner_keeps_up_is_told() {
    let mut fleet = busy(10, VmLimits::default());
    let now = fleet.now();
    let lag = fleet.planner.contact_lag(now);
    assert_eq!((lag.unresponsive, lag.starts_in_flight), (0, 0));
    assert_eq!(lag.report_wait, Duration::from_millis(300));
    fleet.at_ms += 700;
    let silent: WorkerId = "w3".parse().expect("an id");
    let now = fleet.now();
    fleet.planner.handle_report_failure(&silent, now);
    let lag = fleet.planner.contact_lag(now);
    assert_eq!(lag.unresponsive, 1);
    assert!(lag.oldest_report >= Duration::from_millis(700));
}

#[test]
fn a_large_fleet_is_not_looked_through_at_every_end_but_for_urgent_work() {
    const WORKERS: usize = 1_000;
    let mut fleet = fleet(WORKERS, VmLimits::default());
    hand_in(&mut fleet, "first", 2, step(8, 1));
    assert_eq!(starts(&mut fleet).len(), 8);
    fleet.at_ms += 1;
    hand_in(&mut fleet, "soon", 2, step(8, 1));
    assert_eq!(
        starts(&mut fleet).len(),
        0,
        "the last look was a moment ago"
    );
    hand_in(&mut fleet, "urgent", 0, step(8, 1));
    let orders = starts(&mut fleet);
    assert_eq!(count_of(&orders, "urgent"), 8);
    fleet.at_ms += 1;
    hand_in(&mut fleet, "later", 2, step(8, 1));
    let now = fleet.now();
    assert_eq!(starts(&mut fleet).len(), 0);
    let pause = fleet.planner.next_tick(now);
    assert!(
        pause <= Duration::from_millis(5),
        "the next look is {pause:?} away"
    );
    fleet.at_ms += 5;
    assert_eq!(count_of(&starts(&mut fleet), "later"), 8);
}

#[test]
fn a_planner_asks_as_many_workers_at_once_as_its_machine_handles_within_a_tenth_of_a_second() {
    let weak = VmLimits {
        cpu_percent: 12,
        ..VmLimits::default()
    };
    let weakest = VmLimits {
        cpu_percent: 0,
        ..VmLimits::default()
    };
    let window = |limits| fleet(0, limits).planner.contact_window();
    assert_eq!(window(VmLimits::default()), 1_000);
    assert_eq!(window(weak), 120);
    assert_eq!(window(NARROW), 71);
    assert_eq!(window(weakest), 1);
}

/// Guards against leases that end before a new planner has reached the workers that need renewal.
#[test]
fn workers_with_runs_are_asked_first() {
    let mut fleet = fleet(10, VmLimits::default());
    let jobs = [job("j", 2, vec![gang(3, 8)])];
    fleet.submit(jobs[0].clone());
    let mut busy: Vec<WorkerId> = fleet
        .given
        .iter()
        .map(|order| order.worker.clone())
        .collect();
    busy.sort();
    assert_eq!(busy.len(), 3);
    fleet.succeed(&jobs);
    let mut first = selected(&mut fleet);
    first.truncate(3);
    assert_eq!(first, busy);
}

fn selected(fleet: &mut Fleet) -> Vec<WorkerId> {
    let selected = fleet.planner.select_links().into_iter();
    selected.map(|(id, _)| id).collect()
}

/// A VM that can hold connections to five workers.
const SMALL: VmLimits = VmLimits {
    open_files: 8,
    ..NARROW
};

/// Guards against a planner that runs out of memory or connections, and against one that counts on
/// workers it is not connected to.
#[test]
fn a_planner_on_a_small_machine_plans_for_the_workers_it_can_hold_connections_to() {
    let mut fleet = fleet(20, SMALL);
    let held = selected(&mut fleet);
    assert_eq!(held.len(), 5);
    assert_eq!(fleet.planner.unselected_workers(), 15);
    fleet.submit(job("j", 2, vec![step(160, 1)]));
    let used: std::collections::BTreeSet<WorkerId> = fleet
        .given
        .iter()
        .map(|order| order.worker.clone())
        .collect();
    assert!(used.iter().all(|id| held.contains(id)), "{used:?}");
    assert_eq!(used.len(), 5);
    // The same workers stay selected, and no more of them once some have left.
    assert_eq!(selected(&mut fleet), held);
    let now = fleet.now();
    fleet
        .planner
        .handle_unlisted_worker(&"w19".parse().expect("an id"), now);
    assert_eq!(selected(&mut fleet).len(), 5);
}

/// Guards against runs that a new planner on a small machine takes to go on, although it does not
/// renew them.
#[test]
fn what_ran_at_workers_beyond_its_connections_starts_again_where_a_small_planner_can_renew_it() {
    let mut fleet = fleet(20, VmLimits::default());
    let jobs = [job("j", 2, vec![step(20, 8)])];
    fleet.submit(jobs[0].clone());
    assert_eq!(fleet.given.len(), 20);
    fleet.succeed(&jobs);
    fleet.planner = fleet.planner.clone().with_limits(SMALL);
    let held = selected(&mut fleet);
    let beyond: Vec<WorkerId> = fleet
        .workers
        .keys()
        .filter(|id| !held.contains(id))
        .cloned()
        .collect();
    for id in &beyond {
        fleet.cut_off(id);
    }
    fleet.given.clear();
    for _ in 0..30 {
        fleet.pass(1_000);
        fleet.end_all();
        selected(&mut fleet);
    }
    assert!(!fleet.given.is_empty(), "nothing starts again");
    assert!(fleet.given.iter().all(|order| held.contains(&order.worker)));
    assert_eq!(fleet.planner.open_jobs(), 0);
}

/// Guards against a planner that falls behind and looks as if its workers were silent.
#[test]
fn a_planner_says_how_late_its_own_process_is() {
    let mut fleet = Fleet::new(&[("w1", "r1")]);
    let now = fleet.now();
    fleet.planner.tick(now);
    fleet
        .planner
        .record_tick_duration(Duration::from_millis(40));
    fleet.planner.record_lateness(Duration::from_millis(300));
    fleet.planner.record_lateness(Duration::from_millis(2));
    let lag = fleet.planner.contact_lag(now);
    assert_eq!(lag.pass, Duration::from_millis(10));
    assert_eq!(lag.lateness, Duration::from_millis(240));
}
