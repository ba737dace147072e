//! Limits a daemon's processor time as a small VM does: a share of each period, then nothing until the
//! next.

use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::{Pid, getpid};

/// How often a share is given out anew.
pub(super) const PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two looks at how much was used.
const SHORTEST_POLL: Duration = Duration::from_millis(1);
/// Stops a child of this process by signal whenever it has used its share of a period, until it ends.
///
/// A process that runs all the time uses what is left no sooner than after so long: the next look
/// comes then. What it uses beyond its share is taken from the next periods.
pub(super) async fn limit(id: u32, share: Duration, mut on_stop: impl FnMut()) {
    let mut period_ends = Instant::now() + PERIOD;
    let Some(mut used_before) = processor_time(id) else {
        return;
    };
    while let Some(used) = processor_time(id) {
        let now = Instant::now();
        while now >= period_ends {
            period_ends += PERIOD;
            used_before = used.min(used_before + share);
        }
        let left = share.saturating_sub(used.saturating_sub(used_before));
        if left.is_zero() {
            on_stop();
            signal_child(id, Signal::SIGSTOP);
            tokio::time::sleep_until(period_ends.into()).await;
            signal_child(id, Signal::SIGCONT);
        } else {
            tokio::time::sleep(left.max(SHORTEST_POLL)).await;
        }
    }
}

fn processor_time(id: u32) -> Option<Duration> {
    processor_times(id).map(|(ran, _)| ran)
}

/// Returns for how long a process has run so far, and for how long it has waited to run; none once it
/// is gone.
pub(super) fn processor_times(id: u32) -> Option<(Duration, Duration)> {
    let text = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    let mut fields = text.split(' ').map(str::parse);
    let mut next = || Some(Duration::from_nanos(fields.next()?.ok()?));
    Some((next()?, next()?))
}

/// Signals a process if it is a child of this one: its ID may be another's after its end.
fn signal_child(id: u32, signal: Signal) {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let parent = fields.split(' ').nth(1).and_then(|id| id.parse().ok());
    let is_child = parent == Some(getpid().as_raw());
    if let (true, Ok(id)) = (is_child, i32::try_from(id)) {
        let _ = kill(Pid::from_raw(id), signal);
    }
}
