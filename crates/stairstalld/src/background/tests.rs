use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::{
    BackgroundTasks, EndedTask, Panic, RequiredTasks, RestartDelay, TaskEnd, TaskOwner,
    catch_panic, keep_running, leave_task,
};
use crate::daemon::lock;

/// Records the ends of its tasks.
#[derive(Debug, Default)]
struct Owner {
    ends: Mutex<Vec<EndedTask>>,
    is_over: AtomicBool,
}

impl Owner {
    fn ends(&self) -> Vec<EndedTask> {
        lock(&self.ends).clone()
    }
}

impl TaskOwner for Owner {
    fn task_ended(&self, ended: EndedTask) {
        lock(&self.ends).push(ended);
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }
}

fn ended(name: &'static str, why: TaskEnd) -> EndedTask {
    EndedTask { name, why }
}

fn panicked(message: &str) -> TaskEnd {
    TaskEnd::Panicked(message.to_owned())
}

/// Lets all tasks run until they wait.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(20)).await;
}

#[tokio::test]
async fn the_owner_is_told_which_task_ended_and_why() {
    let owner = Arc::new(Owner::default());
    let mut tasks = BackgroundTasks::new(owner.clone());
    tasks.spawn("returns", async {});
    tasks.spawn("panics", async { panic!("at {}", 7) });
    tasks.spawn("lasts", std::future::pending());
    tasks.spawn_until_done("done", async {});
    tasks.spawn_until_done("fails", async { panic!("half way") });
    settle().await;
    let expected = vec![
        ended("returns", TaskEnd::Returned),
        ended("panics", panicked("at 7")),
        ended("fails", panicked("half way")),
    ];
    assert_eq!(owner.ends(), expected);
}

#[tokio::test]
async fn a_task_that_leaves_with_its_owner_is_not_reported() {
    let owner = Arc::new(Owner::default());
    let mut tasks = BackgroundTasks::new(owner.clone());
    tasks.spawn("leaves", async { leave_task() });
    tasks.spawn("leaves in a call", async {
        let _ = catch_panic(async { leave_task() }).await;
        panic!("it must not go on");
    });
    settle().await;
    assert_eq!(owner.ends(), vec![]);
}

#[tokio::test]
async fn a_panic_in_a_call_is_its_outcome() {
    assert_eq!(catch_panic(async { 3 }).await, Ok(3));
    let failed: Result<u32, Panic> = catch_panic(async { panic!("no answer") }).await;
    assert_eq!(failed, Err(Panic("no answer".to_owned())));
}

#[test]
fn a_task_that_ends_each_time_is_started_ever_later() {
    let mut delay = RestartDelay::default();
    let delays: Vec<u128> = (0..9)
        .map(|_| delay.after(Duration::ZERO).as_millis())
        .collect();
    let expected = [
        500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000, 30_000,
    ];
    assert_eq!(delays, expected);
    let lasting = delay.after(RestartDelay::LASTING_RUN);
    assert_eq!(lasting, RestartDelay::SHORTEST);
}

#[tokio::test]
async fn a_task_is_started_again_and_its_owner_is_told_each_time() {
    let owner = Arc::new(Owner::default());
    let starts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);
    tokio::spawn(keep_running(owner.clone(), "panics", move || {
        counted.fetch_add(1, Ordering::SeqCst);
        async { panic!("each time") }
    }));
    tokio::time::sleep(RestartDelay::SHORTEST * 2).await;
    let starts = starts.load(Ordering::SeqCst);
    assert_eq!(starts, 2, "the second delay is longer");
    assert_eq!(owner.ends().len(), usize::try_from(starts).unwrap_or(0));
}

#[tokio::test]
async fn the_end_of_a_required_task_asks_the_process_to_stop() {
    // From now on the signal does not end this process.
    let mut stop = signal(SignalKind::terminate()).expect("a handler");
    let tasks = RequiredTasks::new(Arc::new(Owner::default()));
    tasks.spawn("panics", async { panic!("no server") });
    let asked = tokio::time::timeout(Duration::from_secs(10), stop.recv()).await;
    assert_eq!(asked, Ok(Some(())));
    assert_eq!(tasks.ended(), Some("panics"));
}

#[tokio::test]
async fn the_end_of_a_required_task_of_a_stopping_daemon_is_no_fault() {
    let owner = Arc::new(Owner::default());
    owner.is_over.store(true, Ordering::SeqCst);
    let tasks = RequiredTasks::new(owner.clone());
    tasks.spawn("returns", async {});
    settle().await;
    assert_eq!(tasks.ended(), None);
    assert_eq!(owner.ends(), vec![]);
}
