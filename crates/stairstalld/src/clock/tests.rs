//! The clock that leases are counted on, across a suspension of the machine.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use stairstall_core::Lease;
use tokio::time::Instant;

use super::{Clock, since_boot};

static SOURCE_MS: AtomicU64 = AtomicU64::new(1_000);

fn source() -> Duration {
    Duration::from_millis(SOURCE_MS.load(Ordering::SeqCst))
}

#[test]
fn a_lease_runs_out_while_the_machine_is_suspended() {
    let clock = Clock::of(source);
    let before = Instant::now();
    let lease = Lease::new(clock.now(), Duration::from_secs(1));
    assert!(lease.is_valid(clock.now()));
    SOURCE_MS.fetch_add(5_000, Ordering::SeqCst);
    assert!(!lease.is_valid(clock.now()));
    assert_eq!(clock.now().as_millis(), 5_000);
    let slept = clock.instant(clock.now()) - before;
    assert!(
        slept < Duration::from_secs(1),
        "nothing to wait for: {slept:?}"
    );
}

#[test]
fn the_source_counts_suspensions_as_the_machine_does() {
    let text = std::fs::read_to_string("/proc/uptime").expect("a Linux machine");
    let uptime = text.split_whitespace().next().expect("seconds");
    let uptime = Duration::from_secs_f64(uptime.parse().expect("a number"));
    let differs_by = since_boot().abs_diff(uptime);
    assert!(differs_by < Duration::from_secs(1), "{differs_by:?}");
}
