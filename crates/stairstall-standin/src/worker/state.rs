use std::collections::BTreeMap;
use std::time::Duration;

use stairstall_core::placement::Capacity;
use stairstall_core::protocol::{
    Command, Order, StaleRequest, SyncReply, SyncRequest, TaskId, TaskPhase, TaskReport, TaskSpec,
    Usage,
};

/// Payload of a task that ends without success.
const FAILING_PAYLOAD: &str = "fail";
/// How old the usage figures are.
const USAGE_LAG: Duration = Duration::from_secs(2);

/// One start of a task, as the worker saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRecord {
    /// The task.
    pub task: TaskId,
    /// Members of its gang.
    pub gang: u16,
    /// Whether its job may run more than once.
    pub repeatable: bool,
    /// Whether it was confirmed: all members were known to run.
    pub confirmed: bool,
    /// When it started, since the worker's own start.
    pub started: Duration,
    /// When it ended or was stopped.
    pub ended: Option<Duration>,
}

#[derive(Debug, Clone)]
struct Task {
    spec: Box<TaskSpec>,
    phase: TaskPhase,
    lease_until: Duration,
    advanced_at: Duration,
    done: Duration,
    saved: Duration,
    checkpoint_at: Option<Duration>,
    percent: u8,
    changed: u64,
    record: Option<usize>,
}

impl Task {
    const fn is_running(&self) -> bool {
        matches!(
            self.phase,
            TaskPhase::Started | TaskPhase::Confirmed | TaskPhase::Checkpointed
        )
    }

    const fn holds(&self) -> bool {
        self.is_running() || matches!(self.phase, TaskPhase::Reserved)
    }
}

/// A worker's tasks as a function of requests and time; it does no input or output.
#[derive(Debug, Clone)]
pub struct WorkerState {
    incarnation: u64,
    capacity: Capacity,
    speed: u32,
    token: u64,
    sequence: u64,
    version: u64,
    tasks: BTreeMap<TaskId, Task>,
    starts: Vec<StartRecord>,
    served: u64,
    refused: u64,
}

impl WorkerState {
    /// Creates a worker without tasks.
    #[must_use]
    pub const fn new(incarnation: u64, capacity: Capacity, speed: u32) -> Self {
        Self {
            incarnation,
            capacity,
            speed,
            token: 0,
            sequence: 0,
            version: 0,
            tasks: BTreeMap::new(),
            starts: Vec::new(),
            served: 0,
            refused: 0,
        }
    }

    /// Returns every start so far.
    #[must_use]
    pub fn starts(&self) -> &[StartRecord] {
        &self.starts
    }

    /// Returns how many syncs were served and how many refused.
    #[must_use]
    pub const fn syncs(&self) -> (u64, u64) {
        (self.served, self.refused)
    }

    /// Returns the tasks that run.
    #[must_use]
    pub fn running_tasks(&self) -> Vec<TaskId> {
        self.tasks
            .iter()
            .filter(|(_, t)| t.is_running())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the tasks that run, and what they are.
    pub fn running_specs(&self) -> impl Iterator<Item = (&TaskId, &TaskSpec)> {
        self.tasks
            .iter()
            .filter(|(_, t)| t.is_running())
            .map(|(id, t)| (id, t.spec.as_ref()))
    }

    /// Returns the incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the capacity.
    #[must_use]
    pub const fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Returns how many tasks run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.tasks.values().filter(|t| t.is_running()).count()
    }

    /// Serves one request.
    ///
    /// # Errors
    ///
    /// Refuses a token or sequence that is too low; nothing is done then.
    pub fn sync(
        &mut self,
        request: &SyncRequest,
        now: Duration,
    ) -> Result<SyncReply, StaleRequest> {
        self.advance(now);
        let newer = request.token > self.token
            || (request.token == self.token && request.sequence > self.sequence);
        if !newer {
            self.refused += 1;
            return Err(StaleRequest {
                highest: self.token,
            });
        }
        self.served += 1;
        self.token = request.token;
        self.sequence = request.sequence;
        for command in &request.commands {
            self.carry_out(command, now);
        }
        self.renew(request.lease_ms, now);
        let commanded = |id: &TaskId| request.commands.iter().any(|c| c.task == *id);
        let tasks = self
            .tasks
            .iter()
            .filter(|(id, task)| task.changed > request.since || commanded(id))
            .map(|(id, task)| report(id, task))
            .collect();
        Ok(SyncReply {
            incarnation: self.incarnation,
            version: self.version,
            capacity: self.capacity,
            usage: self.usage(),
            tasks,
        })
    }

    fn renew(&mut self, lease_ms: u64, now: Duration) {
        if lease_ms == 0 {
            return;
        }
        let until = now + Duration::from_millis(lease_ms);
        for task in self.tasks.values_mut() {
            if matches!(task.phase, TaskPhase::Confirmed | TaskPhase::Checkpointed) {
                task.lease_until = until;
            }
        }
    }

