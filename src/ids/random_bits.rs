//! Random bits of IDs that must be unique over processes and restarts.

use crate::decision::unix_ms;

/// Number of random bits below the start time in a start ID.
const START_RANDOM_BITS: u32 = 16;

/// 64 bits from the operating system. Generators that a process seeds itself may repeat those of
/// another process that started at the same moment.
///
/// # Panics
/// If the operating system has no random source.
#[must_use]
pub fn random_bits() -> u64 {
    getrandom::u64().expect("the operating system's random source")
}

/// ID of a start of this process: later starts have greater ones, unless the time of day was put back.
#[must_use]
pub fn new_start_id() -> u64 {
    (unix_ms() << START_RANDOM_BITS) | (random_bits() >> (u64::BITS - START_RANDOM_BITS))
}
