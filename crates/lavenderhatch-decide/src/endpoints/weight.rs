//! Slow start of backend servers.

use std::time::Duration;

use lavenderhatch_core::endpoint::FULL_WEIGHT;

/// Weight of a backend server at the start of slow start, in thousandths.
const INITIAL_WEIGHT: u32 = FULL_WEIGHT / 10;
/// Duration of slow start, after which the full weight is reached.
pub(super) const SLOW_START: Duration = Duration::from_secs(20);

/// Returns the weight of a backend server that has served for `age`, in thousandths.
///
/// The weight grows linearly from a tenth to the full weight.
pub fn slow_start_weight(age: Duration) -> u32 {
    if age >= SLOW_START {
        return FULL_WEIGHT;
    }
    let grown = u128::from(FULL_WEIGHT - INITIAL_WEIGHT) * age.as_millis() / SLOW_START.as_millis();
    INITIAL_WEIGHT + grown as u32
}