    /// Ends leases that lapsed and tasks that are done.
    pub fn advance(&mut self, now: Duration) {
        let ids: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.holds())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.advance_task(&id, now);
        }
    }

    fn advance_task(&mut self, id: &TaskId, now: Duration) {
        let speed = self.speed;
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if task.is_running() {
            // Work after the lease's end does not count: the task was stopped then.
            let until = now.min(task.lease_until);
            let passed = until.saturating_sub(task.advanced_at);
            task.done += passed * speed * u32::from(task.percent) / 100;
            task.advanced_at = until.max(task.advanced_at);
            if task.checkpoint_at.is_some_and(|at| at <= until) {
                task.checkpoint_at = None;
                task.saved = task.done;
                self.set_phase(id, TaskPhase::Checkpointed, now);
            }
        }
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if task.is_running() && task.done >= Duration::from_millis(task.spec.work_ms) {
            let success = task.spec.payload != FAILING_PAYLOAD;
            let output = format!("done by member {} of {}", id.member, id.job);
            self.set_phase(id, TaskPhase::Finished { success, output }, now);
        } else if task.lease_until <= now {
            let started = task.is_running();
            self.set_phase(id, TaskPhase::Stopped { started }, now);
        }
    }

    fn carry_out(&mut self, command: &Command, now: Duration) {
        let id = &command.task;
        match &command.order {
            Order::Reserve { spec, lease_ms } => self.reserve(id, spec, *lease_ms, now),
            Order::Start { lease_ms } => self.start(id, *lease_ms, now),
            Order::Confirm => self.confirm(id, now),
            Order::Checkpoint => self.begin_checkpoint(id, now),
            Order::Throttle { percent } => {
                if let Some(task) = self.tasks.get_mut(id) {
                    task.percent = (*percent).min(100);
                }
            }
            Order::Stop => {
                let Some(task) = self.tasks.get(id).filter(|t| t.holds()) else {
                    return;
                };
                let started = task.is_running();
                self.set_phase(id, TaskPhase::Stopped { started }, now);
            }
            Order::Forget => {
                if self.tasks.get(id).is_some_and(|t| !t.holds()) {
                    self.tasks.remove(id);
                }
            }
        }
    }

    fn reserve(&mut self, id: &TaskId, spec: &TaskSpec, lease_ms: u64, now: Duration) {
        if self.tasks.contains_key(id) {
            return;
        }
        let fits = self.fits(spec);
        let task = Task {
            spec: Box::new(spec.clone()),
            phase: TaskPhase::Refused,
            lease_until: now + Duration::from_millis(lease_ms),
            advanced_at: now,
            done: Duration::from_millis(spec.resume_ms),
            saved: Duration::from_millis(spec.resume_ms),
            checkpoint_at: None,
            percent: 100,
            changed: 0,
            record: None,
        };
        self.tasks.insert(id.clone(), task);
        let phase = if fits {
            TaskPhase::Reserved
        } else {
            TaskPhase::Refused
        };
        self.set_phase(id, phase, now);
    }

    fn fits(&self, spec: &TaskSpec) -> bool {
        let held = self.tasks.values().filter(|t| t.holds());
        let (mask, processors, memory) = held.fold((0, 0_u32, 0_u64), |(mask, p, m), task| {
            let shape = &task.spec.shape;
            let sums = (
                p + u32::from(shape.processors),
                m + u64::from(shape.memory_mb),
            );
            (mask | task.spec.accelerators, sums.0, sums.1)
        });
        spec.accelerators & mask == 0
            && spec.accelerators & !self.capacity.mask() == 0
            && processors + u32::from(spec.shape.processors) <= u32::from(self.capacity.processors)
            && memory + u64::from(spec.shape.memory_mb) <= u64::from(self.capacity.memory_mb)
    }

    fn start(&mut self, id: &TaskId, lease_ms: u64, now: Duration) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if task.phase != TaskPhase::Reserved {
            return;
        }
        task.lease_until = now + Duration::from_millis(lease_ms);
        task.advanced_at = now;
        task.record = Some(self.starts.len());
        self.starts.push(StartRecord {
            task: id.clone(),
            gang: task.spec.shape.members,
            repeatable: task.spec.repeatable,
            confirmed: false,
            started: now,
            ended: None,
        });
        self.set_phase(id, TaskPhase::Started, now);
    }

    fn confirm(&mut self, id: &TaskId, now: Duration) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        if task.phase != TaskPhase::Started {
            return;
        }
        if let Some(record) = task.record {
            self.starts[record].confirmed = true;
        }
        self.set_phase(id, TaskPhase::Confirmed, now);
    }

    fn begin_checkpoint(&mut self, id: &TaskId, now: Duration) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let Some(takes) = task.spec.checkpoint_ms else {
            return;
        };
        if task.is_running()
            && task.phase != TaskPhase::Checkpointed
            && task.checkpoint_at.is_none()
        {
            task.checkpoint_at = Some(now + Duration::from_millis(takes));
        }
    }

    fn set_phase(&mut self, id: &TaskId, phase: TaskPhase, now: Duration) {
        self.version += 1;
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.phase = phase;
        task.changed = self.version;
        if let Some(record) = task.record.filter(|_| !task.holds()) {
            self.starts[record].ended = Some(now.min(task.lease_until));
        }
    }

    fn usage(&self) -> Usage {
        let running = || self.tasks.values().filter(|t| t.is_running());
        Usage {
            age_ms: u64::try_from(USAGE_LAG.as_millis()).unwrap_or(u64::MAX),
            accelerators: running()
                .map(|t| u16::try_from(t.spec.accelerators.count_ones()).unwrap_or(u16::MAX))
                .sum(),
            processors: running().map(|t| t.spec.shape.processors).sum(),
            memory_mb: running().map(|t| t.spec.shape.memory_mb).sum(),
        }
    }
}

fn report(id: &TaskId, task: &Task) -> TaskReport {
    TaskReport {
        task: id.clone(),
        phase: task.phase.clone(),
        saved_ms: u64::try_from(task.saved.as_millis()).unwrap_or(u64::MAX),
        spec: task.spec.clone(),
    }
}
