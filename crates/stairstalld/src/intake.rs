//! What callers' connections, request heads and request bodies may hold together.
//!
//! The limits follow from the memory and the open files of the VM. When one is used up, the
//! connection whose request has stood unfinished for longest is closed, so that callers that finish
//! what they send are still answered.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::millis;
use crate::daemon::lock;

/// Share of the VM's memory and open files for callers, in percent. Workers may take up to the rest
/// (`flow.workers_vm_percent`).
const CALLERS_VM_PERCENT: u64 = 10;
/// Share of that memory for the buffers of connections, in percent. The rest is for bodies.
const BUFFERS_PERCENT: usize = 50;
/// Memory of an open connection beside the buffer of its request's head, in bytes.
const CONNECTION_BYTES: usize = 12 * 1024;
/// Default limits where the VM's are not known.
const DEFAULT_CONNECTIONS: usize = 4_096;
const DEFAULT_BYTES: usize = 128 * 1024 * 1024;
/// Default of the longest head. Callers' heads have some hundred bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Fewest connections, with which also the smallest VM serves callers beside its balancer.
const MIN_CONNECTIONS: usize = 16;
/// Least memory, in which several requests of the longest usual kind find room.
const MIN_BYTES: usize = 4 * 1024 * 1024;

/// Limits of one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Connections that may be open.
    pub connections: usize,
    /// Bytes that all unfinished and unanswered bodies may hold.
    pub body_bytes: usize,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
}

/// Limits as they were set; 0 takes what follows from the VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct IntakeSettings {
    /// Memory of the VM in bytes; 0 if it is not known.
    pub memory_bytes: u64,
    /// Open files of the VM; 0 if they are not known.
    pub open_files: u64,
    /// Connections that may be open.
    pub connections: usize,
    /// Memory for connections, heads and bodies together, in bytes.
    pub bytes: usize,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
}

impl IntakeLimits {
    /// Returns the limits for a VM.
    #[must_use]
    pub fn new(settings: &IntakeSettings) -> Self {
        let share = |whole: u64| usize::try_from(whole * CALLERS_VM_PERCENT / 100).unwrap_or(0);
        let set_or = |set: usize, derived: usize| if set > 0 { set } else { derived };
        let bytes = match settings.memory_bytes {
            0 => DEFAULT_BYTES,
            memory => share(memory).max(MIN_BYTES),
        };
        let bytes = set_or(settings.bytes, bytes);
        let head_bytes = set_or(settings.head_bytes, DEFAULT_HEAD_BYTES);
        let buffer_bytes = bytes * BUFFERS_PERCENT / 100;
        let by_memory = buffer_bytes / (head_bytes + CONNECTION_BYTES);
        let by_files = match settings.open_files {
            0 => DEFAULT_CONNECTIONS,
            files => share(files).max(MIN_CONNECTIONS),
        };
        let connections = by_files.min(by_memory.max(MIN_CONNECTIONS));
        Self {
            connections: set_or(settings.connections, connections),
            body_bytes: bytes - buffer_bytes,
            head_bytes,
        }
    }

    /// Returns limits for an address that only the platform's own checks come to.
    #[must_use]
    pub fn for_checks(self) -> Self {
        Self {
            connections: (self.connections / 4).max(MIN_CONNECTIONS),
            body_bytes: self.body_bytes / 4,
            ..self
        }
    }
}

/// What the connection of a caller is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a request, or for the rest of its head.
    ReadingHead,
    /// It waits for the rest of a body.
    ReadingBody,
    /// Its request is being handled.
    Handling,
}

impl Phase {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::ReadingHead => "reading-head",
            Self::ReadingBody => "reading-body",
            Self::Handling => "handling",
        }
    }

    /// Returns whether a request has arrived, at least its head, that has no answer yet.
    pub(crate) const fn has_request(self) -> bool {
        !matches!(self, Self::ReadingHead)
    }
}

