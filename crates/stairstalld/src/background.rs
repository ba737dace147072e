//! Background tasks whose end is noticed: each has a name, and what it belongs to is told when it
//! ends before its time.
//!
//! - [`BackgroundTasks`] belong to something that can't go on without them, such as a tenure.
//! - [`spawn_kept`] starts a task again that can go on from shared state.
//! - [`RequiredTasks`] can't be started again: the daemon stops, for its supervisor to start it.
//! - [`catch_panic`] makes a panic in one call an outcome of that call.

use std::any::Any;
use std::fmt;
use std::panic::{AssertUnwindSafe, resume_unwind};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures::FutureExt;
use nix::sys::signal::{Signal, raise};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Why a task ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskEnd {
    /// It returned although it should last.
    Returned,
    /// It panicked with this message.
    Panicked(String),
}

impl fmt::Display for TaskEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Returned => f.write_str("returned"),
            Self::Panicked(message) => write!(f, "panicked: {message}"),
        }
    }
}

/// A task that ended before its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndedTask {
    pub(crate) name: &'static str,
    pub(crate) why: TaskEnd,
}

impl fmt::Display for EndedTask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "its task {} {}", self.name, self.why)
    }
}

/// What tasks belong to.
pub(crate) trait TaskOwner: fmt::Debug + Send + Sync {
    /// Handles the end of one of its tasks, which is logged already.
    fn task_ended(&self, ended: EndedTask);

    /// Returns whether its tasks may end now.
    fn is_over(&self) -> bool;
}

/// Unwinds a task whose owner is over; see [`leave_task`].
struct OwnerIsOver;

/// Ends the task that calls this without a panic message, because its owner is over.
pub(crate) fn leave_task() -> ! {
    resume_unwind(Box::new(OwnerIsOver))
}

/// A panic that was caught, with its message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Panic(pub(crate) String);

/// Awaits a future; a panic in it is returned. What the future shares must not be left half changed
/// by a panic.
///
/// A task that leaves because its owner is over is not caught.
pub(crate) async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, Panic> {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => Ok(output),
        Err(payload) if payload.is::<OwnerIsOver>() => resume_unwind(payload),
        Err(payload) => Err(Panic(panic_message(payload.as_ref()))),
    }
}

/// Returns the message of a panic.
pub(crate) fn panic_message(payload: &(dyn Any + Send)) -> String {
    let text = payload
        .downcast_ref::<&str>()
        .map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "no message".to_owned())
}

/// How a task may end before its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lifetime {
    /// It lasts as long as its owner.
    Owners,
    /// It returns when it is done.
    UntilDone,
}

/// Runs a task and reports its end to its owner, unless it may end.
async fn run_watched(
    owner: &dyn TaskOwner,
    name: &'static str,
    lifetime: Lifetime,
    task: impl Future<Output = ()>,
) {
    let why = match AssertUnwindSafe(task).catch_unwind().await {
        Ok(()) if lifetime == Lifetime::UntilDone => return,
        Ok(()) => TaskEnd::Returned,
        Err(payload) if payload.is::<OwnerIsOver>() => return,
        Err(payload) => TaskEnd::Panicked(panic_message(payload.as_ref())),
    };
    if why == TaskEnd::Returned && owner.is_over() {
        return;
    }
    log::error!(target: "task", task = name, why:% = why; "a background task has ended");
    owner.task_ended(EndedTask { name, why });
}

/// Tasks that are aborted when this is dropped. Their owner is told when one ends before its time.
#[derive(Debug)]
pub(crate) struct BackgroundTasks {
    owner: Arc<dyn TaskOwner>,
    tasks: JoinSet<()>,
}

impl BackgroundTasks {
    pub(crate) fn new(owner: Arc<dyn TaskOwner>) -> Self {
        Self {
            owner,
            tasks: JoinSet::new(),
        }
    }

    /// Starts a task that lasts as long as its owner.
    pub(crate) fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.spawn_watched(name, Lifetime::Owners, task);
    }

    /// Starts a task that may return.
    pub(crate) fn spawn_until_done(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.spawn_watched(name, Lifetime::UntilDone, task);
    }

    fn spawn_watched(
        &mut self,
        name: &'static str,
        lifetime: Lifetime,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        // Their owner was told of those that ended before their time.
        while self.tasks.try_join_next().is_some() {}
        let owner = Arc::clone(&self.owner);
        self.tasks
            .spawn(async move { run_watched(&*owner, name, lifetime, task).await });
    }
}

/// How long to wait before a task is started again: twice as long after each end, up to a limit, and
/// the shortest time again after a run that lasted.
#[derive(Debug, Default)]
struct RestartDelay {
    last: Duration,
}

impl RestartDelay {
    const SHORTEST: Duration = Duration::from_millis(500);
    const LONGEST: Duration = Duration::from_secs(30);
    /// A run of this length counts as one without trouble.
    const LASTING_RUN: Duration = Duration::from_secs(60);

    /// Returns the delay after a run of this length.
    fn after(&mut self, run: Duration) -> Duration {
        self.last = if run >= Self::LASTING_RUN {
            Self::SHORTEST
        } else {
            (self.last * 2).clamp(Self::SHORTEST, Self::LONGEST)
        };
        self.last
    }
}

/// Runs a task that lasts as long as its owner, and starts it again when it ends. For tasks that
/// keep what must last elsewhere.
async fn keep_running<T: Future<Output = ()>>(
    owner: Arc<dyn TaskOwner>,
    name: &'static str,
    start: impl Fn() -> T,
) {
    let mut delay = RestartDelay::default();
    loop {
        let started = Instant::now();
        run_watched(&*owner, name, Lifetime::Owners, start()).await;
        tokio::time::sleep(delay.after(started.elapsed())).await;
    }
}

/// Starts a task that goes on from its owner's state whenever it is started again.
pub(crate) fn spawn_kept<O, T>(
    owner: &Arc<O>,
    name: &'static str,
    start: impl Fn(Arc<O>) -> T + Send + 'static,
) -> JoinHandle<()>
where
    O: TaskOwner + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let state = Arc::clone(owner);
    let start_again = move || start(Arc::clone(&state));
    tokio::spawn(keep_running(Arc::clone(owner) as _, name, start_again))
}

/// Tasks without which the daemon can't go on, and which can't be started again. When one ends, the
/// daemon stops as after a SIGTERM, and [`ended`](Self::ended) says why.
#[derive(Debug, Clone)]
pub(crate) struct RequiredTasks {
    owner: Arc<dyn TaskOwner>,
    ended: Arc<OnceLock<&'static str>>,
}

impl RequiredTasks {
    pub(crate) fn new(owner: Arc<dyn TaskOwner>) -> Self {
        Self {
            owner,
            ended: Arc::default(),
        }
    }

    /// Starts a task.
    pub(crate) fn spawn(
        &self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let Self { owner, ended } = self.clone();
        tokio::spawn(async move {
            run_watched(&*owner, name, Lifetime::Owners, task).await;
            if !owner.is_over() && ended.set(name).is_ok() {
                request_stop();
            }
        });
    }

    /// Returns the name of the task whose end stopped the daemon, if one did.
    pub(crate) fn ended(&self) -> Option<&'static str> {
        self.ended.get().copied()
    }
}

/// Asks this process to stop, as its supervisor would.
fn request_stop() {
    if let Err(error) = raise(Signal::SIGTERM) {
        log::error!(target: "task", why:% = error; "could not ask this process to stop");
    }
}
