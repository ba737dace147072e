//! Calls to workers that are late, lost, or answered in vain.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use stairstall_core::WorkerId;
use stairstall_core::batch::{Order, ReportRequest, StartOutcome, StopOutcome, WorkerReport};

/// Longest time that a call or an answer takes where nothing is wrong, in milliseconds.
const TRANSIT_MS: u64 = 12;

/// What is asked of a worker.
#[derive(Debug, Clone)]
pub enum Call {
    Hold(ReportRequest),
    Start(Order),
    Stop(Order),
}

impl Call {
    pub const fn token(&self) -> u64 {
        match self {
            Self::Hold(request) => request.token,
            Self::Start(order) | Self::Stop(order) => order.token,
        }
    }
}

/// What a worker answers.
#[derive(Debug, Clone)]
pub enum Answer {
    Report(WorkerReport),
    Start(StartOutcome),
    Stop(StopOutcome),
    /// Another life answers at the worker's address.
    OtherLife,
}

/// A call on its way.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Which of all calls.
    pub number: u64,
    pub worker: WorkerId,
    pub call: Call,
    pub asked_ms: u64,
    /// Whether its answer reaches whoever asked.
    pub is_heard: bool,
}

/// How bad the network is at one time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trouble {
    /// Calls in a thousand that never arrive.
    pub lost: u32,
    /// Calls in a thousand that are carried out, and whose answer is lost.
    pub unanswered: u32,
    /// Calls in a thousand that are carried out late, by whichever life is there then.
    pub late: u32,
    /// Longest delay of those, in milliseconds.
    pub late_ms: u64,
}

/// Things that come at a time, in order.
#[derive(Debug)]
pub struct Timeline<T> {
    due: BTreeMap<(u64, u64), T>,
    count: u64,
}

impl<T> Timeline<T> {
    pub const fn new() -> Self {
        Self {
            due: BTreeMap::new(),
            count: 0,
        }
    }

    pub fn push(&mut self, at_ms: u64, item: T) {
        self.count += 1;
        self.due.insert((at_ms, self.count), item);
    }

    /// Takes what is due by a moment.
    pub fn take(&mut self, at_ms: u64) -> Vec<T> {
        let later = self.due.split_off(&(at_ms + 1, 0));
        std::mem::replace(&mut self.due, later)
            .into_values()
            .collect()
    }
}

/// Decides when a call arrives, if it does, and whether its answer is heard.
pub fn fate(trouble: Trouble, at_ms: u64, random: &mut Pcg64Mcg) -> Option<(u64, bool)> {
    let arrives_ms = at_ms + random.random_range(1..=TRANSIT_MS);
    let drawn = random.random_range(0..1_000);
    if drawn < trouble.lost {
        return None;
    }
    if drawn < trouble.lost + trouble.unanswered {
        return Some((arrives_ms, false));
    }
    if drawn < trouble.lost + trouble.unanswered + trouble.late {
        return Some((arrives_ms + random.random_range(0..=trouble.late_ms), false));
    }
    Some((arrives_ms, true))
}

/// Returns how long an answer takes.
pub fn transit(random: &mut Pcg64Mcg) -> u64 {
    random.random_range(1..=TRANSIT_MS)
}