/// Why a connection ended other than by its caller's or the server's closing it between requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseCause {
    /// It was unfinished for so long that it gave way to others.
    GaveWay,
    /// Its caller took too long to send the rest of a head.
    HeadTimeout,
    /// It broke, its caller left, or what it sent was not HTTP.
    BrokeOff,
}

impl CloseCause {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::GaveWay => "gave-way",
            Self::HeadTimeout => "head-timeout",
            Self::BrokeOff => "broke-off",
        }
    }
}

/// What one connection is doing, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionState {
    pub(crate) caller: SocketAddr,
    pub(crate) phase: Phase,
    /// For how long it has been in this phase.
    pub(crate) phase_age: Duration,
}

/// What the connections of one address are doing, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct IntakeSummary {
    pub(crate) open: usize,
    pub(crate) handling: usize,
    pub(crate) reading_bodies: usize,
    /// For how long a request has been in its phase, at the most.
    pub(crate) oldest: Duration,
}

#[derive(Debug)]
struct Entry {
    caller: SocketAddr,
    phase: Phase,
    /// Since when it has been in this phase.
    since: Instant,
    /// Bytes of its body.
    body_bytes: usize,
    is_closing: bool,
    close: Arc<Notify>,
}

impl Entry {
    fn state(&self) -> ConnectionState {
        ConnectionState {
            caller: self.caller,
            phase: self.phase,
            phase_age: self.since.elapsed(),
        }
    }
}

#[derive(Debug, Default)]
struct Entries {
    by_id: BTreeMap<u64, Entry>,
    next_id: u64,
    body_bytes: usize,
    /// Connections that were closed or refused so far.
    closed: u64,
    refused: u64,
    /// Connections that ended in the midst of a head, by time and otherwise, or of a request.
    head_timeouts: u64,
    broke_off: u64,
}

impl Entries {
    fn open(&self) -> usize {
        let open = self.by_id.values().filter(|entry| !entry.is_closing);
        open.count()
    }

    /// Closes the connection that has been unfinished for longest among those that pass a test.
    /// Returns whether there was one.
    fn close_oldest(&mut self, test: impl Fn(&Entry) -> bool) -> bool {
        let unfinished = self
            .by_id
            .iter_mut()
            .filter(|(_, entry)| !entry.is_closing && entry.phase != Phase::Handling)
            .filter(|(_, entry)| test(entry));
        let oldest = unfinished.min_by_key(|(id, entry)| (entry.since, **id));
        let Some((_, oldest)) = oldest else {
            return false;
        };
        oldest.is_closing = true;
        oldest.close.notify_one();
        self.closed += 1;
        true
    }
}

/// How much callers hold, and what had to give way so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IntakeUse {
    /// Connections that are open.
    pub connections: usize,
    /// Bytes that bodies hold.
    pub body_bytes: usize,
    /// Connections that were closed so that others could go on.
    pub closed: u64,
    /// Connections that were closed at once, since all others were being answered.
    pub refused: u64,
    /// Connections whose callers took too long to send the rest of a head.
    pub head_timeouts: u64,
    /// Connections that broke, or whose callers left, in the midst of a head or a request.
    pub broke_off: u64,
}

