//! Log lines on standard output, at a limited rate and without blocking the daemon.
//!
//! A separate thread writes the lines. If its queue is full, lines are dropped and counted. The
//! number of lines per second is limited for each log target, so that many lines of one target do
//! not hide those of others.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::background::panic_message;
use crate::daemon::lock;

/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 2_048;
/// Default limit of log lines per second and target.
pub const DEFAULT_LINES_PER_TARGET: u32 = 150;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// How many lines were queued and how many of them the writing thread has dealt with.
#[derive(Debug, Default)]
struct Progress {
    queued: AtomicU64,
    written: Mutex<u64>,
    changed: Condvar,
}

impl Progress {
    fn record_written(&self, lines: u64) {
        *lock(&self.written) += lines;
        self.changed.notify_all();
    }
}

/// Lets a process wait for its last log lines before it ends.
#[must_use = "a process that ends without waiting loses its last lines"]
#[derive(Debug, Clone)]
pub struct LogWriter(Arc<Progress>);

impl LogWriter {
    /// Waits until all lines logged so far are written, at most for `timeout`. Returns whether they
    /// are; an output that blocks may take none.
    pub fn wait_until_written(&self, timeout: Duration) -> bool {
        let queued = self.0.queued.load(Ordering::Acquire);
        let written = lock(&self.0.written);
        let waited = self
            .0
            .changed
            .wait_timeout_while(written, timeout, |written| *written < queued);
        let (written, _) = waited.unwrap_or_else(PoisonError::into_inner);
        *written >= queued
    }
}

/// Passes complete lines to the writing thread.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
    progress: Arc<Progress>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(line.to_vec()) {
            Ok(()) => {
                self.progress.queued.fetch_add(1, Ordering::Release);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The lines of one target.
#[derive(Debug, Default)]
struct TargetLines {
    /// Lines within the current second.
    current: u32,
    /// Lines dropped since the last one that was written.
    dropped: u64,
}

/// Limits the lines per second of each target.
#[derive(Debug)]
struct RateLimiter {
    lines_per_target: u32,
    /// The current second since the logger was started.
    second: u64,
    targets: HashMap<String, TargetLines>,
}

impl RateLimiter {
    fn new(lines_per_target: u32) -> Self {
        Self {
            lines_per_target,
            second: 0,
            targets: HashMap::new(),
        }
    }

    /// Returns how many lines of the target were dropped before this one, or none if this line must
    /// be dropped.
    fn admit(&mut self, target: &str, second: u64) -> Option<u64> {
        if self.second != second {
            self.second = second;
            for lines in self.targets.values_mut() {
                lines.current = 0;
            }
        }
        let lines = self.targets.entry(target.to_owned()).or_default();
        lines.current += 1;
        if lines.current > self.lines_per_target {
            lines.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(std::mem::take(&mut lines.dropped))
    }
}

/// Initializes the logger to write to standard output, with at most `lines_per_target` lines per
/// second of each target.
pub fn start(filters: &str, lines_per_target: u32) -> LogWriter {
    start_with_writer(filters, lines_per_target, Box::new(io::stdout()))
}

/// Initializes the logger to write to `out`. Only the writing thread waits if `out` blocks.
pub fn start_with_writer(
    filters: &str,
    lines_per_target: u32,
    out: Box<dyn Write + Send>,
) -> LogWriter {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let progress = Arc::new(Progress::default());
    let writer = LogWriter(Arc::clone(&progress));
    let queue = LineQueue {
        sender,
        progress: Arc::clone(&progress),
    };
    let thread = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = thread.spawn(move || write_lines(&receiver, out, &progress)) {
        eprintln!("stairstalld: could not start the logging thread: {error}");
    }
    let limiter = Mutex::new(RateLimiter::new(lines_per_target));
    let started = Instant::now();
    env_logger::Builder::new()
        .parse_filters(filters)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(move |line, record| {
            let second = started.elapsed().as_secs();
            let Some(dropped) = lock(&limiter).admit(record.target(), second) else {
                return Ok(());
            };
            let time = line.timestamp_millis();
            write!(line, "{time} {} {}", record.level(), record.target())?;
            let mut fields = Fields(Vec::new());
            let _ = record.key_values().visit(&mut fields);
            line.write_all(&fields.0)?;
            if dropped > 0 {
                write!(line, " left_out={dropped}")?;
            }
            writeln!(line, " {}", record.args())
        })
        .init();
    log_panics();
    writer
}

/// Makes each panic a log line, beside what the hook so far prints on standard error.
fn log_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let place = panic
            .location()
            .map_or_else(String::new, ToString::to_string);
        let message = panic_message(panic.payload());
        // A log line is one line.
        let message = message.replace('\n', " ");
        log::error!(target: "panic", place, thread = std::thread::current().name(); "{message}");
        print(panic);
    }));
}

/// Formats key-value pairs as ` key=value`.
struct Fields(Vec<u8>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        write!(self.0, " {key}={value}").map_err(log::kv::Error::boxed)
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, mut out: Box<dyn Write + Send>, progress: &Progress) {
    while let Ok(line) = receiver.recv() {
        let mut lines = 1;
        let mut failed = out.write_all(&line).is_err();
        while let Ok(line) = receiver.try_recv() {
            lines += 1;
            failed |= out.write_all(&line).is_err();
        }
        failed |= out.flush().is_err();
        if failed {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        progress.record_written(lines);
    }
}
