//! Tests that leases expire while the machine is suspended.

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
fn lease_expires_while_the_machine_is_suspended() {
    let clock = Clock::with_source(source);
    let before = Instant::now();
    let lease = Lease::new(clock.now(), Duration::from_secs(1));
    assert!(lease.is_valid(clock.now()));
    SOURCE_MS.fetch_add(5_000, Ordering::SeqCst);
    assert!(!lease.is_valid(clock.now()));
    assert_eq!(clock.now().as_millis(), 5_000);
    let wait = clock.instant(clock.now()) - before;
    assert!(
        wait < Duration::from_secs(1),
        "a timestamp that has passed is {wait:?} away"
    );
}

#[test]
fn clock_source_agrees_with_the_uptime_of_the_machine() {
    let text = std::fs::read_to_string("/proc/uptime").expect("/proc/uptime is readable");
    let uptime = text.split_whitespace().next().expect("uptime in seconds");
    let uptime = Duration::from_secs_f64(uptime.parse().expect("a number"));
    let difference = since_boot().abs_diff(uptime);
    assert!(difference < Duration::from_secs(1), "{difference:?}");
}
