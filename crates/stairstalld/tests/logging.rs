//! Log lines never hold the daemon up.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use stairstalld::logging;

/// An output that takes nothing until it is told to.
struct Stuck {
    release: Receiver<()>,
    lines: std::sync::mpsc::Sender<String>,
    is_released: bool,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_released {
            self.is_released = self.release.recv().is_ok();
        }
        let text = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.lines.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_full_output_holds_nothing_up_and_a_storm_hides_no_other_kind() {
    let (release, released) = channel();
    let (sender, lines) = channel();
    let out = Stuck {
        release: released,
        lines: sender,
        is_released: false,
    };
    let writer =
        logging::start_with_writer("info", logging::DEFAULT_LINES_PER_TARGET, Box::new(out));
    let began = Instant::now();
    for number in 0..20_000 {
        log::info!(target: "storm", number; "a line");
    }
    log::info!(target: "rare", job = "j-1"; "the line that matters");
    assert!(began.elapsed() < Duration::from_secs(5), "logging waited");
    assert!(logging::dropped_lines() > 10_000);
    let began = Instant::now();
    let bound = Duration::from_millis(300);
    assert!(!writer.wait_until_written(bound), "the output takes none");
    assert!(began.elapsed() < 5 * bound, "a process must still end");
    release.send(()).expect("the writer waits");
    // The next second's lines: each says what was left out of its own target.
    std::thread::sleep(Duration::from_secs(1));
    log::info!(target: "storm", number = 20_000; "a later line");
    let (mut storm, mut left_out, mut rare) = (0, 0, false);
    loop {
        let line = lines
            .recv_timeout(Duration::from_secs(5))
            .expect("the rare line and the later one come");
        if line.contains(" rare job=j-1") {
            assert!(!line.contains("left_out="), "none was left out: {line}");
            rare = true;
        }
        if line.contains(" storm ") {
            storm += 1;
            left_out += left_out_before(&line).unwrap_or(0);
        }
        if line.contains("a later line") {
            assert!(left_out_before(&line).is_some(), "{line}");
            break;
        }
    }
    assert!(rare, "the rare line comes before");
    assert!(storm < 1_000, "{storm} lines of one kind");
    assert_eq!(storm + left_out, 20_001, "each line is written or counted");
}

/// Returns how many lines a line says were left out before it.
fn left_out_before(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once(" left_out=")?;
    rest.split_whitespace().next()?.parse().ok()
}
