//! Bounds of numbers that others write, applied where records, configurations and messages are read.
//!
//! Sums and products of such numbers decide what is planned. Within these bounds none of them
//! overflows, and no work of real size is near them.

use serde::{Deserialize, Deserializer};

/// Longest duration that is planned with: ten years, in milliseconds.
pub(super) const MAX_DURATION_MS: u64 = 10 * 366 * 24 * 3_600 * 1_000;
/// Latest time that is planned with, in milliseconds since the Unix epoch: in the year 10000.
pub(super) const MAX_UNIX_MS: u64 = 253_402_300_800_000;
/// Highest run number that is gone on from. Each start adds one, so no task of real length gets there.
pub(super) const MAX_RUN: u32 = u32::MAX / 2;
/// Largest factor of an objective.
pub(super) const MAX_STRETCH: f64 = 1_000.0;

/// Reads a duration in milliseconds; a longer one counts as [`MAX_DURATION_MS`].
pub(super) fn duration_ms<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    u64::deserialize(from).map(|ms| ms.min(MAX_DURATION_MS))
}

/// Reads an optional duration in milliseconds like [`duration_ms`].
pub(super) fn optional_duration_ms<'de, D: Deserializer<'de>>(
    from: D,
) -> Result<Option<u64>, D::Error> {
    let ms = Option::<u64>::deserialize(from)?;
    Ok(ms.map(|ms| ms.min(MAX_DURATION_MS)))
}

/// Reads a time in milliseconds since the Unix epoch; a later one counts as [`MAX_UNIX_MS`].
pub(super) fn unix_ms<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    u64::deserialize(from).map(|ms| ms.min(MAX_UNIX_MS))
}

/// Reads the number of a run to go on from; a higher one counts as [`MAX_RUN`].
pub(super) fn run<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    u32::deserialize(from).map(|run| run.min(MAX_RUN))
}

/// Reads the factor of an objective, between 0 and [`MAX_STRETCH`].
pub(super) fn stretch<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    f64::deserialize(from).map(|stretch| stretch.clamp(0.0, MAX_STRETCH))
}