impl IntakeUse {
    /// Returns the figures with the names that they have in metrics.
    pub(crate) const fn named(self) -> [(&'static str, u64); 6] {
        [
            ("connections", self.connections as u64),
            ("body_bytes", self.body_bytes as u64),
            ("closed", self.closed),
            ("refused", self.refused),
            ("head_timeouts", self.head_timeouts),
            ("broke_off", self.broke_off),
        ]
    }
}

/// The connections of one address.
#[derive(Debug)]
pub(crate) struct Intake {
    limits: IntakeLimits,
    entries: Mutex<Entries>,
    /// Told whenever bytes are free again.
    released: Notify,
}

impl Intake {
    pub(crate) fn new(limits: IntakeLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            entries: Mutex::default(),
            released: Notify::new(),
        })
    }

    pub(crate) const fn limits(&self) -> IntakeLimits {
        self.limits
    }

    /// Returns how much callers hold now.
    pub(crate) fn in_use(&self) -> IntakeUse {
        let entries = self.entries();
        IntakeUse {
            connections: entries.by_id.len(),
            body_bytes: entries.body_bytes,
            closed: entries.closed,
            refused: entries.refused,
            head_timeouts: entries.head_timeouts,
            broke_off: entries.broke_off,
        }
    }

    /// Returns a summary of what the connections are doing.
    pub(crate) fn summary(&self) -> IntakeSummary {
        let states = self.states();
        let count = |phase| states.iter().filter(|state| state.phase == phase).count();
        let requests = states.iter().filter(|state| state.phase.has_request());
        IntakeSummary {
            open: states.len(),
            handling: count(Phase::Handling),
            reading_bodies: count(Phase::ReadingBody),
            oldest: requests
                .map(|state| state.phase_age)
                .max()
                .unwrap_or_default(),
        }
    }

    /// Returns the connections whose requests have no answer yet, at most `most`, those that have
    /// been in their phase for longest first.
    pub(crate) fn open_requests(&self, most: usize) -> Vec<ConnectionState> {
        let mut states = self.states();
        states.retain(|state| state.phase.has_request());
        states.sort_by_key(|state| std::cmp::Reverse(state.phase_age));
        states.truncate(most);
        states
    }

    fn states(&self) -> Vec<ConnectionState> {
        self.entries().by_id.values().map(Entry::state).collect()
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        lock(&self.entries)
    }

    /// Admits a new connection, for which the one that has been unfinished for longest is closed if
    /// there are too many. Returns `None` if the requests of all others are being handled.
    pub(crate) fn admit(self: &Arc<Self>, caller: SocketAddr) -> Option<OpenConnection> {
        let mut entries = self.entries();
        let is_full = entries.open() >= self.limits.connections;
        if is_full && !entries.close_oldest(|_| true) {
            entries.refused += 1;
            return None;
        }
        let id = entries.next_id;
        entries.next_id += 1;
        let close = Arc::new(Notify::new());
        let entry = Entry {
            caller,
            phase: Phase::ReadingHead,
            since: Instant::now(),
            body_bytes: 0,
            is_closing: false,
            close: Arc::clone(&close),
        };
        entries.by_id.insert(id, entry);
        Some(OpenConnection {
            handle: ConnectionHandle {
                intake: Arc::clone(self),
                id,
            },
            close,
        })
    }
}

/// A connection that counts until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    handle: ConnectionHandle,
    close: Arc<Notify>,
}

impl OpenConnection {
    pub(crate) const fn handle(&self) -> &ConnectionHandle {
        &self.handle
    }

    /// Logs and counts the end of the connection. One that broke off between requests, or in the
    /// midst of a head, is no news.
    pub(crate) fn log_close(&self, cause: CloseCause) {
        let Some(state) = self.handle.count_close(cause) else {
            return;
        };
        let is_news = cause != CloseCause::BrokeOff || state.phase.has_request();
        let level = if is_news {
            log::Level::Info
        } else {
            log::Level::Debug
        };
        log::log!(target: "closed", level, cause = cause.as_str(), phase = state.phase.as_str(),
            phase_ms = millis(state.phase_age), unanswered = u8::from(state.phase.has_request()),
            caller:% = state.caller; "a connection ended other than cleanly");
    }

    /// Waits until the connection has to give way.
    pub(crate) async fn must_close(&self) {
        self.close.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let intake = &self.handle.intake;
        let mut entries = intake.entries();
        if let Some(entry) = entries.by_id.remove(&self.handle.id) {
            entries.body_bytes -= entry.body_bytes;
        }
        drop(entries);
        intake.released.notify_waiters();
    }
}

