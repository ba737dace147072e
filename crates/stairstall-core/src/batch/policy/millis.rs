//! Serializes durations as whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

pub(super) fn serialize<S: Serializer>(value: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_u64(crate::time::millis(*value))
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    u64::deserialize(from).map(Duration::from_millis)
}
