//! The memory and open files of a process.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::task::JoinHandle;

const INTERVAL: Duration = Duration::from_millis(10);

/// Returns the most memory that a process has had resident, in bytes; none once it is gone.
pub fn peak_memory(id: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kb: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kb * 1024)
}

fn open_files(id: u32) -> usize {
    let files = std::fs::read_dir(format!("/proc/{id}/fd"));
    files.map_or(0, Iterator::count)
}

/// Counts the open files of a process until it is dropped.
pub struct OpenFiles {
    most: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl OpenFiles {
    pub fn watch(id: u32) -> Self {
        let most = Arc::<AtomicUsize>::default();
        let seen = Arc::clone(&most);
        let task = tokio::spawn(async move {
            loop {
                seen.fetch_max(open_files(id), Ordering::SeqCst);
                tokio::time::sleep(INTERVAL).await;
            }
        });
        Self { most, task }
    }

    pub fn most(&self) -> usize {
        self.most.load(Ordering::SeqCst)
    }
}

impl Drop for OpenFiles {
    fn drop(&mut self) {
        self.task.abort();
    }
}
