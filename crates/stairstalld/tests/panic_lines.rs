//! A panic is a line of the log: operators may not collect standard error.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use stairstalld::logging;

/// An output that keeps what it takes.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_panic_is_a_line_of_the_log() {
    let out = Kept::default();
    let lines = logging::DEFAULT_LINES_PER_TARGET;
    let writer = logging::start_with_writer("info", lines, Box::new(out.clone()));
    let panicking = std::thread::Builder::new().name("planner".to_owned());
    let panicking = panicking.spawn(|| panic!("two lines\nof {}", "text"));
    assert!(panicking.expect("a thread").join().is_err());
    assert!(writer.wait_until_written(Duration::from_secs(5)));
    let log = String::from_utf8(out.0.lock().expect("not poisoned").clone()).expect("text");
    let lines: Vec<&str> = log.lines().collect();
    assert_eq!(lines.len(), 1, "{log}");
    assert!(lines[0].contains(" ERROR panic place="), "{log}");
    assert!(lines[0].contains("tests/panic_lines.rs:"), "{log}");
    assert!(lines[0].contains("thread=planner"), "{log}");
    assert!(lines[0].ends_with(" two lines of text"), "{log}");
}
