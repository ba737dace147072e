//! A caller's call from its arrival to its answer, as it is logged and counted.

use std::sync::atomic::{AtomicU8, Ordering};

use stairstall_core::Timestamp;
use viz::{Method, Request, StatusCode};

use super::node::Node;
use crate::clock::millis;
use crate::server::CallerAddress;

/// What a call is waiting for. Logged under these names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum CallStage {
    /// Confirming the configuration, by which the call is routed and its key checked.
    Catalog,
    /// Reading its body.
    Body,
    /// Deciding whether the job is admitted.
    Admission,
    /// Writing to the store.
    StoreWrite,
    /// Having a peer write to the store.
    Relay,
    /// Notifying the planner of what is stored.
    Notice,
    /// Asking the planner.
    Planner,
    /// Reading the job from the store.
    StoreJob,
    /// Reading the job's progress from the store.
    StoreProgress,
}

impl CallStage {
    const ALL: [Self; 9] = [
        Self::Catalog,
        Self::Body,
        Self::Admission,
        Self::StoreWrite,
        Self::Relay,
        Self::Notice,
        Self::Planner,
        Self::StoreJob,
        Self::StoreProgress,
    ];

    /// Returns the name used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Catalog => "catalog",
            Self::Body => "body",
            Self::Admission => "admission",
            Self::StoreWrite => "store-write",
            Self::Relay => "relay",
            Self::Notice => "notice",
            Self::Planner => "planner",
            Self::StoreJob => "store-job",
            Self::StoreProgress => "store-progress",
        }
    }
}

/// The stage that a call is in. It is atomic because a call's handling may move between threads.
#[derive(Debug, Default)]
pub(crate) struct CallProgress(AtomicU8);

impl CallProgress {
    /// Records that the call enters a stage.
    pub(crate) fn enter(&self, stage: CallStage) {
        self.0.store(stage as u8, Ordering::Relaxed);
    }

    fn stage(&self) -> CallStage {
        let index = usize::from(self.0.load(Ordering::Relaxed));
        CallStage::ALL[index]
    }
}

/// Returns the kind of a call as it is named in logs and metrics.
fn call_kind(method: &Method) -> &'static str {
    match *method {
        Method::POST => "submit",
        Method::DELETE => "cancel",
        _ => "ask",
    }
}

/// A call without an answer so far. If it is dropped before it has one, it is logged and counted as
/// dropped: its caller has left, its connection broke, or the drain limit was reached.
pub(crate) struct OpenCall<'a> {
    node: &'a Node,
    kind: &'static str,
    /// Method and path.
    target: String,
    caller: Option<CallerAddress>,
    started: Timestamp,
    progress: CallProgress,
    is_answered: bool,
}

impl<'a> OpenCall<'a> {
    pub(crate) fn new(node: &'a Node, request: &Request) -> Self {
        Self {
            node,
            kind: call_kind(request.method()),
            target: format!("{} {}", request.method(), request.uri().path()),
            caller: request.extensions().get().copied(),
            started: node.clock.now(),
            progress: CallProgress::default(),
            is_answered: false,
        }
    }

    pub(crate) const fn progress(&self) -> &CallProgress {
        &self.progress
    }

    /// Logs and counts the call's answer; `why` is empty for a success.
    pub(crate) fn answered(mut self, status: StatusCode, why: &str) {
        self.is_answered = true;
        let took = self.node.clock.now() - self.started;
        self.node.telemetry.call(self.kind, status.as_u16(), took);
        if status.is_success() {
            self.log_success(status.as_u16());
        } else {
            self.log_failure(status.as_u16(), why);
        }
    }

    fn log_success(&self, status: u16) {
        let level = if self.kind == "ask" {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(target: "call", level, call:% = self.target, status, ms = self.ms(),
            catalog = self.node.catalog_version(), catalog_age_ms:? = self.catalog_age_ms(); "");
    }

    fn log_failure(&self, status: u16, why: &str) {
        let caller = self
            .caller
            .map_or_else(|| "-".to_owned(), |caller| caller.0.to_string());
        log::info!(target: "call", call:% = self.target, status, ms = self.ms(),
            catalog = self.node.catalog_version(), catalog_age_ms:? = self.catalog_age_ms(),
            stage = self.progress.stage().as_str(), caller; "{why}");
    }

    fn ms(&self) -> u64 {
        millis(self.node.clock.now() - self.started)
    }

    fn catalog_age_ms(&self) -> Option<u64> {
        let age = self.node.known_catalog.age(self.node.clock.now());
        age.map(millis)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        self.node.telemetry.dropped_call(self.kind);
        self.log_failure(0, "dropped before it had an answer");
    }
}
