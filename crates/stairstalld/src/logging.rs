//! Log lines on standard output: bounded, and never waited for.
//!
//! A thread of its own writes; a full queue drops lines and counts them. Each
//! kind of line has its own limit a second, so that a storm of one kind does
//! not hide the others.

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Instant;

use crate::daemon::lock;

/// Lines that wait to be written, at most.
const QUEUE_LINES: usize = 2_048;
/// Lines of one kind a second, at most, where nothing else is set.
pub const DEFAULT_LINES_PER_TARGET: u32 = 150;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were left out since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Hands whole lines to the writing thread.
struct LineQueue {
    sender: SyncSender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(line.to_vec()) {
            Ok(()) => {}
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

/// Counts lines by kind within the running second.
#[derive(Debug)]
struct Limits {
    lines_per_kind: u32,
    second: u64,
    lines: HashMap<String, u32>,
    left_out: u64,
}

impl Limits {
    fn new(lines_per_kind: u32) -> Self {
        Self {
            lines_per_kind,
            second: 0,
            lines: HashMap::new(),
            left_out: 0,
        }
    }

    /// Tells whether a line of that kind may be written, and how many were left out before.
    fn admit(&mut self, kind: &str, second: u64) -> Option<u64> {
        if self.second != second {
            self.second = second;
            self.lines.clear();
        }
        let count = self.lines.entry(kind.to_owned()).or_default();
        *count += 1;
        if *count > self.lines_per_kind {
            self.left_out += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(std::mem::take(&mut self.left_out))
    }
}

/// Starts to log to standard output, of each kind at most `lines_per_kind` lines a second.
pub fn start(filters: &str, lines_per_kind: u32) {
    start_with_writer(filters, lines_per_kind, Box::new(io::stdout()));
}

/// Starts to log to `out`, which may block without holding anything else up.
pub fn start_with_writer(filters: &str, lines_per_kind: u32, out: Box<dyn Write + Send>) {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let writing = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writing.spawn(move || write_lines(&receiver, out)) {
        eprintln!("stairstalld: no thread for log lines: {error}");
    }
    let limits = Mutex::new(Limits::new(lines_per_kind));
    let started = Instant::now();
    env_logger::Builder::new()
        .parse_filters(filters)
        .target(env_logger::Target::Pipe(Box::new(LineQueue { sender })))
        .format(move |line, record| {
            let second = started.elapsed().as_secs();
            let Some(left_out) = lock(&limits).admit(record.target(), second) else {
                return Ok(());
            };
            let time = line.timestamp_millis();
            write!(line, "{time} {} {}", record.level(), record.target())?;
            let mut fields = Fields(Vec::new());
            let _ = record.key_values().visit(&mut fields);
            line.write_all(&fields.0)?;
            if left_out > 0 {
                write!(line, " left_out={left_out}")?;
            }
            writeln!(line, " {}", record.args())
        })
        .init();
}

/// Collects key-values as ` key=value`.
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

fn write_lines(receiver: &Receiver<Vec<u8>>, mut out: Box<dyn Write + Send>) {
    while let Ok(line) = receiver.recv() {
        let mut failed = out.write_all(&line).is_err();
        while let Ok(line) = receiver.try_recv() {
            failed |= out.write_all(&line).is_err();
        }
        failed |= out.flush().is_err();
        if failed {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}