/// A connection has to be closed so that others can go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MustGiveWay;

/// Says what a connection is doing; found in the extensions of its requests.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionHandle {
    intake: Arc<Intake>,
    id: u64,
}

impl ConnectionHandle {
    fn enter(&self, phase: Phase) {
        if let Some(entry) = self.intake.entries().by_id.get_mut(&self.id) {
            entry.phase = phase;
            entry.since = Instant::now();
        }
    }

    /// Counts the end of the connection; returns what it was doing. That others needed its place was
    /// counted when it was told.
    fn count_close(&self, cause: CloseCause) -> Option<ConnectionState> {
        let mut entries = self.intake.entries();
        match cause {
            CloseCause::GaveWay => {}
            CloseCause::HeadTimeout => entries.head_timeouts += 1,
            CloseCause::BrokeOff => entries.broke_off += 1,
        }
        entries.by_id.get(&self.id).map(Entry::state)
    }

    /// Records that a request's head has been read.
    pub(crate) fn begin_request(&self) {
        self.enter(Phase::Handling);
    }

    /// Records that the rest of a body is waited for.
    pub(crate) fn begin_body(&self) {
        self.enter(Phase::ReadingBody);
    }

    /// Records that a body has been read; it is held until the request ends.
    pub(crate) fn end_body(&self) {
        self.enter(Phase::Handling);
    }

    /// Returns whether a request is being handled, whose body, if any, has been read.
    pub(crate) fn is_handling(&self) -> bool {
        let entries = self.intake.entries();
        let entry = entries.by_id.get(&self.id);
        entry.is_some_and(|entry| entry.phase == Phase::Handling)
    }

    /// Records that a request was answered, and gives its body's bytes back.
    pub(crate) fn end_request(&self) {
        let mut entries = self.intake.entries();
        let Some(entry) = entries.by_id.get_mut(&self.id) else {
            return;
        };
        entry.phase = Phase::ReadingHead;
        entry.since = Instant::now();
        let freed = std::mem::take(&mut entry.body_bytes);
        entries.body_bytes -= freed;
        drop(entries);
        self.intake.released.notify_waiters();
    }

    /// Takes so many more bytes for this connection's body. Waits until they are free; the
    /// connection whose body has been unfinished for longest is closed for that. A body that is alone
    /// is always taken: how long one may be is for others to say.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<(), MustGiveWay> {
        loop {
            let released = self.intake.released.notified();
            let mut released = std::pin::pin!(released);
            // Registered before it is looked, so that no release is missed.
            released.as_mut().enable();
            if self.try_reserve(bytes)? {
                return Ok(());
            }
            released.await;
        }
    }

    /// Takes the bytes if they are free, and otherwise closes connections until they will be.
    fn try_reserve(&self, bytes: usize) -> Result<bool, MustGiveWay> {
        let limit = self.intake.limits.body_bytes;
        let mut entries = self.intake.entries();
        loop {
            let own = entries.by_id.get(&self.id).filter(|e| !e.is_closing);
            let own_bytes = own.ok_or(MustGiveWay)?.body_bytes;
            let is_alone = entries.body_bytes == own_bytes;
            if is_alone || entries.body_bytes + bytes <= limit {
                entries.body_bytes += bytes;
                if let Some(entry) = entries.by_id.get_mut(&self.id) {
                    entry.body_bytes += bytes;
                }
                return Ok(true);
            }
            let closing = entries.by_id.values().filter(|entry| entry.is_closing);
            let closing_bytes: usize = closing.map(|entry| entry.body_bytes).sum();
            if entries.body_bytes - closing_bytes + bytes <= limit {
                return Ok(false);
            }
            let holds_body =
                |entry: &Entry| entry.phase == Phase::ReadingBody && entry.body_bytes > 0;
            if !entries.close_oldest(holds_body) {
                return Ok(false);
            }
        }
    }
}

#[cfg(test)]
mod tests;
