//! Delay before a process acquires a free planner lease: the processes best fit to plan go first.

/// Fraction of its age that a process waits, as a divisor.
const AGE_DIVISOR: u64 = 40;

/// Longest delay for a process's age in milliseconds.
const MAX_AGE_DELAY_MS: u64 = 500;

/// Processor capacity in thousandths of a core from which a process does not wait for others. The
/// planner of a hundred instances needs a tenth of a core at times, besides what requests take.
const FULL_CAPACITY: u64 = 150;

/// Delay in milliseconds of a process without any processor capacity; a process checks the lease
/// several times within it.
const NO_CAPACITY_DELAY_MS: u64 = 1_500;

/// Milliseconds that a process waits for its age before it acquires a released lease. In a rolling
/// restart the youngest processes have been restarted already and will not be stopped next, so they
/// go first.
#[must_use]
pub fn age_delay_ms(age_ms: u64) -> u64 {
    (age_ms / AGE_DIVISOR).min(MAX_AGE_DELAY_MS)
}

/// Milliseconds that a process with this processor capacity, in thousandths of a core, waits before
/// it acquires a free lease, so that processes with more capacity go first.
#[must_use]
pub fn capacity_delay_ms(capacity: u64) -> u64 {
    let missing = FULL_CAPACITY.saturating_sub(capacity);
    NO_CAPACITY_DELAY_MS * missing / FULL_CAPACITY
}
