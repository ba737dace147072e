//! A worker that does as it is told.

use std::collections::BTreeMap;

use stairstall_core::batch::{Incarnation, RunEnd, RunEndKind, TaskKey};

use super::{SPAN_MS, START_UNIX_MS};

/// A worker that does what it is told at once.
#[derive(Debug, Clone)]
pub struct FakeWorker {
    /// By task: the run, how long it has worked, and the checkpoint.
    pub running: BTreeMap<TaskKey, (u32, u64, Option<String>)>,
    pub ended: Vec<RunEnd>,
    pub forgotten: u64,
    pub deadline_ms: u64,
    /// How long a task's work takes, in milliseconds; none where nothing gets on.
    pub span_ms: Option<u64>,
    next_end: u64,
    /// When this life began; its clock counts from there.
    pub born_ms: u64,
    /// By how much its time of day was set back when it began.
    pub set_back_ms: u64,
}

impl Default for FakeWorker {
    fn default() -> Self {
        Self {
            running: BTreeMap::new(),
            ended: Vec::new(),
            forgotten: 0,
            deadline_ms: 0,
            span_ms: Some(SPAN_MS),
            next_end: 0,
            born_ms: 0,
            set_back_ms: 0,
        }
    }
}

impl FakeWorker {
    /// A life that begins at a moment and knows nothing of the one before.
    pub fn born(at_ms: u64) -> Self {
        Self {
            born_ms: at_ms,
            ..Self::default()
        }
    }

    pub fn incarnation(&self) -> Incarnation {
        Incarnation::from_unix_ms(START_UNIX_MS + self.born_ms - self.set_back_ms)
    }

    /// Forgets ends that were taken note of; returns the tasks among them that are done.
    ///
    /// Workers may look through their ends at each request, or only where it names a higher number
    /// than the requests before: then an end whose number was named before it came stays listed.
    pub fn forget(&mut self, last_seen: u64, at_once: bool) -> Vec<TaskKey> {
        if last_seen <= self.forgotten && !at_once {
            return Vec::new();
        }
        self.forgotten = self.forgotten.max(last_seen);
        let forgotten = self.forgotten;
        let noted = self.ended.iter().filter(|end| end.number <= forgotten);
        let done = noted.filter(|end| end.kind == RunEndKind::Done);
        let done = done.map(|end| end.task.clone()).collect();
        self.ended.retain(|end| end.number > forgotten);
        done
    }

    /// Lets what runs get on for a while; nothing ends by itself.
    pub fn work(&mut self, ms: u64) {
        let Some(span_ms) = self.span_ms else {
            return;
        };
        for (_, worked_ms, _) in self.running.values_mut() {
            *worked_ms = (*worked_ms + ms * SPAN_MS / span_ms).min(SPAN_MS);
        }
    }

    /// Ends a run.
    pub fn end(&mut self, task: &TaskKey, kind: RunEndKind) {
        let (run, _, checkpoint) = self.running.remove(task).expect("the task runs");
        self.next_end += 1;
        self.ended.push(RunEnd {
            number: self.next_end,
            task: task.clone(),
            run,
            kind,
            checkpoint,
        });
    }
}
