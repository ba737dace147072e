//! Flags that the commands share.

use std::path::PathBuf;

use bpaf::{Parser, long};

/// The users' bench.
#[must_use]
pub fn bench() -> impl Parser<PathBuf> {
    long("bench").help("The users' bench").argument("FILE")
}

/// Names of days; the standard days with trouble where none are named.
#[must_use]
pub fn days() -> impl Parser<String> {
    long("days")
        .help("Names of days, divided by commas")
        .argument("DAYS")
        .fallback("trouble-1,scale-1,trouble-2,scale-2,trouble-3".to_owned())
}

/// Seeds; `own` is the day's own.
#[must_use]
pub fn seeds() -> impl Parser<String> {
    long("seeds")
        .help("Seeds, divided by commas; own is the day's own")
        .argument("SEEDS")
        .fallback("own,1,2".to_owned())
}

/// Plays at a time.
#[must_use]
pub fn jobs() -> impl Parser<usize> {
    long("jobs")
        .help("Plays at a time")
        .argument("N")
        .fallback(6)
}
