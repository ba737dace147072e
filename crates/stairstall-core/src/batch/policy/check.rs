//! Checks of policy values.

use super::PolicyError;

/// Checks that `low` is not above `high`.
pub(super) fn ordered<T: Copy + PartialOrd>(
    low: T,
    high: T,
    names: (&'static str, &'static str),
) -> Result<(), PolicyError> {
    let is_ordered = low <= high;
    is_ordered
        .then_some(())
        .ok_or(PolicyError::BoundsReversed(names.0, names.1))
}

/// Checks that a count or divisor is above zero.
pub(super) fn positive<T: Copy + Default + PartialOrd>(
    value: T,
    name: &'static str,
) -> Result<(), PolicyError> {
    let is_positive = value > T::default();
    is_positive
        .then_some(())
        .ok_or(PolicyError::NotPositive(name))
}
