//! Source of monotonic time for the daemons.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

use super::MonoTime;

/// Monotonic clock that starts at zero when it is opened and also counts the time while the
/// machine is suspended: a lease must not outlive a suspension that its holder did not notice.
#[derive(Debug, Clone, Copy)]
pub struct MonoClock {
    zero: Instant,
    zero_ms: u64,
}

impl MonoClock {
    /// Creates a clock whose zero is now.
    #[must_use]
    pub fn open() -> Self {
        Self {
            zero: Instant::now(),
            zero_ms: boot_ms(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::from_millis(boot_ms().saturating_sub(self.zero_ms))
    }

    /// Converts a time of this clock into an `Instant`.
    #[must_use]
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.zero + Duration::from_millis(time.as_millis())
    }
}

/// Milliseconds since the machine booted, including suspended time.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}
