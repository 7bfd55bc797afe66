//! Delay before a process acquires a released lease.

/// Fraction of its age that a process waits, as a divisor.
const AGE_DIVISOR: u64 = 40;

/// Longest delay in milliseconds.
const MAX_DELAY_MS: u64 = 500;

/// Milliseconds that a process waits before it acquires a released lease. In a rolling restart the
/// youngest processes have been restarted already and will not be stopped next, so they go first.
#[must_use]
pub fn takeover_delay_ms(age_ms: u64) -> u64 {
    (age_ms / AGE_DIVISOR).min(MAX_DELAY_MS)
}
