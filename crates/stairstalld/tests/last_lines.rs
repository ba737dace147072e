//! A daemon's last log lines, which say how it stopped, are written before the process ends.
//!
//! Beside load one stop in ten had lost them: `main` returned while the writing thread still had
//! lines in its queue ("released the planner role" and "stopped" are in no such log).

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stairstalld::logging;

static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// An output as slow as the pipe of a busy machine.
struct Slow;

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        WRITTEN.fetch_add(1, Ordering::SeqCst);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn all_lines_are_written_before_a_process_may_end() {
    let lines_per_target = logging::DEFAULT_LINES_PER_TARGET;
    let writer = logging::start_with_writer("info", lines_per_target, Box::new(Slow));
    for number in 0..10 {
        log::info!(target: "stop", number; "a line");
    }
    assert!(writer.wait_until_written(Duration::from_secs(10)));
    assert_eq!(WRITTEN.load(Ordering::SeqCst), 10);
}
